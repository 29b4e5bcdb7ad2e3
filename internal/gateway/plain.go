package gateway

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// maxAttempts bounds the attempts for one request, those that were not run or not even
// sent included.
const maxAttempts = 4

// hangShare of the objective is how long an attempt may take that can be repeated
// elsewhere: the rest must do for another one.
const hangShare = 0.65

// attempt is the result of one attempt at a plain service.
type attempt struct {
	answer *hop.Answer
	body   []byte
	whole  bool
	class  fleet.AnswerClass
	// sent says that the request may have run.
	sent bool
	err  error
	// cancel ends the attempt.
	cancel context.CancelFunc
}

// close ends the attempt; what was not read of the answer is dropped.
func (a *attempt) close() {
	if a.answer != nil {
		a.answer.Close()
	}
	a.cancel()
}

// ran reports whether the target may have run the request.
func (a *attempt) ran() bool { return a.sent && (a.err != nil || a.class == fleet.Answered) }

// servePlain serves a request for a service without models.
func (x *exchange) servePlain() {
	var exclude []string
	runs := 0
	var last *attempt
	var refusal Decision
	for len(exclude) < maxAttempts && x.ctx.Err() == nil {
		v := x.pickPlain(exclude, runs)
		if v.Target == "" {
			refusal = v
			break
		}
		if x.line.Attempts > 0 && !x.mayRetry() {
			x.learnPlain(v, balance.Abandoned, 0)
			break
		}
		if last != nil {
			last.close()
		}
		last = x.tryPlain(v, runs)
		exclude = append(exclude, v.Target)
		if last.ran() {
			runs++
		}
		if !x.repeatable(last, runs) {
			break
		}
	}
	x.finishPlain(last, runs, refusal)
}

// pickPlain returns a target, or why there is none: as the VM says that is asked, or as this
// one chooses where that is silent.
func (x *exchange) pickPlain(exclude []string, runs int) Decision {
	asked := x.g.cfg.Now()
	r := &AdmitRequest{
		Service: x.service.Name, Plain: true, Team: x.teamName(), Cost: x.cost(runs), Request: &x.req, Route: x.route,
		Deadline: x.deadline, Content: x.digest, Exclude: exclude, BackedOff: x.g.resting(),
		RateLimited: x.g.cfg.RateLimits.Limited(),
	}
	if x.route.LatencyObjective > 0 {
		r.FirstEventDeadline = x.began.Add(x.route.LatencyObjective - x.age)
	}
	v := x.g.cfg.Admission.Admit(x.ctx, r)
	x.line.AdmitTime += x.g.cfg.Now().Sub(asked)
	x.line.DecidedBy = v.DecidedBy
	if v.LocalChoice {
		x.pickAlone(&v, slices.Concat(exclude, r.BackedOff, r.RateLimited))
	}
	if v.LocalChoice && v.Target != "" {
		x.g.cfg.Admission.ChosenLocally(r, v)
	}
	return v
}

// pickAlone chooses by what this VM's own requests showed.
func (x *exchange) pickAlone(v *Decision, exclude []string) {
	dir := x.g.cfg.Directory.Directory()
	var candidates []balance.Target
	for _, t := range dir.TargetsOf(x.service.Name) {
		if t.State == fleet.TargetReady {
			candidates = append(candidates, balance.Target{ID: t.ID, SameZone: t.Zone == x.g.cfg.Zone})
		}
	}
	v.DecidedBy, v.StoreCopy = x.g.cfg.VM, x.copyOfStore()
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if v.Target = x.g.balancer.Pick(x.g.cfg.Now(), candidates, exclude); v.Target == "" {
		v.Reason, v.RetryAfter = "no_target", noTargetPause
		return
	}
	v.Address = dir.Targets[v.Target].Address
}

// learnPlain takes the end of an attempt: for the VM that chose the target, and for this one's
// own choices.
func (x *exchange) learnPlain(v Decision, how balance.Ending, took time.Duration) {
	x.g.cfg.Admission.DonePlain(v, how, took)
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if !v.LocalChoice {
		x.g.balancer.ObserveRemote(x.g.cfg.Now(), v.Target, how, took)
		return
	}
	x.g.balancer.Done(x.g.cfg.Now(), v.Target, how, took)
}

