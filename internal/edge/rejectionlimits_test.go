package edge

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// TestRejectionLimitsAreApartFromRateLimits checks that the two kinds of limit begin and end each by
// their own notices and reports.
func TestRejectionLimitsAreApartFromRateLimits(t *testing.T) {
	n, _ := rateLimitNode(t, true)
	n.rejectionLimits.observeAnswer("e", limitOf(6), nil)
	assert.Equal(t, n.rejectionLimits.Limit("e").PerSecond, 6.0)
	assert.Equal(t, len(n.rateLimits.Limited()), 0)

	n.limitsOf(schema.LimitKind_LIMIT_KIND_REQUESTS).handleReport("c", &schema.RateLimit{Target: "e", PerSecond: 2})
	assert.Equal(t, n.limitPair("e").rate.PerSecond, 2.0)
	assert.Equal(t, n.limitPair("e").rejections.PerSecond, 6.0)

	underRate := decisionUnder(n.rateLimits.Limit("e"))
	n.rejectionLimits.observeAnswer("e", fleet.RateLimit{}, underRate)
	assert.Equal(t, n.rejectionLimits.Limit("e").PerSecond, 6.0, "placed without a known rejection limit")
	underBoth := &gateway.Decision{DecidedBy: "a", RejectionLimit: n.rejectionLimits.Limit("e")}
	n.rejectionLimits.observeAnswer("e", fleet.RateLimit{}, underBoth)
	assert.Equal(t, len(n.rejectionLimits.Limited()), 0)
	assert.Equal(t, len(n.rateLimits.Limited()), 1)
}

// TestDisconnectedVMAvoidsBrittleServices checks that a VM without a leader chooses no target of a
// service of which one has announced that it is brittle.
func TestDisconnectedVMAvoidsBrittleServices(t *testing.T) {
	n, _ := rateLimitNode(t, false)
	lt := (*limitedTargets)(n)
	assert.Equal(t, len(lt.Limited("models")), 0)
	n.rejectionLimits.observeAnswer("of another service", limitOf(6), nil)
	assert.Equal(t, len(lt.Limited("models")), 0)
	n.rejectionLimits.observeAnswer("e", limitOf(6), nil)
	assert.DeepEqual(t, lt.Limited("models"), []string{"e"})
	assert.Equal(t, len(lt.Limited("other")), 0)
	assert.Equal(t, lt.Limit("e"), ratelimit.Limit{})
}
