package ownership_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// The planned size of the fleet.
const (
	plannedVMs     = 330
	plannedZones   = 18
	plannedTargets = 1500
)

// plannedFleet returns a Tracker with a list of plannedVMs VMs, all live.
func plannedFleet() *membership.Tracker {
	tracker := membership.New(membership.Config{Self: "vm-000", SuspectAfter: time.Second, Monitors: 3})
	var listed []membership.ListedVM
	for i := range plannedVMs {
		listed = append(listed, membership.ListedVM{ID: coord.VMID(fmt.Sprintf("vm-%03d", i)), Zone: fmt.Sprintf("hall-%02d", i%plannedZones)})
	}
	tracker.ApplyList(now, 1, listed)
	return tracker
}

// owners returns the owner of each planned target.
func owners(tracker *membership.Tracker) []coord.VMID {
	chooser := ownership.NewChooser(tracker.Members())
	out := make([]coord.VMID, plannedTargets)
	for i := range out {
		out[i] = chooser.Owner(rendezvous.Hash(fmt.Sprintf("target-%04d", i)), fmt.Sprintf("hall-%02d", i%plannedZones))
	}
	return out
}

// countMoved returns the number of targets whose owner differs.
func countMoved(before, after []coord.VMID) int {
	n := 0
	for i := range before {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

// maxOwnedByOneVM returns the largest number of targets owned by a single VM.
func maxOwnedByOneVM(owners []coord.VMID) int {
	count := map[coord.VMID]int{}
	highest := 0
	for _, owner := range owners {
		count[owner]++
		highest = max(highest, count[owner])
	}
	return highest
}

// TestFaultsMoveFewTargets checks, in a fleet of the planned size, that a fault changes the
// owner of a bounded number of targets, that only live VMs own targets meanwhile, and that
// the original owners return when the fault ends.
func TestFaultsMoveFewTargets(t *testing.T) {
	for _, row := range []struct {
		name     string
		affected func(m *membership.Member) bool
		maxMoves int
	}{
		{"one VM", func(m *membership.Member) bool { return m.ID == "vm-007" }, 15},
		{"one zone", func(m *membership.Member) bool { return m.Zone == "hall-03" }, 84},
		{"a region of two zones", func(m *membership.Member) bool { return m.Zone == "hall-03" || m.Zone == "hall-04" }, 168},
	} {
		t.Run(row.name, func(t *testing.T) {
			tracker := plannedFleet()
			before := owners(tracker)
			for _, m := range tracker.Members() {
				if row.affected(m) {
					tracker.HandleSuspicion(now, m.ID, 1)
				}
			}
			during := owners(tracker)
			assert.Assert(t, countMoved(before, during) > 0 && countMoved(before, during) <= row.maxMoves, "%d targets moved", countMoved(before, during))
			for _, owner := range during {
				assert.Assert(t, tracker.Member(owner).State == membership.Live, "%s owns a target", owner)
			}
			t.Logf("%d of %d targets moved; one VM owns at most %d, before %d", countMoved(before, during), plannedTargets, maxOwnedByOneVM(during), maxOwnedByOneVM(before))
			for _, m := range tracker.Members() {
				tracker.HandleHeartbeat(now, m.ID, 1, false)
			}
			assert.DeepEqual(t, owners(tracker), before)
		})
	}
}

// TestFlappingVMMovesOnlyItsOwnTargets marks a VM suspect and live again once a second for a
// minute. Only its own targets move, and they always return to it.
func TestFlappingVMMovesOnlyItsOwnTargets(t *testing.T) {
	tracker := plannedFleet()
	before := owners(tracker)
	for i := range 60 {
		tracker.HandleSuspicion(now.Add(time.Duration(i)*time.Second), "vm-100", 1)
		for n, owner := range owners(tracker) {
			assert.Assert(t, owner == before[n] || before[n] == "vm-100")
		}
		tracker.HandleHeartbeat(now.Add(time.Duration(i)*time.Second), "vm-100", 1, false)
	}
	assert.DeepEqual(t, owners(tracker), before)
}
