package servicequeue

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// SetRates replaces the rate limits of targets, in requests a second. share is the part of the
// fleet that requests targets from this VM, from 0 to 1.
func (q *Queue) SetRates(now time.Time, rates map[string]float64, share float64) []Action {
	q.pacer.SetFleetShare(now, share)
	q.pacer.SetRates(now, rates)
	return q.schedule(now)
}

// anyLimited reports whether a target of the service limits its rate.
func (q *Queue) anyLimited() bool {
	return slices.ContainsFunc(q.targets, func(t Target) bool {
		_, limited := q.pacer.Rate(t.ID)
		return limited
	})
}

// hasCapacity reports whether a target accepts one more request now.
func (q *Queue) hasCapacity(now time.Time, t Target) bool {
	return q.running[t.ID] < q.maxInFlight(now, t) && q.pacer.Ready(now, t.ID)
}

// throughput returns the number of requests per second that all targets that are not ejected
// accept, by their slots and own service times or their rate limits, and the expected time until one of them accepts the
// next. If all targets are ejected, it returns the values of one target with a single slot.
func (q *Queue) throughput(now time.Time) (perSecond float64, untilFirst time.Duration) {
	untilFirst = ratelimit.MaxWait
	unlimitedRate := 0.0
	for _, t := range q.targets {
		if q.balancer.Ejected(now, t.ID) {
			continue
		}
		targetRate := float64(q.concurrency(now, t)) / q.times.at(now, t.ID).Seconds()
		if rate, limited := q.pacer.Rate(t.ID); limited {
			targetRate = min(targetRate, rate)
			untilFirst = min(untilFirst, q.pacer.Wait(now, t.ID))
		} else {
			unlimitedRate += targetRate
		}
		perSecond += targetRate
	}
	if perSecond == 0 { // all are ejected
		return 1 / q.times.mean.Seconds(), q.times.mean
	}
	if unlimitedRate > 0 {
		untilFirst = min(untilFirst, time.Duration(float64(time.Second)/unlimitedRate))
	}
	return perSecond, untilFirst
}

// retryDelay returns the delay after which a refused caller should retry, given its expected wait.
// While a target of the service limits its rate or is brittle, the delays are spread over the time in which
// perSecond requests per second serve the waiting and the refused callers.
func (q *Queue) retryDelay(now time.Time, wait time.Duration, perSecond float64) time.Duration {
	if q.anyLimited() || q.guard.Active(now) {
		return max(q.retryDelays.Next(now, len(q.waiting), perSecond), minRetryDelay)
	}
	return min(max(wait, minRetryDelay), maxRetryDelay)
}
