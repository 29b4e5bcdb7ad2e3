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

// harness drives a Scheduler and collects its actions.
type harness struct {
	t       *testing.T
	s       *Scheduler
	now     time.Time
	ticket  uint64
	actions []Action
}

// newHarness returns a harness with targets t0, t1 and so on, each with the base model and the
// given adapters. Their reports have been read, and the scheduler has held the lease for a while.
func newHarness(t *testing.T, cfg Config, resident ...[]string) *harness {
	h := &harness{t: t, s: New(cfg), now: start}
	var listed []AnnouncedTarget
	for i, names := range resident {
		l := AnnouncedTarget{ID: fmt.Sprintf("t%d", i), Ready: true, Resident: []ResidentItem{{Ref: base}}}
		for _, n := range names {
			l.Resident = append(l.Resident, ResidentItem{Ref: ref(n)})
		}
		listed = append(listed, l)
	}
	h.collect(h.s.SetTargets(h.now, listed))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.sendReports(listed)
	h.now = h.now.Add(reportLag)
	h.collect(h.s.SetLease(h.now, 1))
	h.sendReports(listed)
	h.now = h.now.Add(leaseContestWindow)
	h.actions = nil
	return h
}

// sendReports sends reports that agree with the announcements.
func (h *harness) sendReports(listed []AnnouncedTarget) {
	for _, l := range listed {
		h.sendReport(l.ID, Report{Resident: l.Resident})
	}
}

func (h *harness) collect(acts []Action) { h.actions = append(h.actions, acts...) }

// drain returns and clears the actions so far.
func (h *harness) drain() []Action {
	acts := h.actions
	h.actions = nil
	return acts
}

func (h *harness) submit(name string, exclude ...string) Key {
	return h.submitTo("", name, exclude...)
}

// submitTo submits a request that only targets of a software version may process.
func (h *harness) submitTo(version, name string, exclude ...string) Key {
	h.ticket++
	k := Key{VM: "vm", Ticket: h.ticket}
	r := Request{
		Key: k, Ref: ref(name), PromptTokens: 300, OutputTokens: 50, SoftwareVersion: version,
		Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second), Exclude: exclude,
	}
	if name == "" {
		r.Ref = base
	}
	h.collect(h.s.Submit(h.now, r))
	return k
}

func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.collect(h.s.Tick(h.now))
}

func (h *harness) expectActions(kinds ...ActionKind) []Action {
	h.t.Helper()
	acts := h.drain()
	got := make([]ActionKind, 0, len(acts))
	for _, a := range acts {
		got = append(got, a.Kind)
	}
	assert.DeepEqual(h.t, got, append([]ActionKind{}, kinds...))
	return acts
}

// answerOrder sends the answer to an order, and runs a tick.
func (h *harness) answerOrder(a Action, r OrderResult) {
	h.collect(h.s.OrderAnswered(h.now, a.Target, a.Kind == ActUnload, a.Ref, r))
	h.collect(h.s.Tick(h.now))
}

// sendReport sends a target's report, and runs a tick.
func (h *harness) sendReport(id string, r Report) {
	h.collect(h.s.HandleReport(h.now, id, r, true))
	h.collect(h.s.Tick(h.now))
}

func TestResidentAdapterIsGrantedImmediately(t *testing.T) {
	h := newHarness(t, config(4), []string{}, []string{"x"})
	h.submit("x")
	assert.Equal(t, h.expectActions(ActGrant)[0].Target, "t1")
}

func TestBaseModelNeedsNoAdapterSlot(t *testing.T) {
	h := newHarness(t, config(0), []string{})
	h.submit("")
	h.expectActions(ActGrant)
}

func TestOneLoadServesAllWaitingRequests(t *testing.T) {
	h := newHarness(t, config(4), []string{})
	h.submit("x")
	h.submit("x")
	load := h.expectActions(ActLoad)[0]
	h.answerOrder(load, OrderAccepted)
	h.advance(initialColdLoadTime / 2)
	h.expectActions()
	h.advance(initialColdLoadTime)
	h.expectActions(ActGrant, ActGrant)
}

