package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/coord/intake"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/schema"
)

// What callers may make a VM hold.
const (
	// callerMemoryShare is the share of the memory for heads and bodies beyond freeCallerBytes, and largeCallerShare the
	// part of it that callers may fill which hold more than smallCallerBytes.
	callerMemoryShare = 1.0 / 8
	largeCallerShare  = 0.75
	// freeCallerBytes is the part of a connection's memory that a head and a body may take without counting.
	freeCallerBytes  = 16 << 10
	smallCallerBytes = 64 << 10
	// receiveBufferBytes is the size of the receive buffer of a connection. Bytes that are received and not read
	// take memory of the VM as well.
	receiveBufferBytes = 32 << 10
)

// Limits of the listeners for health checks and metrics.
const (
	maxOperatorConnections = 64
	operatorBytes          = 1 << 20
)

// newCallerTracker returns the tracker of the connections to the front end.
func (o *overloadControl) newCallerTracker(vm *schema.EdgeVM) *callers.Tracker {
	bytes := callerMemoryShare * float64(vm.MemoryMb) * (1 << 20)
	return callers.NewTracker(callers.Config{
		Limits: intake.Limits{
			Clients: maxCallerConnections(vm), Bytes: int64(bytes), LargeBytes: int64(largeCallerShare * bytes),
			Free: freeCallerBytes, Small: smallCallerBytes,
		},
		ReceiveBytes: receiveBufferBytes, Timeouts: o.node.callerTimeouts, Now: o.node.now, Admit: o.admit,
		Wrap: func(c net.Conn) net.Conn { return o.traffic.Conn(c) },
	})
}

// newOperatorTracker returns the tracker of the connections to a listener for health checks or metrics.
func (n *Node) newOperatorTracker() *callers.Tracker {
	return callers.NewTracker(callers.Config{
		Limits:       intake.Limits{Clients: maxOperatorConnections, Bytes: operatorBytes, LargeBytes: operatorBytes, Free: freeCallerBytes, Small: smallCallerBytes},
		ReceiveBytes: receiveBufferBytes, Timeouts: n.callerTimeouts, Now: n.now,
	})
}

// callerTimeouts returns the timeouts of the configuration in force, or the defaults.
func (n *Node) callerTimeouts() intake.Timeouts {
	out := intake.Timeouts{Head: headerTimeout, Idle: idleTimeout}
	if c := n.feed.Directory().Config; c != nil {
		out.Head = shorterTimeout(out.Head, c.Limits.HeaderTimeout)
		out.Idle = shorterTimeout(out.Idle, c.Limits.IdleTimeout)
	}
	return out
}

// shorterTimeout returns the configured timeout if there is one that is shorter than the default.
func shorterTimeout(standard, configured time.Duration) time.Duration {
	if configured <= 0 {
		return standard
	}
	return min(standard, configured)
}

// listenAndTrack serves a listener whose connections a tracker limits.
func listenAndTrack(h http.Handler, l net.Listener, t *callers.Tracker, failed chan<- error) *http.Server {
	s := newServer(h)
	t.Track(s)
	serve(s, t.Listener(l), failed)
	return s
}
