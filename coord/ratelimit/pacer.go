package ratelimit

import (
	"time"
)

const (
	// burstTime is the time for which a bucket accumulates tokens in addition to one request.
	// Waiting requests are examined only every 20 ms.
	burstTime = 100 * time.Millisecond
	// MinRate is the minimum rate of requests to a target, in requests per second, whatever limit
	// the target announces. A target without requests could not report that its limit has ended.
	MinRate = 0.2
	// probeAfter is the time without a request after which a limited target is preferred for the
	// next one.
	probeAfter = 2 * time.Second
)

// bucket is the token bucket of one target; each request takes one token.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// limit is the target's limit and fillRate the rate at which tokens are added, both per second.
	limit, fillRate float64
	// lastRequest is when the target last got a request, or when the bucket was created.
	lastRequest time.Time
}

func (b *bucket) advance(now time.Time) {
	if d := now.Sub(b.updatedAt); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.fillRate, b.capacity())
		b.updatedAt = now
	}
}

func (b *bucket) capacity() float64 { return 1 + burstTime.Seconds()*b.fillRate }

// Pacer spaces requests to targets that have a rate limit.
type Pacer struct {
	buckets    map[string]*bucket
	fleetShare float64
}

// NewPacer returns a Pacer that serves the whole fleet.
func NewPacer() *Pacer { return &Pacer{buckets: map[string]*bucket{}, fleetShare: 1} }

// Reset empties all buckets.
func (p *Pacer) Reset(now time.Time) {
	for _, b := range p.buckets {
		b.tokens, b.updatedAt = 0, now
	}
}

// SetFleetShare sets the part of the fleet that this VM serves as leader.
func (p *Pacer) SetFleetShare(now time.Time, share float64) {
	if share == p.fleetShare {
		return
	}
	p.fleetShare = share
	for _, b := range p.buckets {
		b.advance(now)
		b.fillRate = share * b.limit
	}
}

// SetRates replaces the limits, in requests per second by target.
func (p *Pacer) SetRates(now time.Time, rates map[string]float64) {
	for id, b := range p.buckets {
		if _, limited := rates[id]; !limited {
			delete(p.buckets, id)
			continue
		}
		b.advance(now)
	}
	for id, rate := range rates {
		b := p.buckets[id]
		if b == nil {
			b = &bucket{updatedAt: now, lastRequest: now}
			p.buckets[id] = b
		}
		b.limit = max(rate, MinRate)
		b.fillRate = p.fleetShare * b.limit
		b.tokens = min(b.tokens, b.capacity())
	}
}

// Ready reports whether a target may get a request now.
func (p *Pacer) Ready(now time.Time, target string) bool {
	b := p.buckets[target]
	if b == nil {
		return true
	}
	b.advance(now)
	return b.tokens >= 1
}

// Consume records that a target gets a request.
func (p *Pacer) Consume(now time.Time, target string) {
	if b := p.buckets[target]; b != nil {
		b.advance(now)
		b.tokens--
		b.lastRequest = now
	}
}

// ProbeDue reports whether the next possible request should go to a limited target: it has had no
// request for probeAfter, and only a response can show that its limit has ended.
func (p *Pacer) ProbeDue(now time.Time, target string) bool {
	b := p.buckets[target]
	return b != nil && now.Sub(b.lastRequest) >= probeAfter && p.Ready(now, target)
}

// Rate returns the number of requests per second that this VM may send to a target. limited is
// false if the target has no limit.
func (p *Pacer) Rate(target string) (perSecond float64, limited bool) {
	b := p.buckets[target]
	if b == nil {
		return 0, false
	}
	return b.fillRate, true
}

// Wait returns the time until a target may get a request.
func (p *Pacer) Wait(now time.Time, target string) time.Duration {
	b := p.buckets[target]
	if b == nil {
		return 0
	}
	b.advance(now)
	return cappedDurationFor(1-b.tokens, b.fillRate)
}

// cappedDurationFor returns the time that a number of requests takes at a rate, at most MaxWait.
func cappedDurationFor(requests, perSecond float64) time.Duration {
	if requests <= 0 {
		return 0
	}
	if perSecond <= 0 {
		return MaxWait
	}
	return min(DurationFor(requests, perSecond), MaxWait)
}

// DurationFor returns the time that a number of requests takes at a rate above 0, without an upper
// bound.
func DurationFor(requests, perSecond float64) time.Duration {
	return time.Duration(requests / perSecond * float64(time.Second))
}

// MaxWait is the longest retry delay; callers do not wait longer.
const MaxWait = 10 * time.Second

// RetryDelays spreads the retries of refused callers over the time in which they can be served.
type RetryDelays struct {
	updatedAt time.Time
	// promised is the number of callers that were given a retry delay and have not returned yet.
	promised float64
}

// Next returns the retry delay of one more caller, given the number of waiting requests and the
// rate at which requests are served.
func (r *RetryDelays) Next(now time.Time, waiting int, perSecond float64) time.Duration {
	if d := now.Sub(r.updatedAt); d > 0 {
		r.promised = max(r.promised-d.Seconds()*perSecond, 0)
		r.updatedAt = now
	}
	wait := cappedDurationFor(float64(waiting)+r.promised+1, perSecond)
	if wait < MaxWait {
		r.promised++
	}
	return wait
}
