package feed

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// revokeWithin is the bound of the users' deployment.
const revokeWithin = 5 * time.Second

// decodeKeyed reads a configuration of these tests: its version and the keys of one team.
func decodeKeyed(item fleet.Item) (fleet.Decoded, error) {
	if item.Key != "c" {
		return decode(item)
	}
	var w struct {
		Version uint64
		Keys    []string
	}
	if err := json.Unmarshal(item.Value, &w); err != nil {
		return fleet.Decoded{}, err
	}
	team := &fleet.Team{Name: "crew"}
	for _, k := range w.Keys {
		team.Keys = append(team.Keys, fleet.DigestOf(k))
	}
	return fleet.Decoded{Config: &fleet.Config{Version: w.Version, Teams: fleet.NewTeams([]*fleet.Team{team}, true)}}, nil
}

// serves reports what a VM would do with a request with a key, as internal/gateway does.
func serves(f *Feed, key string) (runs, judges bool) {
	proven := f.ConfirmedAge()
	d := f.Directory()
	if d.Config == nil || proven > time.Duration(KeyAgeShare*float64(revokeWithin)) {
		return false, false
	}
	team, _ := d.Config.Teams.Lookup(fleet.DigestOf(key))
	return team != nil, true
}

// keyedFleet is a fleet whose configuration has the keys "stays" and "goes".
func keyedFleet(seed uint64, log *events.Log) *vmFleet {
	f := newVMFleet(seed, 3*time.Second, 3*time.Second, log)
	f.message = quickMessage
	f.put("c", `{"Version":1,"Keys":["stays","goes"]}`)
	for n := range f.feeds {
		cfg := f.feeds[n].cfg
		cfg.Decode, cfg.ConfirmWithin = decodeKeyed, revokeWithin
		f.feeds[n] = New(cfg)
	}
	return f
}

// prove lets all VMs prove their copies until the context ends.
func (f *vmFleet) prove(ctx context.Context) {
	for _, feed := range f.feeds {
		go feed.RunConfirmation(ctx)
	}
}

// TestKeyThatWasTakenAwayDoesNotRun: whatever becomes of some VMs, none of them runs a request
// with a key later than the bound after it was taken away, and those that reach the store, or
// a VM that does, go on serving the key that stays.
//
// The story: a VM's copy of the store was as old as others told it was. What a stalled link
// held for three seconds, or a frozen process read late, told an age of three seconds before,
// and the copy took itself for that much fresher: such a VM went on running a key that had
// been taken away 5 s before. Judged by the age that others told, VM 63 of 66 does so 5.05 s
// after in the row of messages that are held for 4 s, seed 0.
func TestKeyThatWasTakenAwayDoesNotRun(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	third := func(f func(n int)) {
		for n := fleetReaders; n < fleetVMs/3; n++ {
			f(n)
		}
	}
	for _, row := range []struct {
		name string
		// break lets something happen as the key goes; f.mu is held.
		break_ func(f *vmFleet)
		// blind VMs may stop serving the key that stays.
		blind bool
	}{
		{"nothing else happens", func(*vmFleet) {}, false},
		{"a third of the VMs are cut off from the others", func(f *vmFleet) { third(func(n int) { f.cut[n] = true }) }, false},
		{"a third are cut off from the store", func(f *vmFleet) { third(func(n int) { f.turnedAway[n] = true }) }, false},
		{"a third are cut off from both", func(f *vmFleet) { third(func(n int) { f.cut[n], f.turnedAway[n] = true, true }) }, true},
		{"all readers are cut off from the store", func(f *vmFleet) {
			for n := range fleetReaders {
				f.turnedAway[n] = true
			}
		}, false},
		{"a third hear all 3 s late", func(f *vmFleet) { third(func(n int) { f.held[n] = 3 * time.Second }) }, false},
		{"a third hear all 3 s late, and the store turns them away", func(f *vmFleet) {
			third(func(n int) { f.held[n], f.turnedAway[n] = 3*time.Second, true })
		}, true},
		{"all hear all 4 s late, and the store is away", func(f *vmFleet) {
			for n := range f.feeds {
				f.held[n], f.turnedAway[n] = 4*time.Second, true
			}
		}, true},
		{"the store is silent", func(f *vmFleet) {
			f.silent = true
			for n := range f.feeds {
				f.turnedAway[n] = true
			}
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := keyedFleet(seed, log)
					f.start(ctx)
					f.prove(ctx)
					time.Sleep(4 * time.Second)
					f.mu.Lock()
					row.break_(f)
					f.mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					f.put("c", `{"Version":2,"Keys":["stays"]}`)
					gone, wrong := time.Now(), ""
					for wrong == "" && time.Since(gone) < 15*time.Second {
						time.Sleep(50 * time.Millisecond)
						for n, feed := range f.feeds {
							if runs, _ := serves(feed, "goes"); runs && time.Since(gone) > revokeWithin {
								wrong = fmt.Sprintf("VM %d runs the key %v after", n, time.Since(gone))
							}
							if stays, _ := serves(feed, "stays"); !stays && !row.blind {
								wrong = fmt.Sprintf("VM %d refuses %v after; proven %v before", n, time.Since(gone), feed.ConfirmedAge())
							}
						}
					}
					f.mu.Lock()
					calls := f.calls
					f.mu.Unlock()
					cancel()
					time.Sleep(10 * time.Second) // what is held up ends
					assert.Equal(t, wrong, "", "seed %d", seed)
					assert.Assert(t, calls < 20*60, "%d calls to the store in 20 s", calls)
				})
			}
		})
	}
}

