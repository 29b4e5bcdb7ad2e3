package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/roster"
)

func fleetOf(zones, perZone int) []roster.Entry {
	var out []roster.Entry
	for z := range zones {
		for i := range perZone {
			out = append(out, roster.Entry{ID: coord.VMID(fmt.Sprintf("vm-%d-%d", z, i)), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	return out
}

func without(live []roster.Entry, id coord.VMID) []roster.Entry {
	var out []roster.Entry
	for _, e := range live {
		if e.ID != id {
			out = append(out, e)
		}
	}
	return out
}

// TestListenersOfALargeFleet: whom 195 VMs tell over time. The sessions that this keeps open
// do not grow with the fleet beyond the zone, and word still reaches everybody soon.
func TestListenersOfALargeFleet(t *testing.T) {
	all := fleetOf(5, 39)
	told := map[coord.VMID]map[coord.VMID]bool{}
	for range 200 {
		for _, e := range all {
			picked := pickListeners(string(e.ID), e.Zone, without(all, e.ID))
			assert.Equal(t, len(picked), fanout)
			for _, vm := range picked {
				if told[e.ID] == nil {
					told[e.ID] = map[coord.VMID]bool{}
				}
				told[e.ID][vm] = true
			}
		}
	}
	incoming := map[coord.VMID]int{}
	for from, to := range told {
		assert.Assert(t, len(to) <= 38+4, "%s told %d", from, len(to))
		for vm := range to {
			incoming[vm]++
		}
	}
	most := 0
	for _, n := range incoming {
		most = max(most, n)
	}
	assert.Assert(t, most <= 38+20, "%d VMs tell one", most)
	heard := map[coord.VMID]bool{all[0].ID: true}
	rounds := 0
	for ; len(heard) < len(all) && rounds < 30; rounds++ {
		for _, e := range all {
			if !heard[e.ID] {
				continue
			}
			for _, vm := range pickListeners(string(e.ID), e.Zone, without(all, e.ID)) {
				heard[vm] = true
			}
		}
	}
	t.Logf("%d rounds until all have heard", rounds)
	assert.Assert(t, rounds <= 9)
}

// TestListenersWhereAZoneIsAway: the partners are of those that live.
func TestListenersWhereAZoneIsAway(t *testing.T) {
	live := fleetOf(3, 12)
	for range 50 {
		picked := pickListeners("vm-9-0", "z9", live) // alone in its zone
		assert.Equal(t, len(picked), fanout)
	}
	assert.Equal(t, len(partners("vm-0-0", "z0", live)), 2)
	assert.Equal(t, len(pickListeners("vm-0-0", "z0", nil)), 0)
	small := pickListeners("vm-0-0", "z0", fleetOf(2, 2)[1:])
	assert.Equal(t, len(small), fanout)
}
