package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

var (
	start = time.Unix(1_000_000, 0)
	base  = coord.AdapterRef{Model: "m"}
)

func ref(name string) coord.AdapterRef { return coord.AdapterRef{Model: "m", Adapter: name} }

func config(slots int) Config {
	return Config{
		AdapterSlots: slots, Batch: 8, CacheTokens: 100_000, MaxLoads: 8,
		ModelLoadInterval: 300 * time.Millisecond, ModelLoadTime: map[string]time.Duration{"m": time.Second},
	}
}

// bench is a Scheduler with what its actions asked for.
type bench struct {
	t      *testing.T
	s      *Scheduler
	now    time.Time
	ticket uint64
	acts   []Action
}

// newBench has targets t0, t1 and so on, each with the base model and the
// adapters given, their reports read, and the lease for a while.
func newBench(t *testing.T, cfg Config, holds ...[]string) *bench {
	b := &bench{t: t, s: New(cfg), now: start}
	var listed []AnnouncedTarget
	for i, names := range holds {
		l := AnnouncedTarget{ID: fmt.Sprintf("t%d", i), Ready: true, Resident: []ResidentItem{{Ref: base}}}
		for _, n := range names {
			l.Resident = append(l.Resident, ResidentItem{Ref: ref(n)})
		}
		listed = append(listed, l)
	}
	b.take(b.s.SetTargets(b.now, listed))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.reports(listed)
	b.now = b.now.Add(reportLag)
	b.take(b.s.SetLease(b.now, 1))
	b.reports(listed)
	b.now = b.now.Add(contestTime)
	b.acts = nil
	return b
}

// reports feeds reports that agree with the announcements.
func (b *bench) reports(listed []AnnouncedTarget) {
	for _, l := range listed {
		b.report(l.ID, Report{Resident: l.Resident})
	}
}

func (b *bench) take(acts []Action) { b.acts = append(b.acts, acts...) }

// drain returns and forgets the actions so far.
func (b *bench) drain() []Action {
	acts := b.acts
	b.acts = nil
	return acts
}

func (b *bench) submit(name string, exclude ...string) Key {
	b.ticket++
	k := Key{VM: "vm", Ticket: b.ticket}
	r := Request{
		Key: k, Ref: ref(name), PromptTokens: 300, OutputTokens: 50,
		Objective: 800 * time.Millisecond, Deadline: b.now.Add(15 * time.Second), Exclude: exclude,
	}
	if name == "" {
		r.Ref = base
	}
	b.take(b.s.Submit(b.now, r))
	return k
}

func (b *bench) after(d time.Duration) {
	b.now = b.now.Add(d)
	b.take(b.s.Tick(b.now))
}

func (b *bench) want(kinds ...ActionKind) []Action {
	b.t.Helper()
	acts := b.drain()
	got := make([]ActionKind, 0, len(acts))
	for _, a := range acts {
		got = append(got, a.Kind)
	}
	assert.DeepEqual(b.t, got, append([]ActionKind{}, kinds...))
	return acts
}

// ordered feeds an order's answer, and the next tick.
func (b *bench) ordered(a Action, r OrderResult) {
	b.take(b.s.OrderAnswered(b.now, a.Target, a.Kind == ActUnload, a.Ref, r))
	b.take(b.s.Tick(b.now))
}

// report feeds a target's report, and the next tick.
func (b *bench) report(id string, r Report) {
	b.take(b.s.HandleReport(b.now, id, r, true))
	b.take(b.s.Tick(b.now))
}

func TestResidentIsGrantedAtOnce(t *testing.T) {
	b := newBench(t, config(4), []string{}, []string{"x"})
	b.submit("x")
	assert.Equal(t, b.want(ActGrant)[0].Target, "t1")
}

func TestBaseModelNeedsNoPlace(t *testing.T) {
	b := newBench(t, config(0), []string{})
	b.submit("")
	b.want(ActGrant)
}

