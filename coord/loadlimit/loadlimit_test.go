package loadlimit

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Figures of the store's model, as the users state them.
const (
	loadTime = 250 * time.Millisecond
	margin   = 15 * time.Millisecond
	// answer is how long after a load's expected end its first request tells.
	answer = 100 * time.Millisecond
)

// load is one load of the model: its end is moved when others begin or end.
type load struct {
	began time.Time
	start StartedLoad
	ends  time.Time
}

// tells is a load whose outcome becomes known at a time.
type tells struct {
	at    time.Time
	start StartedLoad
	late  bool
}

type tellings []tells

func (t tellings) Len() int           { return len(t) }
func (t tellings) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t tellings) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tellings) Push(x any)        { *t = append(*t, x.(tells)) }
func (t *tellings) Pop() any          { old := *t; x := old[len(old)-1]; *t = old[:len(old)-1]; return x }

// played is what a run of the model shows.
type played struct {
	loads, late int
	max         int // the limit at the end
	highest     int
}

// play lets callers ask for new adapters at a rate for a time, against a store that serves
// so many loads at full speed. slow is the share of loads that are late by themselves.
func play(l *Limit, atOnce int, rate float64, length time.Duration, slow float64, seed uint64) played {
	const step = time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Unix(1000, 0)
	var out played
	var underWay []*load
	var told tellings
	waiting := 0.0
	for now := start; now.Sub(start) < length; now = now.Add(step) {
		waiting += rate * step.Seconds()
		stretch := max(1, float64(len(underWay))/float64(atOnce))
		rest := underWay[:0]
		for _, x := range underWay {
			x.ends = x.ends.Add(time.Duration(float64(step) * (1 - 1/stretch)))
			if now.Before(x.ends) {
				rest = append(rest, x)
				continue
			}
			out.loads++
			late := now.Sub(x.began) > loadTime+margin || rng.Float64() < slow
			if late {
				out.late++
			}
			heap.Push(&told, tells{x.began.Add(loadTime + margin + answer), x.start, late})
		}
		underWay = rest
		for len(told) > 0 && !told[0].at.After(now) {
			x := heap.Pop(&told).(tells)
			l.End(now, x.start, x.late)
		}
		for waiting >= 1 && len(underWay) < l.Max() {
			waiting--
			underWay = append(underWay, &load{began: now, ends: now.Add(loadTime), start: l.Begin(now)})
		}
		if waiting >= 1 {
			l.ObserveFull()
		}
		out.highest = max(out.highest, l.Max())
	}
	out.max = l.Max()
	return out
}

// TestFindsTheStoresLimit: callers ask for more new adapters than the store serves, all
// through the day. What they get is the store's rate, whatever the guess was, and few loads
// are late.
func TestFindsTheStoresLimit(t *testing.T) {
	for _, row := range []struct {
		name          string
		guess, atOnce int
	}{
		{"half of it", 16, 32}, {"a quarter", 8, 32}, {"a little less", 24, 32}, {"right", 32, 32}, {"right, small", 8, 8},
		{"double", 64, 32}, {"large", 40, 120}, {"slow store", 16, 8},
	} {
		for _, slow := range []float64{0, 0.1} {
			t.Run(row.name, func(t *testing.T) {
				l := New(row.guess)
				got := play(l, row.atOnce, 1e4, 30*time.Second, slow, 7)
				served := float64(row.atOnce) / loadTime.Seconds() * 30
				assert.Assert(t, float64(got.loads) > 0.9*served, "%d loads of %.0f", got.loads, served)
				assert.Assert(t, got.max >= row.atOnce*9/10 && got.max <= row.atOnce*115/100+1, "ends with %d", got.max)
				assert.Assert(t, float64(got.late) < (0.2+slow)*float64(got.loads), "%d late of %d", got.late, got.loads)
			})
		}
	}
}

// TestFixedGuessServesLess: what the limit gains over a constant of half the right size, and
// how soon. Measured: 2,016 loads in 30 s with the constant, 3,700 or more with the search.
func TestFixedGuessServesLess(t *testing.T) {
	const constant = 16 / 0.265 * 30 // loads of a line of 16, each until it is expected to be there
	got := play(New(16), 32, 1e4, 30*time.Second, 0, 1)
	assert.Assert(t, float64(got.loads) > 1.9*constant, "%d loads", got.loads)
	early := play(New(16), 32, 1e4, 4*time.Second, 0, 1)
	assert.Assert(t, early.loads > 340, "%d in the first 4 s, of 512 and 256", early.loads)
}

// TestLineThatIsNotFullSaysNothing: few loads at a time are in time, whatever the limit.
func TestLineThatIsNotFullSaysNothing(t *testing.T) {
	l := New(16)
	got := play(l, 32, 20, 30*time.Second, 0.1, 1)
	assert.Equal(t, got.highest, 16)
	assert.Equal(t, l.Max(), 16)
}

// TestSlowEnginesAreNotTheStore: of a line that is full a tenth, a quarter of the loads late
// by themselves make no step back.
func TestSlowEnginesAreNotTheStore(t *testing.T) {
	for _, slow := range []float64{0.1, 0.25} {
		got := play(New(32), 64, 1e4, 20*time.Second, slow, 3)
		assert.Assert(t, got.max >= 57, "%d with %.2f late", got.max, slow)
	}
}

// TestNeverBelowItsLeast: whatever is late, some loads are made.
func TestNeverBelowItsLeast(t *testing.T) {
	l := New(16)
	now := time.Unix(0, 0)
	for range 500 {
		now = now.Add(time.Second)
		l.End(now, l.Begin(now), true)
	}
	assert.Equal(t, l.Max(), 4)
	l = New(4)
	for range 500 {
		now = now.Add(time.Second)
		l.End(now, l.Begin(now), true)
	}
	assert.Equal(t, l.Max(), least)
	l.SetInitial(4)
	assert.Equal(t, l.Max(), least)
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
		l.End(now, l.Begin(now), false)
		if l.Max() > 1000 {
			l = New(16)
		}
	}
}
