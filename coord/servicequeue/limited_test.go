package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// run submits a request every 20 ms for the duration d and ends granted requests at once. It returns
// the number of grants by target and the retry delays of the refused requests.
func (h *harness) run(d time.Duration) (granted map[string]int, retryDelays []time.Duration) {
	granted = map[string]int{}
	apply := func(acts []Action) {
		for _, a := range acts {
			if a.Target == "" {
				retryDelays = append(retryDelays, a.RetryAfter)
				continue
			}
			granted[a.Target]++
			h.queue.Done(h.now, a.Key, balance.OK, 20*time.Millisecond)
		}
	}
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(20 * time.Millisecond) {
		_, acts := h.submit(0, 150*time.Millisecond, 1500*time.Millisecond)
		apply(acts)
		apply(h.queue.Tick(h.now))
	}
	return granted, retryDelays
}

// TestUnlimitedTargetServesExcessOfLimitedTarget guards against refusals and waits at a limited
// target while another target has capacity.
func TestUnlimitedTargetServesExcessOfLimitedTarget(t *testing.T) {
	h := newHarness()
	h.queue.SetRates(h.now, map[string]float64{"a": 1.5}, 1)
	granted, retryDelays := h.run(4 * time.Second)
	assert.Assert(t, granted["a"] >= 1 && granted["a"] <= 7, "%v", granted)
	assert.Equal(t, len(retryDelays), 0)
	assert.Equal(t, granted["a"]+granted["b"], 200)
}

// TestExcessOverAllRateLimitsIsRefusedWithSpreadRetryDelays checks that requests beyond the rates
// of all targets are refused at once, with retry delays that spread the retries. Rates of targets
// of other services have no effect.
func TestExcessOverAllRateLimitsIsRefusedWithSpreadRetryDelays(t *testing.T) {
	h := newHarness()
	h.queue.SetRates(h.now, map[string]float64{"a": 1, "b": 2}, 1)
	granted, retryDelays := h.run(4 * time.Second)
	assert.Assert(t, granted["a"] <= 5 && granted["b"] <= 9, "%v", granted)
	assert.Assert(t, granted["a"]+granted["b"] >= 8, "%v", granted)
	assert.Assert(t, len(retryDelays) > 150, "%d refused", len(retryDelays))
	for i, delay := range retryDelays[:20] {
		assert.Assert(t, delay >= time.Duration(i)*300*time.Millisecond, "refusal %d has a retry delay of %s", i, delay)
	}
	h.queue.SetRates(h.now, map[string]float64{"of another service": 1}, 1)
	assert.Equal(t, h.queue.retryDelay(h.now, 2*maxRetryDelay, 0.1), maxRetryDelay)
	granted, _ = h.run(time.Second)
	assert.Equal(t, granted["a"]+granted["b"], 50)
}
