package scheduler

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scoreOfOthers simulates seven teams with the same rate and one with a multiple of it, on engines that
// hold nothing. It returns the mean score of the seven.
func scoreOfOthers(namesTeams bool, multiple float64) (score float64) {
	const rate, others = 36.0, 7
	d := largeFleet
	d.namesTeams = namesTeams
	kinds := workload{{"burst", multiple * rate, 800 * time.Millisecond, 15 * time.Second, 1460, 171, 1}}
	for i := range others {
		kinds = append(kinds, requestKind{fmt.Sprint(i), rate, 800 * time.Millisecond, 15 * time.Second, 1460, 171, 1})
	}
	r := runLoadSim(d, burstConfig(32), kinds, 6*time.Second, 1, nil)
	for i := range others {
		score += r.byKind[fmt.Sprint(i)].score() / others
	}
	return score
}

// TestBurstOfOneTeamLeavesOthersTheirShares guards against loads for teams within their shares that wait
// behind those for a team which sends six times its share.
func TestBurstOfOneTeamLeavesOthersTheirShares(t *testing.T) {
	usual, shared, unshared := scoreOfOthers(true, 1), scoreOfOthers(true, 6), scoreOfOthers(false, 6)
	t.Logf("score of the others: %.3f without the burst, %.3f with it, %.3f without shares", usual, shared, unshared)
	assert.Assert(t, shared > usual-0.05)
}

// TestOneTeamIsServedAsNone guards against decisions that change where all requests have the same team, or
// none.
func TestOneTeamIsServedAsNone(t *testing.T) {
	simulate := func(namesTeams bool) string {
		d := largeFleet
		d.namesTeams = namesTeams
		return runLoadSim(d, burstConfig(32), burst[:1].scaled(1.5), 3*time.Second, 1, nil).String()
	}
	assert.Equal(t, simulate(true), simulate(false))
}

// TestUrgencyPrecedesShares guards against urgent requests that wait because their team was served more.
func TestUrgencyPrecedesShares(t *testing.T) {
	s := New(config(4))
	s.shares.Serve(start, "large", 10_000)
	for i, r := range []Request{{Team: "large", Priority: 1}, {Team: "small", Priority: 1}, {Team: "large"}} {
		r.Ticket = uint64(i)
		s.enqueue(&r)
	}
	s.rank(start)
	var order []uint64
	for _, r := range s.waiting {
		order = append(order, r.Ticket)
	}
	assert.DeepEqual(t, order, []uint64{2, 1, 0})
}
