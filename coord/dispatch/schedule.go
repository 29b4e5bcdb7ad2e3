package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// schedule runs after each event. It refuses requests whose deadline has passed or that no load can
// serve, starts those that can run, and plans the next load.
func (d *Dispatcher) schedule(now time.Time) []Action {
	d.acts = nil
	d.expire(now)
	d.refuseBlocked()
	sortByHandle(d.acts)
	for len(d.running) < d.cfg.Batch && d.startNext(now) {
	}
	d.planLoad(now)
	return d.acts
}

// sortByHandle sorts refusals by handle, so that the same events give the same actions regardless of
// map iteration.
func sortByHandle(refusals []Action) {
	slices.SortFunc(refusals, func(a, b Action) int { return cmp.Compare(a.Handle, b.Handle) })
}

func (d *Dispatcher) expire(now time.Time) {
	for a, q := range d.waiting {
		for _, r := range q.removeExpired(now) {
			d.queued--
			d.emit(Action{Kind: ActRefuse, Handle: r.Handle, Cause: CauseDeadline, RetryAfter: d.queueDrainTime()})
		}
		d.dropIfEmpty(a)
	}
}

// refuseBlocked refuses the waiting requests that no load can serve, so that they can be retried
// elsewhere at once.
func (d *Dispatcher) refuseBlocked() {
	if d.phase == loading || !d.slots.Blocked() {
		return
	}
	for a := range d.waiting {
		if !d.ready(a) {
			d.acts = append(d.acts, d.refuseAll(a, CauseSlotsHeld, slotsHeldRetryDelay)...)
		}
	}
}

// ready reports whether requests for a can start without a load.
func (d *Dispatcher) ready(a coord.Adapter) bool {
	return a.IsBase() || d.slots.IsResident(a)
}

// startNext starts the most urgent request that needs no load, and reports whether there was one.
func (d *Dispatcher) startNext(now time.Time) bool {
	var best *queue
	for a, q := range d.waiting {
		if d.ready(a) && (best == nil || q.moreUrgent(best, now, d.cfg.AgingInterval)) {
			best = q
		}
	}
	if best == nil {
		return false
	}
	r := best.pop()
	d.queued--
	d.dropIfEmpty(r.Adapter)
	d.slots.Pin(r.Adapter)
	d.running[r.Handle] = runningRequest{adapter: r.Adapter, started: now}
	d.emit(Action{Kind: ActStart, Handle: r.Handle, Adapter: r.Adapter, Name: d.engineName(r.Adapter)})
	return true
}
