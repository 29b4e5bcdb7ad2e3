package feed

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// in returns a revision of an era.
func in(era, number uint64) fleet.Revision {
	r, err := fleet.NewRevision(era, number)
	if err != nil {
		panic(err) // the tests' numbers are small
	}
	return r
}

// readyOr decodes "c" as a configuration and "t" as targets: ID is ready, !ID leaves.
func readyOr(i fleet.Item) (fleet.Decoded, error) {
	if i.Key[0] == 'c' {
		return decode(i)
	}
	t := &fleet.Target{ID: string(i.Value), Service: "s"}
	if i.Value[0] == '!' {
		t.ID, t.State = string(i.Value[1:]), fleet.TargetDraining
	}
	return fleet.Decoded{Target: t}, nil
}

// TestCacheOfARestoredStore: what it holds is that of the newest era, whole.
func TestCacheOfARestoredStore(t *testing.T) {
	first := Update{Snapshot: true, To: in(1, 100), Items: []fleet.Item{put("a", "1", in(1, 90)), put("b", "1", in(1, 95))}}
	restored := Update{Snapshot: true, To: in(2, 80), Items: []fleet.Item{put("a", "0", in(2, 70))}}
	for _, row := range []struct {
		name    string
		updates []Update
		gap     bool // of the last one
		want    string
		at      fleet.Revision
	}{
		{"a snapshot with lower numbers", []Update{restored}, false, "map[a:0]", in(2, 80)},
		{"a change after it", []Update{restored, {From: in(2, 80), To: in(2, 85), Items: []fleet.Item{put("b", "2", in(2, 85))}}}, false, "map[a:0 b:2]", in(2, 85)},
		{"a change before it", []Update{{From: in(2, 80), To: in(2, 105), Items: []fleet.Item{put("c", "1", in(2, 101))}}}, true, "map[a:1 b:1]", in(1, 100)},
		{"a change from a revision that both have", []Update{{From: in(1, 90), To: in(2, 105), Items: []fleet.Item{put("c", "1", in(2, 101))}}}, true, "map[a:1 b:1]", in(1, 100)},
		{"an answer of the era that is over", []Update{restored, {From: in(1, 100), To: in(1, 120), Items: []fleet.Item{put("a", "9", in(1, 110))}}}, false, "map[a:0]", in(2, 80)},
		{"a list of the era that is over", []Update{restored, first}, false, "map[a:0]", in(2, 80)},
		{"two restorations", []Update{restored, {Snapshot: true, To: in(3, 5), Items: []fleet.Item{put("z", "1", in(3, 5))}}}, false, "map[z:1]", in(3, 5)},
		{"a store that names eras from now on", []Update{{Snapshot: true, To: in(2, 1)}}, false, "map[]", in(2, 1)},
		{"a store that names none any more", []Update{{Snapshot: true, To: 200, Items: []fleet.Item{put("a", "7", 150)}}}, false, "map[a:1 b:1]", in(1, 100)},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, first)
			var last applied
			for _, u := range row.updates {
				last = c.apply(start, u)
			}
			got := map[string]string{}
			for key, item := range c.items {
				if !item.Deleted {
					got[key] = string(item.Value)
				}
			}
			assert.Equal(t, last.gap, row.gap)
			assert.Equal(t, fmt.Sprint(got), row.want)
			assert.Equal(t, c.revision, row.at)
			other := newCache()
			other.apply(start, first)
			assert.Assert(t, !other.apply(start, c.since(start, other.revision)).gap, "others take what it tells")
			assert.Equal(t, other.revision, c.revision)
		})
	}
}

// TestProofOfAnotherEra: neither a copy of the older era proves one of the newer, nor the reverse, also
// with the higher number; nor does either confirm the other.
func TestProofOfAnotherEra(t *testing.T) {
	for _, row := range []struct {
		name      string
		own, that fleet.Revision
		behind    bool
	}{
		{"this one is of the older", in(1, 100), in(2, 90), true},
		{"the other one is of the older", in(2, 90), in(1, 100), false},
	} {
		c := newCache()
		c.apply(start, Update{Snapshot: true, To: row.own, RequestedAt: start, Items: []fleet.Item{put("a", "1", row.own)}})
		now := start.Add(3 * time.Second)
		assert.Equal(t, c.proveBy(now, Confirmation{LastChange: row.that}), row.behind, row.name)
		assert.Equal(t, c.provenAge(now), 3*time.Second, row.name)
		assert.Equal(t, c.confirm(now, State{LastChange: row.that, To: row.that, ReadCount: 9}), row.behind, row.name)
		assert.Equal(t, c.fresh, start, row.name)
		assert.Equal(t, c.revision, row.own, row.name)
	}
}

