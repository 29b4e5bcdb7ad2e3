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

// TestMain fixes the seed and the number of schedules, unless the command line
// sets them, so that every run gives the same verdict.
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

// actions are what the scheduler may do next.
func (f *fleet) actions() map[string]func(pick func(n int) int) {
	return map[string]func(pick func(n int) int){
		"deliver": func(pick func(int) int) {
			if len(f.net) > 0 {
				f.take(pick(len(f.net))).deliver()
			}
		},
		"lose": func(pick func(int) int) {
			if len(f.net) > 0 {
				f.take(pick(len(f.net))).lost()
			}
		},
		"request": func(pick func(int) int) { f.request(pick(len(f.vms)), adapters[pick(len(adapters))]) },
		"finish": func(pick func(int) int) {
			if len(f.engine.runs) > 0 {
				f.finishRun(pick(len(f.engine.runs)))
			}
		},
		"break off": func(pick func(int) int) {
			if len(f.engine.runs) > 0 {
				f.breakOff(pick(len(f.engine.runs)))
			}
		},
		"want": func(pick func(int) int) {
			i := pick(len(f.vms))
			if v := f.vms[i]; !v.dead {
				f.own(i, v.machine.SetDesired(f.now, pick(2) == 0, v.others))
			}
		},
		"tick": func(pick func(int) int) {
			f.now = f.now.Add(300 * time.Millisecond)
			f.noticeBrokenOff()
			i := pick(len(f.vms))
			if v := f.vms[i]; !v.dead {
				f.own(i, v.machine.Tick(f.now, v.others))
				if v.dispatch != nil && v.machine.MayStart() {
					f.dispatched(i, v.dispatch.Tick(f.now))
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

// weights make schedules that get somewhere: mostly deliveries and requests.
var weights = []string{
	"deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"request", "request", "request", "finish", "finish", "break off", "tick", "tick", "want", "want", "lose", "restart",
}

// TestFleetKeepsPromises runs random schedules of delays, losses, pauses,
// restarts and changing views against both kinds of engine.
func TestFleetKeepsPromises(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing=%t", fencing), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(fleetVMs, fencing, noRule)
				acts := f.actions()
				steps := rapid.SliceOfN(rapid.SampledFrom(weights), 40, 160).Draw(t, "steps")
				for _, s := range steps {
					acts[s](func(n int) int { return rapid.IntRange(0, n-1).Draw(t, s) })
					if f.fault != "" {
						t.Fatalf("%s", f.fault)
					}
				}
			})
		})
	}
}

// schedule runs one schedule of a seed. It returns the fault, if any, and how
// many requests ran.
func schedule(seed uint64, steps int, fencing bool, broken rule) (fault string, ran int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	f := newFleet(fleetVMs, fencing, broken)
	acts := f.actions()
	for range steps {
		acts[weights[rng.IntN(len(weights))]](rng.IntN)
		if f.fault != "" {
			break
		}
	}
	return f.fault, len(f.engine.ran)
}

const (
	schedules = 1000
	stepsEach = 1500
)

// TestManySchedules goes further than rapid's shrinkable runs, and makes sure
// that the schedules get work done.
func TestManySchedules(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		total := 0
		for seed := range uint64(schedules) {
			fault, ran := schedule(seed, stepsEach, fencing, noRule)
			assert.Equal(t, fault, "", "fencing %t, seed %d", fencing, seed)
			total += ran
		}
		t.Logf("fencing=%t: %d schedules of %d steps, %d requests ran", fencing, schedules, stepsEach, total)
		assert.Assert(t, total > schedules, "the schedules run too few requests to show anything: %d", total)
	}
}

// TestBrokenRulesAreCaught breaks each rule and expects a schedule to show it. A
// rare one is looked for from a seed near the first that does.
func TestBrokenRulesAreCaught(t *testing.T) {
	for _, c := range []struct {
		broken  rule
		fencing bool
		from    uint64
	}{
		{broken: noFenceCheck, fencing: true},
		{broken: noHolds, fencing: true},
		{broken: noHolds},
		{broken: falseRelease, fencing: true},
		{broken: falseRelease},
		{broken: sharedNames},
		{broken: retryMaybeSent, fencing: true},
		{broken: noPin, fencing: true},
		{broken: noGrace, fencing: true},
		{broken: noGrace},
		{broken: noDrainGrace, from: 12_000},
		{broken: noTenureCheck, from: 5_500},
	} {
		t.Run(fmt.Sprintf("%s/fencing=%t", c.broken, c.fencing), func(t *testing.T) {
			for seed := c.from; seed < c.from+schedules; seed++ {
				if fault, _ := schedule(seed, stepsEach, c.fencing, c.broken); fault != "" {
					t.Logf("caught by schedule %d: %s", seed+1, fault)
					return
				}
			}
			t.Fatal("no schedule shows that the rule is broken")
		})
	}
}
