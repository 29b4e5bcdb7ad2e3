package owner

import (
	"context"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/audit"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

func (t *ownedTarget) runOwnershipActions(acts []ownership.Action) {
	for _, a := range acts {
		t.runOwnershipAction(a)
	}
}

func (t *ownedTarget) runOwnershipAction(a ownership.Action) {
	switch a.Kind {
	case ownership.ActRead:
		t.owner.pool.Submit(t.readState)
	case ownership.ActClaim:
		t.owner.pool.Submit(func() { t.claim(a.FencingToken) })
	case ownership.ActRequestRelease:
		t.owner.pool.Submit(func() { t.requestRelease(a.VM, a.FencingToken) })
	case ownership.ActServe:
		t.serve(a)
	case ownership.ActSetHolds:
		t.setHolds(a)
	case ownership.ActStop:
		t.stop()
	}
}

func (t *ownedTarget) readState() {
	state, err := t.currentEngine().State(context.Background())
	if err != nil {
		t.log().WithError(err).Debug("target_unreadable")
		return
	}
	t.mu.Lock()
	acts := t.machine.HandleReport(t.now(), ownership.Report{FencingToken: state.FencingToken, Resident: state.Resident})
	t.mu.Unlock()
	t.runOwnershipActions(acts)
}

func (t *ownedTarget) currentEngine() *target.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.engine
}

// claim raises the target's fencing token and then reads the target's state.
func (t *ownedTarget) claim(token uint64) {
	engine := t.currentEngine()
	if err := engine.Claim(context.Background(), token); err != nil {
		t.orderFailed(token, err)
		return
	}
	state, err := engine.State(context.Background())
	if err != nil {
		t.log().WithError(err).Debug("target_unreadable")
		return
	}
	t.mu.Lock()
	t.bootID = state.BootID
	t.leaving = state.Leaving || t.spec.Leaving
	acts := t.machine.HandleClaimAccepted(t.now(), token, ownership.Report{FencingToken: state.FencingToken, Resident: state.Resident})
	t.mu.Unlock()
	t.runOwnershipActions(acts)
}

// orderFailed logs a failed order, and steps down if the target refused its fencing token.
func (t *ownedTarget) orderFailed(token uint64, err error) {
	t.log().WithError(err).WithField("fence", token).Warn("order_failed")
	var stale *target.StaleTokenError
	if !errors.As(err, &stale) {
		return
	}
	t.mu.Lock()
	acts := t.machine.HandleRejection(t.now(), token, stale.Seen)
	t.mu.Unlock()
	t.runOwnershipActions(acts)
}

func (t *ownedTarget) requestRelease(vm coord.VMID, token uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	claim := &schema.Claim{Target: string(t.id), Fence: token}
	released, err := t.owner.cfg.Releases.RequestRelease(ctx, vm, []*schema.Claim{claim})
	if err != nil || len(released) == 0 {
		return
	}
	t.mu.Lock()
	acts := t.machine.HandleRelease(vm, token, released[0].InUse)
	t.mu.Unlock()
	t.runOwnershipActions(acts)
}

// releaseTimeout bounds one release request, which is repeated until it is answered.
const releaseTimeout = 2 * time.Second

// serve starts a dispatcher from the adapters that the target holds.
func (t *ownedTarget) serve(a ownership.Action) {
	t.mu.Lock()
	t.dispatcher = dispatch.New(t.dispatchConfig(a.FencingToken))
	t.servingToken = a.FencingToken
	t.dispatcher.Inherit(t.now(), a.Resident, t.catalog.ParseName, t.rejectsStaleTokens())
	took := t.now().Sub(t.acquireStarted)
	t.mu.Unlock()
	t.owner.cfg.Metrics.Takeovers.Add(1)
	t.owner.cfg.Audit.Record(t.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(t.id),
		New:     string(t.owner.cfg.Self) + " fence " + strconv.FormatUint(a.FencingToken, 10),
		Comment: "serving after " + took.String(),
	})
}

// rejectsStaleTokens reports whether the target refuses orders with stale fencing tokens.
func (t *ownedTarget) rejectsStaleTokens() bool {
	return t.spec.Fencing == schema.Fencing_FENCING_REFUSES
}

func (t *ownedTarget) dispatchConfig(token uint64) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots = int(t.spec.Slots)
	cfg.Batch = int(t.spec.Batch)
	cfg.QueueLimit = int(t.catalog.Limits.QueuePerTarget)
	if loadTime := t.owner.meanLoadTime.Load(); loadTime > 0 {
		cfg.LoadTime = time.Duration(loadTime)
	}
	if !t.rejectsStaleTokens() {
		cfg.NameSuffix = t.nameSuffix(token)
	}
	return cfg
}

// nameSuffix returns a suffix that makes the adapter names of this ownership term unique, also
// against those of an earlier process of this VM that claimed the target in the same millisecond.
func (t *ownedTarget) nameSuffix(token uint64) string {
	return "~" + strconv.FormatUint(token, 36) + "." + strconv.FormatUint(t.owner.cfg.Incarnation, 36)
}

func (t *ownedTarget) setHolds(a ownership.Action) {
	t.mu.Lock()
	var acts []dispatch.Action
	if t.dispatcher != nil {
		acts = t.dispatcher.SetHolds(t.now(), a.All, a.Names)
	}
	t.mu.Unlock()
	t.runDispatchActions(acts)
}

// stop ends the dispatch of new requests; running requests continue.
func (t *ownedTarget) stop() {
	t.mu.Lock()
	var acts []dispatch.Action
	if t.dispatcher != nil {
		acts = t.dispatcher.Stop(t.now())
	}
	t.mu.Unlock()
	t.owner.cfg.Metrics.StepDowns.Add(1)
	t.owner.cfg.Audit.Record(t.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(t.id), Old: string(t.owner.cfg.Self), Comment: "stepped down",
	})
	t.runDispatchActions(acts)
}
