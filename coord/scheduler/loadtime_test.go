package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLoadTimeIsLearnt simulates a fleet whose loads take a different time than the initial
// estimate.
//
// It guards against a fixed load time. In a deployment of 72 VMs loads took 288 ms where 250 ms
// were expected, and the first request of each load came too early: 1,537 of 7,722 arrivals at
// engines were rejected under light traffic and 2,565 of 14,469 under heavy traffic, each of them
// with a retry and a wait of 60 ms. In addition every load counted as late, which reduced the limit
// of concurrent loads to a quarter. A fleet has learnt its load time within five seconds.
func TestLoadTimeIsLearnt(t *testing.T) {
	for _, load := range []time.Duration{100, 250, 288, 400, 600} {
		d := largeFleet
		d.loadTime = load * time.Millisecond
		learning := 0
		r := runLoadSim(d, burstConfig(32), burst.scaled(0.2), 8*time.Second, 1, func(sim *loadSim, second int) {
			if second == 5 {
				learning = sim.result.retries
			}
		})
		got := r.total()
		t.Logf("%v: %d retries while learning, %v", d.loadTime, learning, r)
		assert.Assert(t, float64(r.retries-learning) < 0.05*float64(got.submitted), "too many requests arrive before their load is finished after the load time is learnt")
		assert.Assert(t, ratio(got.refused, got.submitted) < 0.01)
	}
}

// TestLoadTimeChangeIsLearnt doubles the load time during a simulation and halves it again.
func TestLoadTimeChangeIsLearnt(t *testing.T) {
	d := largeFleet
	settled := 0
	r := runLoadSim(d, burstConfig(32), burst.scaled(0.2), 10*time.Second, 1, func(sim *loadSim, second int) {
		switch second {
		case 3:
			sim.deployment.loadTime = 500 * time.Millisecond
		case 6:
			sim.deployment.loadTime = 250 * time.Millisecond
		case 8:
			settled = sim.result.retries
		}
	})
	got := r.total()
	t.Log(r)
	assert.Assert(t, float64(r.retries-settled) < 0.02*float64(got.submitted))
	assert.Assert(t, ratio(r.perSecond[9][0], r.perSecond[9][1]) > ratio(r.perSecond[2][0], r.perSecond[2][1])-0.05)
}

// TestSlowWarmLoadIsRetried checks that requests for a warm load that takes longer than the current
// estimate are retried soon, and that it does not count as a load from the store.
func TestSlowWarmLoadIsRetried(t *testing.T) {
	h := newHarness(t, config(1), nil)
	h.submit("x")
	load := h.expectActions(ActLoad)[0]
	h.answerOrder(load, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	h.collect(h.s.Done(h.now, h.expectActions(ActGrant)[0].Key, EndedOK))
	h.advance(minResidency)
	h.submit("y")
	h.answerOrder(h.expectActions(ActUnload)[0], OrderAlreadyApplied)
	h.answerOrder(h.expectActions(ActLoad)[0], OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	h.collect(h.s.Done(h.now, h.expectActions(ActGrant)[0].Key, EndedOK))
	h.advance(minResidency)
	h.submit("x")
	h.answerOrder(h.expectActions(ActUnload)[0], OrderAlreadyApplied)
	h.answerOrder(h.expectActions(ActLoad)[0], OrderAccepted)
	h.advance(initialWarmLoadTime + loadMargin)
	before := h.s.warmLoadTime.Value()
	h.collect(h.s.Done(h.now, h.expectActions(ActGrant)[0].Key, EndedMisrouted))
	h.submit("x", load.Target)
	h.advance(warmLoadRetryDelay)
	key := h.expectActions(ActGrant)[0].Key
	h.s.FirstEvent(h.now, key)
	assert.Assert(t, h.s.warmLoadTime.Value() > before)
	assert.Equal(t, h.s.coldLoadTime.Value(), initialColdLoadTime)
}
