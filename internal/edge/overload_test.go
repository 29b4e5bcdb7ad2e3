package edge

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/vmload"
	"github.com/junctionfold/junctionfold/schema"
)

// overloadedNode returns a VM that used all its processor time for two seconds, with new connections meanwhile.
// The other VM has room or is overloaded as well.
func overloadedNode(t *testing.T, peerOverloaded bool) *Node {
	t.Helper()
	n, now := disconnectedNode(t)
	var used time.Duration
	n.overload = newOverloadControl(n, &schema.EdgeVM{MemoryMb: 200, CpuShare: 0.2, CpuCores: 1}, func() vmload.Counters {
		return vmload.Counters{ProcessorTime: used}
	})
	for range 40 {
		*now = now.Add(50 * time.Millisecond)
		used += 10 * time.Millisecond
		n.overload.recordPeer("b", peerOverloaded)
		n.overload.admit()
	}
	return n
}

// TestOverloadedVMClosesConnectionsUnread guards against a VM that reads more requests than it has time for
// while other VMs have room.
func TestOverloadedVMClosesConnectionsUnread(t *testing.T) {
	n := overloadedNode(t, false)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &http.Server{Handler: http.NotFoundHandler()}
	n.overload.callers.Track(server)
	go func() { _ = server.Serve(n.overload.callers.Listener(listener)) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	read := 0
	const connections = 60
	for range connections {
		read += readResponses(t, listener.Addr().String())
	}
	assert.Assert(t, read > 0, "some connections must be accepted")
	assert.Assert(t, read <= connections/2, "%d of %d requests were read", read, connections)
	closed := n.overload.callers.Stats().Unread
	assert.Assert(t, closed >= int64(connections-read))
	n.waitFor(t, "no connection counts as open", func() bool { return n.overload.callers.Stats().Open == 0 })
}

// readResponses sends a request over a new connection and returns the number of responses.
func readResponses(t *testing.T, address string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	if _, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
		return 0
	}
	response, err := io.ReadAll(conn)
	if err != nil || len(response) == 0 {
		return 0
	}
	return 1
}

// TestOverloadedVMRetiresOpenConnections guards against a VM that stays overloaded by requests over connections that
// callers keep open.
func TestOverloadedVMRetiresOpenConnections(t *testing.T) {
	assert.Assert(t, overloadedNode(t, false).overload.retiring.Load())
	n, now := disconnectedNode(t)
	for range 40 {
		*now = now.Add(50 * time.Millisecond)
		n.overload.admit()
	}
	assert.Assert(t, !n.overload.retiring.Load(), "a VM without load")
}

// TestLeaderIsOverloadedEarlier guards against a leader whose callers leave it no time for the decisions of all VMs.
func TestLeaderIsOverloadedEarlier(t *testing.T) {
	load := vmload.Load{Processor: 0.75}
	assert.Equal(t, sampleOf(load, false).Use, 0.75)
	assert.Assert(t, sampleOf(load, true).Use > 0.9)
}

// TestOverloadedVMServesWhileOthersAreOverloaded guards against callers that are turned away by all VMs.
func TestOverloadedVMServesWhileOthersAreOverloaded(t *testing.T) {
	n := overloadedNode(t, true)
	for range 60 {
		assert.Assert(t, n.overload.admit())
	}
}

// pipeListener accepts a number of connections.
type pipeListener struct {
	net.Listener
	left int
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if l.left == 0 {
		return nil, net.ErrClosed
	}
	l.left--
	conn, _ := net.Pipe()
	return conn, nil
}

// TestConnectionsAreBoundedByMemory guards against a VM that exceeds its memory because of open connections, and
// against connections that stay open for nothing while new ones are turned away.
func TestConnectionsAreBoundedByMemory(t *testing.T) {
	n, now := disconnectedNode(t)
	n.overload = newOverloadControl(n, &schema.EdgeVM{MemoryMb: 16}, nil)
	const limit = 16 * callers.ConnectionsPerMB
	pipes := &pipeListener{left: limit + 1}
	listener := n.overload.callers.Listener(pipes)
	for range limit {
		_, err := listener.Accept()
		assert.NilError(t, err)
	}
	_, err := listener.Accept()
	assert.ErrorIs(t, err, net.ErrClosed)
	stats := n.overload.callers.Stats()
	assert.DeepEqual(t, stats, callers.Stats{Open: limit, Unread: 1})
	*now = now.Add(time.Minute)
	pipes.left = 1
	_, err = listener.Accept()
	assert.NilError(t, err)
	stats = n.overload.callers.Stats()
	assert.DeepEqual(t, stats, callers.Stats{Open: limit, Unread: 1, Evicted: 1})
}

// TestMemoryUseOfThePastClosesConnections guards against a VM that turns callers away for good, because it measures its
// memory only when it collects garbage and an idle VM collects none.
func TestMemoryUseOfThePastClosesConnections(t *testing.T) {
	n, now := disconnectedNode(t)
	var live, collections atomic.Uint64
	live.Store(100 << 20)
	n.overload = newOverloadControl(n, &schema.EdgeVM{MemoryMb: 200, CpuShare: 1, CpuCores: 1}, func() vmload.Counters {
		return vmload.Counters{LiveBytes: live.Load(), Collections: collections.Load()}
	})
	collected := make(chan struct{}, 1)
	n.overload.collect = func() {
		live.Store(20 << 20)
		collections.Add(1)
		collected <- struct{}{}
	}
	call := func(times int) {
		for range times {
			*now = now.Add(50 * time.Millisecond)
			n.overload.recordPeer("b", false)
			n.overload.admit()
		}
	}
	call(19)
	assert.Assert(t, n.overload.isOverloaded())
	call(20)
	<-collected
	call(200)
	assert.Assert(t, !n.overload.isOverloaded())
}
