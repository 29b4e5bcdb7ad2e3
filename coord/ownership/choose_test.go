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

// The planned size.
const (
	plannedVMs     = 330
	plannedHalls   = 18
	plannedTargets = 1500
)

func plannedFleet() *membership.Tracker {
	t := membership.New(membership.Config{Self: "vm-000", SuspectAfter: time.Second, Monitors: 3})
	var list []membership.ListedVM
	for i := range plannedVMs {
		list = append(list, membership.ListedVM{ID: coord.VMID(fmt.Sprintf("vm-%03d", i)), Zone: fmt.Sprintf("hall-%02d", i%plannedHalls)})
	}
	t.ApplyList(now, 1, list)
	return t
}

// owners returns the owner of each target.
func owners(t *membership.Tracker) []coord.VMID {
	c := ownership.NewChooser(t.Members())
	out := make([]coord.VMID, plannedTargets)
	for i := range out {
		out[i] = c.Owner(rendezvous.Hash(fmt.Sprintf("target-%04d", i)), fmt.Sprintf("hall-%02d", i%plannedHalls))
	}
	return out
}

func moved(a, b []coord.VMID) int {
	n := 0
	for i := range a {
		if a[i] != b[i] {
			n++
		}
	}
	return n
}

// most returns the largest number of targets that one VM owns.
func most(owners []coord.VMID) int {
	count := map[coord.VMID]int{}
	top := 0
	for _, o := range owners {
		count[o]++
		top = max(top, count[o])
	}
	return top
}

// TestFleetFaults gives faults of the planned fleet, how many targets they may
// move, and that the fleet is as before once they end.
func TestFleetFaults(t *testing.T) {
	for _, row := range []struct {
		name  string
		hit   func(m *membership.Member) bool
		moves int
	}{
		{"a VM", func(m *membership.Member) bool { return m.ID == "vm-007" }, 15},
		{"a hall", func(m *membership.Member) bool { return m.Zone == "hall-03" }, 84},
		{"a region of two halls", func(m *membership.Member) bool { return m.Zone == "hall-03" || m.Zone == "hall-04" }, 168},
	} {
		t.Run(row.name, func(t *testing.T) {
			tr := plannedFleet()
			before := owners(tr)
			for _, m := range tr.Members() {
				if row.hit(m) {
					tr.HandleSuspicion(now, m.ID, 1)
				}
			}
			during := owners(tr)
			assert.Assert(t, moved(before, during) > 0 && moved(before, during) <= row.moves, "%d targets moved", moved(before, during))
			for _, o := range during {
				assert.Assert(t, tr.Member(o).State == membership.Live, "%s owns a target", o)
			}
			t.Logf("%d of %d targets moved; one VM owns at most %d, before %d", moved(before, during), plannedTargets, most(during), most(before))
			for _, m := range tr.Members() {
				tr.HandleHeartbeat(now, m.ID, 1, false)
			}
			assert.DeepEqual(t, owners(tr), before)
		})
	}
}

// TestFlappingVM lets a VM go and come each second for a minute; only its own
// targets move, and always back to it.
func TestFlappingVM(t *testing.T) {
	tr := plannedFleet()
	before := owners(tr)
	for i := range 60 {
		tr.HandleSuspicion(now.Add(time.Duration(i)*time.Second), "vm-100", 1)
		for n, o := range owners(tr) {
			assert.Assert(t, o == before[n] || before[n] == "vm-100")
		}
		tr.HandleHeartbeat(now.Add(time.Duration(i)*time.Second), "vm-100", 1, false)
	}
	assert.DeepEqual(t, owners(tr), before)
}
