package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// tickInterval is the time between two steps of the simulation.
const tickInterval = 10 * time.Millisecond

// window is the time over which the requests sent are compared with the number that allowed returns
// for a limit in requests per second.
const window = 4 * time.Second

func allowed(perSecond float64) float64 { return 1.5*window.Seconds()*perSecond + 5 }

// strategy is a way to keep a target's limit in a fleet.
type strategy interface {
	// admit reports whether a VM may send a request now. leader is the leader of that VM, or -1 if
	// it has none; share is the part of the fleet that the leader serves.
	admit(now time.Time, vm, leader int, share float64) bool
	// becomeLeader makes a VM a leader.
	becomeLeader(now time.Time, vm int)
}

// leaderPacing is the strategy in use: one bucket at each leader.
type leaderPacing struct {
	pacers map[int]*Pacer
	rate   float64
}

func (s *leaderPacing) becomeLeader(now time.Time, vm int) {
	p := s.pacers[vm]
	if p == nil {
		p = NewPacer()
		s.pacers[vm] = p
	}
	p.SetRates(now, map[string]float64{"t": s.rate})
	p.Reset(now)
}

func (s *leaderPacing) admit(now time.Time, _, leader int, share float64) bool {
	if leader < 0 {
		return false
	}
	p := s.pacers[leader]
	p.SetFleetShare(now, share)
	if !p.Ready(now, "t") {
		return false
	}
	p.Consume(now, "t")
	return true
}

// staticShares has a bucket at each VM, with that VM's share of the limit.
type staticShares struct {
	buckets []*bucket
}

func newStaticShares(now time.Time, vms int, rate float64) *staticShares {
	s := &staticShares{}
	for range vms {
		s.buckets = append(s.buckets, &bucket{updatedAt: now, limit: rate, fillRate: rate / float64(vms)})
	}
	return s
}

func (s *staticShares) becomeLeader(time.Time, int) {}

func (s *staticShares) admit(now time.Time, vm, _ int, _ float64) bool {
	b := s.buckets[vm]
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// pacingWithReserves is leaderPacing with a bucket at each VM for the time when it has no leader.
type pacingWithReserves struct {
	leaderPacing
	reserve *staticShares
}

func (s *pacingWithReserves) admit(now time.Time, vm, leader int, share float64) bool {
	if leader >= 0 {
		return s.leaderPacing.admit(now, vm, leader, share)
	}
	return s.reserve.admit(now, vm, leader, share)
}

// simulation is one fleet and its faults.
type simulation struct {
	vms  int
	rate float64
	// suspectAfter is the time after which VMs detect that another VM is gone or cut off.
	suspectAfter time.Duration
	rng          *rand.Rand
	// leaders holds the leader of each VM, fleetShare the part of the fleet that each leader
	// assumes to serve.
	leaders    []int
	fleetShare map[int]float64
	// noLeaderUntil is the time until which no VM has a leader.
	noLeaderUntil time.Time
}

// run lets the VMs request far more than the limit. It returns the worst window, as a fraction of
// the allowed requests, and the number of requests sent, as a fraction of the limit.
func (sim *simulation) run(s strategy, d time.Duration) (worst, used float64) {
	var sent []time.Time
	s.becomeLeader(start, 0)
	now := start
	for ; now.Before(start.Add(d)); now = now.Add(tickInterval) {
		sim.injectFaults(now, s)
		for range 3 {
			vm := sim.rng.IntN(sim.vms)
			leader := sim.leaders[vm]
			if now.Before(sim.noLeaderUntil) && leader >= 0 {
				leader = -1
			}
			if s.admit(now, vm, leader, sim.fleetShare[leader]) {
				sent = append(sent, now.Add(time.Duration(sim.rng.Int64N(int64(100*time.Millisecond)))))
			}
		}
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[max(i-100, 0):] {
			if !at.Before(from) && at.Sub(from) < window {
				n++
			}
		}
		worst = max(worst, float64(n)/allowed(sim.rate))
	}
	return worst, float64(len(sent)) / (sim.rate * d.Seconds())
}

// injectFaults periodically ends the leader, or cuts off a third of the fleet for some seconds.
func (sim *simulation) injectFaults(now time.Time, s strategy) {
	at := now.Sub(start)
	switch {
	case at%(10*time.Second) == 3*time.Second: // another VM becomes the leader, the previous one is gone
		next := (sim.leaders[0] + 1) % sim.vms
		sim.noLeaderUntil = now.Add(sim.suspectAfter)
		for i := range sim.leaders {
			sim.leaders[i] = next
		}
		sim.fleetShare = map[int]float64{next: 1}
		s.becomeLeader(now, next)
	case at%(10*time.Second) == 6*time.Second: // a third is cut off and at once has a leader of its own
		next := (sim.leaders[0] + 1) % sim.vms
		for i := range sim.vms / 3 {
			sim.leaders[i] = next
		}
		sim.fleetShare[next] = 1.0 / 3
		s.becomeLeader(now, next)
	case at%(10*time.Second) == 6*time.Second+sim.suspectAfter.Truncate(tickInterval): // the rest detects the partition
		sim.fleetShare[sim.leaders[sim.vms-1]] = 2.0 / 3
	case at%(10*time.Second) == 9*time.Second: // the partition ends
		for i := range sim.leaders {
			sim.leaders[i] = sim.leaders[sim.vms-1]
		}
		sim.fleetShare = map[int]float64{sim.leaders[0]: 1}
	}
}

func newSimulation(vms int, rate float64, seed uint64) *simulation {
	sim := &simulation{
		vms: vms, rate: rate, suspectAfter: 2100 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)),
		leaders: make([]int, vms), fleetShare: map[int]float64{0: 1},
	}
	return sim
}

