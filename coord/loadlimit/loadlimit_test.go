package loadlimit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Parameters of the modeled store, as the users specify them.
const (
	fullSpeedLoadTime = 250 * time.Millisecond
	margin            = 15 * time.Millisecond
	// outcomeDelay is the time from the expected end of a load until its first request shows
	// whether it was late.
	outcomeDelay = 100 * time.Millisecond
)

// load is one load in the model. Its end moves while more loads than the store's limit are in
// progress.
type load struct {
	began time.Time
	start StartedLoad
	end   time.Time
}

// outcome is the outcome of a load, which becomes known at a time.
type outcome struct {
	at    time.Time
	start StartedLoad
	late  bool
	took  time.Duration
}

type outcomeQueue []outcome

func (q outcomeQueue) Len() int           { return len(q) }
func (q outcomeQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q outcomeQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *outcomeQueue) Push(x any)        { *q = append(*q, x.(outcome)) }
func (q *outcomeQueue) Pop() any          { old := *q; x := old[len(old)-1]; *q = old[:len(old)-1]; return x }

// simulationResult holds the measurements of a simulation.
type simulationResult struct {
	loads, late  int
	finalLimit   int
	highestLimit int
}

// simulate runs requests for new adapters at the given rate per second against a store that
// serves storeLimit concurrent loads at full speed. slow is the fraction of loads that are late
// for other reasons.
func simulate(l *Limit, storeLimit int, rate float64, length time.Duration, slow float64, seed uint64) simulationResult {
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var result simulationResult
	var inProgress []*load
	var outcomes outcomeQueue
	waiting := 0.0
	for now := start; now.Sub(start) < length; now = now.Add(step) {
		waiting += rate * step.Seconds()
		slowdown := max(1, float64(len(inProgress))/float64(storeLimit))
		remaining := inProgress[:0]
		for _, x := range inProgress {
			x.end = x.end.Add(time.Duration(float64(step) * (1 - 1/slowdown)))
			if now.Before(x.end) {
				remaining = append(remaining, x)
				continue
			}
			result.loads++
			late := now.Sub(x.began) > fullSpeedLoadTime+margin || rng.Float64() < slow
			if late {
				result.late++
			}
			heap.Push(&outcomes, outcome{x.began.Add(fullSpeedLoadTime + margin + outcomeDelay), x.start, late, now.Sub(x.began)})
		}
		inProgress = remaining
		for len(outcomes) > 0 && !outcomes[0].at.After(now) {
			x := heap.Pop(&outcomes).(outcome)
			l.End(now, x.start, x.late)
			if x.late {
				l.ObserveDuration(x.start, x.took)
			}
		}
		for waiting >= 1 && len(inProgress) < l.Max() {
			waiting--
			inProgress = append(inProgress, &load{began: now, end: now.Add(fullSpeedLoadTime), start: l.Begin(now)})
		}
		if waiting >= 1 {
			l.ObserveFull()
		}
		l.Advance(now, len(inProgress), fullSpeedLoadTime)
		result.highestLimit = max(result.highestLimit, l.Max())
	}
	result.finalLimit = l.Max()
	return result
}

// TestFindsTheStoresLimit checks that the limit converges to that of the store while callers
// permanently request more new adapters than the store serves: whatever the initial value,
// they get the store's rate and few loads are late.
func TestFindsTheStoresLimit(t *testing.T) {
	for _, row := range []struct {
		name                string
		initial, storeLimit int
	}{
		{"half", 16, 32}, {"a quarter", 8, 32}, {"a little less", 24, 32}, {"exact", 32, 32}, {"exact, small", 8, 8},
		{"double", 64, 32}, {"large", 40, 120}, {"slow store", 16, 8},
	} {
		for _, slow := range []float64{0, 0.1} {
			t.Run(row.name, func(t *testing.T) {
				l := New(row.initial)
				got := simulate(l, row.storeLimit, 1e4, 30*time.Second, slow, 7)
				served := float64(row.storeLimit) / fullSpeedLoadTime.Seconds() * 30
				assert.Assert(t, float64(got.loads) > 0.9*served, "%d loads of %.0f", got.loads, served)
				assert.Assert(t, got.finalLimit >= row.storeLimit*9/10 && got.finalLimit <= row.storeLimit*115/100+1, "final limit %d", got.finalLimit)
				assert.Assert(t, float64(got.late) < (0.2+slow)*float64(got.loads), "%d late of %d", got.late, got.loads)
			})
		}
	}
}

// TestSearchServesMoreThanFixedLimit compares the search with a constant limit of half the
// store's limit. In 30 s the constant serves 2,016 loads, the search 3,700 or more. The test
// also bounds how soon the gain shows.
func TestSearchServesMoreThanFixedLimit(t *testing.T) {
	const fixedLimitLoads = 16 / 0.265 * 30 // loads with a limit of 16, each of which ends at its expected time
	got := simulate(New(16), 32, 1e4, 30*time.Second, 0, 1)
	assert.Assert(t, float64(got.loads) > 1.9*fixedLimitLoads, "%d loads", got.loads)
	early := simulate(New(16), 32, 1e4, 4*time.Second, 0, 1)
	assert.Assert(t, early.loads > 340, "%d loads in the first 4 s; the store's limit allows 512, the constant 256", early.loads)
}

// TestLimitStaysWhileLoadsAreBelowIt checks that loads that never reach the limit do not
// change it: they are on time whatever the limit is.
func TestLimitStaysWhileLoadsAreBelowIt(t *testing.T) {
	l := New(16)
	got := simulate(l, 32, 20, 30*time.Second, 0.1, 1)
	assert.Equal(t, got.highestLimit, 16)
	assert.Equal(t, l.Max(), 16)
}

// TestSlowEnginesDoNotShrinkTheLimit checks that the limit does not shrink while loads wait and
// a tenth or a quarter of them are late because of slow engines.
func TestSlowEnginesDoNotShrinkTheLimit(t *testing.T) {
	for _, slow := range []float64{0.1, 0.25} {
		got := simulate(New(32), 64, 1e4, 20*time.Second, slow, 3)
		assert.Assert(t, got.finalLimit >= 57, "%d with %.2f late", got.finalLimit, slow)
	}
}

// TestLimitStaysAtOrAboveMinimum checks that some loads are allowed even if all are late.
func TestLimitStaysAtOrAboveMinimum(t *testing.T) {
	l := New(16)
	now := time.Unix(0, 0)
	for range 500 {
		l.Advance(now, l.Max(), fullSpeedLoadTime)
		began := l.Begin(now)
		now = now.Add(time.Second)
		l.End(now, began, true)
	}
	assert.Equal(t, l.Max(), 4)
	l = New(4)
	for range 500 {
		l.Advance(now, l.Max(), fullSpeedLoadTime)
		began := l.Begin(now)
		now = now.Add(time.Second)
		l.End(now, began, true)
	}
	assert.Equal(t, l.Max(), minLimit)
	l.SetInitial(4)
	assert.Equal(t, l.Max(), minLimit)
	l.SetInitial(24)
	assert.Equal(t, l.Max(), 24)
}

func BenchmarkEnded(b *testing.B) {
	l := New(16)
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Millisecond)
		l.ObserveFull()
		l.Advance(now, l.Max(), fullSpeedLoadTime)
		l.End(now, l.Begin(now), false)
		if l.Max() > 1000 {
			l = New(16)
		}
	}
}
