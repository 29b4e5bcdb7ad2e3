package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

func (h *harness) submitContinued(version string) (Key, []Action) {
	return h.submitRequest(Request{SoftwareVersion: version, SoftDeadline: h.now.Add(time.Second), Deadline: h.now.Add(3 * time.Second)})
}

// TestContinuedStreamIsGrantedOtherSoftware guards against continuations at targets of another software
// version, and against other requests that wait behind them.
func TestContinuedStreamIsGrantedOtherSoftware(t *testing.T) {
	h := newHarness()
	h.queue.SetTargets(start, []Target{{ID: "a", Zone: "za", Slots: 2, SoftwareVersion: "v1"}, {ID: "b", Zone: "zb", Slots: 2, SoftwareVersion: "v2"}, {ID: "c", Zone: "za"}})
	var first Key
	for i := range 3 {
		k, acts := h.submitContinued("v2")
		assert.Equal(t, acts[0].Target, "b")
		if i == 0 {
			first = k
		}
	}
	waiting, acts := h.submitContinued("v2")
	assert.Equal(t, len(acts), 0, "b is full")
	_, acts = h.submit(0, time.Second, 3*time.Second)
	assert.Assert(t, acts[0].Target == "a" || acts[0].Target == "c")
	acts = h.queue.Done(h.now, first, balance.OK, 20*time.Millisecond)
	assert.DeepEqual(t, acts, []Action{{Key: waiting, Target: "b"}})
	_, acts = h.submitContinued("v3")
	assert.Equal(t, acts[0].Reason, ReasonNoTarget)
	waiting, acts = h.submitContinued("v2")
	assert.Equal(t, len(acts), 0)
	acts = h.queue.SetTargets(h.now, []Target{{ID: "a", Zone: "za", Slots: 2, SoftwareVersion: "v1"}})
	assert.DeepEqual(t, acts, []Action{{Key: waiting, Reason: ReasonNoTarget, RetryAfter: noTargetRetryDelay}})
}
