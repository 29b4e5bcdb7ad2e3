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

// TestFilters gives each reason to pass over the preferred target.
func TestFilters(t *testing.T) {
	m, p := pool(6)
	sched := placement.Default()
	first := sched.Pick(p, placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), query("x"))
	for _, row := range []struct {
		name string
		do   func(*placement.LoadTracker, *placement.Query)
		by   string
	}{
		{"leaving", func(b *placement.LoadTracker, _ *placement.Query) { b.SetLeaving(first.Target, true) }, "leaving"},
		{"tried", func(_ *placement.LoadTracker, q *placement.Query) { q.Exclude = []coord.TargetID{first.Target} }, "tried"},
		{"failed three times", func(b *placement.LoadTracker, _ *placement.Query) {
			for range 3 {
				b.RecordFailure(now, first.Target)
			}
		}, "ejected"},
		{"in another hall", func(_ *placement.LoadTracker, q *placement.Query) {
			halls := []string{"h0", "h1", "h2"}
			q.Zones = m.ZoneMask(halls) &^ m.ZoneMask([]string{p.Targets[first.Index].Zone})
		}, "hall"},
	} {
		t.Run(row.name, func(t *testing.T) {
			b, q := placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), query("x")
			row.do(b, q)
			got := sched.Pick(p, b, q)
			assert.Assert(t, got.OK && got.Target != first.Target)
			for _, r := range sched.Explain(p, b, q) {
				if r.Target == first.Target {
					assert.Equal(t, r.RemovedBy, row.by)
				}
			}
		})
	}
}

func TestNoTargetLeft(t *testing.T) {
	_, p := pool(1)
	q := query("x")
	q.Exclude = []coord.TargetID{"t0"}
	assert.Assert(t, !placement.Default().Pick(p, placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()), q).OK)
}

// TestEjectionEndsAndGrows probes an ejected target after its pause, and doubles
// the pause with each failed probe.
func TestEjectionEndsAndGrows(t *testing.T) {
	b := placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	for range 3 {
		b.RecordFailure(now, "t")
	}
	assert.Assert(t, b.Ejected(now.Add(499*time.Millisecond), "t"))
	assert.Assert(t, !b.Ejected(now.Add(500*time.Millisecond), "t"))
	b.RecordFailure(now, "t")
	assert.Assert(t, b.Ejected(now.Add(999*time.Millisecond), "t"))
	b.RecordSuccess("t")
	assert.Assert(t, !b.Ejected(now, "t"))
}

// TestFullTargetIsLeft sends an adapter elsewhere only when its target is more
// than a batch behind.
func TestFullTargetIsLeft(t *testing.T) {
	_, p := pool(6)
	sched, b := placement.Default(), placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	first := sched.Pick(p, b, query("x")).Target
	b.ObserveLoad(now, first, 10, 0)
	assert.Equal(t, sched.Pick(p, b, query("x")).Target, first)
	b.ObserveLoad(now, first, 10, 11)
	assert.Assert(t, sched.Pick(p, b, query("x")).Target != first)
}

// TestSpreadGrowsAndShrinks widens a hot adapter and narrows it again.
func TestSpreadGrowsAndShrinks(t *testing.T) {
	s := placement.NewSpread(placement.DefaultSpreadConfig())
	s.ObserveLoad(now, 1, 2, 10)
	assert.Equal(t, s.Width(1), 1)
	s.ObserveLoad(now, 1, 10, 10)
	assert.Equal(t, s.Width(1), 2)
	s.ObserveLoad(now.Add(100*time.Millisecond), 1, 10, 10) // a report from before the step
	assert.Equal(t, s.Width(1), 2)
	s.ObserveLoad(now.Add(time.Second), 1, 10, 10)
	assert.Equal(t, s.Width(1), 4)
	s.Tick(now.Add(22 * time.Second))
	assert.Equal(t, s.Width(1), 2)
	s.Tick(now.Add(43 * time.Second))
	assert.Equal(t, s.Width(1), 1)
}

// TestWeights gives the ends and the middle of the users' weights.
func TestWeights(t *testing.T) {
	for _, row := range []struct{ stall, batch, grow float64 }{
		{1, 0, 1}, {0, 1, 1.5}, {0.5, 0.5, 1.25}, {0, 0, 1},
	} {
		cfg, _ := placement.ForWeights(row.stall, row.batch)
		assert.Equal(t, cfg.GrowThreshold, row.grow)
	}
}

// TestMembershipMovesLittle adds a target; few adapters change their place.
func TestMembershipMovesLittle(t *testing.T) {
	_, small := pool(12)
	_, large := pool(13)
	sched, b := placement.Default(), placement.NewLoadTracker(placement.DefaultLoadTrackerConfig())
	moved := 0
	for i := range 3000 {
		q := query(fmt.Sprint(i))
		if sched.Pick(small, b, q).Target != sched.Pick(large, b, q).Target {
			moved++
		}
	}
	assert.Assert(t, moved > 150 && moved < 320, "%d of 3000 moved; 231 expected", moved)
}
