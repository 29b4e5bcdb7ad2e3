package edge

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// TestDisconnectedVMSendsToAnotherService guards against requests without a decision of the leader that
// are sent to the target that last served their adapter, although it belongs to another service that
// serves an adapter of the same name, or runs another software version than the one that began the stream.
func TestDisconnectedVMSendsToAnotherService(t *testing.T) {
	n, now := disconnectedNode(t)
	request := func(service, software string) *gateway.AdmitRequest {
		return &gateway.AdmitRequest{
			Service: service, Route: &fleet.Route{}, Deadline: now.Add(time.Second), SoftwareVersion: software,
			Request: &fleet.Request{Adapter: fleet.AdapterRef{Model: "m", Adapter: "a"}},
		}
	}
	n.recordDecision(request("models", ""), gateway.Decision{Service: "models", Target: "e", Ticket: 1})
	assert.Equal(t, n.chooseKnownTarget(request("models", "")).Target, "e")
	assert.Equal(t, n.chooseKnownTarget(request("others", "")).Target, "")
	assert.Equal(t, n.chooseKnownTarget(request("models", "v2")).Target, "")
}

// TestDisconnectedVMForgetsReplicaOfVersion guards against continued streams that are refused without the
// leader because the adapter was last served by another software version.
func TestDisconnectedVMForgetsReplicaOfVersion(t *testing.T) {
	n, now := disconnectedNode(t)
	r := &gateway.AdmitRequest{
		Service: "models", Route: &fleet.Route{}, Deadline: now.Add(time.Second),
		Request: &fleet.Request{Adapter: fleet.AdapterRef{Model: "m", Adapter: "a"}},
	}
	n.recordDecision(r, gateway.Decision{Service: "models", Target: "e", SoftwareVersion: "v1", Ticket: 1})
	n.recordDecision(r, gateway.Decision{Service: "models", Target: "gone", SoftwareVersion: "v2", Ticket: 2})
	r.SoftwareVersion = "v1"
	assert.Equal(t, n.chooseKnownTarget(r).Target, "e")
}

// TestVMWithoutLeaderDoesNotDelayKnownAdapters guards against streams at VMs that have lost their leader
// that all come late, because each of them first waits for the next leader. A request for an adapter that
// this VM cannot place still waits, and so does every request at a VM that has just started.
func TestVMWithoutLeaderDoesNotDelayKnownAdapters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, _ := disconnectedNode(t)
		n.now = time.Now
		known, unknown := adapterRequest("a"), adapterRequest("b")
		n.recordDecision(known, gateway.Decision{Service: "models", Target: "e", Ticket: 1})
		n.startedAt = time.Now()
		assert.Assert(t, admitDelay(t, n, known) > unknownLeaderTimeout)
		assert.Assert(t, admitDelay(t, n, known) < 2*admitRetryInterval)
		assert.Assert(t, admitDelay(t, n, unknown) > unknownLeaderTimeout)
	})
}

func adapterRequest(adapter string) *gateway.AdmitRequest {
	return &gateway.AdmitRequest{
		Service: "models", Route: &fleet.Route{}, Deadline: time.Now().Add(time.Minute),
		Request: &fleet.Request{Adapter: fleet.AdapterRef{Model: "m", Adapter: adapter}},
	}
}

// admitDelay returns the time until the decision on a request.
func admitDelay(t *testing.T, n *Node, r *gateway.AdmitRequest) time.Duration {
	t.Helper()
	start := time.Now()
	(*admission)(n).Admit(t.Context(), r)
	return time.Since(start)
}

// TestVMWithoutLeaderRunsOutdatedVersions guards against requests that run on an older version of their
// adapter after the bound, because the last known target is asked for the version that it held when the leader
// was lost. Within the bound the target may use whichever version it holds.
func TestVMWithoutLeaderRunsOutdatedVersions(t *testing.T) {
	n, now := disconnectedNode(t)
	n.settings.Times = &schema.EdgeTimes{VersionMs: 5000}
	r := adapterRequest("a")
	n.recordDecision(r, gateway.Decision{Service: "models", Target: "e", Ticket: 1, AdapterVersion: 1, ByLeader: true})
	required := func() int64 { return n.chooseKnownTarget(r).AdapterVersion }
	assert.Equal(t, required(), int64(1))

	*now = now.Add(time.Second)
	n.feed.Apply(feed.Update{From: 1, To: 2, Items: []fleet.Item{{Key: "a", Revision: 2, Value: []byte("2")}}})
	assert.Equal(t, required(), int64(0), "whichever the target holds")
	*now = now.Add(versionGrace(n.settings.Times) - time.Second)
	assert.Equal(t, required(), int64(2), "the copy lacked the version a second before it arrived")
	n.settings.Times = &schema.EdgeTimes{}
	*now = now.Add(askInterval)
	assert.Equal(t, required(), int64(2), "without a bound")
}

