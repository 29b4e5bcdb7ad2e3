package callers

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/coord/intake"
)

const maxTestBody = 100 << 10

// testServer reads bodies behind a Tracker and responds with their sizes, or with an error.
type testServer struct {
	tracker *Tracker
	address string
	// offset is the time since the start in ns.
	offset atomic.Int64
	// read counts the bodies that were read or refused.
	read atomic.Int64
}

func newTestServer(t *testing.T, limits intake.Limits) *testServer {
	t.Helper()
	s := &testServer{}
	now := func() time.Time { return time.Unix(1_000_000, s.offset.Load()) }
	s.tracker = NewTracker(Config{Limits: limits, Now: now, Timeouts: func() intake.Timeouts {
		return intake.Timeouts{Head: time.Second, Idle: time.Second}
	}})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := ReadBody(r, maxTestBody, now().Add(time.Minute))
		s.read.Add(1)
		switch {
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.Is(err, ErrNoRoom):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTimeout):
			w.WriteHeader(http.StatusRequestTimeout)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			_, _ = w.Write(data)
		}
	})}
	s.tracker.Track(server)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s.address = listener.Addr().String()
	go func() { _ = server.Serve(s.tracker.Listener(listener)) }() // returns after Close
	t.Cleanup(func() { _ = server.Close() })
	return s
}

// advance lets the clients stand still for a time, during which the tracker is swept.
func (s *testServer) advance(d time.Duration) {
	for ; d > 0; d -= SweepInterval {
		s.offset.Add(int64(SweepInterval))
		s.tracker.Sweep()
	}
}

func (s *testServer) awaitHeld(t *testing.T, ok func(held int64) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if held := s.tracker.Stats().HeldBytes; !ok(held) {
			return poll.Continue("%d bytes held", held)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

// post sends a body, with a length unless chunked is set.
func (s *testServer) post(t *testing.T, body []byte, chunked bool) (status int, echo []byte) {
	t.Helper()
	var reader io.Reader = bytes.NewReader(body)
	if chunked {
		reader = struct{ io.Reader }{reader}
	}
	resp, err := http.Post("http://"+s.address, "", reader)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	echo, err = io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return resp.StatusCode, echo
}

// TestBodiesAreCutWhereBuffersGrow guards against bodies that lose bytes, or that count after their requests have
// ended.
func TestBodiesAreCutWhereBuffersGrow(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20})
	for _, size := range []int{0, 1, minBufferBytes - 1, minBufferBytes, minBufferBytes + 1, 50_000, maxTestBody - 1, maxTestBody} {
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		for _, chunked := range []bool{false, true} {
			status, echo := s.post(t, body, chunked)
			assert.Equal(t, status, http.StatusOK)
			assert.Assert(t, bytes.Equal(echo, body))
		}
	}
	s.awaitHeld(t, func(held int64) bool { return held == 0 })
	for _, chunked := range []bool{false, true} {
		status, _ := s.post(t, make([]byte, maxTestBody+1), chunked)
		assert.Equal(t, status, http.StatusRequestEntityTooLarge)
	}
}

// stall sends a body with a length that stops short of its end, and returns the connection.
func (s *testServer) stall(t *testing.T, size int) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", size, make([]byte, size-1))
	assert.NilError(t, err)
	return conn
}

// assertStatus checks the status of the response on a connection.
func assertStatus(t *testing.T, conn net.Conn, status int) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, status)
	assert.NilError(t, resp.Body.Close())
}

// TestUnfinishedBodyHoldsTheBudget guards against callers that are refused while another one holds the budget and
// sends nothing.
func TestUnfinishedBodyHoldsTheBudget(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 200 << 10, LargeBytes: 200 << 10})
	conn := s.stall(t, maxTestBody)
	s.awaitHeld(t, func(held int64) bool { return held >= maxTestBody })
	status, _ := s.post(t, make([]byte, maxTestBody), false)
	assert.Equal(t, status, http.StatusServiceUnavailable, "the other one may go on")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.offset.Add(int64(2 * time.Second)) // the other one may not have been read to its last byte before
		if status, _ = s.post(t, make([]byte, maxTestBody), false); status != http.StatusOK {
			return poll.Continue("status %d", status)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, s.tracker.Stats().Evicted, int64(1))
	assertStatus(t, conn, http.StatusServiceUnavailable)
}

// TestUnfinishedBodyIsAwaitedForGood guards against callers that stop and keep their connections and requests.
func TestUnfinishedBodyIsAwaitedForGood(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 200 << 10, LargeBytes: 200 << 10})
	conn := s.stall(t, maxTestBody)
	s.awaitHeld(t, func(held int64) bool { return held >= maxTestBody })
	s.advance(5 * time.Second)
	s.awaitHeld(t, func(held int64) bool { return held == 0 })
	assertStatus(t, conn, http.StatusRequestTimeout)
	assert.Equal(t, s.tracker.Stats().Expired, int64(1))
}

// TestIdleConnectionLosesItsResponse guards against responses that are cut because their connection is closed while the
// client has not taken all of them.
func TestIdleConnectionLosesItsResponse(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 1 << 20, LargeBytes: 1 << 20})
	conn, err := net.Dial("tcp", s.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(16<<10))
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", maxTestBody, make([]byte, maxTestBody))
	assert.NilError(t, err)
	s.awaitHeld(t, func(held int64) bool { return s.read.Load() > 0 && held == 0 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s.advance(5 * time.Second)
		if open := s.tracker.Stats().Open; open > 0 {
			return poll.Continue("%d connections", open)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(data), maxTestBody)
}
