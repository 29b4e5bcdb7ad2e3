package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/answer"
)

// fakeTarget is a target whose connections are handled by a function of the test.
type fakeTarget struct {
	listener net.Listener
	conns    atomic.Int32
}

// newFakeTarget starts a target on loopback. It calls serve for each connection with the
// connection's number, starting at 1, and closes the connection when serve returns.
func newFakeTarget(t *testing.T, serve func(n int, c net.Conn, r *bufio.Reader)) *fakeTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tgt := &fakeTarget{listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := int(tgt.conns.Add(1))
			go func() {
				defer func() { _ = c.Close() }()
				serve(n, c, bufio.NewReader(c))
			}()
		}
	}()
	return tgt
}

// readRequest reads one request with its body. It returns false at the end of the
// connection.
func readRequest(r *bufio.Reader) (*http.Request, string, bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil, "", false
	}
	body, err := io.ReadAll(req.Body)
	return req, string(body), err == nil
}

func responseText(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(n int) string {
	if n < 10 {
		return string(rune('0' + n))
	}
	return itoa(n/10) + itoa(n%10)
}

// echo responds to every request with the id and body of the request, until the
// connection ends.
func echo(_ int, c net.Conn, r *bufio.Reader) {
	for {
		req, body, ok := readRequest(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(c, responseText(req.Header.Get("Id"), body))
	}
}

func newRequest(tgt *fakeTarget, id, body string) *Request {
	return &Request{
		Key: "t", Address: tgt.listener.Addr().String(), Method: "POST", Path: "/a%2Fb?c=d", Host: "h",
		Header: http.Header{"Id": {id}}, Body: []byte(body),
		Accept: func(_ int, h http.Header) error {
			if h.Get("Id") != id {
				return answer.ErrOtherRequest
			}
			return nil
		},
	}
}

// do sends a request and reads the complete response.
func do(t *testing.T, p *Pool, r *Request) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	resp, err := p.Do(ctx, r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	tgt := newFakeTarget(t, echo)
	p := New(nil)
	for range 3 {
		body, err := do(t, p, newRequest(tgt, "1", "hello"))
		assert.NilError(t, err)
		assert.Equal(t, body, "hello")
	}
	assert.Equal(t, tgt.conns.Load(), int32(1))
}

func TestPathIsSentUnchanged(t *testing.T) {
	got := make(chan string, 1)
	tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		line, _ := r.ReadString('\n')
		got <- line
		_, _ = io.WriteString(c, responseText("1", ""))
	})
	_, err := do(t, New(nil), newRequest(tgt, "1", ""))
	assert.NilError(t, err)
	assert.Equal(t, <-got, "POST /a%2Fb?c=d HTTP/1.1\r\n")
}

// TestMalformedAndMismatchedResponses checks what a caller receives of responses that
// are truncated, malformed or belong to another request.
func TestMalformedAndMismatchedResponses(t *testing.T) {
	for _, row := range []struct {
		name  string
		reply string
		want  string
		fails bool
	}{
		{"a response to another request first", responseText("0", "old") + responseText("1", "mine"), "mine", false},
		{"only responses to other requests", strings.Repeat(responseText("0", "old"), 3), "", true},
		{"a body without length, to the end", "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it", "all of it", false},
		{"a truncated body", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf", "half", true},
		{"a truncated chunked body", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "half", true},
		{"a chunked body", "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nall\r\n0\r\n\r\n", "all", false},
		{"an informational response first", "HTTP/1.1 103 Early Hints\r\n\r\n" + responseText("1", "mine"), "mine", false},
		{"bytes that are not an HTTP response", "what is this\r\n\r\n", "", true},
		{"no response", "", "", true},
		{"a response to another request without length", "HTTP/1.1 200 OK\r\nId: 0\r\n\r\nendless", "", true},
	} {
		t.Run(row.name, func(t *testing.T) {
			tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					_, _ = io.WriteString(c, row.reply)
				}
			})
			body, err := do(t, New(nil), newRequest(tgt, "1", "q"))
			assert.Equal(t, body, row.want)
			assert.Equal(t, err != nil, row.fails, "%v", err)
			assert.Assert(t, err == nil || !NotSent(err), "a sent request was reported as not sent")
		})
	}
}

