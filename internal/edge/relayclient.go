package edge

import (
	"context"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/hop"
	"github.com/junctionfold/junctionfold/schema"
)

const (
	// relayRetryInterval is how long a VM that could not relay is asked after all others.
	relayRetryInterval = time.Second
	// maxUnreachable is how many relays have to fail to reach a target until it counts as
	// unreachable. The first may have lost its own paths and not know it yet.
	maxUnreachable = 2
	// relayTimeoutMargin is added to the timeout at the relay. The sender ends its attempts itself,
	// and must not take a timeout at the relay for a failure of the target.
	relayTimeoutMargin = 100 * time.Millisecond
	// maxRelayTimeout is the timeout of a relayed request without a deadline.
	maxRelayTimeout = time.Minute
)

// errRelayUnavailable means that a relay has not sent a request, for reasons of its own.
var errRelayUnavailable = errors.New("the relay is not available")

// relayClient sends requests to targets through other VMs. Lock order: no other lock is acquired
// while relayClient.mu is held.
type relayClient struct {
	node *Node

	mu sync.Mutex
	// failedAt holds when a VM could not relay.
	failedAt map[coord.VMID]time.Time
}

func newRelayClient(n *Node) *relayClient {
	return &relayClient{node: n, failedAt: map[coord.VMID]time.Time{}}
}

// do sends a request through a relay. Another one is tried only if the first has certainly sent
// nothing.
func (c *relayClient) do(ctx context.Context, r *hop.Request) (*hop.Response, error) {
	var unreachable, noConnection error
	unreachableCount := 0
	for _, vm := range c.candidates() {
		if ctx.Err() != nil || unreachableCount == maxUnreachable {
			break
		}
		resp, err := c.send(ctx, vm, r)
		c.node.metrics.Relayed.Add(relayResult(err), 1)
		switch {
		case errors.Is(err, errRelayUnavailable):
			c.recordFailure(vm)
		case errors.Is(err, hop.ErrNoConnection):
			noConnection = err
		case errors.Is(err, hop.ErrUnreachable):
			unreachable = err
			unreachableCount++
		default:
			if isProofOfReach(err) {
				c.node.reachability.recordRelayed(r.Key, true)
			}
			return resp, err
		}
	}
	switch {
	case noConnection != nil:
		return nil, noConnection
	case unreachable != nil && ctx.Err() != nil:
		return nil, unreachable
	case unreachable != nil:
		c.node.reachability.recordRelayed(r.Key, false)
		return nil, unreachable
	}
	return nil, errors.Wrapf(hop.ErrNoPath, "send to %s", r.Key)
}

// errTargetAnswered marks failures of a relayed request whose target was reached.
var errTargetAnswered = errors.New("the relay reached the target")

// isProofOfReach reports whether the result of a relayed request shows that the relay reached the
// target.
func isProofOfReach(err error) bool { return err == nil || errors.Is(err, errTargetAnswered) }

// relayResult returns the name of a result for metrics.
func relayResult(err error) string {
	switch {
	case err == nil:
		return "answered"
	case errors.Is(err, errRelayUnavailable):
		return "unavailable"
	case errors.Is(err, hop.ErrUnreachable):
		return "unreachable"
	case errors.IsAny(err, hop.ErrNoConnection, hop.ErrWithdrawn):
		return "not_sent"
	case errors.Is(err, hop.ErrRelayLost):
		return "lost"
	}
	return "failed"
}

// candidates returns the relays to try, those that recently failed last.
func (c *relayClient) candidates() []coord.VMID {
	vms := c.node.reachability.relays()
	now := c.node.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	slices.SortStableFunc(vms, func(a, b coord.VMID) int {
		return failedRecently(now, c.failedAt[a]) - failedRecently(now, c.failedAt[b])
	})
	return vms
}

func failedRecently(now, failedAt time.Time) int {
	if failedAt.IsZero() || now.Sub(failedAt) >= relayRetryInterval {
		return 0
	}
	return 1
}

func (c *relayClient) recordFailure(vm coord.VMID) {
	now := c.node.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, at := range c.failedAt {
		if now.Sub(at) >= relayRetryInterval {
			delete(c.failedAt, id)
		}
	}
	c.failedAt[vm] = now
}

// send sends a request through one relay and waits for the head of the response.
func (c *relayClient) send(ctx context.Context, vm coord.VMID, r *hop.Request) (*hop.Response, error) {
	if err := r.CheckBeforeSend(); err != nil {
		return nil, err
	}
	if r.OnRelay != nil {
		r.OnRelay(string(vm))
	}
	ctx, cancel := context.WithCancel(ctx)
	a := newRelayedAnswer(ctx, cancel)
	f := c.forwardMessage(ctx, r)
	go func() { a.finish(c.node.mesh.Remote(vm).Execute(ctx, f, a)) }()
	resp, err := a.awaitHead(r)
	if err != nil {
		a.close()
		return nil, errors.Wrapf(err, "relay to %s by %s", r.Key, vm)
	}
	return resp, nil
}

