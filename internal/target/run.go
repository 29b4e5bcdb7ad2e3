package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/schema"
)

// MaxAnswerBytes bounds an answer that is not streamed.
const MaxAnswerBytes = 32 << 20

// maxResumes bounds how often an interrupted stream is resumed.
const maxResumes = 3

// Run is one attempt on an engine.
type Run struct {
	Forward *schema.Forward
	// Name of the adapter at the engine.
	Name string
	// Model is the name that the caller used and that the answer carries.
	Model string
	// FencingToken is the owner's fencing token.
	FencingToken uint64
	// Attempt records how far the request got.
	Attempt *attempt.Attempt
}

// runner executes one Run.
type runner struct {
	Run
	engine *Engine
	sink   forward.Sink
	// eventsRelayed counts the events relayed so far; a resume continues after them.
	eventsRelayed int
	headSent      bool
	streamEnded   bool
	// bodyEnded is set once the body of a stream has ended after its end marker.
	bodyEnded bool
	// cancel closes the connection to the engine.
	cancel context.CancelFunc
}

// Run sends the request and writes the answer to the sink. The answer is relayed only if it names
// the adapter that was requested. If the outcome of the attempt is attempt.Unknown afterwards, the
// engine may still use the adapter, also if there is no failure.
func (e *Engine) Run(ctx context.Context, r Run, sink forward.Sink) forward.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runner{Run: r, engine: e, sink: sink, cancel: cancel}
	resp, err := run.send(ctx)
	if err != nil {
		return run.failureResult(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return run.errorResult(ctx, resp)
	}
	run.Attempt.Started()
	if r.Forward.Stream {
		return run.relayStream(ctx, resp)
	}
	return run.relayBuffered(ctx, resp)
}

func (r *runner) send(ctx context.Context) (*http.Response, error) {
	body, err := sjson.SetBytes(r.Forward.Body, "model", r.Name)
	if err != nil {
		return nil, errors.Wrap(err, "set model")
	}
	req, err := http.NewRequestWithContext(withSendTrace(ctx, r.Attempt), r.Forward.Method, r.engine.baseURL+r.Forward.Path, nonReplayableBody(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDHeader, r.Forward.RequestId)
	req.Header.Set(FencingTokenHeader, strconv.FormatUint(r.FencingToken, 10))
	return checkStatus(r.engine.runClient.Do(req))
}

// checkStatus returns an error in place of a response whose status is none of an answer.
func checkStatus(resp *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	if err := answer.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close() // the error is reported
		return nil, err
	}
	return resp, nil
}

// nonReplayableBody hides the type of the body from net/http. Otherwise net/http would keep a copy
// and resend the request when a reused connection breaks, because it treats a request with an
// Idempotency-Key header as replayable.
func nonReplayableBody(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// withSendTrace marks the attempt as possibly sent once it has a connection, before the first byte
// can leave.
func withSendTrace(ctx context.Context, a *attempt.Attempt) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.MaybeSent() },
	})
}

// failureResult returns the result of an attempt that ended without a complete answer, and marks
// the connection as lost.
func (r *runner) failureResult(ctx context.Context, err error) forward.Result {
	r.Attempt.ConnectionLost()
	return FailureResult(ctx, r.Attempt, err)
}

// FailureResult returns the result of an attempt that ended without a complete answer.
func FailureResult(ctx context.Context, a *attempt.Attempt, err error) forward.Result {
	outcome := OutcomeOf(a)
	if ctx.Err() != nil {
		return forward.FailedResult(forward.CodeTimeout, http.StatusGatewayTimeout, outcome, 0, err.Error())
	}
	if outcome == schema.Outcome_OUTCOME_NOT_RUN {
		return forward.FailedResult(forward.CodeTargetUnreachable, http.StatusServiceUnavailable, outcome, time.Second, err.Error())
	}
	return forward.FailedResult(forward.CodeAnswerTruncated, http.StatusBadGateway, outcome, 0, err.Error())
}

// OutcomeOf returns the outcome of an attempt, as far as it is known, in its wire form.
func OutcomeOf(a *attempt.Attempt) schema.Outcome {
	switch a.Outcome() {
	case attempt.NotRun:
		return schema.Outcome_OUTCOME_NOT_RUN
	case attempt.Ran:
		return schema.Outcome_OUTCOME_RAN
	}
	return schema.Outcome_OUTCOME_UNKNOWN
}

