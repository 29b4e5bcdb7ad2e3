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
	// placementKey is the key under which the load that an owner reports for the adapter
	// is recorded.
	placementKey uint64
	idempotent   bool
	pickRoute    func(exclude []coord.TargetID) (router.Route, bool)
	// executor returns the executor that runs an attempt on a route.
	executor func(router.Route) forward.Executor
}

// maxAttempts bounds the attempts of one request. retryRoundDelay is the delay before
// the candidates are tried again after all of them were tried, since the owner of a
// target may be in the process of being replaced.
const (
	maxAttempts     = 8
	retryRoundDelay = 200 * time.Millisecond
)

// run runs the job, with retries, and returns the failure if no attempt succeeded. The
// outcome of the failure is OUTCOME_NOT_RUN only if no attempt can have run: an
// idempotent request may be retried after an attempt whose outcome is unknown.
func (c *call) run(ctx context.Context, j *job, sink *responseSink) *schema.Failure {
	failure, mayHaveRun := c.runAttempts(ctx, j, sink)
	if failure != nil && mayHaveRun && failure.Outcome == schema.Outcome_OUTCOME_NOT_RUN {
		failure.Outcome = schema.Outcome_OUTCOME_UNKNOWN
	}
	return failure
}

// runAttempts runs attempts until one succeeds or no retry is allowed. It does not
// retry once part of a response has been sent to the caller. mayHaveRun reports whether
// any attempt may have run.
func (c *call) runAttempts(ctx context.Context, j *job, sink *responseSink) (last *schema.Failure, mayHaveRun bool) {
	c.server.cfg.Retries.Deposit()
	var exclude []coord.TargetID
	for n := uint32(1); n <= maxAttempts; n++ {
		route, ok := j.pickRoute(exclude)
		if !ok && len(exclude) > 0 && isTransient(last) && wait.Sleep(ctx, retryRoundDelay) {
			exclude = exclude[:0]
			route, ok = j.pickRoute(exclude)
		}
		if !ok {
			return noTargetFailure(last), mayHaveRun
		}
		last = c.attempt(ctx, j, route, n, sink)
		mayHaveRun = mayHaveRun || (last != nil && last.Outcome != schema.Outcome_OUTCOME_NOT_RUN)
		if last == nil || sink.committed || !c.mayRetry(ctx, j, last) {
			return last, mayHaveRun
		}
		exclude = append(exclude, route.Target)
	}
	return last, mayHaveRun
}

// noTargetFailure returns the failure of a request for which no candidate is left: the
// failure of the last attempt, if there was one.
func noTargetFailure(last *schema.Failure) *schema.Failure {
	if last != nil {
		return last
	}
	return notRunFailure(forward.CodeNoTarget, http.StatusServiceUnavailable, time.Second, "no target may serve the request now")
}

// rejectedBeforeTarget reports whether a request was rejected, or the owner of its
// target was unreachable, before the target did any work for it. Since such an
// attempt adds no load to the targets, its retry does not count against the retry budget.
func rejectedBeforeTarget(code string) bool {
	switch code {
	case forward.CodeOwnerStarting, forward.CodeNotOwner, forward.CodeOwnerStopped, forward.CodeTargetLeaving, forward.CodeSlotsHeld, forward.CodeOwnerUnreachable:
		return true
	}
	return false
}

// isTransient reports whether the condition that caused a failure is expected to end
// shortly.
func isTransient(failure *schema.Failure) bool {
	if failure == nil {
		return false
	}
	switch failure.Code {
	case forward.CodeOwnerStarting, forward.CodeNotOwner, forward.CodeOwnerUnreachable, forward.CodeOwnerStopped, forward.CodeSlotsHeld:
		return true
	}
	return false
}

func (c *call) attempt(ctx context.Context, j *job, route router.Route, n uint32, sink *responseSink) *schema.Failure {
	f := j.forward
	f.Attempt = n
	f.Target = string(route.Target)
	deadline, _ := ctx.Deadline()
	f.TimeoutMs = time.Until(deadline).Milliseconds()
	if f.TimeoutMs <= 0 {
		return notRunFailure(forward.CodeTimeout, http.StatusGatewayTimeout, 0, "the deadline passed before an attempt")
	}
	result := j.executor(route).Execute(ctx, f, sink)
	c.server.cfg.Router.ObserveLoad(j.placementKey, result.Hint)
	c.recordTargetResult(route, result.Failure)
	if result.Failure != nil {
		c.log.WithField("target", f.Target).WithField("owner", string(route.Owner)).WithField("attempt", n).
			WithField("code", result.Failure.Code).Debug("attempt_failed")
	}
	return result.Failure
}

// recordTargetResult records a success, or a failure that the target caused. Other
// failures are not counted.
func (c *call) recordTargetResult(route router.Route, failure *schema.Failure) {
	served := failure == nil
	if !served && !countsAgainstTarget(failure.Code) {
		return
	}
	if c.server.cfg.Router.RecordResult(route.Target, served) {
		c.log.WithField("target", string(route.Target)).Warn("target_ejected")
	}
}

// countsAgainstTarget reports whether a failure counts towards ejecting the target.
func countsAgainstTarget(code string) bool {
	switch code {
	case forward.CodeTargetUnreachable, forward.CodeAnswerTruncated, forward.CodeWrongAdapter, forward.CodeOwnerUnreachable, "adapter_load_failed":
		return true
	}
	return false
}

// mayRetry reports whether another attempt is allowed and may succeed. It withdraws
// from the retry budget where the retry counts against it.
func (c *call) mayRetry(ctx context.Context, j *job, failure *schema.Failure) bool {
	if ctx.Err() != nil || !retryableElsewhere(failure.Code) {
		return false
	}
	if failure.Outcome != schema.Outcome_OUTCOME_NOT_RUN && !j.idempotent {
		return false
	}
	if !rejectedBeforeTarget(failure.Code) && !c.server.cfg.Retries.TryWithdraw() {
		return false
	}
	c.server.cfg.Metrics.Retries.Add(1)
	return true
}

// retryableElsewhere reports whether the request may succeed on another target.
func retryableElsewhere(code string) bool {
	switch code {
	case forward.CodeUnknownModel, forward.CodeTimeout, forward.CodeCancelled, forward.CodeBadRequest, forward.CodeWrongAdapter:
		return false
	}
	return true
}

// finish completes the call after run. On a failure, it writes an error response, or
// aborts the connection if part of a response has already been sent.
func (c *call) finish(failure *schema.Failure, sink *responseSink) {
	if failure == nil {
		sink.delimiter.End()
		return
	}
	if !sink.committed {
		c.fail(failure)
		return
	}
	c.server.cfg.Metrics.AnswersAborted.Add(1)
	c.server.cfg.Metrics.Refusals.Add(failure.Code, 1)
	if failure.Code == forward.CodeAnswerMismatch {
		c.server.cfg.Metrics.AnswersMismatched.Add(1)
	}
	c.log.WithField("code", failure.Code).WithField("detail", failure.Message).Warn("answer_aborted")
	sink.delimiter.Abort()
}
