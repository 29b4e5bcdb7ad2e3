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

// revisionIn returns a revision of an epoch.
func revisionIn(epoch, number uint64) fleet.Revision {
	r, err := fleet.NewRevision(epoch, number)
	if err != nil {
		panic(err) // the numbers in tests are small
	}
	return r
}

// decodeReadyOrDraining decodes "c" as a configuration and "t" as a target: "ID" is ready, "!ID"
// drains.
func decodeReadyOrDraining(i fleet.Item) (fleet.Decoded, error) {
	if i.Key[0] == 'c' {
		return decode(i)
	}
	t := &fleet.Target{ID: string(i.Value), Service: "s"}
	if i.Value[0] == '!' {
		t.ID, t.State = string(i.Value[1:]), fleet.TargetDraining
	}
	return fleet.Decoded{Target: t}, nil
}

// TestCacheAfterStoreRestore verifies that the copy holds the complete content of the newest epoch.
func TestCacheAfterStoreRestore(t *testing.T) {
	first := Update{Snapshot: true, To: revisionIn(1, 100), Items: []fleet.Item{put("a", "1", revisionIn(1, 90)), put("b", "1", revisionIn(1, 95))}}
	restored := Update{Snapshot: true, To: revisionIn(2, 80), Items: []fleet.Item{put("a", "0", revisionIn(2, 70))}}
	for _, row := range []struct {
		name     string
		updates  []Update
		gap      bool // of the last update
		want     string
		revision fleet.Revision
	}{
		{"a snapshot with lower numbers", []Update{restored}, false, "map[a:0]", revisionIn(2, 80)},
		{"a change after it", []Update{restored, {From: revisionIn(2, 80), To: revisionIn(2, 85), Items: []fleet.Item{put("b", "2", revisionIn(2, 85))}}}, false, "map[a:0 b:2]", revisionIn(2, 85)},
		{"a change before it", []Update{{From: revisionIn(2, 80), To: revisionIn(2, 105), Items: []fleet.Item{put("c", "1", revisionIn(2, 101))}}}, true, "map[a:1 b:1]", revisionIn(1, 100)},
		{"a change from a revision that both have", []Update{{From: revisionIn(1, 90), To: revisionIn(2, 105), Items: []fleet.Item{put("c", "1", revisionIn(2, 101))}}}, true, "map[a:1 b:1]", revisionIn(1, 100)},
		{"a change of the earlier epoch", []Update{restored, {From: revisionIn(1, 100), To: revisionIn(1, 120), Items: []fleet.Item{put("a", "9", revisionIn(1, 110))}}}, false, "map[a:0]", revisionIn(2, 80)},
		{"a list of the earlier epoch", []Update{restored, first}, false, "map[a:0]", revisionIn(2, 80)},
		{"two restores", []Update{restored, {Snapshot: true, To: revisionIn(3, 5), Items: []fleet.Item{put("z", "1", revisionIn(3, 5))}}}, false, "map[z:1]", revisionIn(3, 5)},
		{"a store that starts to report epochs", []Update{{Snapshot: true, To: revisionIn(2, 1)}}, false, "map[]", revisionIn(2, 1)},
		{"a store that no longer reports epochs", []Update{{Snapshot: true, To: 200, Items: []fleet.Item{put("a", "7", 150)}}}, false, "map[a:1 b:1]", revisionIn(1, 100)},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, first)
			var last applyResult
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
			assert.Equal(t, c.revision, row.revision)
			other := newCache()
			other.apply(start, first)
			assert.Assert(t, !other.apply(start, c.since(start, other.revision)).gap, "peers must be able to apply the result of since")
			assert.Equal(t, other.revision, c.revision)
		})
	}
}

// TestConfirmationFromAnotherEpochIsIgnored verifies that copies of different epochs neither
// confirm nor refresh each other, whichever is the newer one and even if the older one has the
// higher number.
func TestConfirmationFromAnotherEpochIsIgnored(t *testing.T) {
	for _, row := range []struct {
		name      string
		own, peer fleet.Revision
		behind    bool
	}{
		{"this copy is of the earlier epoch", revisionIn(1, 100), revisionIn(2, 90), true},
		{"the peer's copy is of the earlier epoch", revisionIn(2, 90), revisionIn(1, 100), false},
	} {
		c := newCache()
		c.apply(start, Update{Snapshot: true, To: row.own, RequestedAt: start, Items: []fleet.Item{put("a", "1", row.own)}})
		now := start.Add(3 * time.Second)
		assert.Equal(t, c.confirmByPeer(now, Confirmation{LastChange: row.peer}), row.behind, row.name)
		assert.Equal(t, c.confirmedAge(now), 3*time.Second, row.name)
		assert.Equal(t, c.observeState(now, State{LastChange: row.peer, To: row.peer, ReadCount: 9}), row.behind, row.name)
		assert.Equal(t, c.freshAt, start, row.name)
		assert.Equal(t, c.revision, row.own, row.name)
	}
}