// errorResult handles an engine's error answer. Only an explicit statement of the engine that it
// did not run the request counts as a refusal; any other server error leaves the outcome unknown,
// and any other client error is relayed to the caller.
func (r *runner) errorResult(ctx context.Context, resp *http.Response) forward.Result {
	body, err := readBody(resp)
	refusal := &ErrorBody{}
	_ = json.Unmarshal(body, refusal)
	code := refusal.Error.Code
	if code == EngineNotLoaded || code == EngineStaleToken || resp.Header.Get(NotRunHeader) == "true" {
		r.Attempt.Refused()
		return forward.FailedResult(refusalCode(code), http.StatusServiceUnavailable,
			schema.Outcome_OUTCOME_NOT_RUN, time.Second, refusal.Error.Message)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		r.Attempt.ConnectionLost()
		return forward.FailedResult(forward.CodeAnswerTruncated, http.StatusBadGateway,
			schema.Outcome_OUTCOME_UNKNOWN, 0, "the engine answered with status "+strconv.Itoa(resp.StatusCode))
	}
	if err != nil {
		return r.failureResult(ctx, err)
	}
	return r.relay(resp, body)
}

// readBody reads a body of at most MaxAnswerBytes to its end.
func readBody(resp *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(body) > MaxAnswerBytes {
		err = errors.Newf("answer of more than %d bytes", MaxAnswerBytes)
	}
	return body, err
}

func refusalCode(engineCode string) string {
	if engineCode == "" {
		return forward.CodeTargetRefused
	}
	return engineCode
}

// isWholeObject reports whether a body is a JSON object, which no cut body is.
func isWholeObject(body []byte) bool {
	return gjson.ValidBytes(body) && gjson.ParseBytes(body).IsObject()
}

// relay writes an answer that was read to its end to the sink.
func (r *runner) relay(resp *http.Response, body []byte) forward.Result {
	r.Attempt.Started()
	r.Attempt.Finished()
	unverified := framing.IsCloseDelimited(resp) && !isWholeObject(body)
	if err := r.sink.Head(forward.Head{Status: resp.StatusCode, Headers: contentType(resp), CloseDelimited: unverified}); err != nil {
		return CallerDisconnected(err)
	}
	if err := r.sink.Data(body); err != nil {
		return CallerDisconnected(err)
	}
	return forward.Result{}
}

// CallerDisconnected returns the result of an attempt whose caller no longer accepts the answer.
func CallerDisconnected(err error) forward.Result {
	return forward.FailedResult(forward.CodeCancelled, statusClientClosed, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
}

// statusClientClosed is the customary status for a caller that has disconnected.
const statusClientClosed = 499

func contentType(resp *http.Response) []*schema.Header {
	return []*schema.Header{{Name: "Content-Type", Value: resp.Header.Get("Content-Type")}}
}

// relayBuffered reads an answer to its end before it relays any of it.
func (r *runner) relayBuffered(ctx context.Context, resp *http.Response) forward.Result {
	body, err := readBody(resp)
	if err == nil && !isWholeObject(body) {
		err = errors.New("the answer is not a JSON object")
	}
	if err != nil {
		return r.failureResult(ctx, err)
	}
	if got := gjson.GetBytes(body, "model").String(); got != r.Name {
		return r.wrongAdapterResult(got)
	}
	if r.Name != r.Model {
		if body, err = sjson.SetBytes(body, "model", r.Model); err != nil {
			return r.failureResult(ctx, err)
		}
	}
	return r.relay(resp, body)
}

func (r *runner) wrongAdapterResult(got string) forward.Result {
	r.Attempt.ConnectionLost()
	return forward.FailedResult(forward.CodeWrongAdapter, http.StatusBadGateway, schema.Outcome_OUTCOME_UNKNOWN, 0,
		"asked for "+r.Name+", the answer names "+got)
}

// errWrongAdapter marks an event that names another adapter.
var errWrongAdapter = errors.New("the answer names another adapter")

// errSinkClosed marks an error of the sink: the caller accepts no more data.
var errSinkClosed = errors.New("the caller accepts no more data")
