package loadtime

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// estimator estimates load times; Estimate is one implementation.
type estimator interface {
	Next() time.Duration
	ObserveRejection(load uint64, after time.Duration)
	ObserveRun(load uint64, rejectedAfter, after time.Duration)
}

// constant is a fixed load time, which fits only the deployments known so far.
type constant time.Duration

func (c constant) Next() time.Duration                                 { return time.Duration(c) }
func (constant) ObserveRejection(uint64, time.Duration)                {}
func (constant) ObserveRun(_ uint64, _ time.Duration, _ time.Duration) {}

// quantile is the 95th percentile of the observed times of the last loads.
type quantile struct {
	prior    time.Duration
	observed []time.Duration
}

func (q *quantile) Next() time.Duration {
	if len(q.observed) == 0 {
		return q.prior
	}
	sorted := slices.Sorted(slices.Values(q.observed))
	return sorted[len(sorted)*95/100]
}

func (*quantile) ObserveRejection(uint64, time.Duration) {}

func (q *quantile) ObserveRun(_ uint64, rejectedAfter, after time.Duration) {
	estimate := time.Duration(0.98 * float64(after))
	if rejectedAfter > 0 {
		estimate = after
	}
	q.observed = append(q.observed, estimate)
	if len(q.observed) > 32 {
		q.observed = q.observed[1:]
	}
}

// staircase is raised by each rejection and lowered a little by each request that runs, by
// more while there is no rejection.
type staircase struct {
	value     time.Duration
	reduction float64
}

func (s *staircase) Next() time.Duration { return s.value }

func (s *staircase) ObserveRejection(_ uint64, after time.Duration) {
	s.value = max(s.value, time.Duration(1.03*float64(after)))
	s.reduction = 0.0005
}

func (s *staircase) ObserveRun(_ uint64, rejectedAfter, after time.Duration) {
	if rejectedAfter == 0 && after <= s.value {
		s.value = time.Duration((1 - s.reduction) * float64(s.value))
		s.reduction = min(1.08*s.reduction, 0.03)
	}
}

// cost is the cost of the estimator's errors to the callers of a number of loads.
type cost struct {
	earlyLoads     int           // loads whose first request was sent too early
	rejections     int           // rejected arrivals
	meanExcessWait time.Duration // mean time between the end of a load and its first accepted request
}

func (c cost) String() string {
	return fmt.Sprintf("%d early loads, %d rejected arrivals, mean excess wait %v", c.earlyLoads, c.rejections, c.meanExcessWait.Round(100*time.Microsecond))
}

const retryDelay = 60 * time.Millisecond

// simulate runs loads of several engines, eight at a time, with the load times that loadTimeOf
// returns.
func simulate(e estimator, loads int, loadTimeOf func(load, engine int) time.Duration) (c cost) {
	var waited time.Duration
	for i := 0; i < loads; i += 8 {
		type loadState struct{ next, rejectedAfter, ran time.Duration }
		var batch [8]loadState
		for k := range batch {
			batch[k].next = e.Next()
		}
		for round := range 100 {
			for k := range batch {
				l, id, loadTime := &batch[k], uint64(i+k+1), loadTimeOf(i+k, (i+k)%20)
				if l.ran > 0 {
					continue
				}
				at := l.next + time.Duration(round)*retryDelay
				if at >= loadTime {
					l.ran = at
					e.ObserveRun(id, l.rejectedAfter, at)
					waited += at - loadTime
					continue
				}
				if round == 0 {
					c.earlyLoads++
				}
				c.rejections++
				l.rejectedAfter = at
				e.ObserveRejection(id, at)
			}
		}
	}
	c.meanExcessWait = waited / time.Duration(loads)
	return c
}

func always(d time.Duration) func(int, int) time.Duration {
	return func(int, int) time.Duration { return d }
}

// TestEstimateConvergesForAnyLoadTime checks that after the first loads few requests are sent too
// early and requests wait only a little longer than necessary, for load times from 25 ms to 600 ms.
func TestEstimateConvergesForAnyLoadTime(t *testing.T) {
	for _, loadTime := range []time.Duration{25, 40, 60, 100, 250, 288, 400, 600} {
		loadTime *= time.Millisecond
		prior := 250 * time.Millisecond
		if loadTime < 100*time.Millisecond {
			prior = 25 * time.Millisecond
		}
		e := New(prior)
		initial := simulate(e, 200, always(loadTime))
		settled := simulate(e, 1000, always(loadTime))
		t.Logf("%v: the first 200 loads: %v; the next 1000: %v", loadTime, initial, settled)
		assert.Assert(t, settled.earlyLoads <= 60)
		assert.Assert(t, settled.meanExcessWait <= loadTime*4/100)
		assert.Assert(t, initial.rejections <= 80)
	}
}