func TestLoadThenGrantOnceForAll(t *testing.T) {
	b := newBench(t, config(4), []string{})
	b.submit("x")
	b.submit("x")
	load := b.want(ActLoad)[0]
	b.ordered(load, OrderAccepted)
	b.after(firstColdLoad / 2)
	b.want()
	b.after(firstColdLoad)
	b.want(ActGrant, ActGrant)
}

func TestUnloadBeforeLoadWhenFull(t *testing.T) {
	b := newBench(t, config(2), []string{"x", "y"})
	b.after(minResident)
	b.submit("x")
	b.want(ActGrant)
	b.submit("z")
	unload := b.want(ActUnload)[0]
	assert.Equal(t, unload.Ref, ref("y"), "x is in use")
	b.ordered(unload, OrderAlreadyApplied)
	assert.Equal(t, b.want(ActLoad)[0].Ref, ref("z"))
}

func TestUnloadThatWaitsFreesNothing(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	b.submit("z")
	unload := b.want(ActUnload)[0]
	b.ordered(unload, OrderAccepted)
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	b.want()
	b.after(minResident)
	assert.Equal(t, b.want(ActUnload)[0].Ref, ref("x"), "it is still there")
}

func TestAdapterInUseIsNeverUnloaded(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	key := b.submit("x")
	b.want(ActGrant)
	b.submit("z")
	b.after(time.Second)
	b.want()
	b.take(b.s.Done(b.now, key, EndedOK))
	assert.Equal(t, b.want(ActUnload)[0].Ref, ref("x"))
}

func TestOrderAnswers(t *testing.T) {
	for _, row := range []struct {
		name   string
		result OrderResult
		read   bool // the report must be read before the next order
		grant  bool // after the usual time of a load
	}{
		{"begun", OrderAccepted, false, true},
		{"holds already", OrderAlreadyApplied, false, true},
		{"unknown", OrderUnknown, true, false},
		{"rejected", OrderRejected, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, config(2), []string{})
			b.submit("x")
			b.ordered(b.want(ActLoad)[0], row.result)
			b.after(reportLag + firstColdLoad)
			read, grant := false, false
			for _, a := range b.drain() {
				read = read || a.Kind == ActReadReport
				grant = grant || a.Kind == ActGrant
			}
			assert.Equal(t, read, row.read)
			assert.Equal(t, grant, row.grant)
		})
	}
}

func TestLostAnswerIsFoundInTheReport(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.submit("x")
	b.ordered(b.want(ActLoad)[0], OrderUnknown)
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	b.want(ActGrant)
}

func TestReportDoesNotUndoAnOrderUnderWay(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.submit("x")
	load := b.want(ActLoad)[0]
	b.after(2 * time.Second) // the order waits for a free connection
	b.take(b.s.SetLeading(b.now, false, nil))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.drain()
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}})
	b.submit("z")
	b.want() // x may still come and takes the only place
	b.ordered(load, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	b.want()
	b.after(minResident)
	assert.Equal(t, b.want(ActUnload)[0].Ref, ref("x"))
}

func TestReportDoesNotUndoAnUnloadUnderWay(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	b.submit("z")
	unload := b.want(ActUnload)[0]
	b.after(2 * time.Second)
	b.take(b.s.SetLeading(b.now, false, nil))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.drain()
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	b.submit("x")
	b.want() // it is about to go
	b.ordered(unload, OrderAlreadyApplied)
	b.after(0)
	assert.Equal(t, b.want(ActLoad)[0].Ref, ref("x"))
}

func TestNobodyWaitsForALoadThatMayNotHaveBeenTaken(t *testing.T) {
	b := newBench(t, config(1), []string{}, []string{})
	b.submit("x")
	first := b.want(ActLoad)[0]
	b.ordered(first, OrderUnknown)
	second := b.want(ActLoad)[0]
	assert.Assert(t, second.Target != first.Target)
	b.ordered(second, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	b.want(ActGrant)
}

func TestPendingOfAReportTakesAPlace(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.take(b.s.SetLease(b.now, 0))
	b.take(b.s.SetLease(b.now, 1))
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, Pending: []coord.AdapterRef{ref("x")}})
	b.submit("z")
	b.want()
	b.after(firstColdLoad + loadMargin)
	b.want()
	b.after(minResident)
	assert.Equal(t, b.want(ActUnload)[0].Ref, ref("x"))
}

