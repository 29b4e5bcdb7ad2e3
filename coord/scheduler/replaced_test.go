package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStateOfReplacedTargetIsDiscarded checks that the state of the earlier process is discarded,
// and that the next process, under its own id, starts with empty state.
func TestStateOfReplacedTargetIsDiscarded(t *testing.T) {
	h := newHarness(t, config(2), []string{"a"}, nil)
	waiting := h.submit("c")
	load := h.expectActions(ActLoad)[0]
	h.answerOrder(load, OrderAccepted)
	assert.Equal(t, h.s.Stats().Loads, 1)
	h.drain()
	h.collect(h.s.TargetReplaced(h.now, load.Target))
	assert.Equal(t, h.s.Stats().Loads, 1, "its loads are dropped, and the request waits for a load elsewhere")
	again := h.drain()
	assert.Assert(t, len(again) > 0 && again[0].Kind == ActLoad && again[0].Target != load.Target, "%v", again)
	listed := []AnnouncedTarget{
		{ID: "t0", Ready: true, Resident: []ResidentItem{{Ref: base}, {Ref: ref("a")}}},
		{ID: "t1", Ready: true, Resident: []ResidentItem{{Ref: base}}},
	}
	h.collect(h.s.SetTargets(h.now, listed))
	assert.Assert(t, !h.s.targets[load.Target].ready, "an outdated listing does not restore it")
	for i := range listed {
		if listed[i].ID == load.Target {
			listed[i] = AnnouncedTarget{ID: load.Target + "#2", Ready: true}
		}
	}
	h.collect(h.s.SetTargets(h.now, listed))
	next := h.s.targets[load.Target+"#2"]
	assert.Assert(t, next != nil && !next.reconciled && !next.fenced && next.orderCount == 0 && len(next.slots) == 0 && len(next.cachedAdapters) == 0)
	assert.Equal(t, next.health, health{})
	h.answerOrder(again[0], OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	granted := h.drain()
	assert.Equal(t, granted[len(granted)-1].Key, waiting)
}

// TestRequestsOfReplacedTargetEnd checks that requests of the earlier process end without affecting
// the state of the later one.
func TestRequestsOfReplacedTargetEnd(t *testing.T) {
	h := newHarness(t, config(2), []string{"a"})
	k := h.submit("a")
	h.expectActions(ActGrant)
	h.collect(h.s.TargetReplaced(h.now, "t0"))
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "t0#2", Ready: true, Resident: []ResidentItem{{Ref: base}, {Ref: ref("a")}}}}))
	h.collect(h.s.Done(h.now, k, EndedFailed))
	assert.Equal(t, h.s.Stats().Running, 0)
	assert.Equal(t, h.s.targets["t0#2"].running, 0)
	assert.Equal(t, h.s.targets["t0#2"].health.consecutiveFailures, 0)
	h.now = h.now.Add(time.Second)
	h.collect(h.s.TargetReplaced(h.now, "unknown"))
}

// TestOrdersUnderEarlierTargetID: a process restarts at the same address and accepts orders that
// were sent to the id of the previous process, until its own entry is known. Its first report
// counts these orders but does not show their loads yet.
//
// It guards against ordering such an engine beyond its adapter slots, which happened in a soak test
// on a busy machine. The engine restarted at 41.666 s, accepted loads of a1 at 42.041 s and a6 at
// 42.291 s under its earlier id, and was known under its new id at 42.355 s. A report requested 2
// ms later counted four orders and listed a1; a6 was still being loaded. The scheduler ordered a14,
// a5 and a9 for the second, third and fourth slot.
func TestOrdersUnderEarlierTargetID(t *testing.T) {
	h := newHarness(t, config(2), []string{"a"})
	h.advance(leaseContestWindow)
	h.collect(h.s.TargetReplaced(h.now, "t0"))
	h.collect(h.s.SetTargets(h.now, announceWithBase("t0#2")))
	h.submit("c")
	h.submit("d")
	h.expectActions(ActReadReport)
	h.sendReport("t0#2", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 1})
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0#2", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("b")}}, OrderCount: 1})
	loads := h.expectActions(ActLoad)
	assert.Equal(t, len(loads), 1, "the other slot is occupied by the adapter that was loading")
}
