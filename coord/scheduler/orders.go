package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
)

// OrderResult is a target's answer to an order.
type OrderResult int

// The results of an order.
const (
	// OrderUnknown: no answer arrived; the target may have accepted the order.
	OrderUnknown OrderResult = iota
	// OrderAccepted: the target accepted the order and is carrying it out.
	OrderAccepted
	// OrderAlreadyApplied: the target is already in the ordered state.
	OrderAlreadyApplied
	// OrderRejected: the target did not accept the order.
	OrderRejected
)

// issueOrder sends an order to a target. The first order under a lease requires that the target has
// accepted no order since its report: another VM that assumed it held the lease may have sent one
// meanwhile, which the report would not show yet. Once the target has accepted an order of this VM,
// it rejects those of the other VM.
func (s *Scheduler) issueOrder(now time.Time, t *target, a Action) {
	a.Target = t.id
	a.FencingToken = s.fencingToken
	a.Basis = s.orderBasis(now, t, a.Ref)
	if !t.fenced {
		expectedOrders := t.orderCount
		a.ExpectedOrders = &expectedOrders
		t.pendingFirstOrder = &a.Ref
	}
	s.emit(a)
}

// canBeOrdered reports whether an order may be sent to the target now.
func (t *target) canBeOrdered() bool { return t.reconciled && t.pendingFirstOrder == nil }

// handleFirstOrderAnswer handles the answer to the first order under a lease.
func (s *Scheduler) handleFirstOrderAnswer(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	if t.pendingFirstOrder == nil || *t.pendingFirstOrder != ref {
		return
	}
	t.pendingFirstOrder = nil
	t.fenced = result == OrderAccepted || result == OrderAlreadyApplied
	if result == OrderRejected {
		s.requireUnfencedReports(now)
	}
}

// requireUnfencedReports requires new reports of all targets that have not accepted an order of
// this VM yet. If one target recently accepted another VM's order, the others may have done so as
// well.
func (s *Scheduler) requireUnfencedReports(now time.Time) {
	for _, t := range s.targets {
		if !t.fenced && t.pendingFirstOrder == nil && t.reconciled {
			t.requireReport(now)
		}
	}
}

// startLoad orders the load of an adapter, or first the unload of another one if the engine has no room
// for it.
func (s *Scheduler) startLoad(now time.Time, t *target, ref coord.AdapterRef, cause LoadCause) {
	if !s.fits(t, ref) {
		victim, _, ok := s.nextVictim(now, t)
		if !ok {
			return
		}
		sl := t.slots[victim]
		sl.state = unloading
		t.cache = roundCache{}
		sl.stateSince = now
		sl.answeredAt = time.Time{}
		s.issueOrder(now, t, Action{Kind: ActUnload, Ref: victim})
		return
	}
	sl := &slot{state: loading, version: s.versions[ref], stateSince: now, lastUsed: now, fromStore: !t.isCached(ref), cause: cause}
	s.setExpectedEnd(now, sl)
	if sl.fromStore {
		sl.startedLoad = s.loadLimit.Begin(now)
		s.loadsStarted[cause]++
	}
	s.countLoad(sl, true)
	t.addSlot(ref, sl)
	s.issueOrder(now, t, Action{Kind: ActLoad, Ref: ref, Version: s.versions[ref]})
}

// setExpectedEnd sets the expected end of a load that is ordered now.
func (s *Scheduler) setExpectedEnd(now time.Time, sl *slot) {
	s.loadCount++
	sl.loadNumber = s.loadCount
	sl.startedAt, sl.rejectedAfter, sl.rejected, sl.cacheMissed = time.Time{}, 0, false, false
	sl.lateLoad = loadlimit.StartedLoad{}
	sl.expectedDuration = s.warmLoadTime.Value()
	if sl.fromStore {
		sl.expectedDuration = s.nextColdLoadTime()
		sl.contended = s.storeLoads > s.cfg.MaxLoads/2
	}
	sl.readyAt = now.Add(sl.expectedDuration + loadMargin)
	sl.initialReadyAt = sl.readyAt
}

// countLoad updates the number of loads from the store that are in progress.
func (s *Scheduler) countLoad(sl *slot, inProgress bool) {
	inProgress = inProgress && sl.fromStore
	if sl.counted == inProgress {
		return
	}
	sl.counted = inProgress
	if inProgress {
		s.storeLoads++
		s.loadsInProgress[sl.cause]++
	} else {
		s.storeLoads--
		s.loadsInProgress[sl.cause]--
	}
}

// OrderAnswered handles the answer to an order. Answers to orders of an earlier lease count as
// well, because they show the state of the target.
func (s *Scheduler) OrderAnswered(now time.Time, id string, unload bool, ref coord.AdapterRef, result OrderResult) []Action {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	if result == OrderAccepted {
		t.observeAccepted(now)
	}
	s.handleFirstOrderAnswer(now, t, ref, result)
	switch {
	case ref.IsBase():
		s.handleModelLoadAnswer(now, t, result)
	case unload:
		s.handleUnloadAnswer(now, t, ref, result)
	default:
		s.handleLoadAnswer(now, t, ref, result)
	}
	s.maintainTarget(now, t)
	return s.takeActions()
}

func (s *Scheduler) handleModelLoadAnswer(now time.Time, t *target, result OrderResult) {
	if result == OrderAccepted {
		return
	}
	t.modelLoadDue = time.Time{}
	t.requireReport(now)
}

