package node

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/intake"
	"github.com/junctionfold/junctionfold/internal/callers"
)

// assumedMemoryMB is the memory of a VM whose settings name none.
const assumedMemoryMB = 1024

// newCallerTracker returns the tracker of the connections to the front end.
func (n *Node) newCallerTracker() *callers.Tracker {
	memoryMB := int(n.settings.Vm.MemoryMb)
	if memoryMB == 0 {
		memoryMB = assumedMemoryMB
	}
	limits := callers.LimitsOf(memoryMB, callers.ConnectionsPerMB*memoryMB)
	return callers.NewTracker(callers.Config{Limits: limits, Timeouts: n.callerTimeouts, Now: n.now})
}

func (n *Node) callerTimeouts() intake.Timeouts {
	return intake.Timeouts{Head: headerTimeout, Idle: time.Duration(n.settings.Door.IdleTimeoutMs) * time.Millisecond}
}