func (c *relayClient) forwardMessage(ctx context.Context, r *hop.Request) *schema.Forward {
	now := c.node.now()
	left := maxRelayTimeout
	if !r.Deadline.IsZero() {
		left = r.Deadline.Sub(now)
	}
	timeout := left
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(left, time.Until(deadline))
	}
	return &schema.Forward{
		RequestId: r.ID, Target: r.Key, Method: r.Method, Path: r.Path, Headers: headersToProto(r.Header), Body: r.Body,
		TimeoutMs: (timeout + relayTimeoutMargin).Milliseconds(),
		Relayed: &schema.RelayedRequest{
			Address: r.Address, Host: r.Host, MaxConnections: int32(r.MaxConns), LeftMs: left.Milliseconds(),
			DecisionAgeMs: now.Sub(r.Placement.DecidedAt).Milliseconds(), Paced: r.Placement.Paced, FeedRevision: r.Placement.Revision,
			SoftwareVersion: r.Placement.SoftwareVersion,
			Model:           r.Placement.Adapter.Model, Adapter: r.Placement.Adapter.Adapter, AdapterVersion: r.Placement.AdapterVersion,
		},
	}
}

func headersToProto(h http.Header) []*schema.Header {
	out := make([]*schema.Header, 0, len(h))
	for name, values := range h {
		for _, v := range values {
			out = append(out, &schema.Header{Name: name, Value: v})
		}
	}
	return out
}

func headersFromProto(headers []*schema.Header) http.Header {
	out := make(http.Header, len(headers))
	for _, h := range headers {
		out[h.Name] = append(out[h.Name], h.Value)
	}
	return out
}

// relayedAnswer receives the response to a relayed request. It implements forward.Sink.
type relayedAnswer struct {
	ctx    context.Context
	cancel context.CancelFunc
	heads  chan hop.Answer
	// results holds the result of the attempt; nil: the response is complete.
	results chan error
	reader  *io.PipeReader
	writer  *io.PipeWriter
}

// newRelayedAnswer returns an answer that ends with ctx. cancel cancels ctx.
func newRelayedAnswer(ctx context.Context, cancel context.CancelFunc) *relayedAnswer {
	a := &relayedAnswer{ctx: ctx, cancel: cancel, heads: make(chan hop.Answer, 1), results: make(chan error, 1)}
	a.reader, a.writer = io.Pipe()
	context.AfterFunc(ctx, func() { a.writer.CloseWithError(ctx.Err()) })
	return a
}

// Head implements forward.Sink.
func (a *relayedAnswer) Head(h forward.Head) error {
	a.heads <- hop.Answer{
		Status: h.Status, Header: headersFromProto(h.Headers), Length: h.Length, CloseDelimited: h.CloseDelimited, Body: (*relayedBody)(a),
	}
	return nil
}

// Data implements forward.Sink.
func (a *relayedAnswer) Data(part []byte) error {
	_, err := a.writer.Write(part)
	return err
}

// finish records the result of the attempt.
func (a *relayedAnswer) finish(result forward.Result) {
	err := relayError(result.Failure)
	a.writer.CloseWithError(err)
	a.results <- err
}

// awaitHead waits for the head of the response to r.
func (a *relayedAnswer) awaitHead(r *hop.Request) (*hop.Response, error) {
	select {
	case head := <-a.heads:
		return a.response(r, head)
	case err := <-a.results:
		return a.afterResult(r, err)
	case <-a.ctx.Done():
		return nil, a.ctx.Err()
	}
}

// afterResult returns the response if its head arrived before the result of the attempt.
func (a *relayedAnswer) afterResult(r *hop.Request, result error) (*hop.Response, error) {
	select {
	case head := <-a.heads:
		return a.response(r, head)
	default:
	}
	if result == nil {
		result = errors.Wrap(hop.ErrRelayLost, "answer without a head")
	}
	return nil, result
}

func (a *relayedAnswer) response(r *hop.Request, head hop.Answer) (*hop.Response, error) {
	if err := r.Accept(head.Status, head.Header); err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "answer of %s", r.Key), errTargetAnswered)
	}
	return hop.NewResponse(head), nil
}

// close ends the attempt; the relay resets its connection to the target if the response is not
// complete.
func (a *relayedAnswer) close() {
	a.cancel()
	_ = a.reader.Close() // never fails
}

// relayedBody is the body of a relayed response.
type relayedBody relayedAnswer

func (b *relayedBody) Read(p []byte) (int, error) { return b.reader.Read(p) }

func (b *relayedBody) Close() error {
	(*relayedAnswer)(b).close()
	return nil
}

// relayError returns the error of a relayed attempt as package hop would report it; nil: complete.
func relayError(f *schema.Failure) error {
	if f == nil {
		return nil
	}
	err := errors.Newf("%s: %s", f.Code, f.Message)
	switch f.Code {
	case forward.CodeOwnerUnreachable, forward.CodeRelayUnavailable:
		return errors.Mark(err, errRelayUnavailable)
	case forward.CodeTargetUnreachable:
		return errors.Mark(err, hop.ErrUnreachable)
	case forward.CodeNoConnection:
		return errors.Mark(err, hop.ErrNoConnection)
	case forward.CodeWithdrawn:
		return errors.Mark(err, hop.ErrWithdrawn)
	case forward.CodeTargetDisconnected:
		return errors.Mark(errors.Mark(err, io.ErrUnexpectedEOF), errTargetAnswered)
	case forward.CodeInvalidAnswer:
		return errors.Mark(errors.Mark(err, answer.ErrInvalid), errTargetAnswered)
	case forward.CodeTimeout:
		return errors.Mark(err, context.DeadlineExceeded)
	case forward.CodeTargetFailed:
		return err
	}
	return errors.Mark(err, hop.ErrRelayLost)
}

var _ forward.Sink = (*relayedAnswer)(nil)
