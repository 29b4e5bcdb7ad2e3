package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// setRates sets the rates of targets, in requests per second.
func (h *harness) setRates(rates map[string]float64) { h.collect(h.s.SetRates(h.now, rates, 1)) }

// TestRateLimitedTargetStaysWithinItsRate checks that the other targets serve the requests beyond
// its rate.
func TestRateLimitedTargetStaysWithinItsRate(t *testing.T) {
	h := newHarness(t, config(3), nil, nil)
	h.setRates(map[string]float64{"t0": 1})
	grants := map[string]int{}
	for range 80 {
		k := h.submit("")
		grants[h.expectActions(ActGrant)[0].Target]++
		h.collect(h.s.Done(h.now, k, EndedOK))
		h.advance(50 * time.Millisecond)
	}
	assert.Assert(t, grants["t0"] >= 1 && grants["t0"] <= 5, "%v in 4 s", grants)
	assert.Equal(t, grants["t0"]+grants["t1"], 80)
}

// TestAdapterOfRateLimitedTargetIsLoadedElsewhere checks that a target with free slots loads the
// adapter of a target that has reached its rate.
func TestAdapterOfRateLimitedTargetIsLoadedElsewhere(t *testing.T) {
	h := newHarness(t, config(3), []string{"x"}, nil)
	h.setRates(map[string]float64{"t0": 0.5})
	h.submit("x")
	assert.Equal(t, h.expectActions(ActLoad)[0].Target, "t1")
}

// TestRateLimitedTargetIsAvoidedForLoads checks that adapters are loaded at the target without a
// rate limit, all else being equal.
func TestRateLimitedTargetIsAvoidedForLoads(t *testing.T) {
	h := newHarness(t, config(3), nil, nil, nil)
	h.setRates(map[string]float64{"t0": 0.5, "t1": 0.5})
	h.advance(5 * time.Second)
	for _, name := range []string{"p", "q", "r"} {
		h.submit(name)
		load := h.expectActions(ActLoad)[0]
		assert.Equal(t, load.Target, "t2")
		h.answerOrder(load, OrderAccepted)
	}
}

// TestRequestsBeyondAllRateLimitsAreRefused checks that requests wait as far as the targets can
// serve them in time. The rest are refused at once, with retry delays that spread them out.
func TestRequestsBeyondAllRateLimitsAreRefused(t *testing.T) {
	h := newHarness(t, config(3), nil, nil)
	h.setRates(map[string]float64{"t0": 2, "t1": 2})
	waiting := 0
	var retryDelays []time.Duration
	for range 20 {
		h.submit("")
		acts := h.drain()
		if len(acts) == 0 {
			waiting++
			continue
		}
		assert.Equal(t, acts[0].Reason, ReasonRateLimit)
		retryDelays = append(retryDelays, acts[0].RetryAfter)
	}
	assert.Assert(t, waiting >= 1 && waiting <= 4, "%d requests wait, with 4 per second and an objective of 0.8 s", waiting)
	for i := range retryDelays[1:] {
		assert.Equal(t, retryDelays[i+1]-retryDelays[i], 250*time.Millisecond)
	}
	granted := 0
	for range 20 {
		h.advance(50 * time.Millisecond)
		for _, a := range h.drain() {
			assert.Equal(t, a.Kind, ActGrant)
			granted++
		}
	}
	assert.Equal(t, granted, waiting)
}

// TestUrgentRequestPrecedesOtherRateWaiters checks the order of requests that wait for targets that
// are all rate limited.
func TestUrgentRequestPrecedesOtherRateWaiters(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.setRates(map[string]float64{"t0": 2})
	submit := func(priority int) Key {
		h.ticket++
		k := Key{VM: "vm", Ticket: h.ticket}
		h.collect(h.s.Submit(h.now, Request{
			Key: k, Ref: base, PromptTokens: 10, Priority: priority, Objective: 1500 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
		}))
		return k
	}
	submit(2)
	submit(2)
	urgent := submit(0)
	h.advance(500 * time.Millisecond)
	assert.Equal(t, h.expectActions(ActGrant)[0].Key, urgent)
}

// TestNewLeaderDoesNotUseRateLimitedTargetAtOnce guards against exceeding a target's rate after a
// change of leader: the new leader does not know the requests of the previous one.
func TestNewLeaderDoesNotUseRateLimitedTargetAtOnce(t *testing.T) {
	h := newHarness(t, config(3), nil, nil)
	h.setRates(map[string]float64{"t0": 5})
	h.advance(10 * time.Second)
	h.collect(h.s.SetLeading(h.now, false, nil))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.drain()
	for range 5 {
		h.submit("")
		assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t1")
	}
}

// TestRemovedRateLimitNoLongerApplies checks that a target serves requests again after its limit is
// removed.
func TestRemovedRateLimitNoLongerApplies(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.setRates(map[string]float64{"t0": 0.2})
	h.submit("")
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, ReasonRateLimit)
	h.setRates(nil)
	for range 5 {
		h.submit("")
		h.expectActions(ActGrant)
	}
}

// TestRequestForUnloadedBaseModelWaits checks that a request for a base model that no target holds
// waits and is not refused.
func TestRequestForUnloadedBaseModelWaits(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.ticket++
	h.collect(h.s.Submit(h.now, Request{
		Key: Key{VM: "vm", Ticket: h.ticket}, Ref: coord.AdapterRef{Model: "other"}, PromptTokens: 10,
		Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
	}))
	h.expectActions()
}
