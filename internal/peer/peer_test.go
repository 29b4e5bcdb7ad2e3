package peer

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/certs"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/schema"
)

// recordingSink records a response.
type recordingSink struct {
	head forward.Head
	body []byte
}

func (s *recordingSink) Head(h forward.Head) error { s.head = h; return nil }
func (s *recordingSink) Data(part []byte) error    { s.body = append(s.body, part...); return nil }

func headFrame(id string, attempt uint32) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Head{Head: &schema.AnswerHead{RequestId: id, Attempt: attempt, Status: 200}}}
}

func dataFrame(id string, attempt uint32, seq uint64, body string) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Data{Data: &schema.AnswerData{RequestId: id, Attempt: attempt, Seq: seq, Body: []byte(body)}}}
}

func endFrame(id string, attempt uint32, seq uint64) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_End{End: &schema.AnswerEnd{RequestId: id, Attempt: attempt, Seq: seq}}}
}

// TestAnswerFrames checks, for complete, truncated, reordered and mismatched sequences of
// frames, whether the response is reported as complete.
func TestAnswerFrames(t *testing.T) {
	for _, row := range []struct {
		name   string
		frames []*schema.Frame
		code   string
		body   string
	}{
		{"complete", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 1, "a"), dataFrame("r", 1, 2, "b"), endFrame("r", 1, 2)}, "", "ab"},
		{"no body", []*schema.Frame{headFrame("r", 1), endFrame("r", 1, 0)}, "", ""},
		{"truncated before the end", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 1, "a")}, forward.CodeAnswerTruncated, "a"},
		{"truncated before the head", nil, forward.CodeAnswerTruncated, ""},
		{"a part is lost", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 2, "b"), endFrame("r", 1, 2)}, forward.CodeAnswerMismatch, ""},
		{"a part is duplicated", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 1, "a"), dataFrame("r", 1, 1, "a")}, forward.CodeAnswerMismatch, "a"},
		{"parts are reordered", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 2, "b"), dataFrame("r", 1, 1, "a")}, forward.CodeAnswerMismatch, ""},
		{"the last part is lost", []*schema.Frame{headFrame("r", 1), dataFrame("r", 1, 1, "a"), endFrame("r", 1, 2)}, forward.CodeAnswerMismatch, "a"},
		{"another request's head", []*schema.Frame{headFrame("other", 1)}, forward.CodeAnswerMismatch, ""},
		{"another request's part", []*schema.Frame{headFrame("r", 1), dataFrame("other", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"an earlier attempt's part", []*schema.Frame{headFrame("r", 2), dataFrame("r", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"an earlier attempt's end", []*schema.Frame{headFrame("r", 1), endFrame("r", 7, 0)}, forward.CodeAnswerMismatch, ""},
		{"a second head", []*schema.Frame{headFrame("r", 1), headFrame("r", 1)}, forward.CodeAnswerMismatch, ""},
		{"a part before the head", []*schema.Frame{dataFrame("r", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"a frame of another kind", []*schema.Frame{{Kind: &schema.Frame_Hello{Hello: &schema.Hello{Vm: "x"}}}}, forward.CodeAnswerMismatch, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			var wire bytes.Buffer
			for _, f := range row.frames {
				assert.NilError(t, writeFrame(&wire, f))
			}
			sink := &recordingSink{}
			attempt := uint32(1)
			if row.name == "an earlier attempt's part" {
				attempt = 2
			}
			got := (&answerReceiver{id: "r", attempt: attempt, sink: sink}).receive(t.Context(), newFrameReader(&wire))
			assert.Equal(t, got.Failure.GetCode(), row.code)
			if row.code != "" {
				assert.Equal(t, got.Failure.GetOutcome(), schema.Outcome_OUTCOME_UNKNOWN)
			}
			assert.Equal(t, string(sink.body), row.body)
		})
	}
}

// emptyReplyHandler returns an empty reply to each call.
type emptyReplyHandler struct{}

func (emptyReplyHandler) ServeForward(context.Context, coord.VMID, *schema.Forward, *AnswerWriter) {}
func (emptyReplyHandler) ServeCall(context.Context, coord.VMID, *schema.Call) *schema.Reply {
	return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
}
func (emptyReplyHandler) HandleHeartbeat(*schema.Heartbeat) {}

// startMesh starts the mesh of a VM and returns the mesh and its address.
func startMesh(t *testing.T, vm coord.VMID, config *tls.Config, resolve func(coord.VMID) string) (*Mesh, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := New(Config{Self: vm, TLS: config, DialTimeout: 2 * time.Second}, emptyReplyHandler{}, resolve)
	go m.Serve(l)
	t.Cleanup(func() { _ = l.Close(); m.Close() })
	return m, l.Addr().String()
}

func newTestTLS(t *testing.T, authority certs.Pair, vm string) *tls.Config {
	t.Helper()
	pair, err := certs.Issue(authority, vm, nil)
	assert.NilError(t, err)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(authority.Cert))
	return NewTLS(cert, pool)
}

// TestFalsePeerIdentityIsRejected checks that a peer with a false identity gets no session.
func TestFalsePeerIdentityIsRejected(t *testing.T) {
	ownCA, err := certs.NewAuthority()
	assert.NilError(t, err)
	otherCA, err := certs.NewAuthority()
	assert.NilError(t, err)
	for _, row := range []struct {
		name string
		// claimed is the VM id in the Hello of the listening VM, config its TLS
		// configuration.
		claimed coord.VMID
		config  *tls.Config
		ok      bool
	}{
		{"correct identity", "b", newTestTLS(t, ownCA, "b"), true},
		{"another VM at the address", "c", newTestTLS(t, ownCA, "c"), false},
		{"name that is not in the certificate", "b", newTestTLS(t, ownCA, "c"), false},
		{"certificate of another authority", "b", newTestTLS(t, otherCA, "b"), false},
		{"no TLS", "b", nil, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, address := startMesh(t, row.claimed, row.config, nil)
			a, _ := startMesh(t, "a", newTestTLS(t, ownCA, "a"), func(coord.VMID) string { return address })
			_, err := a.Call(t.Context(), "b", &schema.Call{})
			assert.Equal(t, err == nil, row.ok, "%v", err)
		})
	}
}

// delayedReadConn is a connection whose failed reads return only when release is closed.
type delayedReadConn struct {
	net.Conn
	release <-chan struct{}
}

func (c *delayedReadConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.release
	}
	return n, err
}

