package gateway

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// serveModel serves a request for a model or an adapter: the scheduler chooses a target, and the
// request is sent there.
func (x *exchange) serveModel() {
	for attempts := 1; ; attempts++ {
		admitStart := x.g.cfg.Now()
		decision := x.g.cfg.Admission.Admit(x.ctx, &AdmitRequest{
			Service: x.service.Name, Team: x.teamName(), Cost: x.cost(x.runs), Request: &x.req, Route: x.route,
			Deadline: x.deadline, FirstEventDeadline: x.firstEventDeadline(admitStart), Age: x.requestAge, Content: x.digest, Exclude: x.exclude,
			BackedOff: x.g.backedOffTargets(), RateLimited: x.g.cfg.RateLimits.Limited(x.service.Name), SoftwareVersion: x.software,
		})
		x.logEntry.AdmitTime += x.g.cfg.Now().Sub(admitStart)
		x.logEntry.DecidedBy = decision.DecidedBy
		if x.callerLeft() {
			x.g.cfg.Admission.Done(decision, scheduler.EndedAbandoned)
			x.recordOutcome("abandoned", 0, "caller_left", nil)
			x.delimiter.Abort()
		}
		if decision.Target == "" {
			x.giveUp(decision, decision.Reason)
			return
		}
		if x.logEntry.Attempts > 0 && !x.tryAcquireRetry() {
			x.g.cfg.Admission.Done(decision, scheduler.EndedAbandoned)
			x.giveUp(Decision{RetryAfter: busyRetryDelay}, "not_run")
			return
		}
		if !x.tryModel(decision) {
			return
		}
		if attempts >= maxAttempts || x.isTooLateToSend() {
			x.giveUp(Decision{RetryAfter: busyRetryDelay}, "not_run")
			return
		}
	}
}

// setDecision sets the decision for the next attempt.
func (x *exchange) setDecision(decision Decision) {
	x.decision, x.sentSoftware = decision, ""
	x.logEntry.Sent = events.SendInfo{PlacementCopy: decision.StoreCopy, DecisionDelay: decision.NetworkDelay, RateLimit: decision.RateLimit.PerSecond}
}

// firstEventDeadline returns when the caller gives up if no event arrives. A caller that has
// received a part of the stream waits from the last event, which is taken to have arrived at now.
func (x *exchange) firstEventDeadline(now time.Time) time.Time {
	since := x.startedAt
	if x.stream.header != nil {
		since = now
	}
	if timeout := x.route.IdleTimeout; timeout > 0 && since.Add(timeout).Before(x.deadline) {
		return since.Add(timeout)
	}
	return x.deadline
}

// tryModel makes one attempt. It returns true if another attempt should follow: the request was not
// run, or its stream can be resumed.
func (x *exchange) tryModel(decision Decision) (retry bool) {
	sentAt := x.g.cfg.Now()
	x.setDecision(decision)
	if err := x.checkIncarnation(); err != nil {
		return x.handleModelError(decision, err)
	}
	resp, err := x.send(x.ctx, destination{
		target: decision.Target, address: decision.Address, adapterVersion: decision.AdapterVersion,
		priority: decision.Priority, lastEventID: x.stream.lastEventID,
	})
	if err != nil {
		return x.handleModelError(decision, err)
	}
	defer resp.Close()
	switch x.classify(resp) {
	case answer.Busy:
		x.recordNotRun(decision, scheduler.EndedBusy, resp.Status, nil)
		return true
	case answer.Misrouted:
		x.recordNotRun(decision, scheduler.EndedMisrouted, resp.Status, nil)
		return true
	}
	return x.relayModel(decision, resp, sentAt)
}

func (x *exchange) recordNotRun(decision Decision, ending scheduler.Ending, status int, err error) {
	x.g.cfg.Metrics.NotRun.Add(ending.String(), 1)
	x.recordFailedAttempt(decision, ending, status, err)
}

// recordFailedAttempt reports and logs the end of an attempt after which another one may follow.
// The next attempt excludes the target unless the decision was merely stale, or this VM has no path.
func (x *exchange) recordFailedAttempt(decision Decision, ending scheduler.Ending, status int, err error) {
	if !errors.IsAny(err, errStaleDecision, errOutdatedVersion, hop.ErrNoPath) {
		x.exclude = append(x.exclude, decision.Target)
	}
	x.g.cfg.Admission.Done(decision, ending)
	x.g.cfg.Log.AttemptFailed(events.Attempt{
		ID: x.req.ID, Target: decision.Target, DecidedBy: decision.DecidedBy, Adapter: x.req.Adapter.String(),
		Class: ending.String(), Status: status, Sent: x.logEntry.Sent, Err: err,
	})
}

