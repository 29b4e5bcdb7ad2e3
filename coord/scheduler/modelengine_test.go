package scheduler

import (
	"fmt"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// engine simulates an engine and fails the test if the scheduler violates an invariant.
type engine struct {
	id            string
	hasModel      bool
	slots         map[coord.AdapterRef]time.Time // when each becomes resident
	running       map[Key]coord.AdapterRef
	unloadPending map[coord.AdapterRef]bool // unloaded when their running requests end
	// versions are those of the held adapters, and replacements the newer ones to load in their
	// slots.
	versions     map[coord.AdapterRef]int64
	replacements map[coord.AdapterRef]*replacement
	orderCount   uint64 // accepted so far
	fencingToken uint64 // the highest one seen
	// lastReport is the report that the engine gives, as of lastReportAt.
	lastReport   Report
	lastReportAt time.Time
}

// reportInterval is how often an engine refreshes its report: reports lag.
const reportInterval = 300 * time.Millisecond

func (e *engine) refreshReport(now time.Time) {
	e.lastReportAt = now
	e.lastReport = Report{OrderCount: e.orderCount}
	if e.hasModel {
		e.lastReport.Resident = append(e.lastReport.Resident, ResidentItem{Ref: base})
	}
	for ref, at := range e.slots {
		if now.Before(at) {
			e.lastReport.Pending = append(e.lastReport.Pending, ref)
		} else {
			e.lastReport.Resident = append(e.lastReport.Resident, ResidentItem{Ref: ref, Version: e.versions[ref]})
		}
	}
	for ref := range e.replacements {
		e.lastReport.Pending = append(e.lastReport.Pending, ref)
	}
}

// occupied returns the number of occupied adapter slots.
func (e *engine) occupied() int {
	n := len(e.slots)
	for ref := range e.replacements {
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

func newEngine(id string, hasModel bool) *engine {
	return &engine{
		id: id, hasModel: hasModel, slots: map[coord.AdapterRef]time.Time{},
		running: map[Key]coord.AdapterRef{}, unloadPending: map[coord.AdapterRef]bool{},
		versions: map[coord.AdapterRef]int64{}, replacements: map[coord.AdapterRef]*replacement{},
	}
}

// startRequest delivers a granted request to its engine.
func (sim *simulation) startRequest(a Action) {
	e := sim.engine(a.Target)
	at, held := time.Time{}, false
	if e != nil {
		at, held = e.slots[a.Ref]
	}
	switch {
	case e == nil:
		sim.endRequest(a.Key, EndedUnreachable)
	case !held, sim.loadDelayRNG != nil && sim.now.Before(at):
		sim.endRequest(a.Key, EndedMisrouted)
	case sim.now.Before(at) || e.unloadPending[a.Ref] || e.replacements[a.Ref] != nil:
		sim.endRequest(a.Key, EndedBusy)
	default:
		e.running[a.Key] = a.Ref
		sim.runLater(50*time.Millisecond, func() { sim.s.FirstEvent(sim.now, a.Key) })
		sim.runLater(400*time.Millisecond, func() {
			delete(e.running, a.Key)
			sim.finishUnloads(e)
			sim.endRequest(a.Key, EndedOK)
		})
	}
}

func (sim *simulation) finishUnloads(e *engine) {
	for ref := range e.unloadPending {
		if !e.uses(ref) {
			delete(e.slots, ref)
			delete(e.unloadPending, ref)
		}
	}
}

// answerOrder returns the answer to an order, or loses it.
func (sim *simulation) answerOrder(a Action, r OrderResult) {
	if sim.rng.IntN(12) == 0 {
		r = OrderUnknown
	}
	sim.logEvent("%s answers with result %d to action %d for %s", a.Target, r, a.Kind, a.Ref)
	generation := sim.faults.generation
	sim.runLater(20*time.Millisecond, func() {
		if generation != sim.faults.generation {
			return
		}
		sim.execute(sim.s.OrderAnswered(sim.now, a.Target, a.Kind == ActUnload, a.Ref, r))
	})
}

// acceptsOrder reports whether an engine accepts an order, and answers it if not.
func (sim *simulation) acceptsOrder(e *engine, a Action) bool {
	switch {
	case e == nil:
		sim.answerOrder(a, OrderUnknown)
	case a.FencingToken < e.fencingToken:
		sim.answerOrder(a, OrderRejected)
	case a.ExpectedOrders != nil && *a.ExpectedOrders != e.orderCount, sim.rng.IntN(15) == 0:
		sim.answerOrder(a, OrderRejected)
	default:
		e.orderCount++
		e.fencingToken = a.FencingToken
		return true
	}
	return false
}

func (sim *simulation) load(a Action) {
	e := sim.engine(a.Target)
	if !sim.acceptsOrder(e, a) {
		return
	}
	if a.Ref.IsBase() {
		sim.runLater(700*time.Millisecond, func() { e.hasModel = true })
		sim.answerOrder(a, OrderAccepted)
		return
	}
	if at, held := e.slots[a.Ref]; held {
		if !sim.now.Before(at) && e.versions[a.Ref] < sim.faults.newestVersions[a.Ref] && e.replacements[a.Ref] == nil {
			sim.startReplacement(e, a)
			return
		}
		sim.answerOrder(a, OrderAlreadyApplied)
		return
	}
	if e.occupied() >= sim.cfg.AdapterSlots {
		sim.failf("%s ordered to load %s with %d of %d slots occupied", e.id, a.Ref, e.occupied(), sim.cfg.AdapterSlots)
	}
	e.slots[a.Ref] = sim.now.Add(initialColdLoadTime + sim.loadDelay())
	e.versions[a.Ref] = sim.faults.newestVersions[a.Ref]
	sim.answerOrder(a, OrderAccepted)
}

// loadDelay returns how much longer a load takes than expected.
func (sim *simulation) loadDelay() time.Duration {
	if sim.loadDelayRNG == nil || sim.loadDelayRNG.IntN(4) > 0 {
		return 0
	}
	return time.Duration(sim.loadDelayRNG.Int64N(int64(800 * time.Millisecond)))
}

func (sim *simulation) unload(a Action) {
	e := sim.engine(a.Target)
	if !sim.acceptsOrder(e, a) {
		return
	}
	if e.uses(a.Ref) && a.FencingToken < sim.fencingToken && sim.hasFaults() {
		e.unloadPending[a.Ref] = true // an earlier lease holder cannot know; the engine finishes its requests
		sim.answerOrder(a, OrderAccepted)
		return
	}
	if e.uses(a.Ref) {
		sim.failf("%s ordered to unload %s in use", e.id, a.Ref)
	}
	if sim.loadDelayRNG == nil || !sim.now.Before(e.slots[a.Ref]) {
		delete(e.slots, a.Ref)
	} // otherwise the engine answers that it does not hold it yet, and continues to load it
	sim.answerOrder(a, OrderAlreadyApplied)
}

// orderFromOtherHolder delivers a load order of the previous lease holder, which occupies a slot
// unless the engine has since seen a higher fencing token.
func (sim *simulation) orderFromOtherHolder() {
	e := sim.engines[sim.rng.IntN(len(sim.engines))]
	token := sim.fencingToken - 1
	if token >= e.fencingToken && e.hasModel && e.occupied() < sim.cfg.AdapterSlots {
		e.orderCount++
		e.fencingToken = token
		sim.otherHolderLoads++
		sim.events = append(sim.events, scheduledEvent{sim.now.Add(2 * time.Second), func() { sim.otherHolderLoads-- }})
		sim.lastID++
		e.slots[ref(fmt.Sprintf("other%d", sim.lastID))] = sim.now.Add(initialColdLoadTime)
	}
}

// readReport returns a report, which lags slightly, or a failed read.
func (sim *simulation) readReport(a Action) {
	e := sim.engine(a.Target)
	if e == nil || sim.rng.IntN(8) == 0 {
		sim.runLater(20*time.Millisecond, func() { sim.execute(sim.s.HandleReport(sim.now, a.Target, Report{}, false)) })
		return
	}
	r := e.lastReport
	if sim.rng.IntN(2) == 0 {
		r.OrderCount = e.orderCount // the count may be newer than the rest
	}
	sim.runLater(30*time.Millisecond, func() { sim.execute(sim.s.HandleReport(sim.now, a.Target, r, true)) })
}
