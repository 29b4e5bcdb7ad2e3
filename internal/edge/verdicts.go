package edge

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// waiters are the requests that wait for verdicts of one service.
type waiters map[coord.RequestKey]chan *schema.Verdict

// add lets a request wait.
func (w waiters) add(key coord.RequestKey) <-chan *schema.Verdict {
	verdict := make(chan *schema.Verdict, 1)
	w[key] = verdict
	return verdict
}

// answer gives a request its verdict, with the target's address and limit. It reports whether the request
// was waiting.
func (w waiters) answer(key coord.RequestKey, targets map[string]*fleet.Target, limit ratelimit.Limit, v *schema.Verdict) bool {
	verdict := w[key]
	if verdict == nil {
		return false
	}
	delete(w, key)
	if t := targets[v.Target]; t != nil {
		v.Address = t.Address
	}
	v.LimitPerSecond, v.LimitStamp = limit.PerSecond, limit.Stamp
	verdict <- v
	return true
}

// awaitVerdict waits for the verdict on a request of the given time. When the context ends
// first, the request is withdrawn.
func (n *Node) awaitVerdict(ctx context.Context, asked time.Time, verdict <-chan *schema.Verdict, withdraw func()) *schema.Verdict {
	select {
	case v := <-verdict:
		v.WaitedMs = n.now().Sub(asked).Milliseconds()
		return v
	case <-ctx.Done():
		withdraw()
		return refusal("verdict_timeout", unknownPause)
	}
}

// unknownPause is when to come back if no verdict could be had.
const unknownPause = 300 * time.Millisecond

func refusal(reason string, retry time.Duration) *schema.Verdict {
	return &schema.Verdict{Reason: reason, RetryAfterMs: retry.Milliseconds()}
}
