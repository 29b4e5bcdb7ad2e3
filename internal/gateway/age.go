package gateway

import (
	"sync"
	"time"
)

// ageEstimator estimates how long ago a caller made its first attempt at a request. A caller that
// retries after a refusal sends a new request, usually to another VM, with the time that it still
// waits. If all callers of a route start with the same timeout, the difference between that timeout
// and the remaining time is the age of the request. A request is in time only if its latency
// objective, counted from the first attempt, is met. Without the estimate, under heavy load two of
// five calls that plain targets served were late retries, served ahead of requests that could still
// be in time.
//
// Lock order: ageEstimator.mu is not nested with other locks of this package.
type ageEstimator struct {
	mu     sync.Mutex
	routes map[string]*initialTimeout
}

// initialTimeout is the estimate of the timeout with which callers of a route start.
type initialTimeout struct {
	// longest is the longest recent timeout, and matchShare the share of recent requests whose
	// remaining time equals it within timeoutTolerance.
	longest    time.Duration
	matchShare float64
	samples    int
}

// Parameters of the estimate.
const (
	// timeoutTolerance is the relative amount by which the remaining time of a first attempt may be
	// below the timeout: callers count from the time at which they dialled.
	timeoutTolerance = 0.03
	// shareWeight is the minimum weight of one request in matchShare; the first requests weigh more.
	// Below minMatchShare callers are assumed to use individual timeouts, and their age is unknown.
	// In an overload half of the requests are retries, so minMatchShare is below one half.
	// minSamples is the number of requests before which the age is unknown. longestDecay is the
	// factor by which each request with less remaining time reduces longest, so that it follows a
	// timeout that becomes shorter.
	shareWeight   = 0.05
	minMatchShare = 0.3
	minSamples    = 10
	longestDecay  = 0.999
	// maxRoutes bounds the number of routes that are tracked.
	maxRoutes = 4096
)

func newAgeEstimator() *ageEstimator { return &ageEstimator{routes: map[string]*initialTimeout{}} }

// estimate returns the time since the caller's first attempt, given its remaining time; 0 if the
// age is unknown.
func (a *ageEstimator) estimate(route string, remaining time.Duration) time.Duration {
	if remaining <= 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	t := a.routes[route]
	if t == nil {
		if len(a.routes) >= maxRoutes {
			clear(a.routes) // routes are added and removed; the estimates are rebuilt from later requests
		}
		t = &initialTimeout{}
		a.routes[route] = t
	}
	return t.age(remaining)
}

func (t *initialTimeout) age(remaining time.Duration) time.Duration {
	t.samples++
	if remaining > t.longest { // callers use a longer timeout than before
		if float64(t.longest) < (1-timeoutTolerance)*float64(remaining) {
			t.matchShare, t.samples = 0, 1
		}
		t.longest = remaining
	}
	isInitial := float64(remaining) >= (1-timeoutTolerance)*float64(t.longest)
	match := 0.0
	if isInitial {
		match = 1
	}
	t.matchShare += max(shareWeight, 1/float64(t.samples)) * (match - t.matchShare)
	if !isInitial {
		t.longest = time.Duration(longestDecay * float64(t.longest))
	}
	if isInitial || t.samples < minSamples || t.matchShare < minMatchShare {
		return 0
	}
	return t.longest - remaining
}
