package feed

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

var start = time.Unix(1_000_000, 0)

func put(key, value string, revision fleet.Revision) fleet.Item {
	return fleet.Item{Key: key, Value: []byte(value), Revision: revision}
}

func removal(key string, revision fleet.Revision) fleet.Item {
	return fleet.Item{Key: key, Revision: revision, Deleted: true}
}

func TestCacheApply(t *testing.T) {
	first := Update{Snapshot: true, To: 10, Items: []fleet.Item{put("a", "1", 3), put("b", "1", 9)}}
	for _, row := range []struct {
		name     string
		updates  []Update
		gap      bool // of the last update
		want     map[string]string
		revision fleet.Revision
	}{
		{"a snapshot", nil, false, map[string]string{"a": "1", "b": "1"}, 10},
		{"a change", []Update{{From: 10, To: 11, Items: []fleet.Item{put("a", "2", 11)}}}, false, map[string]string{"a": "2", "b": "1"}, 11},
		{"a removal", []Update{{From: 10, To: 11, Items: []fleet.Item{removal("a", 11)}}}, false, map[string]string{"b": "1"}, 11},
		{"an old change", []Update{{From: 2, To: 5, Items: []fleet.Item{put("a", "0", 2)}}}, false, map[string]string{"a": "1", "b": "1"}, 10},
		{"a change after a gap", []Update{{From: 12, To: 13, Items: []fleet.Item{put("a", "2", 13)}}}, true, map[string]string{"a": "1", "b": "1"}, 10},
		{"changes out of order", []Update{
			{From: 10, To: 12, Items: []fleet.Item{put("a", "3", 12)}}, {From: 10, To: 11, Items: []fleet.Item{put("a", "2", 11)}},
		}, false, map[string]string{"a": "3", "b": "1"}, 12},
		{"a newer snapshot without a key", []Update{{Snapshot: true, To: 20, Items: []fleet.Item{put("a", "1", 3)}}}, false, map[string]string{"a": "1"}, 20},
		{"an older snapshot without a newer key", []Update{{Snapshot: true, To: 8, Items: []fleet.Item{put("a", "1", 3)}}}, false, map[string]string{"a": "1", "b": "1"}, 10},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			gap := c.apply(start, first).gap
			assert.Assert(t, !gap)
			for _, u := range row.updates {
				gap = c.apply(start, u).gap
			}
			assert.Equal(t, gap, row.gap)
			got := map[string]string{}
			for key, item := range c.items {
				if !item.Deleted {
					got[key] = string(item.Value)
				}
			}
			assert.DeepEqual(t, got, row.want)
			assert.Equal(t, c.revision, row.revision)
		})
	}
}

func TestChangeBeforeAnySnapshotIsAGap(t *testing.T) {
	gap := newCache().apply(start, Update{From: 0, To: 5}).gap
	assert.Assert(t, gap)
}

func TestSinceReturnsChangesOrSnapshot(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10, Items: []fleet.Item{put("a", "1", 3)}})
	c.apply(start, Update{From: 10, To: 12, Items: []fleet.Item{put("b", "1", 11), put("a", "2", 12)}})
	u := c.since(start.Add(time.Second), 11)
	assert.Assert(t, !u.Snapshot)
	assert.Equal(t, len(u.Items), 1)
	assert.Equal(t, u.Age, time.Second)
	u = c.since(start, 4)
	assert.Assert(t, u.Snapshot, "changes before the snapshot are not known")
	assert.Equal(t, len(u.Items), 2)
}

// TestOlderSnapshotDoesNotHideChanges guards against lost changes while a starting VM lists the
// store. The list takes several calls, and a change may arrive from a peer meanwhile. Peers treat
// the result of since as complete, so it must include that change.
func TestOlderSnapshotDoesNotHideChanges(t *testing.T) {
	base := []fleet.Item{put("a", "1", 3), put("c", "1", 4)}
	for _, row := range []struct {
		name       string
		listed     fleet.Revision // revision of the list, which is applied last
		pulledFrom fleet.Revision // revision from which the other VM pulls
	}{
		{"pull from the list's revision", 11, 11},
		{"pull from between the list and the change", 10, 11},
		{"pull from before the list", 11, 10},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, Update{Snapshot: true, To: 10, Items: base, ReadCount: 1})
			c.apply(start, Update{From: 10, To: 12, Items: []fleet.Item{put("c", "2", 12)}, ReadCount: 2})
			c.apply(start, Update{Snapshot: true, To: row.listed, Items: base, ReadCount: 1})
			other := newCache()
			other.apply(start, Update{Snapshot: true, To: row.pulledFrom, Items: base, ReadCount: 1})
			other.apply(start, c.since(start, row.pulledFrom))
			assert.Equal(t, other.revision, fleet.Revision(12))
			assert.Equal(t, string(other.items["c"].Value), "2")
		})
	}
}

