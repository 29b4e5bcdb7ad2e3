package edge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestJoinDoesNotWaitForPoweredOffSeeds checks that a VM finds the others through any seed that is
// up, whatever the order of the seeds, when all VMs were lost and come back one by one.
//
// A seed without power does not refuse a connection, and joins used to wait for it: in a simulated
// run in which all 195 VMs lost power for 1.7 s, they knew no other VM for 0.35 to 0.65 s after
// they were up. Until then no model request was placed.
func TestJoinDoesNotWaitForPoweredOffSeeds(t *testing.T) {
	for _, row := range []struct {
		name  string
		seeds []string
		// upAfterMs is when each seed begins to answer, in ms after the VM's start; -1: never.
		upAfterMs map[string]int
		within    time.Duration
	}{
		{"the first seed has no power", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": 0, "c": 0}, 10 * time.Millisecond},
		{"two seeds have no power", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": -1, "c": 0}, 10 * time.Millisecond},
		{"all seeds are up later", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": 300, "c": 400}, 650 * time.Millisecond},
		{"the VM is a seed itself", []string{"self", "b"}, map[string]int{"b": 0}, 10 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				startedAt := time.Now()
				var mu sync.Mutex
				known := map[string]time.Duration{}
				tries := map[string]int{}
				j := &joiner{
					self: "self", addresses: func() []string { return row.seeds },
					isKnown:    func(a string) bool { mu.Lock(); defer mu.Unlock(); _, found := known[a]; return found },
					isIsolated: func() bool { mu.Lock(); defer mu.Unlock(); return len(known) == 0 },
					join: func(ctx context.Context, a string) {
						mu.Lock()
						tries[a]++
						mu.Unlock()
						upAfterMs := row.upAfterMs[a]
						if upAfterMs < 0 || time.Since(startedAt) < time.Duration(upAfterMs)*time.Millisecond {
							<-ctx.Done() // connections started before the seed is up are never established
							return
						}
						mu.Lock()
						defer mu.Unlock()
						known[a] = time.Since(startedAt)
					},
				}
				go j.run(ctx)
				time.Sleep(row.within)
				mu.Lock()
				assert.Assert(t, len(known) > 0, "no other VM is known")
				mu.Unlock()
				time.Sleep(5 * time.Second)
				mu.Lock()
				assert.Assert(t, tries["self"] == 0 && tries["a"] < 20, "%v", tries)
				mu.Unlock()
				cancel()
				time.Sleep(time.Second)
			})
		})
	}
}
