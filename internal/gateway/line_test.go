package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// plainVerdicts grants the backends one after the other, then refuses.
func plainVerdicts(backends ...*backend) func(r *AdmitRequest) Decision {
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

func notRunHere(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// TestPlainRequestsGoWhereTheLineSays: each attempt has a verdict, and the VM that gave it is
// told how it ended.
func TestPlainRequestsGoWhereTheLineSays(t *testing.T) {
	for _, row := range []struct {
		name, method, path string
		first              http.HandlerFunc
		targets            int
		status             int
		endings            []balance.Ending
	}{
		{"served", "POST", "/once/x", nil, 2, 200, []balance.Ending{balance.OK}},
		{"turned away, then served", "POST", "/once/x", notRunHere, 2, 200, []balance.Ending{balance.Busy, balance.OK}},
		{"turned away, then refused", "POST", "/once/x", notRunHere, 1, 503, []balance.Ending{balance.Busy}},
		{"refused at once", "POST", "/once/x", nil, 0, 503, nil},
		{"failed, and may run again", "GET", "/again/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 2, 200, []balance.Ending{balance.Failed, balance.OK}},
		{"failed, and nobody else takes it", "GET", "/again/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }, 1, 500, []balance.Ending{balance.Failed}},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			if row.first != nil {
				a.handler = row.first
			}
			x := newFixture(t, a, b)
			x.admission.plain = plainVerdicts([]*backend{a, b}[:row.targets]...)
			answer, body := x.send(t, row.method, row.path, "")
			assert.Equal(t, answer.StatusCode, row.status)
			if row.status == 200 && row.targets > len(row.endings) {
				assert.Equal(t, body, "from a")
			}
			if row.status == 503 {
				assert.Assert(t, answer.Header.Get("Retry-After") != "")
			}
			assert.DeepEqual(t, x.admission.plainEndings, row.endings)
			asked := x.admission.asked
			assert.Assert(t, asked[0].Plain && asked[0].Service == "plain")
			if len(row.endings) > 1 {
				assert.DeepEqual(t, asked[1].Exclude, []string{"a"})
			}
		})
	}
}

// TestSilentLineDoesNotStopPlainRequests: this VM chooses by itself, and tells nobody.
func TestSilentLineDoesNotStopPlainRequests(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	x.admission.plain = func(r *AdmitRequest) Decision { return Decision{Service: r.Service, LocalChoice: true} }
	answer, _ := x.send(t, "POST", "/once/x", "")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, len(x.admission.plainEndings), 0)
	x = newFixture(t)
	answer, _ = x.send(t, "POST", "/once/x", "")
	assert.Equal(t, answer.StatusCode, 503, "no target at all")
}

// TestOverQuota: 429 with the time to come back, on models and plain services, and nothing
// reaches a target.
func TestOverQuota(t *testing.T) {
	b := newBackend(t, "a")
	b.handler = func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") }
	x := newKeyedFixture(t, b)
	team, _ := x.directory.dir.Config.Teams.Lookup(*digestOf("crew-key"))
	team.Quota.PerSecond, team.Quota.ChargeTokens, team.Quota.DefaultCost = 100, true, 200
	over := func(r *AdmitRequest) Decision {
		return Decision{Service: r.Service, Reason: "quota", RetryAfter: 700 * time.Millisecond, OverQuota: true}
	}
	x.admission.plain = over
	answer, _ := x.send(t, "POST", "/once/x", "", "Key", "crew-key")
	assert.Equal(t, answer.StatusCode, http.StatusTooManyRequests)
	assert.Equal(t, answer.Header.Get("Retry-After"), "700ms")
	assert.Equal(t, x.admission.asked[0].Team, "crew")
	assert.Equal(t, x.admission.asked[0].Cost, 200.0)
	assert.Equal(t, b.runs(), 0)
	_, _ = x.send(t, "POST", "/once/x", "", "Key", "urgent-key")
	assert.Equal(t, x.admission.asked[1].Cost, 0.0, "a team without a limit")
}

// TestRequestIsChargedOnce: an attempt after one that may have run costs nothing more.
func TestRequestIsChargedOnce(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }
	x := newKeyedFixture(t, a, b)
	team, _ := x.directory.dir.Config.Teams.Lookup(*digestOf("crew-key"))
	team.Quota.PerSecond = 100
	x.admission.plain = plainVerdicts(a, b)
	_, _ = x.send(t, "GET", "/again/x", "", "Key", "crew-key")
	assert.Equal(t, x.admission.asked[0].Cost, 1.0)
	assert.Equal(t, x.admission.asked[1].Cost, 0.0)
}
