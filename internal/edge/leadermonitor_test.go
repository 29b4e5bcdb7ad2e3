package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// step is one event of a VM that monitors the leader "b", at a time in ms.
type step struct {
	at    int
	event string
	// probe is the VM to probe after a tick.
	probe coord.VMID
	// unresponsive is whether b counts as unresponsive afterwards, so that requests no longer wait
	// for it.
	unresponsive bool
}

func TestLeaderMonitor(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []step
	}{
		{"no response is expected", []step{{at: 5000, event: "tick"}}},
		{"b answers", []step{
			{at: 1000, event: "ask"}, {at: 1100, event: "heard"}, {at: 1200, event: "tick"},
		}},
		{"the time without a response counts from the first waiting request", []step{
			{at: 5000, event: "ask"}, {at: 5100, event: "tick"}, {at: 5149, event: "tick"},
		}},
		{"b is unresponsive and is probed once", []step{
			{at: 1000, event: "ask"}, {at: 1150, event: "tick", probe: "b"}, {at: 1200, event: "tick"},
			{at: 1299, event: "tick"}, {at: 1300, event: "tick", unresponsive: true},
		}},
		{"b answers the probe", []step{
			{at: 1000, event: "ask"}, {at: 1150, event: "tick", probe: "b"}, {at: 1160, event: "alive"},
			{at: 1300, event: "tick"}, {at: 1310, event: "tick", probe: "b"},
		}},
		{"b is unreachable and probes are spaced", []step{
			{at: 1000, event: "ask"}, {at: 1150, event: "tick", probe: "b"}, {at: 1151, event: "dead"},
			{at: 1170, event: "tick"}, {at: 1300, event: "tick", probe: "b", unresponsive: true},
		}},
		{"b is responsive again", []step{
			{at: 1000, event: "ask"}, {at: 1400, event: "tick", probe: "b", unresponsive: true}, {at: 1500, event: "heard"},
		}},
		{"another VM responds", []step{
			{at: 1000, event: "ask"}, {at: 1290, event: "heard other"}, {at: 1300, event: "tick", probe: "b", unresponsive: true},
		}},
		{"another VM becomes the leader", []step{
			{at: 1000, event: "ask"}, {at: 1400, event: "tick", probe: "b", unresponsive: true}, {at: 1401, event: "moved"},
			{at: 1500, event: "tick"},
		}},
		{"this VM becomes the leader", []step{
			{at: 1000, event: "ask"}, {at: 1100, event: "moved here"}, {at: 5000, event: "tick"},
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			m := newLeaderMonitor()
			m.watch(time.UnixMilli(0), "b")
			for _, st := range row.steps {
				m.apply(t, st)
				assert.Equal(t, m.unresponsive.Err() != nil, st.unresponsive, "at %d after %q", st.at, st.event)
			}
		})
	}
}

func (m *leaderMonitor) apply(t *testing.T, st step) {
	t.Helper()
	now := time.UnixMilli(int64(st.at))
	switch st.event {
	case "ask":
		m.addWaiter(now)
	case "heard":
		m.recordResponse(now, "b")
	case "heard other":
		m.recordResponse(now, "c")
	case "alive":
		m.probeFinished(now, "b", true)
	case "dead":
		m.probeFinished(now, "b", false)
	case "moved":
		m.watch(now, "c")
	case "moved here":
		m.watch(now, "")
	case "tick":
		assert.Equal(t, m.tick(now), st.probe, "at %d", st.at)
	default:
		t.Fatalf("no event %q", st.event)
	}
}

// TestLeaderOutage checks that only time without a response counts as an outage. A leader that
// steps down returns its waiting requests after seconds, and the VMs that sent them may learn of
// its successor only then.
func TestLeaderOutage(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	var o leaderOutage
	o.recordFailure(at(2600), "a") // after 2.6 s of waiting for a load
	assert.Assert(t, !o.exceeds(at(2630), "a", time.Second))
	o.recordFailure(at(2640), "a")
	assert.Assert(t, o.exceeds(at(3601), "a", time.Second))
	assert.Assert(t, !o.exceeds(at(3601), "b", time.Second), "another VM leads now and is queried first")
	o.recordFailure(at(3610), "b")
	assert.Assert(t, !o.exceeds(at(3640), "b", time.Second))
}