func TestNoOrdersWithoutTheLease(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	b.take(b.s.SetLease(b.now, 0))
	b.submit("x")
	b.want(ActGrant)
	b.submit("z")
	b.after(time.Second)
	b.want()
	b.take(b.s.SetLease(b.now, 1))
	b.want(ActReadReport)
}

func TestActingVMReadsBeforeItMayOrder(t *testing.T) {
	b := &bench{t: t, s: New(config(2)), now: start}
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "t0", Ready: true, Resident: []ResidentItem{{Ref: base}}}}))
	b.want()
	b.take(b.s.SetLeading(b.now, true, nil))
	b.want(ActReadReport)
	b.submit("x")
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	b.want(ActGrant)
	b.submit("z")
	b.want()
}

func TestBrokenOffRequestMayStillRun(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	key := b.submit("x")
	b.want(ActGrant)
	b.submit("z")
	b.take(b.s.Done(b.now, key, EndedAbandoned))
	b.after(coord.AbortedRequestTime - 1)
	b.want()
	b.after(1)
	assert.Equal(t, b.want(ActUnload)[0].Ref, ref("x"))
}

func TestAdoptedRequestKeepsItsAdapter(t *testing.T) {
	for _, row := range []struct {
		name string
		tell func(b *bench)
		wait time.Duration
	}{
		{"all have told", func(b *bench) { b.s.RunningReported(b.now, "other") }, 0},
		{"one is silent", func(*bench) {}, adoptTime},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, config(1), []string{"x"})
			b.take(b.s.SetLeading(b.now, false, nil))
			b.take(b.s.SetLeading(b.now, true, []coord.VMID{"other"}))
			b.want(ActReadReport)
			b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
			b.submit("z")
			b.after(minResident)
			b.want() // the other VM may still tell what it runs
			key := Key{VM: "other", Ticket: 1}
			b.s.Adopt(b.now, key, "t0", ref("x"), 100, b.now.Add(10*time.Second))
			row.tell(b)
			b.after(row.wait)
			b.want()
			b.take(b.s.Done(b.now, key, EndedOK))
			b.after(0)
			b.want(ActUnload)
		})
	}
}

// TestWordThatComesFirstCounts: a VM may hear sooner than this one that it is asked.
func TestWordThatComesFirstCounts(t *testing.T) {
	for _, row := range []struct {
		name  string
		ago   time.Duration
		wants []ActionKind
	}{
		{"a moment ago", 100 * time.Millisecond, []ActionKind{ActUnload}},
		{"too long ago to tell of now", adoptTime + time.Millisecond, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, config(1), []string{"x"})
			b.take(b.s.SetLeading(b.now, false, nil))
			b.s.RunningReported(b.now, "other")
			b.after(max(row.ago, minResident))
			b.take(b.s.SetLeading(b.now, true, []coord.VMID{"other"}))
			b.want(ActReadReport)
			b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
			b.submit("z")
			b.want(row.wants...)
		})
	}
}

func TestAdoptedRequestTakesAPlaceBeforeTheReport(t *testing.T) {
	b := newBench(t, config(2), []string{})
	b.s.Adopt(b.now, Key{VM: "other", Ticket: 1}, "t0", ref("x"), 100, b.now.Add(10*time.Second))
	b.s.Adopt(b.now, Key{VM: "other", Ticket: 1}, "t0", ref("x"), 100, b.now.Add(10*time.Second))
	assert.Equal(t, b.s.Stats().Running, 1, "told twice")
	b.submit("y")
	b.want(ActLoad)
	b.submit("z")
	b.want()
}

