// Package balance picks targets for plain services, which have no models, by the results of
// requests that one VM sent.
//
// A target's score is its expected response time, from its running requests, latency and failure
// rate; the lowest score wins. Unreachable targets are ejected for a time and then probed with one
// request at a time.
//
// Balancer has no clock and does no I/O. It is not safe for concurrent use.
package balance

import (
	"slices"
	"time"
)

// Target is a candidate for a pick.
type Target struct {
	ID string
	// SameZone reports whether the target is in the availability zone of the requesting VM.
	SameZone bool
}

// Ending is the way in which a request ended.
type Ending int

// The endings of a request.
const (
	// OK: a response that is not a failure of the target.
	OK Ending = iota
	// Busy: not run, because the target had no capacity.
	Busy
	// Failed: the target failed the request, and its response was not usable.
	Failed
	// TimedOut: no response within the time allowed for the request.
	TimedOut
	// Unreachable: no connection.
	Unreachable
	// Abandoned: the caller left, or nothing was sent; latency and failure rate do not change.
	Abandoned
	// Disconnected: failed, because the connection was lost.
	Disconnected
	// Unverified: the response ended with its connection, which does not tell whether it was
	// complete.
	Unverified
	// NoConnection: not run, because the VM may open no further connection to the target.
	NoConnection
	// ErrorResponse: the target was reached, and failed the request or sent an answer that is not valid.
	ErrorResponse
)

const (
	// initialLatency is the estimate before the first response: about the latency of a request to
	// a ticket service.
	initialLatency = 40 * time.Millisecond
	// ewmaWeight is the weight of one result in the moving averages of latency and failures.
	ewmaWeight = 0.15
	// failurePenalty sets the score factor for failures: 1 + failurePenalty x failure rate.
	failurePenalty = 8.0
	// otherZonePenalty multiplies the score of targets in other zones: traffic between zones is
	// charged for and takes longer.
	otherZonePenalty = 1.2
	// ejectAfterTimeouts is the number of timeouts without an OK in between that eject a target.
	ejectAfterTimeouts = 2
	// minEjection is the first ejection time. It doubles up to maxEjection.
	minEjection  = 800 * time.Millisecond
	maxEjection  = 4 * time.Second
	maxDoublings = 4
	// busyEjection is the time for which a target is avoided after it reported no capacity.
	busyEjection = 50 * time.Millisecond
	// idleExpiry is the time since its last pick after which a target's statistics are removed.
	idleExpiry = time.Minute
)

// targetState holds the statistics of one target.
type targetState struct {
	running     int
	latency     time.Duration
	failureRate float64
	// timeouts counts the timeouts since the last OK. A failed connection counts as
	// ejectAfterTimeouts.
	timeouts     int
	ejectedUntil time.Time
	lastPicked   time.Time
	counts       counts
}

// String returns the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"ok", "busy", "failed", "hung", "unreachable", "abandoned", "broke", "unverified", "no_connection", "error_response"}[e]
}

// Balancer holds one VM's statistics of targets.
type Balancer struct{ states map[string]*targetState }

// New returns a Balancer without statistics.
func New() *Balancer { return &Balancer{states: map[string]*targetState{}} }

// Pick returns the ID of the best target and counts a request on it, or returns "" if there is
// none. Targets in exclude are not picked, and ejected ones only if there is no other.
func (b *Balancer) Pick(now time.Time, targets []Target, exclude []string) string {
	best := ""
	bestScore, bestEjected := 0.0, true
	for _, t := range targets {
		if slices.Contains(exclude, t.ID) {
			continue
		}
		score, ejected := b.score(now, t)
		better := best == "" || bestEjected && !ejected || bestEjected == ejected && score < bestScore
		if better {
			best, bestScore, bestEjected = t.ID, score, ejected
		}
	}
	if best != "" {
		s := b.state(best)
		s.running++
		s.lastPicked = now
	}
	return best
}

func (b *Balancer) state(id string) *targetState {
	s := b.states[id]
	if s == nil {
		s = &targetState{latency: initialLatency}
		b.states[id] = s
	}
	return s
}

func (b *Balancer) score(now time.Time, t Target) (score float64, ejected bool) {
	s := b.states[t.ID]
	if s == nil {
		s = &targetState{latency: initialLatency}
	}
	score = float64(s.latency) * float64(s.running+1) * (1 + failurePenalty*s.failureRate)
	if !t.SameZone {
		score *= otherZonePenalty
	}
	return score, b.Ejected(now, t.ID)
}

// Ejected reports whether a target is avoided for a time after timeouts, failed connections or
// lack of capacity, or is being probed by a request that has not ended.
func (b *Balancer) Ejected(now time.Time, id string) bool {
	s := b.states[id]
	return s != nil && (now.Before(s.ejectedUntil) || s.timeouts >= ejectAfterTimeouts && s.running > 0)
}

// Done records the end and the duration of a request that Pick counted. The effect that it returns
// can be withdrawn.
func (b *Balancer) Done(now time.Time, id string, ending Ending, duration time.Duration) Effect {
	s := b.state(id)
	before := *s
	if duration == 0 {
		duration = s.latency
	}
	s.running = max(s.running-1, 0)
	switch ending {
	case OK:
		s.timeouts = 0
		s.counts.successes++
		s.observe(0, duration)
	case Unverified:
		// The target answers, but the next timeout ejects it again.
		s.timeouts = min(s.timeouts, ejectAfterTimeouts-1)
		s.observe(0, duration)
	case Failed, ErrorResponse, Disconnected:
		s.observe(1, s.latency)
	case Busy, NoConnection:
		s.ejectedUntil = now.Add(busyEjection)
	case TimedOut:
		s.observe(1, max(duration, s.latency))
		s.addTimeouts(now, 1)
	case Unreachable:
		s.observe(1, s.latency)
		s.addTimeouts(now, ejectAfterTimeouts)
	case Abandoned:
	}
	return s.effectSince(before)
}

// ObserveRemote records the end of a request that another VM's balancer counted.
func (b *Balancer) ObserveRemote(now time.Time, id string, ending Ending, duration time.Duration) {
	b.state(id).running++
	b.Done(now, id, ending, duration)
}

func (s *targetState) observe(failed float64, duration time.Duration) {
	s.counts.failureRate++
	if duration != s.latency {
		s.counts.latency++
	}
	s.failureRate += ewmaWeight * (failed - s.failureRate)
	s.latency += time.Duration(ewmaWeight * float64(duration-s.latency))
}

func (s *targetState) addTimeouts(now time.Time, n int) {
	s.timeouts += n
	if s.timeouts < ejectAfterTimeouts {
		return
	}
	doublings := min(s.timeouts/ejectAfterTimeouts-1, maxDoublings)
	s.ejectedUntil = now.Add(min(minEjection<<doublings, maxEjection))
}

// ExpireIdle removes the statistics of targets without running requests whose last pick is longer
// ago than idleExpiry.
func (b *Balancer) ExpireIdle(now time.Time) {
	for id, s := range b.states {
		if s.running == 0 && now.Sub(s.lastPicked) > idleExpiry {
			delete(b.states, id)
		}
	}
}
