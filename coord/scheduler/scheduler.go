// Package scheduler places model requests on the engines of one service and decides which adapters
// each engine holds.
//
// One VM, the leader, runs the scheduler of a service at a time and sees every request for it. The
// decision on a request is a grant, which names a target, or a refusal. The scheduler orders
// engines to load and unload adapters, with these limits:
//
//   - an engine never holds more adapters than it has slots for, nor more base models and adapters than
//     its memory holds, including those that are being loaded or unloaded;
//   - an adapter with a granted request is not unloaded;
//   - the number of adapters being loaded from the store by all engines stays within the number
//     that the store serves at full speed. It is learnt from the loads (coord/loadlimit), because
//     loads beyond it slow each other down;
//   - after an order without a clear answer, the state of the engine is read again before the next
//     order.
//
// Scheduler has no clock and does no I/O: it receives events with their time and returns actions.
// It is not safe for concurrent use. types.go has its inputs and outputs, listing.go the list of
// targets, slots.go the known state of each target, grants.go the running requests, place.go the
// choice of a target, room.go the places in the engines' batches, memory.go what fits into an engine, replicas.go the choice of targets for
// loading an adapter, loads.go the duration of loads (learnt, coord/loadtime), heat.go the request rate of adapters, orders.go and
// reports.go the orders that change adapter slots and the reports that verify them, freed.go the
// evidence that frees slots, observe.go the orders of VMs that this VM cannot find, health.go failing targets, witness.go failures that show a fault of a VM's
// path, software.go the software versions of targets, limited.go targets that limit their request rate,
// brittle.go targets that crash when they reject too many requests, demand.go the replicas of adapters
// whose requests need more than one engine, loadcause.go the causes of loads, shares.go
// the shares of teams.
package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/fairshare"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/loadtime"
	"github.com/junctionfold/junctionfold/coord/overload"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/witness"
)

// Scheduler is the state for one service.
type Scheduler struct {
	cfg Config
	// modelSizes has the sizes of all models that any configuration had.
	modelSizes map[string]ModelSize
	targets    map[string]*target
	targetIDs  []string // sorted
	// targetList has the targets in the order of targetIDs.
	targetList []*target
	speed      *enginecost.Speed
	replicas   replicaIndex
	grants     map[Key]*grant
	waiting    []*Request
	heat       map[coord.AdapterRef]*heat
	versions   map[coord.AdapterRef]int64
	// versionChanges counts the changes of versions, from 1.
	versionChanges uint64
	// overloaded has the adapters that wait for a load at one more target.
	overloaded map[coord.AdapterRef]overloadedAdapter
	// leading reports that this VM is the leader: other VMs send it their requests.
	leading bool
	// evictionBlockedUntil is when evictions are allowed at the latest. Until then the VMs in
	// unreportedVMs are expected to report their running requests.
	evictionBlockedUntil time.Time
	unreportedVMs        map[coord.VMID]bool
	// runningReportedAt is when each VM last reported all of its running requests. Some VMs learn
	// before this VM does that it is the leader.
	runningReportedAt map[coord.VMID]time.Time
	// fencingToken is the fencing token of the order lease that this VM holds; 0 if it holds none.
	fencingToken uint64
	// leaseSince is when this VM acquired the lease.
	leaseSince time.Time
	// leaseQuiet is how long a target must have accepted no order before the first one of this VM; 0:
	// as othersMayOrder requires.
	leaseQuiet time.Duration
	// observing reports that this VM observes the orders of other VMs, the last of which it saw at
	// othersOrderedAt.
	observing       bool
	othersOrderedAt time.Time
	storeLoads      int
	// loadsInProgress divides storeLoads by cause, and loadsStarted counts all loads from the store.
	loadsInProgress [loadCauseCount]int
	loadsStarted    [loadCauseCount]int64
	// demand has the adapters that need more than one engine.
	demand demandTracker
	// loadLimit bounds storeLoads, the number of loads from the store in progress.
	loadLimit *loadlimit.Limit
	// coldLoadTime is the estimated time of a load from the store at full speed, and warmLoadTime
	// that of an adapter that the engine has cached. loadCount counts the loads.
	coldLoadTime, warmLoadTime *loadtime.Estimate
	loadCount                  uint64
	// orderLatency is about the lowest latency of the last orders to load.
	orderLatency  time.Duration
	nextModelLoad time.Time
	forecast      loadForecast
	// pacer keeps the requests to targets within their announced rates. rateWaiters is the number
	// of requests that wait for a rate limit or a brittle target, counted anew in each round. retryDelays spreads out
	// the retries of refused callers.
	pacer       *ratelimit.Pacer
	rateWaiters int
	// exhausted has the capacity of the targets for the kinds of requests that none accepts, by
	// capacityKey, as found since the last round began.
	exhausted   map[string]capacity
	retryDelays ratelimit.RetryDelays
	// guard bounds the requests at brittle targets.
	guard *overload.Guard
	// lastRoundAt is when waiting requests were last processed.
	lastRoundAt time.Time
	// round numbers the rounds, and inRound reports that one is in progress.
	round   uint64
	inRound bool
	// searchesLeft is the number of searches for a load target that remain in this round.
	searchesLeft int
	actions      []Action
	freed        [freedByCount]int64
	// overBatch counts the grants to full batches, and preempting those that preempted a run.
	overBatch, preempting int64
	// judge tells failures of targets from failures of a VM's paths to them.
	judge *witness.Judge
	// shares divides the service between teams, in tokens.
	shares *fairshare.Shares
}

