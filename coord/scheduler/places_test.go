package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// evicted has t0, which has one place, give up its adapter for another one. It returns the
// answer's target as it is believed after the engine said that it does not hold the adapter.
func evicted(t *testing.T, b *bench) *target {
	t.Helper()
	b.after(minResident)
	b.submit("next")
	unload := b.drain()
	assert.Assert(t, len(unload) == 1 && unload[0].Kind == ActUnload, "%v", unload)
	b.ordered(unload[0], OrderAlreadyApplied)
	return b.s.targets["t0"]
}

// TestAnswerToALoadIsNoProof: an engine also answers "holds" to an order for an adapter that is
// on its way to it, and to the unload of one, and goes on loading. The place is free when a
// report says so.
func TestAnswerToALoadIsNoProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.submit("a")
	b.ordered(b.want(ActLoad)[0], OrderAlreadyApplied)
	key := b.want(ActGrant)[0].Key
	b.take(b.s.Done(b.now, key, EndedAbandoned)) // its caller left: nothing ran
	b.now = b.now.Add(2 * firstColdLoad)
	got := evicted(t, b)
	assert.Equal(t, len(got.slots), 1, "the place is taken until a report says otherwise")
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 2})
	b.want(ActLoad)
}

// TestGrantOfAnotherVMIsNoProof: what an earlier scheduler granted may not have reached the
// engine, or been refused there as the load was not over.
func TestGrantOfAnotherVMIsNoProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.ticket++
	key := Key{VM: "other", Ticket: b.ticket}
	b.s.Adopt(b.now, key, "t0", ref("a"), 100, b.now.Add(time.Second))
	b.take(b.s.Done(b.now, key, EndedWithdrawn))
	assert.Equal(t, len(evicted(t, b).slots), 1)
	b.want()
}

// TestRunOfAnOlderVersionIsNoProof: the newer one that takes its place is on its way yet.
func TestRunOfAnOlderVersionIsNoProof(t *testing.T) {
	b := newBench(t, config(1), []string{"a"})
	key := b.submit("a")
	b.want(ActGrant)
	b.take(b.s.SetVersion(b.now, ref("a"), 2))
	b.ordered(b.want(ActLoad)[0], OrderAccepted)
	b.s.FirstEvent(b.now, key)
	b.take(b.s.Done(b.now, key, EndedOK)) // only now does the engine begin to load
	b.after(firstColdLoad + loadMargin)
	assert.Equal(t, len(evicted(t, b).slots), 1)
	b.want()
}

// TestRunIsProof: a place is free at once where a request has run since the load.
func TestRunIsProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.submit("a")
	b.ordered(b.want(ActLoad)[0], OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	key := b.want(ActGrant)[0].Key
	b.s.FirstEvent(b.now, key)
	b.take(b.s.Done(b.now, key, EndedOK))
	got := evicted(t, b)
	assert.Equal(t, len(got.slots), 1)
	assert.Equal(t, b.want(ActLoad)[0].Ref, ref("next"))
}

func listedWithBase(ids ...string) []AnnouncedTarget {
	var out []AnnouncedTarget
	for _, id := range ids {
		out = append(out, AnnouncedTarget{ID: id, Ready: true, Resident: []ResidentItem{{Ref: base}}})
	}
	return out
}

// TestTargetOffTheListKeepsItsPlaces: an engine's entry is lost while an order is under way
// there, and is back with its next heartbeat. What was ordered and what runs there still counts,
// and a report is read before its next order.
func TestTargetOffTheListKeepsItsPlaces(t *testing.T) {
	b := newBench(t, config(2), []string{"runs"})
	b.submit("runs")
	b.want(ActGrant)
	b.submit("a")
	load := b.want(ActLoad)[0]
	b.take(b.s.SetTargets(b.now, nil))
	b.submit("runs")
	b.want(ActRefuse, ActRefuse) // the one that waits for the load as well
	b.ordered(load, OrderAccepted)
	b.take(b.s.SetTargets(b.now, listedWithBase("t0")))
	assert.Equal(t, b.s.targets["t0"].slots[ref("runs")].inUse, 1)
	b.after(firstColdLoad + loadMargin)
	b.submit("a")
	assert.Equal(t, b.want(ActGrant)[0].Ref, ref("a"), "as if it had been listed all the time")
	b.after(reportLag - firstColdLoad - loadMargin)
	b.want(ActReadReport)
}

// TestTargetOffTheListIsForgotten: one that does not come back is.
func TestTargetOffTheListIsForgotten(t *testing.T) {
	b := newBench(t, config(2), []string{"a"}, []string{"b"})
	b.take(b.s.SetTargets(b.now, listedWithBase("t1")))
	b.now = b.now.Add(forgetAfter)
	b.take(b.s.SetTargets(b.now, listedWithBase("t1")))
	assert.Assert(t, b.s.targets["t0"] == nil)
	assert.Equal(t, len(b.s.homes[ref("a")]), 0)
}

// twoModels is for engines that hold one of two base models: the second one beside the first is
// more than their memory, and they crash.
func twoModels() Config {
	cfg := config(2)
	cfg.ModelLoadTime = map[string]time.Duration{"m": time.Second, "n": time.Second}
	return cfg
}

// TestModelUnderWayIsNotOrderedAgain: after a change of the scheduler an engine is loading the
// base model that the one before ordered. It does not list it yet, and may hold it by the time
// that an order for another one arrives.
func TestModelUnderWayIsNotOrderedAgain(t *testing.T) {
	b := newBench(t, twoModels())
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	b.want(ActReadReport)
	b.report("new", Report{Busy: true, OrderCount: 1})
	b.want()
	b.after(readAgain)
	b.want(ActReadReport)
	there := Report{Resident: []ResidentItem{{Ref: coord.AdapterRef{Model: "n"}}}, OrderCount: 1}
	b.report("new", there)
	b.after(reportLag - readAgain)
	b.want(ActReadReport) // what another VM ordered shows in reports a lag apart
	b.report("new", there)
	b.after(time.Second)
	b.want()
}

// TestModelThatMayBeUnderWayIsOrderedAgain: where it is not known whether an engine took the
// order for a base model, no other one is ordered there.
func TestModelThatMayBeUnderWayIsOrderedAgain(t *testing.T) {
	b := newBench(t, twoModels())
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	b.want(ActReadReport)
	b.report("new", Report{})
	first := b.want(ActLoad)[0]
	b.ordered(first, OrderUnknown)
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "new", Ready: true}, {ID: "other", Ready: false, Resident: []ResidentItem{{Ref: first.Ref}}}}))
	b.s.targets["other"].ready = true // the model that the fewest hold is the other one now
	b.after(reportLag)
	b.drain()
	b.report("new", Report{})
	again := b.drain()
	assert.Assert(t, len(again) > 0 && again[0].Target == "new", "%v", again)
	assert.Equal(t, again[0].Ref, first.Ref)
}
