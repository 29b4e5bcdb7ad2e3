package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// probeLoop probes targets, one at a time, while there are broken paths, until the context ends.
func (r *reachability) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.probe(ctx)
	}
}

// probe probes the next target if a probe is due.
func (r *reachability) probe(ctx context.Context) {
	r.mu.Lock()
	id, due := r.table.NextProbe(r.node.now())
	r.mu.Unlock()
	if !due {
		return
	}
	r.connect(ctx, id)
}

// connect makes a connection to a target, without a request, and records the result.
func (r *reachability) connect(ctx context.Context, id string) {
	target := r.node.feed.Directory().Targets[id]
	if target == nil {
		return // removed meanwhile
	}
	err := r.node.pool.Probe(ctx, id, target.Address)
	if !errors.Is(ctx.Err(), context.Canceled) {
		r.recordDial(id, err)
	}
}
