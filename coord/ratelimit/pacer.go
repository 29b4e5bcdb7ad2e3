package ratelimit

import (
	"time"
)

const (
	// burstTime is the time of a target's limit that a bucket holds beside one request: requests that
	// wait are looked at every 20 ms.
	burstTime = 100 * time.Millisecond
	// MinRate is the lowest rate at which a target gets requests, a second, whatever it names: one
	// that got none could not say that its limit has ended.
	MinRate = 0.2
	// probeAfter is how long a limited target goes without a request before it is preferred for one.
	probeAfter = 2 * time.Second
)

// bucket has the requests that a target may get now.
type bucket struct {
	tokens float64
	at     time.Time
	// rate is the target's limit and fill what the bucket gains, both a second.
	rate, fill float64
	// taken is when the target got a request last, or the bucket began.
	taken time.Time
}

func (b *bucket) advance(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.tokens+d.Seconds()*b.fill, b.capacity())
		b.at = now
	}
}

func (b *bucket) capacity() float64 { return 1 + burstTime.Seconds()*b.fill }

// Pacer spaces requests to limited targets.
type Pacer struct {
	buckets map[string]*bucket
	share   float64
}

// NewPacer returns a Pacer of a fleet that it hears whole.
func NewPacer() *Pacer { return &Pacer{buckets: map[string]*bucket{}, share: 1} }

// Reset empties all buckets.
func (p *Pacer) Reset(now time.Time) {
	for _, b := range p.buckets {
		b.tokens, b.at = 0, now
	}
}

// SetFleetShare says which part of the fleet asks this VM.
func (p *Pacer) SetFleetShare(now time.Time, share float64) {
	if share == p.share {
		return
	}
	p.share = share
	for _, b := range p.buckets {
		b.advance(now)
		b.fill = share * b.rate
	}
}

// SetRates replaces the limits, in requests a second by target.
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
			b = &bucket{at: now, taken: now}
			p.buckets[id] = b
		}
		b.rate = max(rate, MinRate)
		b.fill = p.share * b.rate
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

// Consume takes that a target gets a request.
func (p *Pacer) Consume(now time.Time, target string) {
	if b := p.buckets[target]; b != nil {
		b.advance(now)
		b.tokens--
		b.taken = now
	}
}

// ProbeDue reports whether a limited target is to get the next request that may go there: it has had none
// for a while, and only an answer can tell that its limit has ended.
func (p *Pacer) ProbeDue(now time.Time, target string) bool {
	b := p.buckets[target]
	return b != nil && now.Sub(b.taken) >= probeAfter && p.Ready(now, target)
}

// Rate is how many requests a second this VM may send to a target; limited is false where it has no
// limit.
func (p *Pacer) Rate(target string) (perSecond float64, limited bool) {
	b := p.buckets[target]
	if b == nil {
		return 0, false
	}
	return b.fill, true
}

// Wait is the time until a target may get a request.
func (p *Pacer) Wait(now time.Time, target string) time.Duration {
	b := p.buckets[target]
	if b == nil {
		return 0
	}
	b.advance(now)
	return timeFor(1-b.tokens, b.fill)
}

// timeFor is how long so many requests take at a rate, MaxWait at most.
func timeFor(requests, perSecond float64) time.Duration {
	if requests <= 0 {
		return 0
	}
	if perSecond <= 0 {
		return MaxWait
	}
	return min(DurationFor(requests, perSecond), MaxWait)
}

// DurationFor is how long so many requests take at a rate above 0, however long that is.
func DurationFor(requests, perSecond float64) time.Duration {
	return time.Duration(requests / perSecond * float64(time.Second))
}

// MaxWait is the longest wait that is told: nobody waits for longer.
const MaxWait = 10 * time.Second

// RetryDelays spreads the returns of refused callers over the time in which they can be served.
type RetryDelays struct {
	at time.Time
	// promised are the callers that were told to come back and have not yet.
	promised float64
}

// Next is when one more caller is to come back, where so many requests wait and so many are served a
// second.
func (r *RetryDelays) Next(now time.Time, waiting int, perSecond float64) time.Duration {
	if d := now.Sub(r.at); d > 0 {
		r.promised = max(r.promised-d.Seconds()*perSecond, 0)
		r.at = now
	}
	wait := timeFor(float64(waiting)+r.promised+1, perSecond)
	if wait < MaxWait {
		r.promised++
	}
	return wait
}
