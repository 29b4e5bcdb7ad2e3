package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// newWitnessHarness returns a harness with n targets that hold adapter x.
func newWitnessHarness(t *testing.T, n int) *harness {
	resident := make([][]string, n)
	for i := range resident {
		resident[i] = []string{"x"}
	}
	return newHarness(t, config(2), resident...)
}

// grantAt submits a request of a VM that only one target may serve. It reports whether it was
// granted.
func (h *harness) grantAt(vm coord.VMID, target string) (Key, bool) {
	h.t.Helper()
	h.ticket++
	k := Key{VM: vm, Ticket: h.ticket}
	var others []string
	for id := range h.s.targets {
		if id != target {
			others = append(others, id)
		}
	}
	h.collect(h.s.Submit(h.now, Request{
		Key: k, Ref: ref("x"), PromptTokens: 300, OutputTokens: 50, Exclude: others,
		Objective: 800 * time.Millisecond, Deadline: h.now.Add(15 * time.Second),
	}))
	for _, a := range h.drain() {
		if a.Key == k && a.Kind == ActGrant {
			return k, true
		}
	}
	h.collect(h.s.Done(h.now, k, EndedAbandoned))
	return k, false
}

// mustGrantAt is grantAt for a request that has to be granted.
func (h *harness) mustGrantAt(vm coord.VMID, target string) Key {
	h.t.Helper()
	k, granted := h.grantAt(vm, target)
	assert.Assert(h.t, granted, "%s gets no target %s", vm, target)
	return k
}

// end ends a request 10 ms later.
func (h *harness) end(k Key, ending Ending) {
	h.now = h.now.Add(10 * time.Millisecond)
	h.collect(h.s.Done(h.now, k, ending))
	h.drain()
}

// usableBy returns the targets at which a request of a VM is granted.
func (h *harness) usableBy(vm coord.VMID) (usable []string) {
	for i := range h.s.targetIDs {
		id := fmt.Sprintf("t%d", i)
		if k, granted := h.grantAt(vm, id); granted {
			usable = append(usable, id)
			h.collect(h.s.Done(h.now, k, EndedAbandoned))
			h.drain()
		}
	}
	return usable
}

// TestVMCutOffFromAllTargetsEjectsNone guards against a fleet without targets because one VM lost
// its paths to them.
func TestVMCutOffFromAllTargetsEjectsNone(t *testing.T) {
	for _, ending := range []Ending{EndedUnreachable, EndedDisconnected, EndedFailed} {
		t.Run(ending.String(), func(t *testing.T) {
			h := newWitnessHarness(t, 4)
			var running []Key
			for range 3 {
				for _, target := range []string{"t0", "t1", "t2", "t3"} {
					running = append(running, h.mustGrantAt("cut", target))
				}
			}
			inFlight := h.mustGrantAt("vm", "t0")
			for _, k := range running[:6] {
				h.end(k, ending)
			}
			h.end(inFlight, EndedOK)
			assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t1", "t2", "t3"})
			for _, k := range running[6:] {
				h.end(k, ending)
			}
			assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t1", "t2", "t3"})
		})
	}
}

// TestErrorResponsesAreTheTargetsFault guards against requests to targets that answer them with errors,
// because these are put down to the path of the VM that received them.
func TestErrorResponsesAreTheTargetsFault(t *testing.T) {
	h := newWitnessHarness(t, 4)
	inFlight := h.mustGrantAt("vm", "t0")
	h.end(h.mustGrantAt("other", "t0"), EndedErrorResponse)
	h.end(h.mustGrantAt("other", "t1"), EndedErrorResponse)
	h.end(inFlight, EndedOK)
	for range ejectAfterFailures - 1 {
		h.end(h.mustGrantAt("other", "t1"), EndedErrorResponse)
	}
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t2", "t3"})
}

// TestErrorResponseShowsAPath guards against failures of a target that are put down to the path of a VM
// which a target has answered.
func TestErrorResponseShowsAPath(t *testing.T) {
	h := newWitnessHarness(t, 4)
	inFlight := h.mustGrantAt("vm", "t0")
	h.end(h.mustGrantAt("other", "t0"), EndedDisconnected)
	h.end(h.mustGrantAt("other", "t2"), EndedErrorResponse)
	h.end(h.mustGrantAt("other", "t1"), EndedUnreachable)
	h.end(inFlight, EndedOK)
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t2", "t3"})
}

// TestFirstEventShowsThatTheTargetIsReached guards against ejections that last as long as streams.
func TestFirstEventShowsThatTheTargetIsReached(t *testing.T) {
	h := newWitnessHarness(t, 3)
	stream := h.mustGrantAt("vm", "t0")
	h.end(h.mustGrantAt("cut", "t0"), EndedUnreachable)
	h.end(h.mustGrantAt("cut", "t1"), EndedUnreachable)
	h.s.FirstEvent(h.now, stream)
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t1", "t2"})
}

