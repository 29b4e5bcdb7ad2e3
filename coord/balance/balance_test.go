package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func three() []Target { return []Target{{ID: "a", SameZone: true}, {ID: "b"}, {ID: "c"}} }

func TestPicksTheNearOneFirst(t *testing.T) {
	assert.Equal(t, New().Pick(start, three(), nil), "a")
}

func TestSpreadsRunningRequests(t *testing.T) {
	b := New()
	seen := map[string]int{}
	for range 6 {
		seen[b.Pick(start, three(), nil)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 2, "b": 2, "c": 2})
}

func TestNobodyLeft(t *testing.T) {
	assert.Equal(t, New().Pick(start, three(), []string{"a", "b", "c"}), "")
	assert.Equal(t, New().Pick(start, nil, nil), "")
}

// TestEndings: after what happened to a, is it still picked first?
func TestEndings(t *testing.T) {
	for _, row := range []struct {
		name  string
		how   Ending
		times int
		took  time.Duration
		wait  time.Duration
		first bool
	}{
		{"answers", OK, 5, 20 * time.Millisecond, 0, true},
		{"slow answers", OK, 10, 400 * time.Millisecond, 0, false},
		{"failures", Failed, 5, 10 * time.Millisecond, 0, false},
		{"one busy answer", Busy, 1, time.Millisecond, 0, false},
		{"a busy answer some time ago", Busy, 1, time.Millisecond, 2 * busyPause, true},
		{"no connection", Unreachable, 1, 0, 0, false},
		{"hangs twice", TimedOut, 2, 100 * time.Millisecond, 0, false},
		{"callers that left", Abandoned, 20, 0, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := New()
			for range row.times {
				b.Pick(start, three()[:1], nil)
				b.Done(start, "a", row.how, row.took)
			}
			assert.Equal(t, b.Pick(start.Add(row.wait), three(), nil) == "a", row.first)
		})
	}
}

func TestEjectedTargetIsTriedOneAtATime(t *testing.T) {
	b := New()
	b.Pick(start, three()[:1], nil)
	b.Done(start, "a", Unreachable, 0)
	later := start.Add(maxEjection)
	for range 20 { // let the failure fade, as it does with answers of others
		b.record("a").learn(0, firstLatency)
	}
	assert.Equal(t, b.Pick(later, three(), nil), "a")
	assert.Assert(t, b.Pick(later, three(), nil) != "a", "the trial is still open")
	b.Done(later, "a", OK, firstLatency)
	assert.Equal(t, b.Pick(later, three(), nil), "a")
}

func TestEjectedTargetIsBetterThanNone(t *testing.T) {
	b := New()
	b.Pick(start, three()[:1], nil)
	b.Done(start, "a", Unreachable, 0)
	assert.Equal(t, b.Pick(start, three()[:1], nil), "a")
}

func TestTidyForgets(t *testing.T) {
	b := New()
	b.Pick(start, three(), nil)
	b.Done(start, "a", OK, time.Millisecond)
	b.ExpireIdle(start.Add(2 * forgetAfter))
	assert.Equal(t, len(b.records), 0)
}