// TestKeyComesBack: a key that is given back, or whose VM gets its store back, is served again
// within the time of a configuration.
func TestKeyComesBack(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := keyedFleet(1, log)
		f.start(ctx)
		f.prove(ctx)
		time.Sleep(4 * time.Second)
		f.put("c", `{"Version":2,"Keys":[]}`)
		time.Sleep(3 * time.Second)
		for n, feed := range f.feeds {
			runs, judges := serves(feed, "goes")
			assert.Assert(t, !runs && judges, "VM %d, the last key of a team", n)
		}
		f.put("c", `{"Version":3,"Keys":["goes"]}`)
		time.Sleep(3 * time.Second)
		away := func(is bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for n := range f.feeds {
				f.turnedAway[n] = is
			}
		}
		away(true)
		time.Sleep(10 * time.Second)
		for _, feed := range f.feeds {
			_, judges := serves(feed, "goes")
			assert.Assert(t, !judges)
		}
		away(false)
		time.Sleep(3 * time.Second)
		for n, feed := range f.feeds {
			runs, _ := serves(feed, "goes")
			assert.Assert(t, runs, "VM %d", n)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestProof: what proves a copy, and how old it may be then.
func TestProof(t *testing.T) {
	whole := Update{Snapshot: true, To: 10, RequestedAt: start}
	for _, row := range []struct {
		name string
		u    Update
		want time.Duration
	}{
		{"a heartbeat's word", Update{From: 10, To: 11, Age: 0, ConfirmedAge: 0}, 3 * time.Second},
		{"an answer, however late", Update{From: 10, To: 11, ConfirmedAge: time.Second, RequestedAt: start.Add(time.Second + 500*time.Millisecond)}, 2500 * time.Millisecond},
		{"an answer that proves less", Update{From: 10, To: 11, ConfirmedAge: 9 * time.Second, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"an answer of a VM without a proof", Update{From: 10, To: 11, ConfirmedAge: unknownAge, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"an answer after a gap", Update{From: 12, To: 13, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"an answer of a VM that knows no more", Update{From: 8, To: 9, RequestedAt: start.Add(2 * time.Second)}, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, whole)
			now := start.Add(3 * time.Second)
			c.apply(now, row.u)
			assert.Equal(t, c.provenAge(now), row.want)
		})
	}
}

// TestProofByAReader: a copy that lacks nothing of a reader's is as proven as that one; one that
// lacks a change is not.
func TestProofByAReader(t *testing.T) {
	for _, row := range []struct {
		name   string
		p      Confirmation
		want   time.Duration
		behind bool
	}{
		{"nothing is missing", Confirmation{LastChange: 3, ConfirmedAge: 400 * time.Millisecond}, 1400 * time.Millisecond, false},
		{"a change is missing", Confirmation{LastChange: 11, ConfirmedAge: 0}, 3 * time.Second, true},
		{"the reader has no proof", Confirmation{LastChange: 3, ConfirmedAge: unknownAge}, 3 * time.Second, false},
		{"the reader's proof is older", Confirmation{LastChange: 3, ConfirmedAge: 8 * time.Second}, 3 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, Update{Snapshot: true, To: 10, RequestedAt: start, Items: []fleet.Item{put("a", "1", 3)}})
			assert.Equal(t, c.proveBy(start.Add(2*time.Second), row.p), row.behind)
			assert.Equal(t, c.provenAge(start.Add(3*time.Second)), row.want)
		})
	}
	assert.Assert(t, newCache().proveBy(start, Confirmation{}), "nothing was read yet")
}

// TestFrozenVMJudgesNoKeys: a VM that stood still knows so by its clock, before it has heard
// or read anything.
func TestFrozenVMJudgesNoKeys(t *testing.T) {
	x := newFixture()
	x.feed.cfg.ConfirmWithin = revokeWithin
	x.step(t)
	x.now = x.now.Add(6 * time.Second)
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin)
	x.feed.ObserveState("b", State{LastChange: 5, To: 9, ReadCount: 9})
	assert.Equal(t, x.feed.Age(), time.Duration(0), "what it is told has no bound")
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin)
	x.peers.pull = func(fleet.Revision) (Update, error) { return Update{}, errors.New("nobody") }
	x.step(t)
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin, "nothing was read: its copy seems young")
}
