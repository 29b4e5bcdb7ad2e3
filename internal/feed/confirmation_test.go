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

// revokeWithin is the bound within which a revoked key must be refused, as deployed.
const revokeWithin = 5 * time.Second

// decodeKeyed decodes a configuration that consists of its version and the keys of one team.
func decodeKeyed(item fleet.Item) (fleet.Decoded, error) {
	if item.Key != "c" {
		return decode(item)
	}
	var content struct {
		Version uint64
		Keys    []string
	}
	if err := json.Unmarshal(item.Value, &content); err != nil {
		return fleet.Decoded{}, err
	}
	team := &fleet.Team{Name: "crew"}
	for _, k := range content.Keys {
		team.Keys = append(team.Keys, fleet.DigestOf(k))
	}
	return fleet.Decoded{Config: &fleet.Config{Version: content.Version, Teams: fleet.NewTeams([]*fleet.Team{team}, true)}}, nil
}

// checkKey reports whether a VM would accept a request with the key, and whether its copy is recent
// enough to check keys at all, as internal/gateway does.
func checkKey(f *Feed, key string) (accepted, checked bool) {
	age := f.ConfirmedAge()
	d := f.Directory()
	if d.Config == nil || age > time.Duration(KeyAgeShare*float64(revokeWithin)) {
		return false, false
	}
	team, _ := d.Config.Teams.Lookup(fleet.DigestOf(key))
	return team != nil, true
}

// newKeyedFleet returns a fleet whose configuration has the keys "stays" and "goes".
func newKeyedFleet(seed uint64, log *events.Log) *vmFleet {
	f := newVMFleet(seed, 3*time.Second, 3*time.Second, log)
	f.messageDelay = idleMessageDelay
	f.put("c", `{"Version":1,"Keys":["stays","goes"]}`)
	for n := range f.feeds {
		cfg := f.feeds[n].cfg
		cfg.Decode, cfg.ConfirmWithin = decodeKeyed, revokeWithin
		f.feeds[n] = New(cfg)
	}
	return f
}

// runConfirmation starts RunConfirmation on all VMs until the context ends.
func (f *vmFleet) runConfirmation(ctx context.Context) {
	for _, feed := range f.feeds {
		go feed.RunConfirmation(ctx)
	}
}

// TestRevokedKeyIsRefusedAfterTheBound verifies that, whatever fault affects some VMs, none of them
// accepts a revoked key later than the bound after its revocation. VMs that reach the store, or a
// VM that does, must keep accepting the remaining key.
//
// It guards against VMs that take the age of their copy from the ages that peers report. A message
// delayed for three seconds by a stalled link, or read late by a suspended process, carries an age
// that was true three seconds before, which made the copy seem that much fresher. Such a VM
// accepted a key that had been revoked 5 s before. With reported ages, a VM does so 5.05 s after
// the revocation in the row of messages delayed by 4 s.
func TestRevokedKeyIsRefusedAfterTheBound(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	third := func(f func(n int)) {
		for n := fleetWatchers; n < fleetVMs/3; n++ {
			f(n)
		}
	}
	for _, row := range []struct {
		name string
		// injectFault starts a fault just before the key is revoked; f.mu is held.
		injectFault func(f *vmFleet)
		// mayRefuse allows VMs to refuse the remaining key.
		mayRefuse bool
	}{
		{"no fault", func(*vmFleet) {}, false},
		{"a third of the VMs are isolated from the others", func(f *vmFleet) { third(func(n int) { f.isolated[n] = true }) }, false},
		{"the store rejects a third", func(f *vmFleet) { third(func(n int) { f.rejected[n] = true }) }, false},
		{"a third are isolated, and the store rejects them", func(f *vmFleet) { third(func(n int) { f.isolated[n], f.rejected[n] = true, true }) }, true},
		{"the store rejects all watchers", func(f *vmFleet) {
			for n := range fleetWatchers {
				f.rejected[n] = true
			}
		}, false},
		{"a third receive everything 3 s late", func(f *vmFleet) { third(func(n int) { f.inboundDelay[n] = 3 * time.Second }) }, false},
		{"a third receive everything 3 s late, and the store rejects them", func(f *vmFleet) {
			third(func(n int) { f.inboundDelay[n], f.rejected[n] = 3*time.Second, true })
		}, true},
		{"all receive everything 4 s late, and the store rejects all", func(f *vmFleet) {
			for n := range f.feeds {
				f.inboundDelay[n], f.rejected[n] = 4*time.Second, true
			}
		}, true},
		{"the store is unresponsive", func(f *vmFleet) {
			f.hangs = true
			for n := range f.feeds {
				f.rejected[n] = true
			}
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			for seed := range uint64(3) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					f := newKeyedFleet(seed, log)
					f.start(ctx)
					f.runConfirmation(ctx)
					time.Sleep(4 * time.Second)
					f.mu.Lock()
					row.injectFault(f)
					f.mu.Unlock()
					time.Sleep(20 * time.Millisecond)
					f.put("c", `{"Version":2,"Keys":["stays"]}`)
					revokedAt, violation := time.Now(), ""
					for violation == "" && time.Since(revokedAt) < 15*time.Second {
						time.Sleep(50 * time.Millisecond)
						for n, feed := range f.feeds {
							if acceptsRevoked, _ := checkKey(feed, "goes"); acceptsRevoked && time.Since(revokedAt) > revokeWithin {
								violation = fmt.Sprintf("VM %d accepts the revoked key %v after the revocation", n, time.Since(revokedAt))
							}
							if acceptsRemaining, _ := checkKey(feed, "stays"); !acceptsRemaining && !row.mayRefuse {
								violation = fmt.Sprintf("VM %d refuses the remaining key %v after the revocation; its copy was confirmed %v before", n, time.Since(revokedAt), feed.ConfirmedAge())
							}
						}
					}
					f.mu.Lock()
					watchCalls := f.watchCalls
					f.mu.Unlock()
					cancel()
					time.Sleep(10 * time.Second) // delayed messages and calls end
					assert.Equal(t, violation, "", "seed %d", seed)
					assert.Assert(t, watchCalls < 20*60, "%d calls to the store in 20 s", watchCalls)
				})
			}
		})
	}
}

