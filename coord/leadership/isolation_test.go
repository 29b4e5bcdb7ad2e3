package leadership

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/roster"
)

// cutFleet is a fleet in which some VMs are cut off from the targets.
type cutFleet struct {
	*fleet
	cutRNG *rand.Rand
	cut    map[int]bool
}

func newCutFleet(seed uint64, size int) *cutFleet {
	return &cutFleet{fleet: newFleet(seed, size), cutRNG: rand.New(rand.NewPCG(seed, 3)), cut: map[int]bool{}}
}

// checkTokens makes the engines of the fleet check fencing tokens, from the start.
func (f *cutFleet) checkTokens() {
	for _, v := range f.vms {
		v.m = New(f.now, coord.VMID(v.id), "orders", fencedWait, true)
		v.m.SetHandoverWait(lease)
	}
}

const fencedWait = 3 * step

func (f *cutFleet) step() {
	for i, v := range f.vms {
		v.r.SetIsolated(f.cut[i])
	}
	f.fleet.step()
}

func (f *cutFleet) run(steps int) {
	for range steps {
		f.step()
	}
}

// changeCuts cuts VMs off from the targets, or reconnects them, at random.
func (f *cutFleet) changeCuts() {
	i := f.cutRNG.IntN(len(f.vms))
	switch f.cutRNG.IntN(20) {
	case 0:
		f.cut[i] = !f.cut[i]
	case 1:
		for j := range f.vms {
			f.cut[j] = f.cutRNG.IntN(3) > 0
		}
	case 2:
		for j := range f.vms {
			f.cut[j] = true
		}
	case 3:
		clear(f.cut)
	}
}

// leader returns the index of the only leader.
func (f *cutFleet) leader(t *testing.T) int {
	t.Helper()
	leaders := f.leaders()
	assert.Equal(t, len(leaders), 1)
	for i, v := range f.vms {
		if v == leaders[0] {
			return i
		}
	}
	return -1
}

const takeoverSteps = int(lease/step) + 5

func TestAtMostOneLeaderWhileVMsAreCutOffFromTargets(t *testing.T) {
	for seed := range uint64(150) {
		checkAtMostOneLeader(t, seed)
	}
}

// A VM is partitioned at the moment at which others return.
func TestAtMostOneLeaderWhenVMsReturnDuringAPartition(t *testing.T) {
	for _, seed := range []uint64{568, 1186} {
		checkAtMostOneLeader(t, seed)
	}
}

func checkAtMostOneLeader(t *testing.T, seed uint64) {
	t.Helper()
	f := newCutFleet(seed, 3+int(seed%5))
	highestToken := uint64(0)
	for i := range 400 {
		f.injectFaults()
		f.changeCuts()
		f.step()
		leaders := f.leaders()
		assert.Assert(t, len(leaders) <= 1, "seed %d, step %d: %d leaders", seed, i, len(leaders))
		if len(leaders) == 1 {
			token := leaders[0].m.FencingToken()
			assert.Assert(t, token>>tieBreakBits >= highestToken>>tieBreakBits, "seed %d, step %d: token %d after %d", seed, i, token, highestToken)
			highestToken = max(highestToken, token)
		}
	}
}

func TestCutLeaderIsReplacedAndDoesNotReturn(t *testing.T) {
	for _, enginesCheckTokens := range []bool{false, true} {
		for seed := range uint64(40) {
			f := newCutFleet(seed, 3+int(seed%5))
			if enginesCheckTokens {
				f.checkTokens()
			}
			f.run(4 * takeoverSteps)
			first := f.leader(t)
			f.cut[first] = true
			f.step()
			f.step()
			for range lease/step - 2 {
				assert.Equal(t, len(f.leaders()), 0, "seed %d: the leader has stepped down, and may have sent orders", seed)
				f.step()
			}
			f.run(takeoverSteps)
			second := f.leader(t)
			assert.Assert(t, second != first, "seed %d", seed)
			clear(f.cut)
			f.run(4 * takeoverSteps)
			assert.Equal(t, f.leader(t), second, "seed %d", seed)
		}
	}
}

func TestFleetWithOneConnectedVMIsLedByIt(t *testing.T) {
	for seed := range uint64(40) {
		f := newCutFleet(seed, 3+int(seed%5))
		f.run(4 * takeoverSteps)
		connected := f.cutRNG.IntN(len(f.vms))
		for i := range f.vms {
			f.cut[i] = i != connected
		}
		f.run(2 * takeoverSteps)
		assert.Equal(t, f.leader(t), connected, "seed %d", seed)
	}
}

func TestIsolatedFleetKeepsALeader(t *testing.T) {
	for seed := range uint64(40) {
		f := newCutFleet(seed, 3+int(seed%5))
		f.run(4 * takeoverSteps)
		for _, i := range f.cutRNG.Perm(len(f.vms)) {
			f.cut[i] = true
			f.step()
		}
		f.run(2 * takeoverSteps)
		leader := f.leader(t)
		f.run(takeoverSteps)
		assert.Equal(t, f.leader(t), leader, "seed %d", seed)
	}
}

// The VM that was expected may have led for a moment, unseen by this one.
func TestSuccessorOfALiveVMWaitsAnew(t *testing.T) {
	r := newRoster("a", 1)
	m := New(start, "a", "orders", lease, false)
	other := roster.Entry{ID: "b", Incarnation: 1, Heartbeat: 1}
	for m.successor([]roster.Entry{r.Self(), other}) != other.ID {
		other.ID += "b"
	}
	r.Merge(start, []roster.Entry{other})
	at := start.Add(2 * lease)
	assert.Assert(t, !m.Update(at, r))
	assert.Equal(t, m.Leader(), other.ID)
	other.Heartbeat, other.Isolated = 2, true
	r.Merge(at, []roster.Entry{other})
	assert.Assert(t, !m.Update(at, r))
	assert.Equal(t, m.Leader(), coord.VMID("a"))
	assert.Assert(t, !m.Update(at.Add(lease-1), r))
	assert.Assert(t, m.Update(at.Add(lease), r))
}
