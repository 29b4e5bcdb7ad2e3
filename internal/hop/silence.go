package hop

import "time"

// RecordHeard records that a target has sent this VM something, on a connection of the pool or elsewhere.
// Calls may come late and out of order.
func (p *Pool) RecordHeard() {
	after := int64(p.Now().Sub(p.createdAt))
	for {
		latest := p.heardAfter.Load()
		if latest != 0 && after <= latest || p.heardAfter.CompareAndSwap(latest, after) {
			return
		}
	}
}

// HeardAt returns when a target last sent this VM anything, or when the pool was created.
func (p *Pool) HeardAt() time.Time { return p.createdAt.Add(time.Duration(p.heardAfter.Load())) }

// beginWait records that a request has been sent to a target.
func (p *Pool) beginWait(r *Response, key string) {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waits[r] = wait{key, now}
}

// endWait records that a request is answered, or has failed.
func (p *Pool) endWait(r *Response) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waits, r)
}

// wait is a request without a response.
type wait struct {
	key    string
	sentAt time.Time
}

// Silent returns the keys of the targets with a request that has been unanswered for a duration, if no
// target has sent this VM anything in that time. A key may occur more than once.
func (p *Pool) Silent(now time.Time, d time.Duration) (keys []string) {
	if now.Sub(p.HeardAt()) < d {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.waits {
		if now.Sub(w.sentAt) >= d {
			keys = append(keys, w.key)
		}
	}
	return keys
}
