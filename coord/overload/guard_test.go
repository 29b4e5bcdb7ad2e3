package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// brittle returns a Guard of targets a and b, of which a announced the given limit.
func brittle(limit float64) *Guard {
	g := NewGuard()
	g.SetTargets(start, []string{"a", "b"})
	g.SetLimits(start, map[string]float64{"a": limit, "of another service": 0}, 1)
	return g
}

func (g *Guard) allowed(now time.Time, id string) int {
	n, _ := g.Allowed(now, id, 8)
	return n
}

func TestBoundsOnlyBrittleServices(t *testing.T) {
	g := brittle(2)
	n, bounded := g.Allowed(start, "b", 8)
	assert.Assert(t, bounded && n == 8, "a target of a brittle service that has not announced it yet")
	g.SetLimits(start, map[string]float64{"of another service": 0}, 1)
	_, bounded = g.Allowed(start, "a", 8)
	assert.Assert(t, !bounded)
	g.Rejected(start, "a", 8)
	g.SetLimits(start, map[string]float64{"a": 2}, 1)
	assert.Equal(t, g.allowed(start, "a"), 8, "a rejection while the target was not brittle")
}

// TestRejectionsLowerTheBound checks that a burst of rejections lowers the bound to what was
// accepted, that it rises by one at a time, and that other targets keep theirs.
func TestRejectionsLowerTheBound(t *testing.T) {
	g := brittle(10)
	for inFlight := 8; inFlight >= 5; inFlight-- {
		g.Rejected(start, "a", inFlight)
	}
	assert.Equal(t, g.allowed(start, "a"), 4)
	assert.Equal(t, g.allowed(start, "b"), 8)
	assert.Equal(t, g.allowed(start.Add(raiseInterval), "a"), 5)
	g.Rejected(start.Add(raiseInterval), "a", 5)
	assert.Equal(t, g.allowed(start.Add(raiseInterval), "a"), 4)
	assert.Equal(t, g.allowed(start.Add(time.Minute), "a"), 8)
	g.Rejected(start.Add(time.Minute), "a", 1)
	assert.Equal(t, g.allowed(start.Add(time.Minute), "a"), 1, "without any request nothing could be learned")
}

// TestNothingIsSentWhileOneRejectionMoreWouldCrash checks that a target gets nothing while it has
// rejected as many requests as it bears.
func TestNothingIsSentWhileOneRejectionMoreWouldCrash(t *testing.T) {
	g := brittle(2)
	g.Rejected(start, "a", 8)
	assert.Equal(t, g.allowed(start, "a"), 7)
	g.Rejected(start.Add(300*time.Millisecond), "a", 7)
	assert.Equal(t, g.allowed(start.Add(time.Second), "a"), 0)
	assert.Equal(t, g.allowed(start.Add(rejectionWindow), "a"), 6)
}

// TestBoundIsNotRaisedWhereOneRejectionCrashes checks that a target which bears no rejection is not
// probed for more capacity.
func TestBoundIsNotRaisedWhereOneRejectionCrashes(t *testing.T) {
	for _, limit := range []float64{0, 0.5} {
		g := brittle(limit)
		assert.Equal(t, g.allowed(start, "a"), 8)
		g.Rejected(start, "a", 6)
		assert.Equal(t, g.allowed(start.Add(time.Hour), "a"), 5)
	}
}

// TestColdTargetGetsFewerRequests checks that a target that appears while its service is brittle
// begins with a part of its slots.
func TestColdTargetGetsFewerRequests(t *testing.T) {
	g := brittle(3)
	g.SetTargets(start, []string{"a", "c"})
	assert.Equal(t, g.allowed(start, "c"), 2)
	assert.Equal(t, g.allowed(start.Add(rampTime/2), "c"), 5)
	assert.Equal(t, g.allowed(start.Add(rampTime), "c"), 8)
	assert.Equal(t, g.allowed(start, "a"), 8)
}

// TestRestartOfAllBrittleTargets checks that targets which replace the brittle ones are bounded before
// they announce anything.
func TestRestartOfAllBrittleTargets(t *testing.T) {
	g := brittle(3)
	g.SetTargets(start, nil)
	g.SetTargets(start.Add(time.Second), []string{"c"})
	assert.Equal(t, g.allowed(start.Add(time.Second), "c"), 2)
	_, bounded := g.Allowed(start.Add(restartTime), "c", 8)
	assert.Assert(t, !bounded)
}

// TestWithdrawnRequestsStillCount checks that a target gets no request in exchange for one that it may
// still process, because it has not noticed yet that the caller has left.
func TestWithdrawnRequestsStillCount(t *testing.T) {
	g := brittle(3)
	for range 9 {
		g.Withdrawn(start, "a")
	}
	assert.Equal(t, g.allowed(start, "a"), 0)
	assert.Equal(t, g.allowed(start, "b"), 8)
	assert.Equal(t, g.allowed(start.Add(coord.AbortedRequestTime), "a"), 8)
}

func TestNewLeaderBeginsWithFewerRequests(t *testing.T) {
	g := brittle(3)
	g.Reset(start)
	assert.Equal(t, g.allowed(start, "a"), 2)
	assert.Equal(t, g.allowed(start.Add(rampTime), "a"), 8)
}

// TestNewLeaderWaitsWhereOneRejectionCrashes checks that nothing is sent while an earlier leader may
// still place requests at a target that bears no rejection.
func TestNewLeaderWaitsWhereOneRejectionCrashes(t *testing.T) {
	g := brittle(1)
	g.SetLimits(start, map[string]float64{"a": 1}, 0.5)
	g.Reset(start)
	assert.Equal(t, g.allowed(start, "a"), 0)
	assert.Equal(t, g.allowed(start.Add(overlapTime), "a"), 4)
}

// TestEndOfBrittlenessIsForgotten checks that nothing learned in one brittle time holds in the next.
func TestEndOfBrittlenessIsForgotten(t *testing.T) {
	g := brittle(0.5)
	g.Rejected(start, "a", 2)
	g.SetLimits(start, nil, 1)
	g.SetLimits(start, map[string]float64{"a": 0.5}, 1)
	assert.Equal(t, g.allowed(start, "a"), 8)
}

// TestRequestsOfEndedPartitionAreAwaited checks that a leader uses the slots of another partition only
// after the requests that its leader placed.
func TestRequestsOfEndedPartitionAreAwaited(t *testing.T) {
	g := brittle(3)
	g.SetLimits(start, map[string]float64{"a": 3}, 0.5)
	g.SetLimits(start.Add(time.Minute), map[string]float64{"a": 3}, 1)
	assert.Equal(t, g.allowed(start.Add(time.Minute), "a"), 4)
	assert.Equal(t, g.allowed(start.Add(time.Minute+handbackTime), "a"), 8)
}

func TestPartitionUsesItsShare(t *testing.T) {
	g := brittle(3)
	g.SetLimits(start, map[string]float64{"a": 3}, 0.5)
	assert.Equal(t, g.allowed(start, "a"), 4)
	g.Rejected(start, "a", 4)
	assert.Equal(t, g.allowed(start, "a"), 0, "1.5 rejections per second are left to it")
	g.SetLimits(start, map[string]float64{"a": 3}, 0.01)
	assert.Equal(t, g.allowed(start.Add(time.Minute), "a"), 0)
}
