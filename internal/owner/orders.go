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

var errStepped = errors.New("this VM does not own the target any more")

func (u *unit) runDispatch(acts []dispatch.Action) {
	for _, a := range acts {
		u.runDispatchAction(a)
	}
}

func (u *unit) runDispatchAction(a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActStart, dispatch.ActRefuse:
		u.wake(a)
	case dispatch.ActRequestPermit:
		u.submitOrder(func(d *dispatch.Dispatcher) { u.askTurn(d, a.Priority) })
	case dispatch.ActRaisePermit:
		u.owner.pool.Submit(func() { u.owner.cfg.Permits.RaisePriority(u.id, a.Priority) })
	case dispatch.ActReturnPermit:
		u.giveTurn()
	case dispatch.ActLoad:
		u.submitOrder(func(d *dispatch.Dispatcher) { u.load(d, a) })
	case dispatch.ActUnload:
		u.submitOrder(func(d *dispatch.Dispatcher) { u.unload(d, a.Name) })
	}
}

// submitOrder runs work for the dispatcher in force now. When the work ends,
// another tenure may have begun with a dispatcher of its own; feed leaves that
// one alone.
func (u *unit) submitOrder(work func(*dispatch.Dispatcher)) {
	u.mu.Lock()
	d := u.dispatch
	u.mu.Unlock()
	u.owner.pool.Submit(func() { work(d) })
}

// feed gives an event to a dispatcher if it is still the one in force, and runs
// what comes of it. It returns false for one of an earlier tenure.
func (u *unit) feed(d *dispatch.Dispatcher, event func(now time.Time) []dispatch.Action) bool {
	u.mu.Lock()
	current := d != nil && u.dispatch == d
	var acts []dispatch.Action
	if current {
		acts = event(u.now())
	}
	u.mu.Unlock()
	u.runDispatch(acts)
	return current
}

func (u *unit) wake(a dispatch.Action) {
	u.mu.Lock()
	c := u.waiters[a.Handle]
	delete(u.waiters, a.Handle)
	u.mu.Unlock()
	if c != nil {
		c <- a
	}
}

func (u *unit) askTurn(d *dispatch.Dispatcher, value float64) {
	done, granted, retry := u.owner.cfg.Permits.Acquire(context.Background(), u.id, value)
	if !granted {
		u.feed(d, func(now time.Time) []dispatch.Action { return d.PermitDenied(now, retry) })
		return
	}
	current := u.feed(d, func(now time.Time) []dispatch.Action {
		u.turnDone = done
		return d.PermitGranted(now)
	})
	if !current {
		done()
	}
}

func (u *unit) giveTurn() {
	u.mu.Lock()
	done := u.turnDone
	u.turnDone = nil
	u.mu.Unlock()
	if done != nil {
		u.owner.pool.Submit(done)
	}
}

// order returns the engine and number to order under. ok is false when this VM
// may order the target no more.
func (u *unit) order() (engine *target.Engine, fence uint64, ok bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.engine, u.machine.FencingToken(), u.machine.MayStart()
}

func (u *unit) load(d *dispatch.Dispatcher, a dispatch.Action) {
	engine, fence, ok := u.order()
	began := u.now()
	err := errStepped
	if ok {
		u.owner.cfg.Metrics.Loads.Add(1)
		err = engine.Load(context.Background(), fence, a.Name, a.Adapter.Model())
	}
	u.noteLoad(a, fence, u.now().Sub(began), err)
	u.feed(d, func(now time.Time) []dispatch.Action {
		if err == nil {
			return d.Loaded(now, a.Adapter)
		}
		return d.LoadFailed(now, a.Adapter)
	})
	if err != nil {
		u.doubt()
	}
}

// doubt reads the target's slots anew.
func (u *unit) doubt() {
	u.mu.Lock()
	u.doubted = true
	u.mu.Unlock()
	u.poll()
}

func (u *unit) noteLoad(a dispatch.Action, fence uint64, took time.Duration, err error) {
	m := u.owner.cfg.Metrics
	metrics.AddMillis(m.LoadMillis, took)
	fields := log.Fields{"adapter": a.Adapter.String(), "took_ms": took.Milliseconds()}
	if err == nil {
		u.owner.noteLoadTime(took)
		u.log().WithFields(fields).Info("adapter_loaded")
		return
	}
	m.LoadsFailed.Add(1)
	u.log().WithFields(fields).WithError(err).Warn("adapter_load_failed")
	u.orderFailed(fence, err)
}

func (u *unit) unload(d *dispatch.Dispatcher, name string) {
	engine, fence, ok := u.order()
	err := errStepped
	if ok {
		u.owner.cfg.Metrics.Unloads.Add(1)
		err = engine.Unload(context.Background(), fence, name)
	}
	if err != nil {
		u.orderFailed(fence, err)
	}
	u.feed(d, func(now time.Time) []dispatch.Action { return d.Unloaded(now, name, err == nil) })
}
