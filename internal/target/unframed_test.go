package target_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// newUnframedEngine returns an engine that answers without a length or chunks.
func newUnframedEngine(t *testing.T, status int, contentType, body string) *target.Engine {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		framing.OmitFraming(w.Header())
		w.WriteHeader(status)
		_ = http.NewResponseController(w).Flush()
		_, _ = io.WriteString(w, body)
	}))
	t.Cleanup(s.Close)
	return target.NewEngine(&schema.Target{Address: strings.TrimPrefix(s.URL, "http://")}, http.DefaultTransport, "")
}

// TestCutEngineAnswerIsRelayed: a cut JSON body with the adapter's name was taken for a complete one.
func TestCutEngineAnswerIsRelayed(t *testing.T) {
	const body = `{"model":"a@1","choices":[{"text":"x"}]}`
	for cut := range len(body) + 1 {
		_, r, a := run(t, newUnframedEngine(t, http.StatusOK, "application/json", body[:cut]), "a@1", "a@1", false)
		complete := cut == len(body)
		assert.Equal(t, r.Failure == nil, complete, body[:cut])
		assert.Equal(t, a.Outcome() == attempt.Ran, complete, body[:cut])
	}
}

// TestCutEngineErrorIsRelayed: an error answer that broke off was relayed as complete.
func TestCutEngineErrorIsRelayed(t *testing.T) {
	const body = `{"error":{"code":"too_long"}}`
	for cut := range len(body) + 1 {
		out, r, _ := run(t, newUnframedEngine(t, http.StatusBadRequest, "application/json", body[:cut]), "a@1", "a@1", false)
		assert.Assert(t, r.Failure == nil, "%v", r.Failure)
		assert.Equal(t, out.head.CloseDelimited, cut < len(body), body[:cut])
	}
}

// TestErrorAnswerIsCutAtALimit: an error answer that broke off before its length, or that is long.
func TestErrorAnswerIsCutAtALimit(t *testing.T) {
	const size = 100 << 10
	for _, sent := range []int{size, size - 1} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", strconv.Itoa(size))
			w.WriteHeader(http.StatusBadRequest)
			_, _ = io.WriteString(w, strings.Repeat("x", sent))
		}))
		e := target.NewEngine(&schema.Target{Address: strings.TrimPrefix(s.URL, "http://")}, http.DefaultTransport, "")
		out, r, _ := run(t, e, "a@1", "a@1", false)
		s.Close()
		if sent < size {
			assert.Equal(t, r.Failure.GetCode(), forward.CodeAnswerTruncated)
			continue
		}
		assert.Assert(t, r.Failure == nil, "%v", r.Failure)
		assert.Equal(t, out.body.Len(), size)
	}
}

// TestUnframedStreamEndsWithoutMarker: a stream that ends between two events lacks the end marker.
func TestUnframedStreamEndsWithoutMarker(t *testing.T) {
	const events = "id: 1\ndata: {\"model\":\"a@1\"}\n\nid: 2\ndata: [DONE]\n\n"
	for cut := range len(events) + 1 {
		_, r, _ := run(t, newUnframedEngine(t, http.StatusOK, "text/event-stream", events[:cut]), "a@1", "a@1", true)
		assert.Equal(t, r.Failure == nil, cut == len(events), events[:cut])
	}
}

// TestCutStateIsTakenForComplete: a cut report of an engine's state was taken for that of an empty engine.
func TestCutStateIsTakenForComplete(t *testing.T) {
	const body = `{"boot_id":"b","fence":7,"slots":2,"resident":["a@1"],"running":1}`
	for _, contentType := range []string{"application/json", "text/plain"} {
		for cut := range len(body) + 1 {
			_, err := newUnframedEngine(t, http.StatusOK, contentType, body[:cut]).State(t.Context())
			assert.Equal(t, err == nil, cut == len(body), "%s: %q: %v", contentType, body[:cut], err)
		}
	}
}
