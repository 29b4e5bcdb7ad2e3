package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// ReasonRateLimit is the reason for refusals when all targets limit their request rate.
const ReasonRateLimit = "rate_limited"

// minRateWait is how long a request may wait for a rate-limited target if its objective is shorter.
// Requests that can still meet their objective are placed first.
const minRateWait = 400 * time.Millisecond

// SetRates replaces the request rates to which targets limit themselves, in requests per second.
// share is the part of the fleet whose requests this VM schedules.
func (s *Scheduler) SetRates(now time.Time, rates map[string]float64, share float64) []Action {
	s.pacer.SetFleetShare(now, share)
	s.pacer.SetRates(now, rates)
	return s.runRound(now)
}

// waitForRate lets a request wait for one of the rate-limited or brittle targets that it may use, or
// refuses it if the expected wait is too long. limited is false if no such target is eligible.
func (s *Scheduler) waitForRate(now time.Time, r *Request) (refused, limited bool) {
	c, known := s.knownCapacity(now, r)
	if !known {
		c = s.boundedCapacity(now, r)
	}
	if !c.bounded {
		return false, false
	}
	if !r.avoidsTargets() {
		s.exhausted[capacityKey(r)] = c
	}
	expectedWait := c.untilFirst + ratelimit.DurationFor(float64(s.rateWaiters), c.perSecond)
	if now.Add(expectedWait).After(r.rateWaitDeadline()) {
		s.refuse(r, c.reason, s.retryDelays.Next(now, s.rateWaiters, c.perSecond))
		return true, true
	}
	s.rateWaiters++
	return false, true
}

// capacity is what the rate-limited and brittle targets that a request may use serve, while none of
// them accepts a request.
type capacity struct {
	bounded    bool
	perSecond  float64
	untilFirst time.Duration
	// reason is that of refusals.
	reason string
}

func (s *Scheduler) boundedCapacity(now time.Time, r *Request) capacity {
	c := capacity{reason: ReasonRateLimit}
	for _, id := range s.targetIDs {
		t := s.targets[id]
		rate, wait, bounded := s.boundedRate(now, t)
		if !bounded || !s.eligible(now, t, r) || r.Ref.IsBase() && !t.models[r.Ref.Model] {
			continue
		}
		if !c.bounded || wait < c.untilFirst {
			c.untilFirst = wait
		}
		c.bounded = true
		c.perSecond += rate
		if !s.hasRoom(now, t) {
			c.reason = ReasonBrittle
		}
	}
	return c
}

// knownCapacity returns the capacity for a request if the last round has found that no target accepts
// such a request. A scan of all targets for each of hundreds of waiting requests takes longer than
// the interval of rounds (BenchmarkRoundWithFullBrittleTargets). Beside a long queue, the result
// holds for new requests until the next round.
func (s *Scheduler) knownCapacity(now time.Time, r *Request) (c capacity, known bool) {
	if r.avoidsTargets() || !now.Equal(s.lastRoundAt) && len(s.waiting) < longQueue {
		return capacity{}, false
	}
	c, known = s.exhausted[capacityKey(r)]
	return c, known
}

// capacityKey returns the base model that a request needs to be resident, or "" if any target may
// load its adapter.
func capacityKey(r *Request) string {
	if r.Ref.IsBase() {
		return r.Ref.Model
	}
	return ""
}

// avoidsTargets reports whether there are targets that the request may not use.
func (r *Request) avoidsTargets() bool {
	return len(r.Exclude)+len(r.BackedOff) > 0 || r.SoftwareVersion != ""
}

// rateWaitDeadline returns the time until which a request may wait for a rate-limited target.
func (r *Request) rateWaitDeadline() time.Time {
	deadline := r.arrivedAt.Add(max(r.Objective, minRateWait))
	if r.FirstEventDeadline.Before(deadline) {
		return r.FirstEventDeadline
	}
	return deadline
}

// boundedRate returns how many requests per second a rate-limited or brittle target gets, and the
// expected time until the next one. bounded is false if it is neither.
func (s *Scheduler) boundedRate(now time.Time, t *target) (perSecond float64, wait time.Duration, bounded bool) {
	perSecond, bounded = s.pacer.Rate(t.id)
	wait = s.pacer.Wait(now, t.id)
	roomRate, roomWait, brittle := s.roomRate(now, t)
	if !brittle {
		return perSecond, wait, bounded
	}
	if !bounded {
		return roomRate, roomWait, true
	}
	return min(perSecond, roomRate), max(wait, roomWait), true
}

// eligible reports whether r may be sent to t, regardless of t's rate limit.
func (s *Scheduler) eligible(now time.Time, t *target, r *Request) bool {
	return t.ready && t.runs(r) && s.isHealthyFor(now, t, r) && !slices.Contains(r.BackedOff, t.id) && (!slices.Contains(r.Exclude, t.id) || t.hasLateLoad(now, r.Ref))
}

// isHealthyFor reports whether the failures of t allow r there. A continued stream whose targets are all
// ejected is sent to one of them if it answers: other targets cannot continue it.
func (s *Scheduler) isHealthyFor(now time.Time, t *target, r *Request) bool {
	if r.lastResort {
		return !t.health.unreachable
	}
	return t.health.allowsRequest(now) && s.mayProbe(now, t, r.VM)
}

// usable reports whether r may be sent to t now.
func (s *Scheduler) usable(now time.Time, t *target, r *Request) bool {
	return s.eligible(now, t, r) && s.pacer.Ready(now, t.id) && s.hasRoom(now, t)
}

// rateCost returns what a target's rate limit adds to the cost of loading an adapter there: the
// interval between two of its requests.
func (s *Scheduler) rateCost(t *target) time.Duration {
	rate, limited := s.pacer.Rate(t.id)
	if !limited {
		return 0
	}
	return time.Duration(float64(time.Second) / max(rate, minCostRate))
}

// minCostRate bounds rateCost when this VM schedules only a small part of the fleet's requests, in
// requests per second.
const minCostRate = 0.01
