package callers

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/junctionfold/junctionfold/coord/intake"
)

// Reasons for which a connection is ended.
var (
	errEvicted = errors.New("the client gives way to others")
	errStopped = errors.New("the client has stopped for too long")
)

// What a client may hold.
const (
	// partialHead is a head that has not arrived as a whole, parsedHead that of the current request, and body its body.
	partialHead = iota
	parsedHead
	body
	kinds
)

// Conn is the connection of a client. Methods that track the client have no effect on a nil Conn, which stands for a
// connection that is not tracked.
type Conn struct {
	net.Conn
	tracker *Tracker
	client  *intake.Client
	// heads is used by the goroutine that reads only.
	heads headScanner
	// ended is why the connection was ended; nil: it was not.
	ended atomic.Pointer[error]

	// mu guards held, the bytes of each kind. It is acquired before Tracker.mu.
	mu   sync.Mutex
	held [kinds]int64
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended.Load() != nil {
		return 0, net.ErrClosed
	}
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	phase := c.tracker.received(c, n)
	c.heads.scan(p[:n])
	if !c.hold(partialHead, c.heads.cost()) && phase == intake.Head {
		_, _ = io.WriteString(c.Conn, refusal) // no response is in progress; the client may have left
		return 0, io.EOF
	}
	return n, err
}

// refusal is the response to a head for which there is no room.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// writeChunkBytes is the size of the parts in which bytes are written, so that it shows when a client takes some.
const writeChunkBytes = 32 << 10

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	for written := 0; ; {
		end := min(len(p), written+writeChunkBytes)
		n, err := c.writeChunk(p[written:end])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) writeChunk(p []byte) (int, error) {
	t := c.tracker
	t.mu.Lock()
	end := t.table.BeginResponse(t.cfg.Now(), c.client)
	t.mu.Unlock()
	n, err := c.Conn.Write(p)
	t.mu.Lock()
	end(t.cfg.Now())
	t.mu.Unlock()
	return n, err
}

// SetReadDeadline implements net.Conn. The reads of a connection that was ended fail whatever the deadline.
func (c *Conn) SetReadDeadline(d time.Time) error {
	err := c.Conn.SetReadDeadline(d)
	if c.ended.Load() != nil {
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return err
}

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// lingerSetter is implemented by TCP connections and their wrappers.
type lingerSetter interface{ SetLinger(seconds int) error }

// errNotTCP is returned where the underlying connection is not a TCP connection.
var errNotTCP = errors.New("not a TCP connection")

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(lingerSetter)
	if !ok {
		return errNotTCP
	}
	return tcp.SetLinger(seconds)
}

// CloseWrite is that of net.TCPConn.
func (c *Conn) CloseWrite() error {
	tcp, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return errNotTCP
	}
	return tcp.CloseWrite()
}

// ending is a connection to be ended.
type ending struct {
	conn   *Conn
	phase  intake.Phase
	reason error
}

// endingsOf returns the endings of clients that were removed. Tracker.mu is held.
func endingsOf(clients []*intake.Client, reason error) []ending {
	var out []ending
	for _, c := range clients {
		out = append(out, ending{conn: c.Owner.(*Conn), phase: c.Phase(), reason: reason})
	}
	return out
}

// end makes all reads fail. It closes the connection, unless a handler that reads a body can respond.
func (e ending) end() {
	c := e.conn
	c.ended.CompareAndSwap(nil, &e.reason)
	switch e.phase {
	case intake.Body:
		_ = c.Conn.SetReadDeadline(pastDeadline) // fails only if the connection is closed
		return
	case intake.Response:
		_ = c.SetLinger(0) // the kernel would keep what the client does not take
	}
	_ = c.Conn.Close() // the client may have closed it as well
}

// endReason returns why the connection was ended; nil: it was not.
func (c *Conn) endReason() error {
	if c == nil {
		return nil
	}
	if reason := c.ended.Load(); reason != nil {
		return *reason
	}
	return nil
}

// enter begins a phase. It returns false if the client has been removed.
func (c *Conn) enter(p intake.Phase, deadline time.Time) bool {
	if c == nil {
		return true
	}
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Enter(t.cfg.Now(), c.client, p, deadline)
	return !c.client.Removed()
}

// endRequest releases what the request held. The next one may have begun.
func (c *Conn) endRequest() {
	c.hold(body, 0)
	c.hold(parsedHead, 0)
	c.enter(intake.Idle, time.Time{})
	if c.heads.isPartial() {
		c.enter(intake.Head, time.Time{})
	}
}

// beginDiscard bounds the time in which the rest of a body is discarded.
func (c *Conn) beginDiscard() {
	if c == nil {
		return
	}
	c.hold(body, 0)
	c.enter(intake.Body, c.tracker.cfg.Now().Add(discardTimeout))
}

// discardTimeout bounds the time for the rest of a body after its request was responded to.
const discardTimeout = 3 * time.Second

func (c *Conn) remove() {
	t := c.tracker
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Remove(c.client)
}

// hold sets the bytes of a kind that the client holds, and ends the clients that give way for them. It returns false
// if there is no room.
func (c *Conn) hold(kind int, bytes int64) bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if bytes == c.held[kind] {
		return true
	}
	sum := bytes - c.held[kind]
	for _, b := range c.held {
		sum += b
	}
	if !c.tracker.hold(c, sum) {
		return false
	}
	c.held[kind] = bytes
	return true
}

// received records that bytes arrived, and returns the phase of the client.
func (t *Tracker) received(c *Conn, n int) intake.Phase {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Received(now, c.client, n)
	return c.client.Phase()
}

// hold sets the bytes that a client holds, and ends the clients that give way for them.
func (t *Tracker) hold(c *Conn, bytes int64) bool {
	t.mu.Lock()
	evicted, ok := t.table.Hold(t.cfg.Now(), c.client, bytes)
	t.stats.Evicted += int64(len(evicted))
	if !ok {
		t.stats.Refused++
	}
	endings := endingsOf(evicted, errEvicted)
	t.mu.Unlock()
	for _, e := range endings {
		e.end()
	}
	return ok
}

// setReceiveBuffer sets the size of the receive buffer of the connections that a listener accepts.
func setReceiveBuffer(l net.Listener) {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return
	}
	_ = conn.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes) // the kernel's default stays
	})
}
