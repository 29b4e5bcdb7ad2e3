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
	sl.refused = true
	sl.readyAt = now.Add(notYetPause)
	if !sl.fromStore { // it was not kept
		delete(t.kept, ref)
		sl.fromStore = true
		sl.readyAt = coord.Later(sl.readyAt, sl.due.Add(coldLoadTime-warmLoadTime))
	}
	s.countLoad(sl, true)
	return true
}

// arriving reports whether t refused requests for an adapter since its load was not over:
// they come back to it, as a load elsewhere would take a place in the line and be there
// later. In the played storm (line_test.go, 12 s, seeds 0 to 3) 0.859 of the requests were in
// time without this and 0.917 with it.
func (t *target) arriving(now time.Time, ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	return sl != nil && sl.refused && now.Sub(sl.due) < freshFor
}

// Times of an adapter load without others beside it, as the users stated them:
// from the store, and of an adapter that the engine held lately.
const (
	coldLoadTime = 250 * time.Millisecond
	warmLoadTime = 25 * time.Millisecond
	// loadMargin covers the order's way and the engine's step.
	loadMargin = 15 * time.Millisecond
)

// keptAdapters is how many adapters an engine is expected to keep at hand after
// unloading them. Engines here keep about 126; fewer is the safe guess.
const keptAdapters = 100

func (t *target) loadTime(ref coord.AdapterRef) time.Duration {
	if t.keeps(ref) {
		return warmLoadTime + loadMargin
	}
	return coldLoadTime + loadMargin
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
