package gateway

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// wantsRest turns requests away for a while.
func wantsRest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Rest", "1m")
	full(w, r)
}

// TestRestBeginsWhileARequestIsUnderWay: it is placed anew, and counts for no retry.
func TestRestBeginsWhileARequestIsUnderWay(t *testing.T) {
	placedAnew(t, func(x *fixture) {
		x.gateway.cfg.Pool = hop.New(func() { x.gateway.RecordBackoff("a", time.Minute) })
	})
}

// placedAnew sends requests of each kind, whose verdicts name a first: they run once at b, and not at a.
func placedAnew(t *testing.T, prepare func(x *fixture)) {
	for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			x := newFixture(t, a, b)
			x.admission.targets = append(x.admission.targets, a.target(), b.target())
			x.admission.plain = plainVerdicts(a, b)
			prepare(x)
			answer, _ := x.send(t, "POST", path, "")
			assert.Equal(t, answer.StatusCode, 200)
			assert.Equal(t, a.runs(), 0)
			assert.Equal(t, b.runs(), 1)
		})
	}
}

// TestAskedWhileATargetRests: whoever gives verdicts is told which targets rest, and this VM chooses
// none of them by itself.
func TestAskedWhileATargetRests(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = wantsRest
	x := newFixture(t, a, b)
	for range 12 {
		answer, _ := x.send(t, "POST", "/once/x", "")
		assert.Equal(t, answer.StatusCode, 200)
	}
	assert.Equal(t, a.runs(), 1)
	last := x.admission.asked[len(x.admission.asked)-1]
	assert.DeepEqual(t, last.BackedOff, []string{"a"})
}

// TestCallersComeBackWhileAllTargetsRest: the time of the first that wakes goes before a shorter one.
func TestCallersComeBackWhileAllTargetsRest(t *testing.T) {
	for _, row := range []struct {
		name string
		rest map[string]time.Duration
		want func(pause time.Duration) bool
	}{
		{"all rest", map[string]time.Duration{"a": 20 * time.Second, "b": 4 * time.Second}, func(p time.Duration) bool { return p > 3*time.Second && p <= 5*time.Second }},
		{"one is awake", map[string]time.Duration{"a": 20 * time.Second}, func(p time.Duration) bool { return p == 150*time.Millisecond }},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture(t, newBackend(t, "a"), newBackend(t, "b"))
			x.admission.plain = plainVerdicts()
			for target, rest := range row.rest {
				x.gateway.RecordBackoff(target, rest)
			}
			answer, _ := x.send(t, "POST", "/once/x", "")
			assert.Equal(t, answer.StatusCode, 503)
			pause, err := time.ParseDuration(answer.Header.Get("Retry-After"))
			assert.NilError(t, err)
			assert.Assert(t, row.want(pause), "%v", pause)
		})
	}
}
