// Package router picks the target of a request and finds who runs it. It holds
// what this VM has heard of the targets' load.
//
// Lock order: Router.mu is taken alone. The catalog and chooser are swapped
// whole and never changed.
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

// View is what routing decides from.
type View struct {
	Catalog *catalog.Catalog
	Chooser *ownership.Chooser
	// Zone of this VM, preferred for plain services.
	Zone string
}

// Router picks targets.
type Router struct {
	view atomic.Pointer[View]
	now  func() time.Time

	mu     sync.Mutex
	sched  *placement.Scheduler
	board  *placement.LoadTracker
	spread *placement.Spread
	turn   uint64
}

// New returns a Router without a view.
func New(now func() time.Time) *Router {
	return &Router{
		sched: placement.Default(), now: now,
		board:  placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()),
		spread: placement.NewSpread(placement.DefaultSpreadConfig()),
	}
}

// SetView puts a view in force.
func (r *Router) SetView(v View) {
	w := v.Catalog.Weights
	spread, sched := placement.ForWeights(w.GetLoadStall(), w.GetBatchEfficiency())
	r.mu.Lock()
	r.spread.SetConfig(spread)
	r.sched = sched
	r.mu.Unlock()
	r.view.Store(&v)
}

// Catalog returns the catalog in force, or nil.
func (r *Router) Catalog() *catalog.Catalog {
	if v := r.view.Load(); v != nil {
		return v.Catalog
	}
	return nil
}

// Route is where an attempt goes.
type Route struct {
	Target coord.TargetID
	// Owner runs the attempt; empty for a plain service.
	Owner   coord.VMID
	Address string
}

// PickEngine picks an engine for a model. Targets in avoid are passed over.
func (r *Router) PickEngine(m catalog.Model, avoid []coord.TargetID) (Route, bool) {
	v := r.view.Load()
	pool := v.Catalog.Engines.Pool(m.Base)
	if pool == nil {
		return Route{}, false
	}
	r.mu.Lock()
	q := r.query(m, avoid)
	choice := r.sched.Pick(pool, r.board, &q)
	if choice.OK {
		r.board.RecordSent(choice.Target)
	}
	r.mu.Unlock()
	if !choice.OK {
		return Route{}, false
	}
	t := v.Catalog.Target(choice.Target)
	owner := v.Chooser.Owner(t.Hash, t.Hall)
	return Route{Target: t.ID, Owner: owner, Address: t.Address}, owner != ""
}

func (r *Router) query(m catalog.Model, avoid []coord.TargetID) placement.Query {
	return placement.Query{
		Key: m.Key, Zones: m.ZoneMask, Spread: r.spread.Width(m.Key), Exclude: avoid, Now: r.now(),
	}
}

// PickService picks an instance of a plain service: in this VM's hall if one is fit
// there, in turn among equals.
func (r *Router) PickService(s *catalog.Service, avoid []coord.TargetID) (Route, bool) {
	v := r.view.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn++
	var best *catalog.Target
	bestLocal := false
	for i := range s.Targets {
		t := s.Targets[(uint64(i)+r.turn)%uint64(len(s.Targets))]
		local := t.Hall == v.Zone
		if !r.fit(t, avoid) || (best != nil && (bestLocal || !local)) {
			continue
		}
		best, bestLocal = t, local
	}
	if best == nil {
		return Route{}, false
	}
	return Route{Target: best.ID, Address: best.Address}, true
}

func (r *Router) fit(t *catalog.Target, avoid []coord.TargetID) bool {
	for _, id := range avoid {
		if id == t.ID {
			return false
		}
	}
	return !t.Leaving && !r.board.Ejected(r.now(), t.ID)
}

// ObserveLoad takes what an owner told with an answer.
func (r *Router) ObserveLoad(key uint64, h *schema.LoadHint) {
	if h == nil {
		return
	}
	id := coord.TargetID(h.Target)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.ObserveLoad(r.now(), id, int(h.Running), int(h.Queued))
	r.board.SetLeaving(id, h.Leaving)
	r.spread.ObserveLoad(r.now(), key, int(h.SameAdapter), int(h.Batch))
}

// RecordResult notes whether a target served an attempt.
func (r *Router) RecordResult(id coord.TargetID, served bool) (ejected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.board.RecordSuccess(id)
		return false
	}
	return r.board.RecordFailure(r.now(), id)
}

// Tick lets old knowledge fade. Call it about once a second.
func (r *Router) Tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.ExpireStale(r.now())
	r.spread.Tick(r.now())
}

// Explain says why a model's request goes where it goes.
func (r *Router) Explain(m catalog.Model) *schema.Explanation {
	v := r.view.Load()
	out := &schema.Explanation{Model: m.Adapter.Model()}
	pool := v.Catalog.Engines.Pool(m.Base)
	if pool == nil {
		return out
	}
	r.mu.Lock()
	q := r.query(m, nil)
	reasons := r.sched.Explain(pool, r.board, &q)
	choice := r.sched.Pick(pool, r.board, &q)
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
