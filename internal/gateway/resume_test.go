package gateway

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// allEvents is the complete stream of these tests.
const allEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// respondEvents sends text as an event stream and then calls finish.
func respondEvents(text string, finish http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weights", "1")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		if finish != nil {
			finish(w, r)
		}
	}
}

// respondContinuation sends the events after the one that the request names.
func respondContinuation(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("After")) // 0 if there is none
	var remaining strings.Builder
	for i, event := range strings.SplitAfter(allEvents, "\n\n") {
		if i >= after {
			remaining.WriteString(event)
		}
	}
	respondEvents(remaining.String(), nil)(w, r)
}

func newResumableFixture(t *testing.T, backends ...*backend) *fixture {
	x := newFixture(t, backends...)
	c := testConfig()
	for i := range c.Routes {
		if c.Routes[i].Kind == fleet.Streaming {
			c.Routes[i].Resumable, c.Routes[i].MaxAttempts = true, 2
		}
	}
	x.directory.dir.Config = c
	for _, b := range backends {
		x.admission.targets = append(x.admission.targets, b.target())
	}
	return x
}

// TestStreamResumesAtAnotherTarget breaks a stream off after each byte and checks that the caller
// receives every event once.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	for n := range len(allEvents) + 1 {
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = respondEvents(allEvents[:n], abortConnection)
			b.handler = respondContinuation
			x := newResumableFixture(t, a, b)
			resp, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, allEvents)
			assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected, scheduler.EndedOK})
		})
	}
}

// TestStreamIsCutWhenItCannotResume checks that the connection of a stream that broke off is closed
// if no target can continue it, so that the response does not look complete.
func TestStreamIsCutWhenItCannotResume(t *testing.T) {
	const prefix = "id: 1\ndata: a\n\nid: 2\nda"
	otherWeights := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weights", "2")
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	for _, row := range []struct {
		name   string
		second http.HandlerFunc
		change func(x *fixture)
		runs   int // requests that reach the second target
	}{
		{"a route that may not be resumed", respondContinuation, func(x *fixture) {
			for i := range x.directory.dir.Config.Routes {
				x.directory.dir.Config.Routes[i].Resumable = false
			}
		}, 0},
		{"the route allows no further attempt", respondContinuation, func(x *fixture) {
			for i := range x.directory.dir.Config.Routes {
				x.directory.dir.Config.Routes[i].MaxAttempts = 1
			}
		}, 0},
		{"no target is left", respondContinuation, func(x *fixture) { x.admission.targets = x.admission.targets[:1] }, 0},
		{"other weights", otherWeights, func(*fixture) {}, 1},
		{"other software", respondContinuation, func(x *fixture) { x.admission.targets[1].SoftwareVersion = "v2" }, 0},
		{"unknown software", respondContinuation, func(x *fixture) { x.admission.targets[0].SoftwareVersion = "" }, 0},
		{"other software in this VM's copy", respondContinuation, func(x *fixture) { x.directory.dir.Targets["b"].SoftwareVersion = "v2" }, 0},
		{"software on which the copies disagree", respondContinuation, func(x *fixture) { x.directory.dir.Targets["a"].SoftwareVersion = "v2" }, 0},
		{"the second target fails", respondError, func(*fixture) {}, 1},
		{"the second stream is cut too", respondEvents("id: 2\nda", abortConnection), func(*fixture) {}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = respondEvents(prefix, abortConnection)
			b.handler = row.second
			x := newResumableFixture(t, a, b)
			row.change(x)
			resp, _ := x.send(t, "POST", "/stream/x", "prompt")
			assert.Assert(t, resp == nil, "the connection breaks")
			assert.Equal(t, b.requestCount(), row.runs)
		})
	}
}

// TestIdleTimeoutCountsFromLastEvent checks that a stream that broke off after more than the
// caller's idle timeout can still be resumed.
func TestIdleTimeoutCountsFromLastEvent(t *testing.T) {
	const idleTimeout = time.Millisecond
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = respondEvents("id: 1\ndata: a\n\n", abortConnection)
	b.handler = respondContinuation
	x := newResumableFixture(t, a, b)
	for i := range x.directory.dir.Config.Routes {
		x.directory.dir.Config.Routes[i].IdleTimeout = idleTimeout
	}
	start := time.Now()
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, resp.StatusCode, 200)
	first, second := x.admission.requests[0].FirstEventDeadline, x.admission.requests[1].FirstEventDeadline
	assert.Assert(t, !first.Before(start.Add(idleTimeout)) && first.Before(second))
}

// TestFailureBeforeFirstEventIsNotARefusal checks that a request that may have run is not reported
// as not run.
func TestFailureBeforeFirstEventIsNotARefusal(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = abortConnection
	x := newResumableFixture(t, a) // no other target is left
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
}

func TestOverlongEventEndsStream(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = respondEvents("data: "+strings.Repeat("x", maxEventBytes), abortConnection)
	b.handler = respondContinuation
	x := newResumableFixture(t, a, b)
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Assert(t, resp == nil)
	assert.Equal(t, b.requestCount(), 0)
}
