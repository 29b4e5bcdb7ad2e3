package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDelaysEndAtTicks guards against loops that drift apart, each of which then wakes the process by
// itself, and against delays that grow with each round.
func TestDelaysEndAtTicks(t *testing.T) {
	for _, since := range []time.Duration{0, time.Millisecond, 7 * time.Millisecond, 19 * time.Millisecond} {
		n := &Node{tickOrigin: time.Now().Add(-since)}
		assert.Assert(t, n.nextTick(0).After(time.Now()))
		for _, delay := range []time.Duration{minAlignedDelay, 300 * time.Millisecond, 500 * time.Millisecond} {
			aligned := n.alignToTick(delay)
			end := time.Now().Add(aligned).Sub(n.tickOrigin)
			offTick := (end + tickInterval/2).Truncate(tickInterval) - end
			assert.Assert(t, offTick.Abs() < 5*time.Millisecond, "%s ends %s from a tick", delay, offTick)
			assert.Assert(t, (aligned-delay).Abs() <= tickInterval/2+5*time.Millisecond, "%s became %s", delay, aligned)
		}
		assert.Equal(t, n.alignToTick(50*time.Millisecond), 50*time.Millisecond)
	}
}
