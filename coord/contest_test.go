package coord_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/leadership"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/coord/scheduler"
)

// Figures of a fleet whose VMs cannot find each other.
const (
	contestLease    = 3 * time.Second
	contestRecovery = 12 * time.Second
	contestStep     = 20 * time.Millisecond
	contestAdapters = 60
	// contestReportLag is the greatest age of a report.
	contestReportLag = 300 * time.Millisecond
)

var contestBase = coord.AdapterRef{Model: "m"}

// acceptedOrder is an order that an engine has accepted.
type acceptedOrder struct {
	at time.Time
	vm coord.VMID
}

// countingEngine accepts orders, counts them and rejects those of lower fencing tokens.
type countingEngine struct {
	id       string
	token    uint64
	adapters []coord.AdapterRef
	accepted []acceptedOrder
	// reports holds the state after each order, with its time.
	reports []timedReport
}

type timedReport struct {
	at     time.Time
	report scheduler.Report
}

func (e *countingEngine) order(now time.Time, vm coord.VMID, a scheduler.Action) (result scheduler.OrderResult, fenced bool) {
	switch {
	case a.FencingToken < e.token:
		return scheduler.OrderRejected, true
	case a.ExpectedOrders != nil && *a.ExpectedOrders != uint64(len(e.accepted)):
		return scheduler.OrderRejected, false
	}
	e.token = a.FencingToken
	e.accepted = append(e.accepted, acceptedOrder{now, vm})
	var kept []coord.AdapterRef
	for _, ref := range e.adapters {
		if ref != a.Ref {
			kept = append(kept, ref)
		}
	}
	if e.adapters = kept; a.Kind == scheduler.ActLoad {
		e.adapters = append(e.adapters, a.Ref)
	}
	e.record(now)
	return scheduler.OrderAccepted, false
}

func (e *countingEngine) record(now time.Time) {
	r := scheduler.Report{Resident: []scheduler.ResidentItem{{Ref: contestBase}}, OrderCount: uint64(len(e.accepted))}
	for _, ref := range e.adapters {
		r.Resident = append(r.Resident, scheduler.ResidentItem{Ref: ref})
	}
	e.reports = append(e.reports, timedReport{now, r})
}

// reportAt returns the last report that is at least contestReportLag old.
func (e *countingEngine) reportAt(now time.Time) scheduler.Report {
	last := e.reports[0]
	for _, r := range e.reports {
		if !r.at.After(now.Add(-contestReportLag)) {
			last = r
		}
	}
	return last.report
}

// turns returns how often an engine accepted an order of one VM, of another and of the first one again,
// each within the lease of the one before.
func (e *countingEngine) turns() (n int) {
	for i, o := range e.accepted {
		for j := i - 1; j > 0 && e.accepted[j].vm != o.vm && o.at.Sub(e.accepted[j].at) <= contestLease; j-- {
			before := e.accepted[j-1]
			if before.vm == o.vm && e.accepted[j].at.Sub(before.at) <= contestLease {
				n++
			}
		}
	}
	return n
}

// contestVM is a VM with its view of the fleet.
type contestVM struct {
	id       coord.VMID
	roster   *roster.Roster
	machine  *leadership.Machine
	schedule *scheduler.Scheduler
	leading  bool
	ticket   uint64
}

// contestFleet is a fleet of groups of VMs. The VMs of a group know each other; no VM finds one of another
// group, because all seeds are down.
type contestFleet struct {
	rng     *rand.Rand
	now     time.Time
	groups  [][]*contestVM
	engines []*countingEngine
	// interval is the mean time between two requests.
	interval time.Duration
	// ledSince is when a VM first acquired leadership; zero until then.
	ledSince time.Time
}

var contestStart = time.Unix(1_000_000, 0)

