package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// limitedNode is a VM that paces requests if acting says so, else vm b does.
func limitedNode(t *testing.T, acting bool) (n *Node, now *time.Time) {
	n, now = aloneNode(t)
	n.rateLimits = newRateLimits(n)
	vm := coord.VMID("b")
	if acting {
		vm = "a"
	}
	n.acting.Store(&vm)
	return n, now
}

func named(perSecond float64) fleet.RateLimit {
	return fleet.RateLimit{Present: true, PerSecond: perSecond}
}

// placedBy is a verdict by a limit that vm a placed a request by.
func placedBy(l ratelimit.Limit) *gateway.Decision {
	return &gateway.Decision{DecidedBy: "a", RateLimit: l}
}

func TestRateLimitsOfOwnAnswers(t *testing.T) {
	n, _ := limitedNode(t, true)
	rl := n.rateLimits
	rl.heard("e", fleet.RateLimit{}, placedBy(ratelimit.Limit{}))
	rl.heard("e", named(fleet.InvalidRate), placedBy(ratelimit.Limit{}))
	assert.Equal(t, len(rl.Limited()), 0)
	rl.heard("e", named(2), nil)
	assert.Equal(t, rl.Limit("e").PerSecond, 2.0)
	rl.heard("e", named(5), nil)
	rl.heard("e", fleet.RateLimit{}, nil)
	rl.heard("e", named(fleet.InvalidRate), placedBy(rl.Limit("e")))
	assert.Equal(t, rl.Limit("e").PerSecond, 2.0, "nobody knows when those answers were made")
	rl.heard("e", named(5), placedBy(rl.Limit("e")))
	assert.Equal(t, rl.Limit("e").PerSecond, 5.0)
	rl.heard("e", fleet.RateLimit{}, placedBy(rl.Limit("e")))
	assert.Equal(t, len(rl.Limited()), 0)
}

// TestRateLimitsOfOtherVMs: who paces takes what others heard; the others take what it goes by.
func TestRateLimitsOfOtherVMs(t *testing.T) {
	for _, acting := range []bool{true, false} {
		n, _ := limitedNode(t, acting)
		rl := n.rateLimits
		rl.take("c", &schema.RateLimit{Target: "e", PerSecond: 2})
		assert.Equal(t, rl.Limit("e").PerSecond, 2.0)
		rl.take("c", &schema.RateLimit{Target: "e", PerSecond: 4, InForce: true})
		assert.Equal(t, rl.Limit("e").PerSecond, 2.0, "not of a VM that is asked")
		rl.take("b", &schema.RateLimit{Target: "e", PerSecond: 4, InForce: true})
		assert.Equal(t, rl.Limit("e").PerSecond == 4, !acting)
		rl.take("c", &schema.RateLimit{Target: "e", PerSecond: 8, Stamp: rl.Limit("e").Stamp})
		assert.Equal(t, rl.Limit("e").PerSecond, 8.0)
		rl.take("c", &schema.RateLimit{Target: "e", Ended: true, Stamp: rl.Limit("e").Stamp + 1})
		assert.Equal(t, rl.Limit("e").PerSecond, 8.0)
		rl.take("b", &schema.RateLimit{Target: "e", Ended: true, InForce: true})
		assert.Equal(t, len(rl.Limited()) == 0, !acting)
	}
}

// TestVMWithoutVerdictsSendsToALimitedTarget that held an adapter last.
func TestVMWithoutVerdictsSendsToALimitedTarget(t *testing.T) {
	n, now := limitedNode(t, false)
	r := &gateway.AdmitRequest{
		Service: "models", Route: &fleet.Route{}, Deadline: now.Add(time.Second), Request: &fleet.Request{Adapter: coord.AdapterRef{Model: "m"}},
	}
	assert.Equal(t, n.lastKnown(r).Target, "e")
	n.rateLimits.heard("e", named(1), nil)
	r.RateLimited = n.rateLimits.Limited()
	assert.Equal(t, n.lastKnown(r).Target, "")
}
