package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// fill submits requests until one is not granted, and returns the granted ones by target.
func (h *harness) fill() map[string][]Key {
	granted := map[string][]Key{}
	for {
		k, acts := h.submit(0, time.Second, 3*time.Second)
		if len(acts) == 0 {
			h.queue.Done(h.now, k, balance.Abandoned, 0)
			return granted
		}
		granted[acts[0].Target] = append(granted[acts[0].Target], k)
	}
}

// TestNoRequestWaitsAtBrittleTarget checks that targets of a brittle service get no more requests than
// they have slots, also those that have not announced it yet.
func TestNoRequestWaitsAtBrittleTarget(t *testing.T) {
	h := newHarness()
	h.queue.SetRejectionLimits(h.now, map[string]float64{"a": 0.5}, 1)
	granted := h.fill()
	assert.Equal(t, len(granted["a"]), 2)
	assert.Equal(t, len(granted["b"]), 2)
	h.queue.SetRejectionLimits(h.now, nil, 1)
	assert.Equal(t, len(h.fill()["a"]), 1, "the extra request")
}

// TestBrittleTargetGetsFewerAfterRejection checks that the target is left alone while another
// rejection would crash it, and gets fewer requests after that.
func TestBrittleTargetGetsFewerAfterRejection(t *testing.T) {
	h := newHarness()
	h.queue.SetRejectionLimits(h.now, map[string]float64{"a": 1}, 1)
	rejected := h.fill()["a"]
	h.queue.Done(h.now, rejected[1], balance.Busy, 0)
	h.queue.Done(h.now, rejected[0], balance.OK, 20*time.Millisecond)
	assert.Equal(t, len(h.fill()["a"]), 0)
	h.now = h.now.Add(1500 * time.Millisecond)
	assert.Equal(t, len(h.fill()["a"]), 1)
}

// TestMissingConnectionIsNoRejection checks that a VM that may open no further connection to a target
// does not lower the load of the target.
func TestMissingConnectionIsNoRejection(t *testing.T) {
	h := newHarness()
	h.queue.SetRejectionLimits(h.now, map[string]float64{"a": 0}, 1)
	keys := h.fill()["a"]
	h.queue.Done(h.now, keys[1], balance.NoConnection, 0)
	h.now = h.now.Add(time.Second)
	assert.Equal(t, len(h.fill()["a"]), 1)
}

// TestExcessOverBrittleTargetsIsRefusedWithSpreadRetryDelays checks that requests for which there is
// no room in time are refused at once.
func TestExcessOverBrittleTargetsIsRefusedWithSpreadRetryDelays(t *testing.T) {
	h := newHarness()
	h.queue.SetRejectionLimits(h.now, map[string]float64{"a": 1, "b": 1}, 1)
	var retryDelays []time.Duration
	for range 100 {
		_, acts := h.submit(0, 150*time.Millisecond, 1500*time.Millisecond)
		for _, a := range acts {
			if a.Target == "" {
				retryDelays = append(retryDelays, a.RetryAfter)
			}
		}
	}
	assert.Assert(t, len(retryDelays) > 50, "%d refused", len(retryDelays))
	for i := range retryDelays[1:] {
		assert.Assert(t, retryDelays[i+1] > retryDelays[i] || retryDelays[i] == minRetryDelay)
	}
}
