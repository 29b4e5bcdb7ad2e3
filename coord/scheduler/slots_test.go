package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// evictFromFirstTarget lets t0, which has one adapter slot, evict its adapter for another one. It
// returns the scheduler's state of t0 after the engine answered that it does not hold the adapter.
func evictFromFirstTarget(t *testing.T, h *harness) *target {
	t.Helper()
	h.advance(minResidency)
	h.submit("next")
	unload := h.drain()
	assert.Assert(t, len(unload) == 1 && unload[0].Kind == ActUnload, "%v", unload)
	h.answerOrder(unload[0], OrderAlreadyApplied)
	return h.s.targets["t0"]
}

// TestLoadAnswerDoesNotConfirmAdapter guards against freeing the slot of an adapter that is still
// being loaded. An engine also answers that an order is already applied, to a load as well as to an
// unload, while it loads the adapter, and it continues to load it. The slot is free only when a
// report shows that.
func TestLoadAnswerDoesNotConfirmAdapter(t *testing.T) {
	h := newHarness(t, config(1), nil)
	h.submit("a")
	h.answerOrder(h.expectActions(ActLoad)[0], OrderAlreadyApplied)
	key := h.expectActions(ActGrant)[0].Key
	h.collect(h.s.Done(h.now, key, EndedAbandoned)) // the caller left: nothing ran
	h.now = h.now.Add(2 * initialColdLoadTime)
	got := evictFromFirstTarget(t, h)
	assert.Equal(t, len(got.slots), 1, "the slot stays occupied until a report shows that it is free")
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 2})
	h.expectActions(ActLoad)
}

// TestAdoptedRunOfOldVersionCountsAsNewest guards against a new scheduler that takes an adapter in an
// outdated version for the newest, because a request that an earlier scheduler granted runs on it.
func TestAdoptedRunOfOldVersionCountsAsNewest(t *testing.T) {
	for version, granted := range map[int64]bool{0: true, 1: false, 2: true} {
		h := newHarness(t, config(1), nil)
		h.collect(h.s.SetVersions(h.now, []ResidentItem{{Ref: ref("a"), Version: 2}}))
		h.s.Adopt(h.now, AdoptedRun{Key: Key{VM: "other", Ticket: 1}, Target: "t0", Ref: ref("a"), Version: version, Deadline: h.now.Add(time.Second)})
		_, held := h.s.timeUntilReady(h.now, h.s.targets["t0"], ref("a"))
		assert.Equal(t, held, granted, "version %d", version)
	}
}

// TestAdoptedGrantDoesNotConfirmAdapter: a request that an earlier scheduler granted may not have
// reached the engine, or may have been rejected there because the load was unfinished.
func TestAdoptedGrantDoesNotConfirmAdapter(t *testing.T) {
	h := newHarness(t, config(1), nil)
	h.ticket++
	key := Key{VM: "other", Ticket: h.ticket}
	h.s.Adopt(h.now, AdoptedRun{Key: key, Target: "t0", Ref: ref("a"), Tokens: 100, Deadline: h.now.Add(time.Second)})
	h.collect(h.s.Done(h.now, key, EndedWithdrawn))
	assert.Equal(t, len(evictFromFirstTarget(t, h).slots), 1)
	h.expectActions()
}

// TestRequestOnOlderVersionDoesNotConfirmAdapter: the newer version that replaces it is still being
// loaded.
func TestRequestOnOlderVersionDoesNotConfirmAdapter(t *testing.T) {
	h := newHarness(t, config(1), []string{"a"})
	key := h.submit("a")
	h.expectActions(ActGrant)
	h.collect(h.s.SetVersions(h.now, []ResidentItem{{Ref: ref("a"), Version: 2}}))
	h.answerOrder(h.expectActions(ActLoad)[0], OrderAccepted)
	h.s.FirstEvent(h.now, key)
	h.collect(h.s.Done(h.now, key, EndedOK)) // the engine begins to load only now
	h.advance(initialColdLoadTime + loadMargin)
	assert.Equal(t, len(evictFromFirstTarget(t, h).slots), 1)
	h.expectActions()
}

