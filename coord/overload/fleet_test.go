package overload

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

const (
	// tickInterval is the time between two steps of the simulation.
	tickInterval = 5 * time.Millisecond
	// maxDelay bounds the network delay of a request, and reportDelay is that of its end.
	maxDelay, reportDelay = 10 * time.Millisecond, 5 * time.Millisecond
	// minService and maxService bound the duration of a request.
	minService, maxService = 40 * time.Millisecond, 120 * time.Millisecond
	// suspectAfter is the time after which VMs detect that another VM is gone or cut off.
	suspectAfter = 2100 * time.Millisecond
	slots        = 8
	targetCount  = 4
	// requestsPerTick is about 1.5 times what all targets serve.
	requestsPerTick = 3
)

// chooser places requests at targets, as a leader or as a VM without one.
type chooser struct {
	guard    *Guard
	inFlight map[string]int
	// mayUse returns how many requests the chooser may have at a target.
	mayUse func(now time.Time, id string) int
}

func newChooser() *chooser {
	c := &chooser{guard: NewGuard(), inFlight: map[string]int{}}
	c.guard.SetTargets(start, targetIDs())
	c.mayUse = func(now time.Time, id string) int { n, _ := c.guard.Allowed(now, id, slots); return n }
	return c
}

func targetIDs() (ids []string) {
	for i := range targetCount {
		ids = append(ids, "t"+strconv.Itoa(i))
	}
	return ids
}

// pick returns the target with the fewest requests that may get one more, or "".
func (c *chooser) pick(now time.Time) (best string) {
	for _, id := range targetIDs() {
		if c.inFlight[id] < c.mayUse(now, id) && (best == "" || c.inFlight[id] < c.inFlight[best]) {
			best = id
		}
	}
	return best
}

// strategy is what a VM sends while it has no leader.
type strategy struct {
	name string
	// local returns how many requests a VM may have at a target; nil: none.
	local func(vm, vms int, limit float64, id string) int
}

var strategies = []strategy{
	{name: "nothing without a decision"},
	{name: "a share of the slots, one at least", local: func(_, vms int, _ float64, _ string) int { return max(slots/vms, 1) }},
	{name: "a share of the slots", local: func(_, vms int, _ float64, _ string) int { return slots / vms }},
	{name: "one request at each of N/2 VMs", local: ownsSlot},
}

// ownsSlot lets as many VMs as half of the limit have one request each, selected by hash.
func ownsSlot(vm, vms int, limit float64, id string) int {
	rank := 0
	for other := range vms {
		if hashOf(other, id) > hashOf(vm, id) {
			rank++
		}
	}
	if rank < min(int(limit/2), slots) {
		return 1
	}
	return 0
}

func hashOf(vm int, id string) uint64 {
	return rendezvous.Weight(rendezvous.Hash(strconv.Itoa(vm)), rendezvous.Hash(id))
}

// simulation is a fleet with brittle targets. Its leader ends, and a third of it is cut off, again
// and again.
type simulation struct {
	vms   int
	limit float64
	rng   *rand.Rand
	now   time.Time
	due   map[time.Duration][]func()

	leaders       []int
	noLeaderUntil time.Time
	choosers      map[int]*chooser // leaders
	locals        map[int]*chooser // VMs without a leader
	running       map[string]int
	rejections    map[string][]time.Time
	worst         int
	served        int
	servedAlone   int
	offeredAlone  int
}

func newSimulation(vms int, limit float64, seed uint64) *simulation {
	return &simulation{
		vms: vms, limit: limit, rng: rand.New(rand.NewPCG(seed, 1)), due: map[time.Duration][]func(){}, leaders: make([]int, vms),
		choosers: map[int]*chooser{}, locals: map[int]*chooser{}, running: map[string]int{}, rejections: map[string][]time.Time{},
	}
}

func (sim *simulation) after(d time.Duration, f func()) {
	at := (sim.now.Add(d).Sub(start) + tickInterval - 1).Truncate(tickInterval)
	sim.due[at] = append(sim.due[at], f)
}

func (sim *simulation) random(from, to time.Duration) time.Duration {
	return from + time.Duration(sim.rng.Int64N(int64(to-from)+1))
}

func (sim *simulation) limits() map[string]float64 {
	limits := map[string]float64{}
	for _, id := range targetIDs() {
		limits[id] = sim.limit
	}
	return limits
}

// becomeLeader makes a VM a leader that knows none of the requests in flight.
func (sim *simulation) becomeLeader(vm int, share float64) {
	c := newChooser()
	c.guard.SetLimits(sim.now, sim.limits(), share)
	c.guard.Reset(sim.now)
	sim.choosers[vm] = c
}

func (sim *simulation) setShare(vm int, share float64) {
	sim.choosers[vm].guard.SetLimits(sim.now, sim.limits(), share)
}

