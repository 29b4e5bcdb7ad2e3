package scheduler

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Parameters of the number of replicas by demand.
const (
	// demandHalfLife is the time in which past requests lose half of their weight in the request
	// rate of an adapter. A shift in demand takes place within seconds, and at the rate from which
	// an adapter needs a second engine (some 8 requests per second) the estimate has a standard
	// deviation of 15%.
	demandHalfLife = 2 * time.Second
	// burstHalfLife is that of a second estimate, which detects a shift in demand within a few tenths
	// of a second. It is lowered by burstDeviations standard deviations, because a few requests in a
	// row are no shift. In a simulation of shifts (TestDemandShift, eight seeds of 16 s), 0.927 of
	// the requests in the two seconds after a shift were in time without this estimate, and 0.984
	// with it, at the same number of loads.
	burstHalfLife   = 200 * time.Millisecond
	burstDeviations = 2.0
	// targetBatchFill is the fraction of a batch that the expected runs may occupy. Arrivals are
	// random: with a mean of 12 runs, a batch of 16 is full for about a tenth of the time.
	targetBatchFill = 0.75
	// otherRunWeight is the part of a batch place that a run of another adapter takes from the
	// demand for a replica. Such runs end, and later ones may go to another engine. In the same
	// simulation at four thirds of its rate, 0.948 of all requests were in time with 0, 0.960 with
	// 0.5 and 0.963 with 1, at 2,803, 2,774 and 2,911 loads.
	otherRunWeight = 0.5
	// minPlaces is the least part of targetBatchFill that counts at a replica. Without it, full
	// batches everywhere would require ever more replicas.
	minPlaces = 0.25
	// demandInterval is the minimum time between two comparisons of demand and replicas: one tick.
	// The request rate changes little within it, and a load takes ten times as long.
	demandInterval = 20 * time.Millisecond
	// maxDemandSearches bounds the searches for a target in one comparison: as many loads may start
	// as a store of the known deployments serves at full speed in one tick.
	maxDemandSearches = 16
	// runCost is the cost of loading an adapter at a target for each of its running requests: they
	// occupy places in the batch that the adapter needs.
	runCost = 10 * time.Millisecond
	// sameZoneCost is the cost of loading an adapter in a zone for each of its replicas there, so
	// that a failure that hits one zone leaves replicas.
	sameZoneCost = 40 * time.Millisecond
)

// demandTargetShare is the share of the targets, as a divisor, at which loads by demand may be in progress.
// Orders to a target wait for the answer to the previous one. While orders to all targets of a small
// service went unanswered, a leader without paths to its targets gave no further order, and did not
// find that the other VMs reached the targets (TestLeaderWithoutCallersAndPathsIsReplaced).
const demandTargetShare = 8

// demandTracker compares the demand for the most requested adapters with their replicas.
type demandTracker struct {
	// adapters has the adapters that need more than one engine or recently did.
	adapters  map[coord.AdapterRef]*adapterDemand
	checkedAt time.Time
	// firstLoadBlockedAt is when a request whose adapter no target holds last found no target to
	// load it.
	firstLoadBlockedAt time.Time
}

// adapterDemand is the demand for one adapter.
type adapterDemand struct {
	ref coord.AdapterRef
	// runs is the expected number of concurrent runs.
	runs float64
	// held is the number of engines that hold or load the adapter, and wanted the number of engines
	// that the runs need, at least held.
	wanted, held int
	// full reports that the batches of these are, on average, filled as far as planned.
	full bool
	// freeing lists the targets where a slot is being freed for the adapter.
	freeing []*target
}

// batchShare returns the number of runs for which one engine is planned; 0 if the size of batches
// is unknown.
func (s *Scheduler) batchShare() float64 { return targetBatchFill * float64(s.cfg.Batch) }

// expectedRuns returns the expected number of concurrent runs of an adapter.
func (s *Scheduler) expectedRuns(now time.Time, h *heat) float64 {
	return h.ratePerSecond(now) * s.speed.MeanStreamTime().Seconds()
}

// observeDemand records that an adapter was requested.
func (s *Scheduler) observeDemand(now time.Time, ref coord.AdapterRef, h *heat) {
	share := s.batchShare()
	if share == 0 || ref.IsBase() || s.demand.adapters[ref] != nil || s.expectedRuns(now, h) <= share {
		return
	}
	s.demand.adapters[ref] = &adapterDemand{ref: ref}
}

// loadByDemand starts the loads that adapters lack whose expected runs need more than one engine.
func (s *Scheduler) loadByDemand(now time.Time) {
	if len(s.demand.adapters) == 0 || now.Sub(s.demand.checkedAt) < demandInterval {
		return
	}
	s.demand.checkedAt = now
	demands := s.updateDemand(now)
	if !s.holdsLease() {
		return
	}
	searches := maxDemandSearches
	for _, d := range demands {
		searches = s.loadMissing(now, d, searches)
	}
}