func TestSurplusResponseIsNotUsedForNextRequest(t *testing.T) {
	sent := make(chan struct{})
	tgt := newFakeTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		if _, _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, responseText("1", "first")+responseText("1", "again"))
			close(sent)
			_, _, _ = readRequest(r)
		}
	})
	p := New(nil)
	body, err := do(t, p, newRequest(tgt, "1", "q"))
	assert.NilError(t, err)
	assert.Equal(t, body, "first")
	<-sent
	body, err = do(t, p, newRequest(tgt, "2", "second"))
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	tgt := newFakeTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		_, _, _ = readRequest(r)
		_, _ = io.WriteString(c, responseText("1", "a"))
		_ = c.Close()
		close(closed)
	})
	p := New(nil)
	_, err := do(t, p, newRequest(tgt, "1", "a"))
	assert.NilError(t, err)
	<-closed
	body, err := do(t, p, newRequest(tgt, "2", "b"))
	assert.NilError(t, err)
	assert.Equal(t, body, "b")
}

func TestConnectFailureIsReportedAsNotSent(t *testing.T) {
	tgt := newFakeTarget(t, echo)
	_ = tgt.listener.Close()
	_, err := do(t, New(nil), newRequest(tgt, "1", "a"))
	assert.Assert(t, errors.Is(err, ErrUnreachable))
	assert.Assert(t, !errors.Is(err, ErrNoConnection))
	assert.Assert(t, NotSent(err))
}

func TestMaxConnsIsEnforced(t *testing.T) {
	tgt := newFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		_, _, _ = readRequest(r)
		_, _, _ = readRequest(r) // waits until the client closes the connection
	})
	p := New(nil)
	ctx, cancel := context.WithCancel(t.Context())
	first := newRequest(tgt, "1", "a")
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
	second := newRequest(tgt, "2", "b")
	second.MaxConns = 1
	ctx, cancel = context.WithCancel(t.Context())
	cancel()
	_, err = p.Do(ctx, second)
	assert.Assert(t, !errors.Is(err, ErrNoConnection), "the slot of the first connection was not released")
}

func TestContextEndResetsConnection(t *testing.T) {
	got, gone := make(chan struct{}), make(chan struct{})
	tgt := newFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
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
	_, err := New(nil).Do(ctx, newRequest(tgt, "1", "a"))
	assert.Assert(t, err != nil)
	<-gone
}

func TestEarlyResponseToLongBody(t *testing.T) {
	tgt := newFakeTarget(t, func(n int, c net.Conn, r *bufio.Reader) {
		if n > 1 {
			echo(n, c, r)
			return
		}
		_, _ = http.ReadRequest(r) // reads the head only
		_, _ = io.WriteString(c, responseText("1", "enough"))
		_, _ = io.Copy(io.Discard, c)
	})
	p := New(nil)
	// The body is larger than the buffers of a connection. It cannot have been written
	// completely when the response arrives.
	body, err := do(t, p, newRequest(tgt, "1", strings.Repeat("x", 16<<20)))
	assert.NilError(t, err)
	assert.Equal(t, body, "enough")
	body, err = do(t, p, newRequest(tgt, "2", "next"))
	assert.NilError(t, err)
	assert.Equal(t, body, "next")
	assert.Equal(t, tgt.conns.Load(), int32(2), "a connection with an unfinished request body was reused")
}