func (sim *simulation) local(s strategy, vm int) *chooser {
	c := sim.locals[vm]
	if c == nil {
		c = newChooser()
		c.guard.SetLimits(sim.now, sim.limits(), 1)
		byGuard, own := c.mayUse, map[string]int{}
		for _, id := range targetIDs() {
			own[id] = s.local(vm, sim.vms, sim.limit, id)
		}
		c.mayUse = func(now time.Time, id string) int { return min(byGuard(now, id), own[id]) }
		sim.locals[vm] = c
	}
	return c
}

// send lets a target run or reject a request.
func (sim *simulation) send(c *chooser, id string, alone bool) {
	c.inFlight[id]++
	inFlight := c.inFlight[id]
	sim.after(sim.random(tickInterval, maxDelay), func() {
		if sim.running[id] >= slots {
			sim.reject(id)
			sim.after(reportDelay, func() { c.inFlight[id]--; c.guard.Rejected(sim.now, id, inFlight) })
			return
		}
		sim.running[id]++
		sim.after(sim.random(minService, maxService), func() {
			sim.running[id]--
			if sim.served++; alone {
				sim.servedAlone++
			}
			sim.after(reportDelay, func() { c.inFlight[id]-- })
		})
	})
}

func (sim *simulation) reject(id string) {
	recent := 1
	for _, at := range sim.rejections[id] {
		if sim.now.Sub(at) < time.Second {
			recent++
		}
	}
	sim.rejections[id] = append(sim.rejections[id], sim.now)
	sim.worst = max(sim.worst, recent)
}

// injectFaults ends the leader, or cuts off a third of the fleet for some seconds.
func (sim *simulation) injectFaults() {
	leader := sim.leaders[sim.vms-1]
	next := (leader + 1) % sim.vms
	switch sim.now.Sub(start) % (10 * time.Second) {
	case 3 * time.Second:
		sim.noLeaderUntil = sim.now.Add(suspectAfter)
		for i := range sim.leaders {
			sim.leaders[i] = next
		}
		sim.becomeLeader(next, 1)
	case 6 * time.Second:
		for i := range sim.vms / 3 {
			sim.leaders[i] = next
		}
		sim.becomeLeader(next, 1.0/3)
	case 6*time.Second + suspectAfter.Truncate(tickInterval):
		sim.setShare(leader, 2.0/3)
	case 9 * time.Second:
		for i := range sim.leaders {
			sim.leaders[i] = leader
		}
		sim.setShare(leader, 1)
	}
}

// run returns the most rejections of a target in a second.
func (sim *simulation) run(s strategy, d time.Duration) (worst int) {
	sim.now = start
	sim.becomeLeader(0, 1)
	for ; sim.now.Before(start.Add(d)); sim.now = sim.now.Add(tickInterval) {
		at := sim.now.Sub(start)
		for _, f := range sim.due[at] {
			f()
		}
		delete(sim.due, at)
		sim.injectFaults()
		for range requestsPerTick {
			vm := sim.rng.IntN(sim.vms)
			c, alone := sim.choosers[sim.leaders[vm]], sim.now.Before(sim.noLeaderUntil)
			if alone {
				sim.offeredAlone++
				if s.local == nil {
					continue
				}
				c = sim.local(s, vm)
			}
			if id := c.pick(sim.now); id != "" {
				sim.send(c, id, alone)
			}
		}
	}
	return sim.worst
}

// TestCompareStrategies compares what VMs without a leader may send to brittle targets.
func TestCompareStrategies(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{7, 72, 408} {
		for _, limit := range []float64{2, 8} {
			for _, s := range strategies {
				sim := newSimulation(vms, limit, 1)
				worst := sim.run(s, 40*time.Second)
				t.Logf("%d VMs, N = %v, %s: worst second %.2f of N, %d served, %.2f of the requests in outages of the leader",
					vms, limit, s.name, float64(worst)/limit, sim.served, float64(sim.servedAlone)/float64(sim.offeredAlone))
			}
		}
	}
}

// TestNoTargetFallsOver checks that changes of the leader and a partition of a third of the fleet
// cause no more rejections in any second than the targets bear.
func TestNoTargetFallsOver(t *testing.T) {
	t.Parallel()
	for _, vms := range []int{3, 7, 72, 408} {
		for _, limit := range []float64{0, 0.5, 1, 2, 3, 5, 8, 20} {
			for seed := range uint64(3) {
				sim := newSimulation(vms, limit, seed)
				worst := sim.run(strategies[0], 40*time.Second)
				assert.Check(t, float64(worst) <= limit, "%d VMs, N = %v, seed %d: %d rejections in a second", vms, limit, seed, worst)
			}
		}
	}
}
