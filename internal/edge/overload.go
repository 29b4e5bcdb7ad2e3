package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadshed"
)

// connectionsPerMB bounds the open connections of callers by the memory of the VM. They take up to 32 kB
// each, a quarter of the memory in all.
const connectionsPerMB = 8

// overloadControl closes new connections of callers unread while this VM has more work than processor time
// and others have room, and those beyond maxOpen. Lock order: no other lock is acquired while
// overloadControl.mu is held.
type overloadControl struct {
	node    *Node
	maxOpen int

	mu         sync.Mutex
	controller *loadshed.Controller
	open       int
	closed     int64
}

func newOverloadControl(n *Node, memoryMB int) *overloadControl {
	return &overloadControl{node: n, maxOpen: connectionsPerMB * memoryMB, controller: loadshed.New(n.now())}
}

// run measures the delay of ticks until the context ends.
func (o *overloadControl) run(ctx context.Context) {
	for {
		late, ok := o.node.waitForTick(ctx)
		if !ok {
			return
		}
		o.observe(late)
	}
}

func (o *overloadControl) observe(delay time.Duration) {
	o.mu.Lock()
	wasClosing := o.controller.IsClosing()
	o.controller.Observe(o.node.now(), delay)
	isClosing, closed := o.controller.IsClosing(), o.closed
	o.mu.Unlock()
	switch {
	case isClosing && !wasClosing:
		o.node.log.OverloadBegan(delay)
	case wasClosing && !isClosing:
		o.node.log.OverloadEnded(closed)
	}
}

// isOverloaded reports whether this VM has more work than processor time.
func (o *overloadControl) isOverloaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controller.Overloaded()
}

// recordPeer records whether another VM is overloaded.
func (o *overloadControl) recordPeer(vm coord.VMID, overloaded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.RecordPeer(o.node.now(), vm, overloaded)
}

// stats returns the number of open connections of callers, and how many were closed unread.
func (o *overloadControl) stats() (open, closed int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return int64(o.open), o.closed
}

// admit reports whether a new connection is served.
func (o *overloadControl) admit() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.controller.Accept(o.node.now()) || o.open >= o.maxOpen {
		o.closed++
		return false
	}
	return true
}

// connectionChanged counts the open connections. It is the ConnState of the callers' server.
func (o *overloadControl) connectionChanged(_ net.Conn, state http.ConnState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch state {
	case http.StateNew:
		o.open++
	case http.StateHijacked, http.StateClosed:
		o.open--
	}
}

// listener returns a listener that accepts what admit allows and closes the other connections.
func (o *overloadControl) listener(l net.Listener) net.Listener {
	return &sheddingListener{Listener: l, control: o}
}

type sheddingListener struct {
	net.Listener
	control *overloadControl
}

// Accept returns the next connection that is served.
func (l *sheddingListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.control.admit() {
			return conn, nil
		}
		_ = conn.Close() // nothing was read, and the caller tries another VM
	}
}
