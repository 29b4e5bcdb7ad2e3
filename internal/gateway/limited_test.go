package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/answer"
)

// TestDecisionFromBeforeRateLimit checks that a request is placed again if its target was chosen
// before it announced a rate limit.
func TestDecisionFromBeforeRateLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limited := ratelimit.Limit{PerSecond: 1, Stamp: 7, Since: now.Add(-time.Minute)}
	for _, row := range []struct {
		name     string
		known    ratelimit.Limit
		decision Decision
		want     error
	}{
		{"no limit", ratelimit.Limit{}, Decision{DecidedAt: now.Add(-time.Hour)}, nil},
		{"placed under the limit", limited, Decision{DecidedAt: now, RateLimit: limited}, nil},
		{"placed under the limit, delayed", limited, Decision{DecidedAt: now.Add(-2 * time.Second), RateLimit: limited}, errStaleDecision},
		{"placed under a limit not known here, delayed", ratelimit.Limit{}, Decision{DecidedAt: now.Add(-2 * time.Second), RateLimit: limited}, errStaleDecision},
		{"placed before the limit", limited, Decision{DecidedAt: limited.Since.Add(-time.Second)}, errRateLimited},
		{"placed before the announcement arrived", limited, Decision{DecidedAt: limited.Since.Add(limitPropagation / 2)}, errRateLimited},
		{"placed by a VM that knows that the limit ended", limited, Decision{DecidedAt: now}, nil},
	} {
		g := &Gateway{cfg: Config{Now: func() time.Time { return now }, RateLimits: fixedRateLimits{"a": row.known}}}
		x := &exchange{g: g, decision: row.decision}
		assert.Equal(t, x.checkRateLimit("a"), row.want, row.name)
	}
}

// TestRateLimitAnnouncedDuringPlacement checks that nothing is sent to a target that announces a
// rate limit before the request is sent, and that the next attempt counts as no retry.
func TestRateLimitAnnouncedDuringPlacement(t *testing.T) {
	testServedBySecondTarget(t, func(x *fixture) {
		x.gateway.cfg.RateLimits = fixedRateLimits{"a": {PerSecond: 1, Stamp: 1, Since: time.Now().Add(time.Hour)}}
	})
}

// TestLocalChoiceAvoidsRateLimitedTarget checks that a VM without a leader's decision sends nothing
// to a rate-limited target, because nobody counts what it sends.
func TestLocalChoiceAvoidsRateLimitedTarget(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	x := newFixture(t, a, b)
	x.gateway.cfg.RateLimits = fixedRateLimits{"a": {PerSecond: 1, Stamp: 1}}
	for range 10 {
		resp, _ := x.send(t, "POST", "/once/x", "")
		assert.Equal(t, resp.StatusCode, 200)
	}
	assert.Equal(t, a.requestCount(), 0)
	assert.DeepEqual(t, x.admission.requests[0].RateLimited, []string{"a"})
}

// TestMismatchedResponsesHaveNoDecision checks that responses to other requests or of other
// processes have no decision; otherwise they could end a rate limit.
func TestMismatchedResponsesHaveNoDecision(t *testing.T) {
	x := &exchange{}
	for class, want := range map[answer.Class]bool{answer.Answered: true, answer.Busy: true, answer.Mismatched: false, answer.Misrouted: false} {
		assert.Equal(t, x.decisionFor(class) != nil, want)
	}
}
