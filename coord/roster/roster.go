// Package roster determines which VMs are live in a fleet without a published VM list.
// Each VM counts its own heartbeats and periodically sends all counts that it knows to
// some other VMs. A VM whose count does not increase is unresponsive. This is the failure
// detector of van Renesse, Minsky and Hayden, "A Gossip-Style Failure Detection Service"
// (1998).
//
// A VM joins by contacting a member of the fleet. It leaves by announcing it, or by being
// unresponsive: it is suspect after SuspectAfter, and no longer counts as part of the
// fleet after ForgetAfter. A VM that has announced that it is leaving no longer counts once
// it has been unresponsive for SuspectAfter.
//
// roster.go holds the view of one VM, gossip.go the exchange of entries between VMs.
//
// Roster has no clock and does no I/O; the time is an argument of each call. It is not
// safe for concurrent use.
package roster

import (
	"math/bits"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Entry is the state that a VM publishes about itself and that other VMs relay.
type Entry struct {
	ID      coord.VMID
	Address string
	Zone    string
	// Incarnation increases with each start of the process.
	Incarnation uint64
	// Heartbeat counts the process's heartbeats.
	Heartbeat uint64
	Leaving   bool
	// Isolated reports that the VM is cut off from all targets.
	Isolated bool
	// FencingToken is the token under which the VM holds the scheduler's lease; 0 means
	// that it does not hold the lease.
	FencingToken uint64
	// Capacity is the capacity of the VM for work on behalf of other VMs, in hundredths of
	// a core.
	Capacity uint32
}

// State is the availability of a VM.
type State int

// The states of a VM.
const (
	// Live VMs are responsive: a new heartbeat count was received recently.
	Live State = iota
	// Suspect VMs are unresponsive. They may be partitioned and still act.
	Suspect
	// Leaving VMs only finish their current work.
	Leaving
)

// String returns the name of the state for logs.
func (s State) String() string { return [...]string{"live", "suspect", "leaving"}[s] }

// Member is a VM as this VM sees it.
type Member struct {
	Entry
	State State
	// LastHeartbeat is when a higher heartbeat count or a newer incarnation was last
	// received. After a suspension of this VM it is the time of the resumption.
	LastHeartbeat time.Time

	digest uint64
	// changedAt is when the digest last changed.
	changedAt time.Time
	// fullSends counts how often the full entry was sent since then.
	fullSends int
}

// Config holds the fixed settings of a Roster.
type Config struct {
	// SuspectAfter is the time without a heartbeat after which a VM is suspect, in a fleet
	// of up to eight VMs.
	SuspectAfter time.Duration
	// SuspectGrowth is added to SuspectAfter for each doubling of the fleet beyond eight VMs.
	SuspectGrowth time.Duration
	// ForgetAfter is the time without a heartbeat after which a VM is no longer part of the
	// fleet, provided that this VM is in contact with most of the fleet.
	ForgetAfter time.Duration
	// AbandonAfter is the time without a heartbeat after which a VM is no longer part of
	// the fleet even without such contact: either nearly all VMs are lost, or this VM has
	// been isolated for that long.
	AbandonAfter time.Duration
	// Seeds are the addresses of the VMs through which this VM joins at first. A seed that has not
	// been seen since Start counts as an unresponsive member until AbandonAfter, because a
	// VM that starts isolated must not consider itself the whole fleet.
	Seeds []string
	// Start is when this process started.
	Start time.Time
}

// Change is a transition to be logged: a VM joined (Old is empty), changed its state,
// restarted, or was forgotten (New is empty).
type Change struct {
	VM       coord.VMID
	Old, New string
	// UnresponsiveFor is the time since the last heartbeat before the change.
	UnresponsiveFor time.Duration
	// NewIncarnation is the incarnation of the VM's new process after a restart; 0 means
	// that the process is the same.
	NewIncarnation uint64
}

// Roster is one VM's view of the fleet.
type Roster struct {
	cfg     Config
	self    Entry
	members map[coord.VMID]*Member
	digests map[uint64]*Member
	// forgotten holds the last entries of VMs that are no longer part of the fleet, so that
	// a stale copy does not bring them back.
	forgotten map[coord.VMID]Entry
	lastTick  time.Time
	// seeds are the current seeds, and formerSeeds the earlier ones.
	seeds, formerSeeds []string
	// seenAddresses holds the addresses of all VMs known so far.
	seenAddresses map[string]bool
}

// New returns a Roster that contains only this VM.
func New(cfg Config, self Entry) *Roster {
	return &Roster{
		cfg: cfg, self: self, lastTick: cfg.Start,
		members: map[coord.VMID]*Member{}, digests: map[uint64]*Member{}, forgotten: map[coord.VMID]Entry{},
		seenAddresses: map[string]bool{self.Address: true}, seeds: cfg.Seeds,
	}
}

// SetSeeds replaces the seeds. Those that are no longer named do not count as members.
func (r *Roster) SetSeeds(seeds []string) {
	for _, address := range r.seeds {
		if !slices.Contains(r.formerSeeds, address) {
			r.formerSeeds = append(r.formerSeeds, address)
		}
	}
	r.seeds = seeds
}

// LostAddresses returns the addresses at which VMs of the fleet were or may have been: those of VMs that are
// suspect or forgotten, and of former seeds. A VM that returns there, and finds no seed, is found through them.
func (r *Roster) LostAddresses() []string {
	responsive := map[string]bool{r.self.Address: true}
	var lost []string
	for _, m := range r.members {
		if m.State == Suspect {
			lost = append(lost, m.Address)
		} else {
			responsive[m.Address] = true
		}
	}
	for _, e := range r.forgotten {
		lost = append(lost, e.Address)
	}
	lost = append(lost, r.formerSeeds...)
	lost = slices.DeleteFunc(lost, func(address string) bool { return responsive[address] })
	slices.Sort(lost)
	return slices.Compact(lost)
}

// Self returns this VM's own entry.
func (r *Roster) Self() Entry { return r.self }

// SetLeaving marks this VM as leaving.
func (r *Roster) SetLeaving() { r.self.Leaving = true }

// SetIsolated sets whether this VM is cut off from all targets.
func (r *Roster) SetIsolated(isolated bool) { r.self.Isolated = isolated }

// SetFencingToken sets the token under which this VM holds the scheduler's lease; 0 means
// that it does not hold the lease.
func (r *Roster) SetFencingToken(token uint64) { r.self.FencingToken = token }

// Member returns another VM of the fleet, or nil if it is not known.
func (r *Roster) Member(id coord.VMID) *Member { return r.members[id] }

// Members returns the other VMs of the fleet, sorted by ID.
func (r *Roster) Members() []*Member {
	members := make([]*Member, 0, len(r.members))
	for _, m := range r.members {
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b *Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return members
}

// Live returns the entries of all live VMs, sorted by ID. It includes this VM unless it is
// leaving.
func (r *Roster) Live() []Entry {
	var live []Entry
	if !r.self.Leaving {
		live = append(live, r.self)
	}
	for _, m := range r.members {
		if m.State == Live {
			live = append(live, m.Entry)
		}
	}
	slices.SortFunc(live, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return live
}

// Shares of the largest capacity of any VM, in hundredths.
const (
	// capableShare is the share from which a VM has enough capacity to work for all other VMs.
	capableShare = 50
	// leaderShare is the share from which a VM may lead. The leader decides on every request of
	// the fleet and needs more processor time than any other VM: with VMs of up to 0.8 cores, a
	// leader of 0.48 cores delayed decisions by up to 0.76 s at the 99th percentile.
	leaderShare = 75
)

// CapableVMs returns the live VMs with at least half of the largest capacity of any live VM. They
// have enough capacity to work for all other VMs.
func (r *Roster) CapableVMs() []Entry { return withCapacity(r.Live(), capableShare) }

// LeaderCandidates returns the live VMs with at least three quarters of the largest capacity, among
// those that are not isolated. If all live VMs are isolated, it returns those among all of them.
func (r *Roster) LeaderCandidates() []Entry {
	live := r.Live()
	connected := slices.DeleteFunc(slices.Clone(live), func(e Entry) bool { return e.Isolated })
	if len(connected) == 0 {
		return withCapacity(live, leaderShare)
	}
	return withCapacity(connected, leaderShare)
}

// withCapacity returns the VMs with at least a share, in hundredths, of the largest capacity.
func withCapacity(vms []Entry, share uint64) []Entry {
	maxCapacity := uint32(0)
	for _, e := range vms {
		maxCapacity = max(maxCapacity, e.Capacity)
	}
	return slices.DeleteFunc(vms, func(e Entry) bool { return 100*uint64(e.Capacity) < share*uint64(maxCapacity) })
}

// ConnectedCount returns the number of VMs in the fleet that are not isolated, as far as known, at
// least 1.
func (r *Roster) ConnectedCount() int {
	connected := r.Size()
	if r.self.Isolated {
		connected--
	}
	for _, m := range r.members {
		if m.Isolated {
			connected--
		}
	}
	return max(connected, 1)
}

// Size returns the number of VMs in the fleet, including this VM and unresponsive ones.
func (r *Roster) Size() int { return len(r.members) + 1 }

// Majority is how much of the fleet this VM is in contact with, including itself.
type Majority int

// The kinds of majority.
const (
	// NoMajority: half of the VMs that this VM has seen or fewer.
	NoMajority Majority = iota
	// MajorityOfSeen: more than half of the VMs that this VM has seen. With the seeds that it has not
	// seen, they are half of the fleet or fewer.
	MajorityOfSeen
	// MajorityOfAll: more than half of the fleet, whatever became of the seeds.
	MajorityOfAll
)

// String returns the name of the majority for logs.
func (m Majority) String() string { return [...]string{"none", "seen", "all"}[m] }

// Majority returns how much of the fleet this VM is in contact with.
func (r *Roster) Majority() Majority {
	switch {
	case r.isMajorityOf(r.countUnseenSeeds()):
		return MajorityOfAll
	case r.isMajorityOf(0):
		return MajorityOfSeen
	}
	return NoMajority
}

// HasMajority reports whether this VM is in contact with more than half of the fleet,
// including itself. Until AbandonAfter, seeds that have not been seen count as members.
func (r *Roster) HasMajority() bool {
	switch r.Majority() {
	case MajorityOfAll:
		return true
	case MajorityOfSeen:
		return r.lastTick.Sub(r.cfg.Start) >= r.cfg.AbandonAfter
	}
	return false
}

// isMajorityOf reports whether this VM is in contact with more than half of the VMs that it has seen
// and of a number of unseen ones. Of two equal halves, the one that contains the lowest ID has the
// majority, unless there are unseen VMs.
func (r *Roster) isMajorityOf(unseen int) bool {
	responsive := r.ResponsiveCount()
	size := r.Size() + unseen
	if 2*responsive == size {
		return r.isLowestIDResponsive() && unseen == 0
	}
	return 2*responsive > size
}

// ResponsiveCount returns the number of VMs that are not suspect, including this VM.
func (r *Roster) ResponsiveCount() int {
	responsive := 1
	for _, m := range r.members {
		if m.State != Suspect {
			responsive++
		}
	}
	return responsive
}

// isLowestIDResponsive reports whether the VM with the lowest ID is not suspect.
func (r *Roster) isLowestIDResponsive() bool {
	lowest, responsive := r.self.ID, true
	for id, m := range r.members {
		if id < lowest {
			lowest, responsive = id, m.State != Suspect
		}
	}
	return responsive
}

// smallFleetSize is the largest number of VMs for which Config.SuspectAfter applies without
// SuspectGrowth.
const smallFleetSize = 8

// SuspectAfter returns the time without a heartbeat after which a VM is suspect in a fleet of
// the current size.
func (r *Roster) SuspectAfter() time.Duration {
	doublings := max(bits.Len(uint((r.Size()-1)/smallFleetSize)), 0)
	return r.cfg.SuspectAfter + time.Duration(doublings)*r.cfg.SuspectGrowth
}

// countUnseenSeeds returns the number of seeds that have not been seen since the start.
func (r *Roster) countUnseenSeeds() int {
	n := 0
	for _, address := range r.seeds {
		if !r.seenAddresses[address] {
			n++
		}
	}
	return n
}

// Tick counts a heartbeat of this VM and checks the others for missing heartbeats. suspended
// reports that this VM itself was suspended for longer than half of SuspectAfter. Missing
// heartbeats prove nothing in that case and every timeout starts again.
func (r *Roster) Tick(now time.Time) (changes []Change, suspended bool) {
	forgetAfter := r.cfg.AbandonAfter
	if r.HasMajority() {
		forgetAfter = r.cfg.ForgetAfter
	}
	suspectAfter := r.SuspectAfter()
	suspended = now.Sub(r.lastTick) > r.cfg.SuspectAfter/2
	r.lastTick = now
	r.self.Heartbeat++
	for id, m := range r.members {
		if suspended && m.State != Suspect {
			m.LastHeartbeat = now
		}
		unresponsiveFor := now.Sub(m.LastHeartbeat)
		switch {
		case unresponsiveFor >= forgetAfter, m.State == Leaving && unresponsiveFor >= suspectAfter:
			delete(r.members, id)
			delete(r.digests, m.digest)
			r.forgotten[id] = m.Entry
			changes = append(changes, Change{VM: id, Old: m.State.String(), UnresponsiveFor: unresponsiveFor})
		case unresponsiveFor >= suspectAfter && m.State == Live:
			m.State = Suspect
			changes = append(changes, Change{VM: id, Old: Live.String(), New: Suspect.String(), UnresponsiveFor: unresponsiveFor})
		}
	}
	return changes, suspended
}