// TestProofOfARestoredStore: only a read of its era proves the copy.
func TestProofOfARestoredStore(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: in(1, 100), RequestedAt: start.Add(time.Minute)})
	c.apply(start, Update{Snapshot: true, To: in(2, 80), RequestedAt: start.Add(time.Second)})
	assert.Equal(t, c.proven, start.Add(time.Second))
}

// TestTargetsOfARestoredStore: those that left or are gone stay so, what the copy lacks has time to be
// written again, and the configuration does not go back.
func TestTargetsOfARestoredStore(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(readyOr, 2*time.Second)
	entry := func(key, value string, number uint64) fleet.Item { return put(key, value, in(1, number)) }
	x.feed.Apply(Update{Snapshot: true, To: in(1, 50), Items: []fleet.Item{
		entry("c", "1", 1), entry("t1", "stays", 2), entry("t2", "leaves", 3), entry("t3", "goes", 4), entry("t4", "is", 5),
	}})
	x.feed.Apply(Update{From: in(1, 50), To: in(1, 60), Items: []fleet.Item{
		entry("c", "2", 51), entry("t2", "!leaves", 52), removal("t3", in(1, 53)), entry("t5", "new", 54),
	}})
	x.run(goneAfter + time.Second)
	state := func() map[string]string {
		out := map[string]string{}
		for id, t := range x.feed.Directory().Targets {
			out[id] = t.State.String()
		}
		return out
	}
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})

	x.feed.Apply(Update{Snapshot: true, To: in(2, 52), Items: []fleet.Item{
		put("c", "1", in(2, 1)), put("t1", "stays", in(2, 2)), put("t2", "leaves", in(2, 3)), put("t3", "goes", in(2, 4)), put("t4", "is", in(2, 5)),
	}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})
	assert.Assert(t, x.feed.Directory().Removed["goes"])

	x.feed.Apply(Update{From: in(2, 52), To: in(2, 55), Items: []fleet.Item{
		put("t1", "stays", in(2, 53)), put("t2", "leaves", in(2, 54)), removal("t4", in(2, 55)),
	}})
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})
	x.run(lapseGrace)
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining"})
	x.feed.Apply(Update{From: in(2, 55), To: in(2, 57), Items: []fleet.Item{put("c", "3", in(2, 56)), put("t5", "new", in(2, 57))}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(3))
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "new": "ready"})
}

// TestTargetThatWasThoughtGoneIsAlive: it writes again, with the value that the copy has, or is still
// listed when the lease of an entry that nobody renews is over.
func TestTargetThatWasThoughtGoneIsAlive(t *testing.T) {
	for name, writes := range map[string]bool{"it writes": true, "it stays listed": false} {
		x := newFixture()
		x.feed.Apply(Update{Snapshot: true, To: in(1, 5), Items: []fleet.Item{put("t1", "x", in(1, 5))}})
		x.feed.Apply(Update{From: in(1, 5), To: in(1, 6), Items: []fleet.Item{removal("t1", in(1, 6))}})
		x.run(goneAfter + time.Second)
		x.feed.Apply(Update{Snapshot: true, To: in(2, 5), Items: []fleet.Item{put("t1", "x", in(2, 5))}})
		assert.Assert(t, x.feed.Directory().Targets["x"] == nil, name)
		if writes {
			x.feed.Apply(Update{From: in(2, 5), To: in(2, 6), Items: []fleet.Item{put("t1", "x", in(2, 6))}})
		} else {
			x.run(doubtTime)
		}
		assert.Assert(t, x.feed.Directory().Targets["x"] != nil, name)
	}
}