func (x *exchange) handleModelError(decision Decision, err error) (retry bool) {
	switch {
	case x.callerLeft():
		x.g.cfg.Admission.Done(decision, scheduler.EndedAbandoned)
		x.recordOutcome("abandoned", 0, "caller_left", err)
		x.delimiter.Abort()
	case errors.IsAny(err, hop.ErrWithdrawn, hop.ErrNoPath):
		x.recordNotRun(decision, scheduler.EndedWithdrawn, 0, err)
		return true
	case errors.Is(err, hop.ErrNoConnection):
		x.recordNotRun(decision, scheduler.EndedNoConnection, 0, err)
		return true
	case errors.Is(err, hop.ErrUnreachable):
		x.recordNotRun(decision, scheduler.EndedUnreachable, 0, err)
		return true
	}
	x.runs++
	if x.canResume(err) {
		x.recordResume(decision, err)
		return true
	}
	x.g.cfg.Admission.Done(decision, x.failureEnding(err))
	if x.stream.header != nil {
		x.recordOutcome("cut", http.StatusOK, "stream_cut", err)
		x.delimiter.Abort()
	}
	x.fail("target_failed", err)
	return false
}

// successEnding returns the ending of a response without a failure.
func successEnding(resp *hop.Response) scheduler.Ending {
	if resp.CloseDelimited {
		return scheduler.EndedUnverified
	}
	return scheduler.EndedOK
}

// failureEnding distinguishes a disconnect by the target from its other failures, and from those of
// relays and paths.
func (x *exchange) failureEnding(err error) scheduler.Ending {
	switch {
	case x.isEndedByStop():
		return scheduler.EndedAbandoned
	case errors.IsAny(err, hop.ErrRelayLost, hop.ErrUnacknowledged, hop.ErrSilence):
		return scheduler.EndedAbandoned
	case errors.Is(err, answer.ErrInvalid):
		return scheduler.EndedErrorResponse // the path to the target works
	}
	if x.isDisconnect(err) {
		return scheduler.EndedDisconnected
	}
	if errors.Is(err, errEndUnverified) {
		return scheduler.EndedUnverified
	}
	return scheduler.EndedFailed
}

// isDisconnect reports whether the target closed the connection before the response was complete.
func (x *exchange) isDisconnect(err error) bool {
	return x.ctx.Err() == nil && errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// errNotContinued marks a response that does not continue where the caller's part ends.
var errNotContinued = errors.New("response does not continue the one already relayed")

// relayModel returns the target's response to the caller. It returns true if another target should
// continue it.
func (x *exchange) relayModel(decision Decision, resp *hop.Response, sentAt time.Time) (retry bool) {
	if x.stream.header != nil && !x.continuesStream(resp) {
		return x.handleModelError(decision, errNotContinued)
	}
	if resp.Status != http.StatusOK || !eventstream.IsDeclared(resp.Header) {
		return x.relayNonStream(decision, resp)
	}
	prefix, err := x.readFirstEvent(decision, resp, sentAt)
	if err != nil {
		return x.handleModelError(decision, err)
	}
	if x.route.Resumable {
		err = x.relayEvents(resp, prefix)
	} else {
		err = x.relay(resp, prefix)
	}
	if err != nil && !x.callerLeft() && x.stream.header != nil {
		if x.runs++; x.canResume(err) {
			x.recordResume(decision, err)
			return true
		}
	}
	switch {
	case err == nil:
		x.g.cfg.Admission.Done(decision, successEnding(resp))
		x.recordOutcome("ok", resp.Status, "", nil)
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		x.g.cfg.Admission.Done(decision, scheduler.EndedAbandoned)
		x.recordOutcome("abandoned", resp.Status, "caller_left", err)
		x.delimiter.Abort()
	default:
		x.g.cfg.Admission.Done(decision, x.failureEnding(err))
		x.recordOutcome("cut", resp.Status, "stream_cut", err)
		x.delimiter.Abort()
	}
	return false
}

// readFirstEvent reads the first bytes of a stream. A stream that is resumed after its last event
// may be empty, but the end of a connection does not show that.
func (x *exchange) readFirstEvent(decision Decision, resp *hop.Response, sentAt time.Time) (prefix []byte, err error) {
	buffer := make([]byte, 512)
	n, err := resp.Read(buffer)
	streamEnded := err == io.EOF && x.stream.header != nil && !resp.CloseDelimited
	if n == 0 && err != nil && !streamEnded {
		return nil, errors.Wrap(err, "read first event")
	}
	x.g.cfg.Admission.FirstEvent(decision)
	x.logEntry.FirstEventTime = x.g.cfg.Now().Sub(sentAt)
	x.g.cfg.Metrics.FirstEvent.Observe(x.logEntry.FirstEventTime)
	return buffer[:n], nil
}

// relayNonStream returns a response that is not an event stream.
func (x *exchange) relayNonStream(decision Decision, resp *hop.Response) (retry bool) {
	body, complete, err := readBuffered(resp)
	if err != nil {
		return x.handleModelError(decision, err)
	}
	if complete {
		x.g.cfg.Admission.Done(decision, x.nonStreamEnding(resp, nil))
		x.writeBuffered(resp, body)
		return false
	}
	err = x.relay(resp, body)
	x.g.cfg.Admission.Done(decision, x.nonStreamEnding(resp, err))
	x.recordUnbuffered(resp, err)
	return false
}

// nonStreamEnding returns the ending of a response that was read or, with err, failed to be relayed.
func (x *exchange) nonStreamEnding(resp *hop.Response, err error) scheduler.Ending {
	switch {
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		return scheduler.EndedAbandoned
	case err != nil:
		return x.failureEnding(err)
	case resp.Status >= http.StatusInternalServerError:
		return scheduler.EndedErrorResponse
	}
	return successEnding(resp)
}
