package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTargetThatStartedAgain: what was believed of the earlier process holds for nothing,
// and its next start, under an id of its own, begins from nothing.
func TestTargetThatStartedAgain(t *testing.T) {
	b := newBench(t, config(2), []string{"a"}, nil)
	waits := b.submit("c")
	load := b.want(ActLoad)[0]
	b.ordered(load, OrderAccepted)
	assert.Equal(t, b.s.Stats().Loads, 1)
	b.drain()
	b.take(b.s.TargetReplaced(b.now, load.Target))
	assert.Equal(t, b.s.Stats().Loads, 1, "its loads are gone, and the request waits for one elsewhere")
	again := b.drain()
	assert.Assert(t, len(again) > 0 && again[0].Kind == ActLoad && again[0].Target != load.Target, "%v", again)
	listed := []AnnouncedTarget{
		{ID: "t0", Ready: true, Resident: []ResidentItem{{Ref: base}, {Ref: ref("a")}}},
		{ID: "t1", Ready: true, Resident: []ResidentItem{{Ref: base}}},
	}
	b.take(b.s.SetTargets(b.now, listed))
	assert.Assert(t, !b.s.targets[load.Target].ready, "a late listing does not bring it back")
	for i := range listed {
		if listed[i].ID == load.Target {
			listed[i] = AnnouncedTarget{ID: load.Target + "#2", Ready: true}
		}
	}
	b.take(b.s.SetTargets(b.now, listed))
	next := b.s.targets[load.Target+"#2"]
	assert.Assert(t, next != nil && !next.trusted && !next.sealed && next.orders == 0 && len(next.slots) == 0 && len(next.kept) == 0)
	assert.Equal(t, next.health, health{})
	b.ordered(again[0], OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	granted := b.drain()
	assert.Equal(t, granted[len(granted)-1].Key, waits)
}

// TestReplacedTargetsRequestsEnd: requests that ran at the earlier process end without
// touching the later one.
func TestReplacedTargetsRequestsEnd(t *testing.T) {
	b := newBench(t, config(2), []string{"a"})
	k := b.submit("a")
	b.want(ActGrant)
	b.take(b.s.TargetReplaced(b.now, "t0"))
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "t0#2", Ready: true, Resident: []ResidentItem{{Ref: base}, {Ref: ref("a")}}}}))
	b.take(b.s.Done(b.now, k, EndedFailed))
	assert.Equal(t, b.s.Stats().Running, 0)
	assert.Equal(t, b.s.targets["t0#2"].running, 0)
	assert.Equal(t, b.s.targets["t0#2"].health.failures, 0)
	b.now = b.now.Add(time.Second)
	b.take(b.s.TargetReplaced(b.now, "unknown"))
}

// TestOrdersUnderTheEarlierID: a process starts again at its address and takes orders that were
// meant for the one before, until its own entry is known. Its first report counts them, and does
// not show yet what they load.
//
// The story: beside a busy machine the soak's seed 4041 saw "i-3 was ordered to load a9 with all
// places taken" (1 of 24 runs, and 2 in its first). The engine was born again at 41.666 s, took
// loads of a1 at 42.041 and a6 at 42.291 under its earlier id, and was known by its new one at
// 42.355. A report begun 2 ms later counted four orders and listed a1; a6 was on its way. The
// scheduler took a14, a5 and a9 for the second, third and fourth.
func TestOrdersUnderTheEarlierID(t *testing.T) {
	b := newBench(t, config(2), []string{"a"})
	b.after(contestTime)
	b.take(b.s.TargetReplaced(b.now, "t0"))
	b.take(b.s.SetTargets(b.now, listedWithBase("t0#2")))
	b.submit("c")
	b.submit("d")
	b.want(ActReadReport)
	b.report("t0#2", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 1})
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0#2", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("b")}}, OrderCount: 1})
	loads := b.want(ActLoad)
	assert.Equal(t, len(loads), 1, "the other place is taken by what was loading")
}
