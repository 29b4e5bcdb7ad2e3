package edge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestJoiningBesideSeedsWithoutPower: all VMs were lost and come back one by one. A VM that is
// up finds the others through the seed that is up, whatever the order of the seeds.
//
// The story: on a played day all 195 VMs lost power for 1.7 s. They were up at 35.8 to 36.1 s
// and knew no other VM until 36.45 s; for as long no request for a model was placed. A seed
// without power does not refuse a connection, and was waited for.
func TestJoiningBesideSeedsWithoutPower(t *testing.T) {
	for _, row := range []struct {
		name  string
		seeds []string
		// up is when each seed answers, in ms after the VM's start; -1: never.
		up     map[string]int
		within time.Duration
	}{
		{"the first is without power", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": 0, "c": 0}, 10 * time.Millisecond},
		{"two are", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": -1, "c": 0}, 10 * time.Millisecond},
		{"all are up later", []string{"a", "b", "c"}, map[string]int{"a": -1, "b": 300, "c": 400}, 650 * time.Millisecond},
		{"the VM is a seed itself", []string{"self", "b"}, map[string]int{"b": 0}, 10 * time.Millisecond},
	} {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				began := time.Now()
				var mu sync.Mutex
				known := map[string]time.Duration{}
				tries := map[string]int{}
				j := &joiner{
					self: "self", seeds: func() []string { return row.seeds },
					knows: func(a string) bool { mu.Lock(); defer mu.Unlock(); _, is := known[a]; return is },
					alone: func() bool { mu.Lock(); defer mu.Unlock(); return len(known) == 0 },
					join: func(ctx context.Context, a string) {
						mu.Lock()
						tries[a]++
						mu.Unlock()
						up := row.up[a]
						if up < 0 || time.Since(began) < time.Duration(up)*time.Millisecond {
							<-ctx.Done() // a connection that was begun before does not come about
							return
						}
						mu.Lock()
						defer mu.Unlock()
						known[a] = time.Since(began)
					},
				}
				go j.run(ctx)
				time.Sleep(row.within)
				mu.Lock()
				assert.Assert(t, len(known) > 0, "knows nobody")
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
