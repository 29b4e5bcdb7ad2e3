package gateway

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// lowestPriority at engines; 0 is the most urgent.
const lowestPriority = 9

// serveModel serves a request for a model or an adapter: the scheduler names a
// target, and the request goes there.
func (x *exchange) serveModel() {
	var exclude []string
	firstBy := x.deadline
	if p := x.route.Patience; p > 0 && x.began.Add(p).Before(firstBy) {
		firstBy = x.began.Add(p)
	}
	for {
		asked := x.g.cfg.Now()
		v := x.g.cfg.Admission.Admit(x.ctx, &AdmitRequest{
			Service: x.service.Name, Request: &x.req, Route: x.route, Deadline: x.deadline, FirstBy: firstBy,
			Exclude: exclude,
		})
		x.line.Admit += x.g.cfg.Now().Sub(asked)
		x.line.DecidedBy = v.From
		if x.callerLeft() {
			x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
			x.end("abandoned", 0, "caller_left", nil)
			abort()
		}
		if v.Target == "" {
			x.refuse(v.Reason, v.RetryAfter)
			return
		}
		if x.line.Sends > 0 && !x.mayRetry() {
			x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
			x.refuse("not_run", busyPause)
			return
		}
		if !x.tryModel(v) {
			return
		}
		if x.line.Sends >= maxSends {
			x.refuse("not_run", busyPause)
			return
		}
		exclude = append(exclude, v.Target)
	}
}

// tryModel makes one attempt. It returns true if the request was not run and
// nothing was answered.
func (x *exchange) tryModel(v Verdict) (again bool) {
	sent := x.g.cfg.Now()
	answer, err := x.send(x.ctx, destination{
		target: v.Target, address: v.Address, adapterVersion: v.AdapterVersion,
		priority: min(x.route.Priority, lowestPriority),
	})
	if err != nil {
		return x.modelFailed(v, err)
	}
	defer answer.Close()
	switch x.g.cfg.Codec.Classify(x.req.ID, answer.Status, answer.Header) {
	case fleet.Busy:
		x.modelNotRun(v, scheduler.EndedBusy, answer.Status, nil)
		return true
	case fleet.Misplaced:
		x.modelNotRun(v, scheduler.EndedMisplaced, answer.Status, nil)
		return true
	}
	x.relayModel(v, answer, sent)
	return false
}

func (x *exchange) modelNotRun(v Verdict, how scheduler.Ending, status int, err error) {
	x.g.cfg.Admission.Done(v, how)
	x.g.cfg.Metrics.NotRun.Add(how.String(), 1)
	x.g.cfg.Log.AttemptFailed(events.Attempt{
		ID: x.req.ID, Target: v.Target, DecidedBy: v.From, Adapter: x.req.Adapter.String(),
		Class: how.String(), Status: status, Err: err,
	})
}

func (x *exchange) modelFailed(v Verdict, err error) (again bool) {
	switch {
	case x.callerLeft():
		x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
		x.end("abandoned", 0, "caller_left", err)
		abort()
	case errors.Is(err, hop.ErrNoConnection):
		x.modelNotRun(v, scheduler.EndedBusy, 0, err)
		return true
	case errors.Is(err, hop.ErrUnreachable):
		x.modelNotRun(v, scheduler.EndedUnreachable, 0, err)
		return true
	}
	x.g.cfg.Admission.Done(v, scheduler.EndedFailed)
	x.fail("target_failed", err)
	return false
}

// relayModel returns the target's answer.
func (x *exchange) relayModel(v Verdict, answer *hop.Answer, sent time.Time) {
	if answer.Status != http.StatusOK || !isEventStream(answer.Header) {
		x.relayModelWhole(v, answer)
		return
	}
	prefix, err := x.firstEvent(v, answer, sent)
	if err != nil {
		x.modelFailed(v, err)
		return
	}
	err = x.relay(answer, prefix)
	switch {
	case err == nil:
		x.g.cfg.Admission.Done(v, scheduler.EndedOK)
		x.end("ok", answer.Status, "", nil)
	case x.callerLeft() || errors.Is(err, errCallerLeft):
		x.g.cfg.Admission.Done(v, scheduler.EndedAbandoned)
		x.end("abandoned", answer.Status, "caller_left", err)
		abort()
	default:
		x.g.cfg.Admission.Done(v, scheduler.EndedFailed)
		x.end("cut", answer.Status, "stream_cut", err)
		abort()
	}
}

// firstEvent reads the first bytes of a stream.
func (x *exchange) firstEvent(v Verdict, answer *hop.Answer, sent time.Time) (prefix []byte, err error) {
	buffer := make([]byte, 512)
	n, err := answer.Read(buffer)
	if n == 0 && err != nil {
		return nil, errors.Wrap(err, "read first event")
	}
	x.g.cfg.Admission.First(v)
	x.line.First = x.g.cfg.Now().Sub(sent)
	x.g.cfg.Metrics.FirstEvent.Observe(x.line.First)
	return buffer[:n], nil
}

// relayModelWhole returns an answer that is no stream.
func (x *exchange) relayModelWhole(v Verdict, answer *hop.Answer) {
	body, whole, err := readWhole(answer)
	if err != nil {
		x.modelFailed(v, err)
		return
	}
	how := scheduler.EndedOK
	if answer.Status >= http.StatusInternalServerError {
		how = scheduler.EndedFailed
	}
	x.g.cfg.Admission.Done(v, how)
	if whole {
		x.writeWhole(answer, body)
		return
	}
	x.finishLong(answer, body)
}
