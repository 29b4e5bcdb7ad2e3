// Package router picks the target of a request and the VM that owns the target.
// It keeps the load that owners have reported for each target.
//
// Lock order: no other lock is acquired while Router.mu is held. The catalog and
// the chooser are immutable and are replaced together.
package router

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/schema"
)

// View is the configuration that routing decisions are based on.
type View struct {
	Catalog *catalog.Catalog
	Chooser *ownership.Chooser
	// Zone is the availability zone of this VM. Plain services are served from it
	// if possible.
	Zone string
}

// Router picks targets for requests. It is safe for concurrent use.
type Router struct {
	view atomic.Pointer[View]
	now  func() time.Time

	mu        sync.Mutex
	scheduler *placement.Scheduler
	loads     *placement.LoadTracker
	spread    *placement.Spread
	rotation  uint64
}

// New returns a Router without a View. SetView must be called before requests are
// routed.
func New(now func() time.Time) *Router {
	return &Router{
		scheduler: placement.DefaultScheduler(), now: now,
		loads:  placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()),
		spread: placement.NewSpread(placement.DefaultSpreadConfig()),
	}
}

// SetView replaces the View and the placement settings that follow from its
// weights.
func (r *Router) SetView(v View) {
	w := v.Catalog.Weights
	spread, scheduler := placement.SettingsForWeights(w.GetLoadStall(), w.GetBatchEfficiency())
	r.mu.Lock()
	r.spread.SetConfig(spread)
	r.scheduler = scheduler
	r.mu.Unlock()
	r.view.Store(&v)
}

// Catalog returns the current catalog, or nil before the first SetView.
func (r *Router) Catalog() *catalog.Catalog {
	if v := r.view.Load(); v != nil {
		return v.Catalog
	}
	return nil
}

// Route is the destination of an attempt.
type Route struct {
	Target coord.TargetID
	// Owner is the VM that runs the attempt; empty for a plain service.
	Owner   coord.VMID
	Address string
}

// PickEngine picks an engine for a model, skipping the targets in exclude. It
// returns false if no engine is available or the engine has no owner.
func (r *Router) PickEngine(m catalog.Model, exclude []coord.TargetID) (Route, bool) {
	v := r.view.Load()
	pool := v.Catalog.Engines.Pool(m.Base)
	if pool == nil {
		return Route{}, false
	}
	r.mu.Lock()
	q := r.placementQuery(m, exclude)
	choice := r.scheduler.Pick(pool, r.loads, &q)
	if choice.OK {
		r.loads.RecordSent(choice.Target)
	}
	r.mu.Unlock()
	if !choice.OK {
		return Route{}, false
	}
	t := v.Catalog.Target(choice.Target)
	owner := v.Chooser.Owner(t.Hash, t.Hall)
	return Route{Target: t.ID, Owner: owner, Address: t.Address}, owner != ""
}

func (r *Router) placementQuery(m catalog.Model, exclude []coord.TargetID) placement.Query {
	return placement.Query{
		Key: m.Key, Zones: m.ZoneMask, Spread: r.spread.Width(m.Key), Exclude: exclude, Now: r.now(),
	}
}

// PickService picks an instance of a plain service, skipping the targets in exclude.
// It prefers available instances in this VM's zone and rotates among equals. It
// returns false if no instance is available.
func (r *Router) PickService(s *catalog.Service, exclude []coord.TargetID) (Route, bool) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotation++
	var best *catalog.Target
	bestLocal := false
	for i := range s.Targets {
		t := s.Targets[(uint64(i)+r.rotation)%uint64(len(s.Targets))]
		local := t.Hall == v.Zone
		if !r.isAvailable(t, exclude) || (best != nil && (bestLocal || !local)) {
			continue
		}
		best, bestLocal = t, local
	}
	if best == nil {
		return Route{}, false
	}
	return Route{Target: best.ID, Address: best.Address}, true
}

func (r *Router) isAvailable(t *catalog.Target, exclude []coord.TargetID) bool {
	for _, id := range exclude {
		if id == t.ID {
			return false
		}
	}
	return !t.Leaving && !r.loads.Ejected(r.now(), t.ID)
}

// ObserveLoad applies the load that an owner reported with a response. key is the
// placement key of the request's model.
func (r *Router) ObserveLoad(key uint64, h *schema.LoadHint) {
	if h == nil {
		return
	}
	id := coord.TargetID(h.Target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.ObserveLoad(r.now(), id, int(h.Running), int(h.Queued))
	r.loads.SetLeaving(id, h.Leaving)
	r.spread.ObserveLoad(r.now(), key, int(h.SameAdapter), int(h.Batch))
}

// RecordResult records whether a target served an attempt. It reports whether this
// result caused the target to be ejected.
func (r *Router) RecordResult(id coord.TargetID, served bool) (ejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.loads.RecordSuccess(id)
		return false
	}
	return r.loads.RecordFailure(r.now(), id)
}

// Tick drops stale load reports and narrows the spread of adapters that are no
// longer busy. It should be called about once a second.
func (r *Router) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.loads.ExpireStale(r.now())
	r.spread.Tick(r.now())
}

// Explain returns the target that would be chosen for a model and the rank, score
// or reason for exclusion of each candidate.
func (r *Router) Explain(m catalog.Model) *schema.Explanation {
	v := r.view.Load()
	out := &schema.Explanation{Model: m.Adapter.Model()}
	pool := v.Catalog.Engines.Pool(m.Base)
	if pool == nil {
		return out
	}
	r.mu.Lock()
	q := r.placementQuery(m, nil)
	reasons := r.scheduler.Explain(pool, r.loads, &q)
	choice := r.scheduler.Pick(pool, r.loads, &q)
	r.mu.Unlock()
	out.Chosen = string(choice.Target)
	for _, reason := range reasons {
		t := v.Catalog.Target(reason.Target)
		out.Candidates = append(out.Candidates, &schema.CandidateReport{
			Target: string(reason.Target), Owner: string(v.Chooser.Owner(t.Hash, t.Hall)),
			Score: reason.Score, RemovedBy: reason.RemovedBy, Rank: int32(reason.Rank), Hall: t.Hall,
		})
	}
	return out
}
