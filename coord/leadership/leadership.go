// Package leadership elects the leader of a group of VMs: the one VM that may give
// orders to the engines of the group.
//
// There is no list of VMs and no shared store to write a lease into. A leader acts
// under a fencing token higher than every token used before; engines reject lower
// ones. A VM acquires leadership only after it has received no claim by another VM
// for a waiting time, and stops sending orders when it has lost contact with more than
// half of the fleet. Where engines do not check tokens, the waiting time is the lease,
// so that the earlier leader has stopped by then. Where engines check tokens, it need
// only be long enough to discover the other VMs and for the last order of the earlier
// leader to become visible.
//
// A fencing token has the store's revision, read when leadership is acquired, in the
// high bits and a tie-break in the low bits. The revision only increases, survives the
// loss of all VMs, and does not depend on clocks. Where engines check tokens, a fleet
// that has lost the store continues with the token after the highest known one.
//
// Only VMs whose capacity is close to the largest become leader, because the leader works
// for all other VMs. VMs may disagree for some heartbeats on which these are; like any other
// disagreement on the successor, this is settled by the waiting time and the fencing token.
// The leader keeps its role while it is live: neither a VM that returns nor a larger one
// takes leadership over. A leader that is isolated from the targets steps down if another
// candidate is not, because orders cannot be relayed.
//
// A VM that has not seen all seeds does not know whether VMs that it cannot find have a leader.
// It learns that from the engines alone: they count the orders that they accept, and reject those of
// the lower token. Such a VM acquires leadership once no other VM has ordered an engine for some
// time; a leader that is fenced off becomes a follower until then. See contest.go.
package leadership

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
)

// tieBreakBits is the number of low bits of a fencing token that distinguish VMs that
// have read the same revision.
const tieBreakBits = 16

// NextFencingToken returns a fencing token higher than seen, based on a revision of the store.
func NextFencingToken(revision, seen uint64, self coord.VMID) uint64 {
	high := max(revision, seen>>tieBreakBits+1)
	return high<<tieBreakBits | rendezvous.Hash(string(self))&(1<<tieBreakBits-1)
}

// Phase is the progress of this VM towards leadership.
type Phase int

// The phases of leadership.
const (
	// Idle means that another VM is or should become the leader.
	Idle Phase = iota
	// Waiting means that this VM acquires leadership once the last claim is old enough.
	Waiting
	// Acquiring means that this VM reads the store's revision for its fencing token.
	Acquiring
	// Leading means that this VM may give orders.
	Leading
)

// String returns the name of the phase for logs.
func (p Phase) String() string { return [...]string{"idle", "waiting", "taking", "holding"}[p] }

// Machine is one VM's view of one leader election.
type Machine struct {
	self  coord.VMID
	key   uint64
	lease time.Duration
	phase Phase
	token uint64
	// highestSeen is the highest fencing token known to this VM.
	highestSeen uint64
	// lastClaim is when another VM's claim was last received or this VM's leadership
	// began or ended; initially the start of this process.
	lastClaim time.Time
	leader    coord.VMID
	// expected is the VM that should have acquired leadership next, as of the last update; empty
	// while there is a claim.
	expected coord.VMID
	rejected bool
	// claimant is the VM whose claim was last received.
	claimant coord.VMID
	// handedOver reports whether that VM is live and has given up its claim because it is isolated.
	handedOver bool
	// handoverWait replaces lease after such a claim.
	handoverWait time.Duration
	// settledAt is when this VM has been up for long enough to know the other VMs.
	settledAt time.Time
	// enginesCheckTokens reports whether engines reject lower fencing tokens.
	enginesCheckTokens bool
	// failedReads counts consecutive failures to read the revision.
	failedReads int
	// contest is what this VM knows of leaders that it cannot find.
	contest contest
}

// maxFailedReads is the number of consecutive failed reads of the revision after which the
// fencing token is made without it. A single response may be lost; a store that is down
// sends none.
const maxFailedReads = 2

// settleTime covers several rounds of heartbeats. A VM that has just started knows only
// itself and must not consider itself the leader yet.
const settleTime = 300 * time.Millisecond

// New returns a Machine for the leader election called name. Until lease has passed since
// now, a VM that is not known yet may hold a claim. enginesCheckTokens reports whether
// engines reject lower fencing tokens.
func New(now time.Time, self coord.VMID, name string, lease time.Duration, enginesCheckTokens bool) *Machine {
	return &Machine{
		self: self, key: rendezvous.Hash(name), lease: lease, lastClaim: now, settledAt: now.Add(settleTime), enginesCheckTokens: enginesCheckTokens,
		handoverWait: lease, contest: contest{startedAt: now},
	}
}

// SetHandoverWait sets the waiting time after the claim of a leader that steps down because it is
// isolated. Unlike one that has failed, it may have sent orders until then.
func (m *Machine) SetHandoverWait(d time.Duration) { m.handoverWait = d }

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// FencingToken returns the token under which to send orders, or 0 when this VM may not
// send any.
func (m *Machine) FencingToken() uint64 {
	if m.phase != Leading {
		return 0
	}
	return m.token
}

// Leader returns the VM to which requests for decisions are sent: the VM with the highest
// claim, or else the VM that should acquire leadership next. It is empty while this VM has
// just started or has lost contact with most of the fleet.
func (m *Machine) Leader() coord.VMID { return m.leader }

