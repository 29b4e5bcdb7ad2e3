package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// ReasonRateLimit is the reason of refusals where all targets limit the rate of their requests.
const ReasonRateLimit = "rate_limited"

// lateWait is the most that a request waits for a limited target whose objective is over: those that
// can still meet theirs go first.
const lateWait = 400 * time.Millisecond

// SetRates replaces the rates that targets limit their requests to, in requests a second. share is the
// part of the fleet that asks this VM.
func (s *Scheduler) SetRates(now time.Time, rates map[string]float64, share float64) []Action {
	s.pacer.SetFleetShare(now, share)
	s.pacer.SetRates(now, rates)
	return s.settle(now)
}

// waitForRate lets a request wait for one of the limited targets that it may go to, or refuses it if
// its turn comes too late. limited is false where there is no such target.
func (s *Scheduler) waitForRate(now time.Time, r *Request) (refused, limited bool) {
	var perSecond float64
	var first time.Duration
	for _, id := range s.ids {
		rate, paced := s.pacer.Rate(id)
		t := s.targets[id]
		if !paced || !s.eligible(now, t, r) || r.Ref.IsBase() && !t.models[r.Ref.Model] {
			continue
		}
		wait := s.pacer.Wait(now, id)
		if !limited || wait < first {
			first = wait
		}
		limited = true
		perSecond += rate
	}
	if !limited {
		return false, false
	}
	turn := first + ratelimit.DurationFor(float64(s.rateWaiting), perSecond)
	if now.Add(turn).After(r.waitsUntil()) {
		s.refuse(r, ReasonRateLimit, s.returns.Next(now, s.rateWaiting, perSecond))
		return true, true
	}
	s.rateWaiting++
	return false, true
}

// waitsUntil is until when a request waits for a limited target.
func (r *Request) waitsUntil() time.Time {
	until := r.arrived.Add(max(r.Objective, lateWait))
	if r.FirstEventDeadline.Before(until) {
		return r.FirstEventDeadline
	}
	return until
}

// eligible reports whether r may go to t, apart from t's rate.
func (s *Scheduler) eligible(now time.Time, t *target, r *Request) bool {
	return t.ready && t.health.open(now) && !slices.Contains(r.BackedOff, t.id) && (!slices.Contains(r.Exclude, t.id) || t.arriving(now, r.Ref))
}

// usable reports whether r may go to t now.
func (s *Scheduler) usable(now time.Time, t *target, r *Request) bool {
	return s.eligible(now, t, r) && s.pacer.Ready(now, t.id)
}

// rateCost is what a target's limit adds to the cost of loading an adapter there: the time between two
// of its requests.
func (s *Scheduler) rateCost(t *target) time.Duration {
	rate, limited := s.pacer.Rate(t.id)
	if !limited {
		return 0
	}
	return time.Duration(float64(time.Second) / max(rate, leastShare))
}

// leastShare bounds that cost where only a small part of the fleet asks this VM, in requests a second.
const leastShare = 0.01