// TestTargetThatLacksVersionIsAskedForEachRequest guards against requests that a VM without the leader sends
// to a target which has just said that it lacks their version, and against one that is never asked again
// although a load has ended since.
func TestTargetThatLacksVersionIsAskedForEachRequest(t *testing.T) {
	n, now := disconnectedNode(t)
	r := adapterRequest("a")
	n.recordDecision(r, gateway.Decision{Service: "models", Target: "e", SoftwareVersion: "v1", Ticket: 1, ByLeader: true})
	d := n.recordDecision(r, n.chooseKnownTarget(r))
	assert.Equal(t, d.Target, "e")
	(*admission)(n).Done(d, scheduler.EndedMisrouted)
	assert.Equal(t, n.chooseKnownTarget(r).Target, "")
	r.SoftwareVersion = "v1"
	assert.Equal(t, n.chooseKnownTarget(r).Target, "")
	*now = now.Add(askInterval)
	d = n.recordDecision(r, n.chooseKnownTarget(r))
	assert.Equal(t, d.Target, "e", "a load may have ended since")
	assert.Equal(t, n.chooseKnownTarget(r).Target, "", "the target has not answered yet")
	(*admission)(n).FirstEvent(d)
	assert.Equal(t, n.chooseKnownTarget(r).Target, "e")
}

// observingNode returns a node without a leader that has read the report of the target "e", which holds version 1 of an
// adapter.
func observingNode(t *testing.T) (n *Node, now *time.Time) {
	n, now = disconnectedNode(t)
	n.settings.Times = &schema.EdgeTimes{VersionMs: 5000}
	n.recordLeader("")
	s := scheduler.New(scheduler.Config{AdapterSlots: 4})
	n.schedulers.services["models"] = &serviceScheduler{service: "models", scheduler: s}
	s.SetTargets(*now, []scheduler.AnnouncedTarget{{ID: "e", Ready: true}})
	n.schedulers.setObserving(true)
	observe(n, *now)
	return n, now
}

// observe lets a node read the report of the target "e".
func observe(n *Node, now time.Time) {
	s := n.schedulers.services["models"].scheduler
	s.Tick(now)
	s.HandleReport(now, "e", scheduler.Report{Resident: []scheduler.ResidentItem{
		{Ref: coord.AdapterRef{Model: "m"}}, {Ref: coord.AdapterRef{Model: "m", Adapter: "held"}, Version: 1},
	}}, true)
}

// TestReportedAdapterIsRefusedWithoutLeader guards against requests that a VM without a leader refuses although an
// engine reports their adapter, and against requests that wait for a leader which has been missing for long.
func TestReportedAdapterIsRefusedWithoutLeader(t *testing.T) {
	n, now := observingNode(t)
	r := adapterRequest("held")
	assert.Assert(t, !n.canPlaceLocally(r), "a leader may follow soon")
	*now = now.Add(leaderlessAfter)
	observe(n, *now)
	assert.Assert(t, n.canPlaceLocally(r))
	assert.Assert(t, !n.canPlaceLocally(adapterRequest("other")))
	n.recordLeader("b")
	assert.Assert(t, !n.canPlaceLocally(r))
	n.recordLeader("")

	d := n.recordDecision(r, n.chooseKnownTarget(r))
	assert.Equal(t, d.Target, "e")
	(*admission)(n).Done(d, scheduler.EndedMisrouted)
	assert.Equal(t, n.chooseKnownTarget(r).Target, "", "the target has just said that it lacks the adapter")
	*now = now.Add(askInterval)
	assert.Equal(t, n.chooseKnownTarget(r).Target, "e")
}

// TestOutdatedReportIsUsed guards against requests without a leader that go to a target of another service or
// software version, to one whose report is old, or to one that holds an older version of the adapter.
func TestOutdatedReportIsUsed(t *testing.T) {
	n, now := observingNode(t)
	choose := func(change func(*gateway.AdmitRequest)) string {
		r := adapterRequest("held")
		change(r)
		t, _ := n.observedReplica(r)
		if t == nil {
			return ""
		}
		return t.ID
	}
	unchanged := func(*gateway.AdmitRequest) {}
	assert.Equal(t, choose(unchanged), "e")
	assert.Equal(t, choose(func(r *gateway.AdmitRequest) { r.Service = "others" }), "")
	assert.Equal(t, choose(func(r *gateway.AdmitRequest) { r.SoftwareVersion = "v2" }), "")
	assert.Equal(t, choose(func(r *gateway.AdmitRequest) { r.Exclude = []string{"e"} }), "")
	n.feed.Apply(feed.Update{From: 1, To: 2, Items: []fleet.Item{{Key: "held", Revision: 2, Value: []byte("2")}}})
	assert.Equal(t, choose(unchanged), "e", "within the bound of versions")
	*now = now.Add(versionGrace(n.settings.Times))
	assert.Equal(t, choose(unchanged), "", "the report is old")
	observe(n, *now)
	assert.Equal(t, choose(unchanged), "", "the version is old")
}
