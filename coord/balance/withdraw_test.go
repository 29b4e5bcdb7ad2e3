package balance

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestWithdrawnFailuresLeaveNoTrace guards against targets that get fewer requests because of
// failures which turned out not to be theirs.
func TestWithdrawnFailuresLeaveNoTrace(t *testing.T) {
	disturbed, undisturbed := New(), New()
	var effects []Effect
	fail := func(ending Ending, duration time.Duration) {
		disturbed.Pick(start, threeTargets()[:1], nil)
		effects = append(effects, disturbed.Done(start, "a", ending, duration))
	}
	serve := func(ending Ending, duration time.Duration) {
		for _, b := range []*Balancer{disturbed, undisturbed} {
			b.Pick(start, threeTargets()[:1], nil)
			b.Done(start, "a", ending, duration)
		}
	}
	serve(OK, 30*time.Millisecond)
	fail(TimedOut, 400*time.Millisecond)
	serve(Failed, 10*time.Millisecond)
	fail(TimedOut, 500*time.Millisecond)
	assert.Assert(t, disturbed.Ejected(start, "a"))
	serve(OK, 60*time.Millisecond)
	fail(Disconnected, time.Millisecond)
	fail(Unreachable, 0)
	serve(TimedOut, 300*time.Millisecond)
	assert.Assert(t, disturbed.Ejected(start, "a"))
	for _, e := range slices.Backward(effects) {
		disturbed.Withdraw(e)
	}
	got, want := disturbed.states["a"], undisturbed.states["a"]
	assert.Equal(t, got.timeouts, want.timeouts)
	assert.Assert(t, !disturbed.Ejected(start, "a"))
	assert.Assert(t, math.Abs(got.failureRate-want.failureRate) < 1e-6, "%v, %v", got.failureRate, want.failureRate)
	assert.Assert(t, (got.latency-want.latency).Abs() < time.Microsecond, "%v, %v", got.latency, want.latency)
}

// TestWithdrawalKeepsEjectionThatOthersSupport guards against requests to a dead target because one
// of its witnesses was wrong.
func TestWithdrawalKeepsEjectionThatOthersSupport(t *testing.T) {
	b := New()
	b.Pick(start, threeTargets()[:1], nil)
	withdrawn := b.Done(start, "a", Unreachable, 0)
	b.Pick(start, threeTargets()[:1], nil)
	b.Done(start, "a", Unreachable, 0)
	b.Withdraw(withdrawn)
	assert.Assert(t, b.Ejected(start, "a"))
	assert.Assert(t, b.AwaitsProbe("a"))
}
