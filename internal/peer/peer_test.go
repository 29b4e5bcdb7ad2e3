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

// memorySink keeps an answer.
type memorySink struct {
	status int
	body   []byte
}

func (s *memorySink) Head(status int, _ []*schema.Header) error { s.status = status; return nil }
func (s *memorySink) Data(part []byte) error                    { s.body = append(s.body, part...); return nil }

func head(id string, attempt uint32) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Head{Head: &schema.AnswerHead{RequestId: id, Attempt: attempt, Status: 200}}}
}

func data(id string, attempt uint32, seq uint64, body string) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Data{Data: &schema.AnswerData{RequestId: id, Attempt: attempt, Seq: seq, Body: []byte(body)}}}
}

func end(id string, attempt uint32, seq uint64) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_End{End: &schema.AnswerEnd{RequestId: id, Attempt: attempt, Seq: seq}}}
}

// TestAnswerFrames gives each way that an answer's frames can come, and whether
// the answer counts as whole.
func TestAnswerFrames(t *testing.T) {
	for _, row := range []struct {
		name   string
		frames []*schema.Frame
		code   string
		body   string
	}{
		{"whole", []*schema.Frame{head("r", 1), data("r", 1, 1, "a"), data("r", 1, 2, "b"), end("r", 1, 2)}, "", "ab"},
		{"no body", []*schema.Frame{head("r", 1), end("r", 1, 0)}, "", ""},
		{"cut before the end", []*schema.Frame{head("r", 1), data("r", 1, 1, "a")}, forward.CodeAnswerTruncated, "a"},
		{"cut before the head", nil, forward.CodeAnswerTruncated, ""},
		{"a part is lost", []*schema.Frame{head("r", 1), data("r", 1, 2, "b"), end("r", 1, 2)}, forward.CodeAnswerMismatch, ""},
		{"a part comes twice", []*schema.Frame{head("r", 1), data("r", 1, 1, "a"), data("r", 1, 1, "a")}, forward.CodeAnswerMismatch, "a"},
		{"parts change places", []*schema.Frame{head("r", 1), data("r", 1, 2, "b"), data("r", 1, 1, "a")}, forward.CodeAnswerMismatch, ""},
		{"the last part is lost", []*schema.Frame{head("r", 1), data("r", 1, 1, "a"), end("r", 1, 2)}, forward.CodeAnswerMismatch, "a"},
		{"another request's head", []*schema.Frame{head("other", 1)}, forward.CodeAnswerMismatch, ""},
		{"another request's part", []*schema.Frame{head("r", 1), data("other", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"an earlier attempt's part", []*schema.Frame{head("r", 2), data("r", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"an earlier attempt's end", []*schema.Frame{head("r", 1), end("r", 7, 0)}, forward.CodeAnswerMismatch, ""},
		{"a second head", []*schema.Frame{head("r", 1), head("r", 1)}, forward.CodeAnswerMismatch, ""},
		{"a part before the head", []*schema.Frame{data("r", 1, 1, "x")}, forward.CodeAnswerMismatch, ""},
		{"a frame of another kind", []*schema.Frame{{Kind: &schema.Frame_Hello{Hello: &schema.Hello{Vm: "x"}}}}, forward.CodeAnswerMismatch, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			var wire bytes.Buffer
			for _, f := range row.frames {
				assert.NilError(t, writeFrame(&wire, f))
			}
			sink := &memorySink{}
			attempt := uint32(1)
			if row.name == "an earlier attempt's part" {
				attempt = 2
			}
			got := (&answerCopy{id: "r", attempt: attempt, sink: sink}).run(t.Context(), newFrameReader(&wire))
			assert.Equal(t, got.Failure.GetCode(), row.code)
			if row.code != "" {
				assert.Equal(t, got.Failure.GetOutcome(), schema.Outcome_OUTCOME_UNKNOWN)
			}
			assert.Equal(t, string(sink.body), row.body)
		})
	}
}

// echo answers calls with an empty reply.
type echo struct{}

func (echo) ServeForward(context.Context, coord.VMID, *schema.Forward, *AnswerWriter) {}
func (echo) ServeCall(context.Context, coord.VMID, *schema.Call) *schema.Reply {
	return &schema.Reply{Body: &schema.Reply_Empty{Empty: &schema.Empty{}}}
}
func (echo) HandleHeartbeat(*schema.Heartbeat) {}

// startMesh starts a VM's mesh and returns its address.
func startMesh(t *testing.T, vm coord.VMID, config *tls.Config, resolve func(coord.VMID) string) (*Mesh, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	m := New(Config{Self: vm, TLS: config, DialTimeout: 2 * time.Second}, echo{}, resolve)
	go m.Serve(l)
	t.Cleanup(func() { _ = l.Close(); m.Close() })
	return m, l.Addr().String()
}

func tlsOf(t *testing.T, authority certs.Pair, vm string) *tls.Config {
	t.Helper()
	pair, err := certs.Issue(authority, vm, nil)
	assert.NilError(t, err)
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	assert.Assert(t, pool.AppendCertsFromPEM(authority.Cert))
	return NewTLS(cert, pool)
}

// TestIdentity gives each false identity of a peer; none gets a session.
func TestIdentity(t *testing.T) {
	ours, err := certs.NewAuthority()
	assert.NilError(t, err)
	theirs, err := certs.NewAuthority()
	assert.NilError(t, err)
	for _, row := range []struct {
		name string
		// says is what the listening VM says of itself, config its TLS.
		says   coord.VMID
		config *tls.Config
		ok     bool
	}{
		{"right", "b", tlsOf(t, ours, "b"), true},
		{"another VM at the address", "c", tlsOf(t, ours, "c"), false},
		{"says a name that its certificate does not", "b", tlsOf(t, ours, "c"), false},
		{"certificate of another authority", "b", tlsOf(t, theirs, "b"), false},
		{"no TLS", "b", nil, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			_, address := startMesh(t, row.says, row.config, nil)
			a, _ := startMesh(t, "a", tlsOf(t, ours, "a"), func(coord.VMID) string { return address })
			_, err := a.Call(t.Context(), "b", &schema.Call{})
			assert.Equal(t, err == nil, row.ok, "%v", err)
		})
	}
}

// lingering is a connection whose reads return only when the test lets them, after
// the connection has ended.
type lingering struct {
	net.Conn
	release <-chan struct{}
}

func (c *lingering) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		<-c.release
	}
	return n, err
}

