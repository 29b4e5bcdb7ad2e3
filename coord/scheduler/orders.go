package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// OrderResult is a target's answer to an order.
type OrderResult int

// The results of an order.
const (
	// OrderUnknown: no answer; it may have been taken.
	OrderUnknown OrderResult = iota
	// OrderAccepted: being carried out.
	OrderAccepted
	// OrderAlreadyApplied: already so.
	OrderAlreadyApplied
	// OrderRejected: not taken.
	OrderRejected
)

// order gives an order to a target. The first one under a lease must find that the
// target has taken no order since its report: another VM that thought it held the
// lease may have ordered meanwhile, and the report would not show it yet. Once the
// target has obeyed this one, it refuses the other VM's.
func (s *Scheduler) order(now time.Time, t *target, a Action) {
	a.Target = t.id
	a.FencingToken = s.fence
	a.Basis = s.basis(now, t, a.Ref)
	if !t.sealed {
		expect := t.orders
		a.ExpectedOrders = &expect
		t.sealing = &a.Ref
	}
	s.act(a)
}

// orderable reports whether a target may be given an order now.
func (t *target) orderable() bool { return t.trusted && t.sealing == nil }

// sealedBy takes the answer to the first order under a lease.
func (s *Scheduler) sealedBy(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	if t.sealing == nil || *t.sealing != ref {
		return
	}
	t.sealing = nil
	t.sealed = result == OrderAccepted || result == OrderAlreadyApplied
	if result == OrderRejected {
		s.distrustUnsealed(now)
	}
}

// distrustUnsealed has the reports of all targets read anew that have not obeyed this VM
// yet: where one took another VM's order lately, the others may have as well.
func (s *Scheduler) distrustUnsealed(now time.Time) {
	for _, t := range s.targets {
		if !t.sealed && t.sealing == nil && t.trusted {
			t.distrust(now)
		}
	}
}

// loadAt starts the load of an adapter, or first the unload of another one.
func (s *Scheduler) loadAt(now time.Time, t *target, ref coord.AdapterRef) {
	if len(t.slots) >= s.cfg.AdapterSlots {
		victim, _, ok := s.victim(now, t)
		if !ok {
			return
		}
		sl := t.slots[victim]
		sl.state = unloading
		sl.since = now
		sl.answered = time.Time{}
		s.order(now, t, Action{Kind: ActUnload, Ref: victim})
		return
	}
	sl := &slot{state: loading, version: s.versions[ref], since: now, lastUse: now, fromStore: !t.keeps(ref)}
	s.expect(now, sl)
	if sl.fromStore {
		sl.judged = s.limit.Begin(now)
	}
	s.countLoad(sl, true)
	t.put(ref, sl)
	s.order(now, t, Action{Kind: ActLoad, Ref: ref, Version: s.versions[ref]})
}

// expect sets when a load that is ordered now is expected to be over.
func (s *Scheduler) expect(now time.Time, sl *slot) {
	s.loadNumber++
	sl.number = s.loadNumber
	sl.begun, sl.refusedAfter, sl.refused, sl.mistaken = time.Time{}, 0, false, false
	sl.expected = s.warm.Value()
	if sl.fromStore {
		sl.expected = s.cold.Next()
		sl.stretched = s.loads > s.cfg.MaxLoads/2
	}
	sl.readyAt = now.Add(sl.expected + loadMargin)
	sl.due = sl.readyAt
}

// countLoad keeps the number of loads from the store that are under way.
func (s *Scheduler) countLoad(sl *slot, underWay bool) {
	underWay = underWay && sl.fromStore
	if sl.counted == underWay {
		return
	}
	sl.counted = underWay
	if underWay {
		s.loads++
	} else {
		s.loads--
	}
}

// OrderAnswered takes the answer to an order. Answers of a time before the lease was
// gained are as good: they tell what the target does.
func (s *Scheduler) OrderAnswered(now time.Time, id string, unload bool, ref coord.AdapterRef, result OrderResult) []Action {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	s.sealedBy(now, t, ref, result)
	switch {
	case ref.IsBase():
		s.modelOrdered(now, t, result)
	case unload:
		s.unloaded(now, t, ref, result)
	default:
		s.loaded(now, t, ref, result)
	}
	s.keepUp(now, t)
	return s.take()
}

func (s *Scheduler) modelOrdered(now time.Time, t *target, result OrderResult) {
	if result == OrderAccepted {
		return
	}
	t.modelLoad = time.Time{}
	t.distrust(now)
}