func TestWaitingIsHandedBackWhenAskedNoMore(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.submit("x")
	b.want(ActLoad)
	b.take(b.s.SetLeading(b.now, false, nil))
	assert.Equal(t, b.want(ActRefuse)[0].Reason, ReasonNotLeader)
	b.submit("x")
	assert.Equal(t, b.want(ActRefuse)[0].Reason, ReasonNotLeader)
}

func TestMisplacedIsReadAnew(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	key := b.submit("x")
	b.want(ActGrant)
	b.take(b.s.Done(b.now, key, EndedMisrouted))
	b.submit("x")
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}})
	b.want(ActLoad)
}

func TestEmptyTargetGetsItsModelFirst(t *testing.T) {
	b := newBench(t, config(2), []string{})
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	b.want(ActReadReport)
	b.report("new", Report{})
	load := b.want(ActLoad)[0]
	assert.Equal(t, load.Ref, base)
	b.ordered(load, OrderAccepted)
	b.submit("x")
	b.after(time.Second + reportLag)
	b.after(time.Millisecond)
	b.want(ActReadReport)
	b.report("new", Report{Resident: []ResidentItem{{Ref: base}}})
	assert.Equal(t, b.want(ActLoad)[0].Ref, ref("x"))
}

func TestModelLoadsKeepTheirGap(t *testing.T) {
	cfg := config(2)
	b := &bench{t: t, s: New(cfg), now: start}
	b.take(b.s.SetTargets(b.now, []AnnouncedTarget{{ID: "a", Ready: true}, {ID: "b", Ready: true}}))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.report("a", Report{})
	b.report("b", Report{})
	b.after(reportLag)
	b.take(b.s.SetLease(b.now, 1))
	b.drain()
	b.report("a", Report{})
	b.report("b", Report{})
	b.want(ActLoad)
	b.after(cfg.ModelLoadInterval)
	b.want(ActLoad)
}

