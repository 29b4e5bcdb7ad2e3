package owner

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/audit"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// unit is one target that this VM owns, or is about to, or is letting go.
type unit struct {
	id     coord.TargetID
	owner  *Owner
	engine *target.Engine

	mu       sync.Mutex
	spec     *catalog.Target
	catalog  *catalog.Catalog
	machine  *ownership.Machine
	dispatch *dispatch.Dispatcher
	waiters  map[uint64]chan dispatch.Action
	// serving is the fencing number of the tenure that dispatch belongs to.
	serving uint64
	nextID  uint64
	boot    string
	leaving bool
	// doubted is set when the target has shown that its slots are not what
	// this VM believes.
	doubted  bool
	turnDone func()
	tookAt   time.Time
}

func newUnit(o *Owner, t *catalog.Target, c *catalog.Catalog) *unit {
	return &unit{
		id: t.ID, owner: o, spec: t, catalog: c,
		engine:  target.NewEngine(t.Target, o.cfg.Transport, o.cfg.OrderToken),
		machine: ownership.New(o.cfg.Self, o.cfg.Tie),
		waiters: map[uint64]chan dispatch.Action{},
	}
}

func (u *unit) log() log.Interface {
	return u.owner.cfg.Log.WithField("target", string(u.id))
}

func (u *unit) now() time.Time { return u.owner.cfg.Now() }

// want takes the word of a view on who should own the target.
func (u *unit) want(wanted bool, v View) {
	u.mu.Lock()
	u.catalog = v.Catalog
	var acts []ownership.Action
	if t := v.Catalog.Target(u.id); t != nil {
		acts = u.respec(t)
	}
	before := u.machine.Phase()
	if wanted && before == ownership.Idle {
		u.tookAt = u.now()
	}
	acts = append(acts, u.machine.Want(u.now(), wanted, v.Peers)...)
	u.mu.Unlock()
	u.runOwnership(acts)
}

// respec takes the target's declaration. When it has changed in more than that
// the target leaves, what this VM knows of it may be wrong, and the tenure starts
// anew: the target is read and claimed before it is used. u.mu is held.
func (u *unit) respec(t *catalog.Target) []ownership.Action {
	old := u.spec
	u.spec = t
	u.leaving = u.leaving || t.Leaving
	if sameTarget(old.Target, t.Target) {
		return nil
	}
	u.engine = target.NewEngine(t.Target, u.owner.cfg.Transport, u.owner.cfg.OrderToken)
	u.boot = ""
	return u.machine.Rebooted(u.now())
}

func sameTarget(a, b *schema.Target) bool {
	x, y := proto.CloneOf(a), proto.CloneOf(b)
	x.Leaving, y.Leaving = false, false
	return proto.Equal(x, y)
}

// gone reports whether the bundle holds the target no more and nothing of it is
// left here. Until then the unit answers for what its requests still use.
func (u *unit) gone() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.catalog.Target(u.id) == nil && u.machine.Phase() == ownership.Idle
}

func (u *unit) tick(peers []coord.VMID, poll bool) {
	u.mu.Lock()
	own := u.machine.Tick(u.now(), peers)
	var acts []dispatch.Action
	serving := u.machine.Phase() == ownership.Serving
	if u.dispatch != nil && serving {
		acts = u.dispatch.Tick(u.now())
	}
	u.mu.Unlock()
	u.runOwnership(own)
	u.runDispatch(acts)
	if poll && serving {
		u.owner.pool.Submit(u.poll)
	}
}

// release answers another VM's claim: whether this VM has let go, and the names
// that its last requests still use.
func (u *unit) release(fence uint64) (released bool, inUse []string) {
	u.mu.Lock()
	released, acts := u.machine.AskedToRelease(u.now(), fence)
	if u.dispatch != nil {
		inUse = u.dispatch.Slots().InUse()
	}
	u.mu.Unlock()
	u.runOwnership(acts)
	return released, inUse
}

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
		u.owner.pool.Submit(func() { u.claim(a.Fence) })
	case ownership.ActAskRelease:
		u.owner.pool.Submit(func() { u.askRelease(a.VM, a.Fence) })
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
	acts := u.machine.Read(u.now(), ownership.Report{Fence: state.Fence, Resident: state.Resident})
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
	acts := u.machine.Claimed(u.now(), fence, ownership.Report{Fence: state.Fence, Resident: state.Resident})
	u.mu.Unlock()
	u.runOwnership(acts)
}

// orderFailed steps down when the target refused the order's number.
func (u *unit) orderFailed(fence uint64, err error) {
	u.log().WithError(err).WithField("fence", fence).Warn("order_failed")
	var stale *target.StaleFence
	if !errors.As(err, &stale) {
		return
	}
	u.mu.Lock()
	acts := u.machine.Refused(u.now(), fence, stale.Seen)
	u.mu.Unlock()
	u.runOwnership(acts)
}