// unresponsiveHandler receives calls and does not reply until the end of the test.
type unresponsiveHandler struct {
	emptyReplyHandler
	received chan struct{}
	testDone <-chan struct{}
}

func (h unresponsiveHandler) ServeCall(context.Context, coord.VMID, *schema.Call) *schema.Reply {
	h.received <- struct{}{}
	<-h.testDone
	return &schema.Reply{}
}

// TestDisconnectEndsOpenCalls checks that the open calls to a VM return immediately when
// the VM is disconnected, even while the yamux session still waits for its connection to
// close. Calls that waited in yamux used the whole CPU of a VM for seconds.
func TestDisconnectEndsOpenCalls(t *testing.T) {
	const calls = 20
	testDone := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := unresponsiveHandler{received: make(chan struct{}, calls), testDone: testDone}
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, handler, nil)
	go b.Serve(l)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return &delayedReadConn{conn, testDone}, err
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, Dial: dial}, emptyReplyHandler{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { close(testDone); a.Close(); b.Close(); _ = l.Close() }()
	ended := make(chan error, calls)
	for range calls {
		go func() {
			_, err := a.Call(t.Context(), "b", &schema.Call{})
			ended <- err
		}()
	}
	for range calls {
		<-handler.received
	}
	go a.Disconnect("b")
	timeout := time.After(20 * time.Second)
	for i := range calls {
		select {
		case err := <-ended:
			assert.Assert(t, err != nil)
		case <-timeout:
			t.Fatalf("%d of %d calls ended", i, calls)
		}
	}
}

// blackholeConn is a connection that drops everything written to it while dropping is
// set. The other side then sends nothing, since it receives nothing.
type blackholeConn struct {
	net.Conn
	dropping atomic.Bool
}

