// Package ownership decides which VM may give orders to a target, and when the
// adapters that it finds there may be evicted.
//
// The owner of a target is a rendezvous choice over the live VMs of the
// published list, in the target's hall when it has one. VMs with the same view
// agree without a message. Views differ for a while after a fault, and a paused
// VM may act on a view that is minutes old, so a choice alone is no permission:
//
//   - Every owner orders under a fencing number higher than any seen before.
//     A target that refuses old numbers makes a late order of an earlier owner
//     harmless.
//   - What a new owner finds resident is held: it may not be evicted until each
//     VM that can have owned the target before has released it. A VM releases
//     by saying which names its last requests still use, which is none for one
//     that has started anew, or by being dropped from the list (it no longer
//     runs).
//   - At a target that ignores fencing numbers, the new owner does not use what
//     it found either, and loads under names of its own, so that a late unload
//     by an earlier owner cannot name its adapters.
//
// No step relies on a clock being right or on a bound on pauses. The cost is
// availability: while a hold lasts, the slots it covers cannot be reused.
//
// Machine is one target's state; all its operations are O(holds).
package ownership

import (
	"sort"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// retryPause is the least time between two tries of the same step.
const retryPause = 250 * time.Millisecond

// hold is what another VM may still use: everything, until it has answered, then
// the names that it gave.
type hold struct {
	answered bool
	names    []string
}

// Machine is one VM's view of who owns one target.
type Machine struct {
	self     coord.VMID
	tie      uint16
	phase    Phase
	fence    uint64
	floor    uint64
	wanted   bool
	holds    map[coord.VMID]*hold
	resident []string
	running  int
	// quietAt is when the target is done with all requests that were broken off.
	quietAt time.Time
	nextTry time.Time

	servingSince time.Time
	contests     int
}

// New returns a Machine for a VM that does not own the target. tie tells this
// VM's fencing numbers from others made in the same millisecond.
func New(self coord.VMID, tie uint16) *Machine {
	return &Machine{self: self, tie: tie, holds: map[coord.VMID]*hold{}}
}

// Phase returns the step reached.
func (m *Machine) Phase() Phase { return m.phase }

// FencingToken returns the number that this VM orders under; zero when it has none.
func (m *Machine) FencingToken() uint64 { return m.fence }

// Holds returns the VMs that have not released the target, in order.
func (m *Machine) Holds() []coord.VMID {
	out := make([]coord.VMID, 0, len(m.holds))
	for id := range m.holds {
		out = append(out, id)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// SetDesired says whether the current view makes this VM the owner, and which other
// VMs of the list can have owned the target before.
func (m *Machine) SetDesired(now time.Time, wanted bool, others []coord.VMID) []Action {
	acts := m.dropReleased(others)
	m.wanted = wanted
	if wanted && m.phase == Idle {
		return append(acts, m.startReading(now, others)...)
	}
	if !wanted && m.phase != Idle && m.phase != Draining {
		return append(acts, m.stepDown(now)...)
	}
	return acts
}

func (m *Machine) startReading(now time.Time, others []coord.VMID) []Action {
	m.phase = Reading
	m.nextTry = now.Add(retryPause)
	// A release that answers an ask of an earlier tenure must not count in
	// this one: until the new claim there is no number to match.
	m.floor = max(m.floor, m.fence)
	m.fence = 0
	m.holds = make(map[coord.VMID]*hold, len(others))
	for _, id := range others {
		if id != m.self {
			m.holds[id] = &hold{}
		}
	}
	return []Action{{Kind: ActRead}}
}

// dropReleased ends the holds of VMs that the list dropped. A newer incarnation
// alone ends none: this VM may have known an incarnation older than the one that
// used the target.
func (m *Machine) dropReleased(others []coord.VMID) []Action {
	if len(m.holds) == 0 {
		return nil
	}
	listed := make(map[coord.VMID]bool, len(others))
	for _, id := range others {
		listed[id] = true
	}
	for id := range m.holds {
		if !listed[id] {
			delete(m.holds, id)
		}
	}
	return m.setHolds()
}

// setHolds says what the remaining holds cover.
func (m *Machine) setHolds() []Action {
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
	m.settleDrain(now)
	return acts
}

func (m *Machine) settleDrain(now time.Time) {
	if m.phase == Draining && m.running == 0 && !now.Before(m.quietAt) {
		m.phase = Idle
	}
}

// fenceClockShift leaves the low bits of a fencing number for the tie-break.
const fenceClockShift = 16

// NextFencingToken returns a number above seen that grows with the wall clock, so that
// a VM which reads no number from the target still passes earlier owners.
func NextFencingToken(now time.Time, seen uint64, tie uint16) uint64 {
	clock := max(uint64(now.UnixMilli()), seen>>fenceClockShift+1)
	return clock<<fenceClockShift | uint64(tie)
}

// HandleReport takes the target's report.
func (m *Machine) HandleReport(now time.Time, r Report) []Action {
	if m.phase != Reading {
		return nil
	}
	m.phase = Claiming
	m.nextTry = now.Add(retryPause)
	m.fence = NextFencingToken(now, max(r.FencingToken, m.floor), m.tie)
	m.resident = r.Resident
	return []Action{{Kind: ActClaim, FencingToken: m.fence}}
}

// HandleClaimAccepted takes the target's acceptance of the claim under fence, with a report
// made after it: what an earlier owner changed between Read and the claim shows
// there.
func (m *Machine) HandleClaimAccepted(now time.Time, fence uint64, r Report) []Action {
	if m.phase != Claiming || fence != m.fence {
		return nil
	}
	m.phase = Serving
	m.servingSince = now
	m.nextTry = now.Add(retryPause)
	m.resident = r.Resident
	acts := []Action{{Kind: ActServe, FencingToken: m.fence, Resident: r.Resident}}
	acts = append(acts, m.setHolds()...)
	return append(acts, m.askReleases()...)
}

func (m *Machine) askReleases() []Action {
	acts := make([]Action, 0, len(m.holds))
	for _, id := range m.Holds() {
		acts = append(acts, Action{Kind: ActRequestRelease, VM: id, FencingToken: m.fence})
	}
	return acts
}

// HandleRejection takes the target's refusal of an order under fence: another VM has
// passed this one. The VM stops at once; when its view still makes it the
// owner, it reads again after a pause.
func (m *Machine) HandleRejection(now time.Time, fence, seen uint64) []Action {
	m.floor = max(m.floor, seen)
	if fence != m.fence || m.phase == Idle || m.phase == Draining {
		return nil
	}
	return m.yield(now)
}

// maxContests bounds the doubling of the pause between two contests.
const maxContests = 5

// yield gives way to another VM that also takes itself for the owner. When the
// view still makes this VM the owner it tries again, after a pause that doubles
// with each contest, so that two views that stay apart do not pass the target
// back and forth.
func (m *Machine) yield(now time.Time) []Action {
	if now.Sub(m.servingSince) > contestMemory {
		m.contests = 0
	}
	m.nextTry = now.Add(retryPause << m.contests)
	m.contests = min(m.contests+1, maxContests)
	return m.stepDown(now)
}

// contestMemory is the tenure after which earlier contests are forgotten.
const contestMemory = 30 * time.Second

// HandleRestart takes the news that the target has started anew and has forgotten its
// fencing number. The VM claims it afresh before it uses what it finds.
func (m *Machine) HandleRestart(now time.Time) []Action {
	if m.phase != Serving {
		return nil
	}
	m.nextTry = now
	return m.stepDown(now)
}

// HandleRelease takes vm's word that it starts no request under a number below fence,
// and which names its running ones still use.
func (m *Machine) HandleRelease(vm coord.VMID, fence uint64, inUse []string) []Action {
	h := m.holds[vm]
	if m.phase != Serving || fence != m.fence || h == nil {
		return nil
	}
	h.answered = true
	h.names = inUse
	if len(inUse) == 0 {
		delete(m.holds, vm)
	}
	return m.setHolds()
}

// HandleReleaseRequest takes another VM's claim under fence. It returns true when this
// VM starts no request under a number below fence from now on; the caller then
// answers with the names that running requests use. Otherwise this VM takes
// itself for the owner under a higher number, and gives no answer.
func (m *Machine) HandleReleaseRequest(now time.Time, fence uint64) (released bool, acts []Action) {
	m.floor = max(m.floor, fence)
	active := m.phase == Reading || m.phase == Claiming || m.phase == Serving
	if active && m.fence < fence {
		acts = m.yield(now)
	}
	return m.phase == Idle || m.phase == Draining, acts
}

// MayStart reports whether a request may be sent under the current number. The
// caller checks it in the same critical section that marks the request as
// maybe sent.
func (m *Machine) MayStart() bool { return m.phase == Serving }

// RequestStarted counts a request that is about to be sent.
func (m *Machine) RequestStarted() { m.running++ }

// RequestEnded counts a request that the target has let go of.
func (m *Machine) RequestEnded(now time.Time) {
	if m.running > 0 {
		m.running--
	}
	m.settleDrain(now)
}

// RequestAborted counts a request whose connection was closed before its end: the target
// lets go of it within coord.AbortedRequestTime.
func (m *Machine) RequestAborted(now time.Time) {
	m.quietAt = now.Add(coord.AbortedRequestTime)
	m.RequestEnded(now)
}

// Tick repeats steps that have had no answer.
func (m *Machine) Tick(now time.Time, others []coord.VMID) []Action {
	m.settleDrain(now)
	if now.Before(m.nextTry) {
		return nil
	}
	m.nextTry = now.Add(retryPause)
	switch m.phase {
	case Idle:
		if m.wanted {
			return m.startReading(now, others)
		}
	case Reading:
		return []Action{{Kind: ActRead}}
	case Claiming:
		return []Action{{Kind: ActClaim, FencingToken: m.fence}}
	case Serving:
		return m.askReleases()
	}
	return nil
}
