package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// plainDecisions grants the backends in order, then refuses.
func plainDecisions(backends ...*backend) func(r *AdmitRequest) Decision {
	next := 0
	return func(r *AdmitRequest) Decision {
		if next >= len(backends) {
			return Decision{Reason: "line_too_long", RetryAfter: 150 * time.Millisecond}
		}
		b := backends[next]
		next++
		return Decision{Service: r.Service, Ticket: uint64(next), DecidedBy: "acting", Target: b.id, Address: b.target().Address}
	}
}

func respondNotRun(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestPlainRequestsFollowDecisions checks that each attempt has a decision and that its ending is
// reported to the leader.
func TestPlainRequestsFollowDecisions(t *testing.T) {
	for _, row := range []struct {
		name, method, path string
		first              http.HandlerFunc
		targets            int
		status             int
		endings            []balance.Ending
	}{
		{"served", "POST", "/once/x", nil, 2, 200, []balance.Ending{balance.OK}},
		{"rejected, then served", "POST", "/once/x", respondNotRun, 2, 200, []balance.Ending{balance.Busy, balance.OK}},
		{"rejected, then refused", "POST", "/once/x", respondNotRun, 1, 503, []balance.Ending{balance.Busy}},
		{"refused at once", "POST", "/once/x", nil, 0, 503, nil},
		{"failed, then served by another target", "GET", "/again/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 2, 200, []balance.Ending{balance.ErrorResponse, balance.OK}},
		{"failed, no other target", "GET", "/again/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 1, 500, []balance.Ending{balance.ErrorResponse}},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			if row.first != nil {
				a.handler = row.first
			}
			x := newFixture(t, a, b)
			x.admission.decidePlain = plainDecisions([]*backend{a, b}[:row.targets]...)
			resp, body := x.send(t, row.method, row.path, "")
			assert.Equal(t, resp.StatusCode, row.status)
			if row.status == 200 && row.targets > len(row.endings) {
				assert.Equal(t, body, "from a")
			}
			if row.status == 503 {
				assert.Assert(t, resp.Header.Get("Retry-After") != "")
			}
			assert.DeepEqual(t, x.admission.plainEndings, row.endings)
			requests := x.admission.requests
			assert.Assert(t, requests[0].Plain && requests[0].Service == "plain")
			if len(row.endings) > 1 {
				assert.DeepEqual(t, requests[1].Exclude, []string{"a"})
			}
		})
	}
}

// TestPlainRequestsWithoutDecisionAreServed checks that this VM chooses a target itself if the
// leader is unresponsive, and that it reports the ending to no other VM.
func TestPlainRequestsWithoutDecisionAreServed(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	x.admission.decidePlain = func(r *AdmitRequest) Decision { return Decision{Service: r.Service, LocalChoice: true} }
	resp, _ := x.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, len(x.admission.plainEndings), 0)
	x = newFixture(t)
	resp, _ = x.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 503, "the service has no target")
}

// TestOverQuota checks that a request over its team's quota gets 429 with a retry delay and reaches
// no target.
func TestOverQuota(t *testing.T) {
	b := newBackend(t, "a")
	b.handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }
	x := newKeyedFixture(t, b)
	team, _ := x.directory.dir.Config.Teams.Lookup(*digestOf("crew-key"))
	team.Quota.PerSecond, team.Quota.ChargeTokens, team.Quota.DefaultCost = 100, true, 200
	overQuota := func(r *AdmitRequest) Decision {
		return Decision{Service: r.Service, Reason: "quota", RetryAfter: 700 * time.Millisecond, OverQuota: true}
	}
	x.admission.decidePlain = overQuota
	resp, _ := x.send(t, "POST", "/once/x", "", "Key", "crew-key")
	assert.Equal(t, resp.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, resp.Header.Get("Retry-After"), "700ms")
	assert.Equal(t, x.admission.requests[0].Team, "crew")
	assert.Equal(t, x.admission.requests[0].Cost, 200.0)
	assert.Equal(t, b.requestCount(), 0)
	_, _ = x.send(t, "POST", "/once/x", "", "Key", "urgent-key")
	assert.Equal(t, x.admission.requests[1].Cost, 0.0, "a team without a limit")
}

// TestRequestIsChargedOnce checks that an attempt after one that may have run costs nothing.
func TestRequestIsChargedOnce(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }
	x := newKeyedFixture(t, a, b)
	team, _ := x.directory.dir.Config.Teams.Lookup(*digestOf("crew-key"))
	team.Quota.PerSecond = 100
	x.admission.decidePlain = plainDecisions(a, b)
	_, _ = x.send(t, "GET", "/again/x", "", "Key", "crew-key")
	assert.Equal(t, x.admission.requests[0].Cost, 1.0)
	assert.Equal(t, x.admission.requests[1].Cost, 0.0)
}
