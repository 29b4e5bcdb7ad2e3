// Package duty decides which VM holds a duty that only one may hold: giving
// orders to the engines of a group.
//
// There is no list of VMs and no shared store to write a lease into. The duty is
// taken under a fencing number above every number used before; engines refuse
// lower ones. A VM takes the duty only after no claim by another was heard for a
// time, and gives up ordering when it has lost touch with more than half of the
// fleet. Where engines do not check numbers, that time is the lease, so that the
// earlier holder has stopped before. Where they do, it need only be long enough
// to hear of the other VMs and for the earlier holder's last order to show.
//
// A number is the store's revision, read when the duty is taken, in the high
// bits, and a tie-break in the low ones. The revision grows, survives a loss of
// all VMs, and does not depend on clocks. Where engines check numbers, a fleet that
// has lost the store goes on with the number after the highest one that it knows.
//
// Only VMs with enough capacity take the duty, since it is work for all others.
// The holder stays the holder while it is live: a VM that returns does not take
// the duty back.
package leadership

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
)

// tieBits of a fencing number tell VMs apart that read the same revision.
const tieBits = 16

// NextFencingToken returns a number above seen from a revision of the store.
func NextFencingToken(revision, seen uint64, self coord.VMID) uint64 {
	high := max(revision, seen>>tieBits+1)
	return high<<tieBits | rendezvous.Hash(string(self))&(1<<tieBits-1)
}

// Phase is how far this VM is.
type Phase int

// The phases of a duty.
const (
	// Idle: another VM holds the duty, or should.
	Idle Phase = iota
	// Waiting: this VM is to take the duty when the last claim is old enough.
	Waiting
	// Acquiring: this VM reads the revision for its number.
	Acquiring
	// Leading: this VM may give orders.
	Leading
)

// String gives the phase's name for logs.
func (p Phase) String() string { return [...]string{"idle", "waiting", "taking", "holding"}[p] }

// Machine is one VM's view of one duty.
type Machine struct {
	self  coord.VMID
	key   uint64
	lease time.Duration
	phase Phase
	fence uint64
	// seen is the highest number heard of.
	seen uint64
	// claimed is when another VM's claim was last heard, or this process began.
	claimed time.Time
	holder  coord.VMID
	refused bool
	// settled is when this VM has been up for long enough to know the others.
	settled time.Time
	// checked says that engines refuse lower numbers.
	checked bool
	// unread is how often in a row the revision could not be read.
	unread int
}

// maxUnread is how often the revision is asked for before the number is made without
// it: one answer may be lost, a store that is down answers none.
const maxUnread = 2

// settleTime is some rounds of heartbeats: a VM that has just started knows only
// itself, and must not take itself for the one that is asked.
const settleTime = 300 * time.Millisecond

// New returns a Machine for the duty named name. Until lease has passed since
// now, a claim by a VM not heard of yet is possible. checked says that engines refuse
// lower numbers.
func New(now time.Time, self coord.VMID, name string, lease time.Duration, checked bool) *Machine {
	return &Machine{
		self: self, key: rendezvous.Hash(name), lease: lease, claimed: now, settled: now.Add(settleTime), checked: checked,
	}
}

// Phase returns how far this VM is.
func (m *Machine) Phase() Phase { return m.phase }

// FencingToken returns the number to order under; 0 when this VM may not order.
func (m *Machine) FencingToken() uint64 {
	if m.phase != Leading {
		return 0
	}
	return m.fence
}

// Leader returns the VM to ask for decisions: the one with the highest claim, or
// else the one that is to take the duty next. It is empty while this VM has just
// started or is out of touch with most others.
func (m *Machine) Leader() coord.VMID { return m.holder }

// Update takes the view of the fleet. It returns true when this VM is to read
// the store's revision and call Take.
func (m *Machine) Update(now time.Time, r *roster.Roster) (take bool) {
	claimant := m.highestClaim(now, r)
	switch {
	case m.phase == Leading && (m.seen > m.fence || m.refused || r.Self().Leaving):
		m.release(now)
	case m.phase == Leading:
		m.holder = m.self
		if !r.HasMajority() {
			m.release(now)
		}
		return false
	}
	if claimant != "" {
		m.holder = claimant
		m.phase = Idle
		return false
	}
	if now.Before(m.settled) || !r.HasMajority() {
		m.holder = ""
		m.phase = Idle
		return false
	}
	m.holder = m.successor(r.LeaderCandidates())
	if m.holder != m.self {
		m.phase = Idle
		return false
	}
	if m.phase == Idle {
		m.phase = Waiting
	}
	if m.phase == Waiting && now.Sub(m.claimed) >= m.lease {
		m.phase = Acquiring
		return true
	}
	return false
}

func (m *Machine) highestClaim(now time.Time, r *roster.Roster) coord.VMID {
	var holder coord.VMID
	var best uint64
	for _, o := range r.Members() {
		if o.FencingToken == 0 {
			continue
		}
		m.seen = max(m.seen, o.FencingToken)
		if o.State == roster.Suspect {
			continue
		}
		m.claimed = now
		if o.FencingToken > best && o.State == roster.Live {
			holder, best = o.ID, o.FencingToken
		}
	}
	return holder
}

func (m *Machine) successor(strong []roster.Entry) coord.VMID {
	ids := make([]coord.VMID, len(strong))
	for i, e := range strong {
		ids[i] = e.ID
	}
	return rendezvous.Winner(ids, m.key)
}

func (m *Machine) release(now time.Time) {
	m.phase = Idle
	m.claimed = now
	m.refused = false
	m.seen = max(m.seen, m.fence)
}

// Acquire takes the store's revision, read after Update asked for it. ok is false
// when it could not be read; Update asks again. While the store is down and engines
// check numbers, one above all that were heard of is enough: a fleet that goes on need
// not wait for the store, and if a higher one was used unheard, engines refuse this one.
func (m *Machine) Acquire(now time.Time, revision uint64, ok bool) {
	if m.phase != Acquiring {
		return
	}
	if !ok {
		m.unread++
		if !m.checked || m.seen == 0 || m.unread < maxUnread {
			m.phase = Waiting
			return
		}
		revision = 0
	}
	m.unread = 0
	m.fence = NextFencingToken(revision, m.seen, m.self)
	m.seen = m.fence
	m.phase = Leading
	m.holder = m.self
	m.claimed = now
}

// HandleSuspension takes the news that this process stood still: another VM may hold the duty by
// now, and engines that it has not ordered yet would still obey this one.
func (m *Machine) HandleSuspension(now time.Time) {
	if m.phase == Leading || m.phase == Acquiring {
		m.release(now)
	}
}

// HandleRejection takes an engine's refusal of an order under fence: a higher number was
// seen. The number is not used again.
func (m *Machine) HandleRejection(fence uint64) {
	if m.phase == Leading && fence == m.fence {
		m.refused = true
	}
}
