package dispatch

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// planLoad requests a load permit if an adapter waits for a load, no load is in progress and a slot
// is free or can be freed.
func (d *Dispatcher) planLoad(now time.Time) {
	if d.phase == permitRequested {
		d.raisePermit(now)
	}
	if d.phase != idle || d.stopped || now.Before(d.retryLoadAt) {
		return
	}
	a, priority, ok := d.highestPriority(now)
	if !ok || !d.slotAvailable(now) {
		return
	}
	d.phase = permitRequested
	d.permitRequestedAt = now
	d.permitPriority = priority
	d.nextLoad = a
	d.emit(Action{Kind: ActRequestPermit, Adapter: a, Priority: priority})
}

// raiseFactor is the factor by which the priority of a pending permit request must have grown before
// the issuer is notified. A message for each new waiting request would be too many.
const raiseFactor = 2

// raisePermit notifies the issuer if the load priority has grown by raiseFactor since the last report.
func (d *Dispatcher) raisePermit(now time.Time) {
	_, priority, ok := d.highestPriority(now)
	if !ok || priority < raiseFactor*d.permitPriority {
		return
	}
	d.permitPriority = priority
	d.emit(Action{Kind: ActRaisePermit, Priority: priority})
}

// highestPriority returns the adapter with the highest load priority among those that requests wait
// for and that have no slot.
func (d *Dispatcher) highestPriority(now time.Time) (best coord.Adapter, priority float64, ok bool) {
	for a, q := range d.waiting {
		if d.ready(a) || d.slots.Find(a) != nil {
			continue
		}
		p := q.loadPriority(now, d.cfg.AgingInterval)
		if !ok || p > priority || (p == priority && a.String() < best.String()) {
			best, priority, ok = a, p, true
		}
	}
	return best, priority, ok
}

func (d *Dispatcher) slotAvailable(now time.Time) bool {
	if d.slots.Free() > 0 {
		return true
	}
	_, ok := d.victim(now)
	return ok
}

// victim picks an adapter to evict. Adapters with waiting requests are kept.
func (d *Dispatcher) victim(now time.Time) (string, bool) {
	return d.slots.Victim(now, func(a coord.Adapter) bool { return d.waiting[a] != nil })
}

// PermitGranted starts the load with the highest priority now: a more urgent request may have
// arrived since the permit was requested. If no load is needed or possible, it returns the permit.
func (d *Dispatcher) PermitGranted(now time.Time) []Action {
	d.acts = nil
	if d.phase != permitRequested {
		d.emit(Action{Kind: ActReturnPermit})
		return d.acts
	}
	d.permitWait = UpdateEWMA(d.permitWait, now.Sub(d.permitRequestedAt))
	best, _, ok := d.highestPriority(now)
	if !ok {
		return d.returnPermit(now)
	}
	d.nextLoad = best
	if d.slots.Free() > 0 {
		d.beginLoad(now)
		return d.acts
	}
	victim, ok := d.victim(now)
	if !ok || !d.slots.BeginUnload(now, victim) {
		return d.returnPermit(now)
	}
	d.phase = unloading
	d.emit(Action{Kind: ActUnload, Name: victim})
	return d.acts
}

func (d *Dispatcher) returnPermit(now time.Time) []Action {
	d.phase = idle
	acts := []Action{{Kind: ActReturnPermit}}
	return append(acts, d.schedule(now)...)
}

func (d *Dispatcher) beginLoad(now time.Time) {
	d.phase = loading
	d.loadStarted = now
	name := d.nextLoad.String() + d.nameSuffix(d.nextLoad)
	d.slots.BeginLoad(now, d.nextLoad, name)
	d.emit(Action{Kind: ActLoad, Adapter: d.nextLoad, Name: name})
}

// PermitDenied postpones the load until retry has passed.
func (d *Dispatcher) PermitDenied(now time.Time, retry time.Duration) []Action {
	if d.phase == permitRequested {
		d.phase = idle
		d.retryLoadAt = now.Add(retry)
	}
	return d.schedule(now)
}

// Unloaded records the end of an unload. After a failure, the slot accepts no requests and stays
// occupied until the target's report to Reconcile no longer lists the adapter.
func (d *Dispatcher) Unloaded(now time.Time, name string, ok bool) []Action {
	if ok {
		d.slots.Drop(name)
	}
	if d.phase != unloading {
		return d.schedule(now)
	}
	if !ok || d.waiting[d.nextLoad] == nil {
		return d.returnPermit(now)
	}
	d.acts = nil
	d.beginLoad(now)
	return d.acts
}

// Loaded records the end of a successful load.
func (d *Dispatcher) Loaded(now time.Time, a coord.Adapter) []Action {
	d.slots.Loaded(now, a)
	delete(d.loadFailures, a)
	return d.endLoad(now, a)
}

// LoadFailed records the end of a failed load. After MaxLoadAttempts consecutive failures the waiting
// requests of the adapter are refused.
func (d *Dispatcher) LoadFailed(now time.Time, a coord.Adapter) []Action {
	d.slots.Drop(d.engineName(a))
	d.loadFailures[a]++
	var refused []Action
	if d.loadFailures[a] >= d.cfg.MaxLoadAttempts {
		refused = d.refuseAll(a, CauseLoadFailed, d.loadTime)
		delete(d.loadFailures, a)
	}
	return append(refused, d.endLoad(now, a)...)
}

func (d *Dispatcher) refuseAll(a coord.Adapter, c Cause, retry time.Duration) []Action {
	q := d.waiting[a]
	if q == nil {
		return nil
	}
	var acts []Action
	for _, r := range q.items {
		acts = append(acts, Action{Kind: ActRefuse, Handle: r.Handle, Cause: c, RetryAfter: retry})
	}
	d.queued -= q.len()
	delete(d.waiting, a)
	return acts
}

func (d *Dispatcher) endLoad(now time.Time, a coord.Adapter) []Action {
	if d.phase != loading || d.nextLoad != a {
		return d.schedule(now)
	}
	d.phase = idle
	d.loadTime = UpdateEWMA(d.loadTime, now.Sub(d.loadStarted))
	acts := []Action{{Kind: ActReturnPermit}}
	return append(acts, d.schedule(now)...)
}
