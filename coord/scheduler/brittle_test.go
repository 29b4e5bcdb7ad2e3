package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// setRejectionLimits sets the rejections per second with which targets crash.
func (h *harness) setRejectionLimits(limits map[string]float64) {
	h.collect(h.s.SetRejectionLimits(h.now, limits, 1))
}

// TestBrittleTargetsGetNoMoreThanTheirBatch checks that requests beyond the batches of brittle targets
// are refused at once, with retry delays that spread them out.
func TestBrittleTargetsGetNoMoreThanTheirBatch(t *testing.T) {
	h := newHarness(t, config(3), nil, nil)
	h.advance(10 * time.Second)
	h.setRejectionLimits(map[string]float64{"t0": 1})
	granted := map[string]int{}
	var retryDelays []time.Duration
	for range 60 {
		h.submit("")
		for _, a := range h.drain() {
			if a.Kind == ActGrant {
				granted[a.Target]++
				continue
			}
			assert.Equal(t, a.Reason, ReasonBrittle)
			retryDelays = append(retryDelays, a.RetryAfter)
		}
	}
	assert.DeepEqual(t, granted, map[string]int{"t0": 8, "t1": 8})
	assert.Assert(t, len(retryDelays) > 20, "%d refused", len(retryDelays))
	for i := range retryDelays[1:] {
		assert.Assert(t, retryDelays[i+1] > retryDelays[i])
	}
}

// TestRejectionByBrittleTargetLowersItsLoad checks that a target gets fewer requests after it has
// rejected one, and the other target gets none beyond its batch in exchange.
func TestRejectionByBrittleTargetLowersItsLoad(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.advance(10 * time.Second)
	h.setRejectionLimits(map[string]float64{"t0": 5})
	var keys []Key
	for range 8 {
		keys = append(keys, h.submit(""))
		h.expectActions(ActGrant)
	}
	h.collect(h.s.Done(h.now, keys[7], EndedBusy))
	h.submit("")
	assert.Equal(t, len(h.drain()), 0, "seven run, and no more have room")
	h.collect(h.s.Done(h.now, keys[0], EndedOK))
	h.advance(20 * time.Millisecond)
	h.expectActions(ActGrant)
}

// TestMissingConnectionIsNoRejection checks that a VM that may open no further connection to a target
// does not lower the load of the target.
func TestMissingConnectionIsNoRejection(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.advance(10 * time.Second)
	h.setRejectionLimits(map[string]float64{"t0": 0})
	for range 7 {
		h.submit("")
	}
	h.collect(h.s.Done(h.now, h.submit(""), EndedNoConnection))
	h.submit("")
	acts := h.drain()
	assert.Equal(t, acts[len(acts)-1].Kind, ActGrant)
	assert.Equal(t, len(acts), 9)
}

// TestTargetsAreUnboundedAfterBrittleness checks that the bound ends with the announcement.
func TestTargetsAreUnboundedAfterBrittleness(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.advance(10 * time.Second)
	h.setRejectionLimits(map[string]float64{"t0": 1})
	h.setRejectionLimits(nil)
	for range 12 {
		h.submit("")
		h.expectActions(ActGrant)
	}
}
