package servicequeue

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/fairshare"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// schedule grants targets to waiting requests and refuses those that cannot be granted in time.
func (q *Queue) schedule(now time.Time) []Action {
	if len(q.waiting) == 0 {
		q.shares.SetWaiting(now, nil)
		return q.takeActions()
	}
	q.rank(now)
	remaining := q.waiting[:0]
	perSecond, untilFirst := q.throughput(now)
	trials := q.newTrials()
	noCapacity, ahead := false, 0
	for _, r := range q.waiting {
		if trials.exhausted(r.VM) {
			if !q.refuseIfTooLate(now, r, untilFirst, perSecond) {
				remaining = append(remaining, r)
			}
			continue
		}
		// If a request that may use any target finds no capacity, the following ones find none
		// either. Each attempt scans all targets, and hundreds of requests may wait
		// (BenchmarkLongLine).
		if !(noCapacity && !r.avoidsTargets()) && q.grant(now, r) {
			trials.count(r.VM)
			continue
		}
		noCapacity = noCapacity || !r.avoidsTargets()
		if !q.refuseIfTooLate(now, r, untilFirst+ratelimit.DurationFor(float64(ahead), perSecond), perSecond) {
			remaining = append(remaining, r)
			ahead++
		}
	}
	clear(q.waiting[len(remaining):])
	q.waiting = remaining
	return q.takeActions()
}

// rank sorts waiting requests: those that can meet their soft deadline first, then by priority,
// by the shares of teams and by age.
func (q *Queue) rank(now time.Time) {
	for _, r := range q.waiting {
		r.late = q.missesSoftDeadline(now, r, 0)
		r.start = 0
	}
	slices.SortStableFunc(q.waiting, compareRanks)
	q.shareBuffer = q.shareBuffer[:0]
	for _, r := range q.waiting {
		q.shareBuffer = append(q.shareBuffer, fairshare.Waiting{Team: r.Team, Work: 1})
	}
	starts := q.shares.Starts(now, q.shareBuffer)
	if starts == nil {
		return
	}
	for i, r := range q.waiting {
		r.start = starts[i]
	}
	slices.SortStableFunc(q.waiting, compareRanks)
}

// compareRanks returns a negative number if a is to be served before b.
func compareRanks(a, b *Request) int {
	switch {
	case a.late && !b.late:
		return 1
	case b.late && !a.late:
		return -1
	}
	return cmp.Or(a.Priority-b.Priority, cmp.Compare(a.start, b.start), a.arrived.Compare(b.arrived))
}

// missesSoftDeadline reports whether the response to a request granted after the given wait would
// be late.
func (q *Queue) missesSoftDeadline(now time.Time, r *Request, wait time.Duration) bool {
	return missesAfter(now, r, wait+q.times.p90())
}

// missesAfter reports whether the response to a request is late if it takes the given time from now.
func missesAfter(now time.Time, r *Request, d time.Duration) bool {
	return !r.SoftDeadline.IsZero() && now.Add(d+networkDelay).After(r.SoftDeadline)
}

// grant grants a target to a request and reports whether one had capacity.
func (q *Queue) grant(now time.Time, r *Request) bool {
	id := q.pick(now, r)
	if id == "" {
		return false
	}
	q.pacer.Consume(now, id)
	q.shares.Serve(now, r.Team, 1)
	q.running[id]++
	q.grants[r.Key] = grant{target: id, inFlight: q.running[id], grantedAt: now, deadline: r.Deadline}
	q.emit(Action{Key: r.Key, Target: id})
	return true
}

// refuseIfTooLate refuses a request if no target is eligible or it cannot be served usefully, and early if
// it is expected to be late only because of the given wait. It reports whether it did. perSecond is the throughput of
// all targets.
func (q *Queue) refuseIfTooLate(now time.Time, r *Request, wait time.Duration, perSecond float64) bool {
	if !q.hasEligibleTarget(r) {
		q.refuse(r, ReasonNoTarget, noTargetRetryDelay)
		return true
	}
	latestGrant := r.Deadline.Add(-q.times.mean)
	hopeless := now.After(latestGrant)
	if r.mayRefuseEarly(now) {
		forecast := time.Duration(forecastMargin * float64(wait))
		hopeless = now.Add(wait).After(latestGrant) || !missesAfter(now, r, q.times.mean) && q.missesSoftDeadline(now, r, forecast)
	}
	if hopeless {
		q.refuse(r, ReasonQueueTooLong, q.retryDelay(now, wait, perSecond))
	}
	return hopeless
}

// A request whose forecast is late is refused only early. A caller that is refused early still has the time
// for a second attempt that is in time; to one that has waited longer, a late response is worth more.
const (
	// earlyRefusalShare is the share of the time until the soft deadline within which a refusal is early.
	earlyRefusalShare = 0.25
	// forecastMargin is the factor by which the wait may exceed its forecast. More urgent requests that
	// arrive later and targets that turn slow lengthen the wait. In TestTargetsSlowAtTimes with an objective
	// of 300 ms, 1 in 30 calls was late with a factor of 1 and 1 in 50 with 1.5; a factor of 2 refuses more
	// calls under moderate load.
	forecastMargin = 1.5
)

// mayRefuseEarly reports whether a refusal still reaches the caller early. For requests without a soft
// deadline, every refusal is early.
func (r *Request) mayRefuseEarly(now time.Time) bool {
	if r.SoftDeadline.IsZero() {
		return true
	}
	early := time.Duration(earlyRefusalShare * float64(r.SoftDeadline.Sub(r.arrived)))
	return !now.After(r.arrived.Add(max(early-networkDelay, 0)))
}

// avoidsTargets reports whether there may be targets that the request may not use.
func (r *Request) avoidsTargets() bool { return len(r.Exclude) > 0 || r.SoftwareVersion != "" }

// mayUse reports whether the request may be sent to a target.
func (r *Request) mayUse(t Target) bool {
	return !slices.Contains(r.Exclude, t.ID) && (r.SoftwareVersion == "" || r.SoftwareVersion == t.SoftwareVersion)
}

// hasEligibleTarget reports whether there is a target that the request may use.
func (q *Queue) hasEligibleTarget(r *Request) bool { return slices.ContainsFunc(q.targets, r.mayUse) }

// pick returns the best target with capacity and counts the request there, or returns "" if there
// is none. A rate-limited target that is due for a probe comes first. Ejected targets are used only
// if all eligible targets are ejected.
func (q *Queue) pick(now time.Time, r *Request) string {
	var available, withCapacity []balance.Target
	for _, t := range q.targets {
		if !r.mayUse(t) {
			continue
		}
		candidate := balance.Target{ID: t.ID, SameZone: t.Zone == r.Zone}
		if q.balancer.Ejected(now, t.ID) || !q.mayProbe(now, t.ID, r.VM) {
			continue
		}
		available = append(available, candidate)
		if q.pacer.ProbeDue(now, t.ID) && q.hasCapacity(now, t) {
			return q.balancer.Pick(now, []balance.Target{candidate}, nil)
		}
		if q.hasCapacity(now, t) {
			withCapacity = append(withCapacity, candidate)
		}
	}
	if len(available) > 0 {
		return q.balancer.Pick(now, withCapacity, nil)
	}
	for _, t := range q.targets {
		if r.mayUse(t) && q.hasCapacity(now, t) {
			withCapacity = append(withCapacity, balance.Target{ID: t.ID, SameZone: t.Zone == r.Zone})
		}
	}
	return q.balancer.Pick(now, withCapacity, nil)
}
