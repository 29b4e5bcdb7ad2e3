package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// RateLimits knows which targets limit the rate of their requests.
type RateLimits interface {
	// Limit is a target's limit as far as this VM knows.
	Limit(target string) ratelimit.Limit
	// Limited lists the targets that have one.
	Limited() []string
}

// errRateLimited: the target was chosen before the VM that chose it knew of its limit.
var errRateLimited = errors.New("the target limits the rate of its requests")

const (
	// limitPropagation is the time in which the VM that is asked for targets hears of a limit.
	limitPropagation = 250 * time.Millisecond
	// grantLife is how long a verdict for a limited target may be acted on: verdicts that were held up
	// would arrive at the target together.
	grantLife = time.Second
)

// checkRate reports why a request must not be sent to a target on the present verdict for its rate, or
// nil.
func (x *exchange) checkRate(target string) error {
	v := &x.verdict
	if v.RateLimit.Stamp != 0 {
		if x.g.cfg.Now().Sub(v.DecidedAt) > grantLife {
			return errOldVerdict
		}
		return nil
	}
	limit := x.g.cfg.RateLimits.Limit(target)
	if limit.Stamp != 0 && v.DecidedAt.Before(limit.Since.Add(limitPropagation)) {
		return errRateLimited
	}
	return nil
}
