package edge

import (
	"context"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/schema"
)

// heartbeatLoop runs heartbeat rounds until the context ends. They spread the roster and keep this
// VM's view of the fleet and the leadership current.
func (n *Node) heartbeatLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.alignToTick(n.currentHeartbeatInterval())):
		case <-n.heartbeatDue:
		}
		n.runHeartbeatRound()
	}
}

func (n *Node) currentHeartbeatInterval() time.Duration {
	if n.now().Sub(n.startedAt) < startupTime {
		return startupHeartbeatInterval
	}
	if n.vmCount.Load() >= largeFleetSize {
		return largeFleetHeartbeatInterval
	}
	return heartbeatInterval
}

func (n *Node) runHeartbeatRound() {
	now := n.now()
	isolated := n.reachability.announcesIsolation(now)
	n.mu.Lock()
	n.roster.SetIsolated(isolated)
	changes, paused := n.roster.Tick(now)
	if paused {
		n.leadership.HandleSuspension(now)
		n.roster.SetFencingToken(0)
	}
	n.lastRosterTick = now
	n.mu.Unlock()
	if paused {
		n.log.Paused(suspectAfter / 2)
	}
	n.onRosterChanges(changes)
	n.updateRelays()
	n.updateLeadership()
	n.quotas.tick()
	share := n.responsiveShare()
	n.rateLimits.tick(share)
	n.rejectionLimits.tick(share)
	n.feed.Expire()
	for _, vm := range n.gossipPeers() {
		go n.sendHeartbeat(vm)
	}
}

// gossipPeers selects the VMs that receive this round's heartbeat.
func (n *Node) gossipPeers() []coord.VMID {
	n.mu.Lock()
	var live []roster.Entry
	for _, m := range n.roster.Members() {
		if m.State != roster.Suspect {
			live = append(live, m.Entry)
		}
	}
	n.mu.Unlock()
	return selectGossipPeers(n.settings.Vm.Id, n.settings.Vm.Zone, live)
}

// selectGossipPeers selects fanout VMs: most from this VM's zone, since traffic between zones is
// charged for, and one from anywhere. In a large fleet that one is this VM's fixed peer in a random
// other zone, see crossZonePeers: when it was any of 194 other VMs, each VM opened a session to
// every other and kept it. Since each VM has such a peer in every other zone, news still crosses
// between all zones.
func selectGossipPeers(self, zone string, live []roster.Entry) []coord.VMID {
	var sameZone, candidates []coord.VMID
	for _, e := range live {
		candidates = append(candidates, e.ID)
		if e.Zone == zone {
			sameZone = append(sameZone, e.ID)
		}
	}
	if len(live) >= largeFleetSize {
		candidates = crossZonePeers(self, zone, live)
	}
	return firstDistinct(append(randomSample(sameZone, fanout-1), randomSample(candidates, fanout)...), fanout)
}

// firstDistinct returns the first distinct VMs of a list, at most limit of them.
func firstDistinct(vms []coord.VMID, limit int) []coord.VMID {
	var out []coord.VMID
	for _, vm := range vms {
		if len(out) < limit && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// crossZonePeers returns one live VM of each zone other than the given one. The choice for self is
// the same as long as that VM is live.
func crossZonePeers(self, zone string, live []roster.Entry) []coord.VMID {
	zones := map[string][]coord.VMID{}
	for _, e := range live {
		if e.Zone != zone {
			zones[e.Zone] = append(zones[e.Zone], e.ID)
		}
	}
	var out []coord.VMID
	for _, vms := range zones {
		out = append(out, rendezvous.Winner(vms, rendezvous.Hash(self)))
	}
	return out
}

// sendHeartbeatToAll sends a heartbeat to every live VM.
func (n *Node) sendHeartbeatToAll() {
	for _, vm := range n.livePeers() {
		go n.sendHeartbeat(vm)
	}
}

// sendHeartbeat sends a heartbeat to a VM unless the previous one is still in flight.
func (n *Node) sendHeartbeat(vm coord.VMID) {
	if _, inFlight := n.heartbeatsInFlight.LoadOrStore(vm, true); inFlight {
		return
	}
	defer n.heartbeatsInFlight.Delete(vm)
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	err := n.mesh.SendHeartbeat(ctx, vm, &schema.Heartbeat{Vm: n.settings.Vm.Id, Roster: n.rosterDigest()})
	if err != nil {
		n.log.PeerCallFailed("heartbeat", string(vm), err)
	}
}

// onRosterChanges logs roster changes, sends this VM's state to VMs that have joined, restarted or
// become responsive again, and releases the state of VMs that are unresponsive, gone or restarted.
func (n *Node) onRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		if c.NewIncarnation != 0 || c.Old == "" || c.Old == roster.Suspect.String() {
			n.quarantine.sendFindingsTo(c.VM)
			go n.sendLeavingTargets(c.VM, n.feed.Leaving())
			n.rateLimits.sendLimitsTo(c.VM)
			n.rejectionLimits.sendLimitsTo(c.VM)
			n.origins.sendTo(c.VM)
		}
		n.log.PeerChanged(string(c.VM), c.Old, c.New, c.UnresponsiveFor)
		if c.New == roster.Suspect.String() || c.New == "" {
			n.mesh.Disconnect(c.VM)
			n.schedulers.vmUnresponsive(c.VM)
			n.queues.removeVM(c.VM, aboveAllTickets)
			n.quarantine.forgetVM(c.VM, aboveAllTickets)
		}
		if c.NewIncarnation != 0 {
			n.schedulers.vmRestarted(c.VM, c.NewIncarnation)
			n.queues.removeVM(c.VM, c.NewIncarnation)
			n.quarantine.forgetVM(c.VM, c.NewIncarnation)
		}
	}
	if len(changes) > 0 {
		n.updateStoreWatchers()
		n.updateRelays()
	}
}
