package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// questionTimeout bounds an engine's answer to a question. Engines answer within milliseconds.
const questionTimeout = 500 * time.Millisecond

// maxProbeTime is the longest time that a probe takes unless this VM does not run.
const maxProbeTime = time.Second

// probeLoop probes targets, one at a time, while there are broken paths, until the context ends.
func (r *reachability) probeLoop(ctx context.Context) {
	for {
		if _, ok := r.node.waitForTick(ctx); !ok {
			return
		}
		r.checkSilence()
		r.probe(ctx)
		r.excuseProbe()
	}
}

// probe probes the next target if a probe is due.
func (r *reachability) probe(ctx context.Context) {
	r.mu.Lock()
	id, due := r.table.NextProbe(r.node.now())
	asks := r.table.AsksQuestions()
	r.mu.Unlock()
	switch {
	case !due:
	case asks:
		r.ask(ctx, id)
	default:
		r.connect(ctx, id)
	}
}

// ask asks an engine for its report, and records whether it answered.
func (r *reachability) ask(ctx context.Context, id string) {
	target := r.node.feed.Directory().Targets[id]
	if target == nil {
		return // removed meanwhile
	}
	askCtx, cancel := context.WithTimeout(ctx, questionTimeout)
	defer cancel()
	report, err := r.node.platform.Engines.Report(askCtx, id, target.Address)
	r.node.handleNotice(id, report.Notice, nil)
	r.excuseProbe()
	if isAnswered(err) {
		r.node.pool.RecordHeard()
	}
	if ctx.Err() != nil {
		return
	}
	now := r.node.now()
	r.checkSilence()
	r.mu.Lock()
	change := r.table.RecordQuestion(now, id, isAnswered(err))
	r.mu.Unlock()
	r.handle(change)
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
