package hop

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// keepAlive probes a target that sends nothing. Together with defaultAckTimeout, it makes
// an unresponsive connection fail within 4 s, also while a request waits for its
// response.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

func dialTCP(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
	return d.DialContext(ctx, "tcp", address)
}

// Pool is a pool of connections to targets.
type Pool struct {
	mu      sync.Mutex
	targets map[string]*targetConns
	// waits holds the requests without a response.
	waits     map[*Response]wait
	createdAt time.Time
	// heardAfter is the time from createdAt until a target last sent anything, in ns; 0: nothing yet.
	heardAfter atomic.Int64
	// OnDial, if set, is called before each connection attempt.
	OnDial func()
	// OnDialed, if set, is called with the key of the target and the result of each connection
	// attempt, unless the context of the request ended early.
	OnDialed func(key string, err error)
	// Dial opens TCP connections, which must implement syscall.Conn.
	Dial func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)
	// Now returns the time against which idle connections expire.
	Now func() time.Time
	// afterFunc is time.AfterFunc; tests replace it.
	afterFunc func(time.Duration, func()) *time.Timer
}

// targetConns holds the connections to one target. It is guarded by Pool.mu.
type targetConns struct {
	idle []*conn
	open int
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader // reads from limiter
	limiter headLimiter
	key     string
	expires time.Time
	closed  bool // guarded by Pool.mu
	// keep is the KeepConns of the last request.
	keep int
	// ackTimeoutSet is true while the ack timeout of a request is set on the connection
	// in place of defaultAckTimeout.
	ackTimeoutSet atomic.Bool
	// unacknowledged is set if bytes were being retransmitted when the context of the request ended.
	unacknowledged atomic.Bool
}

// New returns an empty Pool.
func New(onDial func()) *Pool {
	return &Pool{targets: map[string]*targetConns{}, waits: map[*Response]wait{}, createdAt: time.Now(), OnDial: onDial, Dial: dialTCP, Now: time.Now, afterFunc: time.AfterFunc}
}

// acquire returns an idle connection, or a new one.
func (p *Pool) acquire(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, ok := p.popIdleOrReserve(r)
		if !ok {
			return nil, ErrNoConnection
		}
		if c == nil {
			return p.dial(ctx, r)
		}
		c.keep = r.KeepConns
		if c.isIdleAndOpen(p.Now()) {
			return c, nil
		}
		p.discard(c)
	}
}

// popIdleOrReserve returns an idle connection. If there is none, it reserves a slot for
// a new connection and returns nil. ok is false if all slots are in use.
func (p *Pool) popIdleOrReserve(r *Request) (c *conn, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.targets[r.Key]
	if t == nil {
		t = &targetConns{}
		p.targets[r.Key] = t
	}
	if n := len(t.idle); n > 0 {
		c = t.idle[n-1]
		t.idle = t.idle[:n-1]
		return c, true
	}
	if r.MaxConns > 0 && t.open >= r.MaxConns {
		return nil, false
	}
	t.open++
	return nil, true
}

func (p *Pool) dial(ctx context.Context, r *Request) (*conn, error) {
	dialCtx, cancel := context.WithTimeout(ctx, r.dialTimeout(ctx))
	defer cancel()
	raw, err := p.connect(dialCtx, r.Address)
	if p.OnDialed != nil && ctx.Err() == nil {
		p.OnDialed(r.Key, err)
	}
	if err != nil {
		p.releaseSlot(r.Key)
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", r.Key), ErrUnreachable)
	}
	return newConn(raw, r), nil
}

func newConn(raw net.Conn, r *Request) *conn {
	c := &conn{Conn: raw, limiter: headLimiter{r: raw}, key: r.Key, keep: r.KeepConns}
	c.reader = bufio.NewReaderSize(&c.limiter, readBufferBytes)
	return c
}

// dialTimeout returns the timeout of a connection attempt for a request with the given context.
func (r *Request) dialTimeout(ctx context.Context) time.Duration {
	timeout := dialTimeout
	if r.DialTimeout > 0 {
		timeout = min(timeout, r.DialTimeout)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Duration(maxDialShare*float64(time.Until(deadline))))
	}
	return timeout
}

// connect makes a new connection.
func (p *Pool) connect(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Control: dialControl, KeepAliveConfig: keepAlive}
	if p.OnDial != nil {
		p.OnDial()
	}
	return p.Dial(ctx, &d, address)
}

// dialControl sets the ack timeout of a new connection, which makes a connection to a
// machine without power fail.
func dialControl(_, _ string, raw syscall.RawConn) error {
	return setUserTimeout(raw, defaultAckTimeout)
}

