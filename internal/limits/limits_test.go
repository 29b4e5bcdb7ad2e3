package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// countAllowed returns how many of n simultaneous requests are allowed.
func countAllowed(l *Limiter, at time.Time, n int, perSecond float64) int {
	allowed := 0
	for range n {
		if ok, _ := l.Allow(at, "k", perSecond); ok {
			allowed++
		}
	}
	return allowed
}

// TestLimitIsDividedByLiveVMs checks the share that one VM allows of a limit of 70
// requests per second.
func TestLimitIsDividedByLiveVMs(t *testing.T) {
	start := time.Unix(100, 0)
	for _, row := range []struct {
		name string
		vms  int
		want int
	}{{"single VM", 1, 70}, {"seven VMs", 7, 10}, {"more VMs than the limit", 100, 1}} {
		t.Run(row.name, func(t *testing.T) {
			l := New()
			l.SetVMs(row.vms)
			assert.Equal(t, countAllowed(l, start, 200, 70), row.want)
		})
	}
}

// TestShareShrinksWhenFleetGrows checks that the share of a VM halves when the
// number of VMs doubles.
func TestShareShrinksWhenFleetGrows(t *testing.T) {
	l, start := New(), time.Unix(100, 0)
	l.SetVMs(1)
	countAllowed(l, start, 200, 40)
	l.SetVMs(2)
	countAllowed(l, start, 200, 40)
	assert.Equal(t, countAllowed(l, start.Add(time.Second), 200, 40), 20)
}

func TestZeroLimitAllowsAllRequests(t *testing.T) {
	assert.Equal(t, countAllowed(New(), time.Unix(100, 0), 1000, 0), 1000)
}

func TestRejectionReturnsRetryDelay(t *testing.T) {
	l, start := New(), time.Unix(100, 0)
	countAllowed(l, start, 10, 2)
	ok, retry := l.Allow(start, "k", 2)
	assert.Assert(t, !ok)
	assert.Equal(t, retry, 500*time.Millisecond)
}

// TestRetryBudgetBoundsRetries checks that retries are limited to the initial
// credit plus a tenth of first attempts.
func TestRetryBudgetBoundsRetries(t *testing.T) {
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
