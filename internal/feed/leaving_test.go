package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestStoreEntryDoesNotRevertAReportedLeave verifies that a store entry does not revert a leave
// that the target reported in a response. The entry may be older than the report, however late it
// arrives. A later incarnation is another target.
func TestStoreEntryDoesNotRevertAReportedLeave(t *testing.T) {
	state := func(x *fixture, id string) fleet.TargetState { return x.feed.Directory().Targets[id].State }
	x := newFixture()
	x.feed.dir = newDirectory(decodeIncarnation, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1), put("u", "5", 1)}})
	assert.Assert(t, x.feed.MarkLeaving("t#5"))
	assert.Assert(t, !x.feed.MarkLeaving("t#5"), "the leave is already known")
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	assert.Equal(t, state(x, "u#5"), fleet.TargetReady)
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "5", 2)}})
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	x.feed.Apply(Update{Snapshot: true, To: 3, Items: []fleet.Item{put("t", "5", 3), put("u", "5", 1)}})
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	x.feed.Apply(Update{From: 3, To: 4, Items: []fleet.Item{put("t", "7", 4)}})
	assert.Equal(t, state(x, "t#7"), fleet.TargetReady)
}

// TestReadyEntryAfterADrainingEntryDoesNotRevertAReportedLeave covers a store entry that agreed
// with the report and is followed by one that does not.
func TestReadyEntryAfterADrainingEntryDoesNotRevertAReportedLeave(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeIncarnation, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5!", 1)}})
	assert.Assert(t, !x.feed.MarkLeaving("t#5"), "all VMs have the leave from the store")
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "5", 2)}})
	assert.Equal(t, x.feed.Directory().Targets["t#5"].State, fleet.TargetDraining)
}

// TestReportedLeaveAppliesToALaterEntry covers a leave relayed by another VM that received the
// target's entry and its report earlier than this VM.
func TestReportedLeaveAppliesToALaterEntry(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeIncarnation, 2*time.Second)
	assert.Assert(t, x.feed.MarkLeaving("t#5"))
	assert.Assert(t, x.feed.Directory().Removed["t#5"], "a decision of that VM may name it")
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1)}})
	assert.Equal(t, x.feed.Directory().Targets["t#5"].State, fleet.TargetDraining)
}

// TestReportedLeavesExpireOnceUnlisted verifies that a report is removed after its target is no
// longer listed, and not before.
func TestReportedLeavesExpireOnceUnlisted(t *testing.T) {
	d := newDirectory(decodeIncarnation, 2*time.Second)
	assert.NilError(t, d.applyItem(start, put("t", "5", 1)))
	d.leaving["t#5"], d.leaving["u#5"] = start, start
	d.expire(start.Add(2 * removedRetention))
	assert.Equal(t, len(d.leaving), 1)
	assert.Equal(t, d.publish(1).Targets["t#5"].State, fleet.TargetDraining)
	assert.NilError(t, d.applyItem(start.Add(2*removedRetention), fleet.Item{Key: "t", Revision: 2, Deleted: true}))
	d.expire(start.Add(2*removedRetention + maxRemovalGrace))
	d.expire(start.Add(4 * removedRetention))
	assert.Equal(t, len(d.leaving), 0)
}