// TestChangeLogKeepsOutOfOrderChanges guards against lost changes that arrived out of order: the
// changes that are discarded first may have higher revisions than those that are kept.
func TestChangeLogKeepsOutOfOrderChanges(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 1})
	c.apply(start, Update{From: 1, To: 5000, Items: []fleet.Item{put("newer", "1", 5000), put("older", "1", 2)}})
	many := Update{From: 1, To: 3 + maxChanges}
	for i := range fleet.Revision(maxChanges) {
		many.Items = append(many.Items, put(fmt.Sprint("k", i), "1", 3+i))
	}
	c.apply(start, many)
	u := c.since(start, 4000)
	assert.Assert(t, u.Snapshot || len(u.Items) == 1, "since must return the change at 5000")
}

func TestSinceAfterManyChanges(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 1})
	for i := range fleet.Revision(2 * maxChanges) {
		c.apply(start, Update{From: 1 + i, To: 2 + i, Items: []fleet.Item{put("k", fmt.Sprint(i), 2+i)}})
	}
	assert.Equal(t, len(c.changes), maxChanges)
	assert.Assert(t, c.since(start, 2).Snapshot)
	assert.Assert(t, !c.since(start, 2*maxChanges-2).Snapshot)
}

func TestFreshnessFollowsTheNewestRead(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10})
	c.apply(start.Add(time.Second), Update{From: 8, To: 9})
	assert.Equal(t, c.freshAt, start, "an older revision must not renew freshness")
	c.apply(start.Add(time.Second), Update{From: 10, To: 10, Age: 300 * time.Millisecond, ReadCount: 1})
	assert.Equal(t, c.freshAt, start.Add(700*time.Millisecond))
	c.apply(start.Add(2*time.Second), Update{From: 10, To: 10, Age: -1, ReadCount: 2})
	assert.Equal(t, c.freshAt, start.Add(700*time.Millisecond), "unknown age")
}

// TestUnknownAgeStaysNegativeInMilliseconds verifies that an unknown age survives the conversion to
// milliseconds in messages.
func TestUnknownAgeStaysNegativeInMilliseconds(t *testing.T) {
	assert.Assert(t, newFixture().feed.State().Age.Milliseconds() < 0)
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10, Age: unknownAge})
	assert.Assert(t, c.since(start, 10).Age.Milliseconds() < 0)
}

// TestRepeatedReportsOfOneReadDoNotRenewFreshness guards against a copy that seems fresh because
// reports of the same read arrive over several paths, each with its transit time missing from the
// age.
func TestRepeatedReportsOfOneReadDoNotRenewFreshness(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, row := range []struct {
		name      string
		to        fleet.Revision
		readCount uint64
		age       time.Duration
		wantFresh int // in ms
	}{
		{"the same read over a slower path", 10, 4, 500 * time.Millisecond, 300},
		{"the same read over a faster path", 10, 4, 800 * time.Millisecond, 200},
		{"a later read", 10, 5, 200 * time.Millisecond, 800},
		{"a read of a later revision", 11, 1, 200 * time.Millisecond, 800},
		{"an earlier read that arrives late", 10, 3, 100 * time.Millisecond, 300},
		{"a read of an earlier revision", 9, 9, 100 * time.Millisecond, 300},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(at(300), Update{Snapshot: true, To: 10, ReadCount: 4})
			c.observeState(at(1000), State{To: row.to, Age: row.age, ReadCount: row.readCount})
			assert.Equal(t, c.freshAt, at(row.wantFresh))
		})
	}
}

// leavingValue is the value of a target that leaves.
const leavingValue = "l"

// decode decodes an item by its key: "t..." is a target whose id is the value, "c..." a
// configuration whose version is the value.
func decode(i fleet.Item) (fleet.Decoded, error) {
	switch i.Key[0] {
	case 't':
		t := &fleet.Target{ID: string(i.Value), Service: "s"}
		if string(i.Value) == leavingValue {
			t.State = fleet.TargetDraining
		}
		return fleet.Decoded{Target: t}, nil
	case 'c':
		return fleet.Decoded{Config: &fleet.Config{Version: uint64(i.Value[0] - '0')}}, nil
	}
	return fleet.Decoded{}, errors.New("no such kind")
}

