package edge

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// schedules holds a scheduler for each service with engines. Every VM keeps them
// up to date; only the acting VM is asked, and only the holder of the duty gives
// orders. Lock order: schedules.mu before Node.mu and before Feed.mu.
type schedules struct {
	node *Node

	mu       sync.Mutex
	services map[string]*schedule
	acting   bool
	// fence is the number under which this VM orders; 0: it does not.
	fence uint64
}

// schedule is the scheduler of one service.
type schedule struct {
	service string
	s       *scheduler.Scheduler
	waiters waiters
	targets map[string]*fleet.Target
	// revision of the store that targets show.
	revision fleet.Revision
}

func newSchedules(n *Node) *schedules {
	return &schedules{node: n, services: map[string]*schedule{}}
}

// apply carries a changed directory in.
func (ss *schedules) apply(d *feed.Directory) {
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

func (ss *schedules) applyService(d *feed.Directory, name string, engine *fleet.Engine) []func() {
	now := ss.node.now()
	cfg := schedulerConfig(engine, ss.node.settings.Orders.LoadOver)
	sc := ss.services[name]
	if sc == nil {
		sc = &schedule{service: name, s: scheduler.New(cfg), waiters: waiters{}}
		ss.services[name] = sc
		rates, share := ss.node.rateLimits.current()
		sc.s.SetRates(now, rates, share)
		sc.s.SetLeading(now, ss.acting, nil)
		sc.s.SetLease(now, ss.fence)
	}
	sc.s.Configure(cfg)
	sc.targets = map[string]*fleet.Target{}
	sc.revision = d.Revision
	var listed []scheduler.AnnouncedTarget
	for _, t := range d.TargetsOf(name) {
		sc.targets[t.ID] = t
		listed = append(listed, scheduler.AnnouncedTarget{
			ID: t.ID, Ready: t.State == fleet.TargetReady, Resident: holdings(t.Resident),
		})
	}
	work := ss.carryOut(sc, sc.s.SetTargets(now, listed))
	for _, v := range d.Versions {
		work = append(work, ss.carryOut(sc, sc.s.SetVersion(now, v.Ref, v.Version))...)
	}
	return work
}

// Figures that turn an engine's configuration into the scheduler's.
const (
	// transitPerLoad is how many adapters may be on their way for each load that
	// the weight store serves at full speed, by the users' measurement: beyond,
	// all of them take longer.
	transitPerLoad = 8
	// loadsPerSlot is how many loads a second the weight store begins for each load
	// that it serves at full speed, at most, on the deployments known so far (2.8 to
	// 8). The number served at once itself is not published: this is where the search
	// for it begins.
	loadsPerSlot = 8.0
	// modelGapMargin keeps loads of base models a little below the rate that is
	// allowed, since they are counted where they begin.
	modelGapMargin = 1.1
)

func schedulerConfig(e *fleet.Engine, over float64) scheduler.Config {
	cfg := scheduler.Config{
		AdapterSlots: e.AdapterSlots, Batch: e.Batch, CacheTokens: e.CacheTokens,
		ModelLoadTime: map[string]time.Duration{},
		MaxLoads:      transitPerLoad * max(1, int(math.Ceil(e.StoreLoadsPerSecond/loadsPerSlot))),
	}
	if e.StoreLoadsPerSecond > 0 {
		cfg.ModelLoadInterval = time.Duration(float64(time.Second) / e.StoreLoadsPerSecond / max(over, 1) * modelGapMargin)
	}
	for _, m := range e.Models {
		cfg.ModelLoadTime[m.Name] = m.LoadTime
		if m.AdapterMB > 0 && e.WeightsMB > m.WeightsMB {
			cfg.AdapterSlots = min(cfg.AdapterSlots, int((e.WeightsMB-m.WeightsMB)/m.AdapterMB))
		}
	}
	return cfg
}

func holdings(models []fleet.ResidentModel) []scheduler.ResidentItem {
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

// setActing says whether other VMs ask this one, and which they are.
func (ss *schedules) setActing(acting bool, others []coord.VMID) {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.SetLeading(now, acting, others) })
	ss.mu.Lock()
	ss.acting = acting
	ss.mu.Unlock()
}

// setLease says under which number this VM orders; 0: it does not.
func (ss *schedules) setLease(fence uint64) {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.SetLease(now, fence) })
	ss.mu.Lock()
	ss.fence = fence
	ss.mu.Unlock()
}

func (ss *schedules) tick() {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.Tick(now) })
}

// silent takes the news that a VM is away.
func (ss *schedules) silent(vm coord.VMID) {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.VMUnresponsive(now, vm) })
}

// restarted takes the news that a VM has started anew.
func (ss *schedules) restarted(vm coord.VMID, incarnation uint64) {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.VMRestarted(now, vm, incarnation) })
}