func newContestFleet(seed uint64, engines int, interval time.Duration, groups []int) *contestFleet {
	f := &contestFleet{rng: rand.New(rand.NewPCG(seed, 3)), now: contestStart, interval: interval}
	var announced []scheduler.AnnouncedTarget
	for i := range engines {
		e := &countingEngine{id: fmt.Sprintf("engine%d", i)}
		e.record(f.now.Add(-time.Minute))
		f.engines = append(f.engines, e)
		announced = append(announced, scheduler.AnnouncedTarget{ID: e.id, Ready: true, Resident: []scheduler.ResidentItem{{Ref: contestBase}}})
	}
	for g, size := range groups {
		var group []*contestVM
		for i := range size {
			v := f.newVM(coord.VMID(fmt.Sprintf("vm%d%d", g, i)))
			v.schedule.SetTargets(f.now, announced)
			group = append(group, v)
		}
		f.groups = append(f.groups, group)
	}
	return f
}

func (f *contestFleet) newVM(id coord.VMID) *contestVM {
	v := &contestVM{id: id}
	v.roster = roster.New(roster.Config{
		SuspectAfter: 1200 * time.Millisecond, ForgetAfter: 15 * time.Second, AbandonAfter: time.Minute,
		Seeds: []string{"seed0", "seed1", "seed2"}, Start: f.now,
	}, roster.Entry{ID: id, Address: string(id), Incarnation: 1, Capacity: 40})
	v.machine = leadership.New(f.now, id, "scheduler", contestLease/6, true)
	v.machine.SetContest(leadership.ContestConfig{JoinWait: contestRecovery / 3, QuietTime: contestLease + contestReportLag})
	v.schedule = scheduler.New(scheduler.Config{
		AdapterSlots: 6, Batch: 8, CacheTokens: 100_000, MaxLoads: 8, ModelLoadInterval: time.Second, ModelLoadTime: map[string]time.Duration{"m": time.Second},
	})
	return v
}

// run advances the time, with requests at random VMs.
func (f *contestFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(contestStep)
		for _, group := range f.groups {
			f.exchangeHeartbeats(group)
			for _, v := range group {
				f.update(v)
			}
		}
		if f.rng.IntN(int(f.interval/contestStep)) == 0 {
			f.submit()
		}
	}
}

func (f *contestFleet) exchangeHeartbeats(group []*contestVM) {
	if f.now.Sub(contestStart)%(200*time.Millisecond) != 0 {
		return
	}
	for _, v := range group {
		v.roster.Tick(f.now)
		for _, other := range group {
			other.roster.Merge(f.now, v.roster.Snapshot())
		}
	}
}

func (f *contestFleet) update(v *contestVM) {
	v.machine.ObserveOtherOrders(v.schedule.OthersOrderedAt())
	if v.machine.Update(f.now, v.roster) {
		v.machine.Acquire(f.now, 50, true)
	}
	token := v.machine.FencingToken()
	if token != 0 && f.ledSince.IsZero() {
		f.ledSince = f.now
	}
	v.roster.SetFencingToken(token)
	if leading := v.machine.Leader() == v.id; leading != v.leading {
		v.leading = leading
		f.execute(v, v.schedule.SetLeading(f.now, leading, nil))
	}
	quiet := time.Duration(0)
	if v.machine.IsProvisional() {
		quiet = contestLease + contestReportLag
	}
	v.schedule.SetLeaseQuiet(quiet)
	f.execute(v, v.schedule.SetObserving(f.now, v.machine.ObservesOrders()))
	f.execute(v, v.schedule.SetLease(f.now, token))
	f.execute(v, v.schedule.Tick(f.now))
}

// submit sends a request of a random adapter to the leader of a random group.
func (f *contestFleet) submit() {
	group := f.groups[f.rng.IntN(len(f.groups))]
	for _, v := range group {
		if !v.leading {
			continue
		}
		v.ticket++
		f.execute(v, v.schedule.Submit(f.now, scheduler.Request{
			Key: scheduler.Key{VM: v.id, Ticket: v.ticket}, Ref: coord.AdapterRef{Model: "m", Adapter: fmt.Sprintf("a%d", f.rng.IntN(contestAdapters))},
			PromptTokens: 100, OutputTokens: 20, Objective: time.Second, Deadline: f.now.Add(3 * time.Second),
		}))
	}
}

