package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// scheduledEvent is a function to run at a later time.
type scheduledEvent struct {
	at time.Time
	do func()
}

// simulation drives one Scheduler against engines with random answers, losses and restarts.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	seed         uint64
	now          time.Time
	s            *Scheduler
	cfg          Config
	engines      []*engine
	events       []scheduledEvent
	lastID       uint64
	undecided    map[Key]bool // submitted, without a decision
	grants       int
	fencingToken uint64
	maxLoadLimit int // the highest load limit of the scheduler so far
	// loadDelayRNG draws how much longer loads take than expected; nil means no longer.
	loadDelayRNG     *rand.Rand
	otherHolderLoads int // loads that another lease holder ordered recently
	// faults are the additional faults of this simulation; none unless hasFaults.
	faults faults
	// recentEvents are printed with a failure.
	recentEvents []string
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 7))
	sim := &simulation{
		t: t, rng: rng, seed: seed, now: start, undecided: map[Key]bool{}, fencingToken: 2,
		cfg: Config{
			AdapterSlots: 2 + rng.IntN(4), Batch: 4, CacheTokens: 10_000, MaxLoads: 1 + rng.IntN(4),
			ModelLoadInterval: 200 * time.Millisecond, ModelLoadTime: map[string]time.Duration{"m": 600 * time.Millisecond},
		},
	}
	sim.faults.newestVersions, sim.faults.inFlight = map[coord.AdapterRef]int64{}, map[Key]Action{}
	sim.s = New(sim.cfg)
	for i := range 3 {
		sim.engines = append(sim.engines, newEngine(fmt.Sprintf("e%d", i), true))
	}
	sim.announce()
	sim.execute(sim.s.SetLeading(sim.now, true, nil))
	sim.execute(sim.s.SetLease(sim.now, sim.fencingToken))
	return sim
}

func (sim *simulation) failf(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("seed %d at %s: %s, after\n%s", sim.seed, sim.now.Sub(start), fmt.Sprintf(format, args...), strings.Join(sim.recentEvents, "\n"))
}

// maxRecentEvents bounds the number of events printed with a failure.
const maxRecentEvents = 60

func (sim *simulation) logEvent(format string, args ...any) {
	if len(sim.recentEvents) == maxRecentEvents {
		sim.recentEvents = sim.recentEvents[1:]
	}
	sim.recentEvents = append(sim.recentEvents, fmt.Sprintf("%s %s", sim.now.Sub(start), fmt.Sprintf(format, args...)))
}

func (sim *simulation) announce() {
	var listed []AnnouncedTarget
	for _, e := range sim.engines {
		if e == sim.faults.unlisted {
			continue
		}
		l := AnnouncedTarget{ID: e.id, Ready: true}
		if e.hasModel {
			l.Resident = append(l.Resident, ResidentItem{Ref: base})
		}
		listed = append(listed, l)
	}
	sim.execute(sim.s.SetTargets(sim.now, listed))
}

func (sim *simulation) engine(id string) *engine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (sim *simulation) runLater(maxDelay time.Duration, do func()) {
	at := sim.now.Add(time.Millisecond + time.Duration(sim.rng.Int64N(int64(maxDelay))))
	sim.events = append(sim.events, scheduledEvent{at, do})
}

func (sim *simulation) execute(acts []Action) {
	for _, a := range acts {
		if (a.Kind == ActLoad || a.Kind == ActUnload) && !sim.s.holdsLease() {
			sim.failf("order issued without the lease: %v %s", a.Kind, a.Ref)
		}
		sim.logEvent("%d %s %s %+v", a.Kind, a.Target, a.Ref, a.Basis)
		switch a.Kind {
		case ActGrant:
			sim.handleGrant(a)
		case ActRefuse:
			if !sim.undecided[a.Key] {
				sim.failf("%v refused without a pending request", a.Key)
			}
			delete(sim.undecided, a.Key)
		case ActLoad:
			sim.deliverOrder(a, sim.load)
		case ActUnload:
			sim.deliverOrder(a, sim.unload)
		case ActReadReport:
			sim.runLater(20*time.Millisecond, func() { sim.readReport(a) })
		}
	}
}

// deliverOrder delivers an order to its engine.
func (sim *simulation) deliverOrder(a Action, apply func(Action)) {
	if sim.hasFaults() {
		sim.deliverQueuedOrder(a, apply)
		return
	}
	sim.runLater(20*time.Millisecond, func() { apply(a) })
}

func (sim *simulation) handleGrant(a Action) {
	if !sim.undecided[a.Key] {
		sim.failf("%v granted without a pending request", a.Key)
	}
	delete(sim.undecided, a.Key)
	sim.grants++
	sim.faults.inFlight[a.Key] = a
	sim.runLater(10*time.Millisecond, func() { sim.startRequest(a) })
}

func (sim *simulation) endRequest(key Key, ending Ending) {
	sim.runLater(10*time.Millisecond, func() {
		delete(sim.faults.inFlight, key)
		sim.execute(sim.s.Done(sim.now, key, ending))
	})
}