// TestConfirmationAfterStoreRestore verifies that only a read of the new epoch confirms the copy.
func TestConfirmationAfterStoreRestore(t *testing.T) {
	c := newCache()
	c.apply(start, Update{Snapshot: true, To: revisionIn(1, 100), RequestedAt: start.Add(time.Minute)})
	c.apply(start, Update{Snapshot: true, To: revisionIn(2, 80), RequestedAt: start.Add(time.Second)})
	assert.Equal(t, c.confirmedAt, start.Add(time.Second))
}

// TestTargetsAfterStoreRestore verifies that drained and removed targets stay so, that there is
// time to write again the entries that the older copy lacks, and that the configuration version
// does not decrease.
func TestTargetsAfterStoreRestore(t *testing.T) {
	x := newFixture()
	x.feed.dir = newDirectory(decodeReadyOrDraining, 2*time.Second)
	entry := func(key, value string, number uint64) fleet.Item { return put(key, value, revisionIn(1, number)) }
	x.feed.Apply(Update{Snapshot: true, To: revisionIn(1, 50), Items: []fleet.Item{
		entry("c", "1", 1), entry("t1", "stays", 2), entry("t2", "leaves", 3), entry("t3", "goes", 4), entry("t4", "is", 5),
	}})
	x.feed.Apply(Update{From: revisionIn(1, 50), To: revisionIn(1, 60), Items: []fleet.Item{
		entry("c", "2", 51), entry("t2", "!leaves", 52), removal("t3", revisionIn(1, 53)), entry("t5", "new", 54),
	}})
	x.advance(maxRemovalGrace + time.Second)
	state := func() map[string]string {
		out := map[string]string{}
		for id, t := range x.feed.Directory().Targets {
			out[id] = t.State.String()
		}
		return out
	}
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})

	x.feed.Apply(Update{Snapshot: true, To: revisionIn(2, 52), Items: []fleet.Item{
		put("c", "1", revisionIn(2, 1)), put("t1", "stays", revisionIn(2, 2)), put("t2", "leaves", revisionIn(2, 3)), put("t3", "goes", revisionIn(2, 4)), put("t4", "is", revisionIn(2, 5)),
	}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(2))
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})
	assert.Assert(t, x.feed.Directory().Removed["goes"])

	x.feed.Apply(Update{From: revisionIn(2, 52), To: revisionIn(2, 55), Items: []fleet.Item{
		put("t1", "stays", revisionIn(2, 53)), put("t2", "leaves", revisionIn(2, 54)), removal("t4", revisionIn(2, 55)),
	}})
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "is": "ready", "new": "ready"})
	x.advance(storeReturnGrace)
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining"})
	x.feed.Apply(Update{From: revisionIn(2, 55), To: revisionIn(2, 57), Items: []fleet.Item{put("c", "3", revisionIn(2, 56)), put("t5", "new", revisionIn(2, 57))}})
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(3))
	assert.DeepEqual(t, state(), map[string]string{"stays": "ready", "leaves": "draining", "new": "ready"})
}

// TestDroppedTargetReturnsAfterStoreRestore covers a target that was removed but is alive: it
// writes its entry again, with the value that the older copy has, or the entry is still listed
// after the lease of an entry that is not renewed has expired.
func TestDroppedTargetReturnsAfterStoreRestore(t *testing.T) {
	for name, writes := range map[string]bool{"the target writes again": true, "the entry stays listed": false} {
		x := newFixture()
		x.feed.Apply(Update{Snapshot: true, To: revisionIn(1, 5), Items: []fleet.Item{put("t1", "x", revisionIn(1, 5))}})
		x.feed.Apply(Update{From: revisionIn(1, 5), To: revisionIn(1, 6), Items: []fleet.Item{removal("t1", revisionIn(1, 6))}})
		x.advance(maxRemovalGrace + time.Second)
		x.feed.Apply(Update{Snapshot: true, To: revisionIn(2, 5), Items: []fleet.Item{put("t1", "x", revisionIn(2, 5))}})
		assert.Assert(t, x.feed.Directory().Targets["x"] == nil, name)
		if writes {
			x.feed.Apply(Update{From: revisionIn(2, 5), To: revisionIn(2, 6), Items: []fleet.Item{put("t1", "x", revisionIn(2, 6))}})
		} else {
			x.advance(deferralTime)
		}
		assert.Assert(t, x.feed.Directory().Targets["x"] != nil, name)
	}
}

