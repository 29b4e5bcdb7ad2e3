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

// lostPeers cannot be reached.
type lostPeers struct{}

func (lostPeers) Call(context.Context, coord.VMID, *schema.Call) (*schema.Reply, error) {
	return nil, errors.New("unreachable")
}

// TestTurnsKeepTheRate hands four turns out at three a second, one at a time.
func TestTurnsKeepTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewIssuer(3, time.Now)
		began := time.Now()
		for range 4 {
			turn, ok := g.Request(t.Context(), "t", 1)
			assert.Assert(t, ok)
			g.Release(turn)
		}
		took := time.Since(began)
		assert.Assert(t, took >= 999*time.Millisecond && took < 1100*time.Millisecond, "%s", took)
	})
}

// TestRaisedAskGoesFirst raises an ask above one that was worth more.
func TestRaisedAskGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewIssuer(1000, time.Now)
		held, _ := g.Request(t.Context(), "busy", 1)
		order := make(chan coord.TargetID, 2)
		for target, value := range map[coord.TargetID]float64{"low": 1, "high": 5} {
			go func() {
				turn, _ := g.Request(t.Context(), target, value)
				order <- target
				g.Release(turn)
			}()
		}
		synctest.Wait()
		g.RaisePriority("low", 9)
		g.Release(held)
		assert.Equal(t, <-order, coord.TargetID("low"))
		assert.Equal(t, <-order, coord.TargetID("high"))
	})
}

// TestLostTurnComesBack takes a turn back that its holder never returned.
func TestLostTurnComesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewIssuer(1000, time.Now)
		_, ok := g.Request(t.Context(), "lost", 1)
		assert.Assert(t, ok)
		began := time.Now()
		_, ok = g.Request(t.Context(), "next", 1)
		assert.Assert(t, ok)
		assert.Equal(t, time.Since(began).Round(10*time.Millisecond), holdTimeout)
	})
}

// TestGiverLost falls back to this VM's own share.
func TestGiverLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := &Coordinator{
			Self: "a", Local: NewIssuer(3, time.Now), Fallback: NewIssuer(1, time.Now),
			Peers: lostPeers{}, IssuerVM: func() coord.VMID { return "b" },
		}
		began := time.Now()
		for range 2 {
			done, ok, _ := turns.Acquire(t.Context(), "t", 1)
			assert.Assert(t, ok)
			done()
		}
		assert.Equal(t, time.Since(began).Round(10*time.Millisecond), time.Second)
	})
}
