package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHeartbeatIntervalIsShortAtStartup checks the heartbeat intervals. VMs that start together
// must discover each other quickly.
func TestHeartbeatIntervalIsShortAtStartup(t *testing.T) {
	startedAt := time.Unix(1_000_000, 0)
	for _, row := range []struct {
		name   string
		uptime time.Duration
		vms    int64
		want   time.Duration
	}{
		{"just started", 0, 6, startupHeartbeatInterval},
		{"just started, in a large fleet", startupTime - 1, 90, startupHeartbeatInterval},
		{"a small fleet", startupTime, 6, heartbeatInterval},
		{"a large fleet", startupTime, 90, largeFleetHeartbeatInterval},
	} {
		n := &Node{startedAt: startedAt, now: func() time.Time { return startedAt.Add(row.uptime) }}
		n.vmCount.Store(row.vms)
		assert.Equal(t, n.currentHeartbeatInterval(), row.want, row.name)
	}
}
