package edge

import (
	"strconv"
	"testing"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// disconnectedNode returns a VM that reaches no other VM and knows one engine.
func disconnectedNode(t *testing.T) (n *Node, now *time.Time) {
	t.Helper()
	at := time.Unix(1_000_000, 0)
	now = &at
	log := events.Discard()
	t.Cleanup(log.Close)
	n = &Node{
		settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "a"}}, log: log, metrics: gateway.NewMetrics(),
		now: func() time.Time { return *now }, leaderMonitor: newLeaderMonitor(),
	}
	n.running = newRunningRequests(n.now)
	n.leader.Store(new(coord.VMID))
	n.roster = roster.New(roster.Config{Start: at}, roster.Entry{ID: "a"})
	n.overload = newOverloadControl(n, n.settings.Vm, nil)
	n.quotas = newQuotas(n, &schema.EdgeQuota{})
	n.queues, n.schedulers, n.quarantine = newQueues(n), newSchedulers(n), newContentQuarantine(n)
	replicas, err := lru.New[replicaKey, lastReplica](maxLastReplicas)
	assert.NilError(t, err)
	n.lastReplicas = replicas
	engine := &fleet.Target{ID: "e", Service: "models", SoftwareVersion: "v1", Resident: []fleet.ResidentModel{{Name: "m"}}}
	n.feed = feed.New(feed.Config{
		Decode: func(item fleet.Item) (fleet.Decoded, error) {
			if version, err := strconv.ParseInt(string(item.Value), 10, 64); err == nil {
				return fleet.Decoded{Version: &fleet.AdapterVersion{Ref: fleet.AdapterRef{Model: "m", Adapter: item.Key}, Version: version}}, nil
			}
			return fleet.Decoded{Target: engine}, nil
		},
		OnChange: func(*feed.Directory) {}, Log: log, Now: n.now,
	})
	n.feed.Apply(feed.Update{Snapshot: true, To: 1, Items: []fleet.Item{{Key: "e", Revision: 1}}})
	return n, now
}

// TestDisconnectedVMBlocksCrashingRequestAfterOneTarget guards against a request that crashes one
// target after the other: without a leader, no other VM learns of the crashes, so this VM must
// record them itself.
func TestDisconnectedVMBlocksCrashingRequestAfterOneTarget(t *testing.T) {
	for name, plain := range map[string]bool{"at engines": false, "at plain targets": true} {
		t.Run(name, func(t *testing.T) {
			n, now := disconnectedNode(t)
			ad := (*admission)(n)
			crashes := 0
			for range 10 {
				r := &gateway.AdmitRequest{
					Service: "models", Plain: plain, Route: &fleet.Route{}, Deadline: now.Add(time.Second), Content: quarantine.Digest{1},
					Request: &fleet.Request{Adapter: fleet.AdapterRef{Model: "m"}},
				}
				d := n.placeLocally(r)
				if d.Target == "" && !d.LocalChoice {
					continue
				}
				crashes++
				if plain {
					d.Target = "p"
					ad.ChosenLocally(r, d)
					ad.DonePlain(d, balance.Disconnected, 0)
				} else {
					ad.Done(d, scheduler.EndedDisconnected)
				}
				*now = now.Add(time.Second)
				n.quarantine.tick()
			}
			assert.Equal(t, crashes, 1)
		})
	}
}

// TestSuspectStreamIsRefusedAtItsOnlyTargets guards against streams that are refused after a crash
// because other suspects run at all targets of their software version.
func TestSuspectStreamIsRefusedAtItsOnlyTargets(t *testing.T) {
	targets := map[string]*fleet.Target{}
	for id, version := range map[string]string{"a1": "v1", "a2": "v1", "b": "v2"} {
		targets[id] = &fleet.Target{ID: id, Service: "s", SoftwareVersion: version, State: fleet.TargetReady}
	}
	targets["c"] = &fleet.Target{ID: "c", Service: "s", SoftwareVersion: "v1", State: fleet.TargetDraining}
	targets["d"] = &fleet.Target{ID: "d", Service: "other", SoftwareVersion: "v1", State: fleet.TargetReady}
	a := &schema.Admit{Service: "s", SoftwareVersion: "v1"}
	assert.Assert(t, canContinue(targets, a, []string{"a1"}))
	assert.Assert(t, !canContinue(targets, a, []string{"a1", "a2"}))
}
