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
	case balance.OK:
		q.balancer.Done(now, target, ending, duration)
		delete(q.testimony.effects, vm)
		for _, unreliable := range q.testimony.judge.Succeeded(now, vm, target) {
			q.withdrawFailures(unreliable)
		}
	case balance.Failed, balance.TimedOut, balance.Unreachable, balance.Disconnected:
		q.recordFailure(now, vm, target, ending, duration)
	default:
		q.balancer.Done(now, target, ending, duration)
	}
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

// hungServiceTimes is the number of long service times after which a request of an unreliable VM no
// longer occupies its target: either it never arrived, or its response is lost.
const hungServiceTimes = 3

// hungAfter returns the time after its grant at which a request of an unreliable VM is taken as hung.
func (q *Queue) hungAfter() time.Duration { return hungServiceTimes * q.limit.p90ServiceTime() }

// releaseHung releases the targets of hung requests. Each of them is a failure of its VM's path.
func (q *Queue) releaseHung(now time.Time) {
	for key, g := range q.grants {
		if now.Sub(g.grantedAt) <= q.hungAfter() || !q.testimony.judge.Unreliable(now, key.VM) {
			continue
		}
		q.release(key, g)
		q.recordFailure(now, key.VM, g.target, balance.TimedOut, now.Sub(g.grantedAt))
	}
}

// mayProbe reports whether a VM may send a request to a target, if the target is to be probed.
func (q *Queue) mayProbe(now time.Time, id string, vm coord.VMID) bool {
	return !q.balancer.AwaitsProbe(id) || !q.testimony.judge.Unreliable(now, vm)
}

// expire removes failures that can no longer be withdrawn.
func (t *testimony) expire(now time.Time) {
	t.judge.Expire(now)
	for vm, failures := range t.effects {
		recent := slices.DeleteFunc(failures, func(f failure) bool { return now.Sub(f.at) > witness.Memory })
		if len(recent) == 0 {
			delete(t.effects, vm)
			continue
		}
		t.effects[vm] = recent
	}
}
