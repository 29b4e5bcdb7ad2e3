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

func (u *unit) runOwnership(acts []ownership.Action) {
	for _, a := range acts {
		u.runOwnershipAction(a)
	}
}

func (u *unit) runOwnershipAction(a ownership.Action) {
	switch a.Kind {
	case ownership.ActRead:
		u.owner.pool.Submit(u.read)
	case ownership.ActClaim:
		u.owner.pool.Submit(func() { u.claim(a.FencingToken) })
	case ownership.ActRequestRelease:
		u.owner.pool.Submit(func() { u.askRelease(a.VM, a.FencingToken) })
	case ownership.ActServe:
		u.serve(a)
	case ownership.ActSetHolds:
		u.setHolds(a)
	case ownership.ActStop:
		u.stop()
	}
}

func (u *unit) read() {
	state, err := u.engineNow().State(context.Background())
	if err != nil {
		u.log().WithError(err).Debug("target_unreadable")
		return
	}
	u.mu.Lock()
	acts := u.machine.HandleReport(u.now(), ownership.Report{FencingToken: state.FencingToken, Resident: state.Resident})
	u.mu.Unlock()
	u.runOwnership(acts)
}

func (u *unit) engineNow() *target.Engine {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.engine
}

// claim raises the target's fencing number and reads what it holds afterwards.
func (u *unit) claim(fence uint64) {
	engine := u.engineNow()
	if err := engine.Claim(context.Background(), fence); err != nil {
		u.orderFailed(fence, err)
		return
	}
	state, err := engine.State(context.Background())
	if err != nil {
		u.log().WithError(err).Debug("target_unreadable")
		return
	}
	u.mu.Lock()
	u.boot = state.BootID
	u.leaving = state.Leaving || u.spec.Leaving
	acts := u.machine.HandleClaimAccepted(u.now(), fence, ownership.Report{FencingToken: state.FencingToken, Resident: state.Resident})
	u.mu.Unlock()
	u.runOwnership(acts)
}

// orderFailed steps down when the target refused the order's number.
func (u *unit) orderFailed(fence uint64, err error) {
	u.log().WithError(err).WithField("fence", fence).Warn("order_failed")
	var stale *target.StaleTokenError
	if !errors.As(err, &stale) {
		return
	}
	u.mu.Lock()
	acts := u.machine.HandleRejection(u.now(), fence, stale.Seen)
	u.mu.Unlock()
	u.runOwnership(acts)
}

func (u *unit) askRelease(vm coord.VMID, fence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	claim := &schema.Claim{Target: string(u.id), Fence: fence}
	released, err := u.owner.cfg.Releases.RequestRelease(ctx, vm, []*schema.Claim{claim})
	if err != nil || len(released) == 0 {
		return
	}
	u.mu.Lock()
	acts := u.machine.HandleRelease(vm, fence, released[0].InUse)
	u.mu.Unlock()
	u.runOwnership(acts)
}

// releaseTimeout bounds one ask for a release; it is repeated until answered.
const releaseTimeout = 2 * time.Second

// serve starts the dispatcher from what the target holds.
func (u *unit) serve(a ownership.Action) {
	u.mu.Lock()
	u.dispatch = dispatch.New(u.dispatchConfig(a.FencingToken))
	u.serving = a.FencingToken
	u.dispatch.Inherit(u.now(), a.Resident, u.catalog.ParseName, u.fences())
	took := u.now().Sub(u.tookAt)
	u.mu.Unlock()
	u.owner.cfg.Metrics.Takeovers.Add(1)
	u.owner.cfg.Audit.Record(u.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(u.id),
		New:     string(u.owner.cfg.Self) + " fence " + strconv.FormatUint(a.FencingToken, 10),
		Comment: "serving after " + took.String(),
	})
}

// fences reports whether the target refuses old fencing numbers.
func (u *unit) fences() bool { return u.spec.Fencing == schema.Fencing_FENCING_REFUSES }

func (u *unit) dispatchConfig(fence uint64) dispatch.Config {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots = int(u.spec.Slots)
	cfg.Batch = int(u.spec.Batch)
	cfg.QueueLimit = int(u.catalog.Limits.QueuePerTarget)
	if known := u.owner.loadTime.Load(); known > 0 {
		cfg.LoadTime = time.Duration(known)
	}
	if !u.fences() {
		cfg.NameSuffix = u.nameSuffix(fence)
	}
	return cfg
}

// nameSuffix tells the names of this tenure from all others, also from those of
// an earlier process of this VM that claimed in the same millisecond.
func (u *unit) nameSuffix(fence uint64) string {
	return "~" + strconv.FormatUint(fence, 36) + "." + strconv.FormatUint(u.owner.cfg.Incarnation, 36)
}

func (u *unit) setHolds(a ownership.Action) {
	u.mu.Lock()
	var acts []dispatch.Action
	if u.dispatch != nil {
		acts = u.dispatch.SetHolds(u.now(), a.All, a.Names)
	}
	u.mu.Unlock()
	u.runDispatch(acts)
}

// stop ends new work; running requests go on.
func (u *unit) stop() {
	u.mu.Lock()
	var acts []dispatch.Action
	if u.dispatch != nil {
		acts = u.dispatch.Stop(u.now())
	}
	u.mu.Unlock()
	u.owner.cfg.Metrics.StepDowns.Add(1)
	u.owner.cfg.Audit.Record(u.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(u.id), Old: string(u.owner.cfg.Self), Comment: "stepped down",
	})
	u.runDispatch(acts)
}
