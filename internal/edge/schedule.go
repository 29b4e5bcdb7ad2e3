package edge

import (
	"context"
	"maps"
	"math"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// schedulers holds a scheduler for each service with engines. Every VM keeps them up to date. Only
// the leader receives requests, and only a VM with a lease sends orders. Lock order: schedulers.mu
// before Node.mu and before Feed.mu.
type schedulers struct {
	node *Node

	mu       sync.Mutex
	services map[string]*serviceScheduler
	leading  bool
	// fencingToken is the token under which this VM sends orders; 0: it sends none.
	fencingToken uint64
	// leaseQuiet is how long an engine must have accepted no order before the first one under that
	// token; 0: as usual.
	leaseQuiet time.Duration
	// observing reports that this VM observes the orders of other VMs.
	observing bool
}

// serviceScheduler is the scheduler of one service.
type serviceScheduler struct {
	service   string
	scheduler *scheduler.Scheduler
	waiters   waiters
	targets   map[string]*fleet.Target
	// unsized has the models whose unknown sizes were logged.
	unsized map[string]bool
	// revision is the store revision that targets reflects.
	revision fleet.Revision
}

func newSchedulers(n *Node) *schedulers {
	return &schedulers{node: n, services: map[string]*serviceScheduler{}}
}

// apply applies a changed directory.
func (ss *schedulers) apply(d *feed.Directory) {
	if d.Config == nil {
		return
	}
	ss.mu.Lock()
	var work []func()
	for name, service := range d.Config.Services {
		if service.Engine != nil {
			work = append(work, ss.applyService(d, name, service.Engine)...)
		}
	}
	ss.mu.Unlock()
	runAll(work)
}

func (ss *schedulers) applyService(d *feed.Directory, name string, engine *fleet.Engine) []func() {
	now := ss.node.now()
	cfg := schedulerConfig(engine, ss.node.settings.Orders.LoadOver)
	sc := ss.services[name]
	if sc == nil {
		sc = &serviceScheduler{service: name, scheduler: scheduler.New(cfg), waiters: waiters{}, unsized: map[string]bool{}}
		ss.services[name] = sc
		rates, share := ss.node.rateLimits.current()
		sc.scheduler.SetRates(now, rates, share)
		rejections, share := ss.node.rejectionLimits.current()
		sc.scheduler.SetRejectionLimits(now, rejections, share)
		sc.scheduler.SetLeading(now, ss.leading, nil)
		sc.scheduler.SetLeaseQuiet(ss.leaseQuiet)
		sc.scheduler.SetLease(now, ss.fencingToken)
		sc.scheduler.SetObserving(now, ss.observing)
	}
	sc.scheduler.Configure(cfg)
	sc.scheduler.SetTeamWeights(teamWeights(d.Config))
	ss.logUnknownSizes(sc, engine, d.TargetsOf(name))
	sc.targets = map[string]*fleet.Target{}
	sc.revision = d.Revision
	var announced []scheduler.AnnouncedTarget
	for _, t := range d.TargetsOf(name) {
		sc.targets[t.ID] = t
		announced = append(announced, scheduler.AnnouncedTarget{
			ID: t.ID, Ready: t.State == fleet.TargetReady, Zone: t.Zone, SoftwareVersion: t.SoftwareVersion, Resident: residentItems(t.Resident),
		})
	}
	work := ss.applyActions(sc, sc.scheduler.SetTargets(now, announced))
	versions := make([]scheduler.ResidentItem, 0, len(d.Versions))
	for ref, v := range d.Versions {
		versions = append(versions, scheduler.ResidentItem{Ref: ref, Version: v.Version})
	}
	return append(work, ss.applyActions(sc, sc.scheduler.SetVersions(now, versions))...)
}

// logUnknownSizes logs each model whose sizes are unknown, once. Nothing is loaded beside it.
func (ss *schedulers) logUnknownSizes(sc *serviceScheduler, engine *fleet.Engine, targets []*fleet.Target) {
	var models []string
	for _, m := range engine.Models {
		models = append(models, m.Name)
	}
	for _, t := range targets {
		for _, m := range t.Resident {
			models = append(models, m.Name)
		}
	}
	for _, model := range models {
		if !sc.unsized[model] && !sc.scheduler.KnowsSize(model) {
			sc.unsized[model] = true
			ss.node.log.ModelSizeUnknown(sc.service, model)
		}
	}
}

// Parameters that derive the scheduler's configuration from an engine's.
const (
	// transfersPerConcurrentLoad is the number of adapter loads that may be in flight for each load
	// that the weight store serves concurrently at full speed. Beyond it, all loads take longer.
	transfersPerConcurrentLoad = 8
	// loadRatePerConcurrentLoad is the greatest number of loads per second that the weight store
	// starts for each load that it serves concurrently at full speed, in the known deployments (2.8
	// to 8). The number of concurrent loads is not published: the search for it starts from this
	// estimate.
	loadRatePerConcurrentLoad = 8.0
	// modelLoadIntervalMargin keeps loads of base models slightly below the permitted rate, since
	// the rate counts loads where they start.
	modelLoadIntervalMargin = 1.1
)

func schedulerConfig(e *fleet.Engine, loadOver float64) scheduler.Config {
	cfg := scheduler.Config{
		AdapterSlots: e.AdapterSlots, MemoryMB: e.WeightsMB, Batch: e.Batch, CacheTokens: e.CacheTokens,
		ModelLoadTime: map[string]time.Duration{}, ModelSizes: map[string]scheduler.ModelSize{},
		MaxLoads: transfersPerConcurrentLoad * max(1, int(math.Ceil(e.StoreLoadsPerSecond/loadRatePerConcurrentLoad))),
	}
	if e.StoreLoadsPerSecond > 0 {
		cfg.ModelLoadInterval = time.Duration(float64(time.Second) / e.StoreLoadsPerSecond / max(loadOver, 1) * modelLoadIntervalMargin)
	}
	for _, m := range e.Models {
		cfg.ModelLoadTime[m.Name] = m.LoadTime
		cfg.ModelSizes[m.Name] = scheduler.ModelSize{WeightsMB: m.WeightsMB, AdapterMB: m.AdapterMB}
	}
	return cfg
}

func residentItems(models []fleet.ResidentModel) []scheduler.ResidentItem {
	var out []scheduler.ResidentItem
	for _, m := range models {
		out = append(out, scheduler.ResidentItem{Ref: coord.AdapterRef{Model: m.Name}})
		for _, a := range m.Adapters {
			out = append(out, scheduler.ResidentItem{
				Ref: coord.AdapterRef{Model: m.Name, Adapter: a.Name}, Version: a.Version,
			})
		}
	}
	return out
}

// setLeading sets whether this VM is the leader, and which other VMs report their running requests
// to it.
func (ss *schedulers) setLeading(leading bool, others []coord.VMID) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.SetLeading(now, leading, others)
	})
	ss.mu.Lock()
	ss.leading = leading
	ss.mu.Unlock()
}

