package coord_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/coord/residency"
)

// fleet is a few VMs that order one engine over a network that delays, drops and
// reorders. A VM is paused by leaving its messages where they are. The scheduler
// in safety_test.go picks what happens next.
type fleet struct {
	now     time.Time
	fencing bool
	broken  rule
	engine  engine
	vms     []*vm
	net     []message
	handles uint64
	fault   string
}

// rule is a rule of the system that a test breaks on purpose.
type rule string

const (
	noRule         rule = ""
	noFenceCheck   rule = "engine that should refuse old numbers does not"
	noHolds        rule = "what is found may be evicted at once"
	falseRelease   rule = "a VM releases while its requests run"
	sharedNames    rule = "names are shared at an engine that ignores numbers"
	retryMaybeSent rule = "a request that may have been sent is sent again"
	noPin          rule = "a running request does not pin its adapter"
	noTenureCheck  rule = "a request started in one tenure is sent in the next"
	noGrace        rule = "an adapter is free as soon as its request is broken off"
	noDrainGrace   rule = "a tenure is over as soon as its last request is broken off"
)

// engine is the target. It never refuses to unload.
type engine struct {
	fence    uint64
	resident map[string]coord.Adapter
	runs     []run
	ran      map[uint64]int
}

type run struct {
	vm      int
	life    int
	name    string
	handle  uint64
	adapter coord.Adapter
	// brokenOff is when the VM closed the connection; zero: it has not. The engine
	// notices within coord.AbortedRequestTime.
	brokenOff time.Time
}

// vm is one VM's state machines and the requests that it knows.
type vm struct {
	id       coord.VMID
	life     int
	dead     bool
	machine  *ownership.Machine
	dispatch *dispatch.Dispatcher
	tenure   int
	requests map[uint64]coord.Adapter
	others   []coord.VMID
}

// message is something on its way. deliver is run when it arrives, lost when it
// never does.
type message struct {
	what    string
	from    int
	life    int
	deliver func()
	lost    func()
}

const slots = 2

var adapters = []coord.Adapter{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "2"}}

func newFleet(vms int, fencing bool, broken rule) *fleet {
	f := &fleet{now: time.Unix(1000, 0), fencing: fencing, broken: broken}
	f.engine = engine{resident: map[string]coord.Adapter{}, ran: map[uint64]int{}}
	var ids []coord.VMID
	for i := range vms {
		ids = append(ids, coord.VMID(fmt.Sprintf("vm-%d", i)))
	}
	for _, id := range ids {
		f.vms = append(f.vms, &vm{id: id, others: ids})
	}
	for i := range f.vms {
		f.boot(i)
	}
	return f
}

// boot gives a VM a fresh process.
func (f *fleet) boot(i int) {
	v := f.vms[i]
	v.life++
	v.dead = false
	v.machine = ownership.New(v.id, uint16(i))
	v.dispatch = nil
	v.requests = map[uint64]coord.Adapter{}
}

// kill ends a VM's process: its connections close, so its requests end at the
// engine. What it has written may still arrive; a request that does has no
// caller any more.
func (f *fleet) kill(i int) {
	f.vms[i].dead = true
	f.vms[i].life++
	kept := f.engine.runs[:0]
	for _, r := range f.engine.runs {
		if r.vm != i {
			kept = append(kept, r)
		}
	}
	f.engine.runs = kept
}

func (f *fleet) send(from int, what string, deliver, lost func()) {
	f.net = append(f.net, message{what: what, from: from, life: f.vms[from].life, deliver: deliver, lost: lost})
}

// take removes and returns message n.
func (f *fleet) take(n int) message {
	m := f.net[n]
	f.net = append(f.net[:n:n], f.net[n+1:]...)
	return m
}

// reply brings an answer back to a VM, unless its process has gone.
func (f *fleet) reply(to, life int, what string, deliver func()) {
	live := func() {
		if f.vms[to].life == life && !f.vms[to].dead {
			deliver()
		}
	}
	f.net = append(f.net, message{what: what, from: to, life: life, deliver: live, lost: live})
}

func (f *fleet) report() ownership.Report {
	r := ownership.Report{FencingToken: f.engine.fence}
	for n := range f.engine.resident {
		r.Resident = append(r.Resident, n)
	}
	slices.Sort(r.Resident)
	return r
}

// passFence is the engine's check of an order's number.
func (f *fleet) passFence(fence uint64) bool {
	if !f.fencing || f.broken == noFenceCheck {
		return true
	}
	if fence < f.engine.fence {
		return false
	}
	f.engine.fence = fence
	return true
}

func (f *fleet) own(i int, acts []ownership.Action) {
	for _, a := range acts {
		f.ownAction(i, a)
	}
}

