package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgeEstimate checks that the age is known if callers start with one timeout, and unknown if
// each starts with an individual one.
func TestAgeEstimate(t *testing.T) {
	const first = 3 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	for _, row := range []struct {
		name      string
		remaining func() time.Duration
		known     bool
	}{
		{"one timeout", func() time.Duration { return first }, true},
		{"one timeout, less a few ms", func() time.Duration { return first - time.Duration(rng.Int64N(int64(20*time.Millisecond))) }, true},
		{"half of the requests are retries", func() time.Duration {
			if rng.IntN(2) == 0 {
				return first
			}
			return first - 200*time.Millisecond - time.Duration(rng.Int64N(int64(time.Second)))
		}, true},
		{"individual timeouts", func() time.Duration { return time.Duration(rng.Int64N(int64(first))) + 1 }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newAgeEstimator()
			assert.Equal(t, a.estimate("r", 2*time.Second), time.Duration(0), "unknown before the first samples")
			for range 200 {
				a.estimate("r", row.remaining())
			}
			age := a.estimate("r", first-700*time.Millisecond)
			if !row.known {
				assert.Equal(t, age, time.Duration(0))
				return
			}
			assert.Assert(t, (age-700*time.Millisecond).Abs() < 50*time.Millisecond, "%v", age)
			assert.Equal(t, a.estimate("r", first), time.Duration(0))
			assert.Equal(t, a.estimate("other", time.Second), time.Duration(0), "routes are independent")
			assert.Equal(t, a.estimate("r", 0), time.Duration(0), "caller sends no remaining time")
		})
	}
}

// TestAgeEstimateFollowsChangedTimeouts guards against estimates that keep a timeout which callers
// no longer use.
func TestAgeEstimateFollowsChangedTimeouts(t *testing.T) {
	a := newAgeEstimator()
	for range 100 {
		a.estimate("r", time.Second)
	}
	for range 100 {
		assert.Equal(t, a.estimate("r", 5*time.Second), time.Duration(0))
	}
	age := a.estimate("r", 4*time.Second)
	assert.Assert(t, (age-time.Second).Abs() < 50*time.Millisecond, "%v", age)
	for range 6000 { // the timeout becomes shorter again
		a.estimate("r", 2*time.Second)
	}
	assert.Equal(t, a.estimate("r", 2*time.Second), time.Duration(0))
}

// TestObjectiveCountsFromFirstAttempt checks that a retry is due earlier than a first attempt.
func TestObjectiveCountsFromFirstAttempt(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	for range 20 {
		_, _ = x.send(t, "POST", "/once/x", "", "Wait", "3s")
	}
	_, _ = x.send(t, "POST", "/once/x", "", "Wait", "2s")
	requests := x.admission.requests
	first, retried := requests[19].FirstEventDeadline, requests[20].FirstEventDeadline
	assert.Assert(t, retried.Sub(first) < -800*time.Millisecond, "%v", retried.Sub(first))
}
