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

func TestCache(t *testing.T) {
	first := Update{Snapshot: true, To: 10, Items: []fleet.Item{put("a", "1", 3), put("b", "1", 9)}}
	for _, row := range []struct {
		name    string
		updates []Update
		gap     bool // of the last one
		want    map[string]string
		at      fleet.Revision
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
			assert.Equal(t, c.revision, row.at)
		})
	}
}

func TestChangeBeforeAnySnapshotIsAGap(t *testing.T) {
	gap := newCache().apply(start, Update{From: 0, To: 5}).gap
	assert.Assert(t, gap)
}

func TestSince(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10, Items: []fleet.Item{put("a", "1", 3)}})
	c.apply(start, Update{From: 10, To: 12, Items: []fleet.Item{put("b", "1", 11), put("a", "2", 12)}})
	u := c.since(start.Add(time.Second), 11)
	assert.Assert(t, !u.Snapshot)
	assert.Equal(t, len(u.Items), 1)
	assert.Equal(t, u.Age, time.Second)
	u = c.since(start, 4)
	assert.Assert(t, u.Snapshot, "what changed before the snapshot is not known")
	assert.Equal(t, len(u.Items), 2)
}

// TestOlderSnapshotDoesNotHideChanges: a VM that starts lists the store, which takes several
// calls, and hears of a change meanwhile. What it tells others afterwards must have that
// change, since they take it for all that there is.
func TestOlderSnapshotDoesNotHideChanges(t *testing.T) {
	base := []fleet.Item{put("a", "1", 3), put("c", "1", 4)}
	for _, row := range []struct {
		name   string
		listed fleet.Revision // the revision of the list that comes last
		asked  fleet.Revision // the revision from which the other VM asks
	}{
		{"asked from the list's revision", 11, 11},
		{"asked from between", 10, 11},
		{"asked from before", 11, 10},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, Update{Snapshot: true, To: 10, Items: base, ReadCount: 1})
			c.apply(start, Update{From: 10, To: 12, Items: []fleet.Item{put("c", "2", 12)}, ReadCount: 2})
			c.apply(start, Update{Snapshot: true, To: row.listed, Items: base, ReadCount: 1})
			other := newCache()
			other.apply(start, Update{Snapshot: true, To: row.asked, Items: base, ReadCount: 1})
			other.apply(start, c.since(start, row.asked))
			assert.Equal(t, other.revision, fleet.Revision(12))
			assert.Equal(t, string(other.items["c"].Value), "2")
		})
	}
}

// TestLogKeepsWhatCameOutOfOrder: of changes that came in another order than they were
// made, those that are forgotten first may be the newer ones.
func TestLogKeepsWhatCameOutOfOrder(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 1})
	c.apply(start, Update{From: 1, To: 5000, Items: []fleet.Item{put("newer", "1", 5000), put("older", "1", 2)}})
	many := Update{From: 1, To: 3 + maxChanges}
	for i := range fleet.Revision(maxChanges) {
		many.Items = append(many.Items, put(fmt.Sprint("k", i), "1", 3+i))
	}
	c.apply(start, many)
	u := c.since(start, 4000)
	assert.Assert(t, u.Snapshot || len(u.Items) == 1, "the change at 5000 is told")
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

func TestFreshnessComesFromTheNewest(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10})
	c.apply(start.Add(time.Second), Update{From: 8, To: 9})
	assert.Equal(t, c.fresh, start, "an older revision tells nothing about now")
	c.apply(start.Add(time.Second), Update{From: 10, To: 10, Age: 300 * time.Millisecond, ReadCount: 1})
	assert.Equal(t, c.fresh, start.Add(700*time.Millisecond))
	c.apply(start.Add(2*time.Second), Update{From: 10, To: 10, Age: -1, ReadCount: 2})
	assert.Equal(t, c.fresh, start.Add(700*time.Millisecond), "unknown age")
}

