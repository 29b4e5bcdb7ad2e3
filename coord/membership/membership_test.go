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

// at is a time in milliseconds after the start.
func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func listed(ids ...coord.VMID) []membership.ListedVM {
	var out []membership.ListedVM
	for _, id := range ids {
		out = append(out, membership.ListedVM{ID: id, Zone: "h"})
	}
	return out
}

func fresh() *membership.Tracker {
	t := membership.New(membership.Config{Self: "a", SuspectAfter: suspectAfter, Monitors: 3})
	t.ApplyList(start, 5, listed("a", "b", "c"))
	return t
}

// TestFaults gives each fault of a VM, or of the news about it, and the state
// that must come of it.
func TestFaults(t *testing.T) {
	for _, row := range []struct {
		name string
		do   func(*membership.Tracker)
		want membership.State
	}{
		{"nothing", func(*membership.Tracker) {}, membership.Live},
		{"silence", func(t *membership.Tracker) {
			for ms := 0; ms <= 2000; ms += 500 {
				t.Tick(at(ms))
			}
		}, membership.Suspect},
		{"silence while this VM was paused", func(t *membership.Tracker) {
			t.Tick(at(0))
			t.Tick(at(60_000))
		}, membership.Live},
		{"silence, then a sign of life", func(t *membership.Tracker) {
			for ms := 0; ms <= 2000; ms += 500 {
				t.Tick(at(ms))
			}
			t.HandleHeartbeat(at(2100), "b", 1, false)
		}, membership.Live},
		{"another VM's suspicion", func(t *membership.Tracker) { t.HandleSuspicion(at(3), "b", 1) }, membership.Suspect},
		{"a suspicion of an earlier process", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 7, false)
			t.HandleSuspicion(at(3), "b", 6)
		}, membership.Live},
		{"a late heartbeat of an earlier process", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 7, false)
			t.HandleSuspicion(at(3), "b", 7)
			t.HandleHeartbeat(at(2), "b", 6, false)
		}, membership.Suspect},
		{"it says that it leaves", func(t *membership.Tracker) { t.HandleHeartbeat(at(1), "b", 1, true) }, membership.Leaving},
		{"it leaves, a late heartbeat does not know yet", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 1, true)
			t.HandleHeartbeat(at(2), "b", 1, false)
		}, membership.Leaving},
		{"it left and has started anew", func(t *membership.Tracker) {
			t.HandleHeartbeat(at(1), "b", 1, true)
			t.HandleHeartbeat(at(2), "b", 2, false)
		}, membership.Live},
		{"the list says that it leaves", func(t *membership.Tracker) {
			l := listed("a", "b", "c")
			l[1].Leaving = true
			t.ApplyList(at(1), 6, l)
			t.HandleHeartbeat(at(2), "b", 3, false)
		}, membership.Leaving},
		{"an older list without it", func(t *membership.Tracker) { t.ApplyList(at(1), 4, listed("a", "c")) }, membership.Live},
		{"the same version of the list without it", func(t *membership.Tracker) { t.ApplyList(at(1), 5, listed("a", "c")) }, membership.Live},
	} {
		t.Run(row.name, func(t *testing.T) {
			tr := fresh()
			row.do(tr)
			assert.Equal(t, tr.Member("b").State, row.want)
		})
	}
}

func TestDroppedVMsAreNamed(t *testing.T) {
	tr := fresh()
	assert.DeepEqual(t, tr.ApplyList(at(1), 6, listed("a", "c", "d")), []coord.VMID{"b"})
	assert.Assert(t, tr.Member("b") == nil)
}

// TestMonitorsAgree checks that who sends heartbeats to whom is the same for all.
func TestMonitorsAgree(t *testing.T) {
	ids := []coord.VMID{"a", "b", "c", "d", "e", "f", "g"}
	for _, self := range ids {
		tr := membership.New(membership.Config{Self: self, SuspectAfter: suspectAfter, Monitors: 3})
		tr.ApplyList(start, 1, listed(ids...))
		watched := map[coord.VMID]bool{}
		for _, other := range ids {
			for _, m := range tr.MonitorsOf(other) {
				if m == self {
					watched[other] = true
				}
			}
		}
		assert.Equal(t, len(watched), 3)
		tr.Tick(at(0))
		var silent []coord.VMID
		for ms := 500; ms <= 2000; ms += 500 {
			for _, m := range tr.Tick(at(ms)) {
				silent = append(silent, m.ID)
			}
		}
		assert.Equal(t, len(silent), 3)
		for _, id := range silent {
			assert.Assert(t, watched[id], "%s suspects %s, whom it does not watch", self, id)
		}
	}
}