// silent takes calls and answers none until the test is over.
type silent struct {
	echo
	taken chan struct{}
	over  <-chan struct{}
}

func (s silent) ServeCall(context.Context, coord.VMID, *schema.Call) *schema.Reply {
	s.taken <- struct{}{}
	<-s.over
	return &schema.Reply{}
}

// TestDroppedSessionEndsItsCalls drops a VM with calls open: they end at once, also
// while the session below still waits for its connection. Calls that waited there kept
// a VM's processor for seconds.
func TestDroppedSessionEndsItsCalls(t *testing.T) {
	const calls = 20
	over := make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	handler := silent{taken: make(chan struct{}, calls), over: over}
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, handler, nil)
	go b.Serve(l)
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return &lingering{conn, over}, err
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, Dial: dial}, echo{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { close(over); a.Close(); b.Close(); _ = l.Close() }()
	ended := make(chan error, calls)
	for range calls {
		go func() {
			_, err := a.Call(t.Context(), "b", &schema.Call{})
			ended <- err
		}()
	}
	for range calls {
		<-handler.taken
	}
	go a.Disconnect("b")
	guard := time.After(20 * time.Second)
	for i := range calls {
		select {
		case err := <-ended:
			assert.Assert(t, err != nil)
		case <-guard:
			t.Fatalf("%d of %d calls ended", i, calls)
		}
	}
}

// swallowing is a connection that may fall silent: what is written is lost, and nothing
// comes any more.
type swallowing struct {
	net.Conn
	silent atomic.Bool
}

func (c *swallowing) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// TestSilentSessionIsReplaced: a connection falls silent without an end while new ones
// work.
func TestSilentSessionIsReplaced(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, echo{}, nil)
	go b.Serve(l)
	var last atomic.Pointer[swallowing]
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		if err != nil {
			return nil, err
		}
		c := &swallowing{Conn: conn}
		last.Store(c)
		return c, nil
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, AckTimeout: 50 * time.Millisecond, Dial: dial}, echo{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { a.Close(); b.Close(); _ = l.Close() }()
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.NilError(t, err)
	last.Load().silent.Store(true)
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.Assert(t, err != nil, "it ends though nobody gives it a deadline")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.Call(t.Context(), "b", &schema.Call{}); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
}

// holding is a connection that may hold back what is written until it is let go.
type holding struct {
	net.Conn
	hold  atomic.Bool
	began chan struct{}
	letGo chan struct{}
}

func (c *holding) Write(p []byte) (int, error) {
	if c.hold.CompareAndSwap(true, false) {
		close(c.began)
		<-c.letGo
	}
	return c.Conn.Write(p)
}

// TestForwardThatCrossesAStopHasNotRun: a request is on its way to a VM that has just ended
// all it ran and stops. In a rolling restart of all VMs its caller was told that it may have
// run (one of 10,525 requests, once): the session was closed with the request unread.
func TestForwardThatCrossesAStopHasNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	b := New(Config{Self: "b", DialTimeout: 2 * time.Second}, echo{}, nil)
	go b.Serve(l)
	conn := &holding{began: make(chan struct{}), letGo: make(chan struct{})}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var err error
		conn.Conn, err = dialTCP(ctx, address)
		return conn, err
	}
	a := New(Config{Self: "a", DialTimeout: 2 * time.Second, Dial: dial}, echo{},
		func(coord.VMID) string { return l.Addr().String() })
	defer func() { a.Close(); b.Close(); _ = l.Close() }()
	_, err = a.Call(t.Context(), "b", &schema.Call{})
	assert.NilError(t, err)
	conn.hold.Store(true)
	ended := make(chan forward.Result)
	go func() {
		ended <- a.Remote("b").Execute(t.Context(), &schema.Forward{RequestId: "r", Attempt: 1, TimeoutMs: 10_000}, &memorySink{})
	}()
	<-conn.began
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		b.Drain(t.Context())
		b.Close()
	}()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := a.existing("b").mux.OpenStream(); !errors.Is(err, yamux.ErrRemoteGoAway) {
			return poll.Continue("the stop is not known yet: %v", err)
		}
		return poll.Success()
	})
	close(conn.letGo)
	got := <-ended
	assert.Equal(t, got.Failure.GetOutcome(), schema.Outcome_OUTCOME_NOT_RUN, "%v", got.Failure)
	<-stopped
}

func FuzzFrames(f *testing.F) {
	var wire bytes.Buffer
	assert.NilError(f, writeFrame(&wire, head("r", 1)))
	assert.NilError(f, writeFrame(&wire, end("r", 1, 0)))
	f.Add(wire.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f, 0x00})
	f.Fuzz(func(_ *testing.T, wire []byte) {
		sink := &memorySink{}
		(&answerCopy{id: "r", attempt: 1, sink: sink}).run(context.Background(), newFrameReader(bytes.NewReader(wire)))
	})
}
