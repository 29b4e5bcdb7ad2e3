package owner

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/audit"
	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// openStreamEngine is an engine that accepts all orders. It answers each request with a stream of only
// an end marker, whose body breaks only when the request is cancelled.
type openStreamEngine struct{}

func (openStreamEngine) RoundTrip(r *http.Request) (*http.Response, error) {
	resp := &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: http.NoBody, Request: r}
	switch r.URL.Path {
	case target.StatePath:
		state, err := json.Marshal(target.State{BootID: "boot"})
		resp.Body = io.NopCloser(bytes.NewReader(state))
		return resp, err
	case target.RolePath, target.LoadPath, target.UnloadPath:
		return resp, nil
	}
	ctx := r.Context()
	httptrace.ContextClientTrace(ctx).GotConn(httptrace.GotConnInfo{})
	body, engine := io.Pipe()
	go func() {
		_, _ = io.WriteString(engine, "id: 1\ndata: [DONE]\n\n")
		<-ctx.Done()
		body.CloseWithError(ctx.Err())
	}()
	resp.Body = body
	return resp, nil
}

// grantAll grants every load permit.
type grantAll struct{}

func (grantAll) Acquire(context.Context, coord.TargetID, float64) (done func(), granted bool, retryAfter time.Duration) {
	return func() {}, true, 0
}

func (grantAll) RaisePriority(coord.TargetID, float64) {}

// noSink accepts an answer.
type noSink struct{}

func (noSink) Head(forward.Head) error { return nil }
func (noSink) Data([]byte) error       { return nil }

// newServingOwner returns an owner, the only VM, that serves all engines of the example bundle.
func newServingOwner() *Owner {
	source, err := bundle.Parse("example.ini", []byte(bundle.Example))
	if err != nil {
		panic(err)
	}
	const self = coord.VMID("entry-1")
	l := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	o := New(Config{
		Self: self, Incarnation: 1, TieBreaker: 1, Transport: openStreamEngine{}, Permits: grantAll{},
		Log: l, Audit: audit.New(string(self), l), Metrics: metrics.New(), Now: time.Now,
	})
	tracker := membership.New(membership.Config{Self: self, SuspectAfter: time.Second, Monitors: 1})
	tracker.ApplyList(time.Now(), 1, []membership.ListedVM{{ID: self, Zone: "koege-hal"}})
	o.Apply(View{Catalog: catalog.New(1, source.Bundle), Chooser: ownership.NewChooser(tracker.Members())})
	synctest.Wait()
	return o
}

// TestAdapterStaysInUseWhileStreamMayRun guards against the eviction of an adapter in use: it was
// released with the end marker of a stream, while the engine still worked on the request. It must stay
// in use until the body has ended or, if it does not end, until the engine has had the time to stop the
// request after its connection was closed.
func TestAdapterStaysInUseWhileStreamMayRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newServingOwner()
		const engine = coord.TargetID("koege-llm-1")
		inUse := func() int { return len(o.target(engine).dispatcher.Slots().InUse(time.Now())) }
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		r := o.Execute(ctx, &schema.Forward{
			RequestId: "stream", Target: string(engine), Adapter: "plough-notes", AdapterVersion: "v1",
			Method: http.MethodPost, Path: "/v1/chat/completions", Body: []byte(`{"stream":true}`), Stream: true,
		}, noSink{})
		assert.Assert(t, r.Failure == nil, "%v", r.Failure)
		assert.Equal(t, inUse(), 1)
		time.Sleep(coord.AbortedRequestTime - time.Millisecond)
		assert.Equal(t, inUse(), 1)
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, inUse(), 0)
	})
}
