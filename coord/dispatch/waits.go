package dispatch

import "time"

// queueTime is how long the queue takes to drain.
func (d *Dispatcher) queueTime() time.Duration {
	rounds := d.queued / d.cfg.Batch
	return time.Duration(rounds+1) * d.service
}

// expectedWait is how long r would wait for a place in the batch.
func (d *Dispatcher) expectedWait(r Request) time.Duration {
	ahead := len(d.running) + d.queued
	return time.Duration(ahead/d.cfg.Batch) * d.service
}

// loadWait is how long r would wait for its adapter.
func (d *Dispatcher) loadWait(now time.Time, r Request) time.Duration {
	if d.ready(r.Adapter) {
		return 0
	}
	return d.expectedLoad(now, r)
}

// expectedLoad is how long r's adapter takes to become resident: the waiting
// adapters that are worth as much go first, each with a turn at the weight store
// and a load.
func (d *Dispatcher) expectedLoad(now time.Time, r Request) time.Duration {
	a := r.Adapter
	if d.next == a && d.phase == loading {
		return max(0, d.loadAvg-now.Sub(d.loadSince))
	}
	if d.waiting[a] != nil {
		return 0 // it waits for the others of its adapter, who were let in
	}
	each := d.turnWait + d.loadAvg
	overdue := time.Duration(0)
	if d.phase == asked {
		overdue = max(0, now.Sub(d.askedAt)-d.turnWait)
	}
	loads := 1
	for other, q := range d.waiting {
		if !d.ready(other) && q.worth(now, d.cfg.AgingInterval) >= firstWorth(r.Rank) {
			loads++
		}
	}
	return overdue + time.Duration(loads)*each
}

// blendShare is the weight of a new sample in a running mean, as one in N.
const blendShare = 8

// UpdateEWMA moves a running mean towards a sample by that share.
func UpdateEWMA(mean, sample time.Duration) time.Duration {
	return mean + (sample-mean)/blendShare
}
