package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ownership"
)

var now = time.Unix(100, 0)

// serving returns a machine that serves; others may have owned the target.
func serving(others ...coord.VMID) *ownership.Machine {
	m := ownership.New("self", 1)
	m.SetDesired(now, true, others)
	m.HandleReport(now, ownership.Report{FencingToken: 9, Resident: []string{"a@1"}})
	m.HandleClaimAccepted(now, m.FencingToken(), ownership.Report{FencingToken: m.FencingToken(), Resident: []string{"a@1"}})
	return m
}

func kinds(acts []ownership.Action) []ownership.ActionKind {
	var out []ownership.ActionKind
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

// TestHolds gives what ends a hold and what does not.
func TestHolds(t *testing.T) {
	for _, row := range []struct {
		name string
		do   func(*ownership.Machine) []ownership.Action
		left []coord.VMID
		all  bool
		want []string
	}{
		{"nothing", func(m *ownership.Machine) []ownership.Action {
			return m.SetDesired(now, true, []coord.VMID{"self", "x", "y"})
		}, []coord.VMID{"x", "y"}, true, nil},
		{"one releases", func(m *ownership.Machine) []ownership.Action { return m.HandleRelease("x", m.FencingToken(), nil) }, []coord.VMID{"y"}, true, nil},
		{"a release under another number", func(m *ownership.Machine) []ownership.Action { return m.HandleRelease("x", m.FencingToken()-1, nil) }, []coord.VMID{"x", "y"}, true, nil},
		{"the list drops one", func(m *ownership.Machine) []ownership.Action {
			return m.SetDesired(now, true, []coord.VMID{"self", "y"})
		}, []coord.VMID{"y"}, true, nil},
		{"both answer, one still uses a name", func(m *ownership.Machine) []ownership.Action {
			m.HandleRelease("x", m.FencingToken(), nil)
			return m.HandleRelease("y", m.FencingToken(), []string{"a@1"})
		}, []coord.VMID{"y"}, false, []string{"a@1"}},
		{"all release", func(m *ownership.Machine) []ownership.Action {
			m.HandleRelease("x", m.FencingToken(), nil)
			return m.HandleRelease("y", m.FencingToken(), nil)
		}, []coord.VMID{}, false, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := serving("self", "x", "y")
			acts := row.do(m)
			assert.DeepEqual(t, m.Holds(), row.left)
			if len(acts) == 0 {
				assert.Assert(t, row.all, "no word on holds")
				return
			}
			assert.Equal(t, acts[0].All, row.all)
			assert.DeepEqual(t, acts[0].Names, row.want)
		})
	}
}

// TestDrainWaitsForRequestsBrokenOff steps down with one request under way: the tenure
// is over when the target is done with it.
func TestDrainWaitsForRequestsBrokenOff(t *testing.T) {
	m := serving("self")
	m.RequestStarted()
	m.SetDesired(now, false, []coord.VMID{"self"})
	m.RequestAborted(now)
	assert.Equal(t, m.Phase(), ownership.Draining)
	m.Tick(now.Add(coord.AbortedRequestTime-1), nil)
	assert.Equal(t, m.Phase(), ownership.Draining)
	m.Tick(now.Add(coord.AbortedRequestTime), nil)
	assert.Equal(t, m.Phase(), ownership.Idle)
}

// TestReleaseOfAnEarlierTenure is a fault that the model found: a release that
// answers an ask of an earlier tenure must not count while a new one begins.
func TestReleaseOfAnEarlierTenure(t *testing.T) {
	m := serving("self", "x")
	old := m.FencingToken()
	m.HandleRejection(now, old, old+1)
	m.Tick(now.Add(time.Minute), []coord.VMID{"self", "x"})
	assert.Equal(t, m.Phase(), ownership.Reading)
	m.HandleRelease("x", old, nil)
	assert.DeepEqual(t, m.Holds(), []coord.VMID{"x"})
}

// TestStepDown gives each reason to stop.
func TestStepDown(t *testing.T) {
	for _, row := range []struct {
		name string
		do   func(*ownership.Machine) []ownership.Action
		want ownership.Phase
	}{
		{"the view names another", func(m *ownership.Machine) []ownership.Action { return m.SetDesired(now, false, nil) }, ownership.Idle},
		{"the target refuses the number", func(m *ownership.Machine) []ownership.Action {
			return m.HandleRejection(now, m.FencingToken(), m.FencingToken()+1)
		}, ownership.Idle},
		{"a refusal of an older number", func(m *ownership.Machine) []ownership.Action {
			return m.HandleRejection(now, m.FencingToken()-1, m.FencingToken())
		}, ownership.Serving},
		{"the target restarts", func(m *ownership.Machine) []ownership.Action { return m.HandleRestart(now) }, ownership.Idle},
		{"another VM claims under a higher number", func(m *ownership.Machine) []ownership.Action {
			released, acts := m.HandleReleaseRequest(now, m.FencingToken()+1)
			assert.Assert(t, released)
			return acts
		}, ownership.Idle},
		{"another VM claims under a lower number", func(m *ownership.Machine) []ownership.Action {
			released, acts := m.HandleReleaseRequest(now, m.FencingToken()-1)
			assert.Assert(t, !released)
			return acts
		}, ownership.Serving},
		{"the view names another while a request runs", func(m *ownership.Machine) []ownership.Action {
			m.RequestStarted()
			return m.SetDesired(now, false, nil)
		}, ownership.Draining},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := serving("self")
			acts := row.do(m)
			assert.Equal(t, m.Phase(), row.want)
			stopped := row.want != ownership.Serving
			assert.Equal(t, len(kinds(acts)) == 1 && acts[0].Kind == ownership.ActStop, stopped)
			assert.Equal(t, m.MayStart(), !stopped)
		})
	}
}

// TestContestsSpread checks that two VMs which both take themselves for the owner
// do not pass the target back and forth at full speed.
func TestContestsSpread(t *testing.T) {
	m := serving("self")
	at := now
	tries := 0
	for range 600 { // a minute of ticks
		at = at.Add(100 * time.Millisecond)
		m.Tick(at, []coord.VMID{"self"})
		if m.Phase() == ownership.Reading {
			tries++
			m.HandleReport(at, ownership.Report{})
			m.HandleClaimAccepted(at, m.FencingToken(), ownership.Report{})
		}
		if m.MayStart() {
			m.HandleRejection(at, m.FencingToken(), m.FencingToken()+1)
		}
	}
	assert.Assert(t, tries >= 5 && tries <= 15, "%d tries in a minute", tries)
}

func TestFencesGrow(t *testing.T) {
	seen := uint64(0)
	for _, clock := range []time.Time{now, now.Add(-time.Hour), now} { // a clock that steps back
		next := ownership.NextFencingToken(clock, seen, 3)
		assert.Assert(t, next > seen)
		seen = next
	}
	assert.Assert(t, ownership.NextFencingToken(now, 0, 1) != ownership.NextFencingToken(now, 0, 2))
}
