// Package balance picks targets for services without models, from what one VM's
// own requests tell about them.
//
// A target's score is its expected time to answer, given its running requests,
// its latency and its share of failures; the lowest wins. Targets that cannot be
// reached are left out for a while, and then tried with one request at a time.
//
// Balancer has no clock and does no I/O. It is not safe for concurrent use.
package balance

import (
	"slices"
	"time"
)

// Target is a target that may be picked.
type Target struct {
	ID string
	// SameZone targets are in this VM's availability zone.
	SameZone bool
}

// Ending is how a request ended.
type Ending int

// The endings of a request.
const (
	// OK: an answer that is not the target's failure.
	OK Ending = iota
	// Busy: not run for want of room.
	Busy
	// Failed: the target failed the request.
	Failed
	// TimedOut: no answer in the time that the request had.
	TimedOut
	// Unreachable: no connection.
	Unreachable
	// Abandoned: the caller left, or nothing was sent; nothing is learnt.
	Abandoned
	// Disconnected: failed, and the connection broke off.
	Disconnected
)

const (
	// firstLatency is the guess before the first answer: about that of a ticket.
	firstLatency = 40 * time.Millisecond
	// weight of one answer in latency and failures.
	weight = 0.15
	// failureCost multiplies the score of a target that fails all requests.
	failureCost = 8.0
	// farCost multiplies the score of targets in other zones: bytes between
	// zones are charged for, and take longer.
	farCost = 1.2
	// ejectAfter hangs in a row eject a target.
	ejectAfter = 2
	// firstEjection doubles up to maxEjection.
	firstEjection = 800 * time.Millisecond
	maxEjection   = 4 * time.Second
	maxDoublings  = 4
	// busyPause is how long a full target is left alone.
	busyPause = 50 * time.Millisecond
	// forgetAfter drops what is known of a target that was not picked for long.
	forgetAfter = time.Minute
)

// record is what is known of one target.
type record struct {
	running  int
	latency  time.Duration
	failures float64
	// strikes are hangs and failed connections in a row.
	strikes int
	until   time.Time
	last    time.Time
}

// String gives the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"ok", "busy", "failed", "hung", "unreachable", "abandoned", "broke"}[e]
}

// Balancer is one VM's knowledge of targets.
type Balancer struct{ records map[string]*record }

// New returns a Balancer that knows nothing.
func New() *Balancer { return &Balancer{records: map[string]*record{}} }

// Pick returns the id of the best target and counts a request on it; "" when
// there is none. Targets in exclude are not picked; ejected ones only when there
// is no other.
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
		r := b.record(best)
		r.running++
		r.last = now
	}
	return best
}

func (b *Balancer) record(id string) *record {
	r := b.records[id]
	if r == nil {
		r = &record{latency: firstLatency}
		b.records[id] = r
	}
	return r
}

func (b *Balancer) score(now time.Time, t Target) (score float64, ejected bool) {
	r := b.records[t.ID]
	if r == nil {
		r = &record{latency: firstLatency}
	}
	score = float64(r.latency) * float64(r.running+1) * (1 + failureCost*r.failures)
	if !t.SameZone {
		score *= farCost
	}
	return score, b.Ejected(now, t.ID)
}

// Ejected reports whether a target is left alone for its failures, or waits for the answer to
// the one request with which it is tried again.
func (b *Balancer) Ejected(now time.Time, id string) bool {
	r := b.records[id]
	return r != nil && (now.Before(r.until) || r.strikes >= ejectAfter && r.running > 0)
}

// Done takes the end of a request that Pick counted, and how long it took.
func (b *Balancer) Done(now time.Time, id string, how Ending, took time.Duration) {
	r := b.record(id)
	r.running = max(r.running-1, 0)
	switch how {
	case OK:
		r.strikes = 0
		r.learn(0, took)
	case Failed, Disconnected:
		r.learn(1, r.latency)
	case Busy:
		r.until = now.Add(busyPause)
	case TimedOut:
		r.learn(1, max(took, r.latency))
		r.strike(now, 1)
	case Unreachable:
		r.learn(1, r.latency)
		r.strike(now, ejectAfter)
	case Abandoned:
	}
}

// ObserveRemote takes the end of a request that another VM's balancer counted.
func (b *Balancer) ObserveRemote(now time.Time, id string, how Ending, took time.Duration) {
	b.record(id).running++
	b.Done(now, id, how, took)
}

func (r *record) learn(failed float64, took time.Duration) {
	r.failures += weight * (failed - r.failures)
	r.latency += time.Duration(weight * float64(took-r.latency))
}

func (r *record) strike(now time.Time, n int) {
	r.strikes += n
	if r.strikes < ejectAfter {
		return
	}
	doublings := min(r.strikes/ejectAfter-1, maxDoublings)
	r.until = now.Add(min(firstEjection<<doublings, maxEjection))
}

// ExpireIdle forgets targets that have not been used for long.
func (b *Balancer) ExpireIdle(now time.Time) {
	for id, r := range b.records {
		if r.running == 0 && now.Sub(r.last) > forgetAfter {
			delete(b.records, id)
		}
	}
}
