package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/schema"
)

// openTimeout bounds the wait for the first frame of a stream.
const openTimeout = 10 * time.Second

// serveStream serves one stream that another VM opened.
func (m *Mesh) serveStream(s *session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(openTimeout))
	defer s.use(stream)()
	frames := newFrameReader(stream)
	first, err := frames.read()
	if err != nil {
		return
	}
	s.noReadDeadline(stream)
	switch kind := first.Kind.(type) {
	case *schema.Frame_Forward:
		m.serveForward(s, stream, kind.Forward)
	case *schema.Frame_Call:
		m.serveCall(s, stream, kind.Call)
	}
}

func (m *Mesh) serveCall(s *session, stream *yamux.Stream, c *schema.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	reply := m.handler.ServeCall(ctx, s.vm, c)
	_ = writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Reply{Reply: reply}})
}

func (m *Mesh) serveForward(s *session, stream *yamux.Stream, f *schema.Forward) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(f.TimeoutMs)*time.Millisecond)
	defer cancel()
	go cancelWhenClosed(stream, cancel)
	w := &AnswerWriter{stream: stream, id: f.RequestId, attempt: f.Attempt}
	m.handler.ServeForward(ctx, s.vm, f, w)
}

// cancelWhenClosed ends the work when the other side closes the stream: it
// sends nothing after the Forward, so the read returns only then.
func cancelWhenClosed(stream *yamux.Stream, cancel context.CancelFunc) {
	var one [1]byte
	_, _ = stream.Read(one[:])
	cancel()
}

// AnswerWriter writes the frames of one answer. It implements forward.Sink.
type AnswerWriter struct {
	stream  net.Conn
	id      string
	attempt uint32
	seq     uint64
}

// Head sends the answer's status and headers.
func (w *AnswerWriter) Head(status int, headers []*schema.Header) error {
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_Head{Head: &schema.AnswerHead{
		RequestId: w.id, Attempt: w.attempt, Status: int32(status), Headers: headers,
	}}})
}

// Data sends a part of the body.
func (w *AnswerWriter) Data(part []byte) error {
	w.seq++
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_Data{Data: &schema.AnswerData{
		RequestId: w.id, Attempt: w.attempt, Seq: w.seq, Body: part,
	}}})
}

// End closes the answer.
func (w *AnswerWriter) End(r forward.Result) error {
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_End{End: &schema.AnswerEnd{
		RequestId: w.id, Attempt: w.attempt, Seq: w.seq, Failure: r.Failure, Hint: r.Hint,
	}}})
}

// Call asks a VM and returns its reply.
func (m *Mesh) Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error) {
	s, err := m.get(ctx, vm)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return callOn(ctx, s, c)
}

// CallAddress asks whichever VM answers at an address.
func (m *Mesh) CallAddress(ctx context.Context, address string, c *schema.Call) (*schema.Reply, error) {
	s, err := m.dialAddress(ctx, address, AnyVM)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	defer s.close()
	return callOn(ctx, s, c)
}

func callOn(ctx context.Context, s *session, c *schema.Call) (*schema.Reply, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "open stream"), ErrNotSent)
	}
	defer func() { _ = stream.Close() }()
	defer s.use(stream)()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(past) })
	defer stop()
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Call{Call: c}}); err != nil {
		return nil, errors.Wrapf(err, "call %s", s.vm)
	}
	f, err := newFrameReader(stream).read()
	if err != nil {
		return nil, errors.Wrapf(err, "reply of %s", s.vm)
	}
	r := f.GetReply()
	if r == nil {
		return nil, errors.Newf("%s answered a call with another frame", s.vm)
	}
	if r.Error != "" {
		return nil, errors.Newf("%s: %s", s.vm, r.Error)
	}
	return r, nil
}

// Remote runs attempts on another VM. It implements forward.Executor.
type Remote struct {
	mesh *Mesh
	vm   coord.VMID
}

// Remote returns an Executor for a VM.
func (m *Mesh) Remote(vm coord.VMID) *Remote { return &Remote{mesh: m, vm: vm} }

// Execute sends the attempt and copies the answer to the sink.
func (r *Remote) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	s, err := r.mesh.get(ctx, r.vm)
	if err != nil {
		return unreachable(err)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return unreachable(err)
	}
	defer func() { _ = stream.Close() }()
	defer s.use(stream)()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Forward{Forward: f}}); err != nil {
		return cut(ctx, err)
	}
	c := &answerCopy{id: f.RequestId, attempt: f.Attempt, sink: sink}
	return c.run(ctx, newFrameReader(stream))
}

func unreachable(err error) forward.Result {
	return forward.Fail(forward.CodeOwnerUnreachable, http.StatusServiceUnavailable,
		schema.Outcome_OUTCOME_NOT_RUN, time.Second, err.Error())
}

// cut is the result of an answer that ended without its end frame: the request
// may have run.
func cut(ctx context.Context, err error) forward.Result {
	code, status := forward.CodeAnswerTruncated, http.StatusBadGateway
	if ctx.Err() != nil {
		code, status = forward.CodeTimeout, http.StatusGatewayTimeout
	}
	return forward.Fail(code, status, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
}

// answerCopy copies one answer and checks each frame against what was asked.
type answerCopy struct {
	id      string
	attempt uint32
	sink    forward.Sink
	seq     uint64
	headed  bool
}

// errCrossed marks frames of another answer, or out of order.
var errCrossed = errors.New("frame of another answer or out of order")

func (c *answerCopy) run(ctx context.Context, frames *frameReader) forward.Result {
	for {
		f, err := frames.read()
		if errors.Is(err, yamux.ErrConnectionReset) && !c.headed {
			return unreachable(err) // refused unread by a VM that drains
		}
		if err != nil {
			return cut(ctx, err)
		}
		end, err := c.take(f)
		if errors.Is(err, errCrossed) {
			return forward.Fail(forward.CodeAnswerMismatch, http.StatusBadGateway,
				schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
		}
		if err != nil {
			return forward.Fail(forward.CodeCancelled, 499, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
		}
		if end != nil {
			return forward.Result{Failure: end.Failure, Hint: end.Hint}
		}
	}
}

// take passes one frame on. It returns the end frame when the answer is closed.
func (c *answerCopy) take(f *schema.Frame) (*schema.AnswerEnd, error) {
	switch kind := f.Kind.(type) {
	case *schema.Frame_Head:
		if !c.mine(kind.Head) || c.headed {
			return nil, errCrossed
		}
		c.headed = true
		return nil, c.sink.Head(int(kind.Head.Status), kind.Head.Headers)
	case *schema.Frame_Data:
		c.seq++
		if !c.mine(kind.Data) || !c.headed || kind.Data.Seq != c.seq {
			return nil, errCrossed
		}
		return nil, c.sink.Data(kind.Data.Body)
	case *schema.Frame_End:
		if !c.mine(kind.End) || kind.End.Seq != c.seq {
			return nil, errCrossed
		}
		return kind.End, nil
	}
	return nil, errCrossed
}

// answerFrame is what all answer frames carry.
type answerFrame interface {
	GetRequestId() string
	GetAttempt() uint32
}

func (c *answerCopy) mine(f answerFrame) bool {
	return f.GetRequestId() == c.id && f.GetAttempt() == c.attempt
}

// AnyVM dials an address without knowing which VM is there.
const AnyVM coord.VMID = "*"

var _ forward.Sink = (*AnswerWriter)(nil)
var _ forward.Executor = (*Remote)(nil)