func TestNewVersionReplacesTheOld(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	b.take(b.s.SetVersion(b.now, ref("x"), 7))
	load := b.want(ActLoad)[0]
	assert.Equal(t, load.Version, int64(7))
	b.submit("x")
	b.want()
	b.ordered(load, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	assert.Equal(t, b.want(ActGrant)[0].Version, int64(7))
}

// TestNextVersionDuringTheLoadOfTheLast: no request runs on the one between.
func TestNextVersionDuringTheLoadOfTheLast(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	b.take(b.s.SetVersion(b.now, ref("x"), 2))
	second := b.want(ActLoad)[0]
	assert.Equal(t, second.Version, int64(2))
	b.ordered(second, OrderAccepted)
	b.take(b.s.SetVersion(b.now, ref("x"), 3))
	b.submit("x")
	b.want()
	b.after(firstColdLoad + loadMargin)
	third := b.want(ActLoad)[0]
	assert.Equal(t, third.Version, int64(3))
	b.ordered(third, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	assert.Equal(t, b.want(ActGrant)[0].Version, int64(3))
}

func TestFailingTargetIsLeftAlone(t *testing.T) {
	for _, row := range []struct {
		name  string
		how   Ending
		times int
		out   bool
	}{
		{"one failure", EndedFailed, 1, false},
		{"three failures", EndedFailed, 3, true},
		{"unreachable once", EndedUnreachable, 1, true},
		{"busy often", EndedBusy, 5, false},
		{"callers that leave", EndedAbandoned, 5, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBench(t, config(2), []string{"x"}, []string{})
			b.after(2 * time.Second)
			for range row.times {
				key := b.submit("x")
				b.take(b.s.Done(b.now, key, row.how))
			}
			b.drain()
			b.submit("x")
			acts := b.drain()
			if !row.out {
				assert.Equal(t, acts[0].Target, "t0")
				return
			}
			assert.Equal(t, acts[0].Kind, ActLoad)
			assert.Equal(t, acts[0].Target, "t1")
		})
	}
}

func TestEjectedTargetIsTriedOnce(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	b.take(b.s.Done(b.now, b.submit("x"), EndedUnreachable))
	b.drain()
	b.submit("x")
	assert.Equal(t, b.want(ActRefuse)[0].Reason, "no_target")
	b.after(firstEjection + 1)
	trial := b.submit("x")
	b.want(ActGrant)
	b.submit("x")
	b.want(ActRefuse)
	b.take(b.s.Done(b.now, trial, EndedOK))
	b.submit("x")
	b.want(ActGrant)
}

func TestSlowTargetLosesItsShare(t *testing.T) {
	b := newBench(t, config(2), []string{"x"}, []string{"x"})
	firstEvent := map[string]time.Duration{"t0": 300 * time.Millisecond, "t1": 30 * time.Millisecond}
	for range 20 {
		key := b.submit("x")
		b.after(firstEvent[b.drain()[0].Target])
		b.s.FirstEvent(b.now, key)
		b.take(b.s.Done(b.now, key, EndedOK))
		b.drain()
	}
	counts := map[string]int{}
	for range 20 {
		key := b.submit("x")
		counts[b.drain()[0].Target]++
		b.after(50 * time.Millisecond)
		b.take(b.s.Done(b.now, key, EndedAbandoned))
	}
	assert.Assert(t, counts["t1"] > 2*counts["t0"], "%v", counts)
}

func TestInTimeGoesBeforeLate(t *testing.T) {
	cfg := config(4)
	cfg.MaxLoads = 1
	b := newBench(t, cfg, []string{})
	b.submit("first")
	first := b.want(ActLoad)[0]
	b.submit("old")
	b.after(700 * time.Millisecond)
	b.submit("young")
	b.drain()
	b.ordered(first, OrderAccepted)
	var loads []string
	for _, a := range b.drain() {
		if a.Kind == ActLoad {
			loads = append(loads, a.Ref.Adapter)
		}
	}
	assert.DeepEqual(t, loads, []string{"young"})
}

func TestWithdrawnWaiterIsForgotten(t *testing.T) {
	b := newBench(t, config(2), []string{})
	key := b.submit("x")
	load := b.want(ActLoad)[0]
	b.take(b.s.Done(b.now, key, EndedAbandoned))
	b.ordered(load, OrderAccepted)
	b.after(time.Second)
	b.want()
}

func TestGrantsOfALostVMAreReleased(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	b.submit("x")
	b.want(ActGrant)
	b.take(b.s.VMUnresponsive(b.now, "vm"))
	assert.Equal(t, b.s.targets["t0"].running, 0)
	b.submit("z")
	b.after(time.Second)
	b.want() // it may be paused, with its streams open
	b.take(b.s.VMRestarted(b.now, "vm", 100))
	b.after(coord.AbortedRequestTime)
	b.want(ActUnload)
}

func TestRequestsOfTheNewProcessStay(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.submit("x")
	b.ticket = 500
	b.submit("x")
	b.take(b.s.VMRestarted(b.now, "vm", 400))
	assert.Equal(t, b.s.Stats().Running, 1)
}

func TestSilentVMThatWakesEndsItsRequests(t *testing.T) {
	b := newBench(t, config(1), []string{"x"})
	b.after(minResident)
	key := b.submit("x")
	b.take(b.s.VMUnresponsive(b.now, "vm"))
	b.take(b.s.VMUnresponsive(b.now, "vm"))
	b.take(b.s.Done(b.now, key, EndedOK))
	assert.Equal(t, b.s.targets["t0"].running, 0)
	assert.Equal(t, b.s.targets["t0"].slots[ref("x")].inUse, 0)
}

func TestDeadlineRefuses(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.submit("x")
	b.ordered(b.want(ActLoad)[0], OrderRejected)
	b.after(15 * time.Second)
	acts := b.drain()
	assert.Equal(t, acts[len(acts)-1].Kind, ActRefuse)
}

// TestPromptsThatWaitForALoadCount: the next adapter is loaded at another engine, though
// nothing has been sent to the first one yet.
func TestPromptsThatWaitForALoadCount(t *testing.T) {
	b := newBench(t, config(4), []string{}, []string{})
	submit := func(name string, tokens int) string {
		b.ticket++
		b.take(b.s.Submit(b.now, Request{
			Key: Key{VM: "vm", Ticket: b.ticket}, Ref: ref(name), PromptTokens: tokens,
			Objective: 800 * time.Millisecond, Deadline: b.now.Add(15 * time.Second),
		}))
		load := b.want(ActLoad)[0]
		b.ordered(load, OrderAccepted)
		return load.Target
	}
	busy := submit("long", 20_000)
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, submit(name, 500) != busy, name)
	}
}

