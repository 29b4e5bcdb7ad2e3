package gateway

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// sendConcurrently sends requests that target b answers once all have arrived, and returns how many are served.
func sendConcurrently(t *testing.T, x *fixture, b *backend, requests int) (served int) {
	t.Helper()
	var arrived, sent sync.WaitGroup
	arrived.Add(requests)
	b.handler = func(w http.ResponseWriter, _ *http.Request) {
		arrived.Done()
		arrived.Wait()
		_, _ = io.WriteString(w, "from "+b.id)
	}
	var mu sync.Mutex
	for i := range requests {
		sent.Go(func() {
			resp, _ := x.send(t, "POST", "/once/x", "", "Id", strconv.Itoa(i))
			if resp == nil || resp.StatusCode != http.StatusOK {
				arrived.Done()
				return
			}
			mu.Lock()
			defer mu.Unlock()
			served++
		})
	}
	sent.Wait()
	return served
}

// TestVMWithMostCallersMayUseAllSlotsOfATarget guards against requests that the leader grants and that fail for want
// of a connection, because the connections to a target are shared evenly by VMs with few callers.
func TestVMWithMostCallersMayUseAllSlotsOfATarget(t *testing.T) {
	const slots, vms = 6, 50 // of 100 connections, 90 are shared: 2 for each VM, as the least
	for _, row := range []struct {
		byLeader bool
		served   int
	}{{true, slots}, {false, 2}} {
		b := newBackend(t, "a")
		x := newFixture(t, b)
		x.gateway.cfg.ConnectedVMs = func() int { return vms }
		target := b.target()
		target.Slots = slots
		x.directory.dir.Targets = map[string]*fleet.Target{"a": target}
		x.admission.decidePlain = func(r *AdmitRequest) Decision {
			if len(r.Exclude) > 0 {
				return Decision{Reason: "none_left"}
			}
			return Decision{Service: r.Service, Ticket: 1, Target: "a", Address: target.Address, ByLeader: row.byLeader}
		}
		assert.Equal(t, sendConcurrently(t, x, b, slots), row.served, "by the leader: %t", row.byLeader)
	}
}
