package loadshed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// Parameters of the simulation.
const (
	// shortConnection and longConnection are the number of requests of a connection, thinkTime apart.
	shortConnection, longConnection = 3, 30
	thinkTime                       = 150 * time.Millisecond
	// maxTries and callerPatience bound the tries of a caller.
	maxTries       = 4
	callerPatience = 600 * time.Millisecond
	// eventStart and eventEnd bound the time in which most connections go to few VMs.
	eventStart, eventEnd = 5 * time.Second, 15 * time.Second
	// settleTime is the time from the start of the event from which on its requests count (contact_ms).
	settleTime = 3 * time.Second
	// hotShare is the share of the new connections that few VMs get.
	hotShare = 0.9
)

var start = time.Unix(1_000_000, 0)

// simulation is a fleet behind a load balancer.
type simulation struct {
	rng    *rand.Rand
	now    time.Time
	vms    []*simVM
	perSec float64
	// requests is the number of requests of a connection.
	requests int
	// hot returns the VMs that get most new connections.
	hot func(now time.Time) []*simVM
	// later holds what happens in later steps.
	later map[time.Time][]func()
	// served and read count requests that a VM read, by whether the event was on, and lost the callers that
	// gave up.
	served, read, lost [2]int
	closed             int
}

func newSimulation(seed uint64, cores []float64, perSec float64) *simulation {
	s := &simulation{rng: rand.New(rand.NewPCG(seed, 3)), now: start, perSec: perSec, requests: shortConnection, later: map[time.Time][]func(){}}
	for i, c := range cores {
		s.vms = append(s.vms, newSimVM(fmt.Sprint("vm", i), c))
	}
	s.hot = func(time.Time) []*simVM { return s.vms[:1] }
	return s
}

func (s *simulation) inEvent() bool {
	t := s.now.Sub(start)
	return t >= eventStart && t < eventEnd
}

// phase returns the index of the counters for a request that begins now; negative: it does not count.
func (s *simulation) phase() int {
	switch t := s.now.Sub(start); {
	case t > time.Second && t < eventStart:
		return 0
	case t >= eventStart+settleTime && t < eventEnd:
		return 1
	}
	return -1
}

// balance returns the VM that gets a new connection, or one that a caller opens after another VM closed the
// one before: load balancers avoid that VM then.
func (s *simulation) balance(closedBy *simVM) *simVM {
	if hot := s.hot(s.now); s.inEvent() && closedBy == nil && len(hot) > 0 && s.rng.Float64() < hotShare {
		return hot[s.rng.IntN(len(hot))]
	}
	for {
		if vm := s.vms[s.rng.IntN(len(s.vms))]; vm != closedBy {
			return vm
		}
	}
}

func (s *simulation) run(d time.Duration) {
	for end := start.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		if s.rng.Float64() < s.perSec*step.Seconds() {
			s.connect(s.balance(nil), s.now, 1, s.requests, s.phase())
		}
		for _, run := range s.later[s.now] {
			run()
		}
		delete(s.later, s.now)
		for _, vm := range s.vms {
			vm.advance(s.now)
		}
		if s.now.Sub(start)%(200*time.Millisecond) == 0 {
			s.exchange()
		}
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	at := s.now.Add(d)
	s.later[at] = append(s.later[at], run)
}

// exchange sends the reports of the VMs to each other.
func (s *simulation) exchange() {
	for _, a := range s.vms {
		for _, b := range s.vms {
			if a != b {
				a.controller.RecordPeer(s.now, coord.VMID(b.id), b.controller.Overloaded())
			}
		}
	}
}

// connect opens a connection for a number of requests of a caller that began at a time.
func (s *simulation) connect(vm *simVM, begun time.Time, try, requests, phase int) {
	vm.arrive(s.now, closeWork, func(now time.Time) {
		if vm.controller.Accept(now) {
			s.request(vm, begun, requests, phase)
			return
		}
		s.closed++
		if try < maxTries {
			s.after(5*time.Millisecond, func() { s.connect(s.balance(vm), begun, try+1, requests, phase) })
		} else if phase >= 0 {
			s.lost[phase]++
		}
	})
}

// request sends a request over an open connection, and the next one once it is served.
func (s *simulation) request(vm *simVM, begun time.Time, left, phase int) {
	if phase >= 0 {
		s.read[phase]++
	}
	s.runStep(vm, requestSteps, func(now time.Time) {
		if phase >= 0 && now.Sub(begun) <= callerPatience {
			s.served[phase]++
		}
		if left == 1 {
			return
		}
		if vm.controller.IsRetiring(now) {
			s.after(thinkTime, func() { s.connect(s.balance(nil), s.now, 1, left-1, s.phase()) })
			return
		}
		s.after(thinkTime, func() { s.request(vm, s.now, left-1, s.phase()) })
	})
}

// runStep runs the steps of a request that are left. Between them it waits for other VMs and targets.
func (s *simulation) runStep(vm *simVM, left int, done func(now time.Time)) {
	vm.arrive(s.now, stepWork, func(now time.Time) {
		if left == 1 {
			done(now)
			return
		}
		s.after(stepWait, func() { s.runStep(vm, left-1, done) })
	})
}

// share returns how often the requests of a phase are served in time, of those that a VM read.
func (s *simulation) share(phase int) float64 {
	return float64(s.served[phase]) / float64(max(s.read[phase], 1))
}

// fleetCase is a fleet and the part of it that gets most new connections.
type fleetCase struct {
	cores  []float64
	perSec float64
	// requests is the number of requests of a connection; 0: shortConnection.
	requests int
	hot      func(s *simulation) func(now time.Time) []*simVM
	// change, if set, changes the VMs.
	change func(vms []*simVM)
}