// TestUnknownAgeStaysUnknown: messages carry ages in ms.
func TestUnknownAgeStaysUnknown(t *testing.T) {
	assert.Assert(t, newFixture().feed.State().Age.Milliseconds() < 0)
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: 10, Age: unknownAge})
	assert.Assert(t, c.since(start, 10).Age.Milliseconds() < 0)
}

// TestOneReadDoesNotRenewACopy: the word of a read may come by many ways, each with the
// time of its messages missing from the age.
func TestOneReadDoesNotRenewACopy(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, row := range []struct {
		name  string
		to    fleet.Revision
		reads uint64
		age   time.Duration
		fresh int // ms
	}{
		{"the same read, slower", 10, 4, 500 * time.Millisecond, 300},
		{"the same read, quicker", 10, 4, 800 * time.Millisecond, 200},
		{"a later read", 10, 5, 200 * time.Millisecond, 800},
		{"a read of a later revision", 11, 1, 200 * time.Millisecond, 800},
		{"an earlier read, which came late", 10, 3, 100 * time.Millisecond, 300},
		{"a read of an earlier revision", 9, 9, 100 * time.Millisecond, 300},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(at(300), Update{Snapshot: true, To: 10, ReadCount: 4})
			c.confirm(at(1000), State{To: row.to, Age: row.age, ReadCount: row.reads})
			assert.Equal(t, c.fresh, at(row.fresh))
		})
	}
}

// decode reads "t:ID" as a target and "c:N" as configuration version N.
// leaving is the value of a target that leaves.
const leaving = "l"

func decode(i fleet.Item) (fleet.Decoded, error) {
	switch i.Key[0] {
	case 't':
		t := &fleet.Target{ID: string(i.Value), Service: "s"}
		if string(i.Value) == leaving {
			t.State = fleet.TargetDraining
		}
		return fleet.Decoded{Target: t}, nil
	case 'c':
		return fleet.Decoded{Config: &fleet.Config{Version: uint64(i.Value[0] - '0')}}, nil
	}
	return fleet.Decoded{}, errors.New("no such kind")
}

// TestDrainBoundShortensTheGrace: a deployment may want leaving targets left alone
// sooner than a lost announcement is back.
func TestDrainBoundShortensTheGrace(t *testing.T) {
	assert.Equal(t, newDirectory(decode, time.Second).grace, 650*time.Millisecond)
	assert.Equal(t, newDirectory(decode, time.Minute).grace, goneAfter)
}

func TestDirectoryKeepsRemovedTargetsForAMoment(t *testing.T) {
	for _, row := range []struct {
		name  string
		away  bool
		after time.Duration
		back  bool
		want  bool
	}{
		{"just removed", false, goneAfter - 1, false, true},
		{"removed for good", false, goneAfter, false, false},
		{"back in time", false, goneAfter, true, true},
		{"the store was away", true, goneAfter, false, true},
		{"the store was away, long back", true, lapseGrace, false, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			d := newDirectory(decode, 2*time.Second)
			assert.NilError(t, d.take(start, put("t1", "x", 1)))
			if row.away {
				d.returned(start)
			}
			assert.NilError(t, d.take(start, removal("t1", 2)))
			if row.back {
				assert.NilError(t, d.take(start.Add(time.Second), put("t1", "x", 3)))
			}
			d.expire(start.Add(row.after))
			_, held := d.publish(3).Targets["x"]
			assert.Equal(t, held, row.want)
		})
	}
}

