package edge

import (
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

// aloneNode is a VM that reaches no other one, and knows one engine.
func aloneNode(t *testing.T) (n *Node, now *time.Time) {
	t.Helper()
	at := time.Unix(1_000_000, 0)
	now = &at
	log := events.Discard()
	t.Cleanup(log.Close)
	n = &Node{
		settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "a"}}, log: log, metrics: gateway.NewMetrics(),
		now: func() time.Time { return *now }, silence: newSilence(),
	}
	n.running = newRunning(n.now)
	n.acting.Store(new(coord.VMID))
	n.roster = roster.New(roster.Config{Start: at}, roster.Entry{ID: "a"})
	n.quotas = newQuotas(n, &schema.EdgeQuota{})
	n.lines, n.schedules, n.contents = newLines(n), newSchedules(n), newContents(n)
	homes, err := lru.New[coord.AdapterRef, lastHome](maxLastHomes)
	assert.NilError(t, err)
	n.lastHomes = homes
	engine := &fleet.Target{ID: "e", Service: "models", Resident: []fleet.ResidentModel{{Name: "m"}}}
	n.feed = feed.New(feed.Config{
		Decode:   func(fleet.Item) (fleet.Decoded, error) { return fleet.Decoded{Target: engine}, nil },
		OnChange: func(*feed.Directory) {}, Log: log, Now: n.now,
	})
	n.feed.Apply(feed.Update{Snapshot: true, To: 1, Items: []fleet.Item{{Key: "e", Revision: 1}}})
	return n, now
}

// TestVMAloneLetsACrashingRequestThrough: nobody gives it verdicts, and nobody else hears of what
// ends there.
func TestVMAloneLetsACrashingRequestThrough(t *testing.T) {
	for name, plain := range map[string]bool{"at engines": false, "at plain targets": true} {
		t.Run(name, func(t *testing.T) {
			n, now := aloneNode(t)
			ad := (*admission)(n)
			ends := 0
			for range 10 {
				r := &gateway.AdmitRequest{
					Service: "models", Plain: plain, Route: &fleet.Route{}, Deadline: now.Add(time.Second), Content: quarantine.Digest{1},
					Request: &fleet.Request{Adapter: fleet.AdapterRef{Model: "m"}},
				}
				v := n.placeAlone(r)
				if v.Target == "" && !v.LocalChoice {
					continue
				}
				ends++
				if plain {
					v.Target = "p"
					ad.ChosenLocally(r, v)
					ad.DonePlain(v, balance.Disconnected, 0)
				} else {
					ad.Done(v, scheduler.EndedDisconnected)
				}
				*now = now.Add(time.Second)
				n.contents.tick()
			}
			assert.Equal(t, ends, 1)
		})
	}
}
