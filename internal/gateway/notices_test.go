package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestNoticesInAllAnswers: what a target says of itself counts whatever it answers.
func TestNoticesInAllAnswers(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	foreign := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.WriteHeader(http.StatusOK)
	}
	breaksOff := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, row := range []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"a stream", continues}, {"an answer", status(200)}, {"a failure of the caller", status(404)},
		{"a failure", status(500)}, {"not run", full}, {"misplaced", elsewhere}, {"to another request", foreign},
		{"one that breaks off", breaksOff},
	} {
		for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
			t.Run(row.name+" "+path, func(t *testing.T) {
				b := newBackend(t, "a")
				b.handler = func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Leaving", "1")
					row.answer(w, r)
				}
				x := newFixture(t, b)
				x.admission.targets = append(x.admission.targets, b.target())
				var heard atomic.Int64
				x.gateway.cfg.OnNotice = func(target string, said fleet.Notice, _ *Decision) {
					if said.Leaving && target == "a" {
						heard.Add(1)
					}
				}
				_, _ = x.send(t, "POST", path, "", "Wait", "200ms")
				assert.Assert(t, heard.Load() > 0)
			})
		}
	}
}