// TestDeadTargetOfARestoredStore is not used again: its entry ends with its lease.
func TestDeadTargetOfARestoredStore(t *testing.T) {
	x := newFixture()
	x.feed.Apply(Update{Snapshot: true, To: in(1, 5), Items: []fleet.Item{put("t1", "x", in(1, 5))}})
	x.feed.Apply(Update{From: in(1, 5), To: in(1, 6), Items: []fleet.Item{removal("t1", in(1, 6))}})
	x.run(goneAfter + time.Second)
	x.feed.Apply(Update{Snapshot: true, To: in(2, 5), Items: []fleet.Item{put("t1", "x", in(2, 5))}})
	x.run(doubtTime / 2)
	x.feed.Apply(Update{From: in(2, 5), To: in(2, 6), Items: []fleet.Item{removal("t1", in(2, 6))}})
	x.run(doubtTime)
	assert.Assert(t, x.feed.Directory().Targets["x"] == nil)
}

// TestVMThatNeverHadALostConfiguration takes it from another VM, and keeps its copy of the store.
func TestVMThatNeverHadALostConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture()
		defer x.feed.cfg.Log.Close()
		x.feed.Apply(Update{Snapshot: true, To: in(2, 5), Items: []fleet.Item{put("c", "1", in(2, 4))}})
		x.peers.config = put("c", "4", in(1, 90))
		x.feed.ObserveState("b", State{LastChange: in(2, 4), To: in(2, 5), ConfigVersion: 4})
		synctest.Wait()
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(4))
		assert.Equal(t, x.feed.Revision(), in(2, 5))
		item, ok := x.feed.ActiveConfig()
		assert.Assert(t, ok && string(item.Value) == "4")
		x.feed.Apply(Update{From: in(2, 5), To: in(2, 6), Items: []fleet.Item{put("c", "2", in(2, 6))}})
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(4))
		x.feed.Apply(Update{From: in(2, 6), To: in(2, 7), Items: []fleet.Item{put("c", "5", in(2, 7))}})
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(5))
	})
}

// TestAnswersOfAnotherEra: one of a later era is followed by a list, one of an earlier is dropped.
func TestAnswersOfAnotherEra(t *testing.T) {
	x := newFixture()
	x.peers.reader = true
	x.store.revision, x.store.items = in(2, 5), []fleet.Item{put("c", "1", in(2, 4))}
	x.step(t)
	x.store.revision, x.store.items = in(1, 9), []fleet.Item{put("c", "9", in(1, 9))}
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Revision(), in(2, 5))
	x.store.revision, x.store.items = in(3, 9), []fleet.Item{put("c", "3", in(3, 2))}
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(3))
	assert.Equal(t, x.feed.Revision(), in(3, 9))
}

// TestEachLossOfHistoryWaitsForAReader, also one long after the last that this VM did not have to list for.
func TestEachLossOfHistoryWaitsForAReader(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.store.err = fleet.ErrCompacted
	for n := range fleet.Revision(3) {
		x.now = x.now.Add(time.Minute)
		x.step(t)
		assert.Equal(t, x.store.lists, 1, "the reader's list is waited for")
		x.feed.Apply(Update{From: 5 + n, To: 6 + n})
	}
	x.now = x.now.Add(time.Minute)
	x.step(t)
	x.now = x.now.Add(maxListWait)
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
}

// restore takes the store back to an earlier revision.
func (f *vmFleet) restore(to fleet.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	era := f.at.Epoch() + 1
	log := f.log
	f.items, f.log = map[string]fleet.Item{}, nil
	for _, i := range log {
		if i.Revision <= to {
			i.Revision = in(era, i.Revision.Number())
			f.items[i.Key] = i
			f.log = append(f.log, i)
		}
	}
	f.at = in(era, to.Number())
}

// inForce watches what each VM has in force, and writes down what goes back.
type inForce struct {
	mu      sync.Mutex
	version []uint64
	leaving []map[string]bool
	at      []time.Time // of the newest configuration
	broken  []string
}

