package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// consumeAll sends a target all requests that it may get at a time, and returns their number.
func consumeAll(p *Pacer, now time.Time, target string) (n int) {
	for p.Ready(now, target) {
		p.Consume(now, target)
		n++
	}
	return n
}

// consumeOver sends a target all requests that it may get during d, in steps of 10 ms, and returns
// their number.
func consumeOver(p *Pacer, from time.Time, d time.Duration, target string) (n int) {
	for at := time.Duration(0); at < d; at += 10 * time.Millisecond {
		n += consumeAll(p, from.Add(at), target)
	}
	return n
}

func TestPacer(t *testing.T) {
	p := NewPacer()
	assert.Assert(t, p.Ready(start, "a"))
	p.SetRates(start, map[string]float64{"a": 2})
	assert.Equal(t, consumeAll(p, start, "a"), 0, "a new bucket must be empty")
	assert.Equal(t, p.Wait(start, "a"), 500*time.Millisecond)
	assert.Equal(t, consumeOver(p, start, 4*time.Second, "a"), 7)
	assert.Equal(t, consumeAll(p, start.Add(time.Minute), "a"), 1, "idle time must not accumulate tokens beyond the capacity")
	assert.Assert(t, p.Ready(start, "b"))
	rate, limited := p.Rate("a")
	assert.Assert(t, limited && rate == 2)

	p.SetFleetShare(start.Add(time.Minute), 0.5)
	assert.Equal(t, consumeOver(p, start.Add(time.Minute), 4*time.Second, "a"), 4, "0.2 tokens were left")
	p.SetRates(start.Add(2*time.Minute), nil)
	_, limited = p.Rate("a")
	assert.Assert(t, !limited && p.Ready(start, "a"))
}

func TestResetEmptiesBuckets(t *testing.T) {
	p := NewPacer()
	p.SetRates(start, map[string]float64{"a": 10})
	now := start.Add(time.Minute)
	p.Reset(now)
	assert.Equal(t, consumeAll(p, now, "a"), 0)
}

// TestTargetWithZeroLimitIsProbed checks that a target which announces a limit of 0 still gets
// requests. Without them it could not report that its limit has ended.
func TestTargetWithZeroLimitIsProbed(t *testing.T) {
	p := NewPacer()
	p.SetRates(start, map[string]float64{"a": 0})
	assert.Equal(t, consumeOver(p, start, 21*time.Second, "a"), 4)
}

func TestChangedLimit(t *testing.T) {
	p := NewPacer()
	p.SetRates(start, map[string]float64{"a": 100})
	now := start.Add(time.Minute)
	p.SetRates(now, map[string]float64{"a": 1})
	assert.Equal(t, consumeAll(p, now, "a"), 1, "tokens beyond the new capacity must be dropped")
	p.SetRates(now, map[string]float64{"a": 1e300})
	assert.Equal(t, p.Wait(now, "a"), time.Duration(0))
}

func TestProbeDue(t *testing.T) {
	p := NewPacer()
	p.SetRates(start, map[string]float64{"a": 4})
	assert.Assert(t, !p.ProbeDue(start.Add(time.Second), "a") && !p.ProbeDue(start.Add(time.Minute), "b"))
	now := start.Add(probeAfter)
	assert.Assert(t, p.ProbeDue(now, "a"))
	p.Consume(now, "a")
	assert.Assert(t, !p.ProbeDue(now.Add(time.Second), "a"))
}

// TestRetryDelaysAreSpread checks that retry delays cover the time in which refused callers can be
// served.
func TestRetryDelaysAreSpread(t *testing.T) {
	var r RetryDelays
	for i := range 10 {
		assert.Equal(t, r.Next(start, 2, 4), time.Duration(3+i)*250*time.Millisecond)
	}
	assert.Equal(t, r.Next(start.Add(time.Minute), 0, 4), 250*time.Millisecond)
	assert.Equal(t, r.Next(start.Add(time.Minute), 1000, 4), MaxWait)
	assert.Equal(t, r.Next(start.Add(time.Minute), 0, 0), MaxWait)
}
