package target_test

import (
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// streamTransport answers requests with a stream whose body the test writes. The body breaks when the
// request is cancelled, as that of a connection does.
type streamTransport struct {
	body *io.PipeReader
}

func (s streamTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := r.Context()
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	go func() {
		<-ctx.Done()
		s.body.CloseWithError(ctx.Err())
	}()
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{"Content-Type": {"text/event-stream"}}, Body: s.body, ContentLength: -1, Request: r,
	}, nil
}

// endedStream is a stream of one event with its end marker.
const endedStream = "id: 1\ndata: {\"model\":\"a@1\"}\n\nid: 2\ndata: [DONE]\n\n"

// TestEngineUsesAdapterUntilStreamBodyEnds guards against the eviction of an adapter in use: an attempt
// was over with the end marker of its stream, while the engine still worked on the request until the
// body ended. The connection was closed then, which cancels the request at the engine.
func TestEngineUsesAdapterUntilStreamBodyEnds(t *testing.T) {
	for _, row := range []struct {
		name    string
		ends    bool
		outcome attempt.Outcome
	}{
		{"the body ends", true, attempt.Ran},
		{"the body does not end", false, attempt.Unknown},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body, engine := io.Pipe()
				e := target.NewEngine(&schema.Target{Address: "127.0.0.1:1"}, streamTransport{body}, "")
				var out *recordingSink
				var result forward.Result
				var sent *attempt.Attempt
				done := make(chan struct{})
				go func() {
					out, result, sent = run(t, e, "a@1", "a@1", true)
					close(done)
				}()
				_, err := io.WriteString(engine, endedStream)
				assert.NilError(t, err)
				synctest.Wait()
				select {
				case <-done:
					t.Error("over before the body ended")
				default:
				}
				if row.ends {
					assert.NilError(t, engine.Close())
				}
				<-done
				assert.Assert(t, result.Failure == nil, "%v", result.Failure)
				assert.Assert(t, strings.HasSuffix(out.body.String(), "data: [DONE]\n\n"))
				assert.Equal(t, sent.Outcome(), row.outcome)
			})
		})
	}
}
