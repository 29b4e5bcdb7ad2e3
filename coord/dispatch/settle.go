package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// settle brings the target to rest after an event: refuse what is too late,
// start what can run, then see to the next load.
func (d *Dispatcher) settle(now time.Time) []Action {
	d.acts = nil
	d.expire(now)
	d.refuseBlocked()
	inOrder(d.acts)
	for len(d.running) < d.cfg.Batch && d.startNext(now) {
	}
	d.planLoad(now)
	return d.acts
}

// inOrder sorts refusals by handle, so that the same events give the same actions
// whatever the order of a map.
func inOrder(refusals []Action) {
	slices.SortFunc(refusals, func(a, b Action) int { return cmp.Compare(a.Handle, b.Handle) })
}

func (d *Dispatcher) expire(now time.Time) {
	for a, q := range d.waiting {
		for _, r := range q.takeExpired(now) {
			d.queued--
			d.act(Action{Kind: ActRefuse, Handle: r.Handle, Cause: CauseDeadline, RetryAfter: d.queueTime()})
		}
		d.dropIfEmpty(a)
	}
}

// refuseBlocked gives up the waiting requests that no load can serve, so that
// they can be tried elsewhere at once.
func (d *Dispatcher) refuseBlocked() {
	if d.phase == loading || !d.slots.Blocked() {
		return
	}
	for a := range d.waiting {
		if !d.ready(a) {
			d.acts = append(d.acts, d.refuseAll(a, CauseSlotsHeld, heldRetry)...)
		}
	}
}

// ready reports whether requests of a can start without a load.
func (d *Dispatcher) ready(a coord.Adapter) bool {
	return a.IsBase() || d.slots.IsResident(a)
}

// startNext starts the most urgent request that needs no load.
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
	d.running[r.Handle] = run{adapter: r.Adapter, since: now}
	d.act(Action{Kind: ActStart, Handle: r.Handle, Adapter: r.Adapter, Name: d.nameOf(r.Adapter)})
	return true
}
