package servicequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// slowPhase is the period for which a target is either slow or not, and slowShare the share of slow
	// periods.
	slowPhase = 600 * time.Millisecond
	slowShare = 0.15
	// simulatedCapacity is the number of calls per second that three targets of six slots serve when none
	// is slow.
	simulatedCapacity = 288.0
)

// slowAtTimes makes targets slow in random periods.
func (sim *simulation) slowAtTimes(seed uint64) {
	for i, t := range sim.targets {
		t.isSlow = func(now time.Time) bool {
			period := uint64(now.Sub(start) / slowPhase)
			return rand.New(rand.NewPCG(seed+uint64(i)<<32, period)).Float64() < slowShare
		}
	}
}

// TestTargetsSlowAtTimes guards against calls that wait until they are late before they are refused, and
// against a forecast that a slow target makes wrong for all targets.
func TestTargetsSlowAtTimes(t *testing.T) {
	for _, row := range []struct {
		load      float64
		objective time.Duration
		// minWorth lies above the worth of a queue that refused late calls after 400 ms: 0.991, 0.929, 0.921,
		// 0.781, 0.785, 0.560, 0.421, 0.584, 0.403 and 0.302 (seeds 0 to 3), except in the first row.
		minWorth float64
	}{
		{0.5, 300 * time.Millisecond, 0.98},
		{0.5, 150 * time.Millisecond, 0.932},
		{0.7, 300 * time.Millisecond, 0.93},
		{0.7, 150 * time.Millisecond, 0.83},
		{0.9, 300 * time.Millisecond, 0.82},
		{1.2, 300 * time.Millisecond, 0.61},
		{1.6, 300 * time.Millisecond, 0.46},
		{0.9, 150 * time.Millisecond, 0.73},
		{1.2, 150 * time.Millisecond, 0.57},
		{1.6, 150 * time.Millisecond, 0.42},
	} {
		t.Run(fmt.Sprint(row.load, row.objective), func(t *testing.T) {
			var sum callCounts
			for seed := range uint64(2) {
				sim := newSimulation(seed)
				sim.objective = row.objective
				sim.slowAtTimes(seed)
				sum.add(sim.run(row.load*simulatedCapacity, 12*time.Second, sim.sharedQueue(true)))
			}
			t.Logf("worth %.3f: in time %.3f, again %.3f, late %.3f, refused %.3f", sum.worth(), sum.share(sum.inTime), sum.share(sum.inTimeAgain), sum.share(sum.late), sum.share(sum.refused))
			assert.Assert(t, sum.worth() >= row.minWorth)
		})
	}
}

// TestSlowTargetIsDetectedAndForgotten guards against one mean of all targets, with which a slow target
// lengthens the expected wait at the others, and against a slow phase that is remembered.
func TestSlowTargetIsDetectedAndForgotten(t *testing.T) {
	times := newServiceTimes()
	now := start
	observe := func(duration time.Duration) {
		now = now.Add(10 * time.Millisecond)
		times.observe(now, "slow", duration)
		times.observe(now, "other", 60*time.Millisecond)
	}
	for range 100 {
		observe(60 * time.Millisecond)
	}
	for range 20 {
		observe(150 * time.Millisecond)
	}
	assert.Assert(t, times.at(now, "slow") > 100*time.Millisecond, "%v", times.at(now, "slow"))
	assert.Assert(t, times.at(now, "other") < 80*time.Millisecond, "%v", times.at(now, "other"))
	for range 30 {
		observe(60 * time.Millisecond)
	}
	assert.Assert(t, times.at(now, "slow") < 85*time.Millisecond, "%v", times.at(now, "slow"))
	times.expire(now.Add(10 * time.Second))
	assert.Equal(t, len(times.targets), 0)
}

// TestRefusalsOfLateRequestsComeEarly guards against callers that learn only after most of their objective
// that they were refused, and against refusals of kept requests that can still be served.
func TestRefusalsOfLateRequestsComeEarly(t *testing.T) {
	h := newHarness()
	var kept, refused int
	for range 60 {
		_, acts := h.submit(0, 300*time.Millisecond, 1500*time.Millisecond)
		if len(acts) == 0 {
			kept++
		} else if acts[0].Target == "" {
			assert.Equal(t, acts[0].Reason, ReasonQueueTooLong)
			refused++
		}
	}
	assert.Assert(t, kept > 4 && refused > 30, "%d kept, %d refused", kept, refused)
	for ms := 80; ms < 1400; ms += 20 {
		assert.Equal(t, len(h.queue.Tick(at(ms))), 0, "refused after %d ms", ms)
	}
	assert.Equal(t, len(h.queue.Tick(at(1480))), kept)
}
