package edge

import (
	"sync"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/reach"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// maxRelays is the number of relays that relays returns.
const maxRelays = 3

// reachability records which targets this VM can reach itself, and names the VMs that can relay
// requests to the others.
type reachability struct {
	node *Node

	mu    sync.Mutex
	table *reach.Table
}

func newReachability(n *Node) *reachability { return &reachability{node: n, table: reach.New(rendezvous.Hash(n.settings.Vm.Id))} }

// viaRelay reports whether requests to a target are to be sent through another VM. It returns false
// when no other VM can relay.
func (r *reachability) viaRelay(target string) bool {
	if len(r.relays()) == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.ViaRelay(r.node.now(), target)
}

// recordDial records the result of a new connection to a target; err is nil on success. Requests on
// existing connections are not recorded.
func (r *reachability) recordDial(target string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordDial(r.node.now(), target, err == nil)
}

// recordDirectFailure records that a connection to a target was reset, or its bytes not
// acknowledged, before a response.
func (r *reachability) recordDirectFailure(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordFailure(r.node.now(), target)
}

// recordRelayed records whether a relay reached a target.
func (r *reachability) recordRelayed(target string, reached bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordRelayed(r.node.now(), target, reached)
}

// relays returns up to maxRelays VMs that can relay requests, best first.
func (r *reachability) relays() []coord.VMID { return nil }