// TestDrainBoundShortensRemovalGrace verifies that the drain bound limits the grace: a deployment
// may require that leaving targets receive no requests sooner than a lost announcement returns.
func TestDrainBoundShortensRemovalGrace(t *testing.T) {
	assert.Equal(t, newDirectory(decode, time.Second).removalGrace, 650*time.Millisecond)
	assert.Equal(t, newDirectory(decode, time.Minute).removalGrace, maxRemovalGrace)
}

func TestDirectoryKeepsRemovedTargetsForTheGrace(t *testing.T) {
	for _, row := range []struct {
		name          string
		storeReturned bool
		after         time.Duration
		reannounced   bool
		want          bool
	}{
		{"before the grace ends", false, maxRemovalGrace - 1, false, true},
		{"after the grace", false, maxRemovalGrace, false, false},
		{"announced again during the grace", false, maxRemovalGrace, true, true},
		{"after a store outage", true, maxRemovalGrace, false, true},
		{"long after a store outage", true, storeReturnGrace, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := newDirectory(decode, 2*time.Second)
			assert.NilError(t, d.applyItem(start, put("t1", "x", 1)))
			if row.storeReturned {
				d.startStoreReturnGrace(start)
			}
			assert.NilError(t, d.applyItem(start, removal("t1", 2)))
			if row.reannounced {
				assert.NilError(t, d.applyItem(start.Add(time.Second), put("t1", "x", 3)))
			}
			d.expire(start.Add(row.after))
			_, listed := d.publish(3).Targets["x"]
			assert.Equal(t, listed, row.want)
		})
	}
}

// TestLateRemovalIsDatedFromTheLastFreshCopy guards against removed targets that stay in use as if
// they had been removed when the removal was received, or as if their entries had expired during a
// store outage.
//
// In the original failure, a VM that placed requests had been suspended for 3.2 s. After it
// resumed, it received the removal of an engine that had been removed 3.2 s before, and continued
// to place requests there. An entry VM had stopped using the engine 1.6 s before, but sent a
// request there 3.375 s after the engine announced that it leaves, because the decision was based
// on a newer copy than its own.
func TestLateRemovalIsDatedFromTheLastFreshCopy(t *testing.T) {
	bound := PropagationBound(3*time.Second, 3*time.Second)
	for _, row := range []struct {
		name   string
		within time.Duration
		// age is the age of the copy before the removal. sinceTick is the time between the VM's
		// last timer tick and the receipt of the removal.
		age, sinceTick time.Duration
		// stays is how long the target stays in use after the removal; 0: it is dropped at once.
		stays time.Duration
	}{
		{"received at once", 2 * time.Second, 300 * time.Millisecond, 0, maxRemovalGrace},
		{"received late, small fleets", 2 * time.Second, 1200 * time.Millisecond, 0, 700 * time.Millisecond},
		{"received late, large fleets", 3 * time.Second, bound, 0, 1150 * time.Millisecond},
		{"store outage, small fleets", 2 * time.Second, minStoreOutage + 1, 0, storeReturnGrace},
		{"store outage, large fleets", 3 * time.Second, bound + 1, 0, storeReturnGrace},
		{"this VM was suspended", 3 * time.Second, 3200 * time.Millisecond, 3200 * time.Millisecond, 0},
		{"this VM was suspended briefly", 3 * time.Second, 2 * time.Second, 2 * time.Second, 900 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture()
			x.feed.cfg.ApplyWithin, x.feed.cfg.DrainWithin = row.within, row.within
			x.feed.dir = newDirectory(decode, row.within)
			x.step(t)
			x.advance(row.age - row.sinceTick)
			x.now = x.now.Add(row.sinceTick)
			x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{removal("t1", 6)}, ReadCount: 9})
			listed := func() bool { return x.feed.Directory().Targets["x"] != nil }
			if row.stays > 0 {
				x.now = x.now.Add(row.stays - 1)
				x.feed.Expire()
				assert.Assert(t, listed(), "the target must stay during the grace")
				x.now = x.now.Add(1)
				x.feed.Expire()
			}
			assert.Assert(t, !listed())
			assert.Assert(t, x.feed.Directory().Removed["x"])
			x.feed.Apply(Update{From: 6, To: 7, Items: []fleet.Item{put("t1", "x", 7)}, ReadCount: 10})
			assert.Assert(t, listed() && !x.feed.Directory().Removed["x"], "it is back")
		})
	}
}

func TestConfigurationVersionNeverDecreases(t *testing.T) {
	d := newDirectory(decode, 2*time.Second)
	assert.NilError(t, d.applyItem(start, put("c", "5", 1)))
	assert.NilError(t, d.applyItem(start, put("c", "3", 2)))
	assert.Equal(t, d.publish(2).Config.Version, uint64(5))
	assert.NilError(t, d.applyItem(start, removal("c", 3)))
	assert.Equal(t, d.publish(3).Config.Version, uint64(5))
}