func (s *Scheduler) handleUnloadAnswer(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	sl := t.slots[ref]
	if sl == nil || sl.state != unloading {
		return
	}
	sl.answeredAt = now
	if result == OrderAlreadyApplied && sl.confirmed {
		s.freeSlot(t, ref, FreedByAnswer)
		t.addCached(now, ref)
		return
	}
	// An engine that is still loading the adapter gives the same answer and continues to load it.
	// Only a report shows the result.
	if result == OrderRejected {
		sl.state = resident
	}
	t.requireReport(now)
}

// maxOrderLatency is the longest time from order to answer for which the time of the answer
// indicates when the load began.
const maxOrderLatency = 150 * time.Millisecond

func (s *Scheduler) handleLoadAnswer(now time.Time, t *target, ref coord.AdapterRef, result OrderResult) {
	sl := t.slots[ref]
	if sl == nil || sl.state != loading {
		return
	}
	latency := now.Sub(sl.stateSince)
	sl.answeredAt = now
	switch result {
	case OrderAccepted:
		sl.acknowledged = true
		if latency < maxOrderLatency { // otherwise it waited for a connection or for a busy VM
			if s.isMeasurable(latency) {
				sl.startedAt, sl.answerLatency = now, latency
			}
			sl.readyAt = coord.Later(sl.readyAt, now.Add(sl.expectedDuration))
			sl.initialReadyAt = sl.readyAt
		}
	case OrderAlreadyApplied:
		sl.acknowledged = true
		sl.readyAt = now
	case OrderRejected:
		s.freeSlot(t, ref, FreedByRejection)
		t.requireReport(now)
	case OrderUnknown:
		// The next report shows the result. Until then the slot stays occupied and the load is not
		// counted.
		s.countLoad(sl, false)
		sl.fromStore = false
		s.recordUnansweredOrder(now, t)
		t.requireReport(now)
	}
}

// maintainTarget does the work that is due at one target.
func (s *Scheduler) maintainTarget(now time.Time, t *target) {
	for _, h := range t.held {
		if h.state == loading && h.acknowledged && !now.Before(h.readyAt) {
			s.finishLoad(now, t, h.ref, h.slot)
		}
	}
	if !s.leading || !t.ready {
		return
	}
	if !t.reconciled {
		s.requestReportIfDue(now, t)
		return
	}
	if !s.holdsLease() {
		return
	}
	s.orderBaseModel(now, t)
	s.replaceOutdated(now, t)
}

func (s *Scheduler) finishLoad(now time.Time, t *target, ref coord.AdapterRef, sl *slot) {
	s.countLoad(sl, false)
	sl.state = resident
	sl.stateSince = now
	t.addCached(now, ref)
}

// orderBaseModel orders a base model at a target that has none: the one that it may already be
// loading, or else the one that the fewest targets hold.
func (s *Scheduler) orderBaseModel(now time.Time, t *target) {
	if !t.modelLoadDue.IsZero() {
		if !now.Before(t.modelLoadDue) {
			t.modelLoadDue = time.Time{}
			t.requireReportAt(now)
		}
		return
	}
	if len(t.models) > 0 || now.Before(s.nextModelLoad) || !t.canBeOrdered() {
		return
	}
	model, duration, ok := s.modelToLoad(t)
	if !ok {
		return
	}
	s.nextModelLoad = now.Add(s.cfg.ModelLoadInterval)
	t.modelLoadDue = now.Add(duration + reportLag)
	t.lastOrderedModel = model
	s.issueOrder(now, t, Action{Kind: ActLoad, Ref: coord.AdapterRef{Model: model}})
}

// modelToLoad returns the base model to order at a target and the expected duration of its load. An
// engine that holds none has room for one at least. It may already hold the model that it was ordered to load
// before, although its report does not show it.
func (s *Scheduler) modelToLoad(t *target) (model string, duration time.Duration, ok bool) {
	if duration, ok := s.cfg.ModelLoadTime[t.lastOrderedModel]; ok {
		return t.lastOrderedModel, duration, true
	}
	return s.leastHeldModel(t)
}

// leastHeldModel returns the model that the fewest targets hold, of those that fit into t.
func (s *Scheduler) leastHeldModel(into *target) (model string, duration time.Duration, ok bool) {
	fewest := 0
	for name, d := range s.cfg.ModelLoadTime {
		if !s.fits(into, coord.AdapterRef{Model: name}) {
			continue
		}
		n := 0
		for _, t := range s.targets {
			if t.ready && t.models[name] {
				n++
			}
		}
		if !ok || n < fewest || n == fewest && name < model {
			model, duration, fewest, ok = name, d, n, true
		}
	}
	return model, duration, ok
}

// replaceOutdated orders the newest version of adapters that a target holds in an older version.
// The target first finishes the requests that run on the older version.
func (s *Scheduler) replaceOutdated(now time.Time, t *target) {
	for _, h := range t.held {
		ref, sl := h.ref, h.slot
		if sl.state != resident || !s.isOutdated(ref, sl) {
			continue
		}
		if s.storeLoads >= s.loadLimit.Max() || t.inTransit() >= maxInTransit || !t.canBeOrdered() {
			return
		}
		sl.state = loading
		sl.confirmed = false
		sl.fromStore = true
		s.countLoad(sl, true)
		sl.acknowledged = false
		sl.answeredAt = time.Time{}
		sl.version = s.versions[ref]
		sl.stateSince = now
		s.setExpectedEnd(now, sl)
		s.issueOrder(now, t, Action{Kind: ActLoad, Ref: ref, Version: sl.version})
	}
}
