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

// maxExecutions bounds how often a request is executed at the target: a second time only if the
// target reports that the adapter is not loaded.
const maxExecutions = 2

// startingRetryDelay is the retry delay for a caller whose request reaches an owner that is still
// acquiring the target.
const startingRetryDelay = 250 * time.Millisecond

func (t *ownedTarget) execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	var r forward.Result
	for range maxExecutions {
		r = t.executeOnce(ctx, f, sink)
		if r.Failure == nil || r.Failure.Code != target.EngineNotLoaded {
			break
		}
		t.reconcileSlots()
	}
	r.Hint = t.loadHint(f)
	return r
}

func (t *ownedTarget) executeOnce(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	ref := coord.Adapter{Name: f.Adapter, Version: f.AdapterVersion}
	p, refusal := t.submit(ctx, ref)
	if refusal != nil {
		return *refusal
	}
	startedAt := t.now()
	act, ok := t.await(ctx, p)
	if !ok {
		return forward.FailedResult(forward.CodeTimeout, http.StatusGatewayTimeout,
			schema.Outcome_OUTCOME_NOT_RUN, 0, "the deadline passed, or the caller left, in the queue")
	}
	if act.Kind == dispatch.ActRefuse {
		return refuse(act.Cause.String(), act.RetryAfter, "the target cannot take the request")
	}
	t.recordStall(t.now().Sub(startedAt))
	return t.run(ctx, f, p, act, sink)
}

func (t *ownedTarget) recordStall(d time.Duration) {
	if d < time.Millisecond {
		return
	}
	t.owner.cfg.Metrics.StalledRequests.Add(1)
	metrics.AddMillis(t.owner.cfg.Metrics.LoadStallMillis, d)
}

// pendingRequest is a request that was submitted to the dispatcher of one ownership term.
type pendingRequest struct {
	ref        coord.Adapter
	handle     uint64
	dispatcher *dispatch.Dispatcher
	// fencingToken is the token of the ownership term. The request is sent under no other token,
	// because the adapter slot that is pinned for it is not pinned in the next term.
	fencingToken uint64
	signal       chan dispatch.Action
}

// submit checks the request against the current bundle and queues it.
func (t *ownedTarget) submit(ctx context.Context, ref coord.Adapter) (*pendingRequest, *forward.Result) {
	deadline, _ := ctx.Deadline()
	t.mu.Lock()
	model, refusal := t.admit(ref)
	if refusal != nil {
		t.mu.Unlock()
		return nil, refusal
	}
	t.nextID++
	p := &pendingRequest{
		ref: ref, handle: t.nextID, dispatcher: t.dispatcher, fencingToken: t.servingToken,
		signal: make(chan dispatch.Action, 1),
	}
	t.waiters[p.handle] = p.signal
	acts := t.dispatcher.Submit(t.now(), dispatch.Request{
		Handle: p.handle, Adapter: model.Adapter, Rank: model.Rank, Deadline: deadline,
	})
	t.mu.Unlock()
	t.runDispatchActions(acts)
	return p, nil
}

// mayServe reports whether the ownership term of the current dispatcher is still valid. t.mu must
// be held.
func (t *ownedTarget) mayServe() bool {
	return t.dispatcher != nil && t.machine.MayStart() && t.machine.FencingToken() == t.servingToken
}

// admit rejects requests that this VM is not allowed or not able to send. t.mu must be held.
func (t *ownedTarget) admit(ref coord.Adapter) (catalog.Model, *forward.Result) {
	if !t.mayServe() {
		r := refuse(forward.CodeOwnerStarting, startingRetryDelay, "ownership of the target is "+t.machine.Phase().String())
		return catalog.Model{}, &r
	}
	if t.leaving {
		r := refuse(forward.CodeTargetLeaving, 0, "the target is leaving")
		return catalog.Model{}, &r
	}
	model, kind := t.catalog.Resolve(ref.Model())
	if kind != catalog.OK || model.Base != t.spec.Base {
		r := forward.FailedResult(forward.CodeUnknownModel, http.StatusNotFound,
			schema.Outcome_OUTCOME_NOT_RUN, 0, "the bundle in force does not hold "+ref.Model()+" for this target")
		return catalog.Model{}, &r
	}
	return model, nil
}