// updateDemand updates the demand for all tracked adapters and returns those that lack replicas,
// those with the most expected runs for each replica first.
func (s *Scheduler) updateDemand(now time.Time) []*adapterDemand {
	var lacking []*adapterDemand
	for ref, d := range s.demand.adapters {
		d.runs = s.expectedRuns(now, s.heat[ref])
		s.countReplicas(d)
		switch {
		case d.runs <= s.batchShare():
			delete(s.demand.adapters, ref)
		case d.wanted > d.held && (d.full || !s.firstLoadBlocked(now)):
			lacking = append(lacking, d)
		}
	}
	slices.SortFunc(lacking, func(a, b *adapterDemand) int {
		return cmp.Or(
			cmp.Compare(b.runs/float64(b.held+1), a.runs/float64(a.held+1)),
			strings.Compare(a.ref.String(), b.ref.String()),
		)
	})
	return lacking
}

// countReplicas sets the numbers of replicas that an adapter has and needs. The runs that its
// replicas have no places for need further engines.
func (s *Scheduler) countReplicas(d *adapterDemand) {
	d.held = 0
	share, places, running := s.batchShare(), 0.0, 0
	for _, t := range s.replicas[d.ref] {
		if !t.isReplica(d.ref) {
			continue
		}
		d.held++
		running += t.running
		otherRuns := float64(t.running - t.slots[d.ref].inUse)
		places += max(share-otherRunWeight*otherRuns, minPlaces*share)
	}
	d.full = float64(running) >= share*float64(d.held)
	missing := math.Ceil(max(d.runs-places, 0) / share)
	d.wanted = d.held + int(missing)
}

// isReplica reports whether a working target holds or loads an adapter.
func (t *target) isReplica(ref coord.AdapterRef) bool {
	sl := t.slots[ref]
	return t.ready && !t.health.isEjected() && sl.state != unloading && !sl.isUnconfirmedLoad()
}

// loadMissing starts the loads that an adapter lacks and returns the remaining number of searches.
func (s *Scheduler) loadMissing(now time.Time, d *adapterDemand, searches int) int {
	s.loadAtFreed(now, d)
	missing := d.wanted - d.held - len(d.freeing)
	r := &Request{Ref: d.ref}
	for ; missing > 0 && searches > 0 && s.mayLoadReplica(now); missing-- {
		searches--
		t := s.replicaTarget(now, r)
		if t == nil {
			break
		}
		s.startLoad(now, t, d.ref, LoadByDemand)
		if t.slots[d.ref] == nil {
			d.freeing = append(d.freeing, t)
		} else {
			d.held++
		}
	}
	return searches
}

// loadAtFreed starts loads at the targets where a slot has been freed for an adapter.
func (s *Scheduler) loadAtFreed(now time.Time, d *adapterDemand) {
	d.freeing = slices.DeleteFunc(d.freeing, func(t *target) bool {
		if !t.ready || t.slots[d.ref] != nil {
			return true
		}
		if !s.fits(t, d.ref) {
			return !t.isUnloading()
		}
		if d.held < d.wanted && t.canLoad(d.ref) && s.mayLoadReplica(now) {
			s.startLoad(now, t, d.ref, LoadByDemand)
			d.held++
		}
		return true
	})
}

// isUnloading reports whether the target is unloading an adapter.
func (t *target) isUnloading() bool {
	for _, sl := range t.slots {
		if sl.state == unloading {
			return true
		}
	}
	return false
}

// demandOrders returns the number of loads by demand in progress, and of unloads that make room for them.
func (s *Scheduler) demandOrders() int {
	n := s.loadsInProgress[LoadByDemand]
	for _, d := range s.demand.adapters {
		n += len(d.freeing)
	}
	return n
}

// mayLoadReplica reports whether the load limit and the number of targets allow another load of an adapter that a target
// holds. While requests wait for adapters that no target holds, such loads get at most half of it.
func (s *Scheduler) mayLoadReplica(now time.Time) bool {
	limit := s.loadLimit.Max()
	if s.demandOrders() >= len(s.targetList)/demandTargetShare {
		return false
	}
	if s.firstLoadBlocked(now) && 2*s.replicaLoads() >= limit {
		return false
	}
	return s.storeLoads < limit
}

// firstLoadBlocked reports whether requests wait for adapters that no target holds.
func (s *Scheduler) firstLoadBlocked(now time.Time) bool {
	return now.Sub(s.demand.firstLoadBlockedAt) <= demandInterval
}

// replicaTarget returns the target where another replica of r's adapter costs least, or nil if
// there is none. Targets whose batch has no room for more runs are left out.
func (s *Scheduler) replicaTarget(now time.Time, r *Request) *target {
	replicasByZone := map[string]int{}
	for _, t := range s.replicas[r.Ref] {
		if t.isReplica(r.Ref) {
			replicasByZone[t.zone]++
		}
	}
	share := s.batchShare()
	t, _ := s.cheapestLoadTarget(now, r, func(t *target) (cost time.Duration, ok bool) {
		if float64(t.running) >= share || t.health.isEjected() {
			return 0, false
		}
		return time.Duration(t.running)*runCost + time.Duration(replicasByZone[t.zone])*sameZoneCost, true
	})
	return t
}

// replicas returns the numbers of replicas that the tracked adapters need and have.
func (dt *demandTracker) replicas() (wanted, held int) {
	for _, d := range dt.adapters {
		wanted += d.wanted
		held += d.held
	}
	return wanted, held
}
