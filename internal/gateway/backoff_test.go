package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// respondBackoff rejects a request and requests backoff.
func respondBackoff(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Rest", "1m")
	respondBusy(w, r)
}

// TestBackoffBeginsDuringPlacement checks that a request is placed again, without counting as a
// retry, if its target requests backoff before it is sent.
func TestBackoffBeginsDuringPlacement(t *testing.T) {
	testServedBySecondTarget(t, func(x *fixture) {
		x.gateway.cfg.Pool = hop.New(func() { x.gateway.RecordBackoff("a", time.Minute) })
	})
}

// testServedBySecondTarget sends requests of each kind for which target a is granted first, and
// checks that each runs once at b and not at a.
func testServedBySecondTarget(t *testing.T, prepare func(x *fixture)) {
	for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			x := newFixture(t, a, b)
			x.admission.targets = append(x.admission.targets, a.target(), b.target())
			x.admission.decidePlain = plainDecisions(a, b)
			prepare(x)
			resp, _ := x.send(t, "POST", path, "")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, a.requestCount(), 0)
			assert.Equal(t, b.requestCount(), 1)
		})
	}
}

// TestBackedOffTargetsAreExcluded checks that requests for a decision list the targets in backoff,
// and that a local choice avoids them.
func TestBackedOffTargetsAreExcluded(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = respondBackoff
	x := newFixture(t, a, b)
	for range 12 {
		resp, _ := x.send(t, "POST", "/once/x", "")
		assert.Equal(t, resp.StatusCode, 200)
	}
	assert.Equal(t, a.requestCount(), 1)
	last := x.admission.requests[len(x.admission.requests)-1]
	assert.DeepEqual(t, last.BackedOff, []string{"a"})
}

// TestRetryAfterWhileAllTargetsBackOff checks that Retry-After is at least the time until the first
// backoff ends.
func TestRetryAfterWhileAllTargetsBackOff(t *testing.T) {
	for _, row := range []struct {
		name    string
		backoff map[string]time.Duration
		want    func(delay time.Duration) bool
	}{
		{"all in backoff", map[string]time.Duration{"a": 20 * time.Second, "b": 4 * time.Second}, func(d time.Duration) bool { return d > 3*time.Second && d <= 5*time.Second }},
		{"one not in backoff", map[string]time.Duration{"a": 20 * time.Second}, func(d time.Duration) bool { return d == 150*time.Millisecond }},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture(t, newBackend(t, "a"), newBackend(t, "b"))
			x.admission.decidePlain = plainDecisions()
			for target, backoff := range row.backoff {
				x.gateway.RecordBackoff(target, backoff)
			}
			resp, _ := x.send(t, "POST", "/once/x", "")
			assert.Equal(t, resp.StatusCode, 503)
			delay, err := time.ParseDuration(resp.Header.Get("Retry-After"))
			assert.NilError(t, err)
			assert.Assert(t, row.want(delay), "%v", delay)
		})
	}
}
