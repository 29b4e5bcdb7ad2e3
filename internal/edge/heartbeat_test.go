package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHeartbeatIsQuickAtTheStart: VMs that start together must find each other soon.
func TestHeartbeatIsQuickAtTheStart(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	for _, row := range []struct {
		name string
		up   time.Duration
		vms  int64
		want time.Duration
	}{
		{"just started", 0, 6, startHeartbeat},
		{"just started, in a large fleet", startTime - 1, 90, startHeartbeat},
		{"a small fleet", startTime, 6, heartbeat},
		{"a large fleet", startTime, 90, slowHeartbeat},
	} {
		n := &Node{began: began, now: func() time.Time { return began.Add(row.up) }}
		n.vms.Store(row.vms)
		assert.Equal(t, n.heartbeat(), row.want, row.name)
	}
}
