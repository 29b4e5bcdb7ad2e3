package edge

import (
	"context"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/hop"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/schema"
)

const (
	// relayDialTimeout bounds a connection attempt for another VM, whose own attempt took time too.
	// Targets are a few milliseconds away.
	relayDialTimeout = 400 * time.Millisecond
	// relayBufferBytes is the size of the parts in which a body is relayed.
	relayBufferBytes = 4 << 10
)

// relayServer sends requests of other VMs to targets. It uses this VM's own connections only, never
// another relay. Lock order: no other lock is acquired while relayServer.mu is held.
type relayServer struct {
	node *Node
	// maxBytes bounds the sum of the bodies that are being relayed; 0: no limit.
	maxBytes int64

	mu       sync.Mutex
	draining bool
	// bytes is the sum of the bodies that are being relayed.
	bytes   int64
	running sync.WaitGroup // Add is called with mu held
}

// ServeForward sends a request of another VM to its target and returns the response.
func (h *peerHandler) ServeForward(ctx context.Context, _ coord.VMID, f *schema.Forward, w *peer.AnswerWriter) {
	n := (*Node)(h)
	result := n.relayServer.serve(ctx, f, w)
	n.metrics.RelayedForOthers.Add(resultName(result), 1)
	_ = w.End(result) // the other VM has left, or notices the missing end
}

// resultName returns the name of a result for metrics.
func resultName(r forward.Result) string {
	if r.Failure == nil {
		return "complete"
	}
	return r.Failure.Code
}

// begin counts a request with a body of the given size. It returns false if this VM drains or holds too many bodies.
func (s *relayServer) begin(bodyBytes int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining || s.maxBytes > 0 && s.bytes+int64(bodyBytes) > s.maxBytes {
		return false
	}
	s.bytes += int64(bodyBytes)
	s.running.Add(1)
	return true
}

func (s *relayServer) end(bodyBytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes -= int64(bodyBytes)
	s.running.Done()
}

// drain makes this VM accept no further requests of others.
func (s *relayServer) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// wait waits until the requests of others have ended, or until ctx ends. drain must have been called.
func (s *relayServer) wait(ctx context.Context) {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		s.running.Wait()
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// serve sends a request to its target and copies the response to w.
func (s *relayServer) serve(ctx context.Context, f *schema.Forward, w forward.Sink) forward.Result {
	if f.Relayed == nil || !s.node.reachability.canRelay() || !s.begin(len(f.Body)) {
		return notSentResult(forward.CodeRelayUnavailable, nil)
	}
	defer s.end(len(f.Body))
	resp, err := s.node.pool.Do(ctx, s.request(ctx, f))
	if errors.Is(err, hop.ErrUnreachable) && !s.node.reachability.isAtFault(ctx, f.Target) {
		return notSentResult(forward.CodeRelayUnavailable, err)
	}
	if isPathFailure(ctx, err) {
		s.node.reachability.recordDirectFailure(f.Target)
	}
	if err != nil {
		return s.failure(ctx, f.Target, err)
	}
	defer resp.Close()
	return s.copyResponse(ctx, f.Target, resp, w)
}

// failure returns the result of an attempt at a target that failed with an error of package hop. A
// failure that this VM's own paths may have caused says nothing about the target.
func (s *relayServer) failure(ctx context.Context, target string, err error) forward.Result {
	isSilence := errors.Is(s.node.reachability.markSilence(target, err), hop.ErrSilence)
	if isSilence || isPathFailure(ctx, err) && !s.node.reachability.isAtFault(ctx, target) {
		return failedResult(forward.CodeAnswerTruncated, err)
	}
	return relayFailure(ctx, err)
}

func (s *relayServer) request(ctx context.Context, f *schema.Forward) *hop.Request {
	n, receivedAt := s.node, s.node.now()
	deadline := receivedAt.Add(time.Duration(f.Relayed.LeftMs) * time.Millisecond)
	placement := hop.Placement{
		DecidedAt: receivedAt.Add(-time.Duration(f.Relayed.DecisionAgeMs) * time.Millisecond),
		Paced:     f.Relayed.Paced, Revision: f.Relayed.FeedRevision,
		SoftwareVersion: f.Relayed.SoftwareVersion,
		Adapter:         coord.AdapterRef{Model: f.Relayed.Model, Adapter: f.Relayed.Adapter}, AdapterVersion: f.Relayed.AdapterVersion,
	}
	header := headersFromProto(f.Headers)
	maxConns, known := n.gateway.MaxConnections(f.Target)
	if !known {
		maxConns = int(f.Relayed.MaxConnections)
	}
	return &hop.Request{
		Key: f.Target, Address: f.Relayed.Address, MaxConns: maxConns,
		Method: f.Method, Path: f.Path, Host: f.Relayed.Host, Header: header, Body: f.Body,
		AckTimeout: drainBounds(n.settings.Times).InFlight, DialTimeout: relayDialTimeout,
		BeforeSend: func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			n.platform.Codec.Encode(header, fleet.CallMetadata{Target: f.Target, Remaining: n.until(deadline), Priority: -1})
			return n.gateway.CheckRelayed(f.Target, placement)
		},
		Accept: func(status int, h http.Header) error {
			err := n.platform.Codec.DecodeAnswer(status, h).Accept(f.RequestId)
			if !errors.Is(err, answer.ErrInvalid) {
				n.handleNotice(f.Target, n.platform.Codec.Notice(status, h), nil)
			}
			return err
		},
	}
}

// copyResponse copies the response of a target to w and returns its result.
func (s *relayServer) copyResponse(ctx context.Context, target string, resp *hop.Response, w forward.Sink) forward.Result {
	head := forward.Head{
		Status: resp.Status, Headers: headersToProto(resp.Header), Length: resp.Length, CloseDelimited: resp.CloseDelimited,
	}
	if err := w.Head(head); err != nil {
		return failedResult(forward.CodeCancelled, err)
	}
	var buffer [relayBufferBytes]byte
	for {
		n, readErr := resp.Read(buffer[:])
		if n > 0 {
			if err := w.Data(buffer[:n]); err != nil {
				return failedResult(forward.CodeCancelled, err)
			}
		}
		if readErr == io.EOF {
			return forward.Result{}
		}
		if readErr != nil {
			return s.failure(ctx, target, readErr)
		}
	}
}

// relayFailure returns the result of an attempt that failed with an error of package hop.
func relayFailure(ctx context.Context, err error) forward.Result {
	switch {
	case errors.Is(err, hop.ErrUnreachable):
		return notSentResult(forward.CodeTargetUnreachable, err)
	case errors.Is(err, hop.ErrNoConnection):
		return notSentResult(forward.CodeNoConnection, err)
	case errors.Is(err, hop.ErrWithdrawn):
		return notSentResult(forward.CodeWithdrawn, err)
	case errors.Is(err, answer.ErrInvalid):
		return failedResult(forward.CodeInvalidAnswer, err)
	case ctx.Err() != nil:
		return failedResult(forward.CodeTimeout, err)
	case errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE):
		return failedResult(forward.CodeTargetDisconnected, err)
	}
	return failedResult(forward.CodeTargetFailed, err)
}

func notSentResult(code string, err error) forward.Result {
	return forward.FailedResult(code, http.StatusServiceUnavailable, schema.Outcome_OUTCOME_NOT_RUN, 0, errorMessage(err))
}

func failedResult(code string, err error) forward.Result {
	return forward.FailedResult(code, http.StatusBadGateway, schema.Outcome_OUTCOME_UNKNOWN, 0, errorMessage(err))
}

func errorMessage(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