func TestIdleTimeout(t *testing.T) {
	for header, want := range map[string]time.Duration{
		"":                 defaultIdleTimeout,
		"timeout=5":        5*time.Second - idleTimeoutMargin,
		"max=3, timeout=2": 2*time.Second - idleTimeoutMargin,
		"timeout=0":        0,
		"timeout=soon":     defaultIdleTimeout,
	} {
		assert.Equal(t, idleTimeout(http.Header{"Keep-Alive": {header}}), want, header)
	}
}

func TestCloseIdleAndForget(t *testing.T) {
	tgt := newFakeTarget(t, echo)
	p := New(nil)
	_, err := do(t, p, newRequest(tgt, "1", "a"))
	assert.NilError(t, err)
	p.CloseIdle(time.Now())
	assert.Equal(t, len(p.targets), 1)
	p.CloseIdle(time.Now().Add(time.Hour))
	assert.Equal(t, len(p.targets), 0)
	_, err = do(t, p, newRequest(tgt, "2", "a"))
	assert.NilError(t, err)
	p.Forget("t")
	assert.Equal(t, len(p.targets), 0)
}

// TestWithdrawnRequestSendsNothing checks that a withdrawn request sends nothing and that
// its connection is reused.
func TestWithdrawnRequestSendsNothing(t *testing.T) {
	got := make(chan string, 2)
	tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, body, ok := readRequest(r)
			if !ok {
				return
			}
			got <- body
			_, _ = io.WriteString(c, responseText(req.Header.Get("Id"), body))
		}
	})
	p := New(nil)
	withdrawn := newRequest(tgt, "1", "first")
	withdrawn.BeforeSend = func() error { return errors.New("no longer") }
	_, err := do(t, p, withdrawn)
	assert.Assert(t, errors.Is(err, ErrWithdrawn) && NotSent(err), "%v", err)
	assert.ErrorContains(t, err, "no longer")
	allowed := newRequest(tgt, "2", "second")
	allowed.BeforeSend = func() error { return nil }
	body, err := do(t, p, allowed)
	assert.NilError(t, err)
	assert.Equal(t, body, "second")
	assert.Equal(t, <-got, "second")
	assert.Equal(t, tgt.conns.Load(), int32(1))
}

// TestConnectionsUseKeepAliveAndUserTimeout guards against connections that stop
// responding without being closed: the kernel detects them by these socket options.
func TestConnectionsUseKeepAliveAndUserTimeout(t *testing.T) {
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
		"unacknowledged in ms": {unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(defaultAckTimeout.Milliseconds())},
	} {
		got := 0
		assert.NilError(t, raw.Control(func(fd uintptr) { got, err = unix.GetsockoptInt(int(fd), row.level, row.option) }))
		assert.NilError(t, err, name)
		assert.Equal(t, got, row.want, name)
	}
}