// execute carries out actions at once. Granted requests end at once.
func (f *contestFleet) execute(v *contestVM, actions []scheduler.Action) {
	for _, a := range actions {
		switch a.Kind {
		case scheduler.ActGrant:
			f.execute(v, v.schedule.Done(f.now, a.Key, scheduler.EndedOK))
		case scheduler.ActReadReport:
			f.execute(v, v.schedule.HandleReport(f.now, a.Target, f.engine(a.Target).reportAt(f.now), true))
		case scheduler.ActLoad, scheduler.ActUnload:
			result, fenced := f.engine(a.Target).order(f.now, v.id, a)
			if fenced {
				v.machine.HandleRejection(a.FencingToken)
				v.machine.ObserveOtherOrders(f.now)
			}
			f.execute(v, v.schedule.OrderAnswered(f.now, a.Target, a.Kind == scheduler.ActUnload, a.Ref, result))
		}
	}
}

func (f *contestFleet) engine(id string) *countingEngine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// TestVMsThatCannotFindEachOtherDoNotOrderInTurns lets groups of VMs that know dead seeds only run for 90 s. Each
// group used to lead after 60 s without the others, and a leader that an engine had fenced off returned half a
// second later under the next token, so that engines took orders of several VMs in turns.
func TestVMsThatCannotFindEachOtherDoNotOrderInTurns(t *testing.T) {
	for _, row := range []struct {
		name     string
		groups   []int
		engines  int
		interval time.Duration
	}{
		{"three VMs", []int{1, 1, 1}, 4, 60 * time.Millisecond},
		{"two VMs", []int{1, 1}, 4, 60 * time.Millisecond},
		{"a VM and a pair", []int{2, 1}, 4, 60 * time.Millisecond},
		{"two pairs", []int{2, 2}, 4, 60 * time.Millisecond},
		{"three groups", []int{3, 2, 1}, 4, 60 * time.Millisecond},
		{"few requests", []int{1, 1, 1}, 4, 1500 * time.Millisecond},
		{"more engines than are observed", []int{1, 1, 1}, 48, 300 * time.Millisecond},
	} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprint(row.name, seed), func(t *testing.T) {
				f := newContestFleet(seed, row.engines, row.interval, row.groups)
				f.run(contestRecovery / 2)
				assert.Assert(t, !f.ledSince.IsZero(), "no VM leads in half of the time for the recovery")
				f.run(84 * time.Second)
				orders := 0
				for _, e := range f.engines {
					assert.Equal(t, e.turns(), 0, e.id)
					orders += len(e.accepted)
				}
				assert.Assert(t, orders >= 20, "%d orders", orders)
			})
		}
	}
}

// leaders returns the VMs that may send orders.
func (f *contestFleet) leaders() (leaders []coord.VMID) {
	for _, group := range f.groups {
		for _, v := range group {
			if v.machine.FencingToken() != 0 {
				leaders = append(leaders, v.id)
			}
		}
	}
	return leaders
}

// TestGroupsThatFindEachOtherKeepSeveralLeaders lets the groups find each other after a while. One leader has to remain, and
// engines that a provisional leader has ordered must not stay without orders.
func TestGroupsThatFindEachOtherKeepSeveralLeaders(t *testing.T) {
	for seed := range uint64(8) {
		f := newContestFleet(seed, 4, 60*time.Millisecond, []int{2, 1, 2})
		f.run(time.Duration(5+3*seed) * time.Second)
		f.groups = [][]*contestVM{slices.Concat(f.groups...)}
		f.run(contestLease)
		assert.Equal(t, len(f.leaders()), 1, "seed %d: %v", seed, f.leaders())
		before := f.orderCount()
		f.run(2 * contestLease)
		assert.Assert(t, f.orderCount() > before, "seed %d", seed)
	}
}

func (f *contestFleet) orderCount() (n int) {
	for _, e := range f.engines {
		n += len(e.accepted)
	}
	return n
}