func (ss *schedules) each(f func(sc *schedule, now time.Time) []scheduler.Action) {
	now := ss.node.now()
	ss.mu.Lock()
	var work []func()
	for _, sc := range ss.services {
		work = append(work, ss.carryOut(sc, f(sc, now))...)
	}
	ss.mu.Unlock()
	runAll(work)
}

// stats sums the schedulers of all services; of times it has the longest.
func (ss *schedules) stats() (sum scheduler.Stats) {
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, sc := range ss.services {
		st := sc.s.Stats()
		sum.Waiting += st.Waiting
		sum.Loads += st.Loads
		sum.MaxLoads += st.MaxLoads
		sum.ColdLoad, sum.WarmLoad = max(sum.ColdLoad, st.ColdLoad), max(sum.WarmLoad, st.WarmLoad)
		for why, n := range st.Freed {
			sum.Freed[why] += n
		}
	}
	return sum
}

func runAll(work []func()) {
	for _, f := range work {
		f()
	}
}

// admit asks the scheduler and waits for its verdict.
func (ss *schedules) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	now := ss.node.now()
	key := scheduler.Key{VM: from, Ticket: a.Ticket}
	ss.mu.Lock()
	sc := ss.services[a.Service]
	if sc == nil {
		ss.mu.Unlock()
		return refusal("no_scheduler", unknownPause)
	}
	verdict := sc.waiters.add(key)
	work := ss.carryOut(sc, sc.s.Submit(now, requestFromProto(now, key, a)))
	ss.mu.Unlock()
	runAll(work)
	return ss.node.awaitVerdict(ctx, now, verdict, func() {
		ss.done(from, &schema.Done{Ticket: a.Ticket, Service: a.Service, Ending: schema.Ending_ENDING_ABANDONED})
	})
}

func requestFromProto(now time.Time, key scheduler.Key, a *schema.Admit) scheduler.Request {
	r := scheduler.Request{
		Key: key, Ref: coord.AdapterRef{Model: a.Model, Adapter: a.Adapter},
		PromptTokens: int(a.PromptTokens), OutputTokens: int(a.OutputTokens),
		Priority: int(a.Priority), Exclude: a.Exclude, BackedOff: a.Resting,
		Objective:          time.Duration(a.AimMs) * time.Millisecond,
		Deadline:           now.Add(time.Duration(a.LeftMs) * time.Millisecond),
		FirstEventDeadline: now.Add(time.Duration(a.PatienceMs) * time.Millisecond),
	}
	for _, p := range a.Parts {
		r.Parts = append(r.Parts, coord.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	return r
}

// done takes the first event of a request, or its end.
func (ss *schedules) done(from coord.VMID, d *schema.Done) {
	now := ss.node.now()
	key := scheduler.Key{VM: from, Ticket: d.Ticket}
	how, known := endings[d.Ending]
	if !known {
		how = scheduler.EndedAbandoned
	}
	ss.mu.Lock()
	sc := ss.services[d.Service]
	if sc == nil {
		ss.mu.Unlock()
		return
	}
	if d.Ending == schema.Ending_ENDING_FIRST_EVENT {
		sc.s.FirstEvent(now, key)
		ss.mu.Unlock()
		return
	}
	delete(sc.waiters, key)
	work := ss.carryOut(sc, sc.s.Done(now, key, how))
	ss.mu.Unlock()
	runAll(work)
}

// carryOut gives verdicts to those who wait and returns the orders to give, which
// are run without the lock.
func (ss *schedules) carryOut(sc *schedule, acts []scheduler.Action) []func() {
	var work []func()
	for _, a := range acts {
		switch a.Kind {
		case scheduler.ActGrant:
			sc.verdict(a, ss.node.rateLimits.Limit(a.Target), ss.node.feed.Age())
		case scheduler.ActRefuse:
			sc.verdict(a, ss.node.rateLimits.Limit(a.Target), ss.node.feed.Age())
			if a.Reason != scheduler.ReasonNotLeader {
				st := sc.s.Stats()
				ss.node.log.SchedulerRefused(string(a.Key.VM), a.Key.Ticket, sc.service, a.Reason, st.Waiting, st.Loads, st.MaxLoads)
			}
		case scheduler.ActLoad, scheduler.ActUnload:
			if t := sc.targets[a.Target]; t != nil {
				work = append(work, func() { ss.node.orders.Submit(func() { ss.order(sc, t, a) }) })
			}
		case scheduler.ActReadReport:
			if t := sc.targets[a.Target]; t != nil {
				work = append(work, func() { ss.node.reports.Submit(func() { ss.read(sc, t) }) })
			}
		}
	}
	return work
}

// verdict answers the VM that waits for it. age is that of this VM's copy of the store.
func (sc *schedule) verdict(a scheduler.Action, limit ratelimit.Limit, age time.Duration) {
	sc.waiters.answer(a.Key, sc.targets, limit, &schema.Verdict{
		Target: a.Target, AdapterVersion: a.Version, Priority: int32(a.Priority), RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: a.Reason,
		FeedRevision: uint64(sc.revision), FeedAgeMs: age.Milliseconds(),
	})
}
