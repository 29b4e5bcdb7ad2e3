package edge

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/roster"
)

func newFleet(zones, perZone int) []roster.Entry {
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

// TestGossipPeersOfLargeFleet checks the gossip peers of 195 VMs over time: the number of sessions
// that a VM keeps open is bounded by the size of its zone, and news still reaches all VMs within a
// few rounds.
func TestGossipPeersOfLargeFleet(t *testing.T) {
	all := newFleet(5, 39)
	contacted := map[coord.VMID]map[coord.VMID]bool{}
	for range 200 {
		for _, e := range all {
			picked := selectGossipPeers(string(e.ID), e.Zone, without(all, e.ID))
			assert.Equal(t, len(picked), fanout)
			for _, vm := range picked {
				if contacted[e.ID] == nil {
					contacted[e.ID] = map[coord.VMID]bool{}
				}
				contacted[e.ID][vm] = true
			}
		}
	}
	incoming := map[coord.VMID]int{}
	for from, to := range contacted {
		assert.Assert(t, len(to) <= 38+4, "%s contacted %d VMs", from, len(to))
		for vm := range to {
			incoming[vm]++
		}
	}
	maxIncoming := 0
	for _, n := range incoming {
		maxIncoming = max(maxIncoming, n)
	}
	assert.Assert(t, maxIncoming <= 38+20, "%d VMs contact one VM", maxIncoming)
	reached := map[coord.VMID]bool{all[0].ID: true}
	rounds := 0
	for ; len(reached) < len(all) && rounds < 30; rounds++ {
		for _, e := range all {
			if !reached[e.ID] {
				continue
			}
			for _, vm := range selectGossipPeers(string(e.ID), e.Zone, without(all, e.ID)) {
				reached[vm] = true
			}
		}
	}
	t.Logf("%d rounds until all VMs are reached", rounds)
	assert.Assert(t, rounds <= 9)
}

// TestGossipPeersWithMissingZone checks that cross-zone peers are chosen among live VMs.
func TestGossipPeersWithMissingZone(t *testing.T) {
	live := newFleet(3, 12)
	for range 50 {
		picked := selectGossipPeers("vm-9-0", "z9", live) // the only VM of its zone
		assert.Equal(t, len(picked), fanout)
	}
	assert.Equal(t, len(crossZonePeers("vm-0-0", "z0", live)), 2)
	assert.Equal(t, len(selectGossipPeers("vm-0-0", "z0", nil)), 0)
	small := selectGossipPeers("vm-0-0", "z0", newFleet(2, 2)[1:])
	assert.Equal(t, len(small), fanout)
}
