package loadshed

import "time"

// Parameters of a simulated VM.
const (
	step = time.Millisecond
	// requestSteps is the number of times that a request runs, each for stepWork of a core, stepWait apart.
	requestSteps       = 15
	stepWork, stepWait = 200 * time.Microsecond, 3 * time.Millisecond
	// closeWork is the processor time of a connection that is closed.
	closeWork = 100 * time.Microsecond
	// pollInterval is the time after which a busy VM looks for what has arrived from the network.
	pollInterval = 10 * time.Millisecond
	// cycleFine and cycleQuota are the lengths of the cycles in which a VM gets its processor time.
	cycleFine, cycleQuota = 25 * time.Millisecond, 100 * time.Millisecond
)

// task is work that waits for the processor of a VM.
type task struct {
	left    time.Duration
	readyAt time.Time
	// done is called when it is complete.
	done func(now time.Time)
}

// simVM is a VM with the scheduler of the Go runtime on one processor: tasks run in the order in which they
// became ready, and the network is polled when no task is ready or after a while.
type simVM struct {
	id string
	// cores is what the VM has, and toldCores what its settings say.
	cores, toldCores float64
	// cycle is the time in which it gets its processor time at once, at the speed of a core; 0: evenly.
	cycle time.Duration
	// slowCores is what it has from slowAt on; 0: no less.
	slowAt     time.Time
	slowCores  float64
	controller *Controller

	ready    []*task
	arrived  []*task // at the network
	polledAt time.Time

	// used and delay are the processor time that was used in the window, and the delays of the tasks that were
	// started.
	used, delay time.Duration
	started     int
	measuredAt  time.Time
}

func newSimVM(id string, cores float64) *simVM {
	return &simVM{id: id, cores: cores, toldCores: cores, controller: New(start), polledAt: start, measuredAt: start}
}

// arrive hands work to the VM by the network.
func (vm *simVM) arrive(now time.Time, work time.Duration, done func(time.Time)) {
	vm.arrived = append(vm.arrived, &task{left: work, readyAt: now, done: done})
}

// budget returns the processor time that the VM gets in a step.
func (vm *simVM) budget(now time.Time) time.Duration {
	cores := vm.cores
	if vm.slowCores > 0 && !now.Before(vm.slowAt) {
		cores = vm.slowCores
	}
	if vm.cycle == 0 {
		return time.Duration(cores * float64(step))
	}
	inCycle := now.Sub(start) % vm.cycle
	return min(max(time.Duration(cores*float64(vm.cycle))-inCycle, 0), step)
}

// advance lets the VM work for a step.
func (vm *simVM) advance(now time.Time) {
	budget := vm.budget(now)
	if budget == 0 {
		return
	}
	for budget > 0 {
		vm.poll(now)
		if len(vm.ready) == 0 {
			break
		}
		t := vm.ready[0]
		if t.readyAt.After(time.Time{}) {
			vm.started++
			vm.delay += now.Sub(t.readyAt)
			t.readyAt = time.Time{}
		}
		spent := min(budget, t.left)
		t.left, budget, vm.used = t.left-spent, budget-spent, vm.used+spent
		if t.left == 0 {
			vm.ready = vm.ready[1:]
			t.done(now)
		}
	}
	if vm.controller.IsSampleDue(now) {
		vm.controller.Observe(now, vm.sample(now))
	}
}

// poll makes the tasks ready that have arrived from the network.
func (vm *simVM) poll(now time.Time) {
	if len(vm.ready) > 0 && now.Sub(vm.polledAt) < pollInterval {
		return
	}
	vm.polledAt = now
	for _, t := range vm.arrived {
		t.readyAt = now
	}
	vm.ready, vm.arrived = append(vm.ready, vm.arrived...), nil
}

// sample ends a measurement.
func (vm *simVM) sample(now time.Time) Sample {
	s := Sample{
		QueueDelay: vm.delay / time.Duration(max(vm.started, 1)),
		Use:        vm.used.Seconds() / now.Sub(vm.measuredAt).Seconds() / vm.toldCores,
	}
	vm.used, vm.delay, vm.started, vm.measuredAt = 0, 0, 0, now
	return s
}
