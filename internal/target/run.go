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
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/schema"
)

// MaxAnswerBytes bounds an answer that is not streamed.
const MaxAnswerBytes = 32 << 20

// resumeTries is how often a broken stream is taken up again.
const resumeTries = 3

// Run is one attempt on an engine.
type Run struct {
	Forward *schema.Forward
	// Name of the adapter at the engine.
	Name string
	// Model is the name that the caller used and gets back.
	Model string
	// FencingToken is the owner's number.
	FencingToken uint64
	// Attempt is told how far the request got.
	Attempt *attempt.Attempt
}

// runner carries out one Run.
type runner struct {
	Run
	engine *Engine
	sink   forward.Sink
	// events counts the events passed on, for a resume.
	events int
	headed bool
	ended  bool
}

// Run sends the request and writes the answer to the sink. The answer is passed
// on only if it names the adapter that was asked for.
func (e *Engine) Run(ctx context.Context, r Run, sink forward.Sink) forward.Result {
	run := &runner{Run: r, engine: e, sink: sink}
	resp, err := run.send(ctx)
	if err != nil {
		return run.failed(ctx, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		return run.refused(resp)
	}
	run.Attempt.Started()
	if r.Forward.Stream {
		return run.stream(ctx, resp)
	}
	return run.whole(ctx, resp)
}

func (r *runner) send(ctx context.Context) (*http.Response, error) {
	body, err := sjson.SetBytes(r.Forward.Body, "model", r.Name)
	if err != nil {
		return nil, errors.Wrap(err, "set model")
	}
	req, err := http.NewRequestWithContext(traced(ctx, r.Attempt), r.Forward.Method, r.engine.base+r.Forward.Path, onceOnly(body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(RequestIDKey, r.Forward.RequestId)
	req.Header.Set(FencingTokenHeader, strconv.FormatUint(r.FencingToken, 10))
	return r.engine.runs.Do(req)
}

// onceOnly hides a body's type from net/http, which would otherwise keep a copy
// and send the request again by itself when a reused connection breaks: it
// takes a request that has an Idempotency-Key as one that may be repeated.
func onceOnly(body []byte) io.ReadCloser { return io.NopCloser(bytes.NewReader(body)) }

// traced reports the moment from which bytes may leave.
func traced(ctx context.Context, a *attempt.Attempt) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { a.MaybeSent() },
	})
}

// failed is the result of a request whose answer never began.
func (r *runner) failed(ctx context.Context, err error) forward.Result {
	r.Attempt.ConnectionLost()
	return FailureResult(ctx, r.Attempt, err)
}

// FailureResult is the result of an attempt that ended without a whole answer.
func FailureResult(ctx context.Context, a *attempt.Attempt, err error) forward.Result {
	outcome := OutcomeOf(a)
	if ctx.Err() != nil {
		return forward.Fail(forward.CodeTimeout, http.StatusGatewayTimeout, outcome, 0, err.Error())
	}
	if outcome == schema.Outcome_OUTCOME_NOT_RUN {
		return forward.Fail(forward.CodeTargetUnreachable, http.StatusServiceUnavailable, outcome, time.Second, err.Error())
	}
	return forward.Fail(forward.CodeAnswerTruncated, http.StatusBadGateway, outcome, 0, err.Error())
}

// OutcomeOf gives what is known of an attempt as a message.
func OutcomeOf(a *attempt.Attempt) schema.Outcome {
	switch a.Outcome() {
	case attempt.NotRun:
		return schema.Outcome_OUTCOME_NOT_RUN
	case attempt.Ran:
		return schema.Outcome_OUTCOME_RAN
	}
	return schema.Outcome_OUTCOME_UNKNOWN
}

// maxErrorBytes bounds the error bodies that are read.
const maxErrorBytes = 64 << 10

// refused reads an engine's error answer. Only an explicit word of the engine
// makes it a refusal; any other server error leaves the outcome unknown.
func (r *runner) refused(resp *http.Response) forward.Result {
	body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	refusal := &ErrorBody{}
	_ = json.Unmarshal(body, refusal)
	code := refusal.Error.Code
	if code == EngineNotLoaded || code == EngineStaleToken || resp.Header.Get(NotRunHeader) == "true" {
		r.Attempt.Refused()
		return forward.Fail(refusalCode(code), http.StatusServiceUnavailable,
			schema.Outcome_OUTCOME_NOT_RUN, time.Second, refusal.Error.Message)
	}
	if resp.StatusCode >= http.StatusInternalServerError {
		r.Attempt.ConnectionLost()
		return forward.Fail(forward.CodeAnswerTruncated, http.StatusBadGateway,
			schema.Outcome_OUTCOME_UNKNOWN, 0, "the engine answered with status "+strconv.Itoa(resp.StatusCode))
	}
	return r.passOn(resp, body)
}

func refusalCode(engineCode string) string {
	if engineCode == "" {
		return forward.CodeTargetRefused
	}
	return engineCode
}

// passOn gives the caller a whole answer.
func (r *runner) passOn(resp *http.Response, body []byte) forward.Result {
	r.Attempt.Started()
	r.Attempt.Finished()
	if err := r.sink.Head(resp.StatusCode, contentType(resp)); err != nil {
		return CallerDisconnected(err)
	}
	if err := r.sink.Data(body); err != nil {
		return CallerDisconnected(err)
	}
	return forward.Result{}
}

// CallerDisconnected is the result of an answer that nobody takes any more.
func CallerDisconnected(err error) forward.Result {
	return forward.Fail(forward.CodeCancelled, statusClientClosed, schema.Outcome_OUTCOME_UNKNOWN, 0, err.Error())
}

// statusClientClosed is the customary status for a caller that has gone.
const statusClientClosed = 499

func contentType(resp *http.Response) []*schema.Header {
	return []*schema.Header{{Name: "Content-Type", Value: resp.Header.Get("Content-Type")}}
}

// whole reads an answer to its end before any of it goes on.
func (r *runner) whole(ctx context.Context, resp *http.Response) forward.Result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err == nil && len(body) > MaxAnswerBytes {
		err = errors.Newf("answer of more than %d bytes", MaxAnswerBytes)
	}
	if err != nil {
		return r.failed(ctx, err)
	}
	if got := gjson.GetBytes(body, "model").String(); got != r.Name {
		return r.wrongAdapter(got)
	}
	if r.Name != r.Model {
		if body, err = sjson.SetBytes(body, "model", r.Model); err != nil {
			return r.failed(ctx, err)
		}
	}
	return r.passOn(resp, body)
}

func (r *runner) wrongAdapter(got string) forward.Result {
	r.Attempt.ConnectionLost()
	return forward.Fail(forward.CodeWrongAdapter, http.StatusBadGateway, schema.Outcome_OUTCOME_UNKNOWN, 0,
		"asked for "+r.Name+", the answer names "+got)
}

// errWrongAdapter marks an event that names another adapter.
var errWrongAdapter = errors.New("the answer names another adapter")

// errSink marks a sink that takes no more.
var errSink = errors.New("the caller takes no more")