// await waits for the dispatcher's action. If the caller disconnects first, the request is
// withdrawn; if the dispatcher has just started it, it is finished without being sent.
func (t *ownedTarget) await(ctx context.Context, p *pendingRequest) (dispatch.Action, bool) {
	select {
	case act := <-p.signal:
		return act, true
	case <-ctx.Done():
	}
	t.mu.Lock()
	delete(t.waiters, p.handle)
	t.mu.Unlock()
	t.applyEvent(p.dispatcher, func(now time.Time) []dispatch.Action {
		acts := p.dispatcher.Cancel(now, p.handle)
		return append(acts, p.dispatcher.Finished(now, p.handle)...)
	})
	return dispatch.Action{}, false
}

// run sends a started request, provided that the ownership term that started it is still valid.
func (t *ownedTarget) run(ctx context.Context, f *schema.Forward, p *pendingRequest, act dispatch.Action, sink forward.Sink) forward.Result {
	t.mu.Lock()
	ok := t.mayServe() && t.servingToken == p.fencingToken
	if ok {
		t.machine.RequestStarted()
	}
	engine := t.engine
	t.mu.Unlock()
	if !ok {
		t.requestFinished(p)
		return refuse(forward.CodeNotOwner, 0, "the target went to another owner")
	}
	sent := &attempt.Attempt{}
	r := engine.Run(ctx, target.Run{
		Forward: f, Name: act.Name, Model: p.ref.Model(), FencingToken: p.fencingToken, Attempt: sent,
	}, sink)
	if mayStillRun(sent, r) {
		t.requestAborted(p)
	} else {
		t.requestEnded(p)
	}
	if r.Failure != nil && r.Failure.Code == target.EngineStaleToken {
		t.orderFailed(p.fencingToken, &target.StaleTokenError{})
	}
	return r
}

// mayStillRun reports whether the target may still work on a request: its connection was closed before
// the answer had ended. That may be after the last event of a stream, with which the caller is served.
func mayStillRun(sent *attempt.Attempt, r forward.Result) bool {
	failedUnknown := r.Failure != nil && r.Failure.Outcome == schema.Outcome_OUTCOME_UNKNOWN
	return failedUnknown || sent.Outcome() == attempt.Unknown
}

// requestEnded releases a request that the target no longer works on.
func (t *ownedTarget) requestEnded(p *pendingRequest) {
	t.mu.Lock()
	t.machine.RequestEnded(t.now())
	t.mu.Unlock()
	t.requestFinished(p)
}

// requestAborted releases a request that the target may still be working on.
func (t *ownedTarget) requestAborted(p *pendingRequest) {
	t.mu.Lock()
	t.machine.RequestAborted(t.now())
	t.mu.Unlock()
	t.applyEvent(p.dispatcher, func(now time.Time) []dispatch.Action { return p.dispatcher.RequestAborted(now, p.handle) })
}

// requestFinished unpins the adapter of a request that was not sent or that the target no longer
// works on.
func (t *ownedTarget) requestFinished(p *pendingRequest) {
	t.applyEvent(p.dispatcher, func(now time.Time) []dispatch.Action { return p.dispatcher.Finished(now, p.handle) })
}

// loadHint returns the target's load, for the VM that sent the request.
func (t *ownedTarget) loadHint(f *schema.Forward) *schema.LoadHint {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := &schema.LoadHint{Target: string(t.id), Batch: uint32(t.spec.Batch), Leaving: t.leaving}
	if t.dispatcher != nil {
		h.Running, h.Queued = uint32(t.dispatcher.Running()), uint32(t.dispatcher.Queued())
		model, _ := t.catalog.Resolve(coord.Adapter{Name: f.Adapter, Version: f.AdapterVersion}.Model())
		h.SameAdapter = uint32(t.dispatcher.AdapterRequests(model.Adapter))
	}
	return h
}