// tryPlain makes one attempt and reads the answer whole if it is short.
func (x *exchange) tryPlain(v Decision, runs int) *attempt {
	limit := x.left()
	if x.mayRunAgain(runs + 1) {
		limit = min(limit, time.Duration(hangShare*float64(x.route.LatencyObjective)))
	}
	ctx, cancel := context.WithTimeout(x.ctx, limit)
	began := x.g.cfg.Now()
	a := &attempt{sent: true, cancel: cancel}
	x.acceptVerdict(v)
	a.answer, a.err = x.send(ctx, destination{target: v.Target, address: v.Address, priority: noPriority})
	if a.err == nil {
		a.class = x.g.cfg.Codec.Classify(x.req.ID, a.answer.Status, a.answer.Header)
		a.body, a.whole, a.err = readWhole(a.answer)
	} else {
		a.sent = !hop.NotSent(a.err)
	}
	took := x.g.cfg.Now().Sub(began)
	how := x.plainEnding(ctx, a)
	x.learnPlain(v, how, took)
	if how != balance.OK {
		x.logPlain(v, how, a, took)
	}
	return a
}

func (x *exchange) logPlain(v Decision, how balance.Ending, a *attempt, took time.Duration) {
	line := events.Attempt{ID: x.req.ID, Target: v.Target, DecidedBy: v.DecidedBy, Class: how.String(), Took: took, Sent: x.line.Sent, Err: a.err}
	if a.answer != nil {
		line.Status = a.answer.Status
	}
	x.g.cfg.Log.AttemptFailed(line)
}

// mayRunAgain reports whether the request may run once more after so many runs.
func (x *exchange) mayRunAgain(runs int) bool {
	return x.route.Kind == fleet.Idempotent && runs < x.route.MaxAttempts && x.route.LatencyObjective > 0
}

func (x *exchange) plainEnding(ctx context.Context, a *attempt) balance.Ending {
	switch {
	case x.callerLeft():
		return balance.Abandoned
	case errors.Is(a.err, hop.ErrWithdrawn):
		return balance.Abandoned
	case errors.Is(a.err, hop.ErrNoConnection):
		return balance.Busy
	case !a.sent:
		return balance.Unreachable
	case a.err != nil && ctx.Err() != nil:
		return balance.TimedOut
	case a.err != nil && x.brokeOff(a.err):
		return balance.Disconnected
	case a.err != nil:
		return balance.Failed
	case a.class == fleet.Busy:
		return balance.Busy
	case a.class == fleet.Misrouted:
		return balance.Unreachable
	case a.answer.Status >= http.StatusInternalServerError:
		return balance.Failed
	}
	return balance.OK
}

// repeatable reports whether another attempt may help: the request has not run,
// or failed and may run again.
func (x *exchange) repeatable(a *attempt, runs int) bool {
	if x.callerLeft() {
		return false
	}
	if !a.ran() {
		return true
	}
	failed := a.err != nil || a.answer.Status >= http.StatusInternalServerError
	return failed && x.route.Kind == fleet.Idempotent && runs < x.route.MaxAttempts
}

// finishPlain answers with the last attempt. A request of which an earlier attempt
// may have run is not refused.
func (x *exchange) finishPlain(a *attempt, runs int, refusal Decision) {
	if a != nil {
		defer a.close()
	}
	switch {
	case x.callerLeft():
		x.end("abandoned", 0, "caller_left", x.r.Context().Err())
		abort()
	case a == nil && refusal.Reason != "":
		x.refuseAs(refusal, refusal.Reason)
	case a == nil:
		x.refuseAs(Decision{RetryAfter: noTargetPause}, "no_target")
	case !a.ran() && runs == 0:
		x.refuseAs(Decision{RetryAfter: max(busyPause, refusal.RetryAfter)}, "not_run")
	case !a.ran():
		x.fail("not_run_again", a.err)
	case a.err != nil:
		x.fail("target_failed", a.err)
	case a.whole:
		x.writeWhole(a.answer, a.body)
	default:
		x.finishLong(a.answer, a.body)
	}
}

// noTargetPause is when to come back if a service has no target.
const noTargetPause = 300 * time.Millisecond

// finishLong relays an answer that is too long to be read whole first.
func (x *exchange) finishLong(answer *hop.Answer, prefix []byte) {
	if err := x.relay(answer, prefix); err != nil {
		x.end("cut", answer.Status, "answer_cut", err)
		abort()
	}
	x.end("ok", answer.Status, "", nil)
}