// userTimeout returns the TCP user timeout of a connection.
func userTimeout(t *testing.T, c net.Conn) time.Duration {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	got, sockErr := 0, error(nil)
	assert.NilError(t, raw.Control(func(fd uintptr) {
		got, sockErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, sockErr)
	return time.Duration(got) * time.Millisecond
}

// TestAckTimeoutIsSetPerRequest guards against a link that delays a request and delivers
// it at a time when its target, which is draining, must not receive requests.
func TestAckTimeoutIsSetPerRequest(t *testing.T) {
	const ackTimeout = 700 * time.Millisecond
	tgt := newFakeTarget(t, echo)
	p := New(nil)
	var restoreDefault func()
	p.afterFunc = func(d time.Duration, f func()) *time.Timer {
		assert.Equal(t, d, ackTimeout)
		restoreDefault = f
		return time.AfterFunc(time.Hour, f)
	}
	r := newRequest(tgt, "1", "a")
	r.AckTimeout = ackTimeout
	resp, err := p.Do(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, userTimeout(t, resp.conn.Conn), ackTimeout)
	restoreDefault()
	assert.Equal(t, userTimeout(t, resp.conn.Conn), defaultAckTimeout, "the default was not restored after the timeout of the request")
	_, err = io.ReadAll(resp)
	assert.NilError(t, err)
	resp.Close()
	for _, timeout := range []time.Duration{0, defaultAckTimeout} {
		r.AckTimeout = timeout
		resp, err = p.Do(t.Context(), r)
		assert.NilError(t, err)
		assert.Equal(t, userTimeout(t, resp.conn.Conn), defaultAckTimeout)
		_, err = io.ReadAll(resp)
		assert.NilError(t, err)
		resp.Close()
	}
}

// TestReusedConnectionGetsDefaultAckTimeout guards against an ack timeout that outlives
// its request: a request that ends before its timeout leaves the shorter value on the
// connection, and the next request must set its own.
func TestReusedConnectionGetsDefaultAckTimeout(t *testing.T) {
	tgt := newFakeTarget(t, echo)
	p := New(nil)
	r := newRequest(tgt, "1", "a")
	r.AckTimeout = time.Second
	_, err := do(t, p, r)
	assert.NilError(t, err)
	r.AckTimeout = 0
	resp, err := p.Do(t.Context(), r)
	assert.NilError(t, err)
	assert.Equal(t, userTimeout(t, resp.conn.Conn), defaultAckTimeout)
	resp.Close()
	assert.Equal(t, tgt.conns.Load(), int32(1))
}

// TestResetWhileBodyIsWrittenLooksLikeEnd resets a connection whose error the write of the request's body
// may receive instead of the read of the response.
func TestResetWhileBodyIsWrittenLooksLikeEnd(t *testing.T) {
	for range 50 {
		received := make(chan struct{})
		tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
			_, _ = http.ReadRequest(r) // reads the head only
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nhalf")
			<-received
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		resp, err := New(nil).Do(t.Context(), newRequest(tgt, "1", strings.Repeat("x", 16<<20)))
		assert.NilError(t, err)
		half := make([]byte, 4)
		_, err = io.ReadFull(resp, half)
		assert.NilError(t, err)
		close(received)
		_, err = io.ReadAll(resp)
		resp.Close()
		assert.Assert(t, err != nil, "a connection that was reset looks like the end of the body")
	}
}

// TestCloseWhileBodyIsWrittenIsAnEnd closes a connection, or its sending side, whose request body is still
// being written.
func TestCloseWhileBodyIsWrittenIsAnEnd(t *testing.T) {
	for _, closesBoth := range []bool{false, true} {
		for range 20 {
			ended := make(chan struct{})
			tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				_, _ = http.ReadRequest(r) // reads the head only
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\nall of it")
				_ = c.(*net.TCPConn).CloseWrite()
				if !closesBoth {
					<-ended
				}
			})
			body, err := do(t, New(nil), newRequest(tgt, "1", strings.Repeat("x", 16<<20)))
			close(ended)
			assert.NilError(t, err)
			assert.Equal(t, body, "all of it")
		}
	}
}

// TestConnectionsBeyondTheShareAreNotKept guards against a VM that keeps more connections open than its share of
// those that a target accepts.
func TestConnectionsBeyondTheShareAreNotKept(t *testing.T) {
	const requests, share = 3, 1
	var arrived sync.WaitGroup
	arrived.Add(requests)
	tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, body, ok := readRequest(r)
		if !ok {
			return
		}
		arrived.Done()
		arrived.Wait()
		_, _ = io.WriteString(c, responseText(req.Header.Get("Id"), body))
		_, _, _ = readRequest(r) // waits until the client closes the connection
	})
	p := New(nil)
	var ended sync.WaitGroup
	for i := range requests {
		r := newRequest(tgt, itoa(i), "a")
		r.MaxConns, r.KeepConns = requests, share
		ended.Go(func() {
			_, err := do(t, p, r)
			assert.Check(t, err)
		})
	}
	ended.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	assert.Equal(t, p.targets["t"].open, share)
}