// TestLateRequestLetsOthersGoFirst: what cannot be in time at its engine makes nobody
// else late there.
func TestLateRequestLetsOthersGoFirst(t *testing.T) {
	b := newBench(t, config(2), []string{"x"})
	submit := func(tokens int) int {
		b.ticket++
		b.take(b.s.Submit(b.now, Request{
			Key: Key{VM: "vm", Ticket: b.ticket}, Ref: ref("x"), PromptTokens: tokens, Priority: 1,
			Objective: 800 * time.Millisecond, Deadline: b.now.Add(15 * time.Second),
		}))
		return b.want(ActGrant)[0].Priority
	}
	inTime := submit(1000)
	late := submit(100_000)
	assert.Assert(t, late > inTime)
	assert.Equal(t, submit(1000), inTime, "the late one is not in front")
	for _, priority := range []int{0, 1, 2} {
		assert.Assert(t, enginePriority(priority, tierLate) < EnginePriority(priority+1), "classes keep their order")
	}
	assert.Equal(t, EnginePriority(50), lowestPriority)
}

// TestCallerThatWouldLeaveIsRefused: nobody waits for the first event then.
func TestCallerThatWouldLeaveIsRefused(t *testing.T) {
	b := newBench(t, config(0), []string{})
	b.take(b.s.Submit(b.now, Request{
		Key: Key{VM: "vm", Ticket: 1}, Ref: ref("x"), PromptTokens: 10_000, Objective: 500 * time.Millisecond,
		Deadline: b.now.Add(15 * time.Second), FirstEventDeadline: b.now.Add(2 * time.Second),
	}))
	quickest := b.s.speed.Overhead() + b.s.speed.PrefillTime(10_000)
	b.after(2*time.Second - quickest)
	b.want()
	b.after(1)
	assert.Equal(t, b.want(ActRefuse)[0].Reason, "caller_leaves")
}

func TestReportsDoNotPlaceAgainWhatWaits(t *testing.T) {
	b := newBench(t, config(1), []string{})
	b.take(b.s.SetLeading(b.now, false, nil))
	b.take(b.s.SetLeading(b.now, true, nil))
	b.submit("x")
	b.want(ActReadReport)
	b.take(b.s.HandleReport(b.now, "t0", Report{Resident: []ResidentItem{{Ref: base}}}, true))
	b.want() // the reports of all engines come at once; one round serves them all
	b.take(b.s.Tick(b.now))
	b.want(ActLoad)
}

func TestWorkOfARoundIsBounded(t *testing.T) {
	cfg := config(1)
	cfg.MaxLoads = 0
	b := newBench(t, cfg, []string{})
	for i := range 5 * maxSearches {
		b.submit(fmt.Sprint("a", i))
	}
	b.take(b.s.Tick(b.now))
	assert.Equal(t, b.s.searches, 0)
	assert.Equal(t, b.s.Stats().Waiting, 5*maxSearches)
}

// TestLateReportsMustAgreeAsWell: this VM gains the lease while it cannot reach a target,
// or the reports of two VMs' orders come late. Another VM that does not know of it yet may
// order there for as long as no order of this one has been obeyed, and a report counts its
// last order before it shows what that did. One engine was ordered beyond its places 1 s
// after a cut between VMs had healed.
func TestLateReportsMustAgreeAsWell(t *testing.T) {
	b := newBench(t, config(4), []string{})
	b.take(b.s.SetLease(b.now, 0))
	b.take(b.s.SetLease(b.now, 1))
	b.drain()
	b.take(b.s.HandleReport(b.now, "t0", Report{}, false))
	b.submit("x")
	b.after(2 * contestTime)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	assert.Equal(t, *b.want(ActLoad)[0].ExpectedOrders, uint64(5))
}

