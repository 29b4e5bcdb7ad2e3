package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// submitBackedOff submits a request for an adapter from a VM that some targets asked to back off.
func (h *harness) submitBackedOff(name string, backedOff ...string) {
	h.ticket++
	h.collect(h.s.Submit(h.now, Request{
		Key: Key{VM: "vm", Ticket: h.ticket}, Ref: ref(name), PromptTokens: 300, OutputTokens: 50,
		Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second), BackedOff: backedOff,
	}))
}

// TestBackedOffTargetIsAvoidedByThatVMOnly checks that another target loads the adapter for the VM
// that was rejected, and that other VMs continue to use the target.
func TestBackedOffTargetIsAvoidedByThatVMOnly(t *testing.T) {
	h := newHarness(t, config(3), []string{"x"}, nil)
	h.submitBackedOff("x", "t0")
	load := h.expectActions(ActLoad)[0]
	assert.Equal(t, load.Target, "t1")
	h.submit("x")
	assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t0")
}

// TestRequestDoesNotWaitForLoadAtBackedOffTarget checks that a load at a backed-off target does not
// make a request wait, in contrast to a target that was busy.
func TestRequestDoesNotWaitForLoadAtBackedOffTarget(t *testing.T) {
	h := newHarness(t, config(3), nil)
	h.submit("x")
	h.expectActions(ActLoad)
	h.submitBackedOff("x", "t0")
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, "no_target")
}

// TestRequestIsRefusedWhenAllTargetsBackOff checks that the request is refused at once and not
// queued.
func TestRequestIsRefusedWhenAllTargetsBackOff(t *testing.T) {
	h := newHarness(t, config(3), []string{"x"}, nil)
	h.submitBackedOff("x", "t0", "t1")
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, "no_target")
}
