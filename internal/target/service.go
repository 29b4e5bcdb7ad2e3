package target

import (
	"context"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/schema"
)

// Service is the client of one instance of a plain service.
type Service struct {
	baseURL string
	client  *http.Client
}

// NewService returns the client of the instance at an address. The client does not follow
// redirects; they are relayed to the caller.
func NewService(address string, transport http.RoundTripper) *Service {
	return &Service{baseURL: "http://" + address, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// copyBufferBytes is the size of the buffer through which an answer is relayed.
const copyBufferBytes = 16 << 10

// hopHeaders are the headers that are not forwarded: those that apply to one connection only (RFC
// 9110, section 7.6.1), and Content-Length, which is set anew for each hop.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Proxy-Authenticate": true, "Proxy-Authorization": true, "Content-Length": true,
}

// ForwardableHeaders returns the headers that are forwarded to the next hop.
func ForwardableHeaders(h http.Header) []*schema.Header {
	out := make([]*schema.Header, 0, len(h))
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, &schema.Header{Name: name, Value: v})
		}
	}
	return out
}

// Run sends the call once and copies the answer to the sink.
func (s *Service) Run(ctx context.Context, f *schema.Forward, a *attempt.Attempt, sink forward.Sink) forward.Result {
	req, err := http.NewRequestWithContext(withSendTrace(ctx, a), f.Method, s.baseURL+f.Path, nonReplayableBody(f.Body))
	if err != nil {
		return forward.FailedResult(forward.CodeBadRequest, http.StatusBadRequest, schema.Outcome_OUTCOME_NOT_RUN, 0, err.Error())
	}
	req.ContentLength = int64(len(f.Body))
	for _, h := range f.Headers {
		req.Header.Add(h.Name, h.Value)
	}
	req.Header.Set(RequestIDHeader, f.RequestId)
	resp, err := checkStatus(s.client.Do(req))
	if err != nil {
		a.ConnectionLost()
		return FailureResult(ctx, a, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(NotRunHeader) == "true" && resp.StatusCode >= http.StatusInternalServerError {
		a.Refused()
		return forward.FailedResult(forward.CodeTargetRefused, http.StatusServiceUnavailable, schema.Outcome_OUTCOME_NOT_RUN, 0, "the service did not run the call")
	}
	a.Started()
	return copyAnswer(ctx, resp, a, sink)
}

// errBrokenOff marks an answer that ends inside an event.
var errBrokenOff = errors.Wrap(io.ErrUnexpectedEOF, "the answer ends inside an event")

func copyAnswer(ctx context.Context, resp *http.Response, a *attempt.Attempt, sink forward.Sink) forward.Result {
	head := forward.Head{
		Status: resp.StatusCode, Headers: ForwardableHeaders(resp.Header), CloseDelimited: framing.IsCloseDelimited(resp),
	}
	if err := sink.Head(head); err != nil {
		a.ConnectionLost()
		return CallerDisconnected(err)
	}
	isStream := eventstream.IsDeclared(resp.Header)
	var events eventstream.Scanner
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if isStream {
			events.Scan(buf[:n])
		}
		if n > 0 {
			if sinkErr := sink.Data(buf[:n]); sinkErr != nil {
				a.ConnectionLost()
				return CallerDisconnected(sinkErr)
			}
		}
		if errors.Is(err, io.EOF) && events.InEvent() {
			err = errBrokenOff
		}
		if err == io.EOF {
			a.Finished()
			return forward.Result{}
		}
		if err != nil {
			a.ConnectionLost()
			return FailureResult(ctx, a, err)
		}
	}
}
