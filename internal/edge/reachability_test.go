package edge

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/leadership"
	"github.com/junctionfold/junctionfold/coord/reach"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

func TestRelaysAreOfTheSameZoneUnlessMostOfItIsIsolated(t *testing.T) {
	live := newFleet(2, 6)
	for _, row := range []struct {
		name             string
		isolated         []coord.VMID
		preferred, other int
	}{
		{"none is isolated", nil, 5, 6},
		{"this VM is isolated", []coord.VMID{"vm-0-0"}, 5, 6},
		{"a third of the zone remains", []coord.VMID{"vm-0-0", "vm-0-1", "vm-0-2", "vm-0-3"}, 2, 6},
		{"less than a third remains", []coord.VMID{"vm-0-0", "vm-0-1", "vm-0-2", "vm-0-3", "vm-0-4"}, 0, 7},
		{"the other zone is isolated", []coord.VMID{"vm-1-0", "vm-1-1", "vm-1-2", "vm-1-3", "vm-1-4", "vm-1-5"}, 5, 0},
	} {
		t.Run(row.name, func(t *testing.T) {
			vms := slices.Clone(live)
			for i := range vms {
				vms[i].Isolated = slices.Contains(row.isolated, vms[i].ID)
			}
			c := selectRelayCandidates("vm-0-0", "z0", vms)
			assert.Equal(t, len(c.preferred), row.preferred)
			assert.Equal(t, len(c.others), row.other)
			for _, vm := range append(slices.Clone(c.preferred), c.others...) {
				assert.Assert(t, vm != "vm-0-0" && !slices.Contains(row.isolated, vm))
			}
		})
	}
}

// TestSessionsToRelaysAreBounded guards against a VM that opens sessions to a whole large fleet, and against
// relays that get the requests of all.
func TestSessionsToRelaysAreBounded(t *testing.T) {
	live := newFleet(4, 100)
	senders := map[coord.VMID]int{}
	for _, e := range live {
		c := selectRelayCandidates(e.ID, e.Zone, live)
		assert.Equal(t, len(c.preferred), maxRelayCandidates)
		assert.Equal(t, len(c.others), maxRelayCandidates)
		for _, vm := range append(slices.Clone(c.preferred), c.others...) {
			senders[vm]++
		}
	}
	for vm, n := range senders {
		assert.Assert(t, n <= 4*2*maxRelayCandidates, "%s relays for %d VMs", vm, n)
	}
}

// reachabilityNode returns VM a with targets at the given addresses, by their ids.
func reachabilityNode(t *testing.T, addresses map[string]string) (n *Node, now *time.Time) {
	t.Helper()
	n, now = disconnectedNode(t)
	n.heartbeatDue = make(chan struct{}, 1)
	n.pool = hop.New(nil)
	n.reachability = newReachability(n)
	n.feed = feedOf(n, addresses)
	return n, now
}

// feedOf returns a feed with targets at the given addresses, by their ids, that a node's reachability
// follows.
func feedOf(n *Node, addresses map[string]string) *feed.Feed {
	f := feed.New(feed.Config{
		Decode: func(i fleet.Item) (fleet.Decoded, error) {
			return fleet.Decoded{Target: &fleet.Target{ID: i.Key, Service: "s", Address: addresses[i.Key]}}, nil
		},
		OnChange: n.reachability.apply, Log: n.log, Now: n.now,
	})
	u := feed.Update{Snapshot: true, To: 1}
	for id := range addresses {
		u.Items = append(u.Items, fleet.Item{Key: id, Revision: 1})
	}
	f.Apply(u)
	return f
}

// addVMs adds live VMs to a node's roster.
func addVMs(n *Node, entries ...roster.Entry) {
	n.roster.Merge(n.now(), entries)
	n.updateRelays()
}

var errRefused = errors.New("connection refused")

