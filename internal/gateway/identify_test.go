package gateway

import (
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// testTeams returns a team with the route's priority, a team with its own priority, and a key that
// both list and that identifies neither.
func testTeams(complete bool) *fleet.Teams {
	shared := fleet.DigestOf("shared")
	return fleet.NewTeams([]*fleet.Team{
		{Name: "crew", Priority: -1, Keys: []fleet.KeyDigest{fleet.DigestOf("crew-key"), shared}},
		{Name: "urgent", Priority: 0, Keys: []fleet.KeyDigest{fleet.DigestOf("urgent-key"), shared}},
	}, complete)
}

func digestOf(key string) *fleet.KeyDigest {
	d := fleet.DigestOf(key)
	return &d
}

func newKeyedFixture(t *testing.T, backends ...*backend) *fixture {
	x := newFixture(t, backends...)
	c := x.directory.dir.Config
	c.Teams = testTeams(true)
	public := c.Routes[0]
	public.Prefix, public.Public = "/public/", true
	c.Routes = append(c.Routes, public)
	x.gateway.cfg.MaxKeyAge = 4900 * time.Millisecond
	return x
}

// TestKeyCheckAfterSuspension guards against a key check by a copy whose age leaves out a
// suspension of the VM.
func TestKeyCheckAfterSuspension(t *testing.T) {
	x := newKeyedFixture(t, newBackend(t, "a"))
	x.gateway.cfg.CheckSuspension = func() { x.directory.confirmedAge = 10 * time.Second }
	resp, _ := x.send(t, "POST", "/once/x", "", "Key", "crew-key")
	assert.Equal(t, resp.StatusCode, 503)
}

// TestDeadlinePassedDuringSuspension checks that a request whose deadline passed while the VM was
// suspended reaches no target, although its context has not ended.
func TestDeadlinePassedDuringSuspension(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		b := newBackend(t, "a")
		x := newFixture(t, b)
		x.admission.targets = append(x.admission.targets, b.target())
		var suspended atomic.Int64
		x.gateway.cfg.Now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		x.gateway.cfg.Pool = hop.New(func() { suspended.Store(int64(time.Minute)) })
		resp, _ := x.send(t, "POST", path, "")
		assert.Equal(t, resp.StatusCode, 503)
		assert.Equal(t, b.requestCount(), 0)
	}
}

// TestKeyAuthentication checks which requests run, for which team, and how the others are rejected.
//
// It guards against requests that are forwarded unchecked. While the edge role ignored teams and
// their keys, each of 11,000 requests reached its target with the caller's key and without its team.
// Of the requests of one day, 18 to 68 ran with unknown keys and 327 to 5,614 with revoked keys.
func TestKeyAuthentication(t *testing.T) {
	for _, row := range []struct {
		name, path, key   string
		confirmedAge, age time.Duration
		incomplete        bool
		status            int
		team              string
	}{
		{name: "a key", path: "/once/x", key: "crew-key", status: 200, team: "crew"},
		{name: "a key of another team", path: "/once/x", key: "urgent-key", status: 200, team: "urgent"},
		{name: "no key", path: "/once/x", status: 401},
		{name: "an unknown key", path: "/once/x", key: "k", status: 401},
		{name: "an unknown key, old copy", path: "/once/x", key: "k", age: 2 * time.Second, status: 503},
		{name: "an unknown key, a team that could not be read", path: "/once/x", key: "k", incomplete: true, status: 503},
		{name: "a known key, a team that could not be read", path: "/once/x", key: "crew-key", incomplete: true, status: 200, team: "crew"},
		{name: "a key of two teams", path: "/once/x", key: "shared", status: 503},
		{name: "a key, copy at the maximum age", path: "/once/x", key: "crew-key", confirmedAge: 4900 * time.Millisecond, status: 200, team: "crew"},
		{name: "a key, copy not confirmed", path: "/once/x", key: "crew-key", confirmedAge: 5 * time.Second, status: 503},
		{name: "an unknown key, copy not confirmed", path: "/once/x", key: "k", confirmedAge: time.Hour, age: time.Hour, status: 503},
		{name: "no key, copy not confirmed", path: "/once/x", confirmedAge: 5 * time.Second, status: 503},
		{name: "a public route", path: "/public/x", status: 200},
		{name: "a public route, with a key", path: "/public/x", key: "crew-key", status: 200},
		{name: "a public route, copy not confirmed", path: "/public/x", confirmedAge: time.Hour, status: 200},
		{name: "no such route", path: "/none/x", key: "crew-key", status: 404},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBackend(t, "a")
			var got http.Header
			b.handler = func(w http.ResponseWriter, r *http.Request) {
				got = r.Header.Clone()
				_, _ = io.WriteString(w, "whole")
			}
			x := newKeyedFixture(t, b)
			x.directory.confirmedAge, x.directory.age = row.confirmedAge, row.age
			x.directory.dir.Config.Teams.Complete = !row.incomplete
			resp, _ := x.send(t, "POST", row.path, "", "Key", row.key, "Team", "forged")
			assert.Equal(t, resp.StatusCode, row.status)
			assert.Equal(t, b.requestCount() > 0, row.status == 200)
			if row.status == 200 {
				assert.Equal(t, got.Get("Team"), row.team)
				assert.Equal(t, got.Get("Key"), "")
			}
			assert.Equal(t, resp.Header.Get("Retry-After") != "", row.status == 503)
			assert.Equal(t, resp.Header.Get("Ask") != "", row.status == 401)
		})
	}
}

// TestTeamPriorityOverridesRoute checks that a team's own priority replaces the route's in the
// request for a target, and that the configured route stays unchanged.
func TestTeamPriorityOverridesRoute(t *testing.T) {
	x := newKeyedFixture(t)
	x.directory.dir.Config.Routes[3].Priority = 2
	_, _ = x.send(t, "POST", "/stream/x", "", "Key", "urgent-key")
	_, _ = x.send(t, "POST", "/stream/x", "", "Key", "crew-key")
	assert.Equal(t, x.admission.requests[0].Route.Priority, 0)
	assert.Equal(t, x.admission.requests[1].Route.Priority, 2)
	assert.Equal(t, x.directory.dir.Config.Routes[3].Priority, 2, "the configured route is unchanged")
}

// TestTeamIsSentOnEveryAttempt checks that attempts after the first also carry the team and not the
// key.
func TestTeamIsSentOnEveryAttempt(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	teams := make(chan string, 4)
	fail := func(w http.ResponseWriter, r *http.Request) {
		teams <- r.Header.Get("Team") + strings.Join(r.Header["Key"], "")
		w.WriteHeader(http.StatusInternalServerError)
	}
	a.handler, b.handler = fail, fail
	x := newKeyedFixture(t, a, b)
	resp, _ := x.send(t, "GET", "/again/x", "", "Key", "crew-key")
	assert.Equal(t, resp.StatusCode, 500)
	assert.Equal(t, len(teams), 2)
	assert.Equal(t, <-teams+<-teams, "crewcrew")
}

// TestKeysAreNotCheckedWithoutTeams checks that requests without a valid key are served from an
// unconfirmed copy if the configuration has no teams.
func TestKeysAreNotCheckedWithoutTeams(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	x.gateway.cfg.MaxKeyAge = 4900 * time.Millisecond
	x.directory.confirmedAge = time.Hour
	resp, _ := x.send(t, "POST", "/once/x", "", "Key", "anything")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Assert(t, x.gateway.KeysCurrent())
	x.directory.dir.Config.Teams = testTeams(true)
	assert.Assert(t, !x.gateway.KeysCurrent(), "it would refuse its callers' requests")
}