func (s *Scheduler) unloaded(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	sl := t.slots[ref]
	if sl == nil || sl.state != unloading {
		return
	}
	sl.answered = now
	if result == OrderAlreadyApplied && sl.proven {
		s.free(t, ref, FreedByAnswer)
		t.keep(now, ref)
		return
	}
	// An engine also answers so while it loads the adapter, and goes on: the report tells.
	if result == OrderRejected {
		sl.state = resident
	}
	t.distrust(now)
}

// orderTime is how long an order may take to its engine; the answer of one that took longer
// says nothing of when the load began.
const orderTime = 150 * time.Millisecond

func (s *Scheduler) loaded(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	sl := t.slots[ref]
	if sl == nil || sl.state != loading {
		return
	}
	waited := now.Sub(sl.since)
	sl.answered = now
	switch result {
	case OrderAccepted:
		sl.ordered = true
		if waited < orderTime { // for a connection, or its turn on a busy VM
			sl.begun = now
			sl.readyAt = coord.Later(sl.readyAt, now.Add(sl.expected))
			sl.due = sl.readyAt
		}
	case OrderAlreadyApplied:
		sl.ordered = true
		sl.readyAt = now
	case OrderRejected:
		s.free(t, ref, FreedByRejection)
		t.distrust(now)
	case OrderUnknown:
		// The report will tell; until then the place is taken, the load is not
		// counted.
		s.countLoad(sl, false)
		sl.fromStore = false
		t.health.fail(now, 1)
		t.distrust(now)
	}
}

// keepUp does what is due at one target.
func (s *Scheduler) keepUp(now time.Time, t *target) {
	for ref, sl := range t.slots {
		if sl.state != loading {
			continue
		}
		if sl.ordered && !now.Before(sl.readyAt) {
			s.finishLoad(now, t, ref, sl)
		}
	}
	if !s.acting || !t.ready {
		return
	}
	if !t.trusted {
		s.readIfDue(now, t)
		return
	}
	if !s.mayOrder() {
		return
	}
	s.loadModel(now, t)
	s.replaceOutdated(now, t)
}

func (s *Scheduler) finishLoad(now time.Time, t *target, ref coord.AdapterRef, sl *slot) {
	s.countLoad(sl, false)
	sl.state = resident
	sl.since = now
	t.keep(now, ref)
}

// loadModel orders a base model at a target that has none: the one that it may be loading, or
// else the one that the fewest targets hold.
func (s *Scheduler) loadModel(now time.Time, t *target) {
	if !t.modelLoad.IsZero() {
		if !now.Before(t.modelLoad) {
			t.modelLoad = time.Time{}
			t.readFrom(now)
		}
		return
	}
	if len(t.models) > 0 || now.Before(s.nextModelLoad) || !t.orderable() {
		return
	}
	model, took, ok := s.modelFor(t)
	if !ok {
		return
	}
	s.nextModelLoad = now.Add(s.cfg.ModelLoadInterval)
	t.modelLoad = now.Add(took + reportLag)
	t.modelOrdered = model
	s.order(now, t, Action{Kind: ActLoad, Ref: coord.AdapterRef{Model: model}})
}

// modelFor returns the base model to order at a target, and how long its load takes. An engine
// has room for one: what it was ordered to load before it may hold by now, although its report
// does not show it.
func (s *Scheduler) modelFor(t *target) (model string, took time.Duration, ok bool) {
	if took, ok := s.cfg.ModelLoadTime[t.modelOrdered]; ok {
		return t.modelOrdered, took, true
	}
	return s.wantedModel()
}

// wantedModel returns the model that the fewest targets hold.
func (s *Scheduler) wantedModel() (model string, took time.Duration, ok bool) {
	fewest := 0
	for name, d := range s.cfg.ModelLoadTime {
		n := 0
		for _, t := range s.targets {
			if t.ready && t.models[name] {
				n++
			}
		}
		if !ok || n < fewest || n == fewest && name < model {
			model, took, fewest, ok = name, d, n, true
		}
	}
	return model, took, ok
}

// replaceOutdated orders the newest version of adapters that a target holds in an
// older one. The target finishes their runs first.
func (s *Scheduler) replaceOutdated(now time.Time, t *target) {
	for ref, sl := range t.slots {
		if sl.state != resident || !s.outdated(ref, sl) {
			continue
		}
		if s.loads >= s.limit.Max() || t.inTransit() >= maxInTransit || !t.orderable() {
			return
		}
		sl.state = loading
		sl.proven = false
		sl.fromStore = true
		s.countLoad(sl, true)
		sl.ordered = false
		sl.answered = time.Time{}
		sl.version = s.versions[ref]
		sl.since = now
		s.expect(now, sl)
		s.order(now, t, Action{Kind: ActLoad, Ref: ref, Version: sl.version})
	}
}
