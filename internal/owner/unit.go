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
		machine: ownership.New(o.cfg.Self, o.cfg.TieBreaker),
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
	acts = append(acts, u.machine.SetDesired(u.now(), wanted, v.Peers)...)
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
	return u.machine.HandleRestart(u.now())
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
	released, acts := u.machine.HandleReleaseRequest(u.now(), fence)
	if u.dispatch != nil {
		inUse = u.dispatch.Slots().InUse(u.now())
	}
	u.mu.Unlock()
	u.runOwnership(acts)
	return released, inUse
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
		acts = u.machine.HandleRestart(u.now())
	}
	u.mu.Unlock()
	if restarted {
		u.log().WithField("boot", boot).Warn("target_restarted")
	}
	u.runOwnership(acts)
	return restarted
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
	s := &schema.TargetStatus{Target: string(u.id), Fence: u.machine.FencingToken(), State: u.machine.Phase().String()}
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
