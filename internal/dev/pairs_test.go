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

// fault is something that goes wrong for a while. begin causes it, end mends it.
type fault struct {
	name  string
	begin func(*testing.T, *Cluster, *Network)
	end   func(*testing.T, *Cluster, *Network)
}

// pairFaults are taken two at a time.
var pairFaults = []fault{
	{"crash of a VM",
		func(_ *testing.T, c *Cluster, _ *Network) { c.VMs[1].Kill() },
		func(t *testing.T, c *Cluster, _ *Network) { assert.NilError(t, c.Restart(c.VMs[1])) }},
	{"cut of a VM",
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

// tickets sends keyed calls, each twice and through two VMs, and remembers them.
type tickets struct {
	sent sync.Map
	stop context.CancelFunc
	wg   sync.WaitGroup
}

func (c *Cluster) startTickets(doors func() []string) *tickets {
	ctx, cancel := context.WithCancel(context.Background())
	k := &tickets{stop: cancel}
	for i := range 3 {
		k.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				body := fmt.Sprintf("ticket %d of caller %d", n, i)
				k.sent.Store(body, true)
				urls := doors()
				for try := range 2 {
					url := urls[(i+n+try)%len(urls)] + "/services/tickets/jobs"
					_, _ = Post(ctx, url, []byte(body), http.Header{"Idempotency-Key": {body}})
				}
			}
		})
	}
	return k
}

// TestTwoFaultsAtOnce causes every two of the faults together under load, and
// checks the promises while they last and after.
func TestTwoFaultsAtOnce(t *testing.T) {
	for i, a := range pairFaults {
		for _, b := range pairFaults[i+1:] {
			t.Run(a.name+" and "+b.name, func(t *testing.T) {
				t.Parallel()
				runPair(t, a, b)
			})
		}
	}
}

func runPair(t *testing.T, a, b fault) {
	c, network := startFleet(t, Options{TokenTime: time.Millisecond})
	c.VMs[1].Settings.Platform.Seeds = []string{c.VMs[0].Settings.Peer.Listen}
	urls := c.allDoors(new(atomic.Pointer[VM]))() // a VM starts anew at its address
	doors := func() []string { return urls }
	load := c.StartLoadGenerator(8, c.models(), doors)
	keyed := c.startTickets(doors)
	eventually(t, "answers before", func() bool { return load.OK.Load() > 30 })
	a.begin(t, c, network)
	b.begin(t, c, network)
	before := load.OK.Load()
	eventually(t, "answers while the faults last", func() bool { return load.OK.Load() > before+30 })
	a.end(t, c, network)
	b.end(t, c, network)
	eventually(t, "every engine to have one owner", c.soleOwners)
	before = load.OK.Load()
	eventually(t, "answers after", func() bool { return load.OK.Load() > before+30 })
	load.Stop()
	keyed.stop()
	keyed.wg.Wait()
	t.Log(load)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertPromises(t)
	count := 0
	keyed.sent.Range(func(body, _ any) bool {
		count++
		assert.Assert(t, c.Services["glostrup-app-1"].Runs(body.(string)) <= 1, "%s ran more than once", body)
		return true
	})
	t.Logf("%d keyed calls, each sent twice, none ran twice", count)
}
