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

// The story: an engine said that it leaves and was to be left alone within 3 s. A stream
// request that its caller sent 0.37 s later reached it 3.32 s after its word, 2.95 s of
// them inside; the caller had a whole answer, the engine was held up in its leaving.
//
// The cause shown here: a target is checked when a request is placed, by the VM that
// schedules. What is done then is acted on whenever the verdict comes and a connection is
// there, also where the entry VM itself knows by then that the target leaves. Nothing
// bounded the time between.
//
// The evidence: in each row the entry VM's own copy of the store says that a leaves before
// anything is sent to it; the request reached a all the same.

// setTarget changes what the directory says of a target. Nil: its announcement is gone.
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

func draining(b *backend) *fleet.Target {
	t := *b.target()
	t.State = fleet.TargetDraining
	return &t
}

// lateAdmission gives its verdicts after the directory has changed.
type lateAdmission struct {
	*fixedAdmission
	meanwhile func()
}

func (a *lateAdmission) Admit(ctx context.Context, r *AdmitRequest) Decision {
	v := a.fixedAdmission.Admit(ctx, r)
	if v.Target == "a" {
		a.meanwhile()
		v.StoreCopy = a.placed
	}
	return v
}

// leavingFixture has two targets, a first. meanwhile is called when the verdict for a is
// under way, connecting when a connection to a target is made.
func leavingFixture(t *testing.T, meanwhile, connecting func(x *fixture, a *backend)) (x *fixture, a, b *backend) {
	a, b = newBackend(t, "a"), newBackend(t, "b")
	x = resumableFixture(t, a, b)
	for _, each := range []*backend{a, b} {
		each.handler = continues
	}
	x.gateway.cfg.Admission = &lateAdmission{x.admission, func() { meanwhile(x, a) }}
	x.gateway.cfg.Pool = hop.New(func() { connecting(x, a) })
	return x, a, b
}

func TestNothingIsSentToATargetThatLeaves(t *testing.T) {
	nothing := func(*fixture, *backend) {}
	drains := func(x *fixture, a *backend) { x.directory.setTarget("a", draining(a)) }
	gone := func(x *fixture, _ *backend) { x.directory.setTarget("a", nil) }
	// goneHere: the verdict rests on a newer copy, of a VM that was told late.
	goneHere := func(x *fixture, _ *backend) {
		x.directory.setTarget("a", nil)
		x.directory.dir.Removed = map[string]bool{"a": true}
		x.admission.placed = events.StoreCopy{Revision: x.directory.Revision() + 1}
	}
	for _, row := range []struct {
		name                  string
		path                  string
		meanwhile, connecting func(x *fixture, a *backend)
	}{
		{"drains while the verdict is under way", "/stream/x", drains, nothing},
		{"is gone while the verdict is under way", "/stream/x", gone, nothing},
		{"is gone here, though the verdict rests on a newer copy", "/stream/x", goneHere, nothing},
		{"drains while a connection is made", "/stream/x", nothing, drains},
		{"drains while a connection is made, idempotent", "/again/x", nothing, drains},
		{"drains while a connection is made, not idempotent", "/once/x", nothing, drains},
	} {
		t.Run(row.name, func(t *testing.T) {
			x, a, b := leavingFixture(t, row.meanwhile, row.connecting)
			answer, _ := x.send(t, "POST", row.path, "prompt")
			assert.Equal(t, a.runs(), 0, "the target had said that it leaves")
			assert.Equal(t, answer.StatusCode, 200)
			assert.Equal(t, b.runs(), 1)
		})
	}
}

// TestStreamDoesNotGoOnAtATargetThatLeaves: a stream that broke off at b is to go on at a.
func TestStreamDoesNotGoOnAtATargetThatLeaves(t *testing.T) {
	drains := func(x *fixture, a *backend) { x.directory.setTarget("a", draining(a)) }
	x, a, b := leavingFixture(t, drains, func(*fixture, *backend) {})
	c := newBackend(t, "c")
	c.handler = continues
	x.directory.setTarget("c", c.target())
	b.handler = sends("id: 1\ndata: a\n\n", drops)
	x.admission.targets = []*fleet.Target{b.target(), a.target(), c.target()}
	answer, body := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, a.runs(), 0, "the target had said that it leaves")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, body, allEvents)
}

// TestOnlyLeavingTargetsRefuse: where no other target is left, the caller learns at once
// that its request has not run.
func TestOnlyLeavingTargetsRefuse(t *testing.T) {
	drains := func(x *fixture, a *backend) { x.directory.setTarget("a", draining(a)) }
	x, a, _ := leavingFixture(t, drains, func(*fixture, *backend) {})
	x.admission.targets = []*fleet.Target{a.target()}
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, a.runs(), 0)
	assert.Equal(t, answer.StatusCode, 503)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
}

// TestVerdictThatKnowsMoreIsActedOn: the VM that schedules may hear of a new target first.
func TestVerdictThatKnowsMoreIsActedOn(t *testing.T) {
	x, a, _ := leavingFixture(t, func(*fixture, *backend) {}, func(*fixture, *backend) {})
	x.directory.setTarget("a", nil)
	x.admission.placed = events.StoreCopy{Revision: x.directory.Revision() + 1}
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, a.runs(), 1)
}

// TestOldVerdicts: a verdict from before a target's word that it leaves may come late to a
// VM that hears nothing, as one that stood still or has a full link.
func TestOldVerdicts(t *testing.T) {
	bounds := DrainBounds{Propagation: 1750 * time.Millisecond, InFlight: 1250 * time.Millisecond}
	for _, row := range []struct {
		name     string
		bounds   DrainBounds
		lag, age time.Duration
		asked    int // how often for a verdict
	}{
		{"in time", bounds, 100 * time.Millisecond, 100 * time.Millisecond, 1},
		{"late, but this VM knows", bounds, 2 * time.Second, time.Second, 1},
		{"the store is away", bounds, 100 * time.Millisecond, time.Minute, 1},
		{"late, and this VM does not know", bounds, 2 * time.Second, 2 * time.Second, 2},
		{"no bounds", DrainBounds{}, time.Minute, time.Minute, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a := newBackend(t, "a")
			a.handler = continues
			x := resumableFixture(t, a)
			x.gateway.cfg.DrainBounds = row.bounds
			x.directory.age = row.age
			x.admission.targets = []*fleet.Target{a.target(), a.target()}
			x.admission.lags = []time.Duration{row.lag}
			answer, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, answer.StatusCode, 200)
			assert.Equal(t, body, allEvents)
			assert.Equal(t, a.runs(), 1)
			assert.Equal(t, len(x.admission.asked), row.asked)
			for _, r := range x.admission.asked {
				assert.Equal(t, len(r.Exclude), 0, "nothing is held against the target")
			}
		})
	}
}
