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

// rateLimitNode returns a VM that is the leader if leading is set; otherwise VM b is the leader.
func rateLimitNode(t *testing.T, leading bool) (n *Node, now *time.Time) {
	n, now = disconnectedNode(t)
	n.rateLimits, n.rejectionLimits = newRateLimits(n), newRejectionLimits(n)
	vm := coord.VMID("b")
	if leading {
		vm = "a"
	}
	n.leader.Store(&vm)
	return n, now
}

func limitOf(perSecond float64) fleet.RateLimit {
	return fleet.RateLimit{Present: true, PerSecond: perSecond}
}

// decisionUnder returns a decision of VM a that was made under the given limit.
func decisionUnder(l ratelimit.Limit) *gateway.Decision {
	return &gateway.Decision{DecidedBy: "a", RateLimit: l}
}

func TestRateLimitsFromOwnAnswers(t *testing.T) {
	n, _ := rateLimitNode(t, true)
	rl := n.rateLimits
	rl.observeAnswer("e", fleet.RateLimit{}, decisionUnder(ratelimit.Limit{}))
	rl.observeAnswer("e", limitOf(fleet.InvalidRate), decisionUnder(ratelimit.Limit{}))
	assert.Equal(t, len(rl.Limited()), 0)
	rl.observeAnswer("e", limitOf(2), nil)
	assert.Equal(t, rl.Limit("e").PerSecond, 2.0)
	rl.observeAnswer("e", limitOf(5), nil)
	rl.observeAnswer("e", fleet.RateLimit{}, nil)
	rl.observeAnswer("e", limitOf(fleet.InvalidRate), decisionUnder(rl.Limit("e")))
	assert.Equal(t, rl.Limit("e").PerSecond, 2.0, "the order of those answers is unknown")
	rl.observeAnswer("e", limitOf(5), decisionUnder(rl.Limit("e")))
	assert.Equal(t, rl.Limit("e").PerSecond, 5.0)
	rl.observeAnswer("e", fleet.RateLimit{}, decisionUnder(rl.Limit("e")))
	assert.Equal(t, len(rl.Limited()), 0)
}

// TestRateLimitsFromOtherVMs checks that the leader applies the limits that other VMs report, and
// that other VMs apply the limits that the leader has in force.
func TestRateLimitsFromOtherVMs(t *testing.T) {
	for _, leading := range []bool{true, false} {
		n, _ := rateLimitNode(t, leading)
		rl := n.rateLimits
		rl.handleReport("c", &schema.RateLimit{Target: "e", PerSecond: 2})
		assert.Equal(t, rl.Limit("e").PerSecond, 2.0)
		rl.handleReport("c", &schema.RateLimit{Target: "e", PerSecond: 4, InForce: true})
		assert.Equal(t, rl.Limit("e").PerSecond, 2.0, "not sent by the leader")
		rl.handleReport("b", &schema.RateLimit{Target: "e", PerSecond: 4, InForce: true})
		assert.Equal(t, rl.Limit("e").PerSecond == 4, !leading)
		rl.handleReport("c", &schema.RateLimit{Target: "e", PerSecond: 8, Stamp: rl.Limit("e").Stamp})
		assert.Equal(t, rl.Limit("e").PerSecond, 8.0)
		rl.handleReport("c", &schema.RateLimit{Target: "e", Ended: true, Stamp: rl.Limit("e").Stamp + 1})
		assert.Equal(t, rl.Limit("e").PerSecond, 8.0)
		rl.handleReport("b", &schema.RateLimit{Target: "e", Ended: true, InForce: true})
		assert.Equal(t, len(rl.Limited()) == 0, !leading)
	}
}

// TestDisconnectedVMAvoidsRateLimitedTargets checks that a VM without a leader does not send to a
// rate-limited target, even if it holds the requested model.
func TestDisconnectedVMAvoidsRateLimitedTargets(t *testing.T) {
	n, now := rateLimitNode(t, false)
	r := &gateway.AdmitRequest{
		Service: "models", Route: &fleet.Route{}, Deadline: now.Add(time.Second), Request: &fleet.Request{Adapter: coord.AdapterRef{Model: "m"}},
	}
	assert.Equal(t, n.chooseKnownTarget(r).Target, "e")
	n.rateLimits.observeAnswer("e", limitOf(1), nil)
	r.RateLimited = n.rateLimits.Limited()
	assert.Equal(t, n.chooseKnownTarget(r).Target, "")
}