func TestUnloadBeforeLoadWhenFull(t *testing.T) {
	h := newHarness(t, config(2), []string{"x", "y"})
	h.advance(minResidency)
	h.submit("x")
	h.expectActions(ActGrant)
	h.submit("z")
	unload := h.expectActions(ActUnload)[0]
	assert.Equal(t, unload.Ref, ref("y"), "x is in use")
	h.answerOrder(unload, OrderAlreadyApplied)
	assert.Equal(t, h.expectActions(ActLoad)[0].Ref, ref("z"))
}

func TestPendingUnloadFreesNoSlot(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	h.submit("z")
	unload := h.expectActions(ActUnload)[0]
	h.answerOrder(unload, OrderAccepted)
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	h.expectActions()
	h.advance(minResidency)
	assert.Equal(t, h.expectActions(ActUnload)[0].Ref, ref("x"), "x is still resident")
}

func TestAdapterInUseIsNeverUnloaded(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	key := h.submit("x")
	h.expectActions(ActGrant)
	h.submit("z")
	h.advance(time.Second)
	h.expectActions()
	h.collect(h.s.Done(h.now, key, EndedOK))
	assert.Equal(t, h.expectActions(ActUnload)[0].Ref, ref("x"))
}

func TestOrderAnswerDeterminesReportReadAndGrant(t *testing.T) {
	for _, row := range []struct {
		name   string
		result OrderResult
		read   bool // the report must be read before the next order
		grant  bool // after the usual load time
	}{
		{"accepted", OrderAccepted, false, true},
		{"already applied", OrderAlreadyApplied, false, true},
		{"unknown", OrderUnknown, true, false},
		{"rejected", OrderRejected, true, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, config(2), []string{})
			h.submit("x")
			h.answerOrder(h.expectActions(ActLoad)[0], row.result)
			h.advance(reportLag + initialColdLoadTime)
			read, grant := false, false
			for _, a := range h.drain() {
				read = read || a.Kind == ActReadReport
				grant = grant || a.Kind == ActGrant
			}
			assert.Equal(t, read, row.read)
			assert.Equal(t, grant, row.grant)
		})
	}
}

func TestLostOrderAnswerIsRecoveredFromReport(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.submit("x")
	h.answerOrder(h.expectActions(ActLoad)[0], OrderUnknown)
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	h.expectActions(ActGrant)
}

func TestReportDoesNotRevertPendingLoad(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.submit("x")
	load := h.expectActions(ActLoad)[0]
	h.advance(2 * time.Second) // the order waits for a free connection
	h.collect(h.s.SetLeading(h.now, false, nil))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.drain()
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}})
	h.submit("z")
	h.expectActions() // x may still be loaded and occupies the only slot
	h.answerOrder(load, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	h.expectActions()
	h.advance(minResidency)
	assert.Equal(t, h.expectActions(ActUnload)[0].Ref, ref("x"))
}

func TestReportDoesNotRevertPendingUnload(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	h.submit("z")
	unload := h.expectActions(ActUnload)[0]
	h.advance(2 * time.Second)
	h.collect(h.s.SetLeading(h.now, false, nil))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.drain()
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	h.submit("x")
	h.expectActions() // x is about to be unloaded
	h.answerOrder(unload, OrderAlreadyApplied)
	h.advance(0)
	assert.Equal(t, h.expectActions(ActLoad)[0].Ref, ref("x"))
}

func TestRequestDoesNotWaitForUnconfirmedLoad(t *testing.T) {
	h := newHarness(t, config(1), []string{}, []string{})
	h.submit("x")
	first := h.expectActions(ActLoad)[0]
	h.answerOrder(first, OrderUnknown)
	second := h.expectActions(ActLoad)[0]
	assert.Assert(t, second.Target != first.Target)
	h.answerOrder(second, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	h.expectActions(ActGrant)
}

func TestPendingAdapterInReportOccupiesSlot(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.collect(h.s.SetLease(h.now, 0))
	h.collect(h.s.SetLease(h.now, 1))
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, Pending: []coord.AdapterRef{ref("x")}})
	h.submit("z")
	h.expectActions()
	h.advance(initialColdLoadTime + loadMargin)
	h.expectActions()
	h.advance(minResidency)
	assert.Equal(t, h.expectActions(ActUnload)[0].Ref, ref("x"))
}

