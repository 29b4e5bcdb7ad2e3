package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// TestVerdictFromBeforeTheLimit: a request that was placed before its target named a limit is placed anew.
func TestVerdictFromBeforeTheLimit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	limited := ratelimit.Limit{PerSecond: 1, Stamp: 7, Since: now.Add(-time.Minute)}
	for _, row := range []struct {
		name    string
		known   ratelimit.Limit
		verdict Decision
		want    error
	}{
		{"no limit", ratelimit.Limit{}, Decision{DecidedAt: now.Add(-time.Hour)}, nil},
		{"placed by the limit", limited, Decision{DecidedAt: now, RateLimit: limited}, nil},
		{"placed by the limit, held up", limited, Decision{DecidedAt: now.Add(-2 * time.Second), RateLimit: limited}, errOldVerdict},
		{"placed by a limit not known here, held up", ratelimit.Limit{}, Decision{DecidedAt: now.Add(-2 * time.Second), RateLimit: limited}, errOldVerdict},
		{"placed before it", limited, Decision{DecidedAt: limited.Since.Add(-time.Second)}, errRateLimited},
		{"placed before word of it arrived", limited, Decision{DecidedAt: limited.Since.Add(limitPropagation / 2)}, errRateLimited},
		{"placed by a VM that knows that it ended", limited, Decision{DecidedAt: now}, nil},
	} {
		g := &Gateway{cfg: Config{Now: func() time.Time { return now }, RateLimits: knownLimits{"a": row.known}}}
		x := &exchange{g: g, verdict: row.verdict}
		assert.Equal(t, x.checkRate("a"), row.want, row.name)
	}
}

// TestLimitNamedWhileARequestIsUnderWay: nothing is sent there, and no retry is counted.
func TestLimitNamedWhileARequestIsUnderWay(t *testing.T) {
	placedAnew(t, func(x *fixture) {
		x.gateway.cfg.RateLimits = knownLimits{"a": {PerSecond: 1, Stamp: 1, Since: time.Now().Add(time.Hour)}}
	})
}

// TestVMAloneSendsToALimitedTarget: nobody counts what it sends.
func TestVMAloneSendsToALimitedTarget(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	x := newFixture(t, a, b)
	x.gateway.cfg.RateLimits = knownLimits{"a": {PerSecond: 1, Stamp: 1}}
	for range 10 {
		answer, _ := x.send(t, "POST", "/once/x", "")
		assert.Equal(t, answer.StatusCode, 200)
	}
	assert.Equal(t, a.runs(), 0)
	assert.DeepEqual(t, x.admission.asked[0].RateLimited, []string{"a"})
}

// TestAnswersOfUnknownRequestsHaveNoVerdict: they cannot end a limit.
func TestAnswersOfUnknownRequestsHaveNoVerdict(t *testing.T) {
	x := &exchange{}
	for class, want := range map[fleet.AnswerClass]bool{fleet.Answered: true, fleet.Busy: true, fleet.Mismatched: false, fleet.Misrouted: false} {
		assert.Equal(t, x.verdictOf(class) != nil, want)
	}
}
