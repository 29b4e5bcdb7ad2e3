package gateway

import (
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// serveModel serves a request for a model or an adapter: the scheduler names a
// target, and the request goes there.
func (x *exchange) serveModel() {
	for attempts := 1; ; attempts++ {
		asked := x.g.cfg.Now()
		v := x.g.cfg.Admission.Admit(x.ctx, &AdmitRequest{
			Service: x.service.Name, Team: x.teamName(), Cost: x.cost(x.runs), Request: &x.req, Route: x.route,
			Deadline: x.deadline, FirstEventDeadline: x.firstBy(asked), Age: x.age, Content: x.digest, Exclude: x.exclude,
			BackedOff: x.g.resting(), RateLimited: x.g.cfg.RateLimits.Limited(),
		})
		x.line.AdmitTime += x.g.cfg.Now().Sub(asked)
		x.line.DecidedBy = v.DecidedBy
		if x.callerLeft() {
			x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
			x.end("abandoned", 0, "caller_left", nil)
			abort()
		}
		if v.Target == "" {
			x.giveUp(v, v.Reason)
			return
		}
		if x.line.Attempts > 0 && !x.mayRetry() {
			x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
			x.giveUp(Decision{RetryAfter: busyPause}, "not_run")
			return
		}
		if !x.tryModel(v) {
			return
		}
		if attempts >= maxAttempts {
			x.giveUp(Decision{RetryAfter: busyPause}, "not_run")
			return
		}
	}
}

// acceptVerdict takes a verdict to act on.
func (x *exchange) acceptVerdict(v Decision) {
	x.verdict = v
	x.line.Sent = events.SendInfo{PlacementCopy: v.StoreCopy, DecisionDelay: v.NetworkDelay, RateLimit: v.RateLimit.PerSecond}
}

// firstBy returns when the caller leaves if no event comes. A caller that has a part of the
// stream waits from the last event, which came as good as now.
func (x *exchange) firstBy(now time.Time) time.Time {
	since := x.began
	if x.stream.head != nil {
		since = now
	}
	if p := x.route.IdleTimeout; p > 0 && since.Add(p).Before(x.deadline) {
		return since.Add(p)
	}
	return x.deadline
}

// tryModel makes one attempt. It returns true if the request was not run and
// nothing was answered.
func (x *exchange) tryModel(v Decision) (again bool) {
	sent := x.g.cfg.Now()
	x.acceptVerdict(v)
	answer, err := x.send(x.ctx, destination{
		target: v.Target, address: v.Address, adapterVersion: v.AdapterVersion,
		priority: v.Priority, after: x.stream.lastEvent,
	})
	if err != nil {
		return x.modelFailed(v, err)
	}
	defer answer.Close()
	switch x.g.cfg.Codec.Classify(x.req.ID, answer.Status, answer.Header) {
	case fleet.Busy:
		x.modelNotRun(v, scheduler.EndedBusy, answer.Status, nil)
		return true
	case fleet.Misrouted:
		x.modelNotRun(v, scheduler.EndedMisrouted, answer.Status, nil)
		return true
	}
	return x.relayModel(v, answer, sent)
}

func (x *exchange) modelNotRun(v Decision, how scheduler.Ending, status int, err error) {
	x.g.cfg.Metrics.NotRun.Add(how.String(), 1)
	x.attemptEnded(v, how, status, err)
}

// attemptEnded tells and logs the end of an attempt after which another one may follow,
// elsewhere unless nothing is held against the target.
func (x *exchange) attemptEnded(v Decision, how scheduler.Ending, status int, err error) {
	if !errors.Is(err, errOldVerdict) {
		x.exclude = append(x.exclude, v.Target)
	}
	x.g.cfg.Admission.Done(v, how)
	x.g.cfg.Log.AttemptFailed(events.Attempt{
		ID: x.req.ID, Target: v.Target, DecidedBy: v.DecidedBy, Adapter: x.req.Adapter.String(),
		Class: how.String(), Status: status, Sent: x.line.Sent, Err: err,
	})
}

func (x *exchange) modelFailed(v Decision, err error) (again bool) {
	switch {
	case x.callerLeft():
		x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
		x.end("abandoned", 0, "caller_left", err)
		abort()
	case errors.Is(err, hop.ErrWithdrawn):
		x.modelNotRun(v, scheduler.EndedWithdrawn, 0, err)
		return true
	case errors.Is(err, hop.ErrNoConnection):
		x.modelNotRun(v, scheduler.EndedBusy, 0, err)
		return true
	case errors.Is(err, hop.ErrUnreachable):
		x.modelNotRun(v, scheduler.EndedUnreachable, 0, err)
		return true
	}
	x.runs++
	if x.mayResume(err) {
		x.resumes(v, err)
		return true
	}
	x.g.cfg.Admission.Done(v, x.failure(err))
	if x.stream.head != nil {
		x.end("cut", http.StatusOK, "stream_cut", err)
		abort()
	}
	x.fail("target_failed", err)
	return false
}

// failure tells an end of a target's connection from its other failures.
func (x *exchange) failure(err error) scheduler.Ending {
	if x.brokeOff(err) {
		return scheduler.EndedDisconnected
	}
	return scheduler.EndedFailed
}

// brokeOff reports whether the target's side of a connection ended before the answer was whole.
func (x *exchange) brokeOff(err error) bool {
	return x.ctx.Err() == nil && errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// errOther marks an answer that does not go on where the caller's ends.
var errOther = errors.New("the answer does not continue the one before")

// relayModel returns the target's answer. It returns true if another target is to go on
// with it.
func (x *exchange) relayModel(v Decision, answer *hop.Answer, sent time.Time) (again bool) {
	if x.stream.head != nil && !x.goesOn(answer) {
		return x.modelFailed(v, errOther)
	}
	if answer.Status != http.StatusOK || !isEventStream(answer.Header) {
		return x.relayModelWhole(v, answer)
	}
	prefix, err := x.firstEvent(v, answer, sent)
	if err != nil {
		return x.modelFailed(v, err)
	}
	if x.resumable(answer) {
		err = x.relayEvents(answer, prefix)
	} else {
		err = x.relay(answer, prefix)
	}
	if err != nil && !x.callerLeft() && x.stream.head != nil {
		if x.runs++; x.mayResume(err) {
			x.resumes(v, err)
			return true
		}
	}
	switch {
	case err == nil:
		x.g.cfg.Admission.Done(v, scheduler.EndedOK)
		x.end("ok", answer.Status, "", nil)
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
		x.end("abandoned", answer.Status, "caller_left", err)
		abort()
	default:
		x.g.cfg.Admission.Done(v, x.failure(err))
		x.end("cut", answer.Status, "stream_cut", err)
		abort()
	}
	return false
}

// firstEvent reads the first bytes of a stream. A stream that goes on after its last event
// has none.
func (x *exchange) firstEvent(v Decision, answer *hop.Answer, sent time.Time) (prefix []byte, err error) {
	buffer := make([]byte, 512)
	n, err := answer.Read(buffer)
	nothingLeft := err == io.EOF && x.stream.head != nil
	if n == 0 && err != nil && !nothingLeft {
		return nil, errors.Wrap(err, "read first event")
	}
	x.g.cfg.Admission.FirstEvent(v)
	x.line.FirstEventTime = x.g.cfg.Now().Sub(sent)
	x.g.cfg.Metrics.FirstEvent.Observe(x.line.FirstEventTime)
	return buffer[:n], nil
}

// relayModelWhole returns an answer that is no stream.
func (x *exchange) relayModelWhole(v Decision, answer *hop.Answer) (again bool) {
	body, whole, err := readWhole(answer)
	if err != nil {
		return x.modelFailed(v, err)
	}
	how := scheduler.EndedOK
	if answer.Status >= http.StatusInternalServerError {
		how = scheduler.EndedFailed
	}
	x.g.cfg.Admission.Done(v, how)
	if whole {
		x.writeWhole(answer, body)
		return false
	}
	x.finishLong(answer, body)
	return false
}
