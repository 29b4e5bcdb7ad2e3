package node

import (
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/schema"
)

// view is the membership view of one VM, guarded by a mutex. It implements confsync.Membership.
// Lock order: no other lock is acquired while view.mu is held.
type view struct {
	self coord.VMID
	zone string
	now  func() time.Time

	mu      sync.Mutex
	tracker *membership.Tracker
	leaving bool
	// dirty receives a signal when the view has changed.
	dirty chan struct{}
}

func newView(self coord.VMID, zone string, heartbeat time.Duration, now func() time.Time) *view {
	return &view{
		self: self, zone: zone, now: now,
		tracker: membership.New(membership.Config{
			Self: self, SuspectAfter: missedHeartbeatsLimit * heartbeat, Monitors: monitorsPerVM,
		}),
		dirty: make(chan struct{}, 1),
	}
}

// monitorsPerVM is how many VMs watch each VM's heartbeats. missedHeartbeatsLimit is how many
// heartbeat intervals may pass without a heartbeat before a VM becomes suspect.
const (
	monitorsPerVM         = 3
	missedHeartbeatsLimit = 3
)

func (v *view) markDirty() {
	select {
	case v.dirty <- struct{}{}:
	default:
	}
}

// applyList applies a published list and returns the VMs that are no longer on it.
func (v *view) applyList(l *schema.VMList) []coord.VMID {
	listed := make([]membership.ListedVM, 0, len(l.Vms))
	for _, vm := range l.Vms {
		listed = append(listed, membership.ListedVM{
			ID: coord.VMID(vm.Id), Zone: vm.Hall, Address: vm.Address,
			Leaving: vm.State == schema.VMState_VM_STATE_LEAVING,
		})
	}
	v.mu.Lock()
	dropped := v.tracker.ApplyList(v.now(), l.Version, listed)
	v.mu.Unlock()
	v.markDirty()
	return dropped
}

// handleHeartbeat applies a heartbeat and reports whether the view changed.
func (v *view) handleHeartbeat(h *schema.Heartbeat) bool {
	v.mu.Lock()
	changed := v.tracker.HandleHeartbeat(v.now(), coord.VMID(h.Vm), h.Incarnation, h.Leaving)
	v.mu.Unlock()
	if changed {
		v.markDirty()
	}
	return changed
}

func (v *view) handleSuspicion(id coord.VMID, incarnation uint64) bool {
	v.mu.Lock()
	changed := v.tracker.HandleSuspicion(v.now(), id, incarnation)
	v.mu.Unlock()
	if changed {
		v.markDirty()
	}
	return changed
}

// suspectsOlderThan returns the VMs that have been suspect for at least d.
func (v *view) suspectsOlderThan(d time.Duration) []coord.VMID {
	now := v.now()
	return ids(v.members(), func(m *membership.Member) bool {
		return m.State == membership.Suspect && now.Sub(m.SuspectSince) >= d
	})
}

// tick returns copies of the VMs that have become suspect since the last tick.
func (v *view) tick() []membership.Member {
	v.mu.Lock()
	var out []membership.Member
	for _, m := range v.tracker.Tick(v.now()) {
		out = append(out, *m)
	}
	v.mu.Unlock()
	if len(out) > 0 {
		v.markDirty()
	}
	return out
}

func (v *view) setLeaving() {
	v.mu.Lock()
	v.leaving = true
	v.mu.Unlock()
	v.markDirty()
}

func (v *view) isLeaving() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.leaving
}

// members returns copies of the listed VMs. This VM is marked as leaving once setLeaving was
// called.
func (v *view) members() []*membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*membership.Member, 0, len(v.tracker.Members()))
	for _, m := range v.tracker.Members() {
		c := *m
		if c.ID == v.self && v.leaving {
			c.State = membership.Leaving
		}
		out = append(out, &c)
	}
	return out
}

// address returns a VM's peer address, or "" if the VM is not listed.
func (v *view) address(id coord.VMID) string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if m := v.tracker.Member(id); m != nil {
		return m.Address
	}
	return ""
}

// alive reports whether a VM's process of the given incarnation may still be active.
func (v *view) alive(id coord.VMID, incarnation uint64) bool {
	if id == v.self {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.tracker.Member(id)
	return m != nil && m.State != membership.Suspect && m.Incarnation <= incarnation
}

func (v *view) ownMonitors() []coord.VMID {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.tracker.MonitorsOf(v.self)
}

// Others returns the other listed VMs.
func (v *view) Others() []coord.VMID {
	return ids(v.members(), func(m *membership.Member) bool { return m.ID != v.self })
}

func ids(members []*membership.Member, keep func(*membership.Member) bool) []coord.VMID {
	var out []coord.VMID
	for _, m := range members {
		if keep(m) {
			out = append(out, m.ID)
		}
	}
	return out
}

// watchersPerZone is how many VMs of an availability zone poll the platform.
const watchersPerZone = 2

// IsWatcher reports whether this VM polls the platform for its zone.
func (v *view) IsWatcher() bool {
	for _, id := range watchers(v.members(), v.zone, watchersPerZone) {
		if id == v.self {
			return true
		}
	}
	return false
}

// watchers returns the first n VMs of a zone, by rendezvous hash, that poll the platform.
func watchers(members []*membership.Member, zone string, n int) []coord.VMID {
	var live []*membership.Member
	var hashes []uint64
	for _, m := range members {
		if m.Zone == zone && m.State == membership.Live {
			live = append(live, m)
			hashes = append(hashes, rendezvous.Hash(string(m.ID)))
		}
	}
	best := make([]int, n)
	count := rendezvous.Top(hashes, rendezvous.Hash(zone), best)
	out := make([]coord.VMID, 0, count)
	for _, i := range best[:count] {
		out = append(out, live[i].ID)
	}
	return out
}

// PeersToNotify returns the VMs that a watcher notifies of a new version: those of its own zone,
// and the first watcher of each other zone.
func (v *view) PeersToNotify() []coord.VMID {
	if !v.IsWatcher() {
		return nil
	}
	members := v.members()
	out := ids(members, func(m *membership.Member) bool { return m.Zone == v.zone && m.ID != v.self })
	seen := map[string]bool{v.zone: true}
	for _, m := range members {
		if !seen[m.Zone] {
			seen[m.Zone] = true
			out = append(out, watchers(members, m.Zone, 1)...)
		}
	}
	return out
}

func countLive(members []*membership.Member) int {
	n := 0
	for _, m := range members {
		if m.State == membership.Live {
			n++
		}
	}
	return n
}
