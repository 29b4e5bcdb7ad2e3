package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

const (
	// notYetPause is how long a load that turned out unfinished is waited for again.
	notYetPause = 60 * time.Millisecond
	// freshFor is how long after its expected end a load may turn out unfinished: one that
	// takes four times as long.
	freshFor = time.Second
)

// notYet takes a target's refusal of a request whose adapter was held for loaded. It reports
// whether its load, which this VM ordered, may not be over yet: then it counts as under way
// again, so that neither the store nor the target is given more loads than it bears.
func (s *Scheduler) notYet(now time.Time, t *target, ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	if sl == nil || !sl.ordered || now.Sub(sl.due) >= freshFor {
		return false
	}
	if sl.state != resident {
		return sl.refused // the request was sent before the refusal of another
	}
	sl.state = loading
	sl.proven = false
	sl.readyAt = now.Add(notYetPause)
	switch {
	case !sl.fromStore && !sl.refused: // it may be a little slower than those before it
		sl.readyAt = now.Add(warmPause)
	case !sl.fromStore: // it was not kept
		delete(t.kept, ref)
		sl.fromStore, sl.mistaken = true, true
		sl.readyAt = coord.Later(sl.readyAt, sl.begun.Add(s.cold.Value()))
	}
	sl.refused = true
	s.countLoad(sl, true)
	return true
}

// shownLate takes that a load was not over when a request was granted, and reports whether it
// took longer than loads are known to take by now. A load that began beside many others says
// nothing of how long one takes at full speed, and a quick one may have been taken for kept:
// what such a load shows counts when it runs.
func (s *Scheduler) shownLate(g *grant) bool {
	sl := g.slot
	if !s.shows(g) {
		return true
	}
	after := g.at.Sub(sl.begun)
	sl.refusedAfter = max(sl.refusedAfter, after)
	if !sl.fromStore {
		return after >= s.warm.Value()
	}
	late := after >= s.cold.Value()
	if !sl.stretched && !sl.mistaken {
		s.cold.Refused(sl.number, after)
	}
	return late
}

// shownInTime takes that a load was over when a request was granted.
func (s *Scheduler) shownInTime(g *grant) {
	sl := g.slot
	if !s.shows(g) || sl.proven || sl.mistaken {
		return
	}
	after := g.at.Sub(sl.begun)
	switch {
	case !sl.fromStore:
		s.warm.Ran(sl.number, sl.refusedAfter, after)
	case sl.refusedAfter == 0 || !sl.stretched:
		s.cold.Ran(sl.number, sl.refusedAfter, after)
	}
}

// shows reports whether a request was granted after a load that this VM ordered and that its
// place has had since.
func (s *Scheduler) shows(g *grant) bool {
	sl := g.slot
	return sl != nil && sl == g.target.slots[g.ref] && sl.version == g.version && !sl.begun.IsZero()
}

// arriving reports whether t refused requests for an adapter since its load was not over:
// they come back to it, as a load elsewhere would take a place in the line and be there
// later. In the played storm (line_test.go, 12 s, seeds 0 to 3) 0.859 of the requests were in
// time without this and 0.917 with it.
func (t *target) arriving(now time.Time, ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	return sl != nil && sl.refused && now.Sub(sl.due) < freshFor
}

// Times of an adapter load, where the search for them begins (coord/loadtime): from the store
// without others beside it, and of an adapter that the engine held lately. A constant of 250 ms
// where loads take 288 had 1,537 of 7,722 arrivals of a quiet day rejected.
const (
	firstColdLoad = 250 * time.Millisecond
	firstWarmLoad = 25 * time.Millisecond
	// loadMargin covers the order's way and the engine's step.
	loadMargin = 15 * time.Millisecond
	// warmPause is how long a quick load that turned out unfinished is waited for again,
	// before it is taken for one from the store.
	warmPause = 20 * time.Millisecond
)

// keptAdapters is how many adapters an engine is expected to keep at hand after
// unloading them. Engines here keep about 126; fewer is the safe guess.
const keptAdapters = 100

// loadTime is how long a load of an adapter at t is expected to take.
func (s *Scheduler) loadTime(t *target, ref coord.AdapterRef) time.Duration {
	if t.keeps(ref) {
		return s.warm.Value() + loadMargin
	}
	return s.cold.Value() + loadMargin
}

// keeps reports whether the engine is expected to have an adapter at hand.
func (t *target) keeps(ref coord.AdapterRef) bool {
	_, held := t.kept[ref]
	return held
}

// keep remembers that an adapter was held here.
func (t *target) keep(now time.Time, ref coord.AdapterRef) {
	t.kept[ref] = now
	if len(t.kept) <= keptAdapters {
		return
	}
	var oldest coord.AdapterRef
	var at time.Time
	for r, used := range t.kept {
		if at.IsZero() || used.Before(at) {
			oldest, at = r, used
		}
	}
	delete(t.kept, oldest)
}