// TestNoWindowIsExceeded checks that changes of the leader and a partition of a third of the fleet
// do not exceed the limit in any window.
func TestNoWindowIsExceeded(t *testing.T) {
	for _, vms := range []int{3, 7, 72, 300} {
		for _, rate := range []float64{0.2, 0.5, 1.1, 3, 8, 20} {
			for seed := range uint64(3) {
				sim := newSimulation(vms, rate, seed)
				worst, _ := sim.run(&leaderPacing{pacers: map[int]*Pacer{}, rate: rate}, 40*time.Second)
				assert.Assert(t, worst <= 1, "%d VMs, %v per second, seed %d: %v of the allowed requests", vms, rate, seed, worst)
			}
		}
	}
}

// TestCompareStrategies compares the strategy in use with static shares and with reserves. Static
// shares exceed the limit after VMs have been idle, or send next to nothing; reserves gain little.
func TestCompareStrategies(t *testing.T) {
	for _, vms := range []int{7, 72, 300} {
		for _, rate := range []float64{1.1, 8} {
			strategies := []struct {
				name string
				new  func() strategy
			}{
				{"paced by one VM", func() strategy { return &leaderPacing{pacers: map[int]*Pacer{}, rate: rate} }},
				{"with reserves", func() strategy {
					return &pacingWithReserves{leaderPacing{map[int]*Pacer{}, rate}, newStaticShares(start, vms, rate)}
				}},
				{"shares", func() strategy { return newStaticShares(start, vms, rate) }},
				{"shares, after an idle time", func() strategy { return newStaticShares(start.Add(-10*time.Minute), vms, rate) }},
			}
			for _, s := range strategies {
				worst, used := newSimulation(vms, rate, 1).run(s.new(), 40*time.Second)
				t.Logf("%d VMs, %.1f per second, %s: worst window %.2f of the allowed requests, %.2f of the limit used", vms, rate, s.name, worst, used)
				if s.name == "paced by one VM" {
					assert.Check(t, worst <= 1 && used > 0.5, "%v %v", worst, used)
				}
			}
		}
	}
}
