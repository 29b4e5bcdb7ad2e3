// Package scheduler places model requests on the engines of one service and
// decides which adapters each engine holds.
//
// One VM runs the scheduler of a service at a time and sees every request for it.
// It answers each with a target (a grant), or with a refusal. It asks engines to
// load and unload adapters, with these limits:
//
//   - an engine never holds more adapters than it has slots for, those on their
//     way in or out included;
//   - an adapter with a granted request is not unloaded;
//   - at most so many adapters are on their way from the store to all engines as it
//     serves at full speed, which is learnt from the loads (coord/loadlimit), since loads
//     stretch each other beyond that;
//   - what is believed of an engine after an order without a clear answer is read
//     anew before the next order.
//
// Scheduler has no clock and does no I/O: events come in with the time, actions
// come out. It is not safe for concurrent use. types.go has what goes in and comes out,
// listing.go the targets there are, slots.go what is believed of each, grants.go the
// requests that run, place.go the choice of a target, homes.go that of targets to load an
// adapter at, loads.go how long loads take (learnt, coord/loadtime), heat.go how often adapters are asked for,
// orders.go and reports.go how places are brought about and checked, freed.go what frees
// them, health.go failing targets, limited.go those that limit the rate of their requests.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/loadtime"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// Scheduler is the state for one service.
type Scheduler struct {
	cfg      Config
	targets  map[string]*target
	ids      []string // of targets, sorted
	speed    *enginecost.Speed
	homes    homeIndex
	grants   map[Key]*grant
	waiting  []*Request
	heat     map[coord.AdapterRef]*heat
	versions map[coord.AdapterRef]int64
	// crowded are adapters that wait for a load at one more target.
	crowded map[coord.AdapterRef]crowdedHome
	// acting says that other VMs ask this one.
	acting bool
	// keepUntil is when adapters may be unloaded at the latest: until then the VMs
	// of untold tell what they run.
	keepUntil time.Time
	untold    map[coord.VMID]bool
	// toldAt is when a VM last told all that it runs: some hear sooner than this VM
	// that it is to be asked.
	toldAt map[coord.VMID]time.Time
	// fence is the number of the lease for orders that this VM holds; 0: it holds none.
	fence uint64
	// leaseSince is when it got it.
	leaseSince time.Time
	loads      int
	// limit is how many of these there may be.
	limit *loadlimit.Limit
	// cold and warm are how long a load from the store takes at full speed, and one of an
	// adapter that the engine kept. loadNumber counts the loads.
	cold, warm    *loadtime.Estimate
	loadNumber    uint64
	nextModelLoad time.Time
	// pacer keeps targets within the rates that they name. rateWaiting are the requests that wait for
	// it, counted anew with each round, and returns the callers that it refused.
	pacer       *ratelimit.Pacer
	rateWaiting int
	returns     ratelimit.RetryDelays
	// settledAt is when waiting requests were last gone over.
	settledAt time.Time
	// searches is how many homes may still be looked for in this round.
	searches int
	acts     []Action
	freed    [causes]int64
}

// maxSearches bounds the work of one round: a search looks at every target, and the
// loads that may begin at once are fewer than this.
const maxSearches = 64

// New returns a Scheduler that knows no target and gives no orders.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:      cfg,
		targets:  map[string]*target{},
		speed:    enginecost.NewSpeed(),
		limit:    loadlimit.New(cfg.MaxLoads),
		cold:     loadtime.New(firstColdLoad),
		warm:     loadtime.New(firstWarmLoad),
		homes:    homeIndex{},
		grants:   map[Key]*grant{},
		heat:     map[coord.AdapterRef]*heat{},
		crowded:  map[coord.AdapterRef]crowdedHome{},
		versions: map[coord.AdapterRef]int64{},
		toldAt:   map[coord.VMID]time.Time{},
		pacer:    ratelimit.NewPacer(),
	}
}

// Configure replaces the settings.
func (s *Scheduler) Configure(cfg Config) {
	s.cfg = cfg
	s.limit.SetInitial(cfg.MaxLoads)
}

// adoptTime is how long after it began to be asked a scheduler waits for the others to
// tell what they run: some rounds of the roster.
const adoptTime = 1500 * time.Millisecond

// ReasonNotLeader is the reason of refusals by a VM that is not asked any more: the
// request is to be put to the one that is.
const ReasonNotLeader = "scheduler_moved"

// SetLeading says whether other VMs ask this one, and which they are. One that begins
// reads what the targets hold, and waits for the others to tell what they run; one
// that ends hands its waiting requests back.
func (s *Scheduler) SetLeading(now time.Time, acting bool, others []coord.VMID) []Action {
	began := acting && !s.acting
	s.acting = acting
	if began {
		s.pacer.Reset(now)
		s.keepUntil = now.Add(adoptTime)
		s.untold = make(map[coord.VMID]bool, len(others))
		for _, vm := range others {
			if at, told := s.toldAt[vm]; !told || now.Sub(at) > adoptTime {
				s.untold[vm] = true
			}
		}
		for _, id := range s.ids {
			s.targets[id].readFrom(now)
		}
	}
	if !acting {
		for _, r := range s.waiting {
			s.refuse(r, ReasonNotLeader, 0)
		}
		s.waiting = nil
	}
	return s.settle(now)
}

