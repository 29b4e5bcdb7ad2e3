package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// harness drives a Queue with two targets of two slots each.
type harness struct {
	queue *Queue
	now   time.Time
	next  uint64
}

func newHarness() *harness {
	h := &harness{queue: New(), now: start}
	h.queue.SetTargets(start, []Target{{ID: "a", Zone: "za", Slots: 2}, {ID: "b", Zone: "zb", Slots: 2}})
	return h
}

func (h *harness) submit(priority int, softDeadline, deadline time.Duration, exclude ...string) (Key, []Action) {
	return h.submitRequest(Request{Priority: priority, Exclude: exclude, SoftDeadline: h.now.Add(softDeadline), Deadline: h.now.Add(deadline)})
}

func (h *harness) submitRequest(r Request) (Key, []Action) {
	h.next++
	r.Key, r.Zone = Key{VM: "vm", Ticket: h.next}, "za"
	return r.Key, h.queue.Submit(h.now, r)
}

func TestRequestsBeyondTheConcurrencyLimitWait(t *testing.T) {
	h := newHarness()
	granted := map[string]int{}
	var keys []Key
	for range 6 {
		k, acts := h.submit(0, time.Second, 3*time.Second)
		assert.Equal(t, len(acts), 1)
		granted[acts[0].Target]++
		keys = append(keys, k)
	}
	assert.DeepEqual(t, granted, map[string]int{"a": 3, "b": 3})
	waiting, acts := h.submit(0, time.Second, 3*time.Second)
	assert.Equal(t, len(acts), 0, "the request waits")
	acts = h.queue.Done(h.now, keys[2], balance.OK, 40*time.Millisecond)
	assert.Equal(t, acts[0].Key, waiting)
	assert.Assert(t, acts[0].Target != "")
}

// TestGrantOrderByLatenessPriorityAndAge checks that requests that can meet their soft deadline
// are granted by priority and age, before the late ones.
func TestGrantOrderByLatenessPriorityAndAge(t *testing.T) {
	h := newHarness()
	var running []Key
	for range 6 {
		k, _ := h.submit(0, time.Second, 3*time.Second)
		running = append(running, k)
	}
	late, _ := h.submit(0, 0, 3*time.Second)
	second, _ := h.submit(2, time.Second, 3*time.Second)
	third, _ := h.submit(2, time.Second, 3*time.Second)
	first, _ := h.submit(1, time.Second, 3*time.Second)
	var order []Key
	for i, k := range running[:4] {
		acts := h.queue.Done(at(20+i), k, balance.OK, 20*time.Millisecond)
		assert.Equal(t, len(acts), 1)
		order = append(order, acts[0].Key)
	}
	assert.DeepEqual(t, order, []Key{first, second, third, late})
}

// TestUnservableRequestIsRefusedAtOnce guards against requests that wait although they cannot be
// served before their deadline, or have no target.
func TestUnservableRequestIsRefusedAtOnce(t *testing.T) {
	h := newHarness()
	for range 6 {
		h.submit(0, time.Second, 3*time.Second)
	}
	for range 20 {
		h.submit(0, time.Second, 3*time.Second)
	}
	_, acts := h.submit(1, 300*time.Millisecond, 200*time.Millisecond)
	assert.Equal(t, acts[0].Reason, ReasonQueueTooLong)
	assert.Assert(t, acts[0].RetryAfter >= 200*time.Millisecond && acts[0].RetryAfter <= maxRetryDelay, "%v", acts[0].RetryAfter)
	_, acts = h.submit(0, time.Second, 3*time.Second, "a", "b")
	assert.Equal(t, acts[0].Reason, ReasonNoTarget)
}

func TestWaitingRequestIsWithdrawn(t *testing.T) {
	h := newHarness()
	var running []Key
	for range 6 {
		k, _ := h.submit(0, time.Second, 3*time.Second)
		running = append(running, k)
	}
	withdrawn, _ := h.submit(0, time.Second, 3*time.Second)
	waiting, _ := h.submit(0, time.Second, 3*time.Second)
	h.queue.Done(h.now, withdrawn, balance.Abandoned, 0)
	acts := h.queue.Done(h.now, running[0], balance.OK, time.Millisecond)
	assert.Equal(t, acts[0].Key, waiting)
}

// TestRequestsOfUnresponsiveVMsAreRemoved covers VMs that are reported as unresponsive or restarted,
// and VMs that failed unnoticed, whose grants expire.
func TestRequestsOfUnresponsiveVMsAreRemoved(t *testing.T) {
	h := newHarness()
	for range 6 {
		h.submit(0, time.Second, 3*time.Second)
	}
	h.queue.RemoveVM(h.now, "vm", 3)
	assert.Equal(t, h.queue.Stats().Running, 4)
	h.queue.RemoveVM(h.now, "other", 1000)
	assert.Equal(t, h.queue.Stats().Running, 4)
	h.queue.Tick(h.now.Add(3*time.Second + 2*grantExpiryDelay))
	assert.Equal(t, h.queue.Stats().Running, 0)
}

// TestEjectedTargetIsUsedOnlyWithoutAlternative guards against grants to an ejected target while the
// other target is at its limit: requests wait for the other one, unless they exclude it.
func TestEjectedTargetIsUsedOnlyWithoutAlternative(t *testing.T) {
	h := newHarness()
	k, acts := h.submit(0, time.Second, 3*time.Second)
	ejected := acts[0].Target
	h.queue.Done(h.now, k, balance.Unreachable, 0)
	for range 3 {
		_, acts = h.submit(0, time.Second, 3*time.Second)
		assert.Assert(t, acts[0].Target != ejected)
	}
	_, acts = h.submit(0, time.Second, 3*time.Second)
	assert.Equal(t, len(acts), 0)
	other := map[string]string{"a": "b", "b": "a"}[ejected]
	_, acts = h.submit(0, time.Second, 3*time.Second, other)
	assert.Equal(t, acts[0].Target, ejected, "no alternative")
}

// TestRejectionLowersTheLimitToSlots checks that targets get only as many requests as they have
// slots after one has rejected the extra request.
func TestRejectionLowersTheLimitToSlots(t *testing.T) {
	h := newHarness()
	var keys []Key
	for range 6 {
		k, acts := h.submit(0, time.Second, 3*time.Second)
		assert.Assert(t, acts[0].Target != "")
		keys = append(keys, k)
	}
	assert.Equal(t, h.queue.Stats().Limit, 6)
	h.queue.Done(h.now, keys[5], balance.Busy, 0)
	assert.Equal(t, h.queue.Stats().Limit, 4)
}
