package dispatch

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// planLoad asks for a turn when an adapter waits for a load, none is under way
// and a slot can be had for it.
func (d *Dispatcher) planLoad(now time.Time) {
	if d.phase == asked {
		d.raise(now)
	}
	if d.phase != idle || d.stopped || now.Before(d.retryAt) {
		return
	}
	a, worth, ok := d.worthiest(now)
	if !ok || !d.hasRoom(now) {
		return
	}
	d.phase = asked
	d.askedAt = now
	d.askWorth = worth
	d.next = a
	d.act(Action{Kind: ActRequestPermit, Adapter: a, Priority: worth})
}

// raiseFactor is how much the worth of a waiting ask must have grown before the
// giver is told: a message for each waiter would be too many.
const raiseFactor = 2

// raise tells the giver when what waits has become worth much more than was said.
func (d *Dispatcher) raise(now time.Time) {
	_, worth, ok := d.worthiest(now)
	if !ok || worth < raiseFactor*d.askWorth {
		return
	}
	d.askWorth = worth
	d.act(Action{Kind: ActRaisePermit, Priority: worth})
}

// worthiest returns the waiting adapter whose load is worth most.
func (d *Dispatcher) worthiest(now time.Time) (best coord.Adapter, worth float64, ok bool) {
	for a, q := range d.waiting {
		if d.ready(a) || d.slots.Find(a) != nil {
			continue
		}
		w := q.worth(now, d.cfg.AgingInterval)
		if !ok || w > worth || (w == worth && a.String() < best.String()) {
			best, worth, ok = a, w, true
		}
	}
	return best, worth, ok
}

func (d *Dispatcher) hasRoom(now time.Time) bool {
	if d.slots.Free() > 0 {
		return true
	}
	_, ok := d.victim(now)
	return ok
}

// victim picks an adapter to give up. Adapters with waiters are kept.
func (d *Dispatcher) victim(now time.Time) (string, bool) {
	return d.slots.Victim(now, func(a coord.Adapter) bool { return d.waiting[a] != nil })
}

// PermitGranted starts the load that is worth most now; a more urgent request may
// have come since the turn was asked for. When none is needed any more, the turn
// goes back.
func (d *Dispatcher) PermitGranted(now time.Time) []Action {
	d.acts = nil
	if d.phase != asked {
		d.act(Action{Kind: ActReturnPermit})
		return d.acts
	}
	d.turnWait = UpdateEWMA(d.turnWait, now.Sub(d.askedAt))
	best, _, ok := d.worthiest(now)
	if !ok {
		return d.giveTurnBack(now)
	}
	d.next = best
	if d.slots.Free() > 0 {
		d.beginLoad(now)
		return d.acts
	}
	victim, ok := d.victim(now)
	if !ok || !d.slots.BeginUnload(now, victim) {
		return d.giveTurnBack(now)
	}
	d.phase = unloading
	d.act(Action{Kind: ActUnload, Name: victim})
	return d.acts
}

func (d *Dispatcher) giveTurnBack(now time.Time) []Action {
	d.phase = idle
	acts := []Action{{Kind: ActReturnPermit}}
	return append(acts, d.settle(now)...)
}

func (d *Dispatcher) beginLoad(now time.Time) {
	d.phase = loading
	d.loadSince = now
	name := d.next.String() + d.suffixFor(d.next)
	d.slots.BeginLoad(now, d.next, name)
	d.act(Action{Kind: ActLoad, Adapter: d.next, Name: name})
}

// PermitDenied puts the load off until retry has passed.
func (d *Dispatcher) PermitDenied(now time.Time, retry time.Duration) []Action {
	if d.phase == asked {
		d.phase = idle
		d.retryAt = now.Add(retry)
	}
	return d.settle(now)
}

// Unloaded takes the end of an unload. When it failed, the slot stays closed
// until a Reconcile shows what the target holds.
func (d *Dispatcher) Unloaded(now time.Time, name string, ok bool) []Action {
	if ok {
		d.slots.Drop(name)
	}
	if d.phase != unloading {
		return d.settle(now)
	}
	if !ok || d.waiting[d.next] == nil {
		return d.giveTurnBack(now)
	}
	d.acts = nil
	d.beginLoad(now)
	return d.acts
}

// Loaded takes the end of a load that succeeded.
func (d *Dispatcher) Loaded(now time.Time, a coord.Adapter) []Action {
	d.slots.Loaded(now, a)
	delete(d.fails, a)
	return d.endLoad(now, a)
}

// LoadFailed takes the end of a load that failed. After LoadTries failures the
// adapter's waiters are refused.
func (d *Dispatcher) LoadFailed(now time.Time, a coord.Adapter) []Action {
	d.slots.Drop(d.nameOf(a))
	d.fails[a]++
	var refused []Action
	if d.fails[a] >= d.cfg.MaxLoadAttempts {
		refused = d.refuseAll(a, CauseLoadFailed, d.loadAvg)
		delete(d.fails, a)
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
	if d.phase != loading || d.next != a {
		return d.settle(now)
	}
	d.phase = idle
	d.loadAvg = UpdateEWMA(d.loadAvg, now.Sub(d.loadSince))
	acts := []Action{{Kind: ActReturnPermit}}
	return append(acts, d.settle(now)...)
}