// TestDeadTargetsAreEjectedByTheirFirstFailure guards against requests to dead targets because the
// failures there are put down to their VMs.
func TestDeadTargetsAreEjectedByTheirFirstFailure(t *testing.T) {
	for _, vms := range []int{1, 2, 408} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			h := newWitnessHarness(t, 4)
			for i := range vms {
				h.end(h.mustGrantAt(coord.VMID(fmt.Sprint(i)), "t2"), EndedOK)
			}
			sent := []Key{h.mustGrantAt("0", "t0"), h.mustGrantAt("0", "t1")}
			for i := 1; i < min(vms, 8); i++ {
				vm := coord.VMID(fmt.Sprint(i))
				sent = append(sent, h.mustGrantAt(vm, "t0"), h.mustGrantAt(vm, "t1"))
			}
			for _, k := range sent {
				h.end(k, EndedUnreachable)
				if k == sent[1] {
					assert.DeepEqual(t, h.usableBy("0"), []string{"t2", "t3"})
				}
				if k != sent[0] {
					h.end(h.mustGrantAt("0", "t2"), EndedOK)
				}
			}
			assert.DeepEqual(t, h.usableBy("0"), []string{"t2", "t3"})
		})
	}
}

// TestProbeOfCutVMDoesNotProlongAnEjection guards against a target that stays ejected because its
// probes are sent by a VM without a path to it, or held by one that hangs.
func TestProbeOfCutVMDoesNotProlongAnEjection(t *testing.T) {
	h := newWitnessHarness(t, 4)
	h.end(h.mustGrantAt("vm", "t3"), EndedUnreachable)
	inFlight := h.mustGrantAt("vm", "t0")
	h.end(h.mustGrantAt("cut", "t0"), EndedDisconnected)
	h.now = h.now.Add(ejectionTimeMin)
	h.mustGrantAt("cut", "t3") // a probe that hangs
	_, granted := h.grantAt("vm", "t3")
	assert.Assert(t, !granted, "one probe at a time")
	h.end(h.mustGrantAt("cut", "t1"), EndedDisconnected)
	h.end(inFlight, EndedOK)
	_, granted = h.grantAt("cut", "t3")
	assert.Assert(t, !granted, "no probe by a VM without a path")
	h.end(h.mustGrantAt("vm", "t3"), EndedOK)
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t1", "t2", "t3"})
}

// TestUnansweredOrdersOfCutLeaderEjectNoTarget guards against a leader that ejects targets which the
// other VMs reach, because its own orders are not answered.
func TestUnansweredOrdersOfCutLeaderEjectNoTarget(t *testing.T) {
	h := newHarness(t, config(8), []string{"x"}, []string{"x"})
	inFlight := h.mustGrantAt("vm", "t0")
	for i := range 3 {
		for _, id := range []string{"t0", "t1"} {
			target := h.s.targets[id]
			r := ref(fmt.Sprint("new", i))
			target.addSlot(r, &slot{state: loading, stateSince: h.now})
			h.collect(h.s.OrderAnswered(h.now, id, false, r, OrderUnknown))
		}
	}
	h.end(inFlight, EndedOK)
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t0", "t1"})
}

// TestProbeOfLostVMIsReleased guards against a target that is never probed again because the VM of
// its probe failed, was suspended or never reported the end.
func TestProbeOfLostVMIsReleased(t *testing.T) {
	for name, lose := range map[string]func(h *harness, probe Key){
		"unresponsive": func(h *harness, _ Key) { h.collect(h.s.VMUnresponsive(h.now, "lost")) },
		"restarted":    func(h *harness, probe Key) { h.collect(h.s.VMRestarted(h.now, "lost", probe.Ticket+1)) },
		"end lost":     func(h *harness, _ Key) { h.advance(15*time.Second + 2*grantExpiryGrace) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newWitnessHarness(t, 1)
			h.end(h.mustGrantAt("vm", "t0"), EndedUnreachable)
			h.now = h.now.Add(ejectionTimeMin + 1)
			probe := h.mustGrantAt("lost", "t0")
			_, granted := h.grantAt("vm", "t0")
			assert.Assert(t, !granted, "one probe at a time")
			lose(h, probe)
			h.mustGrantAt("vm", "t0")
		})
	}
}

// TestFailureBeforeASuccessIsNotWithdrawn guards against requests to a dead target because one of its
// witnesses lost its paths later.
func TestFailureBeforeASuccessIsNotWithdrawn(t *testing.T) {
	h := newWitnessHarness(t, 4)
	sent := []Key{h.mustGrantAt("cut", "t1"), h.mustGrantAt("cut", "t2")}
	inFlight := h.mustGrantAt("vm", "t1")
	h.end(h.mustGrantAt("cut", "t0"), EndedUnreachable)
	h.end(h.mustGrantAt("cut", "t3"), EndedOK)
	for _, k := range sent {
		h.end(k, EndedUnreachable)
	}
	h.end(inFlight, EndedOK)
	assert.DeepEqual(t, h.usableBy("vm"), []string{"t1", "t2", "t3"})
}