// maxSearchesPerRound bounds the work of one round. A search looks at every target, and fewer loads
// than this may begin at once.
const maxSearchesPerRound = 64

// New returns a Scheduler that has no targets and issues no orders.
func New(cfg Config) *Scheduler {
	s := &Scheduler{
		cfg:               cfg,
		modelSizes:        map[string]ModelSize{},
		targets:           map[string]*target{},
		speed:             enginecost.NewSpeed(),
		forecast:          loadForecast{},
		orderLatency:      maxOrderLatency,
		loadLimit:         loadlimit.New(cfg.MaxLoads),
		coldLoadTime:      loadtime.New(initialColdLoadTime),
		warmLoadTime:      loadtime.New(initialWarmLoadTime),
		replicas:          replicaIndex{},
		grants:            map[Key]*grant{},
		heat:              map[coord.AdapterRef]*heat{},
		overloaded:        map[coord.AdapterRef]overloadedAdapter{},
		versions:          map[coord.AdapterRef]int64{},
		versionChanges:    1,
		runningReportedAt: map[coord.VMID]time.Time{},
		pacer:             ratelimit.NewPacer(),
		judge:             witness.New(),
		guard:             overload.NewGuard(),
		exhausted:         map[string]capacity{},
		demand:            demandTracker{adapters: map[coord.AdapterRef]*adapterDemand{}},
		shares:            fairshare.New(),
	}
	s.setModelSizes(cfg.ModelSizes)
	return s
}

// Configure replaces the settings.
func (s *Scheduler) Configure(cfg Config) {
	s.cfg = cfg
	s.setModelSizes(cfg.ModelSizes)
	s.loadLimit.SetInitial(cfg.MaxLoads)
}

// runningReportTimeout is how long a new leader waits for the other VMs to report their running
// requests before it evicts adapters: several rounds of the roster.
const runningReportTimeout = 1500 * time.Millisecond

// ReasonNotLeader is the reason for refusals by a VM that is no longer the leader. The request has
// to be sent to the current leader.
const ReasonNotLeader = "scheduler_moved"

// SetLeading sets whether this VM is the leader, and which other VMs there are. A new leader reads
// the state of all targets, and evicts no adapter until the other VMs have reported their running
// requests or runningReportTimeout has passed. A VM that loses leadership refuses its waiting
// requests.
func (s *Scheduler) SetLeading(now time.Time, leading bool, others []coord.VMID) []Action {
	gained := leading && !s.leading
	s.leading = leading
	if gained {
		s.pacer.Reset(now)
		s.guard.Reset(now)
		s.shares.Reset()
		s.evictionBlockedUntil = now.Add(runningReportTimeout)
		s.unreportedVMs = make(map[coord.VMID]bool, len(others))
		for _, vm := range others {
			if at, reported := s.runningReportedAt[vm]; !reported || now.Sub(at) > runningReportTimeout {
				s.unreportedVMs[vm] = true
			}
		}
		for _, id := range s.targetIDs {
			s.targets[id].requireReportAt(now)
		}
	}
	if !leading {
		for _, r := range s.waiting {
			s.refuse(r, ReasonNotLeader, 0)
		}
		s.waiting = nil
		s.shares.SetWaiting(now, nil)
	}
	return s.runRound(now)
}