// TestRemovalIsHeardLate: what is known to have been removed must not stay in use as if it
// had been removed only now, or as if its announcement had lapsed while the store was away.
//
// The story: a VM that placed requests stood still for 3.2 s. When it woke it heard that an
// engine's announcement had been removed 3.2 s before, and placed requests there on. An
// entry VM had left the engine alone 1.6 s before; it sent a request there all the same,
// 3.375 s after the engine's word, since the verdict rested on a newer copy than its own.
func TestRemovalIsHeardLate(t *testing.T) {
	word := PropagationBound(3*time.Second, 3*time.Second)
	for _, row := range []struct {
		name   string
		within time.Duration
		// age is that of the copy before, ticked how long before the removal was heard
		// the VM last looked at its timers.
		age, ticked time.Duration
		// stays is how long the target stays then; 0: not at all.
		stays time.Duration
	}{
		{"heard at once", 2 * time.Second, 300 * time.Millisecond, 0, goneAfter},
		{"heard late, small fleets", 2 * time.Second, 1200 * time.Millisecond, 0, 700 * time.Millisecond},
		{"heard late, large fleets", 3 * time.Second, word, 0, 1150 * time.Millisecond},
		{"the store was away, small fleets", 2 * time.Second, awayAfter + 1, 0, lapseGrace},
		{"the store was away, large fleets", 3 * time.Second, word + 1, 0, lapseGrace},
		{"this VM stood still", 3 * time.Second, 3200 * time.Millisecond, 3200 * time.Millisecond, 0},
		{"this VM stood still for a moment", 3 * time.Second, 2 * time.Second, 2 * time.Second, 900 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture()
			x.feed.cfg.ApplyWithin, x.feed.cfg.DrainWithin = row.within, row.within
			x.feed.dir = newDirectory(decode, row.within)
			x.step(t)
			x.run(row.age - row.ticked)
			x.now = x.now.Add(row.ticked)
			x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{removal("t1", 6)}, ReadCount: 9})
			held := func() bool { return x.feed.Directory().Targets["x"] != nil }
			if row.stays > 0 {
				x.now = x.now.Add(row.stays - 1)
				x.feed.Expire()
				assert.Assert(t, held(), "stays for a moment")
				x.now = x.now.Add(1)
				x.feed.Expire()
			}
			assert.Assert(t, !held())
			assert.Assert(t, x.feed.Directory().Removed["x"])
			x.feed.Apply(Update{From: 6, To: 7, Items: []fleet.Item{put("t1", "x", 7)}, ReadCount: 10})
			assert.Assert(t, held() && !x.feed.Directory().Removed["x"], "it is back")
		})
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	d := newDirectory(decode, 2*time.Second)
	assert.NilError(t, d.take(start, put("c", "5", 1)))
	assert.NilError(t, d.take(start, put("c", "3", 2)))
	assert.Equal(t, d.publish(2).Config.Version, uint64(5))
	assert.NilError(t, d.take(start, removal("c", 3)))
	assert.Equal(t, d.publish(3).Config.Version, uint64(5))
}

// fakeStore answers with what a test puts in.
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

// fakePeers is one other VM.
type fakePeers struct {
	reader bool
	passed []Update
	config fleet.Item
	pull   func(after fleet.Revision) (Update, error)
}

func (p *fakePeers) IsStoreWatcher() bool { return p.reader }
func (p *fakePeers) VMCount() int         { return 7 }
func (p *fakePeers) Relay(u Update)       { p.passed = append(p.passed, u) }
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
	store *fakeStore
	peers *fakePeers
	feed  *Feed
	now   time.Time
	gone  []string
}

func newFixture() *fixture {
	x := &fixture{
		store: &fakeStore{revision: 5, items: []fleet.Item{put("c", "1", 4), put("t1", "x", 5)}},
		peers: &fakePeers{pull: func(fleet.Revision) (Update, error) { return Update{}, errors.New("nobody") }},
		now:   start,
	}
	x.feed = New(Config{
		Store: x.store, Peers: x.peers, Prefixes: []string{""}, Decode: decode,
		Trim: func(i fleet.Item) fleet.Item { return i }, ApplyWithin: 2 * time.Second, DrainWithin: 2 * time.Second,
		OnChange: func(*Directory) {}, OnRemoved: func(ids []string) { x.gone = append(x.gone, ids...) },
		Log: events.Discard(), Now: func() time.Time { return x.now },
	})
	return x
}

// run lets time pass on a VM that runs.
func (x *fixture) run(d time.Duration) {
	const heartbeat = 200 * time.Millisecond
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(min(heartbeat, end.Sub(x.now)))
		x.feed.Expire()
	}
}

