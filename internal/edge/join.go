package edge

import (
	"context"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/schema"
)

// Times of joining the fleet.
const (
	// seedEvery is the time between two tries to join through the seeds.
	seedEvery = 500 * time.Millisecond
	// firstSeedEvery is the same for a VM that knows no other yet.
	firstSeedEvery = 100 * time.Millisecond
	// seedTimeout bounds one try.
	seedTimeout = 700 * time.Millisecond
	// firstSeedTimeout is the same for a VM that knows no other yet: after a loss of all a
	// seed without power does not even refuse, and is up a moment later. Answers take some
	// ms, and some tens where all VMs start at once.
	firstSeedTimeout = 250 * time.Millisecond
)

// joiner joins the fleet through the seeds, and joins parts of it again that have lost each
// other. It tries all seeds at once: one after the other, a seed without power held up the
// others for 0.7 s, and 195 VMs that had been lost together knew nobody for as long.
type joiner struct {
	self  string // this VM's address
	seeds func() []string
	// knows reports whether a live VM has an address.
	knows func(address string) bool
	// alone reports whether no other VM is known.
	alone func() bool
	join  func(ctx context.Context, address string)

	mu     sync.Mutex
	trying map[string]bool // by address
}

func (n *Node) seedLoop(ctx context.Context) {
	j := &joiner{
		self: advertised(n.settings.Listen), seeds: n.seeds, knows: n.knows, join: n.join,
		alone: func() bool { return n.vms.Load() == 1 },
	}
	j.run(ctx)
}

// run joins until the context ends.
func (j *joiner) run(ctx context.Context) {
	j.trying = map[string]bool{}
	for ctx.Err() == nil {
		pause, timeout := seedEvery, seedTimeout
		if j.alone() {
			pause, timeout = firstSeedEvery, firstSeedTimeout
		}
		for _, address := range j.seeds() {
			if address != j.self && !j.knows(address) {
				j.try(ctx, address, timeout)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// try begins a try at a seed unless one is under way.
func (j *joiner) try(ctx context.Context, address string, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.trying[address] {
		return
	}
	j.trying[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		j.join(ctx, address)
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.trying, address)
	}()
}

// knows reports whether a live VM has the address.
func (n *Node) knows(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.roster.Members() {
		if m.Address == address && m.State != roster.Suspect {
			return true
		}
	}
	return false
}

func (n *Node) join(ctx context.Context, address string) {
	reply, err := n.mesh.CallAddress(ctx, address, &schema.Call{Body: &schema.Call_Roster{Roster: n.wholeRoster()}})
	if err != nil {
		n.log.PeerCallFailed("join", address, err)
		return
	}
	if reply.GetRoster() != nil {
		n.mergeRoster(reply.GetRoster())
	}
}