// TestDeadTargetStaysDroppedAfterStoreRestore verifies that a dead target is not used again: its
// restored entry ends with its lease.
func TestDeadTargetStaysDroppedAfterStoreRestore(t *testing.T) {
	x := newFixture()
	x.feed.Apply(Update{Snapshot: true, To: revisionIn(1, 5), Items: []fleet.Item{put("t1", "x", revisionIn(1, 5))}})
	x.feed.Apply(Update{From: revisionIn(1, 5), To: revisionIn(1, 6), Items: []fleet.Item{removal("t1", revisionIn(1, 6))}})
	x.advance(maxRemovalGrace + time.Second)
	x.feed.Apply(Update{Snapshot: true, To: revisionIn(2, 5), Items: []fleet.Item{put("t1", "x", revisionIn(2, 5))}})
	x.advance(deferralTime / 2)
	x.feed.Apply(Update{From: revisionIn(2, 5), To: revisionIn(2, 6), Items: []fleet.Item{removal("t1", revisionIn(2, 6))}})
	x.advance(deferralTime)
	assert.Assert(t, x.feed.Directory().Targets["x"] == nil)
}

// TestLostConfigurationIsPulledFromAPeer verifies that a VM that never received a configuration
// that the store has lost pulls it from another VM, and that its copy of the store stays as it is.
func TestLostConfigurationIsPulledFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture()
		defer x.feed.cfg.Log.Close()
		x.feed.Apply(Update{Snapshot: true, To: revisionIn(2, 5), Items: []fleet.Item{put("c", "1", revisionIn(2, 4))}})
		x.peers.config = put("c", "4", revisionIn(1, 90))
		x.feed.ObserveState("b", State{LastChange: revisionIn(2, 4), To: revisionIn(2, 5), ConfigVersion: 4})
		synctest.Wait()
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(4))
		assert.Equal(t, x.feed.Revision(), revisionIn(2, 5))
		item, ok := x.feed.ActiveConfig()
		assert.Assert(t, ok && string(item.Value) == "4")
		x.feed.Apply(Update{From: revisionIn(2, 5), To: revisionIn(2, 6), Items: []fleet.Item{put("c", "2", revisionIn(2, 6))}})
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(4))
		x.feed.Apply(Update{From: revisionIn(2, 6), To: revisionIn(2, 7), Items: []fleet.Item{put("c", "5", revisionIn(2, 7))}})
		assert.Equal(t, x.feed.Directory().Config.Version, uint64(5))
	})
}

// TestWatchAnswersFromAnotherEpoch verifies that an answer of a later epoch leads to a list, and
// that one of an earlier epoch is dropped.
func TestWatchAnswersFromAnotherEpoch(t *testing.T) {
	x := newFixture()
	x.peers.watcher = true
	x.store.revision, x.store.items = revisionIn(2, 5), []fleet.Item{put("c", "1", revisionIn(2, 4))}
	x.step(t)
	x.store.revision, x.store.items = revisionIn(1, 9), []fleet.Item{put("c", "9", revisionIn(1, 9))}
	x.step(t)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(1))
	assert.Equal(t, x.feed.Revision(), revisionIn(2, 5))
	x.store.revision, x.store.items = revisionIn(3, 9), []fleet.Item{put("c", "3", revisionIn(3, 2))}
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
	assert.Equal(t, x.feed.Directory().Config.Version, uint64(3))
	assert.Equal(t, x.feed.Revision(), revisionIn(3, 9))
}

// TestEachCompactionWaitsForTheStoreWatcher verifies that each loss of the history waits for the
// watcher's list first, even long after a loss for which this VM did not have to list the store.
func TestEachCompactionWaitsForTheStoreWatcher(t *testing.T) {
	x := newFixture()
	x.step(t)
	x.store.err = fleet.ErrCompacted
	for n := range fleet.Revision(3) {
		x.now = x.now.Add(time.Minute)
		x.step(t)
		assert.Equal(t, x.store.lists, 1, "the VM must wait for the watcher's list")
		x.feed.Apply(Update{From: 5 + n, To: 6 + n})
	}
	x.now = x.now.Add(time.Minute)
	x.step(t)
	x.now = x.now.Add(maxListWait)
	x.step(t)
	assert.Equal(t, x.store.lists, 2)
}

// restore resets the store to an earlier revision under a new epoch.
func (f *vmFleet) restore(to fleet.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	epoch := f.revision.Epoch() + 1
	log := f.log
	f.items, f.log = map[string]fleet.Item{}, nil
	for _, i := range log {
		if i.Revision <= to {
			i.Revision = revisionIn(epoch, i.Revision.Number())
			f.items[i.Key] = i
			f.log = append(f.log, i)
		}
	}
	f.revision = revisionIn(epoch, to.Number())
}

// fleetRecorder records what each VM has in force, and reports what is reverted as violations.
type fleetRecorder struct {
	mu              sync.Mutex
	version         []uint64
	leaving         []map[string]bool
	configAppliedAt []time.Time // when the newest configuration came into force
	violations      []string
}

