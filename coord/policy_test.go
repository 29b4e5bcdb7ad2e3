package coord_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/placement"
)

// Settings are tuned with tuningSeeds; results are reported with reportedSeeds.
var (
	tuningSeeds   = []uint64{11, 12, 13}
	reportedSeeds = []uint64{101, 102, 103, 104, 105}
)

// cases returns the scenarios at the users' sizes. The load rate limits the fleet long
// before the batches do: about 7.5 requests per second saturate three loads per second.
func cases() []scenario {
	newCase := func(name string, rate float64, change func(*scenario)) scenario {
		s := baseScenario()
		s.name, s.rate = name, rate
		if change != nil {
			change(&s)
		}
		return s
	}
	const lightRate, saturatingRate, doubleRate = 4, 7.5, 15
	return []scenario{
		newCase("light", lightRate, nil),
		newCase("saturating", saturatingRate, nil),
		newCase("twice", doubleRate, nil),
		newCase("shift", saturatingRate, func(s *scenario) { s.shiftAt = 2 * time.Minute }),
		newCase("burst", saturatingRate, func(s *scenario) { s.burstAt = 2 * time.Minute }),
		newCase("cold_engine", saturatingRate, func(s *scenario) { s.coldAt = 2 * time.Minute }),
		newCase("failing_loads", saturatingRate, func(s *scenario) { s.loadFailureRate = 0.1 }),
		newCase("priorities", doubleRate, func(s *scenario) { s.highPriorityShare = 0.2 }),
		newCase("batches_40", 40, fewAdapters),
		newCase("batches_80", 80, fewAdapters),
		newCase("batches_110", 110, fewAdapters),
	}
}

// fewAdapters changes a scenario into one that is limited by batches: nearly all
// adapters fit into the slots, and 107 requests per second fill every batch.
func fewAdapters(s *scenario) {
	s.adapters = 90
	s.length /= 2
}

var noTuning = func(*dispatch.Config) {}

// systems are the systems that each case runs with, by name.
var systems = map[string]func(r *replay, seed uint64) (system, []*batcher){
	"ours": func(r *replay, _ uint64) (system, []*batcher) { return newDaemonRun(r, 1, 0, noTuning) },
	// ours_batch is the same system with all weight on batch efficiency and none on load
	// stalls, the extreme of Catasto's weighting (docs/design/load-decisions.md).
	"ours_batch": func(r *replay, _ uint64) (system, []*batcher) { return newDaemonRun(r, 0, 1, noTuning) },
	"random": func(r *replay, seed uint64) (system, []*batcher) {
		return newBaselineRun(newBaseline(r, seed, pickRandom))
	},
	"least_loaded": func(r *replay, seed uint64) (system, []*batcher) {
		return newBaselineRun(newBaseline(r, seed, pickLeastLoaded))
	},
	"hash_lru": func(r *replay, seed uint64) (system, []*batcher) {
		return newBaselineRun(newBaseline(r, seed, pickHash))
	},
	"oracle": func(r *replay, seed uint64) (system, []*batcher) { return newOracle(r, seed), nil },
}

func newDaemonRun(r *replay, loadStall, batchEfficiency float64, tune func(*dispatch.Config)) (system, []*batcher) {
	s := newDaemonSystem(r, tune)
	spread, sched := placement.SettingsForWeights(loadStall, batchEfficiency)
	s.spread.SetConfig(spread)
	s.scheduler = sched
	var b []*batcher
	for _, e := range s.engines {
		b = append(b, e.batcher)
	}
	if r.coldAt > 0 {
		r.clock.after(r.coldAt, s.engines[0].restart)
	}
	return s, b
}

// restart restarts the engine with empty slots. Its running and waiting requests are refused.
func (e *daemonEngine) restart() {
	e.batcher.advance()
	clear(e.batcher.running)
	e.batcher.schedule()
	for h := range e.jobs {
		delete(e.jobs, h)
		e.sys.refuse("restart")
	}
	e.sys.notifyGranted(e.sys.issuer.Cancel(e.sys.clock.now, e.permitID))
	e.boot()
}

func newBaselineRun(s *baseline) (system, []*batcher) {
	var b []*batcher
	for _, e := range s.engines {
		b = append(b, e.batcher)
	}
	if s.coldAt > 0 {
		s.clock.after(s.coldAt, func() {
			e := s.engines[0]
			e.slots, e.waiting = nil, nil
			e.batcher.advance()
			clear(e.batcher.running)
			e.batcher.schedule()
		})
	}
	return s, b
}

func runCase(s scenario, name string, seed uint64) replayResult {
	r := newReplay(s, seed)
	sys, batchers := systems[name](r, seed)
	return r.run(sys, batchers, seed)
}