func (w *inForce) watch(n int, d *Directory) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if d.Config.Version < w.version[n] {
		w.broken = append(w.broken, fmt.Sprintf("VM %d goes from %d back to %d", n, w.version[n], d.Config.Version))
	}
	if d.Config.Version > w.version[n] {
		w.version[n], w.at[n] = d.Config.Version, time.Now()
	}
	for id, t := range d.Targets {
		if t.State == fleet.TargetDraining {
			w.leaving[n][id] = true
		} else if w.leaving[n][id] {
			w.broken = append(w.broken, fmt.Sprintf("VM %d uses %s again", n, id))
		}
	}
}

// TestFleetBeforeARestoredStore: after an outage the store has lost a configuration and a leave. What is
// written next is in force on 66 VMs in time, nothing goes back, and few of them list the store.
func TestFleetBeforeARestoredStore(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	const bound = 2 * time.Second
	for _, row := range []struct {
		name     string
		passed   bool // the new revisions pass the lost ones before the store is back
		cut      int  // so many VMs reach nothing until 20 s later
		turnAway bool // the store turns all readers away when it is back
	}{
		{name: "revisions are behind"},
		{name: "revisions have passed", passed: true},
		{name: "readers are turned away", turnAway: true},
		{name: "VMs come back later", cut: 9},
		{name: "VMs come back later, revisions have passed", cut: 9, passed: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newVMFleet(seed, bound, bound, log)
					f.message = quickMessage
					w := &inForce{version: make([]uint64, fleetVMs), at: make([]time.Time, fleetVMs)}
					for n, feed := range f.feeds {
						w.leaving = append(w.leaving, map[string]bool{})
						feed.cfg.Decode, feed.dir.decode = readyOr, readyOr
						feed.cfg.OnChange = func(d *Directory) { w.watch(n, d) }
					}
					f.start(ctx)
					f.put("t2", "y")
					time.Sleep(3 * time.Second)
					f.mu.Lock()
					before := f.at
					f.mu.Unlock()
					f.put("c", "2")
					f.put("t1", "!x")
					for range 20 {
						f.put("t2", "y")
					}
					time.Sleep(bound)
					away(f, fleetVMs)
					for n := range row.cut {
						f.mu.Lock()
						f.cut[fleetVMs-1-n] = true
						f.mu.Unlock()
					}
					time.Sleep(2 * time.Second)
					f.restore(before)
					f.put("c", "3")
					f.put("t2", "!y")
					for row.passed && f.number() <= before.Number()+30 {
						f.put("t1", "x")
					}
					f.mu.Lock()
					f.lists = 0
					f.mu.Unlock()
					if row.turnAway {
						away(f, fleetReaders)
					} else {
						away(f, 0)
					}
					f.turnAwayCut()
					back := time.Now()
					time.Sleep(bound + time.Second)
					w.inTime(t, back.Add(bound), fleetVMs-row.cut)
					f.mu.Lock()
					lists := f.lists
					clear(f.cut)
					clear(f.turnedAway)
					f.mu.Unlock()
					assert.Assert(t, lists <= 12, "%d VMs list the store", lists)
					time.Sleep(20 * time.Second)
					w.inTime(t, time.Now(), fleetVMs)
					w.mu.Lock()
					assert.Equal(t, len(w.broken), 0, "%v", w.broken)
					w.mu.Unlock()
					cancel()
					time.Sleep(5 * time.Second)
				})
			}
		})
	}
}

// away lets the store turn away the first VMs, and no others.
func away(f *vmFleet, vms int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.feeds {
		f.turnedAway[n] = n < vms
	}
}

// turnAwayCut lets VMs that are cut off not reach the store either.
func (f *vmFleet) turnAwayCut() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.cut {
		f.turnedAway[n] = true
	}
}

func (f *vmFleet) number() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at.Number()
}

// inTime checks that the first VMs had the newest configuration in time and know that t2 leaves.
func (w *inForce) inTime(t *testing.T, by time.Time, vms int) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	for n := range vms {
		assert.Assert(t, w.version[n] == 3 && !w.at[n].After(by), "VM %d has %d in force", n, w.version[n])
		assert.Assert(t, w.leaving[n]["y"] && w.leaving[n]["x"], "VM %d knows of %v", n, w.leaving[n])
	}
}