func TestNoOrdersWithoutTheLease(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	h.collect(h.s.SetLease(h.now, 0))
	h.submit("x")
	h.expectActions(ActGrant)
	h.submit("z")
	h.advance(time.Second)
	h.expectActions()
	h.collect(h.s.SetLease(h.now, 1))
	h.expectActions(ActReadReport)
}

func TestLeaderReadsReportsBeforeItHoldsTheLease(t *testing.T) {
	h := &harness{t: t, s: New(config(2)), now: start}
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "t0", Ready: true, Resident: []ResidentItem{{Ref: base}}}}))
	h.expectActions()
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.expectActions(ActReadReport)
	h.submit("x")
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
	h.expectActions(ActGrant)
	h.submit("z")
	h.expectActions()
}

func TestAbortedRequestPinsItsAdapter(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	key := h.submit("x")
	h.expectActions(ActGrant)
	h.submit("z")
	h.collect(h.s.Done(h.now, key, EndedAbandoned))
	h.advance(coord.AbortedRequestTime - 1)
	h.expectActions()
	h.advance(1)
	assert.Equal(t, h.expectActions(ActUnload)[0].Ref, ref("x"))
}

func TestAdoptedRequestKeepsItsAdapter(t *testing.T) {
	for _, row := range []struct {
		name   string
		report func(h *harness)
		wait   time.Duration
	}{
		{"all VMs have reported", func(h *harness) { h.s.RunningReported(h.now, "other") }, 0},
		{"one VM is unresponsive", func(*harness) {}, runningReportTimeout},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, config(1), []string{"x"})
			h.collect(h.s.SetLeading(h.now, false, nil))
			h.collect(h.s.SetLeading(h.now, true, []coord.VMID{"other"}))
			h.expectActions(ActReadReport)
			h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
			h.submit("z")
			h.advance(minResidency)
			h.expectActions() // the other VM may still report its running requests
			key := Key{VM: "other", Ticket: 1}
			h.s.Adopt(h.now, AdoptedRun{Key: key, Target: "t0", Ref: ref("x"), Tokens: 100, Deadline: h.now.Add(10 * time.Second)})
			row.report(h)
			h.advance(row.wait)
			h.expectActions()
			h.collect(h.s.Done(h.now, key, EndedOK))
			h.advance(0)
			h.expectActions(ActUnload)
		})
	}
}

// TestRunningReportBeforeLeadershipCounts: another VM may learn before this one does that this VM
// is the leader.
func TestRunningReportBeforeLeadershipCounts(t *testing.T) {
	for _, row := range []struct {
		name string
		ago  time.Duration
		want []ActionKind
	}{
		{"reported recently", 100 * time.Millisecond, []ActionKind{ActUnload}},
		{"report is outdated", runningReportTimeout + time.Millisecond, nil},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, config(1), []string{"x"})
			h.collect(h.s.SetLeading(h.now, false, nil))
			h.s.RunningReported(h.now, "other")
			h.advance(max(row.ago, minResidency))
			h.collect(h.s.SetLeading(h.now, true, []coord.VMID{"other"}))
			h.expectActions(ActReadReport)
			h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("x")}}})
			h.submit("z")
			h.expectActions(row.want...)
		})
	}
}

func TestAdoptedRequestOccupiesSlotBeforeTheReport(t *testing.T) {
	h := newHarness(t, config(2), []string{})
	h.s.Adopt(h.now, AdoptedRun{Key: Key{VM: "other", Ticket: 1}, Target: "t0", Ref: ref("x"), Tokens: 100, Deadline: h.now.Add(10 * time.Second)})
	h.s.Adopt(h.now, AdoptedRun{Key: Key{VM: "other", Ticket: 1}, Target: "t0", Ref: ref("x"), Tokens: 100, Deadline: h.now.Add(10 * time.Second)})
	assert.Equal(t, h.s.Stats().Running, 1, "an adoption reported twice counts once")
	h.submit("y")
	h.expectActions(ActLoad)
	h.submit("z")
	h.expectActions()
}

func TestWaitingRequestsAreRefusedWhenLeadershipIsLost(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.submit("x")
	h.expectActions(ActLoad)
	h.collect(h.s.SetLeading(h.now, false, nil))
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, ReasonNotLeader)
	h.submit("x")
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, ReasonNotLeader)
}

