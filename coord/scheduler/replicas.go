package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Parameters for choosing where to load another replica of an adapter.
const (
	// replicateAboveDelay is the expected delay at an adapter's replicas above which another
	// replica is considered.
	replicateAboveDelay = 150 * time.Millisecond
	// replicaDelayRatioMax is the limit below which the ratio of the delay at a new replica,
	// without the load, to the delay at the present ones has to be for the new replica to be
	// loaded.
	replicaDelayRatioMax = 0.6
	// replicateMinHeat is the adapter's minimum heat, in recent requests, for which another replica
	// is loaded.
	replicateMinHeat = 4.0
	// evictCostPerRequest is the cost of evicting an adapter for each recent request for it.
	evictCostPerRequest = 40 * time.Millisecond
	// targetCostPerRequest is the cost of loading an adapter at a target for each recent request
	// granted there, at an engine of usual pace: the target's adapters will be requested again.
	targetCostPerRequest = 3 * time.Millisecond
	// tieBreakSpan is the range of the hash that breaks ties between equal targets. All VMs compute
	// the same hash.
	tieBreakSpan = 8 * time.Millisecond
	// maxInTransit is the maximum number of adapters that one engine loads or unloads at once.
	maxInTransit = 4
)

// loadFirstReplica starts a load of r's adapter, which no target holds.
func (s *Scheduler) loadFirstReplica(now time.Time, r *Request) {
	if !s.holdsLease() || s.searchesLeft <= 0 {
		return
	}
	s.searchesLeft--
	t, _ := s.cheapestLoadTarget(now, r, nil)
	if t == nil {
		s.demand.firstLoadBlockedAt = now
		return
	}
	s.startLoad(now, t, r.Ref, LoadFirst)
	t.addPendingPrompt(r)
}

// replicate starts a load of r's adapter at one more target if the present replicas have a long
// delay and further requests for the adapter are likely. r itself need not wait for the load. While
// load capacity is scarce, which means that at least half of the load limit is in use, only an
// adapter whose replicas make its requests miss their objective gets another replica, in the next
// round.
func (s *Scheduler) replicate(now time.Time, r *Request, replicaDelay time.Duration) {
	switch {
	case !s.holdsLease() || s.heatOf(now, r.Ref) < replicateMinHeat || s.isLoadingAnywhere(r.Ref):
	case 2*s.storeLoads < s.loadLimit.Max():
		s.loadExtraReplica(now, r, replicaDelay)
	case replicaDelay > r.Objective:
		s.overloaded[r.Ref] = overloadedAdapter{request: r, delay: replicaDelay, seenAt: now}
	}
}

func (s *Scheduler) loadExtraReplica(now time.Time, r *Request, replicaDelay time.Duration) {
	t, delay := s.cheapestLoadTarget(now, r, nil)
	if t != nil && float64(delay-s.expectedLoadTime(t, r.Ref)) < replicaDelayRatioMax*float64(replicaDelay) {
		s.startLoad(now, t, r.Ref, LoadByDemand)
	}
}

// overloadedAdapter is an adapter whose replicas made a request late while load capacity was
// scarce.
type overloadedAdapter struct {
	request *Request
	delay   time.Duration
	seenAt  time.Time
}

// overloadedTTL is how long an adapter counts as overloaded after such a request: the time of a few
// requests for a hot adapter.
const overloadedTTL = 200 * time.Millisecond

// replicateOverloaded starts one load for each overloaded adapter, hottest first. Such a load
// serves more requests than a load of an adapter for which a single request waits.
func (s *Scheduler) replicateOverloaded(now time.Time) {
	if !s.holdsLease() {
		clear(s.overloaded)
		return
	}
	var candidates []overloadedAdapter
	for ref, c := range s.overloaded {
		if now.Sub(c.seenAt) > overloadedTTL || s.isLoadingAnywhere(ref) {
			delete(s.overloaded, ref)
			continue
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b overloadedAdapter) int {
		x, y := s.heatOf(now, a.request.Ref), s.heatOf(now, b.request.Ref)
		return cmp.Or(cmp.Compare(y, x), strings.Compare(a.request.Ref.String(), b.request.Ref.String()))
	})
	for _, c := range candidates {
		if s.storeLoads >= s.loadLimit.Max() {
			return
		}
		s.loadExtraReplica(now, c.request, c.delay)
	}
}

func (s *Scheduler) isLoadingAnywhere(ref coord.AdapterRef) bool {
	return slices.ContainsFunc(s.replicas[ref], func(t *target) bool { return t.ready && t.slots[ref].state == loading })
}

// cheapestLoadTarget returns the target where loading the adapter costs least, or nil if there is
// none, and the expected delay there including the load. extraCost, if not nil, adds to the cost of
// a target or leaves it out.
func (s *Scheduler) cheapestLoadTarget(now time.Time, r *Request, extraCost func(t *target) (cost time.Duration, ok bool)) (best *target, delay time.Duration) {
	var lowestCost time.Duration
	loadLimitReached := s.storeLoads >= s.loadLimit.Max()
	if loadLimitReached {
		s.observeStoreFull()
	}
	adapterHash := rendezvous.Hash(r.Ref.String())
	for _, t := range s.targetList {
		cost, ok := time.Duration(0), true
		if extraCost != nil {
			cost, ok = extraCost(t)
		}
		if !ok || loadLimitReached && !t.isCached(r.Ref) || s.cached(now, t).inTransit >= maxInTransit || !s.usable(now, t, r) || !t.canLoad(r.Ref) {
			continue
		}
		d := s.expectedDelay(now, t, r) + s.expectedLoadTime(t, r.Ref)
		cost += d + s.recentGrantsCost(now, t)
		cost += s.speed.PrefillTime(s.cached(now, t).pendingPromptTokens) + s.rateCost(t)
		cost += time.Duration(rendezvous.Weight(t.idHash, adapterHash) % uint64(tieBreakSpan))
		if best != nil && cost >= lowestCost {
			continue
		}
		evictionCost, ok := s.evictCost(now, t, r.Ref)
		if cost += evictionCost; !ok || best != nil && cost >= lowestCost {
			continue
		}
		best, delay, lowestCost = t, d, cost
	}
	return best, delay
}

// evictCost returns the cost of making room for an adapter at t; ok is false if no room can be made.
func (s *Scheduler) evictCost(now time.Time, t *target, ref coord.AdapterRef) (cost time.Duration, ok bool) {
	if s.fits(t, ref) {
		return 0, true
	}
	if !s.fitsWithoutAdapters(t, ref) {
		return 0, false
	}
	_, h, ok := s.nextVictim(now, t)
	return time.Duration(h * float64(evictCostPerRequest)), ok
}

// canLoad reports whether t can be ordered to load an adapter that it does not hold.
func (t *target) canLoad(ref coord.AdapterRef) bool {
	return t.canBeOrdered() && t.models[ref.Model] && t.slots[ref] == nil && t.inTransit() < maxInTransit
}

func (t *target) inTransit() int {
	n := 0
	for _, sl := range t.held {
		if sl.state != resident {
			n++
		}
	}
	return n
}
