package edge

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// waiters holds the requests of one service that wait for decisions.
type waiters map[coord.RequestKey]chan *schema.Verdict

// add registers a waiting request and returns the channel that receives its decision.
func (w waiters) add(key coord.RequestKey) <-chan *schema.Verdict {
	decision := make(chan *schema.Verdict, 1)
	w[key] = decision
	return decision
}

// deliver sends a request its decision, with the target's address and limits added. It reports
// whether the request was waiting.
func (w waiters) deliver(key coord.RequestKey, targets map[string]*fleet.Target, limits limitPair, v *schema.Verdict) bool {
	decision := w[key]
	if decision == nil {
		return false
	}
	delete(w, key)
	if t := targets[v.Target]; t != nil {
		v.Address = t.Address
	}
	v.LimitPerSecond, v.LimitStamp = limits.rate.PerSecond, limits.rate.Stamp
	v.RejectionsPerSecond, v.RejectionLimitStamp = limits.rejections.PerSecond, limits.rejections.Stamp
	decision <- v
	return true
}

// awaitDecision waits for the decision on a request submitted at requestedAt. If the context ends
// first, it withdraws the request and returns a refusal.
func (n *Node) awaitDecision(ctx context.Context, requestedAt time.Time, decision <-chan *schema.Verdict, withdraw func()) *schema.Verdict {
	select {
	case v := <-decision:
		v.WaitedMs = n.now().Sub(requestedAt).Milliseconds()
		return v
	case <-ctx.Done():
		withdraw()
		return refusalMessage("verdict_timeout", noDecisionRetryDelay)
	}
}

// noDecisionRetryDelay is the retry delay of callers when no decision could be obtained.
const noDecisionRetryDelay = 300 * time.Millisecond

func refusalMessage(reason string, retryAfter time.Duration) *schema.Verdict {
	return &schema.Verdict{Reason: reason, RetryAfterMs: retryAfter.Milliseconds()}
}