func (r *fleetRecorder) record(n int, d *Directory) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.Config.Version < r.version[n] {
		r.violations = append(r.violations, fmt.Sprintf("VM %d reverted from configuration %d to %d", n, r.version[n], d.Config.Version))
	}
	if d.Config.Version > r.version[n] {
		r.version[n], r.configAppliedAt[n] = d.Config.Version, time.Now()
	}
	for id, t := range d.Targets {
		if t.State == fleet.TargetDraining {
			r.leaving[n][id] = true
		} else if r.leaving[n][id] {
			r.violations = append(r.violations, fmt.Sprintf("VM %d uses draining target %s again", n, id))
		}
	}
}

// TestFleetAfterStoreRestore covers a store that has lost a configuration and a leave after an
// outage. The writes that follow must be in force on 66 VMs in time, nothing may be reverted, and
// only few VMs may list the store.
func TestFleetAfterStoreRestore(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	const bound = 2 * time.Second
	for _, row := range []struct {
		name            string
		revisionsPassed bool // the new revisions exceed the lost ones before the store is back
		isolatedVMs     int  // number of VMs that reach nothing until 20 s later
		rejectWatchers  bool // the store rejects all watchers when it is back
	}{
		{name: "new revisions are lower"},
		{name: "new revisions are higher", revisionsPassed: true},
		{name: "the store rejects the watchers", rejectWatchers: true},
		{name: "VMs reconnect later", isolatedVMs: 9},
		{name: "VMs reconnect later, new revisions are higher", isolatedVMs: 9, revisionsPassed: true},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(5) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newVMFleet(seed, bound, bound, log)
					f.messageDelay = idleMessageDelay
					recorder := &fleetRecorder{version: make([]uint64, fleetVMs), configAppliedAt: make([]time.Time, fleetVMs)}
					for n, feed := range f.feeds {
						recorder.leaving = append(recorder.leaving, map[string]bool{})
						feed.cfg.Decode, feed.dir.decode = decodeReadyOrDraining, decodeReadyOrDraining
						feed.cfg.OnChange = func(d *Directory) { recorder.record(n, d) }
					}
					f.start(ctx)
					f.put("t2", "y")
					time.Sleep(3 * time.Second)
					f.mu.Lock()
					before := f.revision
					f.mu.Unlock()
					f.put("c", "2")
					f.put("t1", "!x")
					for range 20 {
						f.put("t2", "y")
					}
					time.Sleep(bound)
					rejectFirst(f, fleetVMs)
					for n := range row.isolatedVMs {
						f.mu.Lock()
						f.isolated[fleetVMs-1-n] = true
						f.mu.Unlock()
					}
					time.Sleep(2 * time.Second)
					f.restore(before)
					f.put("c", "3")
					f.put("t2", "!y")
					for row.revisionsPassed && f.revisionNumber() <= before.Number()+30 {
						f.put("t1", "x")
					}
					f.mu.Lock()
					f.listCalls = 0
					f.mu.Unlock()
					if row.rejectWatchers {
						rejectFirst(f, fleetWatchers)
					} else {
						rejectFirst(f, 0)
					}
					f.rejectIsolated()
					recoveredAt := time.Now()
					time.Sleep(bound + time.Second)
					recorder.checkInForce(t, recoveredAt.Add(bound), fleetVMs-row.isolatedVMs)
					f.mu.Lock()
					listCalls := f.listCalls
					clear(f.isolated)
					clear(f.rejected)
					f.mu.Unlock()
					assert.Assert(t, listCalls <= 12, "%d VMs list the store", listCalls)
					time.Sleep(20 * time.Second)
					recorder.checkInForce(t, time.Now(), fleetVMs)
					recorder.mu.Lock()
					assert.Equal(t, len(recorder.violations), 0, "%v", recorder.violations)
					recorder.mu.Unlock()
					cancel()
					time.Sleep(5 * time.Second)
				})
			}
		})
	}
}

// rejectFirst makes the store reject the first VMs, and no others.
func rejectFirst(f *vmFleet, vms int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.feeds {
		f.rejected[n] = n < vms
	}
}

// rejectIsolated makes the store reject isolated VMs too.
func (f *vmFleet) rejectIsolated() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.isolated {
		f.rejected[n] = true
	}
}

func (f *vmFleet) revisionNumber() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision.Number()
}

// checkInForce checks that the first VMs had the newest configuration by the deadline and know that
// both targets leave.
func (r *fleetRecorder) checkInForce(t *testing.T, deadline time.Time, vms int) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range vms {
		assert.Assert(t, r.version[n] == 3 && !r.configAppliedAt[n].After(deadline), "VM %d has configuration %d in force", n, r.version[n])
		assert.Assert(t, r.leaving[n]["y"] && r.leaving[n]["x"], "VM %d knows the leaving targets %v", n, r.leaving[n])
	}
}