// setLease sets the fencing token under which this VM sends orders; 0: it sends none. quiet is how long an
// engine must have accepted no order before the first one; 0: as usual.
func (ss *schedulers) setLease(token uint64, quiet time.Duration) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		sc.scheduler.SetLeaseQuiet(quiet)
		return sc.scheduler.SetLease(now, token)
	})
	ss.mu.Lock()
	ss.fencingToken, ss.leaseQuiet = token, quiet
	ss.mu.Unlock()
}

// setObserving sets whether this VM observes the orders of other VMs.
func (ss *schedulers) setObserving(observing bool) {
	ss.mu.Lock()
	unchanged := ss.observing == observing
	ss.observing = observing
	ss.mu.Unlock()
	if unchanged {
		return
	}
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.SetObserving(now, observing)
	})
}

// observedReplicas returns the targets of a service that hold an adapter, as observed without a leader.
func (ss *schedulers) observedReplicas(service string, ref coord.AdapterRef) []scheduler.Replica {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	sc := ss.services[service]
	if sc == nil {
		return nil
	}
	return sc.scheduler.ObservedReplicas(ss.node.now(), ref)
}

// othersOrderedAt returns when an order of another VM was last observed; zero if none was.
func (ss *schedulers) othersOrderedAt() (last time.Time) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, sc := range ss.services {
		last = coord.Later(last, sc.scheduler.OthersOrderedAt())
	}
	return last
}

func (ss *schedulers) tick() {
	age := ss.node.feed.Age()
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		sc.scheduler.ObserveCopy(now.Add(-age))
		return sc.scheduler.Tick(now)
	})
}

func (ss *schedulers) vmUnresponsive(vm coord.VMID) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.VMUnresponsive(now, vm)
	})
}

// vmRestarted records that a VM runs a new incarnation.
func (ss *schedulers) vmRestarted(vm coord.VMID, incarnation uint64) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.VMRestarted(now, vm, incarnation)
	})
}

func (ss *schedulers) each(f func(sc *serviceScheduler, now time.Time) []scheduler.Action) {
	now := ss.node.now()
	ss.mu.Lock()
	var work []func()
	for _, sc := range ss.services {
		work = append(work, ss.applyActions(sc, f(sc, now))...)
	}
	ss.mu.Unlock()
	runAll(work)
}

// stats returns the sums over the schedulers of all services; ColdLoad and WarmLoad are the
// longest.
func (ss *schedulers) stats() (sum scheduler.Stats) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, sc := range ss.services {
		st := sc.scheduler.Stats()
		sum.Waiting += st.Waiting
		sum.Loads += st.Loads
		sum.MaxLoads += st.MaxLoads
		sum.ColdLoad, sum.WarmLoad = max(sum.ColdLoad, st.ColdLoad), max(sum.WarmLoad, st.WarmLoad)
		sum.OverBatch += st.OverBatch
		sum.Preempting += st.Preempting
		for reason, n := range st.Freed {
			sum.Freed[reason] += n
		}
		for cause, n := range st.LoadsStarted {
			sum.LoadsStarted[cause] += n
		}
		sum.ReplicasWanted += st.ReplicasWanted
		sum.ReplicasHeld += st.ReplicasHeld
	}
	return sum
}

