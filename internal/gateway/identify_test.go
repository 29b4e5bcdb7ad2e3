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

// crewTeams has a team with two keys, one with a priority of its own, and a key of nobody.
func crewTeams(complete bool) *fleet.Teams {
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
	c.Teams = crewTeams(true)
	public := c.Routes[0]
	public.Prefix, public.Public = "/public/", true
	c.Routes = append(c.Routes, public)
	x.gateway.cfg.MaxKeyAge = 4900 * time.Millisecond
	return x
}

// TestKeyIsJudgedAfterASuspension by a copy that is older than the steady clock says.
func TestKeyIsJudgedAfterASuspension(t *testing.T) {
	x := newKeyedFixture(t, newBackend(t, "a"))
	x.gateway.cfg.CheckSuspension = func() { x.directory.proven = 10 * time.Second }
	answer, _ := x.send(t, "POST", "/once/x", "", "Key", "crew-key")
	assert.Equal(t, answer.StatusCode, 503)
}

// TestRequestWhoseTimePassedInASuspension reaches no target, though its context has not ended.
func TestRequestWhoseTimePassedInASuspension(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x"} {
		b := newBackend(t, "a")
		x := newFixture(t, b)
		x.admission.targets = append(x.admission.targets, b.target())
		var suspended atomic.Int64
		x.gateway.cfg.Now = func() time.Time { return time.Now().Add(time.Duration(suspended.Load())) }
		x.gateway.cfg.Pool = hop.New(func() { suspended.Store(int64(time.Minute)) })
		answer, _ := x.send(t, "POST", path, "")
		assert.Equal(t, answer.StatusCode, 503)
		assert.Equal(t, b.runs(), 0)
	}
}

// TestWhoMayAsk: which requests run, as whose, and what the others are told.
//
// The story: the deployment gave its teams keys and the edge role knew none. Of a quiet day's
// 11,000 requests each went to its target with the caller's key and without its team; unknown
// keys ran 18 to 68 times a day, keys that had been taken away 327 to 5,614 times.
func TestWhoMayAsk(t *testing.T) {
	for _, row := range []struct {
		name, path, key string
		proven, age     time.Duration
		incomplete      bool
		status          int
		team            string
	}{
		{name: "a key", path: "/once/x", key: "crew-key", status: 200, team: "crew"},
		{name: "a key of another team", path: "/once/x", key: "urgent-key", status: 200, team: "urgent"},
		{name: "no key", path: "/once/x", status: 401},
		{name: "an unknown key", path: "/once/x", key: "k", status: 401},
		{name: "an unknown key, old copy", path: "/once/x", key: "k", age: 2 * time.Second, status: 503},
		{name: "an unknown key, a team that could not be read", path: "/once/x", key: "k", incomplete: true, status: 503},
		{name: "a known key, a team that could not be read", path: "/once/x", key: "crew-key", incomplete: true, status: 200, team: "crew"},
		{name: "a key of two teams", path: "/once/x", key: "shared", status: 503},
		{name: "a key, copy as old as may be", path: "/once/x", key: "crew-key", proven: 4900 * time.Millisecond, status: 200, team: "crew"},
		{name: "a key, copy without a proof", path: "/once/x", key: "crew-key", proven: 5 * time.Second, status: 503},
		{name: "an unknown key, copy without a proof", path: "/once/x", key: "k", proven: time.Hour, age: time.Hour, status: 503},
		{name: "no key, copy without a proof", path: "/once/x", proven: 5 * time.Second, status: 503},
		{name: "a public route", path: "/public/x", status: 200},
		{name: "a public route, with a key", path: "/public/x", key: "crew-key", status: 200},
		{name: "a public route, copy without a proof", path: "/public/x", proven: time.Hour, status: 200},
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
			x.directory.proven, x.directory.age = row.proven, row.age
			x.directory.dir.Config.Teams.Complete = !row.incomplete
			answer, _ := x.send(t, "POST", row.path, "", "Key", row.key, "Team", "forged")
			assert.Equal(t, answer.StatusCode, row.status)
			assert.Equal(t, b.runs() > 0, row.status == 200)
			if row.status == 200 {
				assert.Equal(t, got.Get("Team"), row.team)
				assert.Equal(t, got.Get("Key"), "")
			}
			assert.Equal(t, answer.Header.Get("Retry-After") != "", row.status == 503)
			assert.Equal(t, answer.Header.Get("Ask") != "", row.status == 401)
		})
	}
}

// TestTeamsPriorityGoesFirst: before that of the route, up to the question for a target.
func TestTeamsPriorityGoesFirst(t *testing.T) {
	x := newKeyedFixture(t)
	x.directory.dir.Config.Routes[3].Priority = 2
	_, _ = x.send(t, "POST", "/stream/x", "", "Key", "urgent-key")
	_, _ = x.send(t, "POST", "/stream/x", "", "Key", "crew-key")
	assert.Equal(t, x.admission.asked[0].Route.Priority, 0)
	assert.Equal(t, x.admission.asked[1].Route.Priority, 2)
	assert.Equal(t, x.directory.dir.Config.Routes[3].Priority, 2, "the route itself stays")
}

// TestTeamOnEveryAttempt: also on those after the first, and where a stream goes on.
func TestTeamOnEveryAttempt(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	teams := make(chan string, 4)
	fail := func(w http.ResponseWriter, r *http.Request) {
		teams <- r.Header.Get("Team") + strings.Join(r.Header["Key"], "")
		w.WriteHeader(http.StatusInternalServerError)
	}
	a.handler, b.handler = fail, fail
	x := newKeyedFixture(t, a, b)
	answer, _ := x.send(t, "GET", "/again/x", "", "Key", "crew-key")
	assert.Equal(t, answer.StatusCode, 500)
	assert.Equal(t, len(teams), 2)
	assert.Equal(t, <-teams+<-teams, "crewcrew")
}

// TestWithoutTeamsNothingChanges: a copy without a proof and requests without keys are served
// where the configuration has no teams.
func TestWithoutTeamsNothingChanges(t *testing.T) {
	b := newBackend(t, "a")
	x := newFixture(t, b)
	x.gateway.cfg.MaxKeyAge = 4900 * time.Millisecond
	x.directory.proven = time.Hour
	answer, _ := x.send(t, "POST", "/once/x", "", "Key", "anything")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Assert(t, x.gateway.KeysCurrent())
	x.directory.dir.Config.Teams = crewTeams(true)
	assert.Assert(t, !x.gateway.KeysCurrent(), "it would refuse its callers")
}
