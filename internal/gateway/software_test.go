package gateway

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// fixedOrigins finds the given origins, by attempt.
type fixedOrigins struct {
	found       map[string]origin.Origin
	onlyVersion string

	mu       sync.Mutex
	queries  []OriginQuery
	recorded []origin.Record
}

func (o *fixedOrigins) Record(r origin.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.recorded = append(o.recorded, r)
}

func (o *fixedOrigins) Find(_ context.Context, q OriginQuery) (origin.Origin, OriginSource) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queries = append(o.queries, q)
	if found, ok := o.found[q.Attempt]; ok {
		return found, OriginTold
	}
	return origin.Origin{}, OriginUnknown
}

func (o *fixedOrigins) OnlySeen(context.Context, string, time.Duration) string { return o.onlyVersion }

// TestTakenUpStreamIsPlacedAsNew guards against streams that callers take up at targets of another
// service or software version than the one that began them, or of one that is not known.
func TestTakenUpStreamIsPlacedAsNew(t *testing.T) {
	began := map[string]origin.Origin{"r0": {Service: "models", SoftwareVersion: "v1"}, "other": {Service: "plain", SoftwareVersion: "v1"}, "v2": {Service: "models", SoftwareVersion: "v2"}}
	plainToo := []fleet.WeightedService{{Service: "plain", Weight: 1}}
	for _, row := range []struct {
		name            string
		headers         []string
		onlyVersion     string
		status          int
		reason, boundTo string
		// split are the services of the route beside "models", service the one that gets the request.
		split   []fleet.WeightedService
		service string
	}{
		{"a new stream", nil, "", 200, "", "", nil, "models"},
		{"a known attempt", []string{"First", "r0", "After", "1"}, "", 200, "", "v1", nil, "models"},
		{"without an event id", []string{"First", "r0"}, "", 200, "", "v1", nil, "models"},
		{"a version that the chosen target does not run", []string{"First", "v2", "After", "1"}, "", 503, "none_left\n", "v2", nil, "models"},
		{"an unknown attempt", []string{"First", "r9", "After", "1"}, "v1", 503, "stream_origin_unknown\n", "", nil, ""},
		{"another service", []string{"First", "other", "After", "1"}, "", 503, "stream_service_changed\n", "", nil, ""},
		{"no attempt, one version", []string{"After", "1"}, "v1", 200, "", "v1", nil, "models"},
		{"no attempt, several versions", []string{"After", "1"}, "", 503, "stream_origin_unknown\n", "", nil, ""},
		{"one service of a split route", []string{"First", "r0", "After", "1"}, "", 200, "", "v1", plainToo, "models"},
		{"the other service of a split route", []string{"First", "other", "After", "1"}, "", 200, "", "v1", plainToo, "plain"},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newBackend(t, "a")
			a.handler = respondContinuation
			x := newResumableFixture(t, a)
			x.origins.found, x.origins.onlyVersion = began, row.onlyVersion
			for i := range x.directory.dir.Config.Routes {
				if r := &x.directory.dir.Config.Routes[i]; r.Kind == fleet.Streaming {
					r.Split = append(r.Split, row.split...)
				}
			}
			resp, body := x.send(t, "POST", "/stream/x", "prompt", row.headers...)
			assert.Equal(t, resp.StatusCode, row.status)
			if row.status != http.StatusOK {
				assert.Equal(t, body, row.reason)
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
				assert.Equal(t, a.requestCount(), 0)
			}
			if row.service != "" {
				assert.Equal(t, x.admission.requests[0].SoftwareVersion, row.boundTo)
				assert.Equal(t, x.admission.requests[0].Service, row.service)
			}
			assert.Equal(t, len(x.admission.requests) > 0, row.service != "")
			for _, q := range x.origins.queries {
				assert.Equal(t, q.Service == "", len(row.split) > 0, "several services prove nothing")
			}
		})
	}
}

// TestOriginIsRecordedUnderTheFirstAttempt checks which streams are recorded, and until when: the caller
// may take the stream up until its own deadline.
func TestOriginIsRecordedUnderTheFirstAttempt(t *testing.T) {
	for _, row := range []struct {
		name     string
		response http.HandlerFunc
		version  string
		headers  []string
		attempt  string
	}{
		{"a new stream", respondContinuation, "v1", nil, "r1"},
		{"a stream that goes on", respondContinuation, "v1", []string{"First", "r0", "After", "1"}, "r0"},
		{"a stream that names no attempt", respondContinuation, "v1", []string{"After", "1"}, ""},
		{"unknown software", respondContinuation, "", nil, ""},
		{"no complete event", respondEvents("id: 1\nda", abortConnection), "v1", nil, ""},
		{"an error response", respondError, "v1", nil, ""},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newBackend(t, "a")
			a.handler = row.response
			x := newResumableFixture(t, a)
			x.admission.targets[0].SoftwareVersion = row.version
			x.directory.dir.Targets["a"].SoftwareVersion = row.version
			x.origins.found, x.origins.onlyVersion = map[string]origin.Origin{"r0": {Service: "models", SoftwareVersion: "v1"}}, "v1"
			start := time.Now()
			x.send(t, "POST", "/stream/x", "prompt", append(row.headers, "Wait", "5s")...)
			if row.attempt == "" {
				assert.Equal(t, len(x.origins.recorded), 0)
				return
			}
			assert.Equal(t, len(x.origins.recorded), 1)
			r := x.origins.recorded[0]
			assert.Equal(t, r.Attempt, origin.AttemptOf(row.attempt))
			assert.Equal(t, r.Origin, origin.Origin{Service: "models", SoftwareVersion: "v1"})
			assert.Assert(t, !r.ExpiresAt.Before(start.Add(5*time.Second)))
		})
	}
}

// TestStreamContinuesAtRestartedTarget guards against streams of two software versions: a target that has
// restarted under its id may run other software, and the copy of the store still has its earlier announcement.
func TestStreamContinuesAtRestartedTarget(t *testing.T) {
	for name, row := range map[string]struct {
		reported int64
		want     string
	}{
		"the known incarnation": {1000, allEvents},
		"a later incarnation":   {1001, "id: 1\ndata: a\n\n"},
		"not reported":          {0, allEvents},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = respondEvents("id: 1\ndata: a\n\n", abortConnection)
			b.handler = respondContinuation
			x := newResumableFixture(t, a, b)
			for _, target := range x.directory.dir.Targets {
				target.Started = 1000
			}
			x.startTime = row.reported
			_, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, body, row.want)
			assert.Equal(t, b.requestCount() == 0, row.want != allEvents)
		})
	}
}