// fakeStore returns the items and errors that a test sets.
type fakeStore struct {
	items    []fleet.Item
	revision fleet.Revision
	err      error
	lists    int
	watches  int
}

func (s *fakeStore) List(context.Context, string) ([]fleet.Item, fleet.Revision, error) {
	s.lists++
	return s.items, s.revision, s.err
}

func (s *fakeStore) Watch(_ context.Context, _ string, after fleet.Revision, _ time.Duration) ([]fleet.Item, fleet.Revision, error) {
	s.watches++
	var out []fleet.Item
	for _, i := range s.items {
		if i.Revision > after {
			out = append(out, i)
		}
	}
	return out, s.revision, s.err
}

func (s *fakeStore) Revision(context.Context) (fleet.Revision, error) { return s.revision, s.err }

// fakePeers stands for one other VM.
type fakePeers struct {
	watcher bool
	relayed []Update
	config  fleet.Item
	pull    func(after fleet.Revision) (Update, error)
}

func (p *fakePeers) IsStoreWatcher() bool { return p.watcher }
func (p *fakePeers) VMCount() int         { return 7 }
func (p *fakePeers) Relay(u Update)       { p.relayed = append(p.relayed, u) }
func (p *fakePeers) Pull(_ context.Context, after fleet.Revision) (Update, error) {
	return p.pull(after)
}
func (p *fakePeers) QueryStoreWatcher(context.Context) (coord.VMID, Confirmation, error) {
	u, err := p.pull(0)
	return "b", Confirmation{LastChange: u.To, ConfirmedAge: u.ConfirmedAge}, err
}
func (p *fakePeers) PullFrom(_ context.Context, _ coord.VMID, after fleet.Revision) (Update, error) {
	return p.pull(after)
}

func (p *fakePeers) PullConfig(context.Context, coord.VMID) (fleet.Item, error) {
	return p.config, nil
}

type fixture struct {
	store   *fakeStore
	peers   *fakePeers
	feed    *Feed
	now     time.Time
	dropped []string
}

func newFixture() *fixture {
	x := &fixture{
		store: &fakeStore{revision: 5, items: []fleet.Item{put("c", "1", 4), put("t1", "x", 5)}},
		peers: &fakePeers{pull: func(fleet.Revision) (Update, error) { return Update{}, errors.New("no peer responds") }},
		now:   start,
	}
	x.feed = New(Config{
		Store: x.store, Peers: x.peers, Prefixes: []string{""}, Decode: decode,
		Trim: func(i fleet.Item) fleet.Item { return i }, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second,
		OnChange: func(*Directory) {}, OnRemoved: func(ids []string) { x.dropped = append(x.dropped, ids...) },
		Log: events.Discard(), Now: func() time.Time { return x.now },
	})
	return x
}

// advance moves the clock forward on a VM that keeps running.
func (x *fixture) advance(d time.Duration) {
	const heartbeat = 200 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(min(heartbeat, end.Sub(x.now)))
		x.feed.Expire()
	}
}

func (x *fixture) step(t *testing.T) { x.feed.step(t.Context()) }

func TestFirstReadListsTheStore(t *testing.T) {
	x := newFixture()
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Age(), time.Duration(0))
}

func TestInitialLoadFallsBackToAPeer(t *testing.T) {
	x := newFixture()
	x.store.err = errors.New("store unavailable")
	x.peers.pull = func(fleet.Revision) (Update, error) {
		return Update{Snapshot: true, To: 5, Items: x.store.items, Age: 2 * time.Second}, nil
	}
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Age(), 2*time.Second)
}

// TestEmptyFeedPullsFromAPeerWithData verifies that a VM that could not read anything yet pulls
// from a peer that reports data.
func TestEmptyFeedPullsFromAPeerWithData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture()
		defer x.feed.cfg.Log.Close()
		x.store.err = errors.New("store unavailable")
		x.step(t)
		pulls := 0
		x.peers.pull = func(after fleet.Revision) (Update, error) {
			pulls++
			return Update{Snapshot: true, To: 5, Items: x.store.items}, nil
		}
		x.feed.ObserveState("b", State{Age: unknownAge})
		synctest.Wait()
		assert.Equal(t, pulls, 0, "the peer has no data either")
		x.feed.ObserveState("b", State{LastChange: 5, To: 5})
		synctest.Wait()
		assert.Equal(t, pulls, 1)
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	})
}

