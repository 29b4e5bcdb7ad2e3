package servicequeue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// teamLoad returns the counts of 15 teams that send a given load together, and of one team that sends a
// multiple of what each of them sends.
func teamLoad(load, multiple float64, named bool) (others, burst callCounts) {
	for seed := range uint64(2) {
		sim := newSimulation(seed)
		total := 15 + multiple
		sim.teamOf = func() string {
			team := fmt.Sprint(sim.rng.IntN(15))
			if sim.rng.Float64()*total < multiple {
				team = burstTeam
			}
			return team
		}
		submit := sim.sharedQueue(named)
		others.add(sim.run(load*simulatedCapacity*total/15, 12*time.Second, submit))
		burst.add(sim.burst)
	}
	return others, burst
}

// TestBurstOfOneTeamLeavesOthersTheirShares guards against teams whose calls wait behind those of a team that
// sends six times its share.
func TestBurstOfOneTeamLeavesOthersTheirShares(t *testing.T) {
	for _, load := range []float64{0.6, 0.75, 0.9} {
		t.Run(fmt.Sprint(load), func(t *testing.T) {
			usual, _ := teamLoad(load, 1, true)
			shared, burst := teamLoad(load, 6, true)
			unshared, _ := teamLoad(load, 6, false)
			t.Logf("worth for the others: %.3f without the burst, %.3f with it, %.3f without shares; burst: %.3f", usual.worth(), shared.worth(), unshared.worth(), burst.worth())
			assert.Assert(t, shared.worth() >= usual.worth()-0.03)
		})
	}
}

// TestOneTeamIsServedAsNone guards against decisions that change where all requests have the same team, or
// none.
func TestOneTeamIsServedAsNone(t *testing.T) {
	none := newSimulation(1)
	one := newSimulation(1)
	one.teamOf = func() string { return "one" }
	counts := none.run(330, 5*time.Second, none.sharedQueue(true))
	assert.Equal(t, one.run(330, 5*time.Second, one.sharedQueue(true)), counts)
}
