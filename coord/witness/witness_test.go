package witness

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// event is a success or a failure of a request.
type event struct {
	ms       int
	vm       coord.VMID
	target   string
	succeeds bool
}

func play(j *Judge, events []event) (counted []bool) {
	for _, e := range events {
		if e.succeeds {
			j.Succeeded(at(e.ms), e.vm, e.target)
			continue
		}
		counted = append(counted, j.Failed(at(e.ms), e.vm, e.target))
	}
	return counted
}

// TestFailuresThatCount lists for each sequence of events which failures count against targets.
func TestFailuresThatCount(t *testing.T) {
	for _, row := range []struct {
		name   string
		events []event
		counts []bool
	}{
		{"a VM is cut off", []event{{0, "cut", "a", false}, {5, "vm", "a", true}, {10, "cut", "b", false}, {20, "cut", "c", false}}, []bool{true, false, false}},
		{"a target is dead", []event{{0, "vm1", "a", false}, {1, "vm1", "b", true}, {2, "vm2", "a", false}, {3, "vm1", "a", false}}, []bool{true, true, true}},
		{"two targets are dead", []event{
			{0, "vm1", "a", false}, {0, "vm2", "b", false}, {1, "vm3", "c", true}, {2, "vm1", "b", false}, {3, "vm2", "a", false}, {4, "vm1", "a", false},
		}, []bool{true, true, true, true, true}},
		{"two VMs are cut off", []event{
			{0, "cut1", "a", false}, {0, "cut2", "a", false}, {0, "cut1", "b", false}, {0, "cut2", "b", false},
			{5, "vm", "a", true}, {6, "cut1", "c", false}, {6, "cut2", "c", false},
		}, []bool{true, true, true, true, false, false}},
		{"one VM sends all requests", []event{{0, "vm", "a", false}, {1, "vm", "b", false}, {2, "vm", "c", false}}, []bool{true, true, true}},
		{"the paths are back", []event{
			{0, "cut", "a", false}, {0, "cut", "b", false}, {5, "vm", "a", true}, {6, "cut", "a", false}, {7, "cut", "b", true}, {8, "cut", "a", false},
		}, []bool{true, true, false, true}},
		{"a success before the failure", []event{{0, "vm", "a", true}, {0, "vm", "b", true}, {1, "cut", "a", false}, {2, "cut", "b", false}}, []bool{true, true}},
		{"a single target fails for one VM", []event{{0, "vm1", "a", false}, {1, "vm2", "a", true}, {2, "vm1", "a", false}}, []bool{true, true}},
		{"long ago", []event{{0, "cut", "a", false}, {1, "vm", "a", true}, {5100, "cut", "b", false}}, []bool{true, true}},
	} {
		t.Run(row.name, func(t *testing.T) { assert.DeepEqual(t, play(New(), row.events), row.counts) })
	}
}

// TestSuccessOfAnotherVMRefutesEarlierFailures guards against ejections that outlive the proof that
// their witness was cut off.
func TestSuccessOfAnotherVMRefutesEarlierFailures(t *testing.T) {
	j := New()
	play(j, []event{{0, "cut", "a", false}, {0, "other", "a", false}, {10, "cut", "b", false}})
	assert.DeepEqual(t, j.Succeeded(at(20), "vm", "b"), []coord.VMID{"cut"})
	assert.Assert(t, j.Unreliable(at(20), "cut"))
	assert.Assert(t, !j.Unreliable(at(20), "other"))
	assert.Assert(t, !j.Unreliable(at(20).Add(2*Memory), "cut"), "no longer refuted")
}

// TestRequestThatGoesOnRefutesOtherVMsOnly guards against a VM that is its own proof.
func TestRequestThatGoesOnRefutesOtherVMsOnly(t *testing.T) {
	j := New()
	play(j, []event{{0, "cut", "a", false}, {0, "cut", "b", false}})
	assert.Equal(t, len(j.GoesOn(at(1), "cut", "a")), 0)
	assert.DeepEqual(t, j.GoesOn(at(1), "vm", "a"), []coord.VMID{"cut"})
	assert.Assert(t, j.Unreliable(at(1), "cut"))
}

// TestExpireFreesRecords guards against records of VMs and targets that are gone.
func TestExpireFreesRecords(t *testing.T) {
	j := New()
	for n := range 100 {
		j.Failed(at(n), coord.VMID(fmt.Sprint(n%7)), fmt.Sprint(n))
	}
	j.Expire(at(100).Add(Memory - 50*time.Millisecond))
	assert.Equal(t, len(j.targets), 50)
	j.Expire(at(100).Add(Memory + expiryInterval))
	assert.Equal(t, len(j.vms)+len(j.targets), 0)
}

// BenchmarkSucceeded measures a success where most of a large fleet is cut off.
func BenchmarkSucceeded(b *testing.B) {
	j := New()
	for n := range 400 * 40 {
		j.Failed(start, coord.VMID(fmt.Sprint(n%400)), fmt.Sprint(n/400))
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		j.Succeeded(start, "vm", fmt.Sprint(n%40))
	}
}