// Update applies the current view of the fleet. It returns true when the caller must read
// the store's revision and call Acquire.
func (m *Machine) Update(now time.Time, r *roster.Roster) (acquire bool) {
	claimant := m.highestClaim(now, r)
	excluded := isExcluded(r)
	if excluded || r.Self().Isolated && m.expected != m.self {
		m.lastClaim = now // a VM that returns waits like one that starts
	}
	switch {
	case m.phase == Leading && (m.highestSeen > m.token || m.rejected || r.Self().Leaving || excluded):
		m.stepDown(now)
	case m.phase == Leading:
		m.leader = m.self
		m.expected = ""
		if !m.contest.mayKeepLeading(r) {
			m.stepDown(now)
		}
		return false
	}
	m.contest.update(now, claimant == "" && r.Majority() == roster.MajorityOfSeen)
	if claimant != "" {
		m.leader = claimant
		m.expected = ""
		m.phase = Idle
		return false
	}
	if now.Before(m.settledAt) || !m.contest.mayAcquire(now, r) {
		m.leader = ""
		m.phase = Idle
		return false
	}
	m.expect(now, r, m.successor(r.LeaderCandidates()))
	if m.leader != m.self {
		m.phase = Idle
		return false
	}
	if m.phase == Idle {
		m.phase = Waiting
	}
	if m.phase == Waiting && now.Sub(m.lastClaim) >= m.wait() {
		m.phase = Acquiring
		m.contest.provisional = r.Majority() == roster.MajorityOfSeen
		return true
	}
	return false
}

// isExcluded reports whether this VM is isolated from the targets, and another candidate is not.
func isExcluded(r *roster.Roster) bool {
	return r.Self().Isolated && slices.ContainsFunc(r.LeaderCandidates(), func(e roster.Entry) bool { return !e.Isolated })
}

// highestClaim returns the live VM with the highest claim, or "" if there is none. It
// updates highestSeen, lastClaim, claimant and handedOver.
func (m *Machine) highestClaim(now time.Time, r *roster.Roster) coord.VMID {
	var claimant coord.VMID
	var highest uint64
	for _, member := range r.Members() {
		if member.FencingToken == 0 {
			m.handedOver = m.handedOver || member.ID == m.claimant && member.Isolated && member.State == roster.Live
			continue
		}
		m.highestSeen = max(m.highestSeen, member.FencingToken)
		if member.State == roster.Suspect {
			continue
		}
		m.lastClaim = now
		if member.FencingToken > highest && member.State == roster.Live {
			claimant, highest = member.ID, member.FencingToken
		}
	}
	if claimant != "" {
		m.claimant, m.handedOver = claimant, false
	}
	return claimant
}

// wait returns how long no other VM may have claimed the leadership before this one acquires it.
func (m *Machine) wait() time.Duration {
	if m.handedOver {
		return m.handoverWait
	}
	return m.lease
}

// expect sets the VM that should acquire leadership next. If a live VM was expected before, this VM
// waits anew: that one may have acquired it, and its claim may be in transit.
func (m *Machine) expect(now time.Time, r *roster.Roster, successor coord.VMID) {
	before := r.Member(m.expected)
	if successor == m.self && before != nil && before.State == roster.Live {
		m.lastClaim = now
	}
	m.expected, m.leader = successor, successor
}

// successor returns the candidate that should acquire leadership next.
func (m *Machine) successor(candidates []roster.Entry) coord.VMID {
	ids := make([]coord.VMID, len(candidates))
	for i, e := range candidates {
		ids[i] = e.ID
	}
	return rendezvous.Winner(ids, m.key)
}

// stepDown ends this VM's leadership or its attempt to acquire it.
func (m *Machine) stepDown(now time.Time) {
	m.phase = Idle
	m.lastClaim = now
	m.rejected = false
	m.highestSeen = max(m.highestSeen, m.token)
}

// Acquire acquires leadership with the store's revision, which the caller reads after
// Update has returned true. ok is false when the revision could not be read; Update then
// requests it again. After maxFailedReads failures the token after the highest known one
// is used, provided that engines check tokens and one is known, so that the fleet need
// not wait for the store. If a higher token was used that this VM does not know, engines
// reject this one.
func (m *Machine) Acquire(now time.Time, revision uint64, ok bool) {
	if m.phase != Acquiring {
		return
	}
	if !ok {
		m.failedReads++
		if !m.enginesCheckTokens || m.highestSeen == 0 || m.failedReads < maxFailedReads {
			m.phase = Waiting
			return
		}
		revision = 0
	}
	m.failedReads = 0
	m.token = NextFencingToken(revision, m.highestSeen, m.self)
	m.highestSeen = m.token
	m.phase = Leading
	m.leader = m.self
	m.lastClaim = now
}

// HandleSuspension handles a suspension of this process by stepping down. Another VM may
// be the leader by now, and engines to which it has not sent an order yet would still
// accept the orders of this VM.
func (m *Machine) HandleSuspension(now time.Time) {
	if m.phase == Leading || m.phase == Acquiring {
		m.stepDown(now)
	}
}

// HandleRejection processes an engine's rejection of an order under token: the engine has
// accepted a higher token. The rejected token is not used again.
func (m *Machine) HandleRejection(token uint64) {
	if m.phase == Leading && token == m.token {
		m.rejected = true
	}
}
