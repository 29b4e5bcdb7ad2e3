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

// events of the streams in these tests.
const allEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"

// sends answers with the begin of a stream, then ends it or breaks it off.
func sends(text string, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weights", "1")
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		if then != nil {
			then(w, r)
		}
	}
}

// continues sends the events after the one that the request names.
func continues(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.Header.Get("After")) // none: 0
	var rest strings.Builder
	for i, event := range strings.SplitAfter(allEvents, "\n\n") {
		if i >= after {
			rest.WriteString(event)
		}
	}
	sends(rest.String(), nil)(w, r)
}

func resumableFixture(t *testing.T, backends ...*backend) *fixture {
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

// TestStreamGoesOnElsewhere breaks a stream off after each byte: the caller gets every
// event once.
func TestStreamGoesOnElsewhere(t *testing.T) {
	for n := range len(allEvents) + 1 {
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = sends(allEvents[:n], drops)
			b.handler = continues
			x := resumableFixture(t, a, b)
			answer, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, answer.StatusCode, 200)
			assert.Equal(t, body, allEvents)
			assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected, scheduler.EndedOK})
		})
	}
}

// TestStreamIsCutWhereNobodyCanGoOn: the answer does not look whole.
func TestStreamIsCutWhereNobodyCanGoOn(t *testing.T) {
	const begin = "id: 1\ndata: a\n\nid: 2\nda"
	otherWeights := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weights", "2")
		_, _ = io.WriteString(w, "id: 2\ndata: b\n\n")
	}
	for _, row := range []struct {
		name   string
		second http.HandlerFunc
		change func(x *fixture)
		runs   int // at the second target
	}{
		{"a route that may not be resumed", continues, func(x *fixture) {
			for i := range x.directory.dir.Config.Routes {
				x.directory.dir.Config.Routes[i].Resumable = false
			}
		}, 0},
		{"no further attempt is allowed", continues, func(x *fixture) {
			for i := range x.directory.dir.Config.Routes {
				x.directory.dir.Config.Routes[i].MaxAttempts = 1
			}
		}, 0},
		{"no target is left", continues, func(x *fixture) { x.admission.targets = x.admission.targets[:1] }, 0},
		{"other weights", otherWeights, func(*fixture) {}, 1},
		{"the second one fails", fails, func(*fixture) {}, 1},
		{"the second one is cut as well", sends("id: 2\nda", drops), func(*fixture) {}, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = sends(begin, drops)
			b.handler = row.second
			x := resumableFixture(t, a, b)
			row.change(x)
			answer, _ := x.send(t, "POST", "/stream/x", "prompt")
			assert.Assert(t, answer == nil, "the connection breaks")
			assert.Equal(t, b.runs(), row.runs)
		})
	}
}

// TestPatienceCountsFromTheLastEvent: a stream that was cut after more than the caller's
// patience may still go on.
func TestPatienceCountsFromTheLastEvent(t *testing.T) {
	const patience = time.Millisecond
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = sends("id: 1\ndata: a\n\n", drops)
	b.handler = continues
	x := resumableFixture(t, a, b)
	for i := range x.directory.dir.Config.Routes {
		x.directory.dir.Config.Routes[i].IdleTimeout = patience
	}
	began := time.Now()
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, answer.StatusCode, 200)
	first, second := x.admission.asked[0].FirstEventDeadline, x.admission.asked[1].FirstEventDeadline
	assert.Assert(t, !first.Before(began.Add(patience)) && first.Before(second))
}

// TestFailureBeforeTheFirstEventIsNoRefusal: the request may have run.
func TestFailureBeforeTheFirstEventIsNoRefusal(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = drops
	x := resumableFixture(t, a) // no other target is left
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, answer.StatusCode, http.StatusBadGateway)
}

func TestLongEventIsNotHeldBackForever(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = sends("data: "+strings.Repeat("x", maxEvent), drops)
	b.handler = continues
	x := resumableFixture(t, a, b)
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Assert(t, answer == nil)
	assert.Equal(t, b.runs(), 0)
}
