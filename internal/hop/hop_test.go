package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// target is a scripted target: each connection is given to serve.
type target struct {
	listener net.Listener
	conns    atomic.Int32
}

// newTarget starts a target on loopback. serve gets each connection with its
// number, from 1; the connection is closed when it returns.
func newTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *target {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	x := &target{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(x.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return x
}

// readRequest reads one request with its body; false at the connection's end.
func readRequest(r *bufio.Reader) (*http.Request, string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", false
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err == nil
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// echo answers every request with its id, until the connection ends.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		req, body, ok := readRequest(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, answer(req.Header.Get("Id"), body))
	}
}

func request(x *target, id, body string) *Request {
	return &Request{
		Key: "t", Address: x.listener.Addr().String(), Method: "POST", Path: "/a%2Fb?c=d", Host: "h",
		Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// do sends a request and reads the whole answer.
func do(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	a, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer a.Close()
	body, err := io.ReadAll(a)
	return string(body), err
}

func TestKeepsTheConnection(t *testing.T) {
	x := newTarget(t, echo)
	p := New(nil)
	for range 3 {
		body, err := do(t, p, request(x, "1", "hello"))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, x.conns.Load(), int32(1))
}

func TestPathGoesUnchanged(t *testing.T) {
	got := make(chan string, 1)
	x := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		got <- line
		_, _ = io.WriteString(c, answer("1", ""))
	})
	_, err := do(t, New(nil), request(x, "1", ""))
	assert.NilError(t, err)
	assert.Equal(t, <-got, "POST /a%2Fb?c=d HTTP/1.1\r\n")
}

// TestOddAnswers: what a caller gets of answers that are cut, spoilt or not its own.
func TestOddAnswers(t *testing.T) {
	for _, row := range []struct {
		name  string
		reply string
		want  string
		fails bool
	}{
		{"an answer to another request first", answer("0", "old") + answer("1", "mine"), "mine", false},
		{"only answers to others", strings.Repeat(answer("0", "old"), 3), "", true},
		{"a body without length, to the end", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it", "all of it", false},
		{"a body that is cut", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf", "half", true},
		{"a chunked body that is cut", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "half", true},
		{"a chunked body", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n", "all", false},
		{"an informational answer first", "HTTP/1.1 103 Early Hints\r\n\r\n" + answer("1", "mine"), "mine", false},
		{"bytes that are no answer", "what is this\r\n\r\n", "", true},
		{"nothing", "", "", true},
		{"a foreign answer without length", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nendless", "", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, row.reply)
				}
			})
			body, err := do(t, New(nil), request(x, "1", "q"))
			assert.Equal(t, body, row.want)
			assert.Equal(t, err != nil, row.fails, "%v", err)
			assert.Assert(t, err == nil || !NotSent(err), "it was sent")
		})
	}
}

func TestSecondAnswerBelongsToNobody(t *testing.T) {
	sent := make(chan struct{})
	x := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		if _, _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, answer("1", "first")+answer("1", "again"))
			close(sent)
			_, _, _ = readRequest(r)
		}
	})
	p := New(nil)
	body, err := do(t, p, request(x, "1", "q"))
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	<-sent
	body, err = do(t, p, request(x, "2", "second"))
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	x := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, answer("1", "a"))
		_ = c.Close()
		close(closed)
	})
	p := New(nil)
	_, err := do(t, p, request(x, "1", "a"))
	assert.NilError(t, err)
	<-closed
	body, err := do(t, p, request(x, "2", "b"))
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

func TestNoListenerIsNotSent(t *testing.T) {
	x := newTarget(t, echo)
	_ = x.listener.Close()
	_, err := do(t, New(nil), request(x, "1", "a"))
	assert.Assert(t, errors.Is(err, ErrUnreachable))
	assert.Assert(t, !errors.Is(err, ErrNoConnection))
	assert.Assert(t, NotSent(err))
}

func TestShareOfConnections(t *testing.T) {
	x := newTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _, _ = readRequest(r) // until the caller closes
	})
	p := New(nil)
	ctx, cancel := context.WithCancel(t.Context())
	first := request(x, "1", "a")
	first.MaxConns = 1
	done := make(chan error, 1)
	dialled := make(chan struct{}, 2)
	p.OnDial = func() { dialled <- struct{}{} }
	go func() {
		_, err := p.Do(ctx, first)
		done <- err
	}()
	<-dialled
	_, err := do(t, p, first)
	assert.Assert(t, errors.Is(err, ErrNoConnection))
	assert.Assert(t, !errors.Is(err, ErrUnreachable))
	assert.Assert(t, NotSent(err))
	cancel()
	assert.Assert(t, <-done != nil)
	second := request(x, "2", "b")
	second.MaxConns = 1
	ctx, cancel = context.WithCancel(t.Context())
	cancel()
	_, err = p.Do(ctx, second)
	assert.Assert(t, !errors.Is(err, ErrNoConnection), "the place is free again")
}