func TestMisroutedRequestTriggersReportRead(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	key := h.submit("x")
	h.expectActions(ActGrant)
	h.collect(h.s.Done(h.now, key, EndedMisrouted))
	h.submit("x")
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}})
	h.expectActions(ActLoad)
}

func TestBaseModelIsLoadedBeforeAdapters(t *testing.T) {
	h := newHarness(t, config(2), []string{})
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "new", Ready: true}}))
	h.expectActions(ActReadReport)
	h.sendReport("new", Report{})
	load := h.expectActions(ActLoad)[0]
	assert.Equal(t, load.Ref, base)
	h.answerOrder(load, OrderAccepted)
	h.submit("x")
	h.advance(time.Second + reportLag)
	h.advance(time.Millisecond)
	h.expectActions(ActReadReport)
	h.sendReport("new", Report{Resident: []ResidentItem{{Ref: base}}})
	assert.Equal(t, h.expectActions(ActLoad)[0].Ref, ref("x"))
}

func TestModelLoadsKeepMinimumInterval(t *testing.T) {
	cfg := config(2)
	h := &harness{t: t, s: New(cfg), now: start}
	h.collect(h.s.SetTargets(h.now, []AnnouncedTarget{{ID: "a", Ready: true}, {ID: "b", Ready: true}}))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.sendReport("a", Report{})
	h.sendReport("b", Report{})
	h.advance(reportLag)
	h.collect(h.s.SetLease(h.now, 1))
	h.drain()
	h.sendReport("a", Report{})
	h.sendReport("b", Report{})
	h.expectActions(ActLoad)
	h.advance(cfg.ModelLoadInterval)
	h.expectActions(ActLoad)
}

func TestNewVersionReplacesTheOld(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	h.collect(h.s.SetVersions(h.now, []ResidentItem{{Ref: ref("x"), Version: 7}}))
	load := h.expectActions(ActLoad)[0]
	assert.Equal(t, load.Version, int64(7))
	h.submit("x")
	h.expectActions()
	h.answerOrder(load, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	assert.Equal(t, h.expectActions(ActGrant)[0].Version, int64(7))
}

// TestNewVersionDuringLoadOfPreviousVersion checks that no request runs on the intermediate
// version.
func TestNewVersionDuringLoadOfPreviousVersion(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	h.collect(h.s.SetVersions(h.now, []ResidentItem{{Ref: ref("x"), Version: 2}}))
	second := h.expectActions(ActLoad)[0]
	assert.Equal(t, second.Version, int64(2))
	h.answerOrder(second, OrderAccepted)
	h.collect(h.s.SetVersions(h.now, []ResidentItem{{Ref: ref("x"), Version: 3}}))
	h.submit("x")
	h.expectActions()
	h.advance(initialColdLoadTime + loadMargin)
	third := h.expectActions(ActLoad)[0]
	assert.Equal(t, third.Version, int64(3))
	h.answerOrder(third, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	assert.Equal(t, h.expectActions(ActGrant)[0].Version, int64(3))
}

func TestFailingTargetIsEjected(t *testing.T) {
	for _, row := range []struct {
		name    string
		ending  Ending
		times   int
		ejected bool
	}{
		{"one failure", EndedFailed, 1, false},
		{"three failures", EndedFailed, 3, true},
		{"unreachable once", EndedUnreachable, 1, true},
		{"busy five times", EndedBusy, 5, false},
		{"callers leave five times", EndedAbandoned, 5, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, config(2), []string{"x"}, []string{})
			h.advance(2 * time.Second)
			for range row.times {
				key := h.submit("x")
				h.collect(h.s.Done(h.now, key, row.ending))
			}
			h.drain()
			h.submit("x")
			acts := h.drain()
			if !row.ejected {
				assert.Equal(t, acts[0].Target, "t0")
				return
			}
			assert.Equal(t, acts[0].Kind, ActLoad)
			assert.Equal(t, acts[0].Target, "t1")
		})
	}
}

