package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// contendedFleet has engines with small batches and adapters that need many of them.
var contendedFleet = deployment{
	engines: 90, slots: 11, batch: 16, cachedAdapters: 126, storeConcurrency: 64, loadTime: 288 * time.Millisecond,
	promptTokensPerMs: 38.7, tokenTime: 5470 * time.Microsecond, adapters: 10_000, zipfExponent: 1.2, zipfOffset: 1,
	limitedBatch: true, zones: 3, paces: []float64{0.7, 0.7, 1.7, 0.7},
}

// contended is a workload for contendedFleet that fills about two thirds of the batch places.
var contended = workload{
	{"clerk", 403, 600 * time.Millisecond, 15 * time.Second, 900, 220, 0},
	{"conductor", 56, time.Second, 15 * time.Second, 900, 220, 1},
	{"brief", 186, 800 * time.Millisecond, 3 * time.Second, 900, 220, 1},
}

func contendedConfig() Config {
	return Config{AdapterSlots: contendedFleet.slots, Batch: contendedFleet.batch, CacheTokens: 85_258, MaxLoads: 64}
}

// TestDemandShift rotates the popularity of the adapters by three ranks every four seconds, so that
// adapters that nobody requested become the most popular ones. It guards against replicas that are
// added one after another: an adapter then needs seconds to get the engines for its requests.
// Without loads by demand, 0.92 of the requests in the two seconds after a shift were in time.
func TestDemandShift(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 3; seed++ {
		r := runLoadSim(contendedFleet, contendedConfig(), contended, 10*time.Second, seed, func(sim *loadSim, second int) {
			if second == 4 || second == 8 {
				sim.rankShift -= 3
			}
		})
		t.Logf("seed %d: %v", seed, r)
		inTime, submitted := 0, 0
		for _, second := range []int{4, 5, 8, 9} {
			inTime += r.perSecond[second][0]
			submitted += r.perSecond[second][1]
		}
		assert.Assert(t, ratio(inTime, submitted) > 0.96)
		assert.Assert(t, r.storeLoads < 1850, "loads have a price")
	}
}

// newZonedHarness returns a harness with 24 targets in three zones, the first of which holds an
// adapter.
func newZonedHarness(t *testing.T, maxLoads int) *harness {
	cfg := config(4)
	cfg.MaxLoads = maxLoads
	resident := make([][]string, 24)
	resident[0] = []string{"hot"}
	h := newHarness(t, cfg, resident...)
	for i := range resident {
		h.s.targets[fmt.Sprintf("t%d", i)].zone = fmt.Sprintf("z%d", i%3)
	}
	return h
}

// submitAtRate submits requests for an adapter for a second and ends them after half a second.
func (h *harness) submitAtRate(perSecond int) (loads []Action) {
	var running []Key
	for range perSecond {
		running = append(running, h.submit("hot"))
		if len(running) > perSecond/2 {
			h.collect(h.s.Done(h.now, running[0], EndedOK))
			running = running[1:]
		}
		h.advance(time.Second / time.Duration(perSecond))
		for _, a := range h.drain() {
			if a.Kind == ActLoad {
				loads = append(loads, a)
			}
		}
	}
	return loads
}

// TestLoadsByDemandStartTogether guards against replicas that are added one after another, and in
// the zone that has one already.
func TestLoadsByDemandStartTogether(t *testing.T) {
	h := newZonedHarness(t, 8)
	loads := h.submitAtRate(40)
	assert.Assert(t, len(loads) >= 3, "none of these loads was answered")
	zones := map[string]bool{}
	for _, a := range loads[:2] {
		zones[h.s.targets[a.Target].zone] = true
	}
	assert.DeepEqual(t, zones, map[string]bool{"z1": true, "z2": true})
	assert.Equal(t, h.s.Stats().LoadsStarted[LoadByDemand], int64(len(loads)))
}

// TestNoLoadsForDemandOfOneBatch guards against loads that no request needs.
func TestNoLoadsForDemandOfOneBatch(t *testing.T) {
	h := newZonedHarness(t, 8)
	assert.Equal(t, len(h.submitAtRate(4)), 0)
}

// TestLoadsByDemandLeaveMostTargetsFree guards against a leader that has unanswered orders at all targets: it
// gives no further order, and does not find that it has lost its paths.
func TestLoadsByDemandLeaveMostTargetsFree(t *testing.T) {
	h := newZonedHarness(t, 24)
	assert.Equal(t, len(h.submitAtRate(200)), 24/demandTargetShare)
}

// TestLoadsByDemandLeaveHalfTheLimit guards against requests that wait for an adapter that no
// target holds while all loads are of further replicas.
func TestLoadsByDemandLeaveHalfTheLimit(t *testing.T) {
	h := newZonedHarness(t, 4)
	for i := range 5 {
		h.submit(fmt.Sprintf("new%d", i))
	}
	h.s.storeLoads, h.s.loadsInProgress = 2, [loadCauseCount]int{LoadByDemand: 2}
	h.s.demand.firstLoadBlockedAt = h.now
	assert.Assert(t, !h.s.mayLoadReplica(h.now))
	assert.Assert(t, h.s.mayLoadReplica(h.now.Add(2*demandInterval)))
}

// TestLossOfQuarterOfEngines takes a quarter of the engines away for three seconds. It guards
// against loads of adapters with few requests before those of adapters with many: with the reverse
// order, 0.98 of the requests of one second are in time.
func TestLossOfQuarterOfEngines(t *testing.T) {
	t.Parallel()
	const lossAt = 6
	r := runLoadSim(contendedFleet, contendedConfig(), contended.scaled(2.0/3), 10*time.Second, 1, func(sim *loadSim, second int) {
		if second != lossAt {
			return
		}
		var ids []string
		for i, a := range sim.announced() {
			if i%4 == 0 {
				ids = append(ids, a.ID)
			}
		}
		sim.crash(ids, 3*time.Second)
	})
	t.Log(r)
	for _, second := range r.perSecond[lossAt : lossAt+3] {
		assert.Assert(t, ratio(second[0], second[1]) > 0.99)
	}
}
