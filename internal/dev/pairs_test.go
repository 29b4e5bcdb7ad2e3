package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/standin"
)

// fault is a temporary failure. inject causes it and clear ends it.
type fault struct {
	name   string
	inject func(*testing.T, *Cluster, *Network)
	clear  func(*testing.T, *Cluster, *Network)
}

// pairFaults are the faults that TestTwoFaultsAtOnce combines in pairs.
var pairFaults = []fault{
	{"crash of a VM",
		func(_ *testing.T, c *Cluster, _ *Network) { c.VMs[1].Kill() },
		func(t *testing.T, c *Cluster, _ *Network) { assert.NilError(t, c.Restart(c.VMs[1])) }},
	{"partition of a VM",
		func(_ *testing.T, _ *Cluster, n *Network) { n.Partition(map[string]int{"entry-3": 1}) },
		func(_ *testing.T, _ *Cluster, n *Network) { n.Partition(map[string]int{}) }},
	{"restart of all engines",
		func(_ *testing.T, c *Cluster, _ *Network) {
			for _, e := range c.Engines {
				e.Restart()
			}
		},
		func(*testing.T, *Cluster, *Network) {}},
	{"platform down",
		func(_ *testing.T, c *Cluster, _ *Network) { c.Platform.SetDown(true) },
		func(_ *testing.T, c *Cluster, _ *Network) { c.Platform.SetDown(false) }},
	{"loads fail and streams are cut",
		func(_ *testing.T, c *Cluster, _ *Network) {
			c.setFaults(standin.EngineFaults{FailLoads: 3, TruncateStreams: 5, TruncateAfterEvents: 2})
		},
		func(_ *testing.T, c *Cluster, _ *Network) { c.setFaults(standin.EngineFaults{}) }},
}

// keyedCalls sends calls with an idempotency key, each twice and through different VMs,
// and records their bodies, which must be unique.
type keyedCalls struct {
	sent sync.Map
	stop context.CancelFunc
	wg   sync.WaitGroup
}

// startKeyedCalls starts three callers that send keyed calls to the URLs that frontends
// returns.
func (c *Cluster) startKeyedCalls(frontends func() []string) *keyedCalls {
	ctx, cancel := context.WithCancel(context.Background())
	calls := &keyedCalls{stop: cancel}
	for i := range 3 {
		calls.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("ticket %d of caller %d", n, i)
				calls.sent.Store(body, true)
				urls := frontends()
				for attempt := range 2 {
					url := urls[(i+n+attempt)%len(urls)] + "/services/tickets/jobs"
					_, _ = Post(ctx, url, []byte(body), http.Header{"Idempotency-Key": {body}})
				}
			}
		})
	}
	return calls
}

// TestTwoFaultsAtOnce injects every pair of faults at the same time under load. Requests
// must succeed during and after the faults, and all guarantees must hold.
func TestTwoFaultsAtOnce(t *testing.T) {
	for i, a := range pairFaults {
		for _, b := range pairFaults[i+1:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				t.Parallel()
				runFaultPair(t, a, b)
			})
		}
	}
}

func runFaultPair(t *testing.T, a, b fault) {
	c, network := startTestCluster(t, Options{TokenTime: time.Millisecond})
	c.VMs[1].Settings.Platform.Seeds = []string{c.VMs[0].Settings.Peer.Listen}
	urls := c.frontendURLs(new(atomic.Pointer[VM]))() // a VM restarts on the same address
	frontends := func() []string { return urls }
	load := c.StartLoadGenerator(8, c.models(), frontends)
	keyed := c.startKeyedCalls(frontends)
	eventually(t, "responses before the faults", func() bool { return load.OK.Load() > 30 })
	a.inject(t, c, network)
	b.inject(t, c, network)
	before := load.OK.Load()
	eventually(t, "responses during the faults", func() bool { return load.OK.Load() > before+30 })
	a.clear(t, c, network)
	b.clear(t, c, network)
	eventually(t, "every engine to have one owner", c.haveSoleOwners)
	before = load.OK.Load()
	eventually(t, "responses after the faults", func() bool { return load.OK.Load() > before+30 })
	load.Stop()
	keyed.stop()
	keyed.wg.Wait()
	t.Log(load)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertGuarantees(t)
	calls := 0
	keyed.sent.Range(func(body, _ any) bool {
		calls++
		assert.Assert(t, c.Services["glostrup-app-1"].Runs(body.(string)) <= 1, "%s ran more than once", body)
		return true
	})
	t.Logf("%d keyed calls, each sent twice, none ran twice", calls)
}
