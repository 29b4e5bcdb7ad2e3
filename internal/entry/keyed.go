package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/coord/outcome"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/records"
	"github.com/junctionfold/junctionfold/internal/wait"
	"github.com/junctionfold/junctionfold/schema"
)

// IdempotencyKeyHeader carries a caller's idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes bounds an idempotency key.
const maxKeyBytes = 255

// serve runs a job for the caller, guarded by its key when it has one.
func (c *call) serve(ctx context.Context, j *job) {
	key := c.r.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		c.failParam(refusal(forward.CodeBadRequest, http.StatusBadRequest, 0, "the key has more than 255 bytes"), IdempotencyKeyHeader)
		return
	}
	if key == "" || j.idempotent {
		sink := newSink(c.w, false)
		c.finish(c.run(ctx, j, sink), sink)
		return
	}
	c.serveKeyed(ctx, j, key)
}

// serveKeyed runs the job if no try with its key has run, else answers from the
// record of that try.
func (c *call) serveKeyed(ctx context.Context, j *job, key string) {
	f := j.forward
	for {
		run := c.door.cfg.Records.NewRun(c.caller(), key, []byte(f.Method), []byte(f.Path), f.Body)
		decision, prior := c.door.cfg.Records.Begin(ctx, &run)
		if decision == outcome.Run {
			c.runKeyed(ctx, j, run)
			return
		}
		c.door.cfg.Records.Finish(context.WithoutCancel(ctx), run, schema.Outcome_OUTCOME_NOT_RUN, nil)
		if decision != outcome.AwaitRun {
			c.answerPrior(decision, prior)
			return
		}
		if !c.runnerAlive(prior) || !wait.Sleep(ctx, records.JoinPollInterval) {
			c.answerPrior(outcome.RefuseUnknown, prior)
			return
		}
	}
}

// runnerAlive reports whether the VM that has the key's run open may still
// finish it. When it cannot, waiting for it would be in vain.
func (c *call) runnerAlive(open *outcome.Record) bool {
	if open == nil {
		return true
	}
	vm, incarnation := records.ParseRunID(open.Run)
	return c.door.cfg.Alive(vm, incarnation)
}

func (c *call) runKeyed(ctx context.Context, j *job, run records.Run) {
	sink := newSink(c.w, true)
	failure := c.run(ctx, j, sink)
	result, answer := schema.Outcome_OUTCOME_RAN, sink.kept()
	if failure != nil {
		result, answer = failure.Outcome, nil
	}
	c.door.cfg.Records.Finish(context.WithoutCancel(ctx), run, result, answer)
	c.finish(failure, sink)
}

// unknownRetry is when a caller may ask again for an outcome that is unknown.
const unknownRetry = 2 * time.Second

// answerPrior answers from what the holders know.
func (c *call) answerPrior(d outcome.Decision, prior *outcome.Record) {
	switch d {
	case outcome.Answer:
		c.replayRecord(prior)
	case outcome.RefuseMismatch:
		c.failParam(refusal(forward.CodeKeyReused, http.StatusUnprocessableEntity, 0,
			"the key was used for a different request"), IdempotencyKeyHeader)
	case outcome.RefuseFull:
		c.fail(refusal(forward.CodeRecordsFull, http.StatusServiceUnavailable, unknownRetry,
			"no room for another outcome record"))
	default:
		c.fail(unknown(prior))
	}
}

func unknown(prior *outcome.Record) *schema.Failure {
	message := "too few holders of outcome records can be reached to rule out an earlier run"
	if prior != nil {
		message = "an earlier try with this key may have run; its answer is not known"
	}
	return forward.Fail(forward.CodeOutcomeUnknown, http.StatusServiceUnavailable,
		schema.Outcome_OUTCOME_UNKNOWN, unknownRetry, message).Failure
}

func (c *call) replayRecord(prior *outcome.Record) {
	answer, err := records.DecodeAnswer(prior.Answer)
	if err != nil {
		c.fail(unknown(prior))
		return
	}
	c.door.cfg.Metrics.AnswersReplayed.Add(1)
	replay(c.w, answer)
}
