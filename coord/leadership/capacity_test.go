package leadership

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// capacities are the sizes of VMs in hundredths of a core.
var capacities = []uint32{14, 48, 80}

// newSizedFleet returns a fleet of VMs of random sizes, in which vm0 has the largest.
func newSizedFleet(seed uint64, size int) *fleet {
	f := newFleet(seed, size)
	rng := rand.New(rand.NewPCG(seed, 2))
	for i, v := range f.vms {
		if v.capacity = capacities[rng.IntN(len(capacities))]; i == 0 {
			v.capacity = capacities[len(capacities)-1]
		}
		v.incarnation--
		f.startVM(v)
	}
	return f
}

// TestAtMostOneLeaderAmongVMsOfDifferentSizes guards against two leaders at once where VMs differ
// for some heartbeats on which VMs are large enough to lead.
func TestAtMostOneLeaderAmongVMsOfDifferentSizes(t *testing.T) {
	for seed := range uint64(150) {
		f := newSizedFleet(seed, 3+int(seed%5))
		for i := range 400 {
			f.injectFaults()
			f.step()
			assert.Assert(t, len(f.leaders()) <= 1, "seed %d, step %d: %d leaders", seed, i, len(f.leaders()))
		}
	}
}

// TestLargestVMsLead guards against a leader that is much smaller than another live VM. A larger
// VM that joins later does not take over: each change of the leader stops decisions for a while.
func TestLargestVMsLead(t *testing.T) {
	for seed := range uint64(50) {
		f := newSizedFleet(seed, 3+int(seed%5))
		for range 2 * takeoverSteps {
			f.step()
		}
		leaders := f.leaders()
		assert.Equal(t, len(leaders), 1, "seed %d", seed)
		assert.Equal(t, leaders[0].capacity, uint32(80), "seed %d", seed)
		for _, v := range f.vms {
			if v != leaders[0] {
				v.capacity = 200
				f.startVM(v)
			}
		}
		for range 2 * takeoverSteps {
			f.step()
		}
		assert.DeepEqual(t, f.leaders()[0].id, leaders[0].id)
	}
}