// TestEstimateFollowsChangedLoadTime changes the load time. After some hundred loads requests may
// wait at most a tenth of the load time longer than necessary.
func TestEstimateFollowsChangedLoadTime(t *testing.T) {
	for _, change := range [][2]time.Duration{{288, 600}, {600, 288}, {250, 100}, {100, 250}} {
		e := New(250 * time.Millisecond)
		simulate(e, 400, always(change[0]*time.Millisecond))
		transition := simulate(e, 120, always(change[1]*time.Millisecond))
		settled := simulate(e, 400, always(change[1]*time.Millisecond))
		t.Logf("%v: the next 120 loads: %v; 400 after these: %v", change, transition, settled)
		assert.Assert(t, settled.earlyLoads <= 24)
		assert.Assert(t, settled.meanExcessWait <= change[1]*time.Millisecond/10)
	}
}

// TestSlowEngineBarelyRaisesEstimate checks that the rejections of one slow engine have little
// effect on the common estimate.
func TestSlowEngineBarelyRaisesEstimate(t *testing.T) {
	e := New(288 * time.Millisecond)
	c := simulate(e, 2000, func(_, engine int) time.Duration {
		if engine == 7 {
			return 1440 * time.Millisecond
		}
		return 288 * time.Millisecond
	})
	t.Log(c, e.Value())
	assert.Assert(t, e.Value() < 350*time.Millisecond)
}

// TestEstimateWithVaryingLoadTimes varies the load times by a tenth in either direction. At most one
// load in five may get a request too early, and the estimate must stay near the longest time. A
// higher estimate would gain nothing: each additional ms prevents a rejected arrival, which costs
// 60 ms, for one load in 58.
func TestEstimateWithVaryingLoadTimes(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New(250 * time.Millisecond)
	c := simulate(e, 2000, func(int, int) time.Duration {
		return time.Duration(288 * (0.9 + 0.2*rng.Float64()) * float64(time.Millisecond))
	})
	t.Log(c, e.Value())
	assert.Assert(t, e.Value() < 350*time.Millisecond)
	assert.Assert(t, c.earlyLoads < 2000/5)
}

// TestTrialsCostLessThanAlternatives compares the estimators by the cost of their errors per load:
// 60 ms for each rejected arrival, and the excess wait.
func TestTrialsCostLessThanAlternatives(t *testing.T) {
	for _, loadTime := range []time.Duration{100, 250, 288, 600} {
		loadTime *= time.Millisecond
		costPerLoad := map[string]time.Duration{}
		for name, e := range map[string]estimator{
			"constant": constant(265 * time.Millisecond), "quantile": &quantile{prior: 250 * time.Millisecond},
			"staircase": &staircase{value: 250 * time.Millisecond, reduction: 0.0005}, "trials": New(250 * time.Millisecond),
		} {
			c := simulate(e, 1200, always(loadTime))
			costPerLoad[name] = c.meanExcessWait + time.Duration(c.rejections)*retryDelay/1200
			t.Logf("%v, %s: %v; %v per load", loadTime, name, c, costPerLoad[name].Round(100*time.Microsecond))
		}
		assert.Assert(t, costPerLoad["trials"] <= costPerLoad["quantile"])
		assert.Assert(t, costPerLoad["trials"] <= costPerLoad["staircase"])
	}
}

// TestEstimateStaysWithinBounds checks that long series of rejections or of fast loads leave the
// estimate within its bounds.
func TestEstimateStaysWithinBounds(t *testing.T) {
	e := New(25 * time.Millisecond)
	for i := range 1000 {
		e.ObserveRejection(uint64(i+1), time.Hour)
	}
	assert.Equal(t, e.Value(), maxEstimate)
	for range 10_000 {
		e.ObserveRun(1, 0, time.Microsecond)
	}
	assert.Equal(t, e.Value(), minEstimate)
}