func TestEjectedTargetGetsOneProbe(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	h.collect(h.s.Done(h.now, h.submit("x"), EndedUnreachable))
	h.drain()
	h.submit("x")
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, "no_target")
	h.advance(ejectionTimeMin + 1)
	probe := h.submit("x")
	h.expectActions(ActGrant)
	h.submit("x")
	h.expectActions(ActRefuse)
	h.collect(h.s.Done(h.now, probe, EndedOK))
	h.submit("x")
	h.expectActions(ActGrant)
}

func TestSlowTargetGetsFewerRequests(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"}, []string{"x"})
	firstEvent := map[string]time.Duration{"t0": 300 * time.Millisecond, "t1": 30 * time.Millisecond}
	for range 20 {
		key := h.submit("x")
		h.advance(firstEvent[h.drain()[0].Target])
		h.s.FirstEvent(h.now, key)
		h.collect(h.s.Done(h.now, key, EndedOK))
		h.drain()
	}
	counts := map[string]int{}
	for range 20 {
		key := h.submit("x")
		counts[h.drain()[0].Target]++
		h.advance(50 * time.Millisecond)
		h.collect(h.s.Done(h.now, key, EndedAbandoned))
	}
	assert.Assert(t, counts["t1"] > 2*counts["t0"], "%v", counts)
}

func TestTimelyRequestsPrecedeLateOnes(t *testing.T) {
	cfg := config(4)
	cfg.MaxLoads = 1
	h := newHarness(t, cfg, []string{})
	h.submit("first")
	first := h.expectActions(ActLoad)[0]
	h.submit("old")
	h.advance(700 * time.Millisecond)
	h.submit("young")
	h.drain()
	h.answerOrder(first, OrderAccepted)
	var loads []string
	for _, a := range h.drain() {
		if a.Kind == ActLoad {
			loads = append(loads, a.Ref.Adapter)
		}
	}
	assert.DeepEqual(t, loads, []string{"young"})
}

func TestWithdrawnRequestIsNotGranted(t *testing.T) {
	h := newHarness(t, config(2), []string{})
	key := h.submit("x")
	load := h.expectActions(ActLoad)[0]
	h.collect(h.s.Done(h.now, key, EndedAbandoned))
	h.answerOrder(load, OrderAccepted)
	h.advance(time.Second)
	h.expectActions()
}

func TestUnresponsiveVMReleasesCapacityButPinsAdapters(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	h.submit("x")
	h.expectActions(ActGrant)
	h.collect(h.s.VMUnresponsive(h.now, "vm"))
	assert.Equal(t, h.s.targets["t0"].running, 0)
	h.submit("z")
	h.advance(time.Second)
	h.expectActions() // the VM may be paused, with its streams open
	h.collect(h.s.VMRestarted(h.now, "vm", 100))
	h.advance(coord.AbortedRequestTime)
	h.expectActions(ActUnload)
}

func TestVMRestartKeepsRequestsOfNewIncarnation(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.submit("x")
	h.ticket = 500
	h.submit("x")
	h.collect(h.s.VMRestarted(h.now, "vm", 400))
	assert.Equal(t, h.s.Stats().Running, 1)
}

func TestUnresponsiveVMThatResumesReleasesGrantsOnce(t *testing.T) {
	h := newHarness(t, config(1), []string{"x"})
	h.advance(minResidency)
	key := h.submit("x")
	h.collect(h.s.VMUnresponsive(h.now, "vm"))
	h.collect(h.s.VMUnresponsive(h.now, "vm"))
	h.collect(h.s.Done(h.now, key, EndedOK))
	assert.Equal(t, h.s.targets["t0"].running, 0)
	assert.Equal(t, h.s.targets["t0"].slots[ref("x")].inUse, 0)
}

func TestRequestIsRefusedAtItsDeadline(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.submit("x")
	h.answerOrder(h.expectActions(ActLoad)[0], OrderRejected)
	h.advance(15 * time.Second)
	acts := h.drain()
	assert.Equal(t, acts[len(acts)-1].Kind, ActRefuse)
}

