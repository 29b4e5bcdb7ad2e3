package permits

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// unreachablePeers fails every call.
type unreachablePeers struct{}

func (unreachablePeers) Call(context.Context, coord.VMID, *schema.Call) (*schema.Reply, error) {
	return nil, errors.New("unreachable")
}

// TestPermitsKeepTheRate verifies that permits are issued one at a time and at three a second.
func TestPermitsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewIssuer(3, time.Now)
		startedAt := time.Now()
		for range 4 {
			permit, ok := issuer.Request(t.Context(), "t", 1)
			assert.Assert(t, ok)
			issuer.Release(permit)
		}
		took := time.Since(startedAt)
		assert.Assert(t, took >= 999*time.Millisecond && took < 1100*time.Millisecond, "%s", took)
	})
}

// TestRaisedRequestIsGrantedFirst verifies that a raised request is granted before one that had a
// higher priority.
func TestRaisedRequestIsGrantedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewIssuer(1000, time.Now)
		held, _ := issuer.Request(t.Context(), "busy", 1)
		order := make(chan coord.TargetID, 2)
		for target, priority := range map[coord.TargetID]float64{"low": 1, "high": 5} {
			go func() {
				permit, _ := issuer.Request(t.Context(), target, priority)
				order <- target
				issuer.Release(permit)
			}()
		}
		synctest.Wait()
		issuer.RaisePriority("low", 9)
		issuer.Release(held)
		assert.Equal(t, <-order, coord.TargetID("low"))
		assert.Equal(t, <-order, coord.TargetID("high"))
	})
}

// TestUnreturnedPermitExpires verifies that a permit that is never returned expires after
// maxHoldTime.
func TestUnreturnedPermitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		issuer := NewIssuer(1000, time.Now)
		_, ok := issuer.Request(t.Context(), "lost", 1)
		assert.Assert(t, ok)
		startedAt := time.Now()
		_, ok = issuer.Request(t.Context(), "next", 1)
		assert.Assert(t, ok)
		assert.Equal(t, time.Since(startedAt).Round(10*time.Millisecond), maxHoldTime)
	})
}

// TestUnreachableIssuerFallsBackToTheStaticShare verifies that a VM uses its static share of the
// rate while the issuing VM is unreachable.
func TestUnreachableIssuerFallsBackToTheStaticShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		coordinator := &Coordinator{
			Self: "a", Local: NewIssuer(3, time.Now), Fallback: NewIssuer(1, time.Now),
			Peers: unreachablePeers{}, IssuerVM: func() coord.VMID { return "b" },
		}
		startedAt := time.Now()
		for range 2 {
			release, ok, _ := coordinator.Acquire(t.Context(), "t", 1)
			assert.Assert(t, ok)
			release()
		}
		assert.Equal(t, time.Since(startedAt).Round(10*time.Millisecond), time.Second)
	})
}
