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

// beatLoop tells others the roster and keeps view and duty current.
func (n *Node) beatLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.heartbeat()):
		}
		n.beat()
	}
}

func (n *Node) heartbeat() time.Duration {
	if n.now().Sub(n.began) < startTime {
		return startHeartbeat
	}
	if n.vms.Load() >= largeFleet {
		return slowHeartbeat
	}
	return heartbeat
}

func (n *Node) beat() {
	now := n.now()
	n.mu.Lock()
	changes, paused := n.roster.Tick(now)
	if paused {
		n.duty.HandleSuspension(now)
		n.roster.SetFencingToken(0)
	}
	n.lastTick = now
	n.mu.Unlock()
	if paused {
		n.log.Paused(suspectAfter / 2)
	}
	n.onRosterChanges(changes)
	n.updateDuty()
	n.quotas.tick()
	n.rateLimits.tick(n.heardShare())
	n.feed.Expire()
	for _, vm := range n.listeners() {
		go n.beatTo(vm)
	}
}

// listeners picks the VMs to tell this time.
func (n *Node) listeners() []coord.VMID {
	n.mu.Lock()
	var live []roster.Entry
	for _, m := range n.roster.Members() {
		if m.State != roster.Suspect {
			live = append(live, m.Entry)
		}
	}
	n.mu.Unlock()
	return pickListeners(n.settings.Vm.Id, n.settings.Vm.Zone, live)
}

// pickListeners picks most of the VMs to tell from this VM's zone, since bytes between zones
// are charged for, and one anywhere. In a large fleet that one is this VM's partner in some
// zone, always the same: with any of 194 others, each VM had a session open to each, and kept
// it. Every zone has a partner in every other for each of its VMs.
func pickListeners(self, zone string, live []roster.Entry) []coord.VMID {
	var near, all []coord.VMID
	for _, e := range live {
		all = append(all, e.ID)
		if e.Zone == zone {
			near = append(near, e.ID)
		}
	}
	if len(live) >= largeFleet {
		all = partners(self, zone, live)
	}
	return firstDistinct(append(shuffled(near, fanout-1), shuffled(all, fanout)...), fanout)
}

// firstDistinct returns the first VMs of a list without repetitions, so many at most.
func firstDistinct(vms []coord.VMID, most int) []coord.VMID {
	var out []coord.VMID
	for _, vm := range vms {
		if len(out) < most && !slices.Contains(out, vm) {
			out = append(out, vm)
		}
	}
	return out
}

// partners returns one live VM of each other zone.
func partners(self, zone string, live []roster.Entry) []coord.VMID {
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

// beatAll tells every VM at once.
func (n *Node) beatAll() {
	for _, vm := range n.others() {
		go n.beatTo(vm)
	}
}

// beatTo sends one heartbeat unless the last one is still on its way.
func (n *Node) beatTo(vm coord.VMID) {
	if _, busy := n.beating.LoadOrStore(vm, true); busy {
		return
	}
	defer n.beating.Delete(vm)
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	err := n.mesh.SendHeartbeat(ctx, vm, &schema.Heartbeat{Vm: n.settings.Vm.Id, Roster: n.tellRoster()})
	if err != nil {
		n.log.PeerCallFailed("heartbeat", string(vm), err)
	}
}

// onRosterChanges logs what changed and lets go of VMs that are away.
func (n *Node) onRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		if c.NewIncarnation != 0 || c.Old == "" || c.Old == roster.Suspect.String() {
			n.contents.tellTo(c.VM)
			go n.tellLeaving(c.VM, n.feed.Leaving())
			n.rateLimits.tellTo(c.VM)
		}
		n.log.PeerChanged(string(c.VM), c.Old, c.New, c.UnresponsiveFor)
		if c.New == roster.Suspect.String() || c.New == "" {
			n.mesh.Disconnect(c.VM)
			n.schedules.silent(c.VM)
			n.lines.drop(c.VM, allTickets)
			n.contents.drop(c.VM, allTickets)
		}
		if c.NewIncarnation != 0 {
			n.schedules.restarted(c.VM, c.NewIncarnation)
			n.lines.drop(c.VM, c.NewIncarnation)
			n.contents.drop(c.VM, c.NewIncarnation)
		}
	}
	if len(changes) > 0 {
		n.updateReaders()
	}
}
