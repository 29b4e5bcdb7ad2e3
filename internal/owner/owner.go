// Package owner runs the targets that this VM owns. It drives the ownership and
// dispatch state machines of the coordination library: it feeds them the
// targets' answers and the time, and carries out their actions.
//
// Lock order: Owner.mu, then unit.mu. Actions run after both are let go. Orders
// and reads of targets run on a worker pool; a request runs on the goroutine
// that brought it, so that a long stream holds no worker that a short order
// needs (docs/DECISIONS.md, "Pools and streams").
package owner

import (
	"context"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/audit"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/schema"
)

// Permits gives load turns at the weight store.
type Permits interface {
	// Acquire waits for a turn. When it is granted, done must be called once
	// the load has ended; otherwise the load may be asked for again after
	// retry.
	Acquire(ctx context.Context, target coord.TargetID, value float64) (done func(), granted bool, retry time.Duration)
	// RaisePriority changes the value of the target's ask that waits.
	RaisePriority(target coord.TargetID, value float64)
}

// ReleaseClient asks other VMs whether they have let go of targets.
type ReleaseClient interface {
	// RequestRelease returns the claimed targets that vm has let go of.
	RequestRelease(ctx context.Context, vm coord.VMID, claims []*schema.Claim) ([]*schema.Released, error)
}

// Config holds what an Owner works with.
type Config struct {
	Self coord.VMID
	// Incarnation of this process.
	Incarnation uint64
	TieBreaker  uint16
	Transport   http.RoundTripper
	OrderToken  string
	Permits     Permits
	Releases    ReleaseClient
	Log         log.Interface
	Audit       *audit.Trail
	Metrics     *metrics.Set
	// Now is the clock.
	Now func() time.Time
}

// orderWorkers bounds the orders and reads that run at once. A load holds its
// worker until it is resident, and a target has at most one.
const orderWorkers = 256

// Owner is the owner of some targets.
type Owner struct {
	cfg  Config
	pool pond.Pool

	mu    sync.Mutex
	units map[coord.TargetID]*unit
	peers []coord.VMID
	// loadTime is the measured time of a load in nanoseconds, for targets that
	// are taken over; zero until there was one.
	loadTime atomic.Int64
}

// New returns an Owner of nothing.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, pool: pond.NewPool(orderWorkers), units: map[coord.TargetID]*unit{}}
}

// View is what ownership is decided from.
type View struct {
	Catalog *catalog.Catalog
	Chooser *ownership.Chooser
	// Peers are the other VMs of the published list.
	Peers []coord.VMID
	// Leaving says that this VM hands everything over.
	Leaving bool
}

// Apply takes a new view.
func (o *Owner) Apply(v View) {
	for u, wanted := range o.decide(v) {
		u.want(wanted, v)
	}
}

// decide says for each unit whether this VM should own its target, and makes the
// units that it lacks. A target that the bundle no longer holds is not wanted.
func (o *Owner) decide(v View) map[*unit]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers = v.Peers
	wanted := make(map[*unit]bool, len(o.units))
	for _, u := range o.units {
		wanted[u] = false
	}
	for id, t := range v.Catalog.Targets() {
		if t.Kind != schema.TargetKind_TARGET_KIND_ENGINE || v.Leaving || v.Chooser.Owner(t.Hash, t.Hall) != o.cfg.Self {
			continue
		}
		if o.units[id] == nil {
			o.units[id] = newUnit(o, t, v.Catalog)
		}
		wanted[o.units[id]] = true
	}
	return wanted
}

// dropGone forgets the units of targets that are no more.
func (o *Owner) dropGone() {
	for _, u := range o.snapshot() {
		if u.gone() {
			o.mu.Lock()
			delete(o.units, u.id)
			o.mu.Unlock()
		}
	}
}

func (o *Owner) unit(id coord.TargetID) *unit {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.units[id]
}

func (o *Owner) otherPeers() []coord.VMID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers
}

func (o *Owner) snapshot() []*unit {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*unit, 0, len(o.units))
	for _, u := range o.units {
		out = append(out, u)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// tickEvery is the time between two ticks, pollTicks how many ticks lie between
// two reads of a target's state.
const (
	tickEvery = 100 * time.Millisecond
	pollTicks = 10
)

// Run drives the units until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(n%pollTicks == 0)
		}
	}
}

func (o *Owner) tick(poll bool) {
	peers := o.otherPeers()
	for _, u := range o.snapshot() {
		u.tick(peers, poll)
	}
	if poll {
		o.dropGone()
	}
}

// Execute runs an attempt on a target that this VM owns.
func (o *Owner) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	u := o.unit(coord.TargetID(f.Target))
	if u == nil {
		return refuse(forward.CodeNotOwner, 0, "this VM does not own the target")
	}
	return u.execute(ctx, f, sink)
}

// refuse is the result of an attempt that this VM did not send.
func refuse(code string, retry time.Duration, message string) forward.Result {
	return forward.Fail(code, http.StatusServiceUnavailable, schema.Outcome_OUTCOME_NOT_RUN, retry, message)
}

// Release answers another VM's claims with the targets that are let go.
func (o *Owner) Release(claims []*schema.Claim) []*schema.Released {
	var out []*schema.Released
	for _, c := range claims {
		u := o.unit(coord.TargetID(c.Target))
		if u == nil {
			out = append(out, &schema.Released{Target: c.Target})
			continue
		}
		if released, inUse := u.release(c.Fence); released {
			out = append(out, &schema.Released{Target: c.Target, InUse: inUse})
		}
	}
	return out
}

// Running returns how many requests run or wait at owned targets.
func (o *Owner) Running() int {
	n := 0
	for _, u := range o.snapshot() {
		n += u.busy()
	}
	return n
}

// Status returns the state of each owned target.
func (o *Owner) Status() []*schema.TargetStatus {
	var out []*schema.TargetStatus
	for _, u := range o.snapshot() {
		out = append(out, u.status())
	}
	return out
}

// noteLoadTime keeps a running mean. A measurement lost between two goroutines
// does no harm.
func (o *Owner) noteLoadTime(took time.Duration) {
	mean := time.Duration(o.loadTime.Load())
	if mean == 0 {
		mean = took
	}
	o.loadTime.Store(int64(dispatch.UpdateEWMA(mean, took)))
}

// Close waits for orders that run.
func (o *Owner) Close() { o.pool.StopAndWait() }