// TestReinstatedKeyIsServedAgain verifies that a key that is added back, or whose VM regains the
// store, is accepted again within the limit for applying a configuration.
func TestReinstatedKeyIsServedAgain(t *testing.T) {
	log := events.Discard()
	defer log.Close()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newKeyedFleet(1, log)
		f.start(ctx)
		f.runConfirmation(ctx)
		time.Sleep(4 * time.Second)
		f.put("c", `{"Version":2,"Keys":[]}`)
		time.Sleep(3 * time.Second)
		for n, feed := range f.feeds {
			accepted, checked := checkKey(feed, "goes")
			assert.Assert(t, !accepted && checked, "VM %d, the last key of a team", n)
		}
		f.put("c", `{"Version":3,"Keys":["goes"]}`)
		time.Sleep(3 * time.Second)
		setRejected := func(rejected bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for n := range f.feeds {
				f.rejected[n] = rejected
			}
		}
		setRejected(true)
		time.Sleep(10 * time.Second)
		for _, feed := range f.feeds {
			_, checked := checkKey(feed, "goes")
			assert.Assert(t, !checked)
		}
		setRejected(false)
		time.Sleep(3 * time.Second)
		for n, feed := range f.feeds {
			accepted, _ := checkKey(feed, "goes")
			assert.Assert(t, accepted, "VM %d", n)
		}
		cancel()
		time.Sleep(5 * time.Second)
	})
}

// TestConfirmationByUpdate verifies which updates confirm a copy, and its confirmed age afterwards.
func TestConfirmationByUpdate(t *testing.T) {
	snapshot := Update{Snapshot: true, To: 10, RequestedAt: start}
	for _, row := range []struct {
		name string
		u    Update
		want time.Duration
	}{
		{"an unrequested update", Update{From: 10, To: 11, Age: 0, ConfirmedAge: 0}, 3 * time.Second},
		{"a late response", Update{From: 10, To: 11, ConfirmedAge: time.Second, RequestedAt: start.Add(time.Second + 500*time.Millisecond)}, 2500 * time.Millisecond},
		{"a response with an earlier confirmation", Update{From: 10, To: 11, ConfirmedAge: 9 * time.Second, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"a response of an unconfirmed VM", Update{From: 10, To: 11, ConfirmedAge: unknownAge, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"a response after a gap", Update{From: 12, To: 13, RequestedAt: start.Add(2 * time.Second)}, 3 * time.Second},
		{"a response of a VM that is behind", Update{From: 8, To: 9, RequestedAt: start.Add(2 * time.Second)}, time.Second},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, snapshot)
			now := start.Add(3 * time.Second)
			c.apply(now, row.u)
			assert.Equal(t, c.confirmedAge(now), row.want)
		})
	}
}

// TestConfirmationByStoreWatcher verifies that a watcher's response confirms a copy that lacks none
// of the watcher's changes, and does not confirm one that lacks a change.
func TestConfirmationByStoreWatcher(t *testing.T) {
	for _, row := range []struct {
		name         string
		confirmation Confirmation
		want         time.Duration
		behind       bool
	}{
		{"nothing is missing", Confirmation{LastChange: 3, ConfirmedAge: 400 * time.Millisecond}, 1400 * time.Millisecond, false},
		{"a change is missing", Confirmation{LastChange: 11, ConfirmedAge: 0}, 3 * time.Second, true},
		{"the watcher is unconfirmed", Confirmation{LastChange: 3, ConfirmedAge: unknownAge}, 3 * time.Second, false},
		{"the watcher's confirmation is older", Confirmation{LastChange: 3, ConfirmedAge: 8 * time.Second}, 3 * time.Second, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := newCache()
			c.apply(start, Update{Snapshot: true, To: 10, RequestedAt: start, Items: []fleet.Item{put("a", "1", 3)}})
			assert.Equal(t, c.confirmByPeer(start.Add(2*time.Second), row.confirmation), row.behind)
			assert.Equal(t, c.confirmedAge(start.Add(3*time.Second)), row.want)
		})
	}
	assert.Assert(t, newCache().confirmByPeer(start, Confirmation{}), "nothing was read yet")
}

// TestSuspendedVMChecksNoKeys verifies that a VM that was suspended detects it by its clock, before
// it receives or reads anything.
func TestSuspendedVMChecksNoKeys(t *testing.T) {
	x := newFixture()
	x.feed.cfg.ConfirmWithin = revokeWithin
	x.step(t)
	x.now = x.now.Add(6 * time.Second)
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin)
	x.feed.ObserveState("b", State{LastChange: 5, To: 9, ReadCount: 9})
	assert.Equal(t, x.feed.Age(), time.Duration(0), "the transit time of a reported age is unbounded")
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin)
	x.peers.pull = func(fleet.Revision) (Update, error) { return Update{}, errors.New("no peer responds") }
	x.step(t)
	assert.Assert(t, x.feed.ConfirmedAge() > revokeWithin, "nothing was read, because the copy seems fresh")
}
