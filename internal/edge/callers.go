package edge

import (
	"net"
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/coord/intake"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/schema"
)

// newCallerTracker returns the tracker of the connections to the front end.
func (o *overloadControl) newCallerTracker(vm *schema.EdgeVM) *callers.Tracker {
	return callers.NewTracker(callers.Config{
		Limits:   callers.LimitsOf(int(vm.MemoryMb), maxCallerConnections(vm)),
		Timeouts: o.node.callerTimeouts, Now: o.node.now, Admit: o.admit,
		Wrap: func(c net.Conn) net.Conn { return o.traffic.Conn(c) },
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

// serveTracked starts a server at a listener whose connections a tracker limits.
func serveTracked(h http.Handler, l net.Listener, t *callers.Tracker, failed chan<- error) *http.Server {
	s := newServer(h)
	t.Track(s)
	serve(s, t.Listener(l), failed)
	return s
}
