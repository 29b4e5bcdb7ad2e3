package servicequeue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
)

// newWideHarness returns a harness with targets t0 to t3 of two slots each.
func newWideHarness() *harness {
	h := &harness{queue: New(), now: start}
	h.queue.SetTargets(start, []Target{{ID: "t0", Slots: 2}, {ID: "t1", Slots: 2}, {ID: "t2", Slots: 2}, {ID: "t3", Slots: 2}})
	return h
}

// grantAt submits a request of a VM that only one target may serve. It reports whether it was
// granted.
func (h *harness) grantAt(vm coord.VMID, target string) (Key, bool) {
	h.next++
	k := Key{VM: vm, Ticket: h.next}
	var others []string
	for _, t := range h.queue.targets {
		if t.ID != target {
			others = append(others, t.ID)
		}
	}
	for _, a := range h.queue.Submit(h.now, Request{Key: k, Exclude: others, SoftDeadline: h.now.Add(time.Second), Deadline: h.now.Add(5 * time.Second)}) {
		if a.Key == k && a.Target != "" {
			return k, true
		}
	}
	h.queue.Done(h.now, k, balance.Abandoned, 0)
	return k, false
}

func (h *harness) mustGrantAt(t *testing.T, vm coord.VMID, target string) Key {
	t.Helper()
	k, granted := h.grantAt(vm, target)
	assert.Assert(t, granted, "%s gets no target %s", vm, target)
	return k
}

// pickedFor returns the target that a request of a VM is granted, without those excluded.
func (h *harness) pickedFor(vm coord.VMID, excluded ...string) string {
	h.next++
	k := Key{VM: vm, Ticket: h.next}
	for _, a := range h.queue.Submit(h.now, Request{Key: k, Exclude: excluded, SoftDeadline: h.now.Add(time.Second), Deadline: h.now.Add(5 * time.Second)}) {
		if a.Key == k {
			return a.Target
		}
	}
	return ""
}

// end ends a request 10 ms later.
func (h *harness) end(k Key, ending balance.Ending) {
	h.now = h.now.Add(10 * time.Millisecond)
	h.queue.Done(h.now, k, ending, 20*time.Millisecond)
}

// ejected returns the targets that are not used while there are others.
func (h *harness) ejected() (ejected []string) {
	for _, t := range h.queue.targets {
		if h.queue.balancer.Ejected(h.now, t.ID) {
			ejected = append(ejected, t.ID)
		}
	}
	return ejected
}

// TestVMCutOffFromAllTargetsEjectsNone guards against a service without targets because one VM lost
// its paths to them.
func TestVMCutOffFromAllTargetsEjectsNone(t *testing.T) {
	for _, ending := range []balance.Ending{balance.Unreachable, balance.TimedOut} {
		t.Run(ending.String(), func(t *testing.T) {
			h := newWideHarness()
			var sent []Key
			for _, target := range []string{"t0", "t1", "t2", "t3"} {
				sent = append(sent, h.mustGrantAt(t, "cut", target), h.mustGrantAt(t, "cut", target))
			}
			inFlight := h.mustGrantAt(t, "vm", "t0")
			for _, k := range sent[:4] {
				h.end(k, ending)
			}
			assert.DeepEqual(t, h.ejected(), []string{"t0", "t1"})
			h.end(inFlight, balance.OK)
			assert.Equal(t, len(h.ejected()), 0)
			for _, k := range sent[4:] {
				h.end(k, ending)
			}
			assert.Equal(t, len(h.ejected()), 0)
		})
	}
}

// TestErrorResponsesAreTheTargetsFault guards against targets that are preferred although they answer
// with errors, because these are put down to the path of the VM that received them.
func TestErrorResponsesAreTheTargetsFault(t *testing.T) {
	h := newWideHarness()
	inFlight := h.mustGrantAt(t, "vm", "t0")
	h.end(h.mustGrantAt(t, "other", "t0"), balance.ErrorResponse)
	h.end(h.mustGrantAt(t, "other", "t1"), balance.ErrorResponse)
	h.end(inFlight, balance.OK)
	h.end(h.mustGrantAt(t, "other", "t1"), balance.ErrorResponse)
	assert.Equal(t, h.pickedFor("vm", "t0", "t3"), "t2")
}

// TestDeadTargetsAreEjectedByTheirFirstFailure guards against requests to dead targets because the
// failures there are put down to their VMs.
func TestDeadTargetsAreEjectedByTheirFirstFailure(t *testing.T) {
	for _, vms := range []int{1, 2, 6} {
		t.Run(fmt.Sprint(vms), func(t *testing.T) {
			h := newWideHarness()
			var sent []Key
			for i := range min(vms, 3) {
				vm := coord.VMID(fmt.Sprint(i))
				h.end(h.mustGrantAt(t, vm, "t2"), balance.OK)
				sent = append(sent, h.mustGrantAt(t, vm, "t0"), h.mustGrantAt(t, vm, "t1"))
			}
			for i, k := range sent {
				h.end(k, balance.Unreachable)
				if i > 0 {
					assert.DeepEqual(t, h.ejected(), []string{"t0", "t1"})
					h.end(h.mustGrantAt(t, "0", "t2"), balance.OK)
				}
			}
			assert.DeepEqual(t, h.ejected(), []string{"t0", "t1"})
		})
	}
}

