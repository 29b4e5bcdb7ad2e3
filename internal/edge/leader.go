package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Figures of who reads and who orders.
const (
	// minReaders is how many VMs watch the store for all: two, so that one may be
	// cut off unnoticed.
	minReaders = 2
	// vmsPerReader bounds how far word of a reader has to go in a large fleet: 195 VMs have
	// four readers, each of which makes a call to the store every half second there.
	vmsPerReader = 40
	// revisionTimeout bounds one read of the store's revision: nobody orders
	// meanwhile. Answers take 4 ms, and a quarter of a second in slow spells.
	revisionTimeout = 500 * time.Millisecond
	// readerName is hashed to choose them.
	readerName = "reader"
)

// updateReaders finds who reads the store for all.
func (n *Node) updateReaders() {
	n.mu.Lock()
	live := n.roster.LeaderCandidates()
	n.vms.Store(int64(max(n.roster.Size(), 1)))
	n.mu.Unlock()
	hashes := make([]uint64, len(live))
	for i, e := range live {
		hashes[i] = rendezvous.Hash(string(e.ID))
	}
	best := make([]int, max(minReaders, int(n.vms.Load())/vmsPerReader))
	top := best[:rendezvous.Top(hashes, rendezvous.Hash(readerName), best)]
	var readers []roster.Entry
	self := false
	for _, i := range top {
		if string(live[i].ID) == n.settings.Vm.Id {
			self = true
			continue
		}
		readers = append(readers, live[i])
	}
	n.reader.Store(self)
	if slices.ContainsFunc(readers, n.isNear) {
		readers = slices.DeleteFunc(readers, func(e roster.Entry) bool { return !n.isNear(e) })
	}
	n.readers.Store(&readers)
}

// isNear reports whether a VM is of this one's zone.
func (n *Node) isNear(e roster.Entry) bool { return e.Zone == n.settings.Vm.Zone }

// someReader returns another VM that reads the store, of this zone if there is any; or "".
func (n *Node) someReader() coord.VMID {
	readers := *n.readers.Load()
	if len(readers) == 0 {
		return ""
	}
	return readers[rand.IntN(len(readers))].ID
}

// updateDuty finds who gives orders, and takes the duty when it falls to this VM.
func (n *Node) updateDuty() {
	n.mu.Lock()
	before := n.duty.Phase()
	take := n.duty.Update(n.now(), n.roster)
	after := n.duty.Phase()
	acting := n.duty.Leader()
	n.roster.SetFencingToken(n.duty.FencingToken())
	fence := n.duty.FencingToken()
	vms, majority := n.roster.Size(), n.roster.HasMajority()
	n.mu.Unlock()
	if old := *n.acting.Load(); old != acting {
		n.acting.Store(&acting)
		n.watchSilence(acting)
		n.lines.setActing(acting == coord.VMID(n.settings.Vm.Id))
		n.quotas.setActing(acting == coord.VMID(n.settings.Vm.Id))
		n.schedules.setActing(acting == coord.VMID(n.settings.Vm.Id), n.others())
		n.tellRunning(acting)
		n.log.SchedulerMoved(string(old), string(acting))
	}
	if before != after {
		n.log.LeadershipChanged(before.String(), after.String(), vms, majority)
	}
	n.schedules.setLease(fence)
	if take {
		go n.takeDuty()
	}
}

// takeDuty reads the store's revision for the fencing number.
func (n *Node) takeDuty() {
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	revision, err := n.platform.Store.Revision(ctx)
	if err != nil {
		n.log.LeadershipNotAcquired(err)
	}
	n.mu.Lock()
	n.duty.Acquire(n.now(), fenceBase(revision), err == nil)
	fence := n.duty.FencingToken()
	n.roster.SetFencingToken(fence)
	n.mu.Unlock()
	if fence == 0 {
		return
	}
	n.log.LeadershipAcquired(fence, revision)
	n.schedules.setLease(fence)
	n.beatAll()
}

// eraStep is how many revisions an era counts for in fencing numbers: more than a store loses when it is
// restored.
const eraStep = 1 << 20

// fenceBase is a number that grows with the revisions of the store and does not fall when it is restored.
func fenceBase(r fleet.Revision) uint64 { return r.Number() + r.Epoch()*eraStep }

// maxTickAge is how old the last look at the fleet may be for an order: a VM that
// stood still must look again first.
const maxTickAge = 2*slowHeartbeat + 100*time.Millisecond

// orderFence returns the number to order under; 0 when this VM may not order.
func (n *Node) orderFence() uint64 {
	n.wake()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now().Sub(n.lastTick) > maxTickAge {
		return 0
	}
	return n.duty.FencingToken()
}