// summary holds the values of one metric over several seeds.
type summary struct{ values []float64 }

func (s summary) String() string {
	return fmt.Sprintf("%.3f±%.3f", mean(s.values), (slices.Max(s.values)-slices.Min(s.values))/2)
}

// metricNames are the names of the reported metrics, in the order of metrics.
var metricNames = []string{"stall_mean_s", "stall_p95_s", "stall_p99_s", "waited", "loads_per_1000", "batch_eff", "ttft_p95_s", "high_ttft_p95_s", "served"}

func (r replayResult) metrics() []float64 {
	n := float64(max(r.served, 1))
	return []float64{
		mean(r.stalls), percentile(r.stalls, 0.95), percentile(r.stalls, 0.99), float64(r.waitedForLoad) / n,
		1000 * float64(r.loads) / n, r.batchUsed / max(r.batchCapacity, 1e-9), percentile(r.ttfts, 0.95),
		percentile(r.highPriorityTTFTs, 0.95), float64(r.served) / float64(max(r.requests, 1)),
	}
}

// BenchmarkPolicy replays every case with every system over the reported seeds and logs
// a table. The benchmark metrics are those of the daemon's system.
func BenchmarkPolicy(b *testing.B) {
	for _, s := range cases() {
		b.Run(s.name, func(b *testing.B) {
			var lines []string
			for _, name := range slices.Sorted(maps.Keys(systems)) {
				cells := make([]summary, len(metricNames))
				refused := map[string]int{}
				for _, seed := range reportedSeeds {
					result := runCase(s, name, seed)
					for i, x := range result.metrics() {
						cells[i].values = append(cells[i].values, x)
					}
					for cause, n := range result.refused {
						refused[cause] += n
					}
				}
				line := fmt.Sprintf("%-13s", name)
				for i, c := range cells {
					line += fmt.Sprintf(" %s=%s", metricNames[i], c)
					if name == "ours" {
						b.ReportMetric(mean(c.values), metricNames[i])
					}
				}
				lines = append(lines, fmt.Sprintf("%s refused=%v", line, refused))
			}
			b.ReportMetric(0, "ns/op")
			b.Log("\n" + strings.Join(lines, "\n"))
		})
	}
}

// BenchmarkRecovery reports the mean load stall over the reported seeds around a shift of
// popularity or a cold start: in the minute before it, in the first 30 seconds after it,
// and in the minute after these.
func BenchmarkRecovery(b *testing.B) {
	for _, s := range cases() {
		fault := max(s.shiftAt, s.coldAt)
		if fault == 0 {
			continue
		}
		b.Run(s.name, func(b *testing.B) {
			var before, within, after []float64
			for _, seed := range reportedSeeds {
				result := runCase(s, "ours", seed)
				before = append(before, result.stallsBetween(fault-time.Minute, fault)...)
				within = append(within, result.stallsBetween(fault, fault+30*time.Second)...)
				after = append(after, result.stallsBetween(fault+30*time.Second, fault+90*time.Second)...)
			}
			b.ReportMetric(mean(before), "before_s")
			b.ReportMetric(mean(within), "first_30s_s")
			b.ReportMetric(mean(after), "after_30s_s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTuning replays the first three cases with the tuning seeds, to try out a
// setting.
func BenchmarkTuning(b *testing.B) {
	for _, s := range cases()[:3] {
		b.Run(s.name, func(b *testing.B) {
			sums := make([]float64, len(metricNames))
			for _, seed := range tuningSeeds {
				for i, x := range runCase(s, "ours", seed).metrics() {
					sums[i] += x / float64(len(tuningSeeds))
				}
			}
			for i, name := range metricNames {
				b.ReportMetric(sums[i], name)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// TestReplayIsDeterministic checks that two replays of one seed give the same result.
func TestReplayIsDeterministic(t *testing.T) {
	s := cases()[1]
	s.length = 20 * time.Second
	a, b := runCase(s, "ours", 1), runCase(s, "ours", 1)
	assert.DeepEqual(t, a.metrics(), b.metrics())
	assert.DeepEqual(t, a.refused, b.refused)
}

// TestEveryRequestIsAnsweredOnce checks in every case that each request is either served
// or refused.
func TestEveryRequestIsAnsweredOnce(t *testing.T) {
	for _, s := range cases() {
		s.length = 10 * time.Second
		result := runCase(s, "ours", 1)
		refused := 0
		for _, n := range result.refused {
			refused += n
		}
		assert.Equal(t, result.served+refused, result.requests, s.name)
	}
}