// paces returns the decode pace of the targets of all services that differ from the usual one.
func (ss *schedulers) paces() map[string]float64 {
	now := ss.node.now()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	all := map[string]float64{}
	for _, sc := range ss.services {
		maps.Copy(all, sc.scheduler.Paces(now))
	}
	return all
}

func runAll(work []func()) {
	for _, f := range work {
		f()
	}
}

// admit submits a request to the scheduler of its service and waits for the decision.
func (ss *schedulers) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	now := ss.node.now()
	key := scheduler.Key{VM: from, Ticket: a.Ticket}
	ss.mu.Lock()
	sc := ss.services[a.Service]
	if sc == nil {
		ss.mu.Unlock()
		return refusalMessage("no_scheduler", noDecisionRetryDelay)
	}
	decision := sc.waiters.add(key)
	work := ss.applyActions(sc, sc.scheduler.Submit(now, requestFromProto(now, key, a)))
	ss.mu.Unlock()
	runAll(work)
	return ss.node.awaitDecision(ctx, now, decision, func() {
		ss.done(from, &schema.Done{Ticket: a.Ticket, Service: a.Service, Ending: schema.Ending_ENDING_ABANDONED})
	})
}

func requestFromProto(now time.Time, key scheduler.Key, a *schema.Admit) scheduler.Request {
	r := scheduler.Request{
		Key: key, Ref: coord.AdapterRef{Model: a.Model, Adapter: a.Adapter},
		PromptTokens: int(a.PromptTokens), OutputTokens: int(a.OutputTokens),
		Priority: int(a.Priority), Team: a.Team, Exclude: a.Exclude, BackedOff: a.Resting, SoftwareVersion: a.SoftwareVersion,
		Objective:          time.Duration(a.AimMs) * time.Millisecond,
		Deadline:           now.Add(time.Duration(a.LeftMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(a.PatienceMs) * time.Millisecond),
	}
	for _, p := range a.Parts {
		r.Parts = append(r.Parts, coord.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	return r
}

// done records the first event of a request, or its end.
func (ss *schedulers) done(from coord.VMID, d *schema.Done) {
	now := ss.node.now()
	key := scheduler.Key{VM: from, Ticket: d.Ticket}
	ending, known := endings[d.Ending]
	if !known {
		ending = scheduler.EndedAbandoned
	}
	ss.mu.Lock()
	sc := ss.services[d.Service]
	if sc == nil {
		ss.mu.Unlock()
		return
	}
	target := sc.scheduler.TargetOf(key)
	var work []func()
	if d.Overloaded {
		sc.scheduler.ReportsLate(now, key)
	}
	if d.Ending == schema.Ending_ENDING_FIRST_EVENT {
		sc.scheduler.FirstEvent(now, key)
	} else {
		delete(sc.waiters, key)
		work = ss.applyActions(sc, sc.scheduler.Done(now, key, ending))
	}
	ss.mu.Unlock()
	runAll(work)
	ss.node.recordReport(from, target, d.Ending)
}

// applyActions delivers decisions to the waiting requests. It returns functions that submit orders
// and report reads, which are called without the lock.
func (ss *schedulers) applyActions(sc *serviceScheduler, actions []scheduler.Action) []func() {
	var work []func()
	for _, a := range actions {
		switch a.Kind {
		case scheduler.ActGrant:
			sc.deliver(a, ss.node.limitPair(a.Target), ss.node.feed.Age())
		case scheduler.ActRefuse:
			sc.deliver(a, ss.node.limitPair(a.Target), ss.node.feed.Age())
			if a.Reason != scheduler.ReasonNotLeader {
				st := sc.scheduler.Stats()
				ss.node.log.SchedulerRefused(string(a.Key.VM), a.Key.Ticket, sc.service, a.Reason, st.Waiting, st.Loads, st.MaxLoads, a.Forecast)
			}
		case scheduler.ActLoad, scheduler.ActUnload:
			if t := sc.targets[a.Target]; t != nil {
				work = append(work, func() { ss.node.orders.Submit(func() { ss.sendOrder(sc, t, a) }) })
			}
		case scheduler.ActReadReport:
			if t := sc.targets[a.Target]; t != nil {
				work = append(work, func() { ss.node.reports.Submit(func() { ss.readReport(sc, t) }) })
			}
		}
	}
	return work
}

// deliver sends a decision to the request that waits for it. age is the age of this VM's copy of
// the store.
func (sc *serviceScheduler) deliver(a scheduler.Action, limits limitPair, age time.Duration) {
	sc.waiters.deliver(a.Key, sc.targets, limits, &schema.Verdict{
		Target: a.Target, SoftwareVersion: a.SoftwareVersion, AdapterVersion: a.Version, Priority: int32(a.Priority), RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: a.Reason,
		FeedRevision: uint64(sc.revision), FeedAgeMs: age.Milliseconds(),
	})
}
