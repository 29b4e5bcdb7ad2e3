package feed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestEntryTakesBackATargetsOwnWord: an entry of the store may be older than what the target said in
// an answer, however late it comes; a later start is another target.
func TestEntryTakesBackATargetsOwnWord(t *testing.T) {
	state := func(x *fixture, id string) fleet.TargetState { return x.feed.Directory().Targets[id].State }
	x := newFixture()
	x.feed.dir = newDirectory(decodeStarts, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1), put("u", "5", 1)}})
	assert.Assert(t, x.feed.MarkLeaving("t#5"))
	assert.Assert(t, !x.feed.MarkLeaving("t#5"), "no news")
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	assert.Equal(t, state(x, "u#5"), fleet.TargetReady)
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "5", 2)}})
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	x.feed.Apply(Update{Snapshot: true, To: 3, Items: []fleet.Item{put("t", "5", 3), put("u", "5", 1)}})
	assert.Equal(t, state(x, "t#5"), fleet.TargetDraining)
	x.feed.Apply(Update{From: 3, To: 4, Items: []fleet.Item{put("t", "7", 4)}})
	assert.Equal(t, state(x, "t#7"), fleet.TargetReady)
}

// TestEntryThatAgreedTakesBackATargetsOwnWord: the store had said so too, and says otherwise later.
func TestEntryThatAgreedTakesBackATargetsOwnWord(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeStarts, 2*time.Second)
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5!", 1)}})
	assert.Assert(t, !x.feed.MarkLeaving("t#5"), "no news: all VMs have it from the store")
	x.feed.Apply(Update{From: 1, To: 2, Items: []fleet.Item{put("t", "5", 2)}})
	assert.Equal(t, x.feed.Directory().Targets["t#5"].State, fleet.TargetDraining)
}

// TestOwnWordBeforeTheEntry: another VM heard of the target, and of its word, first.
func TestOwnWordBeforeTheEntry(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeStarts, 2*time.Second)
	assert.Assert(t, x.feed.MarkLeaving("t#5"))
	assert.Assert(t, x.feed.Directory().Removed["t#5"], "a verdict of that VM may name it")
	x.feed.Apply(Update{Snapshot: true, To: 1, Items: []fleet.Item{put("t", "5", 1)}})
	assert.Equal(t, x.feed.Directory().Targets["t#5"].State, fleet.TargetDraining)
}

// TestWordsOfTargetsAreForgotten once they are listed no more, and not before.
func TestWordsOfTargetsAreForgotten(t *testing.T) {
	d := newDirectory(decodeStarts, 2*time.Second)
	assert.NilError(t, d.take(start, put("t", "5", 1)))
	d.leaving["t#5"], d.leaving["u#5"] = start, start
	d.expire(start.Add(2 * rememberGone))
	assert.Equal(t, len(d.leaving), 1)
	assert.Equal(t, d.publish(1).Targets["t#5"].State, fleet.TargetDraining)
	assert.NilError(t, d.take(start.Add(2*rememberGone), fleet.Item{Key: "t", Revision: 2, Deleted: true}))
	d.expire(start.Add(2*rememberGone + goneAfter))
	d.expire(start.Add(4 * rememberGone))
	assert.Equal(t, len(d.leaving), 0)
}
