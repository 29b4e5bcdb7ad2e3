// Package owner runs the targets that this VM owns. It drives the ownership and dispatch state
// machines of the coordination library: it passes them the targets' answers and the time, and
// executes the actions that they return.
//
// Lock order: Owner.mu before ownedTarget.mu. Actions run after both are released. Orders and reads
// of targets run on a worker pool. A request runs on the goroutine that received it, so that a long
// stream does not occupy a worker that a short order needs (docs/DECISIONS.md, "Pools and
// streams").
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

// Permits issues load permits for the weight store.
type Permits interface {
	// Acquire waits for a load permit. If the permit is granted, done must be called once the load
	// has ended; otherwise the load may be requested again after retryAfter.
	Acquire(ctx context.Context, target coord.TargetID, priority float64) (done func(), granted bool, retryAfter time.Duration)
	// RaisePriority changes the priority of the target's waiting permit request.
	RaisePriority(target coord.TargetID, priority float64)
}

// ReleaseClient queries other VMs for targets that they have released.
type ReleaseClient interface {
	// RequestRelease returns those of the claimed targets that vm has released.
	RequestRelease(ctx context.Context, vm coord.VMID, claims []*schema.Claim) ([]*schema.Released, error)
}

// Config holds the settings and dependencies of an Owner.
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
	// Now returns the current time.
	Now func() time.Time
}

// orderWorkers bounds the orders and reads that run at once. A load occupies its worker until the
// adapter is resident, and a target has at most one load in progress.
const orderWorkers = 256

// Owner manages the targets that this VM owns.
type Owner struct {
	cfg  Config
	pool pond.Pool

	mu      sync.Mutex
	targets map[coord.TargetID]*ownedTarget
	peers   []coord.VMID
	// meanLoadTime is the exponentially weighted moving average of the load time, in nanoseconds.
	// It is the initial estimate for targets that are taken over; zero until the first load.
	meanLoadTime atomic.Int64
}

// New returns an Owner without targets.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, pool: pond.NewPool(orderWorkers), targets: map[coord.TargetID]*ownedTarget{}}
}

// View is the input from which ownership is decided.
type View struct {
	Catalog *catalog.Catalog
	Chooser *ownership.Chooser
	// Peers are the other VMs of the published list.
	Peers []coord.VMID
	// Leaving means that this VM hands over all its targets.
	Leaving bool
}

// Apply applies a new view.
func (o *Owner) Apply(v View) {
	for t, desired := range o.desiredTargets(v) {
		t.setDesired(desired, v)
	}
}

// desiredTargets returns each target with whether this VM should own it, and adds the targets that
// it should own and does not track yet. A target that the bundle no longer contains is not desired.
func (o *Owner) desiredTargets(v View) map[*ownedTarget]bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.peers = v.Peers
	desired := make(map[*ownedTarget]bool, len(o.targets))
	for _, t := range o.targets {
		desired[t] = false
	}
	for id, spec := range v.Catalog.Targets() {
		if spec.Kind != schema.TargetKind_TARGET_KIND_ENGINE || v.Leaving || v.Chooser.Owner(spec.Hash, spec.Hall) != o.cfg.Self {
			continue
		}
		if o.targets[id] == nil {
			o.targets[id] = newOwnedTarget(o, spec, v.Catalog)
		}
		desired[o.targets[id]] = true
	}
	return desired
}

// removeObsolete removes the targets that the bundle no longer contains and that this VM has fully
// released.
func (o *Owner) removeObsolete() {
	for _, t := range o.snapshot() {
		if t.isObsolete() {
			o.mu.Lock()
			delete(o.targets, t.id)
			o.mu.Unlock()
		}
	}
}

func (o *Owner) target(id coord.TargetID) *ownedTarget {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.targets[id]
}

func (o *Owner) otherPeers() []coord.VMID {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.peers
}

func (o *Owner) snapshot() []*ownedTarget {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*ownedTarget, 0, len(o.targets))
	for _, t := range o.targets {
		out = append(out, t)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].id < out[j].id })
	return out
}

// tickInterval is the time between two ticks. The state of a target is read every ticksPerPoll
// ticks.
const (
	tickInterval = 100 * time.Millisecond
	ticksPerPoll = 10
)

// Run drives the targets until the context ends.
func (o *Owner) Run(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			o.tick(n%ticksPerPoll == 0)
		}
	}
}

func (o *Owner) tick(poll bool) {
	peers := o.otherPeers()
	for _, t := range o.snapshot() {
		t.tick(peers, poll)
	}
	if poll {
		o.removeObsolete()
	}
}

// Execute runs an attempt on a target that this VM owns.
func (o *Owner) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	t := o.target(coord.TargetID(f.Target))
	if t == nil {
		return refuse(forward.CodeNotOwner, 0, "this VM does not own the target")
	}
	return t.execute(ctx, f, sink)
}

// refuse returns the result of an attempt that this VM did not send.
func refuse(code string, retryAfter time.Duration, message string) forward.Result {
	return forward.FailedResult(code, http.StatusServiceUnavailable, schema.Outcome_OUTCOME_NOT_RUN, retryAfter, message)
}

// HandleReleaseRequest answers another VM's claims with the claimed targets that this VM has
// released.
func (o *Owner) HandleReleaseRequest(claims []*schema.Claim) []*schema.Released {
	var out []*schema.Released
	for _, c := range claims {
		t := o.target(coord.TargetID(c.Target))
		if t == nil {
			out = append(out, &schema.Released{Target: c.Target})
			continue
		}
		if released, inUse := t.handleReleaseRequest(c.Fence); released {
			out = append(out, &schema.Released{Target: c.Target, InUse: inUse})
		}
	}
	return out
}

// Running returns how many requests run or wait at owned targets.
func (o *Owner) Running() int {
	n := 0
	for _, t := range o.snapshot() {
		n += t.openRequests()
	}
	return n
}

// Status returns the state of each owned target.
func (o *Owner) Status() []*schema.TargetStatus {
	var out []*schema.TargetStatus
	for _, t := range o.snapshot() {
		out = append(out, t.status())
	}
	return out
}

// recordLoadTime updates the average load time. If two goroutines update it at once, one sample may
// be lost, which is harmless.
func (o *Owner) recordLoadTime(took time.Duration) {
	mean := time.Duration(o.meanLoadTime.Load())
	if mean == 0 {
		mean = took
	}
	o.meanLoadTime.Store(int64(dispatch.UpdateEWMA(mean, took)))
}

// Close waits for the orders in progress.
func (o *Owner) Close() { o.pool.StopAndWait() }
