package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// busyStoreFleet is like the deployment with the most contention for adapter slots.
var busyStoreFleet = deployment{
	engines: 90, slots: 11, batch: 16, cachedAdapters: 84, storeConcurrency: 64, loadTime: 288 * time.Millisecond,
	promptTokensPerMs: 38.7, tokenTime: 5470 * time.Microsecond, adapters: 10_000, zipfExponent: 1.2, zipfOffset: 3,
}

// contendedWorkload is the usual traffic of busyStoreFleet.
var contendedWorkload = workload{
	{"urgent", 230, 800 * time.Millisecond, 15 * time.Second, 900, 150, 0},
	{"routine", 55, 2 * time.Second, 15 * time.Second, 900, 150, 2},
	{"digest", 105, 800 * time.Millisecond, 3 * time.Second, 900, 150, 1},
}

func busyStoreConfig(initialLimit int) Config {
	return Config{AdapterSlots: busyStoreFleet.slots, Batch: busyStoreFleet.batch, CacheTokens: 84_470, MaxLoads: initialLimit}
}

// runOutside is the longest time in which a value stays beyond a bound.
type runOutside struct{ current, longest time.Duration }

func (o *runOutside) observe(outside bool) {
	if !outside {
		o.current = 0
		return
	}
	o.current += time.Millisecond
	o.longest = max(o.longest, o.current)
}

// TestWrongLoadTimeKeepsLoadLimit checks that the limit follows the store's concurrency although
// the initial estimate of the load time is between half and twice the real time and answers to
// orders are late at random.
//
// It guards against taking a low estimate for too many loads: in a deployment whose loads take
// 288 ms where 250 ms were expected, the limit fell from 43 to 15 within 5 s although the store
// serves 64 loads, and 1 request in 10 waited for 2.4 s to be refused.
func TestWrongLoadTimeKeepsLoadLimit(t *testing.T) {
	for _, loadTime := range []time.Duration{125, 200, 250, 288, 400, 500} {
		for i, delay := range []time.Duration{0, 100} {
			t.Run(fmt.Sprintf("%dms_delay_%dms", loadTime, delay), func(t *testing.T) {
				t.Parallel()
				d := busyStoreFleet
				d.loadTime, d.answerDelay = loadTime*time.Millisecond, delay*time.Millisecond
				var below, above runOutside
				r := runLoadSim(d, busyStoreConfig(d.storeConcurrency), contendedWorkload, 8*time.Second, uint64(i)+1, func(sim *loadSim, _ int) {
					sim.rankShift += 1000 // keeps loads waiting
					sim.onStep = func() {
						limit := sim.s.loadLimit.Max()
						below.observe(20*limit < 19*d.storeConcurrency)
						above.observe(4*limit > 5*d.storeConcurrency)
					}
				})
				t.Logf("%v, delay %v: below for %v, above for %v; %v", d.loadTime, d.answerDelay, below.longest, above.longest, r)
				assert.Check(t, below.longest <= 2*time.Second)
				assert.Check(t, above.longest <= 2*time.Second)
			})
		}
	}
}