// SetLease sets the fencing token under which this VM may issue orders; 0 if it may issue none.
// After acquiring a lease, the scheduler first reads the state of every target, until two reports
// that are reportLag apart agree on the number of accepted orders. Its first order to a target is
// rejected if another VM's order arrived after these reports.
func (s *Scheduler) SetLease(now time.Time, fencingToken uint64) []Action {
	if fencingToken != 0 && fencingToken != s.fencingToken {
		for _, id := range s.targetIDs {
			t := s.targets[id]
			t.requireReportAt(now)
			t.fenced = false
			t.predatesLease = true
			t.pendingFirstOrder = nil // its answer belongs to an order under the previous lease
		}
		s.leaseSince = now
	}
	s.fencingToken = fencingToken
	return s.runRound(now)
}

// holdsLease reports whether this VM holds the lease for orders.
func (s *Scheduler) holdsLease() bool { return s.fencingToken != 0 }

// SetVersions sets the newest versions of adapters. Versions that are not newer are ignored.
func (s *Scheduler) SetVersions(now time.Time, versions []ResidentItem) []Action {
	changed := false
	for _, v := range versions {
		if v.Version > s.versions[v.Ref] {
			s.versions[v.Ref] = v.Version
			changed = true
		}
	}
	if !changed {
		return nil
	}
	s.versionChanges++
	return s.runRound(now)
}

// Submit requests a target. The decision is an ActGrant or an ActRefuse, returned by this call or a
// later one.
func (s *Scheduler) Submit(now time.Time, r Request) []Action {
	r.arrivedAt = now
	if r.FirstEventDeadline.IsZero() {
		r.FirstEventDeadline = r.Deadline
	}
	s.searchesLeft = 1
	if !s.leading {
		s.refuse(&r, ReasonNotLeader, 0)
		return s.takeActions()
	}
	s.addHeat(now, r.Ref)
	s.shares.Arrive(now, r.Team)
	if !s.place(now, &r) {
		s.enqueue(&r)
	}
	return s.takeActions()
}

// enqueue appends a request to the waiting ones, which are in order of arrival.
func (s *Scheduler) enqueue(r *Request) { s.waiting = append(s.waiting, r) }

// rank sorts the waiting requests. Requests that can still meet their objective come first, ordered
// by priority, by the shares of teams, by the heat of their adapter and by arrival, followed by the late
// ones in the same order.
func (s *Scheduler) rank(now time.Time) {
	for _, r := range s.waiting {
		r.late = r.missesObjective(now, s.coldLoadTime.Value())
		r.heat = s.heatOf(now, r.Ref)
		r.shareStart = 0
	}
	slices.SortStableFunc(s.waiting, compareRanks)
	if s.assignShares(now) {
		slices.SortStableFunc(s.waiting, compareRanks)
	}
}

// compareRanks returns a negative number if a is to be served before b.
func compareRanks(a, b *Request) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	return cmp.Or(a.Priority-b.Priority, cmp.Compare(a.shareStart, b.shareStart), cmp.Compare(b.heat, a.heat), a.arrivedAt.Compare(b.arrivedAt))
}

// missesObjective reports whether the first event can no longer arrive within the objective if the
// request waits for a load that takes loadTime.
func (r *Request) missesObjective(now time.Time, loadTime time.Duration) bool {
	return r.Objective > 0 && now.Add(loadTime).After(r.arrivedAt.Add(r.Objective))
}

// Tick does all work that is due. It is to be called every 10 to 20 ms. Ends of requests, answers
// to orders and reports make room for waiting requests; Tick serves them in one round for many such
// events.
func (s *Scheduler) Tick(now time.Time) []Action {
	for key, g := range s.grants {
		if now.After(g.deadline.Add(grantExpiryGrace)) {
			s.release(now, key, g)
		}
	}
	s.judge.Expire(now)
	return s.runRound(now)
}