func (x *fixture) step(t *testing.T) { x.feed.step(t.Context()) }

func TestFirstReadIsOfEverything(t *testing.T) {
	x := newFixture()
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Age(), time.Duration(0))
}

func TestStoreAwayAtStartAPeerHelps(t *testing.T) {
	x := newFixture()
	x.store.err = errors.New("away")
	x.peers.pull = func(fleet.Revision) (Update, error) {
		return Update{Snapshot: true, To: 5, Items: x.store.items, Age: 2 * time.Second}, nil
	}
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Age(), 2*time.Second)
}

// TestStartedVMAsksWhoKnows: a VM that could read nothing yet learns of one that has.
func TestStartedVMAsksWhoKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture()
		defer x.feed.cfg.Log.Close()
		x.store.err = errors.New("away")
		x.step(t)
		pulls := 0
		x.peers.pull = func(after fleet.Revision) (Update, error) {
			pulls++
			return Update{Snapshot: true, To: 5, Items: x.store.items}, nil
		}
		x.feed.ObserveState("b", State{Age: unknownAge})
		synctest.Wait()
		assert.Equal(t, pulls, 0, "that one has nothing either")
		x.feed.ObserveState("b", State{LastChange: 5, To: 5})
		synctest.Wait()
		assert.Equal(t, pulls, 1)
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	})
}

func TestReaderPassesOn(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.reader = true
	x.store.items = append(x.store.items, put("c", "2", 6))
	x.store.revision = 6
	x.step(t)
	assert.Equal(t, len(x.peers.passed), 1)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
}

// TestWhoReadsByItselfPassesOn: the readers have lost the store, and the others with them.
func TestWhoReadsByItselfPassesOn(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.store.items = append(x.store.items, removal("t1", 6))
	x.store.revision = 6
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, len(x.peers.passed), 1)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, len(x.peers.passed), 1, "what is known is not passed on again")
}

// TestLeavingTargetStaysSoWhileTheStoreIsAway: a VM is bound by what it has read itself.
func TestLeavingTargetStaysSoWhileTheStoreIsAway(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.reader = true
	x.store.items = []fleet.Item{put("t1", leaving, 6)}
	x.store.revision = 6
	x.step(t)
	x.store.err = errors.New("away")
	for range 20 {
		x.now = x.now.Add(time.Second)
		x.step(t)
		x.feed.Expire()
		assert.Equal(t, x.feed.Directory().Targets[leaving].State, fleet.TargetDraining)
	}
}

func TestOthersReadOnlyWhenStale(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.step(t)
	assert.Equal(t, x.store.watches, 0)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.step(t)
	assert.Equal(t, x.store.watches, 1)
	assert.Equal(t, len(x.peers.passed), 0)
}

func TestHistoryGoneReadsAllAgain(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.reader = true
	x.store.err = fleet.ErrCompacted
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
}

func TestTurnedAwayVMAsksAnother(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.now = x.now.Add(x.feed.staleAfter() + staleJitter)
	x.store.err = errors.New("turned away")
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

func TestReaderPassesOnNothingWhereNothingChanged(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.peers.reader = true
	x.store.items = []fleet.Item{put("t1", "x", 9)} // written again, the same
	x.store.revision = 9
	x.step(t)
	assert.Equal(t, len(x.peers.passed), 0)
	assert.Equal(t, x.feed.Revision(), fleet.Revision(9))
}

func TestHeard(t *testing.T) {
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

func TestUnreadableItemLeavesTheOldValue(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{put("?", "", 6)}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Revision(), fleet.Revision(6))
}

func TestExpireTellsWhoIsGone(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.feed.Apply(Update{From: 5, To: 6, Items: []fleet.Item{removal("t1", 6)}})
	x.feed.Expire()
	assert.Equal(t, len(x.feed.Directory().Targets), 1)
	x.now = x.now.Add(goneAfter)
	x.feed.Expire()
	assert.Equal(t, len(x.feed.Directory().Targets), 0)
	assert.DeepEqual(t, x.gone, []string{"x"})
}