// TestCutVMGetsNoProbe guards against a target that stays ejected because its probes are sent by a
// VM without a path to it.
func TestCutVMGetsNoProbe(t *testing.T) {
	h := newWideHarness()
	h.end(h.mustGrantAt(t, "vm", "t3"), balance.Unreachable)
	inFlight := h.mustGrantAt(t, "vm", "t0")
	h.end(h.mustGrantAt(t, "cut", "t0"), balance.Unreachable)
	h.end(h.mustGrantAt(t, "cut", "t1"), balance.Unreachable)
	h.end(inFlight, balance.OK)
	h.now = h.now.Add(time.Second) // longer than the first ejection
	for range 3 {
		h.mustGrantAt(t, "vm", "t2")
	}
	_, acts := h.submitFrom("cut", "t0", "t1")
	assert.Equal(t, len(acts), 0, "it waits for t2")
	probe, acts := h.submitFrom("vm", "t0", "t1")
	assert.Equal(t, acts[0].Target, "t3")
	h.end(probe, balance.OK)
	assert.Equal(t, len(h.ejected()), 0)
}

// submitFrom submits a request of a VM that excludes some targets.
func (h *harness) submitFrom(vm coord.VMID, exclude ...string) (Key, []Action) {
	h.next++
	k := Key{VM: vm, Ticket: h.next}
	return k, h.queue.Submit(h.now, Request{Key: k, Exclude: exclude, SoftDeadline: h.now.Add(time.Second), Deadline: h.now.Add(5 * time.Second)})
}

// TestHungRequestsOfCutVMFreeTheirSlots guards against slots that are held until the deadlines of
// requests whose VM lost its paths, and against requests beyond the slots while they may still run.
func TestHungRequestsOfCutVMFreeTheirSlots(t *testing.T) {
	h := newWideHarness()
	for _, target := range []string{"t0", "t1", "t2", "t3"} {
		h.mustGrantAt(t, "cut", target)
		h.mustGrantAt(t, "cut", target)
	}
	failing := []Key{h.mustGrantAt(t, "cut", "t1"), h.mustGrantAt(t, "cut", "t2")}
	inFlight := []Key{h.mustGrantAt(t, "vm", "t0"), h.mustGrantAt(t, "vm", "t3")}
	waiting, acts := h.submitFrom("vm", "t1", "t2")
	assert.Equal(t, len(acts), 0, "both targets are full")
	h.end(h.mustGrantAfter(t, failing[0], "t1"), balance.OK)
	h.end(failing[1], balance.TimedOut)
	h.end(inFlight[0], balance.OK)
	h.end(waiting, balance.OK) // it got the slot
	assert.Equal(t, h.queue.Stats().Running, 9)
	h.queue.Tick(h.now)
	assert.Equal(t, h.queue.Stats().Running, 9, "the requests may still run")
	h.now = start.Add(h.queue.hungAfter() + time.Millisecond)
	h.queue.Tick(h.now)
	assert.Equal(t, h.queue.Stats().Running, 1, "the request of the other VM")
	assert.Assert(t, h.queue.hungAfter() < time.Second)
}

// mustGrantAfter ends a request with a time-out and grants its slot to another VM.
func (h *harness) mustGrantAfter(t *testing.T, k Key, target string) Key {
	t.Helper()
	h.end(k, balance.TimedOut)
	return h.mustGrantAt(t, "vm", target)
}

// TestSlowRequestsOfSoundVMKeepTheirSlots guards against requests beyond the slots of a target that
// is slow.
func TestSlowRequestsOfSoundVMKeepTheirSlots(t *testing.T) {
	for name, others := range map[string][]answer{
		"one slow target":              {{"vm2", "t0"}, {"vm2", "t1"}},
		"two, which all VMs find slow": {{"vm2", "t2"}, {"vm1", "t3"}},
		"two, and an answer elsewhere": {{"vm1", "t2"}, {"vm2", "t0"}, {"vm2", "t1"}},
		"one VM sends all requests":    {{"vm1", "t2"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWideHarness()
			slow := []string{"t0", "t0", "t1", "t1"}
			if name == "one slow target" {
				slow = slow[:2]
			}
			for _, target := range slow {
				h.mustGrantAt(t, "vm1", target)
			}
			h.end(h.mustGrantAt(t, "vm1", "t0"), balance.TimedOut)
			for range 10 {
				h.now = h.now.Add(100 * time.Millisecond)
				h.queue.Tick(h.now)
				for _, e := range others {
					h.end(h.mustGrantAt(t, e.vm, e.target), balance.OK)
				}
			}
			assert.Equal(t, h.queue.Stats().Running, len(slow))
		})
	}
}

// answer is a served request of a VM to a target.
type answer struct {
	vm     coord.VMID
	target string
}
