package owner

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// ownedTarget is one target that this VM owns, is acquiring or is releasing.
type ownedTarget struct {
	id     coord.TargetID
	owner  *Owner
	engine *target.Engine

	mu         sync.Mutex
	spec       *catalog.Target
	catalog    *catalog.Catalog
	machine    *ownership.Machine
	dispatcher *dispatch.Dispatcher
	waiters    map[uint64]chan dispatch.Action
	// servingToken is the fencing token of the ownership term that dispatcher belongs to.
	servingToken uint64
	nextID       uint64
	bootID       string
	leaving      bool
	// needsReconcile is set when an answer of the target has shown that its slots differ from the
	// state that this VM tracks.
	needsReconcile bool
	permitDone     func()
	acquireStarted time.Time
}

func newOwnedTarget(o *Owner, spec *catalog.Target, c *catalog.Catalog) *ownedTarget {
	return &ownedTarget{
		id: spec.ID, owner: o, spec: spec, catalog: c,
		engine:  target.NewEngine(spec.Target, o.cfg.Transport, o.cfg.OrderToken),
		machine: ownership.New(o.cfg.Self, o.cfg.TieBreaker),
		waiters: map[uint64]chan dispatch.Action{},
	}
}

func (t *ownedTarget) log() log.Interface {
	return t.owner.cfg.Log.WithField("target", string(t.id))
}

func (t *ownedTarget) now() time.Time { return t.owner.cfg.Now() }

// setDesired applies a view's decision on whether this VM should own the target.
func (t *ownedTarget) setDesired(desired bool, v View) {
	t.mu.Lock()
	t.catalog = v.Catalog
	var acts []ownership.Action
	if spec := v.Catalog.Target(t.id); spec != nil {
		acts = t.updateSpec(spec)
	}
	before := t.machine.Phase()
	if desired && before == ownership.Idle {
		t.acquireStarted = t.now()
	}
	acts = append(acts, t.machine.SetDesired(t.now(), desired, v.Peers)...)
	t.mu.Unlock()
	t.runOwnershipActions(acts)
}

// updateSpec applies the target's declaration. If more has changed than that the target is leaving,
// the tracked state may be wrong, and a new ownership term begins: the target is read and claimed
// before it is used. t.mu must be held.
func (t *ownedTarget) updateSpec(spec *catalog.Target) []ownership.Action {
	old := t.spec
	t.spec = spec
	t.leaving = t.leaving || spec.Leaving
	if sameTarget(old.Target, spec.Target) {
		return nil
	}
	t.engine = target.NewEngine(spec.Target, t.owner.cfg.Transport, t.owner.cfg.OrderToken)
	t.bootID = ""
	return t.machine.HandleRestart(t.now())
}

func sameTarget(a, b *schema.Target) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Leaving, y.Leaving = false, false
	return proto.Equal(x, y)
}

// isObsolete reports whether the bundle no longer contains the target and this VM has fully
// released it. Until then, release requests for the target are answered with the adapters that its
// requests still use.
func (t *ownedTarget) isObsolete() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.catalog.Target(t.id) == nil && t.machine.Phase() == ownership.Idle
}

func (t *ownedTarget) tick(peers []coord.VMID, poll bool) {
	t.mu.Lock()
	ownershipActs := t.machine.Tick(t.now(), peers)
	var dispatchActs []dispatch.Action
	serving := t.machine.Phase() == ownership.Serving
	if t.dispatcher != nil && serving {
		dispatchActs = t.dispatcher.Tick(t.now())
	}
	t.mu.Unlock()
	t.runOwnershipActions(ownershipActs)
	t.runDispatchActions(dispatchActs)
	if poll && serving {
		t.owner.pool.Submit(t.poll)
	}
}

// handleReleaseRequest handles another VM's claim. It returns whether this VM has released the
// target, and the adapter names that its last requests still use.
func (t *ownedTarget) handleReleaseRequest(token uint64) (released bool, inUse []string) {
	t.mu.Lock()
	released, acts := t.machine.HandleReleaseRequest(t.now(), token)
	if t.dispatcher != nil {
		inUse = t.dispatcher.Slots().InUse(t.now())
	}
	t.mu.Unlock()
	t.runOwnershipActions(acts)
	return released, inUse
}

// poll reads the target's state and applies it.
func (t *ownedTarget) poll() {
	t.mu.Lock()
	engine, d := t.engine, t.dispatcher
	t.mu.Unlock()
	state, err := engine.State(context.Background())
	if err != nil {
		t.log().WithError(err).Debug("target_unreadable")
		return
	}
	if t.checkRestart(d, state.BootID) {
		return
	}
	t.applyEvent(d, func(now time.Time) []dispatch.Action { return t.applyState(now, d, state) })
}

// applyState applies the leaving state of a report, and reconciles the slots with the report if
// that was requested. Because reports lag, only one that was requested after the target itself
// contradicted the tracked state may empty slots. t.mu must be held.
func (t *ownedTarget) applyState(now time.Time, d *dispatch.Dispatcher, state *target.State) []dispatch.Action {
	t.leaving = state.Leaving || t.spec.Leaving
	reconcile := t.needsReconcile
	t.needsReconcile = false
	if !reconcile {
		return nil
	}
	hasHolds := len(t.machine.Holds()) > 0
	return d.Reconcile(now, state.Resident, t.catalog.ParseName, hasHolds)
}

// checkRestart claims the target again if it has restarted: it then holds no adapter and has lost
// this VM's fencing token.
func (t *ownedTarget) checkRestart(d *dispatch.Dispatcher, bootID string) (restarted bool) {
	t.mu.Lock()
	var acts []ownership.Action
	if t.dispatcher == d && t.bootID != "" && bootID != t.bootID {
		restarted = true
		t.bootID = ""
		acts = t.machine.HandleRestart(t.now())
	}
	t.mu.Unlock()
	if restarted {
		t.log().WithField("boot", bootID).Warn("target_restarted")
	}
	t.runOwnershipActions(acts)
	return restarted
}

func (t *ownedTarget) openRequests() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.dispatcher == nil {
		return 0
	}
	return t.dispatcher.Running() + t.dispatcher.Queued()
}

func (t *ownedTarget) status() *schema.TargetStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &schema.TargetStatus{Target: string(t.id), Fence: t.machine.FencingToken(), State: t.machine.Phase().String()}
	for _, vm := range t.machine.Holds() {
		s.Holds = append(s.Holds, string(vm))
	}
	if t.dispatcher == nil {
		return s
	}
	s.Running, s.Queued = uint32(t.dispatcher.Running()), uint32(t.dispatcher.Queued())
	for _, slot := range t.dispatcher.Slots().Slots() {
		s.Resident = append(s.Resident, slot.Name)
	}
	return s
}
