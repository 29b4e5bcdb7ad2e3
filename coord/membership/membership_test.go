package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
)

const suspectAfter = 1500 * time.Millisecond

var start = time.Unix(100, 0)

// at returns the time a number of milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listed(ids ...coord.VMID) []membership.ListedVM {
	var list []membership.ListedVM
	for _, id := range ids {
		list = append(list, membership.ListedVM{ID: id, Zone: "h"})
	}
	return list
}

// newTracker returns a Tracker for VM a with version 5 of a list that contains a, b and c.
func newTracker() *membership.Tracker {
	t := membership.New(membership.Config{Self: "a", SuspectAfter: suspectAfter, Monitors: 3})
	t.ApplyList(start, 5, listed("a", "b", "c"))
	return t
}

// TestStateAfterFault checks the state of a VM after each kind of fault of the VM, or of the
// messages about it.
func TestStateAfterFault(t *testing.T) {
	for _, row := range []struct {
		name  string
		apply func(*membership.Tracker)
		want  membership.State
	}{
		{"no event", func(*membership.Tracker) {}, membership.Live},
		{"no heartbeats", func(t *membership.Tracker) {
			for ms := 0; ms <= 2000; ms += 500 {
				t.Tick(at(ms))
			}
		}, membership.Suspect},
		{"no heartbeats while this VM was suspended", func(t *membership.Tracker) {
			t.Tick(at(0))
			t.Tick(at(60_000))
		}, membership.Live},
		{"no heartbeats, then a heartbeat", func(t *membership.Tracker) {
			for ms := 0; ms <= 2000; ms += 500 {
				t.Tick(at(ms))
			}
			t.HandleHeartbeat(at(2100), "b", 1, false)
		}, membership.Live},
		{"suspicion by another VM", func(t *membership.Tracker) { t.HandleSuspicion(at(3), "b", 1) }, membership.Suspect},
		{"suspicion of an earlier incarnation", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 7, false)
			t.HandleSuspicion(at(3), "b", 6)
		}, membership.Live},
		{"late heartbeat of an earlier incarnation", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 7, false)
			t.HandleSuspicion(at(3), "b", 7)
			t.HandleHeartbeat(at(2), "b", 6, false)
		}, membership.Suspect},
		{"it announces that it is leaving", func(t *membership.Tracker) { t.HandleHeartbeat(at(1), "b", 1, true) }, membership.Leaving},
		{"it is leaving, then a heartbeat without the announcement arrives late", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 1, true)
			t.HandleHeartbeat(at(2), "b", 1, false)
		}, membership.Leaving},
		{"it left and has restarted", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 1, true)
			t.HandleHeartbeat(at(2), "b", 2, false)
		}, membership.Live},
		{"the list marks it as leaving", func(t *membership.Tracker) {
			list := listed("a", "b", "c")
			list[1].Leaving = true
			t.ApplyList(at(1), 6, list)
			t.HandleHeartbeat(at(2), "b", 3, false)
		}, membership.Leaving},
		{"older list without it", func(t *membership.Tracker) { t.ApplyList(at(1), 4, listed("a", "c")) }, membership.Live},
		{"same version of the list without it", func(t *membership.Tracker) { t.ApplyList(at(1), 5, listed("a", "c")) }, membership.Live},
	} {
		t.Run(row.name, func(t *testing.T) {
			tracker := newTracker()
			row.apply(tracker)
			assert.Equal(t, tracker.Member("b").State, row.want)
		})
	}
}

func TestApplyListReturnsDroppedVMs(t *testing.T) {
	tracker := newTracker()
	assert.DeepEqual(t, tracker.ApplyList(at(1), 6, listed("a", "c", "d")), []coord.VMID{"b"})
	assert.Assert(t, tracker.Member("b") == nil)
}

// TestMonitorsAgreeAcrossVMs checks that all VMs compute the same assignment of monitors.
func TestMonitorsAgreeAcrossVMs(t *testing.T) {
	ids := []coord.VMID{"a", "b", "c", "d", "e", "f", "g"}
	for _, self := range ids {
		tracker := membership.New(membership.Config{Self: self, SuspectAfter: suspectAfter, Monitors: 3})
		tracker.ApplyList(start, 1, listed(ids...))
		monitored := map[coord.VMID]bool{}
		for _, other := range ids {
			for _, m := range tracker.MonitorsOf(other) {
				if m == self {
					monitored[other] = true
				}
			}
		}
		assert.Equal(t, len(monitored), 3)
		tracker.Tick(at(0))
		var suspected []coord.VMID
		for ms := 500; ms <= 2000; ms += 500 {
			for _, m := range tracker.Tick(at(ms)) {
				suspected = append(suspected, m.ID)
			}
		}
		assert.Equal(t, len(suspected), 3)
		for _, id := range suspected {
			assert.Assert(t, monitored[id], "%s suspects %s, which it does not monitor", self, id)
		}
	}
}
