package scheduler

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// engine is a model of an engine that holds a scheduler to its promises.
type engine struct {
	id      string
	model   bool
	slots   map[coord.AdapterRef]time.Time // when each is resident
	running map[Key]coord.AdapterRef
	leaving map[coord.AdapterRef]bool // unloaded when their runs end
	// versions of adapters held, and newer ones that are to take their places.
	versions map[coord.AdapterRef]int64
	replaced map[coord.AdapterRef]*replacement
	orders   uint64 // taken so far
	fence    uint64 // the highest number seen
	// shown is what the engine reports, as of shownAt.
	shown   Report
	shownAt time.Time
}

// reportEvery is how often an engine's report is made anew: reports lag.
const reportEvery = 300 * time.Millisecond

func (e *engine) refreshReport(now time.Time) {
	e.shownAt = now
	e.shown = Report{OrderCount: e.orders}
	if e.model {
		e.shown.Resident = append(e.shown.Resident, ResidentItem{Ref: base})
	}
	for ref, at := range e.slots {
		if now.Before(at) {
			e.shown.Pending = append(e.shown.Pending, ref)
		} else {
			e.shown.Resident = append(e.shown.Resident, ResidentItem{Ref: ref, Version: e.versions[ref]})
		}
	}
	for ref := range e.replaced {
		e.shown.Pending = append(e.shown.Pending, ref)
	}
}

// occupied is how many places are taken.
func (e *engine) occupied() int {
	n := len(e.slots)
	for ref := range e.replaced {
		if _, held := e.slots[ref]; !held {
			n++
		}
	}
	return n
}

func (e *engine) uses(ref coord.AdapterRef) bool {
	for _, r := range e.running {
		if r == ref {
			return true
		}
	}
	return false
}

func newEngine(id string, model bool) *engine {
	return &engine{
		id: id, model: model, slots: map[coord.AdapterRef]time.Time{},
		running: map[Key]coord.AdapterRef{}, leaving: map[coord.AdapterRef]bool{},
		versions: map[coord.AdapterRef]int64{}, replaced: map[coord.AdapterRef]*replacement{},
	}
}

// run lets a granted request reach its engine.
func (w *world) run(a Action) {
	e := w.engine(a.Target)
	at, held := time.Time{}, false
	if e != nil {
		at, held = e.slots[a.Ref]
	}
	switch {
	case e == nil:
		w.done(a.Key, EndedUnreachable)
	case !held, w.late != nil && w.now.Before(at):
		w.done(a.Key, EndedMisrouted)
	case w.now.Before(at) || e.leaving[a.Ref] || e.replaced[a.Ref] != nil:
		w.done(a.Key, EndedBusy)
	default:
		e.running[a.Key] = a.Ref
		w.later(50*time.Millisecond, func() { w.s.FirstEvent(w.now, a.Key) })
		w.later(400*time.Millisecond, func() {
			delete(e.running, a.Key)
			w.finishLeaving(e)
			w.done(a.Key, EndedOK)
		})
	}
}

func (w *world) finishLeaving(e *engine) {
	for ref := range e.leaving {
		if !e.uses(ref) {
			delete(e.slots, ref)
			delete(e.leaving, ref)
		}
	}
}

// answer feeds an order's answer back, or loses it.
func (w *world) answer(a Action, r OrderResult) {
	if w.rng.IntN(12) == 0 {
		r = OrderUnknown
	}
	w.note("%s answers %d to %d %s", a.Target, r, a.Kind, a.Ref)
	generation := w.more.generation
	w.later(20*time.Millisecond, func() {
		if generation != w.more.generation {
			return
		}
		w.carryOut(w.s.OrderAnswered(w.now, a.Target, a.Kind == ActUnload, a.Ref, r))
	})
}

// takes reports whether an engine takes an order at all.
func (w *world) takes(e *engine, a Action) bool {
	switch {
	case e == nil:
		w.answer(a, OrderUnknown)
	case a.FencingToken < e.fence:
		w.answer(a, OrderRejected)
	case a.ExpectedOrders != nil && *a.ExpectedOrders != e.orders, w.rng.IntN(15) == 0:
		w.answer(a, OrderRejected)
	default:
		e.orders++
		e.fence = a.FencingToken
		return true
	}
	return false
}

func (w *world) load(a Action) {
	e := w.engine(a.Target)
	if !w.takes(e, a) {
		return
	}
	if a.Ref.IsBase() {
		w.later(700*time.Millisecond, func() { e.model = true })
		w.answer(a, OrderAccepted)
		return
	}
	if at, held := e.slots[a.Ref]; held {
		if !w.now.Before(at) && e.versions[a.Ref] < w.more.newest[a.Ref] && e.replaced[a.Ref] == nil {
			w.replace(e, a)
			return
		}
		w.answer(a, OrderAlreadyApplied)
		return
	}
	if e.occupied() >= w.cfg.AdapterSlots {
		w.failf("%s ordered to load %s with %d of %d places taken", e.id, a.Ref, e.occupied(), w.cfg.AdapterSlots)
	}
	e.slots[a.Ref] = w.now.Add(firstColdLoad + w.lateness())
	e.versions[a.Ref] = w.more.newest[a.Ref]
	w.answer(a, OrderAccepted)
}

// lateness is how much longer a load takes than expected.
func (w *world) lateness() time.Duration {
	if w.late == nil || w.late.IntN(4) > 0 {
		return 0
	}
	return time.Duration(w.late.Int64N(int64(800 * time.Millisecond)))
}

func (w *world) unload(a Action) {
	e := w.engine(a.Target)
	if !w.takes(e, a) {
		return
	}
	if e.uses(a.Ref) && a.FencingToken < w.fence && w.troubled() {
		e.leaving[a.Ref] = true // an earlier holder cannot know; the engine finishes its runs
		w.answer(a, OrderAccepted)
		return
	}
	if e.uses(a.Ref) {
		w.failf("%s ordered to unload %s in use", e.id, a.Ref)
	}
	if w.late == nil || !w.now.Before(e.slots[a.Ref]) {
		delete(e.slots, a.Ref)
	} // else the engine does not hold it yet, says so, and goes on loading
	w.answer(a, OrderAlreadyApplied)
}

// orderOfAnother is an order of the holder before: it fills a place, unless the engine
// has seen a higher number since.
func (w *world) orderOfAnother() {
	e := w.engines[w.rng.IntN(len(w.engines))]
	number := w.fence - 1
	if number >= e.fence && e.model && e.occupied() < w.cfg.AdapterSlots {
		e.orders++
		e.fence = number
		w.others++
		w.events = append(w.events, event{w.now.Add(2 * time.Second), func() { w.others-- }})
		w.next++
		e.slots[ref(fmt.Sprintf("other%d", w.next))] = w.now.Add(firstColdLoad)
	}
}

// read gives a report, which lags a little, or none.
func (w *world) read(a Action) {
	e := w.engine(a.Target)
	if e == nil || w.rng.IntN(8) == 0 {
		w.later(20*time.Millisecond, func() { w.carryOut(w.s.HandleReport(w.now, a.Target, Report{}, false)) })
		return
	}
	r := e.shown
	if w.rng.IntN(2) == 0 {
		r.OrderCount = e.orders // the count may be newer than the rest
	}
	w.later(30*time.Millisecond, func() { w.carryOut(w.s.HandleReport(w.now, a.Target, r, true)) })
}
