package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

const (
	// earlyRefusalShare is the share of its objective, as a divisor, within which a request is
	// refused because of its forecast. After that it waits until its caller would leave: the
	// requests before it may be withdrawn, and in simulations of full load queues refusing it then
	// made fewer requests in time.
	earlyRefusalShare = 4
	// hopelessFactor is the factor by which the forecast has to exceed the time that the caller waits:
	// requests before it leave, or are served by another load. With a store of 4 and 8 loads, 0.466
	// and 0.604 of the requests are in time without refusals, 0.478 and 0.604 with this factor; with
	// a factor of 1, 0.598 with 8 loads.
	hopelessFactor = 1.5
	// minReturnDelay is the shortest retry delay of a request that waits for a load.
	minReturnDelay = 50 * time.Millisecond
	// maxReturnShare is the share of the time left to the deadline, as a divisor, up to which
	// callers honour a retry delay.
	maxReturnShare = 3
)

// loadForecast has the expected end of the loads that wait for the load limit, computed anew in each
// round in the order in which requests are placed.
type loadForecast map[coord.AdapterRef]time.Time

// coldLoadDuration is the expected time from the order of a load from the store to its end.
func (s *Scheduler) coldLoadDuration() time.Duration { return s.coldLoadTime.Value() + loadMargin }

// forecastLoad appends an adapter whose load waits for the load limit to the forecast.
func (s *Scheduler) forecastLoad(now time.Time, ref coord.AdapterRef) {
	_, known := s.forecast[ref]
	if known || s.storeLoads < s.loadLimit.Max() || len(s.replicas[ref]) > 0 {
		return
	}
	perSecond := float64(s.loadLimit.Max()) / s.coldLoadDuration().Seconds()
	wait := ratelimit.DurationFor(float64(len(s.forecast)+1), perSecond)
	s.forecast[ref] = now.Add(wait + s.coldLoadDuration())
}

// forecastFirstEvent returns when the first event of a request is expected that waits for a load in
// the load queue; ok is false if the request does not wait for one or the time is unknown.
func (s *Scheduler) forecastFirstEvent(r *Request) (at time.Time, ok bool) {
	loadedAt, ok := s.forecast[r.Ref]
	if !ok || !s.holdsLease() {
		return time.Time{}, false
	}
	return loadedAt.Add(s.speed.Overhead() + s.speed.PrefillTime(r.PromptTokens)), true
}

// refuseByForecast refuses a new request that waits for a load if its caller would leave well before
// the first event.
func (s *Scheduler) refuseByForecast(now time.Time, r *Request) bool {
	at, ok := s.forecastFirstEvent(r)
	early := now.Sub(r.arrivedAt) <= r.Objective/earlyRefusalShare
	longest := time.Duration(hopelessFactor * float64(r.FirstEventDeadline.Sub(r.arrivedAt)))
	if !ok || !early || r.avoidsTargets() || at.Sub(r.arrivedAt) <= longest {
		return false
	}
	s.emit(Action{
		Kind: ActRefuse, Key: r.Key, Reason: "caller_leaves", RetryAfter: s.queueReturnDelay(now, r), Forecast: at.Sub(now),
	})
	return true
}

// queueReturnDelay returns the time until the load queue before r's adapter is expected to be
// served, as far as callers honour it. Adapters are served one after another, which spreads the
// callers.
func (s *Scheduler) queueReturnDelay(now time.Time, r *Request) time.Duration {
	wait := s.forecast[r.Ref].Sub(now) - s.coldLoadDuration()
	return min(max(wait, minReturnDelay), r.Deadline.Sub(now)/maxReturnShare)
}