func TestVMWithoutAnotherSendsRequestsItself(t *testing.T) {
	n, _ := reachabilityNode(t, map[string]string{"t1": "", "t2": ""})
	n.updateRelays()
	n.reachability.recordDial("t1", errRefused)
	assert.Assert(t, !n.reachability.viaRelay("t1"))
	addVMs(n, roster.Entry{ID: "b", Incarnation: 1, Isolated: true})
	assert.Assert(t, !n.reachability.viaRelay("t1"), "b is isolated as well")
	addVMs(n, roster.Entry{ID: "c", Incarnation: 1})
	assert.Assert(t, n.reachability.viaRelay("t1"))
	assert.Assert(t, !n.reachability.viaRelay("t2"))
	assert.DeepEqual(t, n.reachability.relays(), []coord.VMID{"c"})
}

func TestRelaysAreDistinctAndBounded(t *testing.T) {
	n, _ := reachabilityNode(t, map[string]string{"t1": "", "t2": ""})
	n.settings.Vm.Zone = "z0"
	var vms []roster.Entry
	for i := range 2 {
		vms = append(vms, roster.Entry{ID: coord.VMID(fmt.Sprintf("near-%d", i)), Zone: "z0", Incarnation: 1})
	}
	for i := range 5 {
		vms = append(vms, roster.Entry{ID: coord.VMID(fmt.Sprintf("far-%d", i)), Zone: "z1", Incarnation: 1})
	}
	addVMs(n, vms...)
	checkRelays := func(firstNear int) {
		t.Helper()
		for range 100 {
			relays := n.reachability.relays()
			assert.Equal(t, len(relays), maxRelays)
			assert.Equal(t, len(slices.Compact(slices.Sorted(slices.Values(relays)))), maxRelays)
			near := slices.Sorted(slices.Values(relays[firstNear : firstNear+2]))
			assert.DeepEqual(t, near, []coord.VMID{"near-0", "near-1"})
		}
	}
	checkRelays(1) // after one of another zone
	isolate(n, "t1", "t2")
	checkRelays(0)
}

// isolate makes a node find that it is isolated.
func isolate(n *Node, first, second string) {
	n.reachability.recordDirectFailure(first)
	n.reachability.recordRelayed(first, true)
	n.reachability.recordDial(second, errRefused)
	n.reachability.recordRelayed(second, true)
}

func TestIsolationIsAnnouncedAtOnce(t *testing.T) {
	n, now := reachabilityNode(t, map[string]string{"t1": "", "t2": "", "t3": ""})
	addVMs(n, roster.Entry{ID: "b", Incarnation: 1})
	assert.Equal(t, n.connectedVMs.Load(), int64(2))
	isolate(n, "t1", "t2")
	select {
	case <-n.heartbeatDue:
	default:
		t.Fatal("no heartbeat round is due")
	}
	assert.Assert(t, n.reachability.announcesIsolation(*now))
	assert.Assert(t, n.reachability.viaRelay("t3"))
	n.roster.SetIsolated(true)
	sent := entriesFromProto(n.fullRoster())
	assert.Assert(t, slices.ContainsFunc(sent, func(e roster.Entry) bool { return e.ID == "a" && e.Isolated }))
	n.updateRelays()
	assert.Equal(t, n.connectedVMs.Load(), int64(1))
}

func TestIsolatedLeaderStepsDown(t *testing.T) {
	n, now := reachabilityNode(t, map[string]string{"t1": "", "t2": ""})
	n.leadership = leadership.New(*now, "a", leadershipKey, time.Second, true)
	*now = now.Add(2 * time.Second)
	n.roster.Tick(*now)
	assert.Assert(t, n.leadership.Update(*now, n.roster))
	n.leadership.Acquire(*now, 7, true)
	addVMs(n, roster.Entry{ID: "b", Incarnation: 1})
	isolate(n, "t1", "t2")
	n.roster.SetIsolated(n.reachability.announcesIsolation(*now))
	n.leadership.Update(*now, n.roster)
	assert.Equal(t, n.leadership.FencingToken(), uint64(0))
	assert.Equal(t, n.leadership.Leader(), coord.VMID("b"))
}

