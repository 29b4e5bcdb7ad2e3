// Package hop sends one HTTP/1.1 request to one target and reads its answer.
//
// net/http's own client is not used for this: it repeats requests by itself when
// a kept connection breaks, and it takes whatever comes next on a connection for
// the answer. Here the caller always learns whether anything can have been sent,
// and an answer with another request's id is passed over.
//
// Connections are kept per target, closed before the target would close them,
// and never more than the caller's share of what a target accepts.
package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Errors of Do after which nothing can have reached the target. Any other error
// leaves open whether the request ran.
var (
	// ErrUnreachable: no connection could be made.
	ErrUnreachable = errors.New("the target cannot be reached")
	// ErrNoConnection: all of the caller's share of connections is in use.
	ErrNoConnection = errors.New("no connection to the target is free")
)

// NotSent reports whether an error of Do says that nothing was sent.
func NotSent(err error) bool {
	return errors.IsAny(err, ErrUnreachable, ErrNoConnection)
}

// Times and sizes of connections.
const (
	// dialTimeout bounds a connection attempt: targets are a few ms away.
	dialTimeout = 700 * time.Millisecond
	// idleMargin is how long before a target's own idle timeout a connection is
	// closed: the target's clock started earlier, by the way of its answer.
	idleMargin = 700 * time.Millisecond
	// idleDefault holds where a target announces no timeout.
	idleDefault = 4 * time.Second
	// unacknowledged is how long sent bytes may go unacknowledged.
	unacknowledged = 3 * time.Second
	// readBuffer of a connection, in bytes; an event has some dozens.
	readBuffer = 2 << 10
	// inlineBody is the largest body written before the answer is read, in
	// bytes; a target need not read a longer one before it answers.
	inlineBody = 8 << 10
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// maxForeignBody is the longest body read of such an answer, in bytes.
	maxForeignBody = 1 << 20
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
}

// New returns an empty Pool.
func New(onDial func()) *Pool {
	return &Pool{targets: map[string]*targetConns{}, OnDial: onDial}
}

// Request is what to send.
type Request struct {
	// Key names the target for reuse of connections; it must change when another
	// process takes the address.
	Key     string
	Address string
	// MaxConns that this VM may hold open to the target.
	MaxConns int
	Method   string
	// Path is the request's target as the caller wrote it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// Mine reports whether an answer is to this request.
	Mine func(status int, h http.Header) bool
}

// Answer is an answer under way. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body; -1 if unknown.
	Length int64

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	ended   bool
	close   bool
	stop    func() bool
	written chan error
}

// Do sends a request and returns its answer. When the context ends, the
// connection is closed, which makes the target stop work.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	a := &Answer{pool: p, conn: c}
	a.stop = context.AfterFunc(ctx, func() { p.abandon(c) })
	if err := a.send(r); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
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
		if c.stillOpen() {
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
	d := net.Dialer{Control: setUserTimeout, KeepAliveConfig: keepAlive}
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

// setUserTimeout makes a connection to a machine without power fail.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	return errors.CombineErrors(err, failed)
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
func (c *conn) stillOpen() bool {
	if time.Now().After(c.expires) || c.reader.Buffered() > 0 {
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

// send writes the request. A long body goes on being written while the answer
// is read.
func (a *Answer) send(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		_, err := a.conn.Write(append(head, r.Body...))
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	if _, err := a.conn.Write(head); err != nil {
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(r.Body)
		a.written <- err
	}()
	return nil
}

func encodeHead(r *Request) []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// readHead reads the answer's head, passing over answers to other requests.
func (a *Answer) readHead(r *Request) error {
	for range maxForeign + 1 {
		answer, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrapf(err, "answer of %s", r.Key)
		}
		if answer.StatusCode < http.StatusOK {
			continue // informational
		}
		if r.Mine(answer.StatusCode, answer.Header) {
			a.take(answer)
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || answer.ContentLength < 0 {
			return errors.Newf("%s answered another request", r.Key)
		}
	}
	return errors.Newf("%s answered other requests only", r.Key)
}

func (a *Answer) take(answer *http.Response) {
	a.Status = answer.StatusCode
	a.Header = answer.Header
	a.Length = answer.ContentLength
	a.body = answer.Body
	a.close = answer.Close
}

// Read reads the body. io.EOF comes only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the answer. The connection is kept if the answer was read whole and
// nothing else is on it.
func (a *Answer) Close() {
	if a.stop != nil {
		a.stop()
	}
	if !a.ended {
		a.pool.abandon(a.conn)
		return
	}
	if !a.reusable() {
		a.pool.discard(a.conn)
		return
	}
	a.conn.expires = time.Now().Add(idleTime(a.Header))
	a.pool.keep(a.conn)
}

func (a *Answer) reusable() bool {
	if a.close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
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

// idleTime is how long a connection may be kept, by the target's announcement.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