// SetLease says under which number this VM may give orders; 0: it may not. Gaining a lease
// makes every target's state be read first, until two reports a lag apart agree on how many
// orders it has taken, and its first order be refused if another VM's order came after that.
func (s *Scheduler) SetLease(now time.Time, fence uint64) []Action {
	if fence != 0 && fence != s.fence {
		for _, id := range s.ids {
			t := s.targets[id]
			t.readFrom(now)
			t.sealed = false
			t.inherited = true
			t.sealing = nil // its answer is to an order under the lease before
		}
		s.leaseSince = now
	}
	s.fence = fence
	return s.settle(now)
}

// mayOrder reports whether this VM holds the lease for orders.
func (s *Scheduler) mayOrder() bool { return s.fence != 0 }

// SetVersion declares the newest version of an adapter.
func (s *Scheduler) SetVersion(now time.Time, ref coord.AdapterRef, version int64) []Action {
	if version <= s.versions[ref] {
		return nil
	}
	s.versions[ref] = version
	return s.settle(now)
}

// Submit asks for a target. The answer is an ActGrant or an ActRefuse, now or in
// a later call.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	r.arrived = now
	if r.FirstEventDeadline.IsZero() {
		r.FirstEventDeadline = r.Deadline
	}
	s.searches = 1
	if !s.acting {
		s.refuse(&r, ReasonNotLeader, 0)
		return s.take()
	}
	s.warmUp(now, r.Ref)
	if !s.place(now, &r) {
		s.enqueue(&r)
	}
	return s.take()
}

// enqueue keeps waiting requests in the order of arrival.
func (s *Scheduler) enqueue(r *Request) { s.waiting = append(s.waiting, r) }

// rank sorts waiting requests: first those that can still have their first event
// in time, the most urgent, those whose adapter is asked for most, and the oldest
// first; then those that cannot.
func (s *Scheduler) rank(now time.Time) {
	for _, r := range s.waiting {
		r.late = r.tooLate(now, s.cold.Value())
		r.heat = s.heatOf(now, r.Ref)
	}
	slices.SortStableFunc(s.waiting, func(a, b *Request) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Or(a.Priority-b.Priority, cmp.Compare(b.heat, a.heat), a.arrived.Compare(b.arrived))
	})
}

// tooLate reports whether the first event cannot come in time any more.
func (r *Request) tooLate(now time.Time, load time.Duration) bool {
	return r.Objective > 0 && now.Add(load).After(r.arrived.Add(r.Objective))
}

// Tick does what is due. It is to be called every 10 to 20 ms: what the end of a
// request, an order's answer or a report makes possible for waiting requests is done
// then, once for many of them.
func (s *Scheduler) Tick(now time.Time) []Action {
	for key, g := range s.grants {
		if now.After(g.deadline.Add(expireAfter)) {
			s.release(now, key, g)
		}
	}
	return s.settle(now)
}

// Ends of requests while many wait are taken together: each round goes over all that wait and
// all targets, and the VM that schedules has other work. On the heaviest day of 72 VMs, played
// beside each other, it used 0.40 of its 0.8 cores without this and 0.27 with it; requests refused
// 0.138 and 0.102.
const (
	// longLine is how many must wait for that; rounds over fewer take some 0.1 ms.
	longLine = 48
	// roundGap is the time between two rounds then: a quarter of a tick, of objectives of 600 ms.
	roundGap = 5 * time.Millisecond
)

// settleSoon is settle now or, where many wait and the last round was a moment ago, with the next
// end or tick.
func (s *Scheduler) settleSoon(now time.Time) []Action {
	if len(s.waiting) >= longLine && now.Sub(s.settledAt) < roundGap {
		return s.take()
	}
	return s.settle(now)
}

// settle finishes loads that are due, places waiting requests, and does the
// housekeeping of every target.
func (s *Scheduler) settle(now time.Time) []Action {
	if !s.acting {
		return s.take() // nothing waits, and nothing is ordered
	}
	s.settledAt = now
	for _, id := range s.ids {
		s.keepUp(now, s.targets[id])
	}
	s.rank(now)
	s.searches = maxSearches
	s.rateWaiting = 0
	s.spreadCrowded(now)
	rest := s.waiting[:0]
	stuck := map[coord.AdapterRef]bool{}
	for _, r := range s.waiting {
		// What does not help one request for an adapter does not help the next.
		if stuck[r.Ref] && s.rateWaiting == 0 && now.Before(r.FirstEventDeadline) && len(r.Exclude)+len(r.BackedOff) == 0 || !s.place(now, r) {
			rest = append(rest, r)
			stuck[r.Ref] = true
		}
	}
	clear(s.waiting[len(rest):])
	s.waiting = rest
	return s.take()
}

func (s *Scheduler) take() []Action {
	acts := s.acts
	s.acts = nil
	return acts
}

func (s *Scheduler) act(a Action) { s.acts = append(s.acts, a) }

// Stats is a summary for metrics.
type Stats struct {
	Waiting, Running int
	// Loads from the weight store that are under way, and how many may be.
	Loads, MaxLoads int
	// ColdLoad and WarmLoad are how long loads are expected to take, from the store and of
	// an adapter that the engine kept.
	ColdLoad, WarmLoad time.Duration
	// Freed counts places that were taken for free, by what said so.
	Freed [causes]int64
}

// Stats returns a summary.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Waiting: len(s.waiting), Running: len(s.grants), Loads: s.loads, MaxLoads: s.limit.Max(), ColdLoad: s.cold.Value(),
		WarmLoad: s.warm.Value(), Freed: s.freed,
	}
}
