package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// leaderWitness is the witness of the failures of this VM's own orders and reports. They fail on
// paths of their own, so that they are kept apart from the requests that this VM sends.
const leaderWitness coord.VMID = ""

// judgeEnding updates the health of a target with the end of a request, unless the end is a failure
// that shows a fault of the VM's path.
func (s *Scheduler) judgeEnding(now time.Time, key Key, t *target, ending Ending) {
	switch ending {
	case EndedOK, EndedUnverified:
		s.recordReached(now, key.VM, t)
	case EndedErrorResponse:
		s.judge.Reached(key.VM)
	case EndedFailed, EndedDisconnected, EndedUnreachable:
		if !s.judge.Failed(now, key.VM, t.id) {
			s.withdrawFailures(key.VM)
			ending = EndedAbandoned
		}
	}
	before := t.health.consecutiveFailures
	t.health.recordEnding(now, ending)
	s.attributeFailures(now, t, key.VM, t.health.consecutiveFailures-before)
}

// recordReached records that a target answered a request of a VM.
func (s *Scheduler) recordReached(now time.Time, vm coord.VMID, t *target) {
	for _, unreliable := range s.judge.Succeeded(now, vm, t.id) {
		s.withdrawFailures(unreliable)
	}
}

// recordUnansweredOrder records that a target did not answer an order.
func (s *Scheduler) recordUnansweredOrder(now time.Time, t *target) {
	if !s.judge.Failed(now, leaderWitness, t.id) {
		s.withdrawFailures(leaderWitness)
		return
	}
	t.health.recordFailures(now, 1)
	s.attributeFailures(now, t, leaderWitness, 1)
}

// recordReportRead records whether a target's report could be read.
func (s *Scheduler) recordReportRead(now time.Time, t *target, ok bool) {
	if ok {
		s.judge.Reached(leaderWitness)
		return
	}
	if !s.judge.Failed(now, leaderWitness, t.id) {
		s.withdrawFailures(leaderWitness)
	}
}

// withdrawFailures undoes the effect of a VM's failures since its last success on all targets, and
// releases the probes that it holds.
func (s *Scheduler) withdrawFailures(vm coord.VMID) {
	since := s.judge.FailingSince(vm)
	for _, t := range s.targets {
		if f, failed := t.failuresByVM[vm]; failed && !f.lastAt.Before(since) {
			t.health.withdraw(f.count)
			delete(t.failuresByVM, vm)
		}
		if t.prober.VM == vm {
			t.releaseProbe(t.prober)
		}
	}
}

// mayProbe reports whether a VM may send a request to the target, if the target is ejected.
func (s *Scheduler) mayProbe(now time.Time, t *target, vm coord.VMID) bool {
	return !t.health.isEjected() || !s.judge.Unreliable(now, vm)
}

// releaseProbe allows another probe if the request with the given key is the target's probe.
func (t *target) releaseProbe(key Key) {
	if t.prober == key {
		t.health.probing = false
		t.prober = Key{}
	}
}

// vmFailures counts the failures of one VM's requests at a target since its last success anywhere.
type vmFailures struct {
	count  int
	lastAt time.Time
}

// attributeFailures adds n consecutive failures of a VM's requests at a target. A negative n means
// that there are none any more.
func (s *Scheduler) attributeFailures(now time.Time, t *target, vm coord.VMID, n int) {
	switch {
	case n < 0:
		clear(t.failuresByVM)
	case n > 0:
		if t.failuresByVM == nil {
			t.failuresByVM = map[coord.VMID]vmFailures{}
		}
		f := t.failuresByVM[vm]
		if f.lastAt.Before(s.judge.FailingSince(vm)) {
			f.count = 0
		}
		t.failuresByVM[vm] = vmFailures{count: f.count + n, lastAt: now}
	}
}
