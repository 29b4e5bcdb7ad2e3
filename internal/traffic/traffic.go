// Package traffic counts the bytes that a process sends and receives.
package traffic

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// packetOverhead is the size in bytes of the headers that a read or write has at least on the link.
const packetOverhead = 66

// Counter counts bytes. Its zero value is ready to use.
type Counter struct {
	in, out       atomic.Int64
	reads, writes atomic.Int64
}

// Bytes returns the number of bytes that connections of the counter have received and sent.
func (c *Counter) Bytes() (in, out int64) { return c.in.Load(), c.out.Load() }

// LinkBytes is Bytes with the headers of the packets, for one packet a read or write.
func (c *Counter) LinkBytes() (in, out int64) {
	return c.in.Load() + packetOverhead*c.reads.Load(), c.out.Load() + packetOverhead*c.writes.Load()
}

// Conn returns a connection whose bytes are counted.
func (c *Counter) Conn(conn net.Conn) *Conn { return &Conn{Conn: conn, counter: c} }

// Dial returns a dial function whose connections are counted.
func (c *Counter) Dial(dial fleet.DialFunc) fleet.DialFunc {
	return func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		conn, err := dial(ctx, d, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

// Conn is a connection whose bytes are counted.
type Conn struct {
	net.Conn
	counter *Counter
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.counter.in.Add(int64(n))
		c.counter.reads.Add(1)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counter.out.Add(int64(n))
	c.counter.writes.Add(1)
	return n, err
}

// errNotTCP is returned where the underlying connection is not a TCP connection.
var errNotTCP = errors.New("not a TCP connection")

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotTCP
	}
	return raw.SyscallConn()
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(interface{ SetLinger(int) error })
	if !ok {
		return errNotTCP
	}
	return tcp.SetLinger(seconds)
}
