package dispatch

import "time"

// queueDrainTime estimates the time until the queue is drained.
func (d *Dispatcher) queueDrainTime() time.Duration {
	rounds := d.queued / d.cfg.Batch
	return time.Duration(rounds+1) * d.serviceTime
}

// expectedWait estimates how long r would wait for a free position in the batch.
func (d *Dispatcher) expectedWait(r Request) time.Duration {
	ahead := len(d.running) + d.queued
	return time.Duration(ahead/d.cfg.Batch) * d.serviceTime
}

// loadWait estimates how long r would wait for its adapter.
func (d *Dispatcher) loadWait(now time.Time, r Request) time.Duration {
	if d.ready(r.Adapter) {
		return 0
	}
	return d.expectedLoadTime(now, r)
}

// expectedLoadTime estimates the time until r's adapter is resident. Waiting adapters of the same or
// a higher priority go first, each with a permit wait and a load.
func (d *Dispatcher) expectedLoadTime(now time.Time, r Request) time.Duration {
	a := r.Adapter
	if d.nextLoad == a && d.phase == loading {
		return max(0, d.loadTime-now.Sub(d.loadStarted))
	}
	if d.waiting[a] != nil {
		return 0 // it joins admitted requests for its adapter and shares their load
	}
	perLoad := d.permitWait + d.loadTime
	overdue := time.Duration(0)
	if d.phase == permitRequested {
		overdue = max(0, now.Sub(d.permitRequestedAt)-d.permitWait)
	}
	loads := 1
	for other, q := range d.waiting {
		if !d.ready(other) && q.loadPriority(now, d.cfg.AgingInterval) >= initialPriority(r.Rank) {
			loads++
		}
	}
	return overdue + time.Duration(loads)*perLoad
}

// ewmaDivisor is the inverse weight of a new sample in a moving average.
const ewmaDivisor = 8

// UpdateEWMA returns the moving average after a sample with a weight of 1/8.
func UpdateEWMA(mean, sample time.Duration) time.Duration {
	return mean + (sample-mean)/ewmaDivisor
}
