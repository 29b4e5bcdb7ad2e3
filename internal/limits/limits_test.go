package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// passes counts how many of a burst of requests pass.
func passes(l *Limiter, at time.Time, n int, perSecond float64) int {
	passed := 0
	for range n {
		if ok, _ := l.Allow(at, "k", perSecond); ok {
			passed++
		}
	}
	return passed
}

// TestShares gives what one VM allows of a limit of 70 a second.
func TestShares(t *testing.T) {
	start := time.Unix(100, 0)
	for _, row := range []struct {
		name string
		vms  int
		want int
	}{{"alone", 1, 70}, {"of seven", 7, 10}, {"of more VMs than the limit", 100, 1}} {
		t.Run(row.name, func(t *testing.T) {
			l := New()
			l.SetVMs(row.vms)
			assert.Equal(t, passes(l, start, 200, 70), row.want)
		})
	}
}

// TestShareFollowsTheFleet halves the part when the fleet doubles.
func TestShareFollowsTheFleet(t *testing.T) {
	l, start := New(), time.Unix(100, 0)
	l.SetVMs(1)
	passes(l, start, 200, 40)
	l.SetVMs(2)
	passes(l, start, 200, 40)
	assert.Equal(t, passes(l, start.Add(time.Second), 200, 40), 20)
}

func TestNoLimit(t *testing.T) {
	assert.Equal(t, passes(New(), time.Unix(100, 0), 1000, 0), 1000)
}

func TestRefusalSaysWhen(t *testing.T) {
	l, start := New(), time.Unix(100, 0)
	passes(l, start, 10, 2)
	ok, retry := l.Allow(start, "k", 2)
	assert.Assert(t, !ok)
	assert.Equal(t, retry, 500*time.Millisecond)
}

// TestRetryBudget allows a reserve and then a tenth of first attempts.
func TestRetryBudget(t *testing.T) {
	b := NewRetryBudget(0.1)
	retries := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			retries++
		}
	}
	assert.Assert(t, retries >= 100 && retries <= 111, "%d retries of 1000", retries)
}
