package ownership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ownership"
)

var now = time.Unix(100, 0)

// newServingMachine returns a Machine in phase Serving. possibleOwners may have owned the
// target before.
func newServingMachine(possibleOwners ...coord.VMID) *ownership.Machine {
	m := ownership.New("self", 1)
	m.SetDesired(now, true, possibleOwners)
	m.HandleReport(now, ownership.Report{FencingToken: 9, Resident: []string{"a@1"}})
	m.HandleClaimAccepted(now, m.FencingToken(), ownership.Report{FencingToken: m.FencingToken(), Resident: []string{"a@1"}})
	return m
}

// kinds returns the kind of each action.
func kinds(acts []ownership.Action) []ownership.ActionKind {
	var out []ownership.ActionKind
	for _, a := range acts {
		out = append(out, a.Kind)
	}
	return out
}

// TestHoldsEndOnlyByReleaseOrRemovalFromTheList checks which events end a hold and which
// adapters the remaining holds cover.
func TestHoldsEndOnlyByReleaseOrRemovalFromTheList(t *testing.T) {
	for _, row := range []struct {
		name      string
		apply     func(*ownership.Machine) []ownership.Action
		wantHolds []coord.VMID
		wantAll   bool
		wantNames []string
	}{
		{"no event", func(m *ownership.Machine) []ownership.Action {
			return m.SetDesired(now, true, []coord.VMID{"self", "x", "y"})
		}, []coord.VMID{"x", "y"}, true, nil},
		{"one VM releases", func(m *ownership.Machine) []ownership.Action { return m.HandleRelease("x", m.FencingToken(), nil) }, []coord.VMID{"y"}, true, nil},
		{"a release under another token", func(m *ownership.Machine) []ownership.Action { return m.HandleRelease("x", m.FencingToken()-1, nil) }, []coord.VMID{"x", "y"}, true, nil},
		{"one VM is dropped from the list", func(m *ownership.Machine) []ownership.Action {
			return m.SetDesired(now, true, []coord.VMID{"self", "y"})
		}, []coord.VMID{"y"}, true, nil},
		{"both VMs answer, one still uses an adapter", func(m *ownership.Machine) []ownership.Action {
			m.HandleRelease("x", m.FencingToken(), nil)
			return m.HandleRelease("y", m.FencingToken(), []string{"a@1"})
		}, []coord.VMID{"y"}, false, []string{"a@1"}},
		{"both VMs release", func(m *ownership.Machine) []ownership.Action {
			m.HandleRelease("x", m.FencingToken(), nil)
			return m.HandleRelease("y", m.FencingToken(), nil)
		}, []coord.VMID{}, false, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newServingMachine("self", "x", "y")
			acts := row.apply(m)
			assert.DeepEqual(t, m.Holds(), row.wantHolds)
			if len(acts) == 0 {
				assert.Assert(t, row.wantAll, "no action returned although not everything is held")
				return
			}
			assert.Equal(t, acts[0].All, row.wantAll)
			assert.DeepEqual(t, acts[0].Names, row.wantNames)
		})
	}
}

// TestDrainWaitsForAbortedRequests steps down with one request in flight that is then
// aborted. The ownership term must not end while the target may still run that request.
func TestDrainWaitsForAbortedRequests(t *testing.T) {
	m := newServingMachine("self")
	m.RequestStarted()
	m.SetDesired(now, false, []coord.VMID{"self"})
	m.RequestAborted(now)
	assert.Equal(t, m.Phase(), ownership.Draining)
	m.Tick(now.Add(coord.AbortedRequestTime-1), nil)
	assert.Equal(t, m.Phase(), ownership.Draining)
	m.Tick(now.Add(coord.AbortedRequestTime), nil)
	assert.Equal(t, m.Phase(), ownership.Idle)
}

// TestReleaseFromEarlierOwnershipTermIsIgnored guards against a late release that answers a
// request from an earlier ownership term and would end a hold of the new one.
func TestReleaseFromEarlierOwnershipTermIsIgnored(t *testing.T) {
	m := newServingMachine("self", "x")
	earlierToken := m.FencingToken()
	m.HandleRejection(now, earlierToken, earlierToken+1)
	m.Tick(now.Add(time.Minute), []coord.VMID{"self", "x"})
	assert.Equal(t, m.Phase(), ownership.Reading)
	m.HandleRelease("x", earlierToken, nil)
	assert.DeepEqual(t, m.Holds(), []coord.VMID{"x"})
}

// TestStepDownReasons checks which events make the owner step down.
func TestStepDownReasons(t *testing.T) {
	for _, row := range []struct {
		name  string
		apply func(*ownership.Machine) []ownership.Action
		want  ownership.Phase
	}{
		{"the view names another VM", func(m *ownership.Machine) []ownership.Action { return m.SetDesired(now, false, nil) }, ownership.Idle},
		{"the target rejects the token", func(m *ownership.Machine) []ownership.Action {
			return m.HandleRejection(now, m.FencingToken(), m.FencingToken()+1)
		}, ownership.Idle},
		{"a rejection of an older token", func(m *ownership.Machine) []ownership.Action {
			return m.HandleRejection(now, m.FencingToken()-1, m.FencingToken())
		}, ownership.Serving},
		{"the target restarts", func(m *ownership.Machine) []ownership.Action { return m.HandleRestart(now) }, ownership.Idle},
		{"another VM claims under a higher token", func(m *ownership.Machine) []ownership.Action {
			released, acts := m.HandleReleaseRequest(now, m.FencingToken()+1)
			assert.Assert(t, released)
			return acts
		}, ownership.Idle},
		{"another VM claims under a lower token", func(m *ownership.Machine) []ownership.Action {
			released, acts := m.HandleReleaseRequest(now, m.FencingToken()-1)
			assert.Assert(t, !released)
			return acts
		}, ownership.Serving},
		{"the view names another VM while a request runs", func(m *ownership.Machine) []ownership.Action {
			m.RequestStarted()
			return m.SetDesired(now, false, nil)
		}, ownership.Draining},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newServingMachine("self")
			acts := row.apply(m)
			assert.Equal(t, m.Phase(), row.want)
			stopped := row.want != ownership.Serving
			assert.Equal(t, len(kinds(acts)) == 1 && acts[0].Kind == ownership.ActStop, stopped)
			assert.Equal(t, m.MayStart(), !stopped)
		})
	}
}

// TestContestsBackOffExponentially checks that two VMs that both consider themselves the
// owner do not keep taking the target from each other without a growing delay.
func TestContestsBackOffExponentially(t *testing.T) {
	m := newServingMachine("self")
	at := now
	attempts := 0
	for range 600 { // one minute of ticks
		at = at.Add(100 * time.Millisecond)
		m.Tick(at, []coord.VMID{"self"})
		if m.Phase() == ownership.Reading {
			attempts++
			m.HandleReport(at, ownership.Report{})
			m.HandleClaimAccepted(at, m.FencingToken(), ownership.Report{})
		}
		if m.MayStart() {
			m.HandleRejection(at, m.FencingToken(), m.FencingToken()+1)
		}
	}
	assert.Assert(t, attempts >= 5 && attempts <= 15, "%d attempts in a minute", attempts)
}

func TestFencingTokensIncrease(t *testing.T) {
	seen := uint64(0)
	for _, clock := range []time.Time{now, now.Add(-time.Hour), now} { // the clock steps back
		next := ownership.NextFencingToken(clock, seen, 3)
		assert.Assert(t, next > seen)
		seen = next
	}
	assert.Assert(t, ownership.NextFencingToken(now, 0, 1) != ownership.NextFencingToken(now, 0, 2))
}
