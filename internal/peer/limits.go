package peer

import (
	"container/list"
	"net"
	"sync"
)

// Bounds of connections on which no VM has introduced itself yet.
const (
	// maxHandshakes is the number of accepted connections in a handshake. Beyond it the oldest one is closed.
	maxHandshakes = 256
	// maxHelloBytes is the size of the largest Hello, and maxHandshakeBytes what is read before it was accepted.
	maxHelloBytes, maxHandshakeBytes = 4 << 10, 16 << 10
)

// handshakeConn limits how much is read from a connection until allowAll is called: yamux buffers what other streams
// receive before the first one was read.
type handshakeConn struct {
	net.Conn
	// left is used by the reader only.
	left    int
	allowed chan struct{}
	once    sync.Once
}

func newHandshakeConn(c net.Conn) *handshakeConn {
	return &handshakeConn{Conn: c, left: maxHandshakeBytes, allowed: make(chan struct{})}
}

// Read implements net.Conn. It waits for allowAll when the limit is reached.
func (c *handshakeConn) Read(p []byte) (int, error) {
	if c.left <= 0 {
		<-c.allowed
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

func (c *handshakeConn) allowAll() { c.once.Do(func() { close(c.allowed) }) }

// handshakes holds the accepted connections in a handshake, oldest first.
type handshakes struct {
	mu    sync.Mutex
	conns list.List
}

// add adds a connection, and closes the oldest one if there are too many. end removes it.
func (h *handshakes) add(c net.Conn) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	element := h.conns.PushBack(c)
	if h.conns.Len() > maxHandshakes {
		_ = h.conns.Remove(h.conns.Front()).(net.Conn).Close() // its handshake fails
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.conns.Remove(element) // no effect if it was removed before
	}
}
