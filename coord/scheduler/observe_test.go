package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// reportOf returns the report of a target that holds the base model and has accepted a number of orders.
func reportOf(orders uint64) Report {
	return Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: orders}
}

// TestOrdersOfOtherVMsAreObserved guards against a follower that takes its leader's silence for the absence of
// any leader, or its own reads for orders.
func TestOrdersOfOtherVMsAreObserved(t *testing.T) {
	h := newHarness(t, config(2), []string{})
	h.collect(h.s.SetLeading(h.now, false, nil))
	h.collect(h.s.SetLease(h.now, 0))
	h.expectActions()
	h.collect(h.s.SetObserving(h.now, true))
	for _, row := range []struct {
		orders   uint64
		observed bool
	}{
		{7, false}, // accepted before the observation
		{7, false},
		{8, true},
		{8, false},
		{1, false}, // the target has restarted
		{2, true},
	} {
		h.expectActions(ActReadReport)
		before := h.s.OthersOrderedAt()
		h.sendReport("t0", reportOf(row.orders))
		assert.Equal(t, h.s.OthersOrderedAt().After(before), row.observed, "%d orders", row.orders)
		h.advance(observeInterval / 2)
		h.expectActions()
		h.advance(observeInterval / 2)
	}
	h.drain()
	h.collect(h.s.SetObserving(h.now, false))
	h.advance(observeInterval)
	h.expectActions()
}

// TestEngineThatAnotherVMOrderedIsNotOrdered checks that a provisional leader orders an engine only after the lease of
// another VM that ordered it. Two VMs that cannot find each other would otherwise order it in turns.
func TestEngineThatAnotherVMOrderedIsNotOrdered(t *testing.T) {
	const quiet = 3500 * time.Millisecond
	h := newHarness(t, config(2), []string{})
	h.s.SetLeaseQuiet(quiet)
	h.collect(h.s.SetLease(h.now, 9))
	h.submit("x")
	ordersUntil := h.now.Add(2 * time.Second) // of another VM
	orders := uint64(5)
	for h.now.Before(ordersUntil.Add(2 * quiet)) {
		for _, a := range h.drain() {
			switch a.Kind {
			case ActReadReport:
				h.sendReport("t0", reportOf(orders))
			case ActLoad:
				assert.Assert(t, h.now.Sub(ordersUntil) >= quiet, "ordered %s after the last order of another VM", h.now.Sub(ordersUntil))
				assert.Equal(t, *a.ExpectedOrders, orders)
				return
			}
		}
		if h.now.Before(ordersUntil) {
			orders++
		}
		h.advance(100 * time.Millisecond)
	}
	t.Fatal("the engine was not ordered at all")
}
