package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/router"
	"github.com/junctionfold/junctionfold/internal/wait"
	"github.com/junctionfold/junctionfold/schema"
)

// job is a request ready to run.
type job struct {
	forward *schema.Forward
	// key is the placement key, for what answers tell of the adapter.
	key        uint64
	idempotent bool
	pick       func(avoid []coord.TargetID) (router.Route, bool)
	// executor runs an attempt on a route.
	executor func(router.Route) forward.Executor
}

// maxAttempts bounds the attempts of one request, rounds the passes over the
// candidates: a target whose owner is being replaced is tried again.
const (
	maxAttempts = 8
	roundPause  = 200 * time.Millisecond
)

// run tries the job until it is answered or given up. A failure says not run only
// if no attempt can have run: an idempotent request may have been tried again
// after one whose outcome is not known.
func (c *call) run(ctx context.Context, j *job, sink *answerSink) *schema.Failure {
	f, mayHaveRun := c.tryAll(ctx, j, sink)
	if f != nil && mayHaveRun && f.Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		f.Outcome = schema.Outcome_OUTCOME_UNKNOWN
	}
	return f
}

// tryAll makes the attempts. Once part of the answer has gone to the caller there
// is no other one.
func (c *call) tryAll(ctx context.Context, j *job, sink *answerSink) (last *schema.Failure, mayHaveRun bool) {
	c.door.cfg.Retries.Deposit()
	var avoid []coord.TargetID
	for n := uint32(1); n <= maxAttempts; n++ {
		route, ok := j.pick(avoid)
		if !ok && len(avoid) > 0 && passing(last) && wait.Sleep(ctx, roundPause) {
			avoid = avoid[:0]
			route, ok = j.pick(avoid)
		}
		if !ok {
			return noTarget(last), mayHaveRun
		}
		last = c.attempt(ctx, j, route, n, sink)
		mayHaveRun = mayHaveRun || (last != nil && last.Outcome != schema.Outcome_OUTCOME_NOT_RUN)
		if last == nil || sink.committed || !c.mayRetry(ctx, j, last) {
			return last, mayHaveRun
		}
		avoid = append(avoid, route.Target)
	}
	return last, mayHaveRun
}

// noTarget is the failure of a request that no candidate is left for.
func noTarget(last *schema.Failure) *schema.Failure {
	if last != nil {
		return last
	}
	return refusal(forward.CodeNoTarget, http.StatusServiceUnavailable, time.Second, "no target may serve the request now")
}

// rerouted reports whether a request was turned away, or its owner not reached,
// before its target had any work with it. Such an attempt adds nothing to the
// targets' load, so it does not count against the budget of retries.
func rerouted(code string) bool {
	switch code {
	case forward.CodeOwnerStarting, forward.CodeNotOwner, forward.CodeOwnerStopped, forward.CodeTargetLeaving, forward.CodeSlotsHeld, forward.CodeOwnerUnreachable:
		return true
	}
	return false
}

// passing reports whether a failure goes away by itself within moments.
func passing(f *schema.Failure) bool {
	if f == nil {
		return false
	}
	switch f.Code {
	case forward.CodeOwnerStarting, forward.CodeNotOwner, forward.CodeOwnerUnreachable, forward.CodeOwnerStopped, forward.CodeSlotsHeld:
		return true
	}
	return false
}

func (c *call) attempt(ctx context.Context, j *job, route router.Route, n uint32, sink *answerSink) *schema.Failure {
	f := j.forward
	f.Attempt = n
	f.Target = string(route.Target)
	deadline, _ := ctx.Deadline()
	f.TimeoutMs = time.Until(deadline).Milliseconds()
	if f.TimeoutMs <= 0 {
		return refusal(forward.CodeTimeout, http.StatusGatewayTimeout, 0, "the deadline passed before an attempt")
	}
	result := j.executor(route).Execute(ctx, f, sink)
	c.door.cfg.Router.ObserveLoad(j.key, result.Hint)
	c.noteTarget(route, result.Failure)
	if result.Failure != nil {
		c.log.WithField("target", f.Target).WithField("owner", string(route.Owner)).WithField("attempt", n).
			WithField("code", result.Failure.Code).Debug("attempt_failed")
	}
	return result.Failure
}

// noteTarget counts what speaks for or against the target itself.
func (c *call) noteTarget(route router.Route, f *schema.Failure) {
	served := f == nil
	if !served && !blames(f.Code) {
		return
	}
	if c.door.cfg.Router.RecordResult(route.Target, served) {
		c.log.WithField("target", string(route.Target)).Warn("target_ejected")
	}
}

// blames reports whether a failure speaks against the target.
func blames(code string) bool {
	switch code {
	case forward.CodeTargetUnreachable, forward.CodeAnswerTruncated, forward.CodeWrongAdapter, forward.CodeOwnerUnreachable, "adapter_load_failed":
		return true
	}
	return false
}

// mayRetry reports whether another attempt is allowed and useful.
func (c *call) mayRetry(ctx context.Context, j *job, f *schema.Failure) bool {
	if ctx.Err() != nil || !useful(f.Code) {
		return false
	}
	if f.Outcome != schema.Outcome_OUTCOME_NOT_RUN && !j.idempotent {
		return false
	}
	if !rerouted(f.Code) && !c.door.cfg.Retries.TryWithdraw() {
		return false
	}
	c.door.cfg.Metrics.Retries.Add(1)
	return true
}

// useful reports whether another target may answer what this one did not.
func useful(code string) bool {
	switch code {
	case forward.CodeUnknownModel, forward.CodeTimeout, forward.CodeCancelled, forward.CodeBadRequest, forward.CodeWrongAdapter:
		return false
	}
	return true
}

// finish ends the call after run: nothing is left to say, or the error is
// answered, or the connection is aborted.
func (c *call) finish(f *schema.Failure, sink *answerSink) {
	if f == nil {
		return
	}
	if !sink.committed {
		c.fail(f)
		return
	}
	c.door.cfg.Metrics.AnswersAborted.Add(1)
	c.door.cfg.Metrics.Refusals.Add(f.Code, 1)
	if f.Code == forward.CodeAnswerMismatch {
		c.door.cfg.Metrics.AnswersMismatched.Add(1)
	}
	c.log.WithField("code", f.Code).WithField("detail", f.Message).Warn("answer_aborted")
	panic(http.ErrAbortHandler)
}
