package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// maxAttempts bounds the attempts for one request, including those that were not run or not sent.
const maxAttempts = 4

// attemptTimeoutShare is the share of the latency objective after which an attempt that can be
// repeated elsewhere times out. The rest is left for another attempt.
const attemptTimeoutShare = 0.65

// attempt is the result of one attempt at a plain service.
type attempt struct {
	resp     *hop.Response
	body     []byte
	complete bool
	class    answer.Class
	// sent is set if the request may have reached the target.
	sent bool
	err  error
	// ctx bounds the attempt, and cancel ends it.
	ctx    context.Context
	cancel context.CancelFunc
	// decision and startedAt are reported with the end of the attempt; ended is set once it was.
	decision  Decision
	startedAt time.Time
	ended     bool
}

// mustRelay reports whether the end of the attempt is known only after its response was relayed.
func (a *attempt) mustRelay() bool {
	return a.err == nil && !a.complete && a.class == answer.Answered && a.resp.Status < http.StatusInternalServerError
}

// close ends the attempt and discards the unread part of the response.
func (a *attempt) close() {
	if a.resp != nil {
		a.resp.Close()
	}
	a.cancel()
}

// ran reports whether the target may have run the request.
func (a *attempt) ran() bool { return a.sent && (a.err != nil || a.class == answer.Answered) }

// servePlain serves a request for a service without models.
func (x *exchange) servePlain() {
	var exclude []string
	runs := 0
	var last *attempt
	var refusal Decision
	for len(exclude) < maxAttempts && x.ctx.Err() == nil {
		decision := x.pickPlainTarget(exclude, runs)
		if decision.Target == "" {
			refusal = decision
			break
		}
		if x.logEntry.Attempts > 0 && !x.tryAcquireRetry() {
			x.recordPlainEnding(decision, balance.Abandoned, 0)
			break
		}
		if last != nil {
			last.close()
		}
		last = x.tryPlain(decision, runs)
		exclude = append(exclude, decision.Target)
		if last.ran() {
			runs++
		}
		if !x.canRetry(last, runs) || x.isTooLateToSend() {
			break
		}
	}
	x.finishPlain(last, runs, refusal)
}

// pickPlainTarget returns a target, or the reason why there is none. The leader decides; if it is
// unresponsive, this VM chooses.
func (x *exchange) pickPlainTarget(exclude []string, runs int) Decision {
	admitStart := x.g.cfg.Now()
	r := &AdmitRequest{
		Service: x.service.Name, Plain: true, Team: x.teamName(), Cost: x.cost(runs), Request: &x.req, Route: x.route,
		Deadline: x.deadline, Content: x.digest, Exclude: exclude, BackedOff: x.g.backedOffTargets(),
		RateLimited: x.g.cfg.RateLimits.Limited(x.service.Name), SoftwareVersion: x.software,
	}
	if x.route.LatencyObjective > 0 {
		r.FirstEventDeadline = x.startedAt.Add(x.route.LatencyObjective - x.requestAge)
	}
	decision := x.g.cfg.Admission.Admit(x.ctx, r)
	x.logEntry.AdmitTime += x.g.cfg.Now().Sub(admitStart)
	x.logEntry.DecidedBy = decision.DecidedBy
	if decision.LocalChoice {
		x.pickLocally(&decision, slices.Concat(exclude, r.BackedOff, r.RateLimited))
	}
	if decision.LocalChoice && decision.Target != "" {
		x.g.cfg.Admission.ChosenLocally(r, decision)
	}
	return decision
}

// pickLocally chooses a target from the outcomes of this VM's own requests.
func (x *exchange) pickLocally(decision *Decision, exclude []string) {
	dir := x.g.cfg.Directory.Directory()
	var candidates []balance.Target
	for _, t := range dir.TargetsOf(x.service.Name) {
		if t.State == fleet.TargetReady && t.Runs(x.software) {
			candidates = append(candidates, balance.Target{ID: t.ID, SameZone: t.Zone == x.g.cfg.Zone})
		}
	}
	decision.DecidedBy, decision.StoreCopy = x.g.cfg.VM, x.storeCopy()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if decision.Target = x.g.balancer.Pick(x.g.cfg.Now(), candidates, exclude); decision.Target == "" {
		decision.Reason, decision.RetryAfter = "no_target", noTargetRetryDelay
		return
	}
	t := dir.Targets[decision.Target]
	decision.Address, decision.SoftwareVersion = t.Address, t.SoftwareVersion
}

// recordPlainEnding reports the end of an attempt to the VM that chose the target and records it in
// this VM's own balancer.
func (x *exchange) recordPlainEnding(decision Decision, ending balance.Ending, duration time.Duration) {
	x.g.cfg.Admission.DonePlain(decision, ending, duration)
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if !decision.LocalChoice {
		x.g.balancer.ObserveRemote(x.g.cfg.Now(), decision.Target, ending, duration)
		return
	}
	x.g.balancer.Done(x.g.cfg.Now(), decision.Target, ending, duration)
}

