package balance

import (
	"math"
	"time"
)

// minLatency is the least latency estimate after a withdrawal. How much of an effect is left is known
// only roughly if effects of several VMs are withdrawn.
const minLatency = time.Millisecond

// Effect is what the end of a request changed in the statistics of its target.
type Effect struct {
	state *targetState
	// after holds the counts after the change, and observed the observations in it.
	after, observed counts
	failureRate     float64
	latency         time.Duration
	timeouts        int
}

// counts holds how often parts of a target's statistics changed.
type counts struct{ failureRate, latency, successes int }

// effectSince returns the difference between a target's statistics and earlier ones.
func (s *targetState) effectSince(before targetState) Effect {
	return Effect{
		state: s, after: s.counts,
		observed: counts{
			failureRate: s.counts.failureRate - before.counts.failureRate,
			latency:     s.counts.latency - before.counts.latency,
		},
		failureRate: s.failureRate - before.failureRate,
		latency:     s.latency - before.latency,
		timeouts:    max(s.timeouts-before.timeouts, 0),
	}
}

// Withdraw removes an effect from the statistics of its target, as far as later ends of requests have
// not replaced it, and ends the ejection that rested on it. Of several effects the newest is to be
// withdrawn first.
func (b *Balancer) Withdraw(e Effect) {
	s := e.state
	if s == nil {
		return
	}
	s.failureRate = max(s.failureRate-remaining(s.counts.failureRate-e.after.failureRate)*e.failureRate, 0)
	s.latency = max(s.latency-time.Duration(remaining(s.counts.latency-e.after.latency)*float64(e.latency)), minLatency)
	s.counts.failureRate -= e.observed.failureRate
	s.counts.latency -= e.observed.latency
	if e.after.successes == s.counts.successes {
		s.timeouts = max(s.timeouts-e.timeouts, 0)
	}
	if e.timeouts > 0 && s.timeouts < ejectAfterTimeouts {
		s.ejectedUntil = time.Time{}
	}
}

// remaining returns the part of an observation that is left in a moving average after more of them.
func remaining(later int) float64 { return math.Pow(1-ewmaWeight, float64(max(later, 0))) }

// AwaitsProbe reports whether the target was ejected and no request has succeeded there since.
func (b *Balancer) AwaitsProbe(id string) bool {
	s := b.states[id]
	return s != nil && s.timeouts >= ejectAfterTimeouts
}