func (u *unit) askRelease(vm coord.VMID, fence uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	claim := &schema.Claim{Target: string(u.id), Fence: fence}
	released, err := u.owner.cfg.Releases.AskRelease(ctx, vm, []*schema.Claim{claim})
	if err != nil || len(released) == 0 {
		return
	}
	u.mu.Lock()
	acts := u.machine.Released(vm, fence, released[0].InUse)
	u.mu.Unlock()
	u.runOwnership(acts)
}

// releaseTimeout bounds one ask for a release; it is repeated until answered.
const releaseTimeout = 2 * time.Second

// serve starts the dispatcher from what the target holds.
func (u *unit) serve(a ownership.Action) {
	u.mu.Lock()
	u.dispatch = dispatch.New(u.dispatchConfig(a.Fence))
	u.serving = a.Fence
	u.dispatch.Inherit(u.now(), a.Resident, u.catalog.ParseName, u.fences())
	took := u.now().Sub(u.tookAt)
	u.mu.Unlock()
	u.owner.cfg.Metrics.Takeovers.Add(1)
	u.owner.cfg.Audit.Note(u.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(u.id),
		New:     string(u.owner.cfg.Self) + " fence " + strconv.FormatUint(a.Fence, 10),
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
	u.owner.cfg.Audit.Note(u.now(), audit.Change{
		Actor: "ownership", Subject: "target/" + string(u.id), Old: string(u.owner.cfg.Self), Comment: "stepped down",
	})
	u.runDispatch(acts)
}

// poll reads the target's report and compares the slots with it.
func (u *unit) poll() {
	u.mu.Lock()
	engine, d := u.engine, u.dispatch
	u.mu.Unlock()
	state, err := engine.State(context.Background())
	if err != nil {
		u.log().WithError(err).Debug("target_unreadable")
		return
	}
	if u.noteBoot(d, state.BootID) {
		return
	}
	u.feed(d, func(now time.Time) []dispatch.Action { return u.takeState(now, d, state) })
}

// takeState takes a leave or a doubt of the target to heart. A report lags: only
// one that was asked for after the target itself said that something is not as
// this VM believes may empty slots. u.mu is held.
func (u *unit) takeState(now time.Time, d *dispatch.Dispatcher, state *target.State) []dispatch.Action {
	u.leaving = state.Leaving || u.spec.Leaving
	doubted := u.doubted
	u.doubted = false
	if !doubted {
		return nil
	}
	held := len(u.machine.Holds()) > 0
	return d.Reconcile(now, state.Resident, u.catalog.ParseName, held)
}

// noteBoot claims a target anew that has restarted: it holds no adapter and has
// forgotten this VM's number.
func (u *unit) noteBoot(d *dispatch.Dispatcher, boot string) (restarted bool) {
	u.mu.Lock()
	var acts []ownership.Action
	if u.dispatch == d && u.boot != "" && boot != u.boot {
		restarted = true
		u.boot = ""
		acts = u.machine.Rebooted(u.now())
	}
	u.mu.Unlock()
	if restarted {
		u.log().WithField("boot", boot).Warn("target_restarted")
	}
	u.runOwnership(acts)
	return restarted
}

func (u *unit) runDispatch(acts []dispatch.Action) {
	for _, a := range acts {
		u.runDispatchAction(a)
	}
}

func (u *unit) runDispatchAction(a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActStart, dispatch.ActRefuse:
		u.wake(a)
	case dispatch.ActAskTurn:
		u.submitOrder(func(d *dispatch.Dispatcher) { u.askTurn(d, a.Value) })
	case dispatch.ActRaiseTurn:
		u.owner.pool.Submit(func() { u.owner.cfg.Turns.Raise(u.id, a.Value) })
	case dispatch.ActGiveTurn:
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
	done, granted, retry := u.owner.cfg.Turns.Acquire(context.Background(), u.id, value)
	if !granted {
		u.feed(d, func(now time.Time) []dispatch.Action { return d.TurnDenied(now, retry) })
		return
	}
	current := u.feed(d, func(now time.Time) []dispatch.Action {
		u.turnDone = done
		return d.TurnGranted(now)
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
	return u.engine, u.machine.Fence(), u.machine.MayStart()
}

var errStepped = errors.New("this VM does not own the target any more")

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

func (u *unit) busy() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.dispatch == nil {
		return 0
	}
	return u.dispatch.Running() + u.dispatch.Queued()
}

func (u *unit) status() *schema.TargetStatus {
	u.mu.Lock()
	defer u.mu.Unlock()
	s := &schema.TargetStatus{Target: string(u.id), Fence: u.machine.Fence(), State: u.machine.Phase().String()}
	for _, vm := range u.machine.Holds() {
		s.Holds = append(s.Holds, string(vm))
	}
	if u.dispatch == nil {
		return s
	}
	s.Running, s.Queued = uint32(u.dispatch.Running()), uint32(u.dispatch.Queued())
	for _, slot := range u.dispatch.Slots().Slots() {
		s.Resident = append(s.Resident, slot.Name)
	}
	return s
}
