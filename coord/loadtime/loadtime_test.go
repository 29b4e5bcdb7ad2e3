package loadtime

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// way is a way to learn; Estimate is one.
type way interface {
	Next() time.Duration
	Refused(load uint64, after time.Duration)
	Ran(load uint64, refused, after time.Duration)
}

// constant is the way before: a figure that holds for the deployments known so far.
type constant time.Duration

func (c constant) Next() time.Duration                          { return time.Duration(c) }
func (constant) Refused(uint64, time.Duration)                  {}
func (constant) Ran(_ uint64, _ time.Duration, _ time.Duration) {}

// quantile takes the time that 95 of 100 of the last loads did not exceed, as far as shown.
type quantile struct {
	prior time.Duration
	shown []time.Duration
}

func (q *quantile) Next() time.Duration {
	if len(q.shown) == 0 {
		return q.prior
	}
	sorted := slices.Sorted(slices.Values(q.shown))
	return sorted[len(sorted)*95/100]
}

func (*quantile) Refused(uint64, time.Duration) {}

func (q *quantile) Ran(_ uint64, refused, after time.Duration) {
	shown := time.Duration(0.98 * float64(after))
	if refused > 0 {
		shown = after
	}
	q.shown = append(q.shown, shown)
	if len(q.shown) > 32 {
		q.shown = q.shown[1:]
	}
}

// staircase is raised by a refusal and lowered a little by each request that ran, more
// while no refusal comes.
type staircase struct {
	value time.Duration
	lower float64
}

func (s *staircase) Next() time.Duration { return s.value }

func (s *staircase) Refused(_ uint64, after time.Duration) {
	s.value = max(s.value, time.Duration(1.03*float64(after)))
	s.lower = 0.0005
}

func (s *staircase) Ran(_ uint64, refused, after time.Duration) {
	if refused == 0 && after <= s.value {
		s.value = time.Duration((1 - s.lower) * float64(s.value))
		s.lower = min(1.08*s.lower, 0.03)
	}
}

// cost is what a way's errors cost the callers of some loads.
type cost struct {
	early int           // loads asked too early, once or more
	tries int           // rejected arrivals
	late  time.Duration // mean time that a request waited for longer than it had to
}

func (c cost) String() string {
	return fmt.Sprintf("%d early, %d rejected arrivals, waited %v", c.early, c.tries, c.late.Round(100*time.Microsecond))
}

const pause = 60 * time.Millisecond

// play lets loads of several engines, eight at a time, take what took returns.
func play(w way, loads int, took func(load, engine int) time.Duration) (c cost) {
	var waited time.Duration
	for i := 0; i < loads; i += 8 {
		type one struct{ next, refused, ran time.Duration }
		var batch [8]one
		for k := range batch {
			batch[k].next = w.Next()
		}
		for round := range 100 {
			for k := range batch {
				l, id, real := &batch[k], uint64(i+k+1), took(i+k, (i+k)%20)
				if l.ran > 0 {
					continue
				}
				at := l.next + time.Duration(round)*pause
				if at >= real {
					l.ran = at
					w.Ran(id, l.refused, at)
					waited += at - real
					continue
				}
				if round == 0 {
					c.early++
				}
				c.tries++
				l.refused = at
				w.Refused(id, at)
			}
		}
	}
	c.late = waited / time.Duration(loads)
	return c
}

func always(d time.Duration) func(int, int) time.Duration {
	return func(int, int) time.Duration { return d }
}

// TestLearnsAnyTime: whatever a deployment's loads take, few are asked too early once some
// have shown it, and requests wait for little longer than they must.
func TestLearnsAnyTime(t *testing.T) {
	for _, real := range []time.Duration{25, 40, 60, 100, 250, 288, 400, 600} {
		real *= time.Millisecond
		prior := 250 * time.Millisecond
		if real < 100*time.Millisecond {
			prior = 25 * time.Millisecond
		}
		e := New(prior)
		first := play(e, 200, always(real))
		then := play(e, 1000, always(real))
		t.Logf("%v: the first 200 loads: %v; the next 1000: %v", real, first, then)
		assert.Assert(t, then.early <= 60)
		assert.Assert(t, then.late <= real*4/100)
		assert.Assert(t, first.tries <= 80)
	}
}

// TestFollowsAChange: the time changes within a day. After some hundred loads requests wait
// for a tenth of it at most beyond what they must.
func TestFollowsAChange(t *testing.T) {
	for _, change := range [][2]time.Duration{{288, 600}, {600, 288}, {250, 100}, {100, 250}} {
		e := New(250 * time.Millisecond)
		play(e, 400, always(change[0]*time.Millisecond))
		c := play(e, 120, always(change[1]*time.Millisecond))
		then := play(e, 400, always(change[1]*time.Millisecond))
		t.Logf("%v: the next 120 loads: %v; 400 after these: %v", change, c, then)
		assert.Assert(t, then.early <= 24)
		assert.Assert(t, then.late <= change[1]*time.Millisecond/10)
	}
}

// TestOneSlowEngine: its refusals say little of the others.
func TestOneSlowEngine(t *testing.T) {
	e := New(288 * time.Millisecond)
	c := play(e, 2000, func(_, engine int) time.Duration {
		if engine == 7 {
			return 1440 * time.Millisecond
		}
		return 288 * time.Millisecond
	})
	t.Log(c, e.Value())
	assert.Assert(t, e.Value() < 350*time.Millisecond)
}

// TestSpread: of loads that differ by a tenth either way one in five is asked too early at
// most, and the estimate stays near the longest. More caution would gain nothing: each ms more
// saves one load in 58 a rejected arrival of 60 ms.
func TestSpread(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	e := New(250 * time.Millisecond)
	c := play(e, 2000, func(int, int) time.Duration {
		return time.Duration(288 * (0.9 + 0.2*rng.Float64()) * float64(time.Millisecond))
	})
	t.Log(c, e.Value())
	assert.Assert(t, e.Value() < 350*time.Millisecond)
	assert.Assert(t, c.early < 2000/5)
}

// TestWays compares the ways by what their errors cost: 60 ms for each rejected arrival, and
// the time waited.
func TestWays(t *testing.T) {
	for _, real := range []time.Duration{100, 250, 288, 600} {
		real *= time.Millisecond
		price := map[string]time.Duration{}
		for name, w := range map[string]way{
			"constant": constant(265 * time.Millisecond), "quantile": &quantile{prior: 250 * time.Millisecond},
			"staircase": &staircase{value: 250 * time.Millisecond, lower: 0.0005}, "trials": New(250 * time.Millisecond),
		} {
			c := play(w, 1200, always(real))
			price[name] = c.late + time.Duration(c.tries)*pause/1200
			t.Logf("%v, %s: %v; %v a load", real, name, c, price[name].Round(100*time.Microsecond))
		}
		assert.Assert(t, price["trials"] <= price["quantile"])
		assert.Assert(t, price["trials"] <= price["staircase"])
	}
}

// TestBounds: nothing makes an estimate senseless.
func TestBounds(t *testing.T) {
	e := New(25 * time.Millisecond)
	for i := range 1000 {
		e.Refused(uint64(i+1), time.Hour)
	}
	assert.Equal(t, e.Value(), most)
	for range 10_000 {
		e.Ran(1, 0, time.Microsecond)
	}
	assert.Equal(t, e.Value(), least)
}