// While many requests wait, the ends of requests are batched: each round goes over all waiting
// requests and all targets, and the leader has other work. In a simulation of 72 VMs under their
// heaviest traffic, the leader used 0.40 of its 0.8 cores without batching and 0.27 with it; 0.138
// of the requests were refused without it and 0.102 with it.
const (
	// longQueue is the number of waiting requests from which ends are batched. Rounds over fewer
	// requests take about 0.1 ms.
	longQueue = 48
	// roundInterval is the minimum time between two rounds with a long queue: a quarter of a tick,
	// which is short compared with objectives of 600 ms.
	roundInterval = 5 * time.Millisecond
)

// runRoundSoon runs a round now, or leaves it to the next end or tick if many requests wait and the
// last round was less than roundInterval ago.
func (s *Scheduler) runRoundSoon(now time.Time) []Action {
	if len(s.waiting) >= longQueue && now.Sub(s.lastRoundAt) < roundInterval {
		return s.takeActions()
	}
	return s.runRound(now)
}

// runRound finishes loads that are due, places waiting requests, and maintains every target.
func (s *Scheduler) runRound(now time.Time) []Action {
	if !s.leading {
		if s.observing {
			s.observe(now)
		}
		return s.takeActions() // there are no waiting requests and no orders to issue
	}
	s.lastRoundAt = now
	s.loadLimit.Advance(now, s.storeLoads, s.coldLoadTime.Value())
	s.round++
	s.inRound = true
	defer func() { s.inRound = false }()
	for _, t := range s.targetList {
		t.placeWaiters = 0
		s.maintainTarget(now, t)
	}
	s.rank(now)
	s.searchesLeft = maxSearchesPerRound
	s.rateWaiters = 0
	clear(s.exhausted)
	clear(s.forecast)
	s.loadByDemand(now)
	s.replicateOverloaded(now)
	remaining := s.waiting[:0]
	blocked := map[coord.AdapterRef]bool{}
	for _, r := range s.waiting {
		// If one request for an adapter that may use any target cannot be placed, the next one cannot be
		// placed either.
		if blocked[r.Ref] && s.rateWaiters == 0 && now.Before(r.FirstEventDeadline) && !r.avoidsTargets() || !s.place(now, r) {
			if s.refuseByForecast(now, r) {
				continue
			}
			remaining = append(remaining, r)
			blocked[r.Ref] = blocked[r.Ref] || !r.avoidsTargets() && !r.awaitsPlace
		}
	}
	clear(s.waiting[len(remaining):])
	s.waiting = remaining
	return s.takeActions()
}

func (s *Scheduler) takeActions() []Action {
	acts := s.actions
	s.actions = nil
	return acts
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Stats is a summary for metrics.
type Stats struct {
	Waiting, Running int
	// Loads is the number of loads from the weight store in progress, and MaxLoads its limit.
	Loads, MaxLoads int
	// ColdLoad and WarmLoad are the expected load times, from the store and of an adapter that the
	// engine has cached.
	ColdLoad, WarmLoad time.Duration
	// Freed counts the freed adapter slots by the evidence that freed them.
	Freed [freedByCount]int64
	// LoadsStarted counts the loads from the weight store by their cause.
	LoadsStarted [loadCauseCount]int64
	// ReplicasHeld is the number of replicas of the adapters that need more than one engine, and
	// ReplicasWanted the number that they need.
	ReplicasHeld, ReplicasWanted int
	// OverBatch counts the grants to engines whose batch was full, and Preempting those of them that
	// were expected to preempt a run that had been granted in time.
	OverBatch, Preempting int64
}

// Stats returns a summary.
func (s *Scheduler) Stats() Stats {
	wanted, held := s.demand.replicas()
	return Stats{
		Waiting: len(s.waiting), Running: len(s.grants), Loads: s.storeLoads, MaxLoads: s.loadLimit.Max(), ColdLoad: s.coldLoadTime.Value(),
		WarmLoad: s.warmLoadTime.Value(), Freed: s.freed,
		LoadsStarted: s.loadsStarted, ReplicasWanted: wanted, ReplicasHeld: held,
		OverBatch: s.overBatch, Preempting: s.preempting,
	}
}
