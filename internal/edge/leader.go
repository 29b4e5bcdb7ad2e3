package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/leadership"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// Numbers and timing of store watchers and the leader.
const (
	// minStoreWatchers is the least number of VMs that watch the store for the fleet: two, so that
	// one may be cut off unnoticed.
	minStoreWatchers = 2
	// vmsPerStoreWatcher bounds how far updates of one store watcher have to spread in a large
	// fleet: 195 VMs have four store watchers, each of which makes a call to the store every half
	// second.
	vmsPerStoreWatcher = 40
	// revisionTimeout bounds one read of the store's revision, during which no VM sends orders.
	// Replies take 4 ms, and 250 ms in slow periods.
	revisionTimeout = 500 * time.Millisecond
	// storeWatcherKey is hashed to choose the store watchers.
	storeWatcherKey = "reader"
)

// updateStoreWatchers determines the VMs that watch the store for the fleet. If any of the other
// store watchers is in this VM's zone, this VM queries only those.
func (n *Node) updateStoreWatchers() {
	n.mu.Lock()
	live := n.roster.CapableVMs()
	n.vmCount.Store(int64(max(n.roster.Size(), 1)))
	n.mu.Unlock()
	limit := max(minStoreWatchers, int(n.vmCount.Load())/vmsPerStoreWatcher)
	var watchers []roster.Entry
	isWatcher := false
	for _, e := range topVMs(storeWatcherKey, live, limit) {
		if string(e.ID) == n.settings.Vm.Id {
			isWatcher = true
			continue
		}
		watchers = append(watchers, e)
	}
	n.isStoreWatcher.Store(isWatcher)
	if slices.ContainsFunc(watchers, n.isSameZone) {
		watchers = slices.DeleteFunc(watchers, func(e roster.Entry) bool { return !n.isSameZone(e) })
	}
	n.storeWatchers.Store(&watchers)
}

// isSameZone reports whether a VM is in this VM's zone.
func (n *Node) isSameZone(e roster.Entry) bool { return e.Zone == n.settings.Vm.Zone }

// randomStoreWatcher returns another VM that watches the store, in this zone if there is one, or
// "".
func (n *Node) randomStoreWatcher() coord.VMID {
	watchers := *n.storeWatchers.Load()
	if len(watchers) == 0 {
		return ""
	}
	return watchers[rand.IntN(len(watchers))].ID
}

// updateLeadership determines the leader, and starts acquiring the leadership when this VM is next.
func (n *Node) updateLeadership() {
	othersOrderedAt := n.schedulers.othersOrderedAt()
	n.mu.Lock()
	oldPhase := n.leadership.Phase()
	otherLeader := n.leadership.ObserveOtherOrders(othersOrderedAt)
	acquire := n.leadership.Update(n.now(), n.roster)
	newPhase := n.leadership.Phase()
	leader := n.leadership.Leader()
	n.roster.SetFencingToken(n.leadership.FencingToken())
	token, quiet := n.leadership.FencingToken(), n.leaseQuiet()
	observes := n.leadership.ObservesOrders()
	vms, majority := n.roster.Size(), n.roster.Majority()
	n.mu.Unlock()
	if oldLeader := *n.leader.Load(); oldLeader != leader {
		n.recordLeader(leader)
		n.monitorLeader(leader)
		n.queues.setLeading(leader == coord.VMID(n.settings.Vm.Id))
		n.quotas.setLeading(leader == coord.VMID(n.settings.Vm.Id))
		n.schedulers.setLeading(leader == coord.VMID(n.settings.Vm.Id), n.livePeers())
		n.reportRunning(leader)
		n.log.SchedulerMoved(string(oldLeader), string(leader))
	}
	if otherLeader {
		n.log.OtherLeaderObserved()
	}
	if oldPhase != newPhase {
		n.log.LeadershipChanged(oldPhase.String(), newPhase.String(), vms, majority.String())
	}
	n.schedulers.setObserving(observes)
	n.schedulers.setLease(token, quiet)
	if oldPhase == leadership.Leading && newPhase != leadership.Leading {
		n.sendHeartbeatToAll()
	}
	if acquire {
		go n.acquireLeadership()
	}
}

// acquireLeadership reads the store's revision and acquires the leadership under a fencing token
// derived from it.
func (n *Node) acquireLeadership() {
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	revision, err := n.platform.Store.Revision(ctx)
	if err != nil {
		n.log.LeadershipNotAcquired(err)
	}
	n.mu.Lock()
	n.leadership.Acquire(n.now(), fencingTokenBase(revision), err == nil)
	token, quiet := n.leadership.FencingToken(), n.leaseQuiet()
	n.roster.SetFencingToken(token)
	n.mu.Unlock()
	if token == 0 {
		return
	}
	n.log.LeadershipAcquired(token, revision, quiet > 0)
	n.schedulers.setLease(token, quiet)
	n.sendHeartbeatToAll()
}

// joinWaitShare is the share of the time for the recovery of the fleet for which a VM waits for the seeds
// before it leads without them. The rest is left for the loads of adapters.
const joinWaitShare = 0.4

// orderVisibility is how long an order may take until the report of its engine shows it and has been read.
const orderVisibility = 500 * time.Millisecond

// contestConfig returns the waiting times of a VM that cannot find some of the seeds. Engines that do not check
// tokens cannot reject the lower one of two leaders, so that the VM waits for as long as the seeds count.
func contestConfig(s *schema.EdgeSettings) leadership.ContestConfig {
	joinWait := abandonAfter
	if s.Orders.EnginesCheckFence {
		joinWait = time.Duration(joinWaitShare * s.Times.RecoveryS * float64(time.Second))
	}
	return leadership.ContestConfig{
		JoinWait:  joinWait,
		QuietTime: time.Duration(s.Orders.LeaseMs)*time.Millisecond + orderVisibility,
	}
}

// leaseQuiet returns how long an engine must have accepted no order before this VM's first order to it;
// 0: as usual. n.mu is held.
func (n *Node) leaseQuiet() time.Duration {
	if !n.leadership.IsProvisional() {
		return 0
	}
	return contestConfig(n.settings).QuietTime
}

// epochStep is the weight of a store epoch in fencing tokens, in revisions. It exceeds the number
// of revisions that a store loses when it is restored.
const epochStep = 1 << 20

// fencingTokenBase returns a number that grows with the store's revisions and does not decrease
// when the store is restored.
func fencingTokenBase(r fleet.Revision) uint64 { return r.Number() + r.Epoch()*epochStep }

// maxTickAge is the greatest age of the last roster tick at which orders may be sent. A VM that was
// paused must update its view of the fleet first.
const maxTickAge = 2*largeFleetHeartbeatInterval + 100*time.Millisecond

// orderFencingToken returns the fencing token for orders, or 0 if this VM may not send orders.
func (n *Node) orderFencingToken() uint64 {
	n.checkSuspension()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now().Sub(n.lastRosterTick) > maxTickAge {
		return 0
	}
	return n.leadership.FencingToken()
}