func (f *fleet) ownAction(i int, a ownership.Action) {
	v, life := f.vms[i], f.vms[i].life
	switch a.Kind {
	case ownership.ActRead:
		f.send(i, "read", func() {
			r := f.report()
			f.reply(i, life, "report", func() { f.own(i, v.machine.HandleReport(f.now, r)) })
		}, func() {})
	case ownership.ActClaim:
		f.send(i, "claim", func() { f.claim(i, life, a.FencingToken) }, func() {})
	case ownership.ActRequestRelease:
		f.askRelease(i, a)
	case ownership.ActServe:
		f.serve(i, a)
	case ownership.ActSetHolds:
		f.dispatched(i, v.dispatch.SetHolds(f.now, a.All && f.broken != noHolds, a.Names))
	case ownership.ActStop:
		if v.dispatch != nil {
			f.dispatched(i, v.dispatch.Stop(f.now))
		}
	}
}

func (f *fleet) claim(i, life int, fence uint64) {
	v := f.vms[i]
	if !f.passFence(fence) {
		seen := f.engine.fence
		f.reply(i, life, "claim refused", func() { f.own(i, v.machine.HandleRejection(f.now, fence, seen)) })
		return
	}
	r := f.report()
	f.reply(i, life, "claimed", func() { f.own(i, v.machine.HandleClaimAccepted(f.now, fence, r)) })
}

func (f *fleet) askRelease(i int, a ownership.Action) {
	v, life := f.vms[i], f.vms[i].life
	for j, other := range f.vms {
		if other.id != a.VM {
			continue
		}
		f.send(i, "ask release", func() {
			if other.dead {
				return
			}
			released, acts := other.machine.HandleReleaseRequest(f.now, a.FencingToken)
			f.own(j, acts)
			if !released && f.broken != falseRelease {
				return
			}
			var inUse []string
			if other.dispatch != nil && f.broken != falseRelease {
				inUse = other.dispatch.Slots().InUse(f.now)
			}
			f.reply(i, life, "released", func() { f.own(i, v.machine.HandleRelease(a.VM, a.FencingToken, inUse)) })
		}, func() {})
	}
}

func (f *fleet) serve(i int, a ownership.Action) {
	v := f.vms[i]
	suffix := ""
	usable := f.fencing || f.broken == sharedNames
	if !usable {
		suffix = fmt.Sprintf("~%d.%d", a.FencingToken, v.life)
	}
	v.tenure++
	v.dispatch = dispatch.New(dispatch.Config{
		Residency: residency.Config{Slots: slots, HeatHalfLife: time.Second},
		Batch:     4, QueueLimit: 8, LoadTime: time.Millisecond, ServiceTime: time.Millisecond,
		MaxLoadWait: time.Hour, AgingInterval: time.Second, MaxLoadAttempts: 3, NameSuffix: suffix,
	})
	v.dispatch.Inherit(f.now, a.Resident, parseName, usable)
}

func parseName(name string) (coord.Adapter, bool) {
	for _, a := range adapters {
		if a.String() == name {
			return a, true
		}
	}
	return coord.Adapter{}, false
}

func (f *fleet) dispatched(i int, acts []dispatch.Action) {
	for _, a := range acts {
		f.dispatchAction(i, a)
	}
}

// feed returns a function that gives the VM's dispatcher an event if it is still
// the one of this tenure.
func (f *fleet) feed(i int, event func(*dispatch.Dispatcher) []dispatch.Action) func() {
	v, tenure, life := f.vms[i], f.vms[i].tenure, f.vms[i].life
	return func() {
		if v.tenure == tenure && v.life == life && !v.dead {
			f.dispatched(i, event(v.dispatch))
		}
	}
}

func (f *fleet) dispatchAction(i int, a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActRequestPermit:
		granted := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.PermitGranted(f.now) })
		f.send(i, "turn", granted, granted)
	case dispatch.ActStart:
		f.start(i, a)
	case dispatch.ActLoad:
		f.load(i, a)
	case dispatch.ActUnload:
		f.unload(i, a)
	}
}

func (f *fleet) load(i int, a dispatch.Action) {
	v, life, fence := f.vms[i], f.vms[i].life, f.vms[i].machine.FencingToken()
	ok := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Loaded(f.now, a.Adapter) })
	failed := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.LoadFailed(f.now, a.Adapter) })
	f.send(i, "load "+a.Name, func() {
		if !f.passFence(fence) {
			f.reply(i, life, "load refused", func() { failed(); f.own(i, v.machine.HandleRejection(f.now, fence, f.engine.fence)) })
			return
		}
		if f.engine.resident[a.Name] == (coord.Adapter{}) && len(f.engine.resident) >= slots {
			f.reply(i, life, "load failed", failed)
			return
		}
		f.engine.resident[a.Name] = a.Adapter
		f.reply(i, life, "loaded", ok)
	}, failed)
}

