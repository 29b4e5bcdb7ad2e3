package placement_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

var now = time.Unix(100, 0)

func pool(n int) (*placement.Map, *placement.Pool) {
	var targets []placement.Target
	for i := range n {
		targets = append(targets, placement.Target{ID: coord.TargetID(fmt.Sprintf("t%d", i)), Base: "base", Zone: fmt.Sprintf("h%d", i%3), Batch: 10})
	}
	m := placement.NewMap(targets)
	return m, m.Pool("base")
}

func query(name string) *placement.Query {
	return &placement.Query{Key: rendezvous.Hash(name), Zones: ^uint64(0), Spread: 1, Now: now}
}

// TestFilters checks each filter that can remove the preferred target.
func TestFilters(t *testing.T) {
	m, p := pool(6)
	sched := placement.DefaultScheduler()
	first := sched.Pick(p, placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), query("x"))
	for _, row := range []struct {
		name      string
		apply     func(*placement.LoadTracker, *placement.Query)
		removedBy string
	}{
		{"leaving", func(loads *placement.LoadTracker, _ *placement.Query) { loads.SetLeaving(first.Target, true) }, "leaving"},
		{"tried", func(_ *placement.LoadTracker, q *placement.Query) { q.Exclude = []coord.TargetID{first.Target} }, "tried"},
		{"failed three times", func(loads *placement.LoadTracker, _ *placement.Query) {
			for range 3 {
				loads.RecordFailure(now, first.Target)
			}
		}, "ejected"},
		{"in another zone", func(_ *placement.LoadTracker, q *placement.Query) {
			zones := []string{"h0", "h1", "h2"}
			q.Zones = m.ZoneMask(zones) &^ m.ZoneMask([]string{p.Targets[first.Index].Zone})
		}, "hall"},
	} {
		t.Run(row.name, func(t *testing.T) {
			loads, q := placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), query("x")
			row.apply(loads, q)
			got := sched.Pick(p, loads, q)
			assert.Assert(t, got.OK && got.Target != first.Target)
			for _, r := range sched.Explain(p, loads, q) {
				if r.Target == first.Target {
					assert.Equal(t, r.RemovedBy, row.removedBy)
				}
			}
		})
	}
}

func TestNoTargetLeft(t *testing.T) {
	_, p := pool(1)
	q := query("x")
	q.Exclude = []coord.TargetID{"t0"}
	assert.Assert(t, !placement.DefaultScheduler().Pick(p, placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), q).OK)
}

// TestEjectionEndsAndDoubles checks that an ejection ends after its time, and that a failed probe
// doubles the time.
func TestEjectionEndsAndDoubles(t *testing.T) {
	loads := placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	for range 3 {
		loads.RecordFailure(now, "t")
	}
	assert.Assert(t, loads.Ejected(now.Add(499*time.Millisecond), "t"))
	assert.Assert(t, !loads.Ejected(now.Add(500*time.Millisecond), "t"))
	loads.RecordFailure(now, "t")
	assert.Assert(t, loads.Ejected(now.Add(999*time.Millisecond), "t"))
	loads.RecordSuccess("t")
	assert.Assert(t, !loads.Ejected(now, "t"))
}

// TestOverloadedTargetIsPassedOver checks that an adapter moves to another target only when its own
// has more than a batch waiting.
func TestOverloadedTargetIsPassedOver(t *testing.T) {
	_, p := pool(6)
	sched, loads := placement.DefaultScheduler(), placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	first := sched.Pick(p, loads, query("x")).Target
	loads.ObserveLoad(now, first, 10, 0)
	assert.Equal(t, sched.Pick(p, loads, query("x")).Target, first)
	loads.ObserveLoad(now, first, 10, 11)
	assert.Assert(t, sched.Pick(p, loads, query("x")).Target != first)
}

// TestSpreadGrowsAndShrinks widens the spread of a hot adapter and narrows it again.
func TestSpreadGrowsAndShrinks(t *testing.T) {
	s := placement.NewSpread(placement.DefaultSpreadConfig())
	s.ObserveLoad(now, 1, 2, 10)
	assert.Equal(t, s.Width(1), 1)
	s.ObserveLoad(now, 1, 10, 10)
	assert.Equal(t, s.Width(1), 2)
	s.ObserveLoad(now.Add(100*time.Millisecond), 1, 10, 10) // a report from before the growth step
	assert.Equal(t, s.Width(1), 2)
	s.ObserveLoad(now.Add(time.Second), 1, 10, 10)
	assert.Equal(t, s.Width(1), 4)
	s.Tick(now.Add(22 * time.Second))
	assert.Equal(t, s.Width(1), 2)
	s.Tick(now.Add(43 * time.Second))
	assert.Equal(t, s.Width(1), 1)
}

// TestWeights covers the ends and the middle of the bundle's weights.
func TestWeights(t *testing.T) {
	for _, row := range []struct{ stall, batch, grow float64 }{
		{1, 0, 1}, {0, 1, 1.5}, {0.5, 0.5, 1.25}, {0, 0, 1},
	} {
		cfg, _ := placement.SettingsForWeights(row.stall, row.batch)
		assert.Equal(t, cfg.GrowThreshold, row.grow)
	}
}

// TestAddedTargetMovesFewAdapters checks that an added target changes the placement of few adapters.
func TestAddedTargetMovesFewAdapters(t *testing.T) {
	_, small := pool(12)
	_, large := pool(13)
	sched, loads := placement.DefaultScheduler(), placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	moved := 0
	for i := range 3000 {
		q := query(fmt.Sprint(i))
		if sched.Pick(small, loads, q).Target != sched.Pick(large, loads, q).Target {
			moved++
		}
	}
	assert.Assert(t, moved > 150 && moved < 320, "%d of 3000 moved; 231 expected", moved)
}
