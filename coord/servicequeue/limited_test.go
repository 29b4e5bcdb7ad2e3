package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// ask submits a request each 20 ms for a time and ends what is granted at once. It returns what the
// targets got, what was refused, and the pauses of that.
func (b *bench) ask(d time.Duration) (got map[string]int, pauses []time.Duration) {
	got = map[string]int{}
	take := func(acts []Action) {
		for _, a := range acts {
			if a.Target == "" {
				pauses = append(pauses, a.RetryAfter)
				continue
			}
			got[a.Target]++
			b.l.Done(b.now, a.Key, balance.OK, 20*time.Millisecond)
		}
	}
	for end := b.now.Add(d); b.now.Before(end); b.now = b.now.Add(20 * time.Millisecond) {
		_, acts := b.submit(0, 150*time.Millisecond, 1500*time.Millisecond)
		take(acts)
		take(b.l.Tick(b.now))
	}
	return got, pauses
}

// TestLimitedTargetGetsMoreThanItsRate: the other one serves what it does not take.
func TestLimitedTargetGetsMoreThanItsRate(t *testing.T) {
	b := newBench()
	b.l.SetRates(b.now, map[string]float64{"a": 1.5}, 1)
	got, pauses := b.ask(4 * time.Second)
	assert.Assert(t, got["a"] >= 1 && got["a"] <= 7, "%v", got)
	assert.Equal(t, len(pauses), 0)
	assert.Equal(t, got["a"]+got["b"], 200)
}

// TestAllTargetsLimited: what they do not take is refused at once, and comes back spread out.
func TestAllTargetsLimited(t *testing.T) {
	b := newBench()
	b.l.SetRates(b.now, map[string]float64{"a": 1, "b": 2}, 1)
	got, pauses := b.ask(4 * time.Second)
	assert.Assert(t, got["a"] <= 5 && got["b"] <= 9, "%v", got)
	assert.Assert(t, got["a"]+got["b"] >= 8, "%v", got)
	assert.Assert(t, len(pauses) > 150, "%d refused", len(pauses))
	for i, pause := range pauses[:20] {
		assert.Assert(t, pause >= time.Duration(i)*300*time.Millisecond, "the %d. comes back in %s", i, pause)
	}
	b.l.SetRates(b.now, map[string]float64{"of another service": 1}, 1)
	assert.Equal(t, b.l.pause(b.now, 2*mostPause, 0.1), mostPause)
	got, _ = b.ask(time.Second)
	assert.Equal(t, got["a"]+got["b"], 50)
}