// TestFirstOrderExpectsWhatTheReportShowed: another VM may have ordered a target after
// the report that this one goes by. Its first order must then be refused.
func TestFirstOrderExpectsWhatTheReportShowed(t *testing.T) {
	b := newBench(t, config(4), []string{})
	b.take(b.s.SetLease(b.now, 0))
	b.take(b.s.SetLease(b.now, 1))
	b.drain()
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	b.submit("x")
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	b.submit("y")
	first := b.want(ActLoad)[0]
	assert.Equal(t, *first.ExpectedOrders, uint64(5))
	b.ordered(first, OrderRejected)
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("z")}}, OrderCount: 6})
	b.want()
	b.after(reportLag)
	b.want(ActReadReport)
	b.report("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("z")}}, OrderCount: 6})
	second := b.want(ActLoad)[0]
	assert.Equal(t, *second.ExpectedOrders, uint64(6))
	b.ordered(second, OrderAccepted)
	assert.Assert(t, b.want(ActLoad)[0].ExpectedOrders == nil, "the target obeys this VM only now")
}

// TestCrowdedHomeIsSpreadWhileLoadsAreScarce: one load for an adapter that many ask for
// goes before loads for adapters that one request each waits for.
func TestCrowdedHomeIsSpreadWhileLoadsAreScarce(t *testing.T) {
	cfg := config(8)
	cfg.MaxLoads = 1
	b := newBench(t, cfg, []string{"hot"}, []string{})
	b.submit("cold")
	first := b.want(ActLoad)[0]
	b.ordered(first, OrderAccepted)
	b.after(firstColdLoad + loadMargin - crowdedFor/2)
	b.submit("other")
	for range 60 {
		b.submit("hot")
	}
	b.drain()
	b.after(crowdedFor / 2)
	var loads []coord.AdapterRef
	for _, a := range b.drain() {
		if a.Kind == ActLoad {
			loads = append(loads, a.Ref)
		}
	}
	assert.DeepEqual(t, loads, []coord.AdapterRef{ref("hot")})
}

// TestRefusedFirstOrderDistrustsTheOthers: the VM whose order came between has probably
// ordered other targets too.
func TestRefusedFirstOrderDistrustsTheOthers(t *testing.T) {
	b := newBench(t, config(4), []string{}, []string{})
	b.submit("x")
	load := b.want(ActLoad)[0]
	b.ordered(load, OrderRejected)
	b.submit("y")
	b.after(reportLag - 1)
	b.want()
	b.after(1)
	b.want(ActReadReport, ActReadReport)
}

// TestOrdersSayWhatTheyRestOn: the log of an order tells which places were counted on what.
func TestOrdersSayWhatTheyRestOn(t *testing.T) {
	b := newBench(t, config(2), []string{"a"})
	b.submit("b")
	load := b.want(ActLoad)[0].Basis
	assert.DeepEqual(t, load, Basis{Occupied: 2, Slots: 2, InTransit: 1, ReportAge: contestTime})
	b.ordered(Action{Kind: ActLoad, Target: "t0", Ref: ref("b")}, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	b.want(ActGrant)
	b.after(minResident)
	b.submit("c")
	unload := b.want(ActUnload)[0]
	assert.DeepEqual(t, unload.Basis, Basis{
		Occupied: 2, Slots: 2, InTransit: 1, Unconfirmed: 1, Cached: true, Confirmed: true,
		ReportAge: contestTime + firstColdLoad + loadMargin + minResident,
	})
	b.ordered(unload, OrderAlreadyApplied)
	assert.Equal(t, b.s.Stats().Freed[FreedByAnswer], int64(1))
}