func repeated(cores float64, n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = cores
	}
	return out
}

func firstVMs(n int) func(*simulation) func(time.Time) []*simVM {
	return func(s *simulation) func(time.Time) []*simVM {
		return func(time.Time) []*simVM { return s.vms[:n] }
	}
}

// inTurn gives the connections to one VM after the other.
func inTurn(each time.Duration) func(*simulation) func(time.Time) []*simVM {
	return func(s *simulation) func(time.Time) []*simVM {
		return func(now time.Time) []*simVM {
			i := int(now.Sub(start)/each) % len(s.vms)
			return s.vms[i : i+1]
		}
	}
}

func inCycles(cycle time.Duration) func([]*simVM) {
	return func(vms []*simVM) {
		for _, vm := range vms {
			vm.cycle = cycle
		}
	}
}

// slower makes the first VM slower than its settings say.
func slower(factor float64) func([]*simVM) {
	return func(vms []*simVM) { vms[0].cores /= factor }
}

// turnsSlow makes the first VM slower from the start of the event on.
func turnsSlow(vms []*simVM) {
	vms[0].slowAt, vms[0].slowCores = start.Add(eventStart), vms[0].cores/20
}

var fleetCases = map[string]fleetCase{
	"a region of seven VMs":                 {cores: repeated(0.4, 7), perSec: 110, hot: firstVMs(1)},
	"a zone of twelve":                      {cores: repeated(0.2, 12), perSec: 100, hot: firstVMs(1)},
	"a zone of twelve, fine slices":         {cores: repeated(0.2, 12), perSec: 100, hot: firstVMs(1), change: inCycles(cycleFine)},
	"a zone of twelve, quota":               {cores: repeated(0.2, 12), perSec: 100, hot: firstVMs(1), change: inCycles(cycleQuota)},
	"VMs of several capacities":             {cores: []float64{0.2, 0.8, 0.4, 0.2, 0.8, 0.4}, perSec: 120, hot: firstVMs(1)},
	"two VMs":                               {cores: []float64{0.4, 0.8}, perSec: 60, hot: firstVMs(1)},
	"long connections":                      {cores: repeated(0.2, 12), perSec: 10, requests: longConnection, hot: firstVMs(1)},
	"long connections, another VM in turn":  {cores: repeated(0.2, 12), perSec: 10, requests: longConnection, hot: inTurn(2 * time.Second)},
	"a VM with open connections turns slow": {cores: repeated(0.4, 3), perSec: 5, requests: longConnection, hot: firstVMs(0), change: turnsSlow},
	"three of twelve":                       {cores: repeated(0.2, 12), perSec: 100, hot: firstVMs(3)},
	"another VM every two seconds":          {cores: repeated(0.2, 12), perSec: 100, hot: inTurn(2 * time.Second)},
	"a VM slower than its settings":         {cores: repeated(0.4, 12), perSec: 100, hot: firstVMs(1), change: slower(3)},
	"a VM slower than its settings, quota":  {cores: repeated(0.4, 12), perSec: 100, hot: firstVMs(1), change: func(vms []*simVM) { slower(3)(vms); inCycles(cycleQuota)(vms) }},
}

// TestFleetServesWhileMostConnectionsGoToFewVMs guards against a VM that reads all requests of most new
// connections of its zone, and serves all of them late.
func TestFleetServesWhileMostConnectionsGoToFewVMs(t *testing.T) {
	const minShare = 0.95 // of the share before
	for name, c := range fleetCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				s := c.simulate(seed)
				t.Logf("seed %d: %.2f before, %.2f in the event, %d lost, %d closed", seed, s.share(0), s.share(1), s.lost[1], s.closed)
				assert.Check(t, s.share(1) >= minShare*s.share(0), "seed %d: %.2f of the requests are served, before %.2f", seed, s.share(1), s.share(0))
				assert.Check(t, s.lost[1] <= s.read[1]/100, "seed %d: %d callers were turned away everywhere", seed, s.lost[1])
			}
		})
	}
}

func (c fleetCase) simulate(seed uint64) *simulation {
	s := newSimulation(seed, c.cores, c.perSec)
	s.hot, s.requests = c.hot(s), max(c.requests, s.requests)
	if c.change != nil {
		c.change(s.vms)
	}
	s.run(20 * time.Second)
	return s
}

// TestNothingIsClosedWhileNoVMHasRoom guards against callers that are turned away by one VM after the other
// in a burst over the whole fleet.
func TestNothingIsClosedWhileNoVMHasRoom(t *testing.T) {
	s := newSimulation(1, repeated(0.2, 4), 400)
	s.hot = firstVMs(0)(s)
	s.run(12 * time.Second)
	assert.Assert(t, s.closed <= int(s.perSec/10), "%d connections were closed", s.closed)
}

// TestHardlyAnythingIsClosedInUsualLoad guards against connections that are closed although the VM has room:
// none at a third of the capacity of the smallest VMs, and hardly any at half of it.
func TestHardlyAnythingIsClosedInUsualLoad(t *testing.T) {
	for _, row := range []struct {
		perSec    float64
		maxClosed float64 // share of the new connections
	}{{28, 0}, {44, 0.01}} {
		for seed := range uint64(10) {
			s := newSimulation(seed, []float64{0.4, 0.4, 0.2, 0.2}, row.perSec)
			s.hot = firstVMs(0)(s)
			s.run(20 * time.Second)
			assert.Check(t, float64(s.closed) <= row.maxClosed*20*row.perSec, "%.0f a second, seed %d: %d closed", row.perSec, seed, s.closed)
		}
	}
}
