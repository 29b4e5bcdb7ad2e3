// Package ownership decides which VM may give orders to a target, and when the
// adapters that were resident there before its ownership term may be evicted.
//
// The owner of a target is selected by rendezvous hashing over the live VMs of the
// published list, within the target's availability zone when the zone has live VMs.
// VMs with the same view agree without exchanging messages. Views differ for a while
// after a fault, and a VM that resumes after a suspension may act on a view that is
// minutes old. Being selected is therefore not sufficient permission:
//
//   - Every owner sends its orders under a fencing token higher than any seen
//     before. A target that rejects lower tokens makes a late order of an earlier
//     owner harmless.
//   - The adapters that a new owner finds resident are held: they may not be evicted
//     until each VM that may have owned the target before has released it. A VM
//     releases the target by reporting the names that its last requests still use
//     (none for a VM that has restarted), or by being dropped from the list, which
//     means that it no longer runs.
//   - At a target that ignores fencing tokens, the new owner also does not use the
//     adapters that it finds. It loads adapters under its own names, which a late
//     unload by an earlier owner cannot refer to.
//
// No step relies on a correct clock or on a bound on suspensions. The cost is
// availability: while a hold lasts, the slots that it covers cannot be reused.
//
// Machine holds the ownership state of one target; all its operations are O(holds).
package ownership