func (c *blackholeConn) Write(p []byte) (int, error) {
	if c.dropping.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestUnresponsiveSessionIsReplaced guards against a session whose connection stops
// responding without being closed, while new connections work. A call on it must end
// although it has no deadline, and later calls must succeed on a new session.
func TestUnresponsiveSessionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, emptyReplyHandler{}, nil)
	go b.Serve(l)
	var lastConn atomic.Pointer[blackholeConn]
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &blackholeConn{Conn: conn}
		lastConn.Store(c)
		return c, nil
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, AckTimeout: 50 * time.Millisecond, Dial: dial}, emptyReplyHandler{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { a.Close(); b.Close(); _ = l.Close() }()
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.NilError(t, err)
	lastConn.Load().dropping.Store(true)
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.Assert(t, err != nil, "the call succeeded on an unresponsive session")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.Call(t.Context(), "b", &schema.Call{}); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// blockingWriteConn is a connection that blocks the next write while blockNext is set,
// until release is closed.
type blockingWriteConn struct {
	net.Conn
	blockNext atomic.Bool
	blocked   chan struct{}
	release   chan struct{}
}

func (c *blockingWriteConn) Write(p []byte) (int, error) {
	if c.blockNext.CompareAndSwap(true, false) {
		close(c.blocked)
		<-c.release
	}
	return c.Conn.Write(p)
}

// TestForwardDuringShutdownIsNotRun guards against a request that is in flight to a VM
// which has finished its requests and shuts down. In a rolling restart of all VMs, one of
// 10,525 requests was reported as possibly run, because the session was closed with that
// request unread.
func TestForwardDuringShutdownIsNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, emptyReplyHandler{}, nil)
	go b.Serve(l)
	conn := &blockingWriteConn{blocked: make(chan struct{}), release: make(chan struct{})}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var err error
		conn.Conn, err = dialTCP(ctx, address)
		return conn, err
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, Dial: dial}, emptyReplyHandler{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { a.Close(); b.Close(); _ = l.Close() }()
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.NilError(t, err)
	conn.blockNext.Store(true)
	ended := make(chan forward.Result)
	go func() {
		ended <- a.Remote("b").Execute(t.Context(), &schema.Forward{RequestId: "r", Attempt: 1, TimeoutMs: 10_000}, &recordingSink{})
	}()
	<-conn.blocked
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Drain(t.Context())
		b.Close()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.currentSession("b").mux.OpenStream(); !errors.Is(err, yamux.ErrRemoteGoAway) {
			return poll.Continue("the shutdown has not been announced yet: %v", err)
		}
		return poll.Success()
	})
	close(conn.release)
	got := <-ended
	assert.Equal(t, got.Failure.GetOutcome(), schema.Outcome_OUTCOME_NOT_RUN, "%v", got.Failure)
	<-stopped
}

func FuzzFrames(f *testing.F) {
	var wire bytes.Buffer
	assert.NilError(f, writeFrame(&wire, headFrame("r", 1)))
	assert.NilError(f, writeFrame(&wire, endFrame("r", 1, 0)))
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 0x00})
	f.Fuzz(func(_ *testing.T, wire []byte) {
		sink := &recordingSink{}
		(&answerReceiver{id: "r", attempt: 1, sink: sink}).receive(context.Background(), newFrameReader(bytes.NewReader(wire)))
	})
}

// TestFramingIsLostBetweenVMs: a body that may be cut was marked as complete by the VM that relays it.
func TestFramingIsLostBetweenVMs(t *testing.T) {
	for _, closeDelimited := range []bool{true, false} {
		near, far := net.Pipe()
		head := forward.Head{Status: 200, CloseDelimited: closeDelimited}
		go func() {
			w := &AnswerWriter{stream: far, id: "r", attempt: 1}
			_ = w.Head(head)
			_ = w.End(forward.Result{})
		}()
		sink := &recordingSink{}
		got := (&answerReceiver{id: "r", attempt: 1, sink: sink}).receive(t.Context(), newFrameReader(near))
		assert.Assert(t, got.Failure == nil, "%v", got.Failure)
		assert.DeepEqual(t, sink.head, head)
	}
}