func (f *fleet) unload(i int, a dispatch.Action) {
	v, life, fence := f.vms[i], f.vms[i].life, f.vms[i].machine.FencingToken()
	done := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Unloaded(f.now, a.Name, true) })
	failed := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Unloaded(f.now, a.Name, false) })
	f.send(i, "unload "+a.Name, func() {
		if !f.passFence(fence) {
			f.reply(i, life, "unload refused", func() { failed(); f.own(i, v.machine.HandleRejection(f.now, fence, f.engine.fence)) })
			return
		}
		for _, r := range f.engine.runs {
			if r.name == a.Name && r.life == f.vms[r.vm].life {
				f.fault = fmt.Sprintf("%s unloaded %s under request %d of vm-%d", v.id, a.Name, r.handle, r.vm)
			}
		}
		delete(f.engine.resident, a.Name)
		f.reply(i, life, "unloaded", done)
	}, failed)
}

// start is the dispatcher's word to send a request. The goroutine that brought it
// gets to run later, when the tenure may have ended and another begun.
func (f *fleet) start(i int, a dispatch.Action) {
	v, life, tenure := f.vms[i], f.vms[i].life, f.vms[i].tenure
	later := func() {
		if v.life != life {
			return
		}
		if v.tenure != tenure && f.broken != noTenureCheck {
			return // the request is answered as not run
		}
		f.write(i, a)
	}
	f.net = append(f.net, message{what: "wake", from: i, life: life, deliver: later, lost: later})
}

// write sends a request; it may be lost, and so may its answer.
func (f *fleet) write(i int, a dispatch.Action) {
	v, life := f.vms[i], f.vms[i].life
	adapter, ours := v.requests[a.Handle]
	if !ours || !v.machine.MayStart() {
		f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, a.Handle) })()
		return
	}
	v.machine.RequestStarted()
	if f.broken == noPin {
		v.dispatch.Slots().Unpin(a.Adapter)
	}
	finished := f.feed(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, a.Handle) })
	end := func() { v.machine.RequestEnded(f.now); finished() }
	arrive := func() { f.arrive(i, life, a, adapter, end) }
	f.send(i, fmt.Sprintf("run %d on %s", a.Handle, a.Name), arrive, func() {
		if f.broken == retryMaybeSent && v.life == life {
			arrive() // it had been sent after all
			f.write(i, a)
			return
		}
		f.reply(i, life, "broken", end)
	})
}

// arrive is a request reaching the engine.
func (f *fleet) arrive(i, life int, a dispatch.Action, adapter coord.Adapter, end func()) {
	got, there := f.engine.resident[a.Name]
	if !there {
		f.reply(i, life, "not loaded", end)
		return
	}
	if got != adapter {
		f.fault = fmt.Sprintf("request %d for %s ran on %s", a.Handle, adapter, got)
	}
	f.engine.ran[a.Handle]++
	if f.engine.ran[a.Handle] > 1 {
		f.fault = fmt.Sprintf("request %d ran twice", a.Handle)
	}
	f.engine.runs = append(f.engine.runs, run{vm: i, life: life, name: a.Name, handle: a.Handle, adapter: adapter})
}

// finishRun ends a request at the engine and brings its answer back.
func (f *fleet) finishRun(n int) {
	r := f.engine.runs[n]
	f.engine.runs = append(f.engine.runs[:n:n], f.engine.runs[n+1:]...)
	if !r.brokenOff.IsZero() {
		return // nobody waits for the answer
	}
	v := f.vms[r.vm]
	finished := f.feed(r.vm, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, r.handle) })
	f.reply(r.vm, r.life, "answer", func() { v.machine.RequestEnded(f.now); finished() })
}

// breakOff closes the connection of a running request, as when its caller leaves.
// The engine goes on for a while.
func (f *fleet) breakOff(n int) {
	r := &f.engine.runs[n]
	v := f.vms[r.vm]
	if !r.brokenOff.IsZero() || r.life != v.life {
		return
	}
	r.brokenOff = f.now
	ended := (*dispatch.Dispatcher).RequestAborted
	if f.broken == noGrace {
		ended = (*dispatch.Dispatcher).Finished
	}
	handle := r.handle
	if f.broken == noDrainGrace {
		v.machine.RequestEnded(f.now)
	} else {
		v.machine.RequestAborted(f.now)
	}
	f.feed(r.vm, func(d *dispatch.Dispatcher) []dispatch.Action { return ended(d, f.now, handle) })()
}

// noticeBrokenOff ends the runs whose closed connection the engine has noticed.
func (f *fleet) noticeBrokenOff() {
	f.engine.runs = slices.DeleteFunc(f.engine.runs, func(r run) bool {
		return !r.brokenOff.IsZero() && f.now.Sub(r.brokenOff) >= coord.AbortedRequestTime
	})
}

// request brings a caller's request to a VM.
func (f *fleet) request(i int, a coord.Adapter) {
	v := f.vms[i]
	if v.dead || v.dispatch == nil || !v.machine.MayStart() {
		return
	}
	f.handles++
	v.requests[f.handles] = a
	f.dispatched(i, v.dispatch.Submit(f.now, dispatch.Request{Handle: f.handles, Adapter: a, Deadline: f.now.Add(time.Hour)}))
}
