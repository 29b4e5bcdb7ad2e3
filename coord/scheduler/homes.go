package scheduler

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Figures of the choice of a home.
const (
	// spreadAbove is the expected delay at an adapter's homes beyond which
	// another home is worth its load.
	spreadAbove = 150 * time.Millisecond
	// spreadGain is the most that the delay at another home may be, as a part of
	// that at the present ones.
	spreadGain = 0.6
	// spreadHeat is how many requests there must have been lately, so that
	// another home is worth its load.
	spreadHeat = 4.0
	// evictWeight is the cost of unloading an adapter, for each request that was
	// made for it lately.
	evictWeight = 40 * time.Millisecond
	// crowdCost is the cost of a home, for each request that was made lately for
	// the adapters there: they will come again.
	crowdCost = 3 * time.Millisecond
	// tieSpan spreads equal homes by a hash, the same one at every VM.
	tieSpan = 8 * time.Millisecond
	// maxInTransit is how many adapters may be on their way to one engine.
	maxInTransit = 4
)

// findHome starts a load of r's adapter, which no target holds.
func (s *Scheduler) findHome(now time.Time, r *Request) {
	if !s.mayOrder() || s.searches <= 0 {
		return
	}
	s.searches--
	if t, _ := s.newHome(now, r); t != nil {
		s.loadAt(now, t, r.Ref)
		t.promise(r)
	}
}

// spread starts a load of r's adapter at one more target when its homes have a
// long delay and it will be asked for again. r itself need not wait for it. While
// loads are scarce, only an adapter whose homes make its requests late gets one, at
// the next round.
func (s *Scheduler) spread(now time.Time, r *Request, homeDelay time.Duration) {
	switch {
	case !s.mayOrder() || s.heatOf(now, r.Ref) < spreadHeat || s.loadingSomewhere(r.Ref):
	case 2*s.loads < s.limit.Max():
		s.spreadNow(now, r, homeDelay)
	case homeDelay > r.Objective:
		s.crowded[r.Ref] = crowdedHome{request: r, delay: homeDelay, seen: now}
	}
}

func (s *Scheduler) spreadNow(now time.Time, r *Request, homeDelay time.Duration) {
	t, delay := s.newHome(now, r)
	if t != nil && float64(delay-s.loadTime(t, r.Ref)) < spreadGain*float64(homeDelay) {
		s.loadAt(now, t, r.Ref)
	}
}

// crowdedHome is an adapter whose homes made a request late when loads were scarce.
type crowdedHome struct {
	request *Request
	delay   time.Duration
	seen    time.Time
}

// crowdedFor is how long that is taken to hold: some requests of a hot adapter.
const crowdedFor = 200 * time.Millisecond

// spreadCrowded gives the adapters with crowded homes a load each, the hottest
// first: one load serves more requests there than for an adapter that one waits for.
func (s *Scheduler) spreadCrowded(now time.Time) {
	if !s.mayOrder() {
		clear(s.crowded)
		return
	}
	var hot []crowdedHome
	for ref, c := range s.crowded {
		if now.Sub(c.seen) > crowdedFor || s.loadingSomewhere(ref) {
			delete(s.crowded, ref)
			continue
		}
		hot = append(hot, c)
	}
	slices.SortFunc(hot, func(a, b crowdedHome) int {
		x, y := s.heatOf(now, a.request.Ref), s.heatOf(now, b.request.Ref)
		return cmp.Or(cmp.Compare(y, x), strings.Compare(a.request.Ref.String(), b.request.Ref.String()))
	})
	for _, c := range hot {
		if s.loads >= s.limit.Max() {
			return
		}
		s.spreadNow(now, c.request, c.delay)
	}
}

func (s *Scheduler) loadingSomewhere(ref coord.AdapterRef) bool {
	return slices.ContainsFunc(s.homes[ref], func(t *target) bool { return t.ready && t.slots[ref].state == loading })
}

// newHome returns the target where the adapter costs the least, or nil, and the
// delay there with the load.
func (s *Scheduler) newHome(now time.Time, r *Request) (best *target, delay time.Duration) {
	var least time.Duration
	scarce := s.loads >= s.limit.Max()
	if scarce {
		s.limit.ObserveFull()
	}
	key := rendezvous.Hash(r.Ref.String())
	for _, id := range s.ids {
		t := s.targets[id]
		if scarce && !t.keeps(r.Ref) || !s.usable(now, t, r) || !t.takes(r.Ref) {
			continue
		}
		d := s.delay(now, t, r) + s.loadTime(t, r.Ref)
		cost := d + time.Duration(t.crowd.now(now)*float64(crowdCost))
		cost += s.speed.PrefillTime(t.promised()) + s.rateCost(t)
		cost += time.Duration(rendezvous.Weight(t.hash, key) % uint64(tieSpan))
		if best != nil && cost >= least {
			continue
		}
		evict, ok := s.evictCost(now, t)
		if cost += evict; !ok || best != nil && cost >= least {
			continue
		}
		best, delay, least = t, d, cost
	}
	return best, delay
}

// evictCost is what a place at t costs the adapters there; ok is false when there
// is none to be had.
func (s *Scheduler) evictCost(now time.Time, t *target) (cost time.Duration, ok bool) {
	if len(t.slots) < s.cfg.AdapterSlots {
		return 0, true
	}
	_, h, ok := s.victim(now, t)
	return time.Duration(h * float64(evictWeight)), ok
}

// takes reports whether t can be ordered to load another adapter of the model.
func (t *target) takes(ref coord.AdapterRef) bool {
	return t.orderable() && t.models[ref.Model] && t.slots[ref] == nil && t.inTransit() < maxInTransit
}

func (t *target) inTransit() int {
	n := 0
	for _, sl := range t.slots {
		if sl.state != resident {
			n++
		}
	}
	return n
}
