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

// IdempotencyKeyHeader is the request header that carries an idempotency key.
const IdempotencyKeyHeader = "Idempotency-Key"

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 255

// serve runs a job and writes its response. A request with an idempotency key runs at
// most once per key, unless its method is idempotent.
func (c *call) serve(ctx context.Context, j *job) {
	key := c.r.Header.Get(IdempotencyKeyHeader)
	if len(key) > maxKeyBytes {
		c.failParam(notRunFailure(forward.CodeBadRequest, http.StatusBadRequest, 0, "the key has more than 255 bytes"), IdempotencyKeyHeader)
		return
	}
	if key == "" || j.idempotent {
		sink := newSink(c.w, c.r, false)
		c.finish(c.run(ctx, j, sink), sink)
		return
	}
	c.serveKeyed(ctx, j, key)
}

// serveKeyed runs the job if no earlier request with its key has run, and otherwise
// responds from the record of the earlier request. While an earlier request is still
// running, it polls for the outcome.
func (c *call) serveKeyed(ctx context.Context, j *job, key string) {
	f := j.forward
	for {
		run := c.server.cfg.Records.NewRun(c.callerID(), key, []byte(f.Method), []byte(f.Path), f.Body)
		decision, prior := c.server.cfg.Records.Begin(ctx, &run)
		if decision == outcome.Run {
			c.runKeyed(ctx, j, run)
			return
		}
		c.server.cfg.Records.Finish(context.WithoutCancel(ctx), run, schema.Outcome_OUTCOME_NOT_RUN, nil)
		if decision != outcome.AwaitRun {
			c.respondWithoutRun(decision, prior)
			return
		}
		if !c.runnerAlive(prior) || !wait.Sleep(ctx, records.JoinPollInterval) {
			c.respondWithoutRun(outcome.RefuseUnknown, prior)
			return
		}
	}
}

// runnerAlive reports whether the VM that runs the earlier request may still finish
// it. If it cannot, there is no outcome to wait for.
func (c *call) runnerAlive(prior *outcome.Record) bool {
	if prior == nil {
		return true
	}
	vm, incarnation := records.ParseRunID(prior.Run)
	return c.server.cfg.Alive(vm, incarnation)
}

func (c *call) runKeyed(ctx context.Context, j *job, run records.Run) {
	sink := newSink(c.w, c.r, true)
	failure := c.run(ctx, j, sink)
	result, answer := schema.Outcome_OUTCOME_RAN, sink.storedAnswer()
	if failure != nil {
		result, answer = failure.Outcome, nil
	}
	c.server.cfg.Records.Finish(context.WithoutCancel(ctx), run, result, answer)
	c.finish(failure, sink)
}

// outcomeRetryDelay is the retry delay reported to a caller whose outcome is unknown
// or cannot be recorded.
const outcomeRetryDelay = 2 * time.Second

// respondWithoutRun responds to a keyed request that must not run, by the decision of
// the holders of outcome records.
func (c *call) respondWithoutRun(decision outcome.Decision, prior *outcome.Record) {
	switch decision {
	case outcome.Answer:
		c.replayRecord(prior)
	case outcome.RefuseMismatch:
		c.failParam(notRunFailure(forward.CodeKeyReused, http.StatusUnprocessableEntity, 0,
			"the key was used for a different request"), IdempotencyKeyHeader)
	case outcome.RefuseFull:
		c.fail(notRunFailure(forward.CodeRecordsFull, http.StatusServiceUnavailable, outcomeRetryDelay,
			"no room for another outcome record"))
	default:
		c.fail(unknownOutcomeFailure(prior))
	}
}

func unknownOutcomeFailure(prior *outcome.Record) *schema.Failure {
	message := "too few holders of outcome records can be reached to rule out an earlier run"
	if prior != nil {
		message = "an earlier try with this key may have run; its answer is not known"
	}
	return forward.FailedResult(forward.CodeOutcomeUnknown, http.StatusServiceUnavailable,
		schema.Outcome_OUTCOME_UNKNOWN, outcomeRetryDelay, message).Failure
}

func (c *call) replayRecord(prior *outcome.Record) {
	answer, err := records.DecodeAnswer(prior.Answer)
	if err != nil {
		c.fail(unknownOutcomeFailure(prior))
		return
	}
	c.server.cfg.Metrics.AnswersReplayed.Add(1)
	replay(c.w, answer)
}
