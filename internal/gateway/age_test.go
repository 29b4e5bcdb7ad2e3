package gateway

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestAgeOfCallers: those that begin with one time show how long ago they first asked; of those
// that begin with times of their own nothing is taken.
func TestAgeOfCallers(t *testing.T) {
	const first = 3 * time.Second
	rng := rand.New(rand.NewPCG(1, 2))
	for _, row := range []struct {
		name  string
		wait  func() time.Duration
		knows bool
	}{
		{"one time", func() time.Duration { return first }, true},
		{"one time, less some ms", func() time.Duration { return first - time.Duration(rng.Int64N(int64(20*time.Millisecond))) }, true},
		{"half of them have come back", func() time.Duration {
			if rng.IntN(2) == 0 {
				return first
			}
			return first - 200*time.Millisecond - time.Duration(rng.Int64N(int64(time.Second)))
		}, true},
		{"times of their own", func() time.Duration { return time.Duration(rng.Int64N(int64(first))) + 1 }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newAges()
			assert.Equal(t, a.of("r", 2*time.Second), time.Duration(0), "nothing is known at first")
			for range 200 {
				a.of("r", row.wait())
			}
			age := a.of("r", first-700*time.Millisecond)
			if !row.knows {
				assert.Equal(t, age, time.Duration(0))
				return
			}
			assert.Assert(t, (age-700*time.Millisecond).Abs() < 50*time.Millisecond, "%v", age)
			assert.Equal(t, a.of("r", first), time.Duration(0))
			assert.Equal(t, a.of("other", time.Second), time.Duration(0), "routes by themselves")
			assert.Equal(t, a.of("r", 0), time.Duration(0), "a caller that does not say")
		})
	}
}

// TestCallersThatWaitLongerNow: the configuration of callers changes.
func TestCallersThatWaitLongerNow(t *testing.T) {
	a := newAges()
	for range 100 {
		a.of("r", time.Second)
	}
	for range 100 {
		assert.Equal(t, a.of("r", 5*time.Second), time.Duration(0))
	}
	age := a.of("r", 4*time.Second)
	assert.Assert(t, (age-time.Second).Abs() < 50*time.Millisecond, "%v", age)
	for range 6000 { // and shorter again
		a.of("r", 2*time.Second)
	}
	assert.Equal(t, a.of("r", 2*time.Second), time.Duration(0))
}

// TestWhoComesBackIsLate: the objective is counted from when the caller first asked.
func TestWhoComesBackIsLate(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	for range 20 {
		_, _ = x.send(t, "POST", "/once/x", "", "Wait", "3s")
	}
	_, _ = x.send(t, "POST", "/once/x", "", "Wait", "2s")
	asked := x.admission.asked
	fresh, back := asked[19].FirstEventDeadline, asked[20].FirstEventDeadline
	assert.Assert(t, back.Sub(fresh) < -800*time.Millisecond, "%v", back.Sub(fresh))
}
