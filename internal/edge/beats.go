package edge

import (
	"context"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
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
		n.duty.Paused(now)
		n.roster.SetFence(0)
	}
	n.lastTick = now
	n.mu.Unlock()
	if paused {
		n.log.Paused(suspectAfter / 2)
	}
	n.onRosterChanges(changes)
	n.updateDuty()
	n.feed.Expire()
	for _, vm := range n.listeners() {
		go n.beatTo(vm)
	}
}

// listeners picks the VMs to tell this time: most of them near, since bytes
// between zones are charged for, and one anywhere.
func (n *Node) listeners() []coord.VMID {
	n.mu.Lock()
	var near, all []coord.VMID
	for _, m := range n.roster.Members() {
		if m.State == roster.Suspect {
			continue
		}
		all = append(all, m.ID)
		if m.Zone == n.settings.Vm.Zone {
			near = append(near, m.ID)
		}
	}
	n.mu.Unlock()
	picked := shuffled(near, fanout-1)
	for _, vm := range shuffled(all, fanout) {
		if len(picked) < fanout && !slices.Contains(picked, vm) {
			picked = append(picked, vm)
		}
	}
	return picked
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
	err := n.mesh.Beat(ctx, vm, &schema.Heartbeat{Vm: n.settings.Vm.Id, Roster: n.tellRoster()})
	if err != nil {
		n.log.PeerCallFailed("heartbeat", string(vm), err)
	}
}

// onRosterChanges logs what changed and lets go of VMs that are away.
func (n *Node) onRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		n.log.PeerChanged(string(c.VM), c.Old, c.New, c.Silent)
		if c.New == roster.Suspect.String() || c.New == "" {
			n.mesh.Drop(c.VM)
			n.schedules.silent(c.VM)
		}
		if c.Restarted != 0 {
			n.schedules.restarted(c.VM, c.Restarted)
		}
	}
	if len(changes) > 0 {
		n.updateReaders()
	}
}

// seedLoop joins the fleet through the seeds, and joins parts of it again that
// have lost each other.
func (n *Node) seedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range n.seeds() {
			if address != advertised(n.settings.Listen) && !n.knows(address) {
				n.join(ctx, address)
			}
		}
		pause := seedEvery
		if n.vms.Load() == 1 {
			pause = firstSeedEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
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
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	reply, err := n.mesh.CallAddress(ctx, address, &schema.Call{Body: &schema.Call_Roster{Roster: n.wholeRoster()}})
	if err != nil {
		n.log.PeerCallFailed("join", address, err)
		return
	}
	if reply.GetRoster() != nil {
		n.mergeRoster(reply.GetRoster())
	}
}
