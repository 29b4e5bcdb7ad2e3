package servicequeue

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/witness"
)

// testimony holds what the failures of each VM changed in the statistics of targets, in case they
// turn out to be faults of the VM's paths.
type testimony struct {
	judge   *witness.Judge
	effects map[coord.VMID][]failure
	// unreliable has the unreliable VMs as of the last tick, without those that succeeded since.
	unreliable map[coord.VMID]bool
}

// failure is the effect of one failed request.
type failure struct {
	at     time.Time
	effect balance.Effect
}

func newTestimony() testimony {
	return testimony{judge: witness.New(), effects: map[coord.VMID][]failure{}}
}

// recordEnding records the end of a request in the statistics of its target, unless it is a failure
// that shows a fault of the VM's path.
func (q *Queue) recordEnding(now time.Time, vm coord.VMID, target string, ending balance.Ending, duration time.Duration) {
	switch ending {
	case balance.OK, balance.Unverified:
		q.balancer.Done(now, target, ending, duration)
		q.testimony.recordPath(vm)
		for _, unreliable := range q.testimony.judge.Succeeded(now, vm, target) {
			q.withdrawFailures(unreliable)
		}
	case balance.ErrorResponse:
		q.balancer.Done(now, target, ending, duration)
		q.testimony.recordPath(vm)
		q.testimony.judge.Reached(vm)
	case balance.Failed, balance.TimedOut, balance.Unreachable, balance.Disconnected:
		q.recordFailure(now, vm, target, ending, duration)
	default:
		q.balancer.Done(now, target, ending, duration)
	}
}

// recordPath records that a target answered a request of a VM: its failures so far were not caused by
// its paths.
func (t *testimony) recordPath(vm coord.VMID) {
	delete(t.effects, vm)
	delete(t.unreliable, vm)
}

func (q *Queue) recordFailure(now time.Time, vm coord.VMID, target string, ending balance.Ending, duration time.Duration) {
	if !q.testimony.judge.Failed(now, vm, target) {
		q.withdrawFailures(vm)
		q.balancer.Done(now, target, balance.Abandoned, 0)
		return
	}
	effect := q.balancer.Done(now, target, ending, duration)
	q.testimony.effects[vm] = append(q.testimony.effects[vm], failure{at: now, effect: effect})
}

// withdrawFailures undoes the effect of a VM's recent failures on all targets.
func (q *Queue) withdrawFailures(vm coord.VMID) {
	for _, f := range slices.Backward(q.testimony.effects[vm]) {
		q.balancer.Withdraw(f.effect)
	}
	delete(q.testimony.effects, vm)
}

const (
	// hungServiceTimes is the number of long service times after which a request is late enough to
	// be taken as hung, if its VM is unreliable: it never arrived, or its response is lost.
	hungServiceTimes = 3
	// trialShare is the part of all requests in flight that unreliable VMs may have: one of their
	// requests that succeeds shows that the VM has a way to the targets again.
	trialShare = 0.25
)

// hungAfter returns the time after its grant at which a request of an unreliable VM is taken as hung.
func (q *Queue) hungAfter() time.Duration { return hungServiceTimes * q.times.p90() }

// overloadMemory is how long a VM counts as overloaded after its last report.
const overloadMemory = time.Second

// ReportOverload records that a VM is overloaded, so that it reports the ends of its requests late.
func (q *Queue) ReportOverload(now time.Time, vm coord.VMID) { q.overloadedVMs[vm] = now }

func (q *Queue) isOverloaded(now time.Time, vm coord.VMID) bool {
	reported, known := q.overloadedVMs[vm]
	return known && now.Sub(reported) <= overloadMemory
}

// releaseHung releases the targets of hung requests, and of late ones of overloaded VMs, which have ended at
// their targets. A late request is a failure of its VM for the judgement of the VM, and none of the target.
func (q *Queue) releaseHung(now time.Time) {
	hungAfter := q.hungAfter()
	var late []Key
	for key, g := range q.grants {
		if now.Sub(g.grantedAt) <= hungAfter {
			continue
		}
		late = append(late, key)
		if g.late {
			continue
		}
		g.late = true
		q.grants[key] = g
		if !q.testimony.judge.Failed(now, key.VM, g.target) {
			q.withdrawFailures(key.VM)
		}
	}
	for _, key := range late {
		if q.testimony.judge.Unreliable(now, key.VM) || q.isOverloaded(now, key.VM) {
			g := q.grants[key]
			q.release(key, g)
			q.balancer.Done(now, g.target, balance.Abandoned, 0)
			q.recordGivenUp(now, g.target, balance.Abandoned)
		}
	}
}

// trials holds, for one pass over the waiting requests, how many more requests of unreliable VMs may
// be granted.
type trials struct {
	unreliable map[coord.VMID]bool
	left       int
}

func (q *Queue) newTrials() trials {
	t := trials{unreliable: q.testimony.unreliable}
	if len(t.unreliable) == 0 {
		return t
	}
	t.left = max(int(trialShare*float64(q.Stats().Limit)), 1)
	for key := range q.grants {
		if t.unreliable[key.VM] {
			t.left--
		}
	}
	return t
}

// exhausted reports whether a request of a VM has to wait for the end of another trial.
func (t *trials) exhausted(vm coord.VMID) bool { return t.left <= 0 && t.unreliable[vm] }

// count counts a granted request.
func (t *trials) count(vm coord.VMID) {
	if t.unreliable[vm] {
		t.left--
	}
}

// mayProbe reports whether a VM may send a request to a target, if the target is to be probed.
func (q *Queue) mayProbe(now time.Time, id string, vm coord.VMID) bool {
	return !q.balancer.AwaitsProbe(id) || !q.testimony.judge.Unreliable(now, vm)
}

// expire removes failures that can no longer be withdrawn.
func (t *testimony) expire(now time.Time) {
	t.judge.Expire(now)
	t.unreliable = t.judge.AllUnreliable(now)
	for vm, failures := range t.effects {
		recent := slices.DeleteFunc(failures, func(f failure) bool { return now.Sub(f.at) > witness.Memory })
		if len(recent) == 0 {
			delete(t.effects, vm)
			continue
		}
		t.effects[vm] = recent
	}
}