// TestPromptsAwaitingALoadCountTowardDelay checks that the next adapter is loaded at another
// engine, although nothing has been sent to the first one yet.
func TestPromptsAwaitingALoadCountTowardDelay(t *testing.T) {
	h := newHarness(t, config(4), []string{}, []string{})
	submit := func(name string, tokens int) string {
		h.ticket++
		h.collect(h.s.Submit(h.now, Request{
			Key: Key{VM: "vm", Ticket: h.ticket}, Ref: ref(name), PromptTokens: tokens,
			Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
		}))
		load := h.expectActions(ActLoad)[0]
		h.answerOrder(load, OrderAccepted)
		return load.Target
	}
	busy := submit("long", 20_000)
	for _, name := range []string{"a", "b", "c"} {
		assert.Assert(t, submit(name, 500) != busy, name)
	}
}

// TestLateRequestGetsLowerEnginePriority checks that a request that cannot be in time at its engine
// does not make other requests there late.
func TestLateRequestGetsLowerEnginePriority(t *testing.T) {
	h := newHarness(t, config(2), []string{"x"})
	submit := func(tokens int) int {
		h.ticket++
		h.collect(h.s.Submit(h.now, Request{
			Key: Key{VM: "vm", Ticket: h.ticket}, Ref: ref("x"), PromptTokens: tokens, Priority: 1,
			Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
		}))
		return h.expectActions(ActGrant)[0].Priority
	}
	inTime := submit(1000)
	late := submit(100_000)
	assert.Assert(t, late > inTime)
	assert.Equal(t, submit(1000), inTime, "the late request does not come first")
	for _, priority := range []int{0, 1, 2} {
		assert.Assert(t, enginePriority(priority, tierLate) < EnginePriority(priority+1), "priority classes keep their order")
	}
	assert.Equal(t, EnginePriority(50), lowestPriority)
}

// TestRequestThatCannotMeetFirstEventDeadlineIsRefused: its caller would leave before the first
// event.
func TestRequestThatCannotMeetFirstEventDeadlineIsRefused(t *testing.T) {
	h := newHarness(t, config(0), []string{})
	h.collect(h.s.Submit(h.now, Request{
		Key: Key{VM: "vm", Ticket: 1}, Ref: ref("x"), PromptTokens: 10_000, Objective: 500 * time.Millisecond,
		Deadline: h.now.Add(15 * time.Second), FirstEventDeadline: h.now.Add(2 * time.Second),
	}))
	minTimeToFirstEvent := h.s.speed.Overhead() + h.s.speed.PrefillTime(10_000)
	h.advance(2*time.Second - minTimeToFirstEvent)
	h.expectActions()
	h.advance(1)
	assert.Equal(t, h.expectActions(ActRefuse)[0].Reason, "caller_leaves")
}

func TestReportStartsNoRound(t *testing.T) {
	h := newHarness(t, config(1), []string{})
	h.collect(h.s.SetLeading(h.now, false, nil))
	h.collect(h.s.SetLeading(h.now, true, nil))
	h.submit("x")
	h.expectActions(ActReadReport)
	h.collect(h.s.HandleReport(h.now, "t0", Report{Resident: []ResidentItem{{Ref: base}}}, true))
	h.expectActions() // the reports of all engines arrive together; one round serves them all
	h.collect(h.s.Tick(h.now))
	h.expectActions(ActLoad)
}

func TestSearchesPerRoundAreBounded(t *testing.T) {
	cfg := config(1)
	cfg.MaxLoads = 0
	h := newHarness(t, cfg, []string{})
	for i := range 5 * maxSearchesPerRound {
		h.submit(fmt.Sprint("a", i))
	}
	h.collect(h.s.Tick(h.now))
	assert.Equal(t, h.s.searchesLeft, 0)
	assert.Equal(t, h.s.Stats().Waiting, 5*maxSearchesPerRound)
}

// TestDelayedReportsMustAgree guards against orders based on an outdated report. This VM acquires
// the lease while it cannot reach a target, or the reports that show two VMs' orders are delayed.
// Another VM that is unaware of the lease may send orders to the target until it has accepted one
// of this VM, and a report counts the last order before it shows its effect. One engine was ordered
// beyond its adapter slots 1 s after a network partition between VMs had healed.
func TestDelayedReportsMustAgree(t *testing.T) {
	h := newHarness(t, config(4), []string{})
	h.collect(h.s.SetLease(h.now, 0))
	h.collect(h.s.SetLease(h.now, 1))
	h.drain()
	h.collect(h.s.HandleReport(h.now, "t0", Report{}, false))
	h.submit("x")
	h.advance(2 * leaseContestWindow)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	assert.Equal(t, *h.expectActions(ActLoad)[0].ExpectedOrders, uint64(5))
}