// setUserTimeout sets how long sent bytes may remain unacknowledged on a connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.CombineErrors(err, sockErr)
}

// applyAckTimeout sets the ack timeout for the bytes that are sent next. A connection
// that is still open when the timeout has passed has had its bytes acknowledged. Its
// default timeout is then restored, since with the shorter one a single lost keep-alive
// probe would close the connection while the target sends no data. The caller must stop
// the returned timer, if not nil, before another request uses the connection.
func (p *Pool) applyAckTimeout(c *conn, timeout time.Duration) *time.Timer {
	isShort := timeout > 0 && timeout < defaultAckTimeout
	if !isShort {
		if c.ackTimeoutSet.Load() {
			c.setAckTimeout(defaultAckTimeout, false)
		}
		return nil
	}
	if !c.ackTimeoutSet.Load() {
		c.setAckTimeout(timeout, true)
	}
	return p.afterFunc(timeout, func() { c.setAckTimeout(defaultAckTimeout, false) })
}

// setAckTimeout sets the ack timeout of the connection. It fails only if the connection
// is closed, and then nothing can be sent on it.
func (c *conn) setAckTimeout(timeout time.Duration, isShort bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || setUserTimeout(raw, timeout) != nil {
		return
	}
	c.ackTimeoutSet.Store(isShort)
}

// retransmits reports whether sent bytes are being retransmitted without an acknowledgement.
func (c *conn) retransmits() bool {
	info, _ := c.tcpInfo()
	return info != nil && info.Unacked > 0 && info.Retransmits > 0
}

// tcpInfo returns the kernel's state of the connection, or nil if the kernel does not tell. open is false
// if this process has closed the connection.
func (c *conn) tcpInfo() (info *unix.TCPInfo, open bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return nil, false
	}
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if infoErr != nil {
		info = nil
	}
	return info, err == nil
}

func (p *Pool) releaseSlot(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.releaseSlotLocked(key)
}

func (p *Pool) releaseSlotLocked(key string) {
	t := p.targets[key]
	t.open--
	if t.open == 0 && len(t.idle) == 0 {
		delete(p.targets, key)
	}
}

// reset closes a connection with a TCP reset while its request is unfinished. Bytes that
// a broken link still delays are then never delivered: the request must not run after it
// was abandoned.
func (p *Pool) reset(c *conn) {
	if tcp, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	p.discard(c)
}

// discard closes a connection. Its slot is free when discard returns.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	wasOpen := !c.closed
	if wasOpen {
		c.closed = true
		p.releaseSlotLocked(c.key)
	}
	p.mu.Unlock()
	if wasOpen {
		_ = c.Close() // the connection is no longer used
	}
}

// isIdleAndOpen reports whether an idle connection can be reused: it has not expired, the
// target has not closed it, and no bytes are pending that belong to no request.
func (c *conn) isIdleAndOpen(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// isClosedBothWays reports whether nothing can be sent or received any more. After a close by the target
// alone, bytes can still be sent. False also means that the state is unknown.
func (c *conn) isClosedBothWays() bool {
	info, open := c.tcpInfo()
	return !open || info != nil && info.State == unix.BPF_TCP_CLOSE
}

// CloseIdle closes the idle connections that have expired at now. It must be called
// periodically.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var expired []*conn
	for _, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if now.After(c.expires) {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		t.idle = kept
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.discard(c)
	}
}

// Forget closes the idle connections to a target that has been removed.
func (p *Pool) Forget(key string) {
	p.mu.Lock()
	var idle []*conn
	if t := p.targets[key]; t != nil {
		idle, t.idle = t.idle, nil
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.discard(c)
	}
}

// putUnused returns a connection to the pool on which nothing was sent.
func (p *Pool) putUnused(c *conn) {
	if c.expires.IsZero() {
		c.expires = p.Now().Add(defaultIdleTimeout)
	}
	p.putIdle(c)
}

// putIdle returns a connection to the pool, unless it has been closed in the meantime. It closes the connection
// if more are open than may stay so.
func (p *Pool) putIdle(c *conn) {
	if !p.keepIdle(c) {
		p.discard(c)
	}
}

// keepIdle returns a connection to the pool, and reports whether it did or the connection has been closed.
func (p *Pool) keepIdle(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.closed {
		return true
	}
	t := p.targets[c.key]
	if c.keep > 0 && t.open > c.keep {
		return false
	}
	t.idle = append(t.idle, c)
	return true
}
