package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// RateLimits reports which targets only the leader may choose.
type RateLimits interface {
	// Limit returns a target's rate limit as far as this VM knows.
	Limit(target string) ratelimit.Limit
	// Limited lists the targets of a service that have a rate limit, and all of a service that has
	// brittle ones.
	Limited(service string) []string
}

// errRateLimited means that the target was chosen by a VM that did not know of its rate limit yet.
var errRateLimited = errors.New("the target limits the rate of its requests")

const (
	// limitPropagation is the time within which the leader learns of a rate limit.
	limitPropagation = 250 * time.Millisecond
	// maxGrantAge is how long a decision for a rate-limited target may be used. Requests of delayed
	// decisions would reach the target in a burst.
	maxGrantAge = time.Second
)

// checkRateLimit returns an error if the target's rate limit forbids sending the request on the
// current decision.
func (x *exchange) checkRateLimit(target string) error {
	return x.g.checkRateLimit(target, x.placement())
}

// checkRateLimit returns an error if the target's rate limit forbids sending a request on the
// decision that p describes.
func (g *Gateway) checkRateLimit(target string, p hop.Placement) error {
	if p.Paced {
		if g.cfg.Now().Sub(p.DecidedAt) > maxGrantAge {
			return errStaleDecision
		}
		return nil
	}
	limit := g.cfg.RateLimits.Limit(target)
	if limit.Stamp != 0 && p.DecidedAt.Before(limit.Since.Add(limitPropagation)) {
		return errRateLimited
	}
	return nil
}
