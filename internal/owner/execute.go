package owner

import (
	"context"
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// executions is how often a request is given to the target: again once when the
// target says that the adapter is not there.
const executions = 2

// startingRetry is when a caller may come back to an owner that is taking over.
const startingRetry = 250 * time.Millisecond

func (u *unit) execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	var r forward.Result
	for range executions {
		r = u.executeOnce(ctx, f, sink)
		if r.Failure == nil || r.Failure.Code != target.EngineNotLoaded {
			break
		}
		u.doubt()
	}
	r.Hint = u.hint(f)
	return r
}

func (u *unit) executeOnce(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	ref := coord.Adapter{Name: f.Adapter, Version: f.AdapterVersion}
	p, refusal := u.submit(ctx, ref)
	if refusal != nil {
		return *refusal
	}
	began := u.now()
	act, ok := u.await(ctx, p)
	if !ok {
		return forward.Fail(forward.CodeTimeout, http.StatusGatewayTimeout,
			schema.Outcome_OUTCOME_NOT_RUN, 0, "the deadline passed, or the caller left, in the queue")
	}
	if act.Kind == dispatch.ActRefuse {
		return refuse(act.Cause.String(), act.RetryAfter, "the target cannot take the request")
	}
	u.noteStall(u.now().Sub(began))
	return u.run(ctx, f, p, act, sink)
}

func (u *unit) noteStall(d time.Duration) {
	if d < time.Millisecond {
		return
	}
	u.owner.cfg.Metrics.StalledRequests.Add(1)
	metrics.AddMillis(u.owner.cfg.Metrics.LoadStallMillis, d)
}

// pending is a request that was given to the dispatcher of one tenure.
type pending struct {
	ref      coord.Adapter
	handle   uint64
	dispatch *dispatch.Dispatcher
	// fence is the number of the tenure. The request is sent under no other:
	// what was pinned for it is not pinned in the next one.
	fence  uint64
	signal chan dispatch.Action
}

// submit checks the request against the bundle in force and queues it.
func (u *unit) submit(ctx context.Context, ref coord.Adapter) (*pending, *forward.Result) {
	deadline, _ := ctx.Deadline()
	u.mu.Lock()
	model, refusal := u.admit(ref)
	if refusal != nil {
		u.mu.Unlock()
		return nil, refusal
	}
	u.nextID++
	p := &pending{
		ref: ref, handle: u.nextID, dispatch: u.dispatch, fence: u.serving,
		signal: make(chan dispatch.Action, 1),
	}
	u.waiters[p.handle] = p.signal
	acts := u.dispatch.Submit(u.now(), dispatch.Request{
		Handle: p.handle, Adapter: model.Adapter, Rank: model.Rank, Deadline: deadline,
	})
	u.mu.Unlock()
	u.runDispatch(acts)
	return p, nil
}

// mayServe reports whether the tenure of the dispatcher in force still lasts.
// u.mu is held.
func (u *unit) mayServe() bool {
	return u.dispatch != nil && u.machine.MayStart() && u.machine.FencingToken() == u.serving
}

// admit refuses what this VM may not or cannot send. u.mu is held.
func (u *unit) admit(ref coord.Adapter) (catalog.Model, *forward.Result) {
	if !u.mayServe() {
		r := refuse(forward.CodeOwnerStarting, startingRetry, "ownership of the target is "+u.machine.Phase().String())
		return catalog.Model{}, &r
	}
	if u.leaving {
		r := refuse(forward.CodeTargetLeaving, 0, "the target is leaving")
		return catalog.Model{}, &r
	}
	model, kind := u.catalog.Resolve(ref.Model())
	if kind != catalog.OK || model.Base != u.spec.Base {
		r := forward.Fail(forward.CodeUnknownModel, http.StatusNotFound,
			schema.Outcome_OUTCOME_NOT_RUN, 0, "the bundle in force does not hold "+ref.Model()+" for this target")
		return catalog.Model{}, &r
	}
	return model, nil
}

// await waits for the dispatcher's word. When the caller goes first, the request
// is withdrawn; if it has just been started, it is ended unsent.
func (u *unit) await(ctx context.Context, p *pending) (dispatch.Action, bool) {
	select {
	case act := <-p.signal:
		return act, true
	case <-ctx.Done():
	}
	u.mu.Lock()
	delete(u.waiters, p.handle)
	u.mu.Unlock()
	u.feed(p.dispatch, func(now time.Time) []dispatch.Action {
		acts := p.dispatch.Cancel(now, p.handle)
		return append(acts, p.dispatch.Finished(now, p.handle)...)
	})
	return dispatch.Action{}, false
}

// run sends a started request, if the tenure that started it still lasts.
func (u *unit) run(ctx context.Context, f *schema.Forward, p *pending, act dispatch.Action, sink forward.Sink) forward.Result {
	u.mu.Lock()
	ok := u.mayServe() && u.serving == p.fence
	if ok {
		u.machine.RequestStarted()
	}
	engine := u.engine
	u.mu.Unlock()
	if !ok {
		u.finished(p)
		return refuse(forward.CodeNotOwner, 0, "the target went to another owner")
	}
	r := engine.Run(ctx, target.Run{
		Forward: f, Name: act.Name, Model: p.ref.Model(), FencingToken: p.fence, Attempt: &attempt.Attempt{},
	}, sink)
	if r.Failure != nil && r.Failure.Outcome == schema.Outcome_OUTCOME_UNKNOWN {
		u.brokenOff(p)
	} else {
		u.ended(p)
	}
	if r.Failure != nil && r.Failure.Code == target.EngineStaleToken {
		u.orderFailed(p.fence, &target.StaleTokenError{})
	}
	return r
}

// ended lets go of a request that the target is done with.
func (u *unit) ended(p *pending) {
	u.mu.Lock()
	u.machine.RequestEnded(u.now())
	u.mu.Unlock()
	u.finished(p)
}

// brokenOff does the same for a request that the target may still be at work on.
func (u *unit) brokenOff(p *pending) {
	u.mu.Lock()
	u.machine.RequestAborted(u.now())
	u.mu.Unlock()
	u.feed(p.dispatch, func(now time.Time) []dispatch.Action { return p.dispatch.RequestAborted(now, p.handle) })
}

// finished unpins what a request used that is not sent, or that the target is done
// with.
func (u *unit) finished(p *pending) {
	u.feed(p.dispatch, func(now time.Time) []dispatch.Action { return p.dispatch.Finished(now, p.handle) })
}

// hint tells the sender how loaded the target is.
func (u *unit) hint(f *schema.Forward) *schema.LoadHint {
	u.mu.Lock()
	defer u.mu.Unlock()
	h := &schema.LoadHint{Target: string(u.id), Batch: uint32(u.spec.Batch), Leaving: u.leaving}
	if u.dispatch != nil {
		h.Running, h.Queued = uint32(u.dispatch.Running()), uint32(u.dispatch.Queued())
		model, _ := u.catalog.Resolve(coord.Adapter{Name: f.Adapter, Version: f.AdapterVersion}.Model())
		h.SameAdapter = uint32(u.dispatch.AdapterRequests(model.Adapter))
	}
	return h
}