// TestCompletedRequestConfirmsAdapter checks that the answer to an unload frees a slot at once if a
// request has run on the adapter since its load.
func TestCompletedRequestConfirmsAdapter(t *testing.T) {
	h := newHarness(t, config(1), nil)
	h.submit("a")
	h.answerOrder(h.expectActions(ActLoad)[0], OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	key := h.expectActions(ActGrant)[0].Key
	h.s.FirstEvent(h.now, key)
	h.collect(h.s.Done(h.now, key, EndedOK))
	got := evictFromFirstTarget(t, h)
	assert.Equal(t, len(got.slots), 1)
	assert.Equal(t, h.expectActions(ActLoad)[0].Ref, ref("next"))
}

func announceWithBase(ids ...string) []AnnouncedTarget {
	var out []AnnouncedTarget
	for _, id := range ids {
		out = append(out, AnnouncedTarget{ID: id, Ready: true, Resident: []ResidentItem{{Ref: base}}})
	}
	return out
}

// TestUnlistedTargetKeepsItsSlots: an engine's entry is lost while an order is in flight there, and
// reappears with its next heartbeat. Its ordered loads and running requests still count, and a
// report is read before its next order.
func TestUnlistedTargetKeepsItsSlots(t *testing.T) {
	h := newHarness(t, config(2), []string{"runs"})
	h.submit("runs")
	h.expectActions(ActGrant)
	h.submit("a")
	load := h.expectActions(ActLoad)[0]
	h.collect(h.s.SetTargets(h.now, nil))
	h.submit("runs")
	h.expectActions(ActRefuse, ActRefuse) // including the one that waits for the load
	h.answerOrder(load, OrderAccepted)
	h.collect(h.s.SetTargets(h.now, announceWithBase("t0")))
	assert.Equal(t, h.s.targets["t0"].slots[ref("runs")].inUse, 1)
	h.advance(initialColdLoadTime + loadMargin)
	h.submit("a")
	assert.Equal(t, h.expectActions(ActGrant)[0].Ref, ref("a"), "the load counts as if the target had always been listed")
	h.advance(reportLag - initialColdLoadTime - loadMargin)
	h.expectActions(ActReadReport)
}

// TestUnlistedTargetIsForgotten checks that the state of a target that does not reappear is
// removed.
func TestUnlistedTargetIsForgotten(t *testing.T) {
	h := newHarness(t, config(2), []string{"a"}, []string{"b"})
	h.collect(h.s.SetTargets(h.now, announceWithBase("t1")))
	h.now = h.now.Add(forgetAfter)
	h.collect(h.s.SetTargets(h.now, announceWithBase("t1")))
	assert.Assert(t, h.s.targets["t0"] == nil)
	assert.Equal(t, len(h.s.replicas[ref("a")]), 0)
}

// twoModelConfig is for engines that hold one of two base models. Both together exceed an engine's
// memory and crash it.
func twoModelConfig() Config {
	cfg := config(2)
	cfg.ModelLoadTime = map[string]time.Duration{"m": time.Second, "n": time.Second}
	return cfg
}

// TestLoadingModelIsNotOrderedAgain: after a change of leader an engine is loading the base model
// that the previous leader ordered. The engine does not list the model yet, and may hold it when an
// order for another one arrives.
func TestLoadingModelIsNotOrderedAgain(t *testing.T) {
	h := newHarness(t, twoModelConfig())
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	h.expectActions(ActReadReport)
	h.sendReport("new", Report{Busy: true, OrderCount: 1})
	h.expectActions()
	h.advance(reportRetryDelay)
	h.expectActions(ActReadReport)
	loaded := Report{Resident: []ResidentItem{{Ref: coord.AdapterRef{Model: "n"}}}, OrderCount: 1}
	h.sendReport("new", loaded)
	h.advance(reportLag - reportRetryDelay)
	h.expectActions(ActReadReport) // orders of another VM show in reports that are reportLag apart
	h.sendReport("new", loaded)
	h.advance(time.Second)
	h.expectActions()
}

// TestModelWithUnknownOrderResultIsOrderedAgain checks that no other base model is ordered at an
// engine if it is unknown whether the engine accepted an order for one.
func TestModelWithUnknownOrderResultIsOrderedAgain(t *testing.T) {
	h := newHarness(t, twoModelConfig())
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	h.expectActions(ActReadReport)
	h.sendReport("new", Report{})
	first := h.expectActions(ActLoad)[0]
	h.answerOrder(first, OrderUnknown)
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "new", Ready: true}, {ID: "other", Ready: false, Resident: []ResidentItem{{Ref: first.Ref}}}}))
	h.s.targets["other"].ready = true // the other model is now the one that the fewest targets hold
	h.advance(reportLag)
	h.drain()
	h.sendReport("new", Report{})
	again := h.drain()
	assert.Assert(t, len(again) > 0 && again[0].Target == "new", "%v", again)
	assert.Equal(t, again[0].Ref, first.Ref)
}
