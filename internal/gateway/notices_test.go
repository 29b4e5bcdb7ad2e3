package gateway

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestNoticesInAllResponses checks that a target's notice is handled whatever the response is.
func TestNoticesInAllResponses(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	mismatched := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "another")
		w.WriteHeader(http.StatusOK)
	}
	truncated := func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	for _, row := range []struct {
		name    string
		handler http.HandlerFunc
	}{
		{"stream", respondContinuation}, {"success", status(200)}, {"client error", status(404)},
		{"server error", status(500)}, {"not run", respondBusy}, {"misrouted", respondMisrouted}, {"to another request", mismatched},
		{"truncated", truncated},
	} {
		for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
			t.Run(row.name+" "+path, func(t *testing.T) {
				b := newBackend(t, "a")
				b.handler = func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Leaving", "1")
					row.handler(w, r)
				}
				x := newFixture(t, b)
				x.admission.targets = append(x.admission.targets, b.target())
				var notices atomic.Int64
				x.gateway.cfg.OnNotice = func(target string, notice fleet.Notice, _ *Decision) {
					if notice.Leaving && target == "a" {
						notices.Add(1)
					}
				}
				_, _ = x.send(t, "POST", path, "", "Wait", "200ms")
				assert.Assert(t, notices.Load() > 0)
			})
		}
	}
}
