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

// keepAlive asks a target for a sign of life where nothing comes for a while: with
// unacknowledged, a connection that fell silent fails within 4 s, also while its request
// waits for the answer.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// Pool keeps connections to targets.
type Pool struct {
	mu      sync.Mutex
	targets map[string]*targetConns
	// OnDial counts new connections.
	OnDial func()
	// Now is the time by which kept connections expire.
	Now func() time.Time
	// after is time.AfterFunc.
	after func(time.Duration, func()) *time.Timer
}

// targetConns is the connections to one target. Pool.mu guards it.
type targetConns struct {
	idle []*conn
	open int
}

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	reader  *bufio.Reader
	key     string
	expires time.Time
	closed  bool // guarded by Pool.mu
	// short says that a request's own bound for unacknowledged bytes is set.
	short atomic.Bool
}

// New returns an empty Pool.
func New(onDial func()) *Pool {
	return &Pool{targets: map[string]*targetConns{}, OnDial: onDial, Now: time.Now, after: time.AfterFunc}
}

// get returns a kept connection, or a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	for {
		c, ok := p.takeIdle(r)
		if !ok {
			return nil, ErrNoConnection
		}
		if c == nil {
			return p.dial(ctx, r)
		}
		if c.stillOpen(p.Now()) {
			return c, nil
		}
		p.discard(c)
	}
}

// takeIdle returns a kept connection, or nil with a place for a new one; ok is
// false when there is neither.
func (p *Pool) takeIdle(r *Request) (c *conn, ok bool) {
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
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := net.Dialer{Control: dialControl, KeepAliveConfig: keepAlive}
	if p.OnDial != nil {
		p.OnDial()
	}
	raw, err := d.DialContext(ctx, "tcp", r.Address)
	if err != nil {
		p.forgetOne(r.Key)
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", r.Key), ErrUnreachable)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), key: r.Key}, nil
}

// dialControl makes a connection to a machine without power fail.
func dialControl(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unacknowledged) }

// setUserTimeout bounds how long sent bytes may go unacknowledged on a connection.
func setUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
}

// limitAck bounds how long what is sent next may go unacknowledged. A connection that is
// alive when the bound is over has had its bytes acknowledged and returns to the longer
// one, since the shorter one would end it with a single probe lost while its target is
// silent. The timer is to be stopped before the connection is used for another request.
func (p *Pool) limitAck(c *conn, within time.Duration) *time.Timer {
	short := within > 0 && within < unacknowledged
	if !short {
		if c.short.Load() {
			c.setAckLimit(unacknowledged, false)
		}
		return nil
	}
	if !c.short.Load() {
		c.setAckLimit(within, true)
	}
	return p.after(within, func() { c.setAckLimit(unacknowledged, false) })
}

// setAckLimit sets the bound for unacknowledged bytes. It fails only on a closed
// connection, on which nothing can be sent.
func (c *conn) setAckLimit(limit time.Duration, short bool) {
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil || setUserTimeout(raw, limit) != nil {
		return
	}
	c.short.Store(short)
}

func (p *Pool) forgetOne(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forgetOneLocked(key)
}

func (p *Pool) forgetOneLocked(key string) {
	t := p.targets[key]
	t.open--
	if t.open == 0 && len(t.idle) == 0 {
		delete(p.targets, key)
	}
}

// abandon ends a connection whose request is not over. It is reset, so that bytes
// which a broken link still holds back are never delivered: the request must not run
// after it was given up.
func (p *Pool) abandon(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if it is closed already
	}
	p.discard(c)
}

// discard closes a connection for good. Its place is free when it returns.
func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	first := !c.closed
	if first {
		c.closed = true
		p.forgetOneLocked(c.key)
	}
	p.mu.Unlock()
	if first {
		_ = c.Close() // nothing is read or written on it any more
	}
}

// stillOpen looks for what a target sent while the connection was idle: an end,
// or bytes that belong to no request.
func (c *conn) stillOpen(now time.Time) bool {
	if now.After(c.expires) || c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peekErr, unix.EAGAIN)
		return true
	})
	return err == nil && open
}

// CloseIdle closes kept connections that are about to expire. It is to be called
// now and then.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for _, t := range p.targets {
		kept := t.idle[:0]
		for _, c := range t.idle {
			if now.After(c.expires) {
				old = append(old, c)
			} else {
				kept = append(kept, c)
			}
		}
		t.idle = kept
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// Forget closes the kept connections to a target that is gone.
func (p *Pool) Forget(key string) {
	p.mu.Lock()
	var old []*conn
	if t := p.targets[key]; t != nil {
		old, t.idle = t.idle, nil
	}
	p.mu.Unlock()
	for _, c := range old {
		p.discard(c)
	}
}

// keepUnused keeps a connection on which nothing was sent.
func (p *Pool) keepUnused(c *conn) {
	if c.expires.IsZero() {
		c.expires = p.Now().Add(idleDefault)
	}
	p.keep(c)
}

// keep makes a connection available again, unless it was closed meanwhile.
func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.closed {
		t := p.targets[c.key]
		t.idle = append(t.idle, c)
	}
}
