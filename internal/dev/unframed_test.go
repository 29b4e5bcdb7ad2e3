package dev

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/framing"
)

const wholeEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

// serviceAnswer is how a service answers a call.
type serviceAnswer struct {
	contentType, body string
	// framed sends the body in chunks; otherwise it ends with its connection.
	framed bool
	// reset resets the connection after the body.
	reset bool
}

func (a serviceAnswer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", a.contentType)
	if !a.framed {
		framing.OmitFraming(w.Header())
	}
	_, _ = io.WriteString(w, a.body)
	_ = http.NewResponseController(w).Flush()
	if a.reset {
		framing.Reset(w)
	}
}

// TestBrokenOffServiceAnswerLooksComplete: a body without a length or chunks ended with its connection.
func TestBrokenOffServiceAnswerLooksComplete(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	for _, row := range []struct {
		name   string
		answer serviceAnswer
		// broken: the caller's read fails. framed: the caller's response has chunks or a length.
		broken, framed bool
	}{ // Broken ones alternate with others, because failures in a row eject the target.
		{"text with chunks, reset", serviceAnswer{"text/plain", "abc", true, true}, true, true},
		{"text with chunks", serviceAnswer{"text/plain", "abc", true, false}, false, true},
		{"text, reset", serviceAnswer{"text/plain", "abc", false, true}, true, false},
		{"text", serviceAnswer{"text/plain", "abc", false, false}, false, false},
		{"whole events, reset", serviceAnswer{"text/event-stream", wholeEvents, false, true}, true, false},
		{"no body", serviceAnswer{"text/plain", "", false, false}, false, false},
		{"cut inside an event", serviceAnswer{"text/event-stream; charset=utf-8", wholeEvents[:20], false, false}, true, false},
		{"whole events", serviceAnswer{"text/event-stream", wholeEvents, false, false}, false, false},
		{"cut after a line", serviceAnswer{"text/event-stream", wholeEvents[:21], false, false}, true, false},
		{"cut between events", serviceAnswer{"text/event-stream", wholeEvents[:15], false, false}, false, false},
		{"cut before the empty line", serviceAnswer{"text/event-stream", wholeEvents[:29], false, false}, true, false},
		{"events with chunks", serviceAnswer{"text/event-stream", wholeEvents, true, false}, false, true},
		{"events with chunks, cut inside an event", serviceAnswer{"text/event-stream", wholeEvents[:20], true, false}, true, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			c.Services["glostrup-app-1"].SetAnswer(row.answer.ServeHTTP)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, c.VMs[0].FrontendURL()+"/services/tickets/x", strings.NewReader("b"))
			assert.NilError(t, err)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			body, err := io.ReadAll(resp.Body)
			assert.Equal(t, err != nil, row.broken, "%v", err)
			assert.Equal(t, !framing.IsCloseDelimited(resp), row.framed)
			if !row.broken {
				assert.Equal(t, string(body), row.answer.body)
			}
		})
	}
}

// TestKilledVMsAnswerLooksComplete: the kernel closed the connection of a body that ends with it.
func TestKilledVMsAnswerLooksComplete(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	vm := c.VMs[0]
	c.Services["glostrup-app-1"].SetAnswer(func(w http.ResponseWriter, r *http.Request) {
		serviceAnswer{contentType: "text/plain", body: "abc"}.ServeHTTP(w, r)
		<-r.Context().Done()
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, vm.FrontendURL()+"/services/tickets/x", strings.NewReader("b"))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	_, err = io.ReadFull(resp.Body, make([]byte, 3))
	assert.NilError(t, err)
	vm.Kill()
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "the response ended as a complete one does")
}

// TestUnverifiedAnswerIsReplayed: a keyed call was answered with a stored body that may be cut.
func TestUnverifiedAnswerIsReplayed(t *testing.T) {
	for _, framed := range []bool{true, false} {
		t.Run(fmt.Sprintf("framed %v", framed), func(t *testing.T) {
			c, _ := startTestCluster(t, Options{})
			service := c.Services["glostrup-app-1"]
			service.SetAnswer(serviceAnswer{contentType: "text/plain", body: "abc", framed: framed}.ServeHTTP)
			header := http.Header{"Idempotency-Key": {"unframed"}}
			for i := range 2 {
				r, err := Post(t.Context(), c.VMs[i].FrontendURL()+"/services/tickets/x", []byte("once"), header)
				assert.NilError(t, err)
				if framed || i == 0 {
					assert.Equal(t, string(r.body), "abc")
					continue
				}
				assert.Equal(t, gjson.GetBytes(r.body, "error.code").String(), "outcome_unknown", "%s", r.body)
			}
			assert.Equal(t, service.Runs("once"), 1)
		})
	}
}
