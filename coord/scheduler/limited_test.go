package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// limit sets the rates of targets, in requests a second.
func (b *bench) limit(rates map[string]float64) { b.take(b.s.SetRates(b.now, rates, 1)) }

// TestLimitedTargetGetsMoreThanItsRate: the others serve what it does not take.
func TestLimitedTargetGetsMoreThanItsRate(t *testing.T) {
	b := newBench(t, config(3), nil, nil)
	b.limit(map[string]float64{"t0": 1})
	at := map[string]int{}
	for range 80 {
		k := b.submit("")
		at[b.want(ActGrant)[0].Target]++
		b.take(b.s.Done(b.now, k, EndedOK))
		b.after(50 * time.Millisecond)
	}
	assert.Assert(t, at["t0"] >= 1 && at["t0"] <= 5, "%v in 4 s", at)
	assert.Equal(t, at["t0"]+at["t1"], 80)
}

// TestAdapterOfALimitedTargetIsNotServed elsewhere though there is room.
func TestAdapterOfALimitedTargetIsNotServed(t *testing.T) {
	b := newBench(t, config(3), []string{"x"}, nil)
	b.limit(map[string]float64{"t0": 0.5})
	b.submit("x")
	assert.Equal(t, b.want(ActLoad)[0].Target, "t1")
}

// TestLimitedTargetIsOrderedToLoad though others have room, as nothing else is held against it.
func TestLimitedTargetIsOrderedToLoad(t *testing.T) {
	b := newBench(t, config(3), nil, nil, nil)
	b.limit(map[string]float64{"t0": 0.5, "t1": 0.5})
	b.after(5 * time.Second)
	for _, name := range []string{"p", "q", "r"} {
		b.submit(name)
		load := b.want(ActLoad)[0]
		assert.Equal(t, load.Target, "t2")
		b.ordered(load, OrderAccepted)
	}
}

// TestAllTargetsLimited: what they take in time waits for it, and the rest is refused at once, to come
// back one after the other.
func TestAllTargetsLimited(t *testing.T) {
	b := newBench(t, config(3), nil, nil)
	b.limit(map[string]float64{"t0": 2, "t1": 2})
	waiting := 0
	var pauses []time.Duration
	for range 20 {
		b.submit("")
		acts := b.drain()
		if len(acts) == 0 {
			waiting++
			continue
		}
		assert.Equal(t, acts[0].Reason, ReasonRateLimit)
		pauses = append(pauses, acts[0].RetryAfter)
	}
	assert.Assert(t, waiting >= 1 && waiting <= 4, "%d wait for 4 a second, of an objective of 0.8 s", waiting)
	for i := range pauses[1:] {
		assert.Equal(t, pauses[i+1]-pauses[i], 250*time.Millisecond)
	}
	granted := 0
	for range 20 {
		b.after(50 * time.Millisecond)
		for _, a := range b.drain() {
			assert.Equal(t, a.Kind, ActGrant)
			granted++
		}
	}
	assert.Equal(t, granted, waiting)
}

// TestUrgentRequestWaitsBehindOthers for targets that are all limited.
func TestUrgentRequestWaitsBehindOthers(t *testing.T) {
	b := newBench(t, config(3), nil)
	b.limit(map[string]float64{"t0": 2})
	ask := func(priority int) Key {
		b.ticket++
		k := Key{VM: "vm", Ticket: b.ticket}
		b.take(b.s.Submit(b.now, Request{
			Key: k, Ref: base, PromptTokens: 10, Priority: priority, Objective: 1500 * time.Millisecond, Deadline: b.now.Add(15 * time.Second),
		}))
		return k
	}
	ask(2)
	ask(2)
	urgent := ask(0)
	b.after(500 * time.Millisecond)
	assert.Equal(t, b.want(ActGrant)[0].Key, urgent)
}

// TestSchedulerThatBeginsToActSendsAtOnce to a limited target: nobody knows what the one before sent.
func TestSchedulerThatBeginsToActSendsAtOnce(t *testing.T) {
	b := newBench(t, config(3), nil, nil)
	b.limit(map[string]float64{"t0": 5})
	b.after(10 * time.Second)
	b.take(b.s.SetLeading(b.now, false, nil))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.drain()
	for range 5 {
		b.submit("")
		assert.Equal(t, b.want(ActGrant)[0].Target, "t1")
	}
}

// TestTargetWhoseLimitEndedStaysLimited.
func TestTargetWhoseLimitEndedStaysLimited(t *testing.T) {
	b := newBench(t, config(3), nil)
	b.limit(map[string]float64{"t0": 0.2})
	b.submit("")
	assert.Equal(t, b.want(ActRefuse)[0].Reason, ReasonRateLimit)
	b.limit(nil)
	for range 5 {
		b.submit("")
		b.want(ActGrant)
	}
}

// TestRequestForABaseModelOnItsWayIsRefused: it waits for the load, limited targets or not.
func TestRequestForABaseModelOnItsWayIsRefused(t *testing.T) {
	b := newBench(t, config(3), nil)
	b.ticket++
	b.take(b.s.Submit(b.now, Request{
		Key: Key{VM: "vm", Ticket: b.ticket}, Ref: coord.AdapterRef{Model: "other"}, PromptTokens: 10,
		Objective: 800 * time.Millisecond, Deadline: b.now.Add(15 * time.Second),
	}))
	b.want()
}
