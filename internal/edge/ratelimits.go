package edge

import (
	"sync"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// rateLimits knows which targets limit the rate of their requests. Lock order: rateLimits.mu is taken
// alone.
type rateLimits struct {
	node *Node

	mu    sync.Mutex
	named map[string]float64
}

func newRateLimits(n *Node) *rateLimits {
	return &rateLimits{node: n, named: map[string]float64{}}
}

// heard takes what an answer to this VM says of its target's limit.
func (rl *rateLimits) heard(target string, limit fleet.RateLimit) {
	if !limit.Named || limit.PerSecond == fleet.UnreadableRate {
		return
	}
	rl.mu.Lock()
	before, known := rl.named[target]
	rl.named[target] = limit.PerSecond
	rl.mu.Unlock()
	if !known || before != limit.PerSecond {
		rl.node.log.RateLimitNamed(target, limit.PerSecond)
	}
}
