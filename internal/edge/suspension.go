package edge

import "time"

// minLoggedSuspension is the shortest suspension that is logged: one heartbeat interval.
const minLoggedSuspension = heartbeatInterval

// checkSuspension checks whether this VM was suspended and adds the time to the node's clock, so
// that all ages, leases and backoffs include it. It is called with each tick, and before each
// decision that depends on one of them: the check of a caller's request, a decision on a request, a
// send to a target and an order.
func (n *Node) checkSuspension() {
	if suspended := n.clock.Refresh(); suspended >= minLoggedSuspension {
		n.log.Suspended(suspended)
	}
}

// until returns the time from now until at.
func (n *Node) until(at time.Time) time.Duration { return at.Sub(n.now()) }