// step advances the time by 10 ms.
func (sim *simulation) step() {
	sim.now = sim.now.Add(10 * time.Millisecond)
	for _, e := range sim.engines {
		if sim.now.Sub(e.lastReportAt) >= reportInterval {
			e.refreshReport(sim.now)
		}
	}
	for {
		due := slices.IndexFunc(sim.events, func(e scheduledEvent) bool { return !e.at.After(sim.now) })
		if due < 0 {
			break
		}
		e := sim.events[due]
		sim.events = slices.Delete(sim.events, due, due+1)
		e.do()
	}
	sim.execute(sim.s.Tick(sim.now))
	if sim.hasFaults() {
		for _, e := range sim.engines {
			sim.advanceReplacements(e)
		}
		return // the load limit of a new scheduler does not bound the loads it finds in progress
	}
	sim.maxLoadLimit = max(sim.maxLoadLimit, sim.s.loadLimit.Max())
	if loads := sim.s.Stats().Loads; loads < 0 || loads > sim.maxLoadLimit+sim.cfg.AdapterSlots+sim.otherHolderLoads+sim.reopenedLoads() {
		sim.failf("%d loads in progress", loads)
	}
}

// reopenedLoads returns the number of loads that were counted as finished, which let others begin,
// and then turned out to be in progress. There may be several at once, each of them pending at its
// engine; five were seen.
func (sim *simulation) reopenedLoads() (n int) {
	for _, t := range sim.s.targets {
		for _, sl := range t.slots {
			if sl.rejected && sl.state == loading {
				n++
			}
		}
	}
	return n
}

func (sim *simulation) submit() {
	sim.lastID++
	k := Key{VM: "vm", Ticket: sim.lastID}
	sim.undecided[k] = true
	sim.execute(sim.s.Submit(sim.now, Request{
		Key: k, Ref: ref(fmt.Sprintf("a%d", sim.rng.IntN(12))), PromptTokens: 100, OutputTokens: 20,
		Objective: 500 * time.Millisecond, Deadline: sim.now.Add(3 * time.Second),
	}))
}

// restartEngine replaces an engine by an empty one under a new id.
func (sim *simulation) restartEngine() {
	i := sim.rng.IntN(len(sim.engines))
	sim.lastID++
	sim.engines[i] = newEngine(fmt.Sprintf("e%d.%d", i, sim.lastID), false)
	sim.announce()
}

// loseLease lets another VM hold the lease for a while, and lets that VM act on it for longer than
// that.
func (sim *simulation) loseLease() {
	sim.execute(sim.s.SetLease(sim.now, 0))
	sim.fencingToken += 2 // the other holder's fencing token is in between
	for range sim.rng.IntN(60) {
		sim.step()
	}
	sim.orderFromOtherHolder()
	sim.execute(sim.s.SetLease(sim.now, sim.fencingToken))
	for range 3 {
		sim.runLater(leaseContestWindow/2, sim.orderFromOtherHolder)
	}
}

// TestInvariantsUnderRandomEvents checks that no engine is ordered beyond its adapter slots, no
// adapter in use is unloaded, and every request gets one decision.
func TestInvariantsUnderRandomEvents(t *testing.T) { runRandomSimulations(t, 120, false) }

// TestInvariantsWithLateLoads checks the same invariants with loads that take up to 0.8 s longer
// than expected, at engines that answer 421 until the load is finished.
//
// It guards against freeing the slot of an adapter that is still being loaded. In a test deployment
// an engine crashed because it was ordered to load more adapters than it has slots. The load of an
// adapter was ordered at 20.329 s and counted as finished at 20.594 s. No request arrived for it,
// and it was evicted for another adapter at 20.906 s. The store was slow and the load was still in
// progress: the engine answered that it does not hold the adapter, which freed the slot, and
// continued to load it.
func TestInvariantsWithLateLoads(t *testing.T) { runRandomSimulations(t, 120, true) }

func runRandomSimulations(t *testing.T, seeds uint64, lateLoads bool) {
	for seed := range seeds {
		sim := newSimulation(t, seed)
		if lateLoads {
			sim.loadDelayRNG = rand.New(rand.NewPCG(seed, 77))
		}
		for i := range 1500 {
			if sim.rng.IntN(4) == 0 {
				sim.submit()
			}
			if i > 200 && sim.rng.IntN(300) == 0 {
				sim.restartEngine()
			}
			if sim.rng.IntN(500) == 0 {
				sim.execute(sim.s.SetLeading(sim.now, false, nil))
				sim.step()
				sim.execute(sim.s.SetLeading(sim.now, true, nil))
			}
			if sim.rng.IntN(400) == 0 {
				sim.loseLease()
			}
			sim.step()
		}
		sim.finish()
	}
}

// finish runs the simulation until all open requests have ended.
func (sim *simulation) finish() {
	sim.t.Helper()
	for range 700 {
		sim.step()
	}
	assert.Equal(sim.t, len(sim.undecided), 0, "seed %d: requests without a decision", sim.seed)
	assert.Assert(sim.t, sim.grants > 100, "seed %d: only %d grants", sim.seed, sim.grants)
}
