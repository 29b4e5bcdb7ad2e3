// Package roster finds out which VMs are live where nobody publishes a list of
// them. Each VM counts its own heartbeats and now and then sends all the counts
// that it knows to some others; a VM whose count stands still is silent. It is
// the failure detector of van Renesse, Minsky and Hayden, "A Gossip-Style Failure
// Detection Service" (1998).
//
// A VM joins by telling one that is in already. It leaves by saying so, or by
// silence: it is suspect after SuspectAfter, and no longer counts as part of the
// fleet after ForgetAfter.
//
// roster.go is the view of one VM, gossip.go what VMs tell each other.
//
// Roster has no clock and does no I/O; times come in with each call. It is not
// safe for concurrent use.
package roster

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Entry is what one VM says of itself, carried from VM to VM.
type Entry struct {
	ID      coord.VMID
	Address string
	Zone    string
	// Incarnation grows with each start of the process.
	Incarnation uint64
	// Heartbeat counts the process's heartbeats.
	Heartbeat uint64
	Leaving   bool
	// FencingToken under which the VM holds the scheduler's lease; 0: none.
	FencingToken uint64
	// Capacity of the VM for work for others, in hundredths of a core.
	Capacity uint32
}

// State is how far a VM can be counted on.
type State int

// The states of a VM.
const (
	// Live VMs were heard of lately.
	Live State = iota
	// Suspect VMs have been silent; they may be cut off and still act.
	Suspect
	// Leaving VMs finish what they have.
	Leaving
)

// String gives the state's name for logs.
func (s State) String() string { return [...]string{"live", "suspect", "leaving"}[s] }

// Member is a VM as this VM sees it.
type Member struct {
	Entry
	State State
	// LastHeartbeat is when the count last grew.
	LastHeartbeat time.Time

	digest uint64
	// changed is when anything but the count last changed, and told how often the entry
	// was sent whole since.
	changed time.Time
	told    int
}

// Config holds the fixed settings of a Roster.
type Config struct {
	// SuspectAfter is the silence after which a VM is suspect, in a fleet of up to
	// eight.
	SuspectAfter time.Duration
	// SuspectGrowth is added for each doubling of the fleet beyond that.
	SuspectGrowth time.Duration
	// ForgetAfter is the silence after which a VM is no longer part of the fleet,
	// as long as this VM is in touch with most of it.
	ForgetAfter time.Duration
	// AbandonAfter is the silence after which it is not even so: either nearly all
	// VMs are lost, or this one has been cut off for that long.
	AbandonAfter time.Duration
	// Seeds are addresses of VMs that this one joins through. One that was not
	// heard of since Start counts as a silent member until AbandonAfter: a VM that
	// starts cut off from the others must not take itself for all of them.
	Seeds []string
	Start time.Time
}

// Change is a transition to be logged: a VM joined (Old is empty), changed its
// state, or was forgotten (New is empty).
type Change struct {
	VM              coord.VMID
	Old, New        string
	UnresponsiveFor time.Duration
	// NewIncarnation is the incarnation of a process of the VM that was not heard of
	// before; 0: the same process.
	NewIncarnation uint64
}

// Roster is one VM's view of the fleet.
type Roster struct {
	cfg     Config
	self    Entry
	members map[coord.VMID]*Member
	digests map[uint64]*Member
	// forgotten keeps the last entry of VMs that are gone, so that a stale copy
	// does not bring them back.
	forgotten map[coord.VMID]Entry
	last      time.Time
	// met holds the addresses that any VM was heard of at.
	met map[string]bool
}

// New returns a Roster that knows only this VM.
func New(cfg Config, self Entry) *Roster {
	return &Roster{
		cfg: cfg, self: self, last: cfg.Start,
		members: map[coord.VMID]*Member{}, digests: map[uint64]*Member{}, forgotten: map[coord.VMID]Entry{},
		met: map[string]bool{self.Address: true},
	}
}

// Self returns this VM's own entry.
func (r *Roster) Self() Entry { return r.self }

// SetLeaving says that this VM leaves.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// SetFencingToken says under which number this VM holds the scheduler's lease.
func (r *Roster) SetFencingToken(fence uint64) { r.self.FencingToken = fence }

