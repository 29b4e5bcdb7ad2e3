package gateway

import (
	"context"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// These tests guard against requests that reach a draining target after its drain time. An engine
// announced that it drains, with 3 s allowed. A stream request that its caller sent 0.37 s later
// reached the engine 3.32 s after the announcement, after 2.95 s inside the fleet. The caller
// received a complete response, but the engine's shutdown was delayed.
//
// The target was checked only by the leader, when it placed the request. The entry VM then
// used the decision whenever it arrived and a connection was ready, even if its own copy of the
// store already showed the target as draining, and nothing bounded the time in between. In the rows
// below the entry VM's copy shows that target a drains before anything is sent to it.

// setTarget replaces a target in the directory; nil removes its announcement.
func (d *fixedDirectory) setTarget(id string, t *fleet.Target) {
	changed := *d.dir
	changed.Revision++
	changed.Targets = maps.Clone(d.dir.Targets)
	delete(changed.Targets, id)
	if t != nil {
		changed.Targets[id] = t
	}
	d.dir = &changed
}

func drainingTarget(b *backend) *fleet.Target {
	t := *b.target()
	t.State = fleet.TargetDraining
	return &t
}

// delayedAdmission returns a decision for target a after duringAdmission was called, which changes
// the directory.
type delayedAdmission struct {
	*fixedAdmission
	duringAdmission func()
}

func (a *delayedAdmission) Admit(ctx context.Context, r *AdmitRequest) Decision {
	decision := a.fixedAdmission.Admit(ctx, r)
	if decision.Target == "a" {
		a.duringAdmission()
		decision.StoreCopy = a.storeCopy
	}
	return decision
}

// newDrainingFixture has two targets, a first. duringAdmission is called while the decision for a
// is in flight, duringConnect when a connection to a target is opened.
func newDrainingFixture(t *testing.T, duringAdmission, duringConnect func(x *fixture, a *backend)) (x *fixture, a, b *backend) {
	a, b = newBackend(t, "a"), newBackend(t, "b")
	x = newResumableFixture(t, a, b)
	for _, target := range []*backend{a, b} {
		target.handler = respondContinuation
	}
	x.gateway.cfg.Admission = &delayedAdmission{x.admission, func() { duringAdmission(x, a) }}
	x.gateway.cfg.Pool = hop.New(func() { duringConnect(x, a) })
	return x, a, b
}

func TestNothingIsSentToDrainingTarget(t *testing.T) {
	noop := func(*fixture, *backend) {}
	drain := func(x *fixture, a *backend) { x.directory.setTarget("a", drainingTarget(a)) }
	remove := func(x *fixture, _ *backend) { x.directory.setTarget("a", nil) }
	// removeLocally removes the target from this VM's directory and bases the decision on a newer
	// copy, that of a leader that receives the announcement late.
	removeLocally := func(x *fixture, _ *backend) {
		x.directory.setTarget("a", nil)
		x.directory.dir.Removed = map[string]bool{"a": true}
		x.admission.storeCopy = events.StoreCopy{Revision: x.directory.Revision() + 1}
	}
	for _, row := range []struct {
		name                           string
		path                           string
		duringAdmission, duringConnect func(x *fixture, a *backend)
	}{
		{"drains while the decision is in flight", "/stream/x", drain, noop},
		{"is gone while the decision is in flight", "/stream/x", remove, noop},
		{"is gone here, but the decision is based on a newer copy", "/stream/x", removeLocally, noop},
		{"drains while a connection is opened", "/stream/x", noop, drain},
		{"drains while a connection is opened, idempotent", "/again/x", noop, drain},
		{"drains while a connection is opened, not idempotent", "/once/x", noop, drain},
	} {
		t.Run(row.name, func(t *testing.T) {
			x, a, b := newDrainingFixture(t, row.duringAdmission, row.duringConnect)
			resp, _ := x.send(t, "POST", row.path, "prompt")
			assert.Equal(t, a.requestCount(), 0, "the target had announced that it drains")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, b.requestCount(), 1)
		})
	}
}

// TestStreamIsNotResumedAtDrainingTarget breaks a stream off at b while the decision to resume it
// at a is in flight.
func TestStreamIsNotResumedAtDrainingTarget(t *testing.T) {
	drain := func(x *fixture, a *backend) { x.directory.setTarget("a", drainingTarget(a)) }
	x, a, b := newDrainingFixture(t, drain, func(*fixture, *backend) {})
	c := newBackend(t, "c")
	c.handler = respondContinuation
	x.directory.setTarget("c", c.target())
	b.handler = respondEvents("id: 1\ndata: a\n\n", abortConnection)
	x.admission.targets = []*fleet.Target{b.target(), a.target(), c.target()}
	resp, body := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, a.requestCount(), 0, "the target had announced that it drains")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, body, allEvents)
}

// TestRefusedWhenOnlyDrainingTargetsRemain checks that the response reports that the request has not
// run, with a retry delay.
func TestRefusedWhenOnlyDrainingTargetsRemain(t *testing.T) {
	drain := func(x *fixture, a *backend) { x.directory.setTarget("a", drainingTarget(a)) }
	x, a, _ := newDrainingFixture(t, drain, func(*fixture, *backend) {})
	x.admission.targets = []*fleet.Target{a.target()}
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, a.requestCount(), 0)
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// TestDecisionFromNewerCopyIsUsed checks that a request is sent to a new target that only the leader
// knows yet.
func TestDecisionFromNewerCopyIsUsed(t *testing.T) {
	x, a, _ := newDrainingFixture(t, func(*fixture, *backend) {}, func(*fixture, *backend) {})
	x.directory.setTarget("a", nil)
	x.admission.storeCopy = events.StoreCopy{Revision: x.directory.Revision() + 1}
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, a.requestCount(), 1)
}

// TestStaleDecisions guards against late decisions from before a target's drain announcement. They
// reach a VM that receives no updates because it was suspended or its link is congested.
func TestStaleDecisions(t *testing.T) {
	bounds := DrainBounds{Propagation: 1750 * time.Millisecond, InFlight: 1250 * time.Millisecond}
	for _, row := range []struct {
		name                  string
		bounds                DrainBounds
		networkDelay, copyAge time.Duration
		admissions            int // number of requests for a decision
	}{
		{"in time", bounds, 100 * time.Millisecond, 100 * time.Millisecond, 1},
		{"late, but this VM's copy is current", bounds, 2 * time.Second, time.Second, 1},
		{"the store is unavailable", bounds, 100 * time.Millisecond, time.Minute, 1},
		{"late, and this VM's copy is old", bounds, 2 * time.Second, 2 * time.Second, 2},
		{"no bounds", DrainBounds{}, time.Minute, time.Minute, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newBackend(t, "a")
			a.handler = respondContinuation
			x := newResumableFixture(t, a)
			x.gateway.cfg.DrainBounds = row.bounds
			x.directory.age = row.copyAge
			x.admission.targets = []*fleet.Target{a.target(), a.target()}
			x.admission.networkDelays = []time.Duration{row.networkDelay}
			resp, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, allEvents)
			assert.Equal(t, a.requestCount(), 1)
			assert.Equal(t, len(x.admission.requests), row.admissions)
			for _, r := range x.admission.requests {
				assert.Equal(t, len(r.Exclude), 0, "the target is not excluded")
			}
		})
	}
}
