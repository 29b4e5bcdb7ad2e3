package coord_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of schedules unless the command line sets them,
// which makes the result of every run the same.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "300", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}

const fleetVMs = 3

// actions returns the steps of a schedule by name. Each calls pick to choose among n
// alternatives.
func (f *fleet) actions() map[string]func(pick func(n int) int) {
	return map[string]func(pick func(n int) int){
		"deliver": func(pick func(int) int) {
			if len(f.net) > 0 {
				f.removeMessage(pick(len(f.net))).deliver()
			}
		},
		"lose": func(pick func(int) int) {
			if len(f.net) > 0 {
				f.removeMessage(pick(len(f.net))).lost()
			}
		},
		"request": func(pick func(int) int) { f.submitRequest(pick(len(f.vms)), adapters[pick(len(adapters))]) },
		"finish": func(pick func(int) int) {
			if len(f.engine.runs) > 0 {
				f.finishRun(pick(len(f.engine.runs)))
			}
		},
		"abort": func(pick func(int) int) {
			if len(f.engine.runs) > 0 {
				f.abortRun(pick(len(f.engine.runs)))
			}
		},
		"set desired": func(pick func(int) int) {
			i := pick(len(f.vms))
			if v := f.vms[i]; !v.dead {
				f.executeOwnership(i, v.machine.SetDesired(f.now, pick(2) == 0, v.members))
			}
		},
		"tick": func(pick func(int) int) {
			f.now = f.now.Add(300 * time.Millisecond)
			f.endAbortedRuns()
			i := pick(len(f.vms))
			if v := f.vms[i]; !v.dead {
				f.executeOwnership(i, v.machine.Tick(f.now, v.members))
				if v.dispatcher != nil && v.machine.MayStart() {
					f.executeDispatch(i, v.dispatcher.Tick(f.now))
				}
			}
		},
		"restart": func(pick func(int) int) {
			i := pick(len(f.vms))
			f.kill(i)
			f.boot(i)
		},
	}
}

// weightedActions lists each action as often as its relative frequency. Deliveries and
// requests dominate, which lets schedules make progress.
var weightedActions = []string{
	"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"request", "request", "request", "finish", "finish", "abort", "tick", "tick", "set desired", "set desired", "lose", "restart",
}

// TestFleetKeepsPromises checks that every request runs on its own adapter and at most once,
// and that no VM unloads an adapter in use. It runs random schedules of delays, losses,
// pauses, restarts and changing views against engines that check fencing tokens and engines
// that ignore them.
func TestFleetKeepsPromises(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(fleetVMs, fencing, noRule)
				acts := f.actions()
				steps := rapid.SliceOfN(rapid.SampledFrom(weightedActions), 40, 160).Draw(t, "steps")
				for _, s := range steps {
					acts[s](func(n int) int { return rapid.IntRange(0, n-1).Draw(t, s) })
					if f.violation != "" {
						t.Fatalf("%s", f.violation)
					}
				}
			})
		})
	}
}

// runSchedule runs one random schedule of a seed. It returns the violation, if any, and
// the number of requests that ran.
func runSchedule(seed uint64, steps int, fencing bool, brokenRule rule) (violation string, ran int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(fleetVMs, fencing, brokenRule)
	acts := f.actions()
	for range steps {
		acts[weightedActions[rng.IntN(len(weightedActions))]](rng.IntN)
		if f.violation != "" {
			break
		}
	}
	return f.violation, len(f.engine.runCounts)
}

const (
	schedulesPerCase = 1000
	stepsPerSchedule = 1500
)

// TestManySchedules runs more and longer schedules than the shrinkable ones of rapid, and
// checks that the schedules run requests.
func TestManySchedules(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		total := 0
		for seed := range uint64(schedulesPerCase) {
			violation, ran := runSchedule(seed, stepsPerSchedule, fencing, noRule)
			assert.Equal(t, violation, "", "fencing %t, seed %d", fencing, seed)
			total += ran
		}
		t.Logf("fencing=%t: %d schedules of %d steps, %d requests ran", fencing, schedulesPerCase, stepsPerSchedule, total)
		assert.Assert(t, total > schedulesPerCase, "the schedules ran too few requests to be conclusive: %d", total)
	}
}

// TestBrokenRulesAreCaught breaks each rule and expects a schedule to violate a guarantee.
// The search for a rare violation starts at a seed near the first that shows it.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		brokenRule rule
		fencing    bool
		firstSeed  uint64
	}{
		{brokenRule: noTokenCheck, fencing: true},
		{brokenRule: noHolds, fencing: true},
		{brokenRule: noHolds},
		{brokenRule: earlyRelease, fencing: true},
		{brokenRule: earlyRelease},
		{brokenRule: sharedNames},
		{brokenRule: retryMaybeSent, fencing: true},
		{brokenRule: noPin, fencing: true},
		{brokenRule: noAbortGrace, fencing: true},
		{brokenRule: noAbortGrace},
		{brokenRule: noDrainGrace, firstSeed: 12_000},
		{brokenRule: noTermCheck, firstSeed: 5_500},
	} {
		t.Run(fmt.Sprintf("%s/fencing=%t", c.brokenRule, c.fencing), func(t *testing.T) {
			for seed := c.firstSeed; seed < c.firstSeed+schedulesPerCase; seed++ {
				if violation, _ := runSchedule(seed, stepsPerSchedule, c.fencing, c.brokenRule); violation != "" {
					t.Logf("caught by schedule %d: %s", seed+1, violation)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