// Member returns another VM, or nil.
func (r *Roster) Member(id coord.VMID) *Member { return r.members[id] }

// Members returns the other VMs that are part of the fleet, by id.
func (r *Roster) Members() []*Member {
	out := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// Live returns all live VMs by id, this one among them unless it leaves.
func (r *Roster) Live() []Entry {
	var out []Entry
	if !r.self.Leaving {
		out = append(out, r.self)
	}
	for _, m := range r.members {
		if m.State == Live {
			out = append(out, m.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// LeaderCandidates returns the live VMs that have at least half of the largest capacity
// among them: those that can work for all others.
func (r *Roster) LeaderCandidates() []Entry {
	live := r.Live()
	most := uint32(0)
	for _, e := range live {
		most = max(most, e.Capacity)
	}
	return slices.DeleteFunc(live, func(e Entry) bool { return 2*e.Capacity < most })
}

// Size returns how many VMs are part of the fleet, this one and silent ones
// among them.
func (r *Roster) Size() int { return len(r.members) + 1 }

// HasMajority reports whether this VM is in touch with more than half of the
// fleet, itself included. Of two equal halves, the one with the lowest id has it.
func (r *Roster) HasMajority() bool {
	heard := r.ResponsiveCount()
	size := r.Size() + r.unmetSeeds()
	if 2*heard == size {
		return r.hearsLowest() && size == r.Size()
	}
	return 2*heard > size
}

// ResponsiveCount returns how many VMs are not silent, this one among them.
func (r *Roster) ResponsiveCount() int {
	heard := 1
	for _, m := range r.members {
		if m.State != Suspect {
			heard++
		}
	}
	return heard
}

// hearsLowest reports whether the VM with the lowest id is not silent.
func (r *Roster) hearsLowest() bool {
	lowest, heard := r.self.ID, true
	for id, m := range r.members {
		if id < lowest {
			lowest, heard = id, m.State != Suspect
		}
	}
	return heard
}

// smallFleet is the largest number of VMs for which SuspectAfter holds as it is.
const smallFleet = 8

// SuspectAfter is the silence after which a VM is suspect in a fleet of this size.
func (r *Roster) SuspectAfter() time.Duration {
	doublings := max(bits.Len(uint((r.Size()-1)/smallFleet)), 0)
	return r.cfg.SuspectAfter + time.Duration(doublings)*r.cfg.SuspectGrowth
}

// unmetSeeds returns how many seeds were not heard of since the start.
func (r *Roster) unmetSeeds() int {
	if r.last.Sub(r.cfg.Start) >= r.cfg.AbandonAfter {
		return 0
	}
	n := 0
	for _, address := range r.cfg.Seeds {
		if !r.met[address] {
			n++
		}
	}
	return n
}

// Tick counts a heartbeat of this VM and looks for silent ones. When this VM
// itself stood still for over half of SuspectAfter, silence proves nothing and
// every wait starts again; paused reports that.
func (r *Roster) Tick(now time.Time) (changes []Change, paused bool) {
	forgetAfter := r.cfg.AbandonAfter
	if r.HasMajority() {
		forgetAfter = r.cfg.ForgetAfter
	}
	suspectAfter := r.SuspectAfter()
	paused = now.Sub(r.last) > r.cfg.SuspectAfter/2
	r.last = now
	r.self.Heartbeat++
	for id, m := range r.members {
		if paused && m.State != Suspect {
			m.LastHeartbeat = now
		}
		silent := now.Sub(m.LastHeartbeat)
		switch {
		case silent >= forgetAfter, m.State == Leaving && silent >= suspectAfter:
			delete(r.members, id)
			delete(r.digests, m.digest)
			r.forgotten[id] = m.Entry
			changes = append(changes, Change{VM: id, Old: m.State.String(), UnresponsiveFor: silent})
		case silent >= suspectAfter && m.State == Live:
			m.State = Suspect
			changes = append(changes, Change{VM: id, Old: Live.String(), New: Suspect.String(), UnresponsiveFor: silent})
		}
	}
	return changes, paused
}
