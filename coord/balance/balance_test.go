package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func threeTargets() []Target { return []Target{{ID: "a", SameZone: true}, {ID: "b"}, {ID: "c"}} }

func TestPrefersTargetInSameZone(t *testing.T) {
	assert.Equal(t, New().Pick(start, threeTargets(), nil), "a")
}

func TestSpreadsRunningRequests(t *testing.T) {
	b := New()
	seen := map[string]int{}
	for range 6 {
		seen[b.Pick(start, threeTargets(), nil)]++
	}
	assert.DeepEqual(t, seen, map[string]int{"a": 2, "b": 2, "c": 2})
}

func TestPickWithoutCandidates(t *testing.T) {
	assert.Equal(t, New().Pick(start, threeTargets(), []string{"a", "b", "c"}), "")
	assert.Equal(t, New().Pick(start, nil, nil), "")
}

// TestEffectOfEndings checks whether target a is still picked first after requests with an ending.
func TestEffectOfEndings(t *testing.T) {
	for _, row := range []struct {
		name     string
		ending   Ending
		times    int
		duration time.Duration
		wait     time.Duration
		first    bool
	}{
		{"fast responses", OK, 5, 20 * time.Millisecond, 0, true},
		{"slow responses", OK, 10, 400 * time.Millisecond, 0, false},
		{"failures", Failed, 5, 10 * time.Millisecond, 0, false},
		{"one busy response", Busy, 1, time.Millisecond, 0, false},
		{"a busy response some time ago", Busy, 1, time.Millisecond, 2 * busyEjection, true},
		{"no connection", Unreachable, 1, 0, 0, false},
		{"two timeouts", TimedOut, 2, 100 * time.Millisecond, 0, false},
		{"callers left", Abandoned, 20, 0, 0, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := New()
			for range row.times {
				b.Pick(start, threeTargets()[:1], nil)
				b.Done(start, "a", row.ending, row.duration)
			}
			assert.Equal(t, b.Pick(start.Add(row.wait), threeTargets(), nil) == "a", row.first)
		})
	}
}

func TestEjectedTargetIsProbedOneRequestAtATime(t *testing.T) {
	b := New()
	b.Pick(start, threeTargets()[:1], nil)
	b.Done(start, "a", Unreachable, 0)
	later := start.Add(maxEjection)
	for range 20 { // decay the failure rate, as responses to other requests do
		b.state("a").observe(0, initialLatency)
	}
	assert.Equal(t, b.Pick(later, threeTargets(), nil), "a")
	assert.Assert(t, b.Pick(later, threeTargets(), nil) != "a", "the probe has not ended")
	b.Done(later, "a", OK, initialLatency)
	assert.Equal(t, b.Pick(later, threeTargets(), nil), "a")
}

func TestEjectedTargetIsPickedWithoutAlternative(t *testing.T) {
	b := New()
	b.Pick(start, threeTargets()[:1], nil)
	b.Done(start, "a", Unreachable, 0)
	assert.Equal(t, b.Pick(start, threeTargets()[:1], nil), "a")
}

func TestExpireIdleRemovesTargets(t *testing.T) {
	b := New()
	b.Pick(start, threeTargets(), nil)
	b.Done(start, "a", OK, time.Millisecond)
	b.ExpireIdle(start.Add(2 * idleExpiry))
	assert.Equal(t, len(b.states), 0)
}