// TestFirstOrderExpectsReportedOrderCount: another VM may have sent an order to a target after the
// report on which this VM bases its first order. The target must then reject that first order.
func TestFirstOrderExpectsReportedOrderCount(t *testing.T) {
	h := newHarness(t, config(4), []string{})
	h.collect(h.s.SetLease(h.now, 0))
	h.collect(h.s.SetLease(h.now, 1))
	h.drain()
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	h.submit("x")
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: 5})
	h.submit("y")
	first := h.expectActions(ActLoad)[0]
	assert.Equal(t, *first.ExpectedOrders, uint64(5))
	h.answerOrder(first, OrderRejected)
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("z")}}, OrderCount: 6})
	h.expectActions()
	h.advance(reportLag)
	h.expectActions(ActReadReport)
	h.sendReport("t0", Report{Resident: []ResidentItem{{Ref: base}, {Ref: ref("z")}}, OrderCount: 6})
	second := h.expectActions(ActLoad)[0]
	assert.Equal(t, *second.ExpectedOrders, uint64(6))
	h.answerOrder(second, OrderAccepted)
	assert.Assert(t, h.expectActions(ActLoad)[0].ExpectedOrders == nil, "the target has accepted an order of this VM")
}

// TestOverloadedAdapterIsReplicatedWhileLoadsAreScarce checks that one load of an adapter with many
// requests precedes loads of adapters for which a single request waits.
func TestOverloadedAdapterIsReplicatedWhileLoadsAreScarce(t *testing.T) {
	cfg := config(8)
	cfg.MaxLoads = 1
	h := newHarness(t, cfg, []string{"hot"}, []string{})
	h.submit("cold")
	first := h.expectActions(ActLoad)[0]
	h.answerOrder(first, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin - overloadedTTL/2)
	h.submit("other")
	for range 60 {
		h.submit("hot")
	}
	h.drain()
	h.advance(overloadedTTL / 2)
	var loads []coord.AdapterRef
	for _, a := range h.drain() {
		if a.Kind == ActLoad {
			loads = append(loads, a.Ref)
		}
	}
	assert.DeepEqual(t, loads, []coord.AdapterRef{ref("hot")})
}

// TestRejectedFirstOrderRereadsOtherTargets: the VM whose order came in between has probably sent
// orders to other targets too.
func TestRejectedFirstOrderRereadsOtherTargets(t *testing.T) {
	h := newHarness(t, config(4), []string{}, []string{})
	h.submit("x")
	load := h.expectActions(ActLoad)[0]
	h.answerOrder(load, OrderRejected)
	h.submit("y")
	h.advance(reportLag - 1)
	h.expectActions()
	h.advance(1)
	h.expectActions(ActReadReport, ActReadReport)
}

// TestOrdersCarryTheirBasis checks that the log of an order shows the slot counts on which it is
// based.
func TestOrdersCarryTheirBasis(t *testing.T) {
	h := newHarness(t, config(2), []string{"a"})
	h.submit("b")
	load := h.expectActions(ActLoad)[0].Basis
	assert.DeepEqual(t, load, Basis{Occupied: 2, Slots: 2, InTransit: 1, ReportAge: leaseContestWindow})
	h.answerOrder(Action{Kind: ActLoad, Target: "t0", Ref: ref("b")}, OrderAccepted)
	h.advance(initialColdLoadTime + loadMargin)
	h.expectActions(ActGrant)
	h.advance(minResidency)
	h.submit("c")
	unload := h.expectActions(ActUnload)[0]
	assert.DeepEqual(t, unload.Basis, Basis{
		Occupied: 2, Slots: 2, InTransit: 1, Unconfirmed: 1, Cached: true, Confirmed: true,
		ReportAge: leaseContestWindow + initialColdLoadTime + loadMargin + minResidency,
	})
	h.answerOrder(unload, OrderAlreadyApplied)
	assert.Equal(t, h.s.Stats().Freed[FreedByAnswer], int64(1))
}