func TestEndOfContextClosesTheConnection(t *testing.T) {
	got, gone := make(chan struct{}), make(chan struct{})
	x := newTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		close(got)
		_, err := r.ReadByte()
		assert.Check(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
		close(gone)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, err := New(nil).Do(ctx, request(x, "1", "a"))
	assert.Assert(t, err != nil)
	<-gone
}

func TestEarlyAnswerToALongBody(t *testing.T) {
	x := newTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		_, _ = http.ReadRequest(r) // the head alone
		_, _ = io.WriteString(c, answer("1", "enough"))
		_, _ = io.Copy(io.Discard, c)
	})
	p := New(nil)
	// Larger than the buffers of a connection, so that it cannot have been written.
	body, err := do(t, p, request(x, "1", strings.Repeat("x", 16<<20)))
	assert.NilError(t, err)
	assert.Equal(t, body, "enough")
	body, err = do(t, p, request(x, "2", "next"))
	assert.NilError(t, err)
	assert.Equal(t, body, "next")
	assert.Equal(t, x.conns.Load(), int32(2), "the rest of the body must not be taken for a request")
}

func TestIdleTime(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                 idleDefault,
		"timeout=5":        5*time.Second - idleMargin,
		"max=3, timeout=2": 2*time.Second - idleMargin,
		"timeout=0":        0,
		"timeout=soon":     idleDefault,
	} {
		assert.Equal(t, idleTime(http.Header{"Keep-Alive": {header}}), want, header)
	}
}

func TestCloseIdleAndForget(t *testing.T) {
	x := newTarget(t, echo)
	p := New(nil)
	_, err := do(t, p, request(x, "1", "a"))
	assert.NilError(t, err)
	p.CloseIdle(time.Now())
	assert.Equal(t, len(p.targets), 1)
	p.CloseIdle(time.Now().Add(time.Hour))
	assert.Equal(t, len(p.targets), 0)
	_, err = do(t, p, request(x, "2", "a"))
	assert.NilError(t, err)
	p.Forget("t")
	assert.Equal(t, len(p.targets), 0)
}

// TestWithdrawnRequestSendsNothing: the connection that was made for it is kept.
func TestWithdrawnRequestSendsNothing(t *testing.T) {
	got := make(chan string, 2)
	x := newTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, body, ok := readRequest(r)
			if !ok {
				return
			}
			got <- body
			_, _ = io.WriteString(c, answer(req.Header.Get("Id"), body))
		}
	})
	p := New(nil)
	withdrawn := request(x, "1", "first")
	withdrawn.BeforeSend = func() error { return errors.New("no longer") }
	_, err := do(t, p, withdrawn)
	assert.Assert(t, errors.Is(err, ErrWithdrawn) && NotSent(err), "%v", err)
	assert.ErrorContains(t, err, "no longer")
	allowed := request(x, "2", "second")
	allowed.BeforeSend = func() error { return nil }
	body, err := do(t, p, allowed)
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
	assert.Equal(t, <-got, "second")
	assert.Equal(t, x.conns.Load(), int32(1))
}

// TestConnectionsAreAskedForASignOfLife: a target's connection may fall silent without an
// end.
func TestConnectionsAreAskedForASignOfLife(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	p := New(nil)
	c, err := p.dial(t.Context(), &Request{Key: "k", Address: l.Addr().String()})
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	for name, row := range map[string]struct{ level, option, want int }{
		"keep-alive":           {unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1},
		"idle time in s":       {unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, int(keepAlive.Idle.Seconds())},
		"interval in s":        {unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, int(keepAlive.Interval.Seconds())},
		"unacknowledged in ms": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds())},
	} {
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), row.level, row.option) }))
		assert.NilError(t, err, name)
		assert.Equal(t, got, row.want, name)
	}
}

// userTimeout reads the bound for unacknowledged bytes of a connection.
func userTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	got, failed := 0, error(nil)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		got, failed = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, failed)
	return time.Duration(got) * time.Millisecond
}

// TestBytesOfARequestAreAcknowledgedInTime: a link may hold a request back and deliver it
// after its target was to be left alone.
func TestBytesOfARequestAreAcknowledgedInTime(t *testing.T) {
	const within = 700 * time.Millisecond
	x := newTarget(t, echo)
	p := New(nil)
	var relax func()
	p.after = func(d time.Duration, f func()) *time.Timer {
		assert.Equal(t, d, within)
		relax = f
		return time.AfterFunc(time.Hour, f)
	}
	r := request(x, "1", "a")
	r.AckTimeout = within
	a, err := p.Do(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, userTimeout(t, a.conn.Conn), within)
	relax()
	assert.Equal(t, userTimeout(t, a.conn.Conn), unacknowledged, "the target may be silent for longer")
	_, err = io.ReadAll(a)
	assert.NilError(t, err)
	a.Close()
	for _, longer := range []time.Duration{0, unacknowledged} {
		r.AckTimeout = longer
		a, err = p.Do(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, userTimeout(t, a.conn.Conn), unacknowledged)
		_, err = io.ReadAll(a)
		assert.NilError(t, err)
		a.Close()
	}
}

// TestKeptConnectionGetsTheLongerBoundBack: a request that ends before its bound leaves the
// shorter one on its connection; the next request on it sets its own.
func TestKeptConnectionGetsTheLongerBoundBack(t *testing.T) {
	x := newTarget(t, echo)
	p := New(nil)
	r := request(x, "1", "a")
	r.AckTimeout = time.Second
	_, err := do(t, p, r)
	assert.NilError(t, err)
	r.AckTimeout = 0
	a, err := p.Do(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, userTimeout(t, a.conn.Conn), unacknowledged)
	a.Close()
	assert.Equal(t, x.conns.Load(), int32(1))
}
