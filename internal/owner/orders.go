package owner

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/target"
)

var errNotOwner = errors.New("this VM no longer owns the target")

func (t *ownedTarget) runDispatchActions(acts []dispatch.Action) {
	for _, a := range acts {
		t.runDispatchAction(a)
	}
}

func (t *ownedTarget) runDispatchAction(a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActStart, dispatch.ActRefuse:
		t.notifyWaiter(a)
	case dispatch.ActRequestPermit:
		t.submitOrder(func(d *dispatch.Dispatcher) { t.acquirePermit(d, a.Priority) })
	case dispatch.ActRaisePermit:
		t.owner.pool.Submit(func() { t.owner.cfg.Permits.RaisePriority(t.id, a.Priority) })
	case dispatch.ActReturnPermit:
		t.returnPermit()
	case dispatch.ActLoad:
		t.submitOrder(func(d *dispatch.Dispatcher) { t.load(d, a) })
	case dispatch.ActUnload:
		t.submitOrder(func(d *dispatch.Dispatcher) { t.unload(d, a.Name) })
	}
}

// submitOrder runs work for the current dispatcher on the worker pool. By the time work ends, a new
// ownership term may have begun with its own dispatcher; applyEvent ignores events of the earlier
// one.
func (t *ownedTarget) submitOrder(work func(*dispatch.Dispatcher)) {
	t.mu.Lock()
	d := t.dispatcher
	t.mu.Unlock()
	t.owner.pool.Submit(func() { work(d) })
}

// applyEvent applies an event to a dispatcher if that is still the current one, and runs the
// resulting actions. It returns false for a dispatcher of an earlier ownership term.
func (t *ownedTarget) applyEvent(d *dispatch.Dispatcher, event func(now time.Time) []dispatch.Action) bool {
	t.mu.Lock()
	current := d != nil && t.dispatcher == d
	var acts []dispatch.Action
	if current {
		acts = event(t.now())
	}
	t.mu.Unlock()
	t.runDispatchActions(acts)
	return current
}

func (t *ownedTarget) notifyWaiter(a dispatch.Action) {
	t.mu.Lock()
	c := t.waiters[a.Handle]
	delete(t.waiters, a.Handle)
	t.mu.Unlock()
	if c != nil {
		c <- a
	}
}

func (t *ownedTarget) acquirePermit(d *dispatch.Dispatcher, priority float64) {
	done, granted, retryAfter := t.owner.cfg.Permits.Acquire(context.Background(), t.id, priority)
	if !granted {
		t.applyEvent(d, func(now time.Time) []dispatch.Action { return d.PermitDenied(now, retryAfter) })
		return
	}
	current := t.applyEvent(d, func(now time.Time) []dispatch.Action {
		t.permitDone = done
		return d.PermitGranted(now)
	})
	if !current {
		done()
	}
}

func (t *ownedTarget) returnPermit() {
	t.mu.Lock()
	done := t.permitDone
	t.permitDone = nil
	t.mu.Unlock()
	if done != nil {
		t.owner.pool.Submit(done)
	}
}

// engineAndToken returns the engine and the fencing token for an order. ok is false if this VM may
// no longer send orders to the target.
func (t *ownedTarget) engineAndToken() (engine *target.Engine, token uint64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine, t.machine.FencingToken(), t.machine.MayStart()
}

func (t *ownedTarget) load(d *dispatch.Dispatcher, a dispatch.Action) {
	engine, token, ok := t.engineAndToken()
	startedAt := t.now()
	err := errNotOwner
	if ok {
		t.owner.cfg.Metrics.Loads.Add(1)
		err = engine.Load(context.Background(), token, a.Name, a.Adapter.Model())
	}
	t.recordLoad(a, token, t.now().Sub(startedAt), err)
	t.applyEvent(d, func(now time.Time) []dispatch.Action {
		if err == nil {
			return d.Loaded(now, a.Adapter)
		}
		return d.LoadFailed(now, a.Adapter)
	})
	if err != nil {
		t.reconcileSlots()
	}
}

// reconcileSlots reads the target's state and reconciles the slots with it.
func (t *ownedTarget) reconcileSlots() {
	t.mu.Lock()
	t.needsReconcile = true
	t.mu.Unlock()
	t.poll()
}

func (t *ownedTarget) recordLoad(a dispatch.Action, token uint64, took time.Duration, err error) {
	m := t.owner.cfg.Metrics
	metrics.AddMillis(m.LoadMillis, took)
	fields := log.Fields{"adapter": a.Adapter.String(), "took_ms": took.Milliseconds()}
	if err == nil {
		t.owner.recordLoadTime(took)
		t.log().WithFields(fields).Info("adapter_loaded")
		return
	}
	m.LoadsFailed.Add(1)
	t.log().WithFields(fields).WithError(err).Warn("adapter_load_failed")
	t.orderFailed(token, err)
}

func (t *ownedTarget) unload(d *dispatch.Dispatcher, name string) {
	engine, token, ok := t.engineAndToken()
	err := errNotOwner
	if ok {
		t.owner.cfg.Metrics.Unloads.Add(1)
		err = engine.Unload(context.Background(), token, name)
	}
	if err != nil {
		t.orderFailed(token, err)
	}
	t.applyEvent(d, func(now time.Time) []dispatch.Action { return d.Unloaded(now, name, err == nil) })
}