import (
	"sort"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// minRetryDelay is the minimum time between two attempts of the same step.
const minRetryDelay = 250 * time.Millisecond

// hold covers the adapters that another VM may still use: all that were found until the
// VM has answered the release request, and the reported names afterwards.
type hold struct {
	answered bool
	names    []string
}

// Machine is one VM's view of the ownership of one target.
type Machine struct {
	self     coord.VMID
	tieBreak uint16
	phase    Phase
	token    uint64
	// highestSeen is the highest fencing token known from earlier ownership terms of this
	// VM, from rejections by the target and from the release requests of other VMs.
	highestSeen uint64
	desired     bool
	holds       map[coord.VMID]*hold
	resident    []string
	running     int
	// abortedUntil is the time at which the target has finished all aborted requests.
	abortedUntil time.Time
	nextAttempt  time.Time

	servingSince time.Time
	contests     int
}

// New returns a Machine for a VM that does not own the target. tieBreak
// distinguishes this VM's fencing tokens from those that other VMs generate in the
// same millisecond.
func New(self coord.VMID, tieBreak uint16) *Machine {
	return &Machine{self: self, tieBreak: tieBreak, holds: map[coord.VMID]*hold{}}
}

// Phase returns the current phase.
func (m *Machine) Phase() Phase { return m.phase }

// FencingToken returns the token under which this VM sends orders, or zero when it has none.
func (m *Machine) FencingToken() uint64 { return m.token }

// Holds returns the VMs that have not released the target, sorted by ID.
func (m *Machine) Holds() []coord.VMID {
	out := make([]coord.VMID, 0, len(m.holds))
	for id := range m.holds {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// SetDesired records whether the current view makes this VM the owner, and which VMs of
// the list may have owned the target before. It returns the actions that follow.
func (m *Machine) SetDesired(now time.Time, desired bool, possibleOwners []coord.VMID) []Action {
	acts := m.dropUnlisted(possibleOwners)
	m.desired = desired
	if desired && m.phase == Idle {
		return append(acts, m.requestReport(now, possibleOwners)...)
	}
	if !desired && m.phase != Idle && m.phase != Draining {
		return append(acts, m.stepDown(now)...)
	}
	return acts
}

func (m *Machine) requestReport(now time.Time, possibleOwners []coord.VMID) []Action {
	m.phase = Reading
	m.nextAttempt = now.Add(minRetryDelay)
	// A release that answers a request from an earlier ownership term must not count in
	// this one. Clearing the token leaves nothing for it to match until the new claim.
	m.highestSeen = max(m.highestSeen, m.token)
	m.token = 0
	m.holds = make(map[coord.VMID]*hold, len(possibleOwners))
	for _, id := range possibleOwners {
		if id != m.self {
			m.holds[id] = &hold{}
		}
	}
	return []Action{{Kind: ActRead}}
}

// dropUnlisted ends the holds of VMs that are no longer on the list. A newer incarnation
// alone does not end a hold: the incarnation that this VM knew may be older than the one
// that used the target.
func (m *Machine) dropUnlisted(possibleOwners []coord.VMID) []Action {
	if len(m.holds) == 0 {
		return nil
	}
	listed := make(map[coord.VMID]bool, len(possibleOwners))
	for _, id := range possibleOwners {
		listed[id] = true
	}
	for id := range m.holds {
		if !listed[id] {
			delete(m.holds, id)
		}
	}
	return m.holdActions()
}

// holdActions returns an ActSetHolds for the remaining holds, or nothing unless this VM serves.
func (m *Machine) holdActions() []Action {
	if m.phase != Serving {
		return nil
	}
	a := Action{Kind: ActSetHolds}
	for _, id := range m.Holds() {
		h := m.holds[id]
		a.All = a.All || !h.answered
		a.Names = append(a.Names, h.names...)
	}
	return []Action{a}
}

func (m *Machine) stepDown(now time.Time) []Action {
	m.phase = Draining
	acts := []Action{{Kind: ActStop}}
	m.finishDrain(now)
	return acts
}

func (m *Machine) finishDrain(now time.Time) {
	if m.phase == Draining && m.running == 0 && !now.Before(m.abortedUntil) {
		m.phase = Idle
	}
}

// tokenClockShift leaves the low bits of a fencing token for the tie-break.
const tokenClockShift = 16

// NextFencingToken returns a token higher than seen. Tokens grow with the wall clock, so
// that a VM that reads no token from the target still exceeds those of earlier owners.
func NextFencingToken(now time.Time, seen uint64, tieBreak uint16) uint64 {
	clock := max(uint64(now.UnixMilli()), seen>>tokenClockShift+1)
	return clock<<tokenClockShift | uint64(tieBreak)
}

// HandleReport processes the target's report and claims the target under a new fencing
// token. It has no effect outside of Reading.
func (m *Machine) HandleReport(now time.Time, r Report) []Action {
	if m.phase != Reading {
		return nil
	}
	m.phase = Claiming
	m.nextAttempt = now.Add(minRetryDelay)
	m.token = NextFencingToken(now, max(r.FencingToken, m.highestSeen), m.tieBreak)
	m.resident = r.Resident
	return []Action{{Kind: ActClaim, FencingToken: m.token}}
}

// HandleClaimAccepted starts serving after the target has accepted the claim under token.
// r is a report made after the acceptance. It includes what an earlier owner changed
// between the first report and the claim.
func (m *Machine) HandleClaimAccepted(now time.Time, token uint64, r Report) []Action {
	if m.phase != Claiming || token != m.token {
		return nil
	}
	m.phase = Serving
	m.servingSince = now
	m.nextAttempt = now.Add(minRetryDelay)
	m.resident = r.Resident
	acts := []Action{{Kind: ActServe, FencingToken: m.token, Resident: r.Resident}}
	acts = append(acts, m.holdActions()...)
	return append(acts, m.requestReleases()...)
}

func (m *Machine) requestReleases() []Action {
	acts := make([]Action, 0, len(m.holds))
	for _, id := range m.Holds() {
		acts = append(acts, Action{Kind: ActRequestRelease, VM: id, FencingToken: m.token})
	}
	return acts
}

// HandleRejection processes the target's rejection of an order under token: another VM
// has claimed the target under the higher token seen. This VM stops at once. If its view
// still makes it the owner, it requests a report again after a delay.
func (m *Machine) HandleRejection(now time.Time, token, seen uint64) []Action {
	m.highestSeen = max(m.highestSeen, seen)
	if token != m.token || m.phase == Idle || m.phase == Draining {
		return nil
	}
	return m.yieldToContender(now)
}

// maxContestDoublings bounds how often the delay between two contests doubles.
const maxContestDoublings = 5

// yieldToContender steps down in favor of another VM whose view also makes it the owner.
// If the view still makes this VM the owner, it tries again after a delay that doubles
// with each contest. Without the growing delay, two VMs whose views keep differing would
// take the target from each other over and over.
func (m *Machine) yieldToContender(now time.Time) []Action {
	if now.Sub(m.servingSince) > contestResetAfter {
		m.contests = 0
	}
	m.nextAttempt = now.Add(minRetryDelay << m.contests)
	m.contests = min(m.contests+1, maxContestDoublings)
	return m.stepDown(now)
}

// contestResetAfter is the duration of an ownership term after which earlier contests no
// longer count.
const contestResetAfter = 30 * time.Second

// HandleRestart handles a restart of the target, which loses its fencing token. The VM
// stops and claims the target again before it uses the adapters that it finds.
func (m *Machine) HandleRestart(now time.Time) []Action {
	if m.phase != Serving {
		return nil
	}
	m.nextAttempt = now
	return m.stepDown(now)
}

// HandleRelease processes vm's confirmation that it starts no more requests under tokens
// below token. inUse lists the names that its running requests still use.
func (m *Machine) HandleRelease(vm coord.VMID, token uint64, inUse []string) []Action {
	h := m.holds[vm]
	if m.phase != Serving || token != m.token || h == nil {
		return nil
	}
	h.answered = true
	h.names = inUse
	if len(inUse) == 0 {
		delete(m.holds, vm)
	}
	return m.holdActions()
}

// HandleReleaseRequest processes the release request of another VM that has claimed the
// target under token. It returns true when this VM starts no more requests under tokens
// below token; the caller then answers with the names that running requests use. It
// returns false when this VM is the owner under an equal or higher token; the caller then
// sends no answer.
func (m *Machine) HandleReleaseRequest(now time.Time, token uint64) (released bool, acts []Action) {
	m.highestSeen = max(m.highestSeen, token)
	active := m.phase == Reading || m.phase == Claiming || m.phase == Serving
	if active && m.token < token {
		acts = m.yieldToContender(now)
	}
	return m.phase == Idle || m.phase == Draining, acts
}

// MayStart reports whether a request may be sent under the current token. The caller must
// check it in the critical section that marks the request as maybe sent.
func (m *Machine) MayStart() bool { return m.phase == Serving }

// RequestStarted counts a request that is about to be sent.
func (m *Machine) RequestStarted() { m.running++ }

// RequestEnded counts a request that the target no longer runs.
func (m *Machine) RequestEnded(now time.Time) {
	if m.running > 0 {
		m.running--
	}
	m.finishDrain(now)
}

// RequestAborted counts a request whose connection was closed before its end. The target
// stops running it within coord.AbortedRequestTime.
func (m *Machine) RequestAborted(now time.Time) {
	m.abortedUntil = now.Add(coord.AbortedRequestTime)
	m.RequestEnded(now)
}

// Tick repeats a step that has not been answered, and requests a report when this VM is
// idle but should own the target. It does so at most once per retry delay.
func (m *Machine) Tick(now time.Time, possibleOwners []coord.VMID) []Action {
	m.finishDrain(now)
	if now.Before(m.nextAttempt) {
		return nil
	}
	m.nextAttempt = now.Add(minRetryDelay)
	switch m.phase {
	case Idle:
		if m.desired {
			return m.requestReport(now, possibleOwners)
		}
	case Reading:
		return []Action{{Kind: ActRead}}
	case Claiming:
		return []Action{{Kind: ActClaim, FencingToken: m.token}}
	case Serving:
		return m.requestReleases()
	}
	return nil
}