func TestStoreWatcherRelaysChanges(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.watcher = true
	x.store.items = append(x.store.items, put("c", "2", 6))
	x.store.revision = 6
	x.step(t)
	assert.Equal(t, len(x.peers.relayed), 1)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
}

// TestDirectReadRelaysChangesOnce covers a VM that reads the store itself because the store
// watchers, and the other VMs with them, have lost the store.
func TestDirectReadRelaysChangesOnce(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.store.items = append(x.store.items, removal("t1", 6))
	x.store.revision = 6
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, len(x.peers.relayed), 1)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, len(x.peers.relayed), 1, "known changes must not be relayed again")
}

// TestTargetStaysDrainingDuringStoreOutage verifies that a target that a VM has read as draining
// stays draining while the store is unavailable.
func TestTargetStaysDrainingDuringStoreOutage(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.watcher = true
	x.store.items = []fleet.Item{put("t1", leavingValue, 6)}
	x.store.revision = 6
	x.step(t)
	x.store.err = errors.New("store unavailable")
	for range 20 {
		x.now = x.now.Add(time.Second)
		x.step(t)
		x.feed.Expire()
		assert.Equal(t, x.feed.Directory().Targets[leavingValue].State, fleet.TargetDraining)
	}
}

func TestNonWatcherReadsOnlyWhenStale(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.step(t)
	assert.Equal(t, x.store.watches, 0)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, x.store.watches, 1)
	assert.Equal(t, len(x.peers.relayed), 0)
}

func TestCompactedHistoryIsRelisted(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.watcher = true
	x.store.err = fleet.ErrCompacted
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
}

func TestVMRejectedByTheStorePullsFromAPeer(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.store.err = errors.New("store rejected the call")
	x.peers.pull = func(after fleet.Revision) (Update, error) {
		return Update{From: after, To: 6, Items: []fleet.Item{put("c", "2", 6)}}, nil
	}
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
}

func TestGapIsFilledFromTheSender(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.pull = func(after fleet.Revision) (Update, error) {
		assert.Equal(t, after, fleet.Revision(5))
		return Update{From: 5, To: 8, Items: []fleet.Item{put("c", "2", 6), put("t2", "y", 8)}}, nil
	}
	x.feed.ApplyFromPeer("vm", Update{From: 7, To: 8, Items: []fleet.Item{put("t2", "y", 8)}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
	assert.Equal(t, len(x.feed.Directory().Targets), 2)
}

func TestStoreWatcherDoesNotRelayUnchangedItems(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.watcher = true
	x.store.items = []fleet.Item{put("t1", "x", 9)} // rewritten without a change
	x.store.revision = 9
	x.step(t)
	assert.Equal(t, len(x.peers.relayed), 0)
	assert.Equal(t, x.feed.Revision(), fleet.Revision(9))
}

func TestObserveState(t *testing.T) {
	for _, row := range []struct {
		name           string
		lastChange, to fleet.Revision
		pulled         bool
		revision       fleet.Revision
		fresh          bool
	}{
		{"nothing new", 5, 5, false, 5, true},
		{"nothing new up to a later revision", 5, 90, false, 90, true},
		{"a change that is missing here", 7, 8, true, 8, true},
		{"a VM that is behind", 3, 4, false, 5, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture()
			x.step(t)
			pulled := make(chan fleet.Revision, 1)
			x.peers.pull = func(after fleet.Revision) (Update, error) {
				pulled <- after
				return Update{From: 5, To: 8, Items: []fleet.Item{put("c", "2", 7)}}, nil
			}
			x.now = x.now.Add(time.Second)
			x.feed.ObserveState("vm", State{LastChange: row.lastChange, To: row.to, Age: 100 * time.Millisecond, ReadCount: 2})
			if row.pulled {
				assert.Equal(t, <-pulled, fleet.Revision(5))
				for x.feed.Revision() != row.revision {
					runtime.Gosched()
				}
				return
			}
			assert.Equal(t, x.feed.Revision(), row.revision)
			assert.Equal(t, x.feed.Age() < time.Second, row.fresh)
		})
	}
}

func TestUndecodableItemKeepsTheOldValue(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{put("?", "", 6)}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Revision(), fleet.Revision(6))
}

func TestExpireReportsDroppedTargets(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{removal("t1", 6)}})
	x.feed.Expire()
	assert.Equal(t, len(x.feed.Directory().Targets), 1)
	x.now = x.now.Add(maxRemovalGrace)
	x.feed.Expire()
	assert.Equal(t, len(x.feed.Directory().Targets), 0)
	assert.DeepEqual(t, x.dropped, []string{"x"})
}
