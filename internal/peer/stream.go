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

// incomingTimeout bounds the wait for the first frame of a stream that another VM opened,
// and the handling of a call.
const incomingTimeout = 10 * time.Second

// serveStream serves one stream that another VM opened.
func (m *Mesh) serveStream(s *session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(incomingTimeout))
	defer s.trackStream(stream)()
	first, err := readSingle(stream) // the other side sends nothing else before the response
	if err != nil {
		return
	}
	s.clearReadDeadline(stream)
	switch kind := first.Kind.(type) {
	case *schema.Frame_Forward:
		m.serveForward(s, stream, kind.Forward)
	case *schema.Frame_Call:
		m.serveCall(s, stream, kind.Call)
	}
}

func (m *Mesh) serveCall(s *session, stream *yamux.Stream, c *schema.Call) {
	ctx, cancel := context.WithTimeout(context.Background(), incomingTimeout)
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

// cancelWhenClosed cancels the attempt when the other side closes the stream. The other
// side sends nothing after the Forward, hence the read returns only when it closes the
// stream or the session ends.
func cancelWhenClosed(stream *yamux.Stream, cancel context.CancelFunc) {
	var buf [1]byte
	_, _ = stream.Read(buf[:])
	cancel()
}

// AnswerWriter writes the frames of one response. It implements forward.Sink.
type AnswerWriter struct {
	stream  net.Conn
	id      string
	attempt uint32
	seq     uint64
}

// Head sends the head of the response.
func (w *AnswerWriter) Head(h forward.Head) error {
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_Head{Head: &schema.AnswerHead{
		RequestId: w.id, Attempt: w.attempt, Status: int32(h.Status), Headers: h.Headers, CloseDelimited: h.CloseDelimited,
		Length: h.Length,
	}}})
}

// Data sends a part of the body.
func (w *AnswerWriter) Data(part []byte) error {
	w.seq++
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_Data{Data: &schema.AnswerData{
		RequestId: w.id, Attempt: w.attempt, Seq: w.seq, Body: part,
	}}})
}

// End sends the result of the attempt, which ends the response.
func (w *AnswerWriter) End(r forward.Result) error {
	return writeFrame(w.stream, &schema.Frame{Kind: &schema.Frame_End{End: &schema.AnswerEnd{
		RequestId: w.id, Attempt: w.attempt, Seq: w.seq, Failure: r.Failure, Hint: r.Hint,
	}}})
}

// Call sends a call to a VM and returns its reply.
func (m *Mesh) Call(ctx context.Context, vm coord.VMID, c *schema.Call) (*schema.Reply, error) {
	s, err := m.session(ctx, vm)
	if err != nil {
		return nil, errors.Mark(err, ErrNotSent)
	}
	return callOn(ctx, s, c)
}

// CallAddress sends a call to the VM at an address, whichever VM that is, and returns its
// reply. It dials a separate session, which it closes afterwards.
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
	defer s.trackStream(stream)()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	defer stop()
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Call{Call: c}}); err != nil {
		return nil, errors.Wrapf(err, "call %s", s.vm)
	}
	f, err := readSingle(stream)
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

// Execute sends the attempt to the VM and copies the response to the sink.
func (r *Remote) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	s, err := r.mesh.session(ctx, r.vm)
	if err != nil {
		return unreachableResult(err)
	}
	stream, err := s.mux.OpenStream()
	if err != nil {
		return unreachableResult(err)
	}
	defer func() { _ = stream.Close() }()
	defer s.trackStream(stream)()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Forward{Forward: f}}); err != nil {
		return truncatedResult(ctx, err)
	}
	receiver := &answerReceiver{id: f.RequestId, attempt: f.Attempt, sink: sink}
	return receiver.receive(ctx, newFrameReader(stream))
}

func unreachableResult(err error) forward.Result {
	return forward.FailedResult(forward.CodeOwnerUnreachable, http.StatusServiceUnavailable,
		schema.Outcome_OUTCOME_NOT_RUN, time.Second, err.Error())
}

// truncatedResult returns the result of a response that ended without its end frame. The
// request may have run.
func truncatedResult(ctx context.Context, err error) forward.Result {
	code, status := forward.CodeAnswerTruncated, http.StatusBadGateway
	if ctx.Err() != nil {
		code, status = forward.CodeTimeout, http.StatusGatewayTimeout
	}
	return forward.FailedResult(code, status, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
}

// answerReceiver copies one response to a sink and checks that each frame belongs to the
// attempt.
type answerReceiver struct {
	id           string
	attempt      uint32
	sink         forward.Sink
	seq          uint64
	headReceived bool
}

// errFrameMismatch is returned for a frame that belongs to another response or is out of
// order.
var errFrameMismatch = errors.New("frame of another answer or out of order")

func (r *answerReceiver) receive(ctx context.Context, frames *frameReader) forward.Result {
	for {
		f, err := frames.read()
		if errors.Is(err, yamux.ErrConnectionReset) && !r.headReceived {
			return unreachableResult(err) // rejected unread by a VM that is draining
		}
		if err != nil {
			return truncatedResult(ctx, err)
		}
		end, err := r.handleFrame(f)
		if errors.Is(err, errFrameMismatch) {
			return forward.FailedResult(forward.CodeAnswerMismatch, http.StatusBadGateway,
				schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
		}
		if err != nil {
			return forward.FailedResult(forward.CodeCancelled, 499, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
		}
		if end != nil {
			return forward.Result{Failure: end.Failure, Hint: end.Hint}
		}
	}
}

// handleFrame checks one frame and copies it to the sink. It returns the frame if it is
// the end frame.
func (r *answerReceiver) handleFrame(f *schema.Frame) (*schema.AnswerEnd, error) {
	switch kind := f.Kind.(type) {
	case *schema.Frame_Head:
		if !r.matches(kind.Head) || r.headReceived {
			return nil, errFrameMismatch
		}
		r.headReceived = true
		return nil, r.sink.Head(forward.Head{
			Status: int(kind.Head.Status), Headers: kind.Head.Headers, CloseDelimited: kind.Head.CloseDelimited,
			Length: kind.Head.Length,
		})
	case *schema.Frame_Data:
		r.seq++
		if !r.matches(kind.Data) || !r.headReceived || kind.Data.Seq != r.seq {
			return nil, errFrameMismatch
		}
		return nil, r.sink.Data(kind.Data.Body)
	case *schema.Frame_End:
		if !r.matches(kind.End) || kind.End.Seq != r.seq {
			return nil, errFrameMismatch
		}
		return kind.End, nil
	}
	return nil, errFrameMismatch
}

// answerFrame is implemented by all frames of a response.
type answerFrame interface {
	GetRequestId() string
	GetAttempt() uint32
}

func (r *answerReceiver) matches(f answerFrame) bool {
	return f.GetRequestId() == r.id && f.GetAttempt() == r.attempt
}

// AnyVM is passed as the dialled VM when the VM at an address is not known in advance.
const AnyVM coord.VMID = "*"

var _ forward.Sink = (*AnswerWriter)(nil)
var _ forward.Executor = (*Remote)(nil)