func TestProbesEndAnIsolation(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	address := l.Addr().String()
	n, now := reachabilityNode(t, map[string]string{"t1": address, "t2": address, "t3": address})
	addVMs(n, roster.Entry{ID: "b", Incarnation: 1})
	isolate(n, "t1", "t2")
	assert.Equal(t, n.reachability.isolated(), int64(1))
	n.reachability.probe(t.Context())
	n.reachability.probe(t.Context())
	assert.Equal(t, n.reachability.isolated(), int64(0))
	assert.Equal(t, n.reachability.brokenPaths(), int64(0))
	assert.Assert(t, !n.reachability.viaRelay("t1"))
	assert.Assert(t, n.reachability.announcesIsolation(*now), "for a second")
}

// silentNode returns VM a with an engine e and a request that e has not answered for long.
func silentNode(t *testing.T) (n *Node, now *time.Time) {
	t.Helper()
	n, now = reachabilityNode(t, map[string]string{"e": "", "p": ""})
	n.reachability.table.SetEngines([]string{"e"})
	n.pool.Now = n.now
	n.pool.RecordHeard()
	accepted := make(chan net.Conn, 1)
	n.pool.Dial = func(context.Context, *net.Dialer, string) (net.Conn, error) { return dialSilentTarget(t, accepted) }
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = n.pool.Do(ctx, &hop.Request{Key: "p", Method: http.MethodGet, Path: "/", Host: "p"})
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	_, err := (<-accepted).Read(make([]byte, 1))
	assert.NilError(t, err)
	return n, now
}

// dialSilentTarget connects to a target that accepts one connection and sends nothing.
func dialSilentTarget(t *testing.T, accepted chan<- net.Conn) (net.Conn, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		if c, err := listener.Accept(); err == nil {
			t.Cleanup(func() { _ = c.Close() })
			accepted <- c
		}
	}()
	return net.Dial("tcp", listener.Addr().String())
}

// runFor lets the node check the silence for d, with a check every interval.
func runFor(n *Node, now *time.Time, d, interval time.Duration) {
	for end := now.Add(d); now.Before(end); {
		*now = now.Add(interval)
		n.reachability.checkSilence()
	}
}

// TestVMThatDidNotRunTakesNothingForSilence guards against a sound VM that stops relaying after it was
// suspended or starved: what arrived in the meantime is not read yet.
func TestVMThatDidNotRunTakesNothingForSilence(t *testing.T) {
	n, now := silentNode(t)
	runFor(n, now, reach.SilenceTime/2, tickInterval)
	*now = now.Add(2 * reach.SilenceTime)
	n.reachability.checkSilence()
	assert.Assert(t, n.reachability.canRelay())
	runFor(n, now, reach.SilenceTime-tickInterval, tickInterval)
	assert.Assert(t, n.reachability.canRelay())
	runFor(n, now, 2*tickInterval, tickInterval)
	assert.Assert(t, !n.reachability.canRelay(), "it has listened for long enough")
}

// TestProbesDoNotDelayASilence guards against a VM that takes its own probes, which wait for targets, for
// times in which it did not run.
func TestProbesDoNotDelayASilence(t *testing.T) {
	n, now := silentNode(t)
	for range 2 {
		n.reachability.checkSilence()
		*now = now.Add(questionTimeout + tickInterval)
		n.reachability.excuseProbe()
	}
	assert.Assert(t, n.reachability.canRelay())
	n.reachability.checkSilence()
	assert.Assert(t, !n.reachability.canRelay())
}

// TestAnswerDuringTheCheckOfASilenceEndsIt guards against a silence that is recorded with a later time than
// an answer that arrives while it is found: only a further answer would end it.
func TestAnswerDuringTheCheckOfASilenceEndsIt(t *testing.T) {
	n, now := silentNode(t)
	runFor(n, now, reach.SilenceTime-tickInterval, tickInterval)
	var atCheck time.Time
	calls := 0
	n.now = func() time.Time {
		calls++
		if calls == 1 {
			atCheck = now.Add(2 * tickInterval)
			return atCheck
		}
		return atCheck.Add(2 * time.Millisecond)
	}
	n.reachability.checkSilence()
	assert.Assert(t, !n.reachability.canRelay())
	n.pool.Now = func() time.Time { return atCheck.Add(time.Millisecond) }
	n.pool.RecordHeard()
	n.reachability.checkSilence()
	assert.Assert(t, n.reachability.canRelay())
}