// tryPlain makes one attempt and reads the whole response if it is short.
func (x *exchange) tryPlain(decision Decision, runs int) *attempt {
	timeout := x.remaining()
	if x.canRunAgain(runs + 1) {
		timeout = min(timeout, time.Duration(attemptTimeoutShare*float64(x.route.LatencyObjective)))
	}
	ctx, cancel := context.WithTimeout(x.ctx, timeout)
	a := &attempt{sent: true, ctx: ctx, cancel: cancel, decision: decision, startedAt: x.g.cfg.Now()}
	x.setDecision(decision)
	a.resp, a.err = x.send(ctx, destination{target: decision.Target, address: decision.Address, priority: noPriority})
	if a.err == nil {
		a.class = x.classify(a.resp)
		a.body, a.complete, a.err = readBuffered(a.resp)
		if a.class != answer.Answered {
			a.err = nil // the head alone states that the request was not run
		}
	} else {
		a.sent = !hop.NotSent(a.err)
	}
	if !a.mustRelay() {
		x.recordPlainAttempt(a)
	}
	return a
}

// recordPlainAttempt reports and logs the end of an attempt, unless that was done before.
func (x *exchange) recordPlainAttempt(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	duration := x.g.cfg.Now().Sub(a.startedAt)
	ending := x.plainEnding(a)
	x.recordPlainEnding(a.decision, ending, duration)
	if ending != balance.OK && ending != balance.Unverified {
		x.logPlainFailure(a.decision, ending, a, duration)
	}
}

func (x *exchange) logPlainFailure(decision Decision, ending balance.Ending, a *attempt, duration time.Duration) {
	entry := events.Attempt{ID: x.req.ID, Target: decision.Target, DecidedBy: decision.DecidedBy, Class: ending.String(), Took: duration, Sent: x.logEntry.Sent, Err: a.err}
	if a.resp != nil {
		entry.Status = a.resp.Status
	}
	x.g.cfg.Log.AttemptFailed(entry)
}

// canRunAgain reports whether an attempt that times out can be repeated, given the number of runs
// including it. Without a latency objective there is no separate timeout for an attempt.
func (x *exchange) canRunAgain(runs int) bool {
	return x.route.Kind == fleet.Idempotent && runs < x.route.MaxAttempts && x.route.LatencyObjective > 0
}

func (x *exchange) plainEnding(a *attempt) balance.Ending {
	switch {
	case x.callerLeft() || errors.Is(a.err, errCallerLeft) || x.isEndedByStop():
		return balance.Abandoned
	case errors.IsAny(a.err, hop.ErrWithdrawn, hop.ErrNoPath, hop.ErrRelayLost, hop.ErrUnacknowledged, hop.ErrSilence):
		return balance.Abandoned
	case errors.Is(a.err, hop.ErrNoConnection):
		return balance.NoConnection
	case !a.sent:
		return balance.Unreachable
	case errors.Is(a.err, answer.ErrInvalid):
		return balance.ErrorResponse // the path to the target works
	case a.err != nil && a.ctx.Err() != nil:
		return balance.TimedOut
	case a.err != nil && x.isDisconnect(a.err):
		return balance.Disconnected
	case a.err != nil:
		return balance.Failed
	case a.class == answer.Busy:
		return balance.Busy
	case a.class == answer.Misrouted:
		return balance.Unreachable
	case a.resp.Status >= http.StatusInternalServerError:
		return balance.ErrorResponse
	case a.resp.CloseDelimited:
		return balance.Unverified
	}
	return balance.OK
}

// canRetry reports whether another attempt may help: the request has not run, or it failed and may
// run again.
func (x *exchange) canRetry(a *attempt, runs int) bool {
	if x.callerLeft() {
		return false
	}
	if !a.ran() {
		return true
	}
	failed := a.err != nil || a.resp.Status >= http.StatusInternalServerError
	return failed && x.route.Kind == fleet.Idempotent && runs < x.route.MaxAttempts
}

// finishPlain responds with the result of the last attempt. A request that may have run in an
// earlier attempt is not refused.
func (x *exchange) finishPlain(a *attempt, runs int, refusal Decision) {
	if a != nil {
		defer a.close()
	}
	switch {
	case x.callerLeft():
		if a != nil {
			x.recordPlainAttempt(a)
		}
		x.recordOutcome("abandoned", 0, "caller_left", x.r.Context().Err())
		x.delimiter.Abort()
	case a == nil && refusal.Reason != "":
		x.refuseByDecision(refusal, refusal.Reason)
	case a == nil:
		x.refuseByDecision(Decision{RetryAfter: noTargetRetryDelay}, "no_target")
	case !a.ran() && runs == 0:
		x.refuseByDecision(Decision{RetryAfter: max(busyRetryDelay, refusal.RetryAfter)}, "not_run")
	case !a.ran():
		x.fail("not_run_again", a.err)
	case a.err != nil:
		x.fail("target_failed", a.err)
	case a.complete:
		x.writeBuffered(a.resp, a.body)
	default:
		x.relayUnbuffered(a)
	}
}

// noTargetRetryDelay is the retry delay if a service has no target.
const noTargetRetryDelay = 300 * time.Millisecond

// relayUnbuffered relays a response that is too long to be buffered.
func (x *exchange) relayUnbuffered(a *attempt) {
	a.err = x.relay(a.resp, a.body)
	x.recordPlainAttempt(a)
	x.recordUnbuffered(a.resp, a.err)
}

// recordUnbuffered records the outcome of a response that was too long to be buffered, and ends the
// caller's connection if it is not complete.
func (x *exchange) recordUnbuffered(resp *hop.Response, err error) {
	switch {
	case err == nil:
		x.recordOutcome("ok", resp.Status, "", nil)
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		x.recordOutcome("abandoned", resp.Status, "caller_left", err)
		x.delimiter.Abort()
	default:
		x.recordOutcome("cut", resp.Status, "answer_cut", err)
		x.delimiter.Abort()
	}
}
