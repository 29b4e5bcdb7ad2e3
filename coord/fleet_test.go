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

// fleet simulates a few VMs that give orders to one engine over a network that delays,
// drops and reorders messages. A VM is paused while none of its messages is delivered.
// The schedules in safety_test.go choose each next event.
type fleet struct {
	now        time.Time
	fencing    bool
	brokenRule rule
	engine     engine
	vms        []*vm
	net        []message
	lastHandle uint64
	violation  string
}

// rule is a rule of the system that a test breaks deliberately, described by its violation.
type rule string

const (
	noRule         rule = ""
	noTokenCheck   rule = "an engine that must refuse old fencing tokens accepts them"
	noHolds        rule = "adapters of an earlier owner may be evicted at once"
	earlyRelease   rule = "a VM releases while its requests run"
	sharedNames    rule = "names are shared at an engine that ignores fencing tokens"
	retryMaybeSent rule = "a request that may have been sent is sent again"
	noPin          rule = "a running request does not pin its adapter"
	noTermCheck    rule = "a request started in one ownership term is sent in the next"
	noAbortGrace   rule = "an adapter is free as soon as its request is aborted"
	noDrainGrace   rule = "an ownership term is over as soon as its last request is aborted"
)

// engine is the target. It unloads an adapter even while requests use it.
type engine struct {
	fencingToken uint64
	resident     map[string]coord.Adapter
	runs         []run
	runCounts    map[uint64]int
}

type run struct {
	vm          int
	incarnation int
	name        string
	handle      uint64
	adapter     coord.Adapter
	// abortedAt is the time at which the VM closed the connection, or zero. The engine
	// ends the run within coord.AbortedRequestTime.
	abortedAt time.Time
}

// vm holds the state machines and the requests of one VM.
type vm struct {
	id          coord.VMID
	incarnation int
	dead        bool
	machine     *ownership.Machine
	dispatcher  *dispatch.Dispatcher
	term        int
	requests    map[uint64]coord.Adapter
	members     []coord.VMID
}

// message is a message in transit. deliver is called when it arrives, lost when it is
// dropped.
type message struct {
	label       string
	from        int
	incarnation int
	deliver     func()
	lost        func()
}

const slots = 2

var adapters = []coord.Adapter{{Name: "a", Version: "1"}, {Name: "b", Version: "1"}, {Name: "c", Version: "2"}}

func newFleet(vms int, fencing bool, brokenRule rule) *fleet {
	f := &fleet{now: time.Unix(1000, 0), fencing: fencing, brokenRule: brokenRule}
	f.engine = engine{resident: map[string]coord.Adapter{}, runCounts: map[uint64]int{}}
	var ids []coord.VMID
	for i := range vms {
		ids = append(ids, coord.VMID(fmt.Sprintf("vm-%d", i)))
	}
	for _, id := range ids {
		f.vms = append(f.vms, &vm{id: id, members: ids})
	}
	for i := range f.vms {
		f.boot(i)
	}
	return f
}

// boot starts a new process of a VM.
func (f *fleet) boot(i int) {
	v := f.vms[i]
	v.incarnation++
	v.dead = false
	v.machine = ownership.New(v.id, uint16(i))
	v.dispatcher = nil
	v.requests = map[uint64]coord.Adapter{}
}

// kill ends a VM's process. Its connections close, which ends its requests at the engine.
// Messages that it has sent may still arrive; a request among them has no caller anymore.
func (f *fleet) kill(i int) {
	f.vms[i].dead = true
	f.vms[i].incarnation++
	remaining := f.engine.runs[:0]
	for _, r := range f.engine.runs {
		if r.vm != i {
			remaining = append(remaining, r)
		}
	}
	f.engine.runs = remaining
}

func (f *fleet) send(from int, label string, deliver, lost func()) {
	f.net = append(f.net, message{label: label, from: from, incarnation: f.vms[from].incarnation, deliver: deliver, lost: lost})
}

// removeMessage removes message n from the network and returns it.
func (f *fleet) removeMessage(n int) message {
	m := f.net[n]
	f.net = append(f.net[:n:n], f.net[n+1:]...)
	return m
}

// reply sends a response back to a VM. It has no effect if that process has ended since.
// A reply is never lost: dropping it delivers it.
func (f *fleet) reply(to, incarnation int, label string, deliver func()) {
	deliverIfLive := func() {
		if f.vms[to].incarnation == incarnation && !f.vms[to].dead {
			deliver()
		}
	}
	f.net = append(f.net, message{label: label, from: to, incarnation: incarnation, deliver: deliverIfLive, lost: deliverIfLive})
}

func (f *fleet) engineReport() ownership.Report {
	r := ownership.Report{FencingToken: f.engine.fencingToken}
	for n := range f.engine.resident {
		r.Resident = append(r.Resident, n)
	}
	slices.Sort(r.Resident)
	return r
}

// checkFencingToken is the engine's check of the fencing token of an order. It reports
// whether the engine accepts the order.
func (f *fleet) checkFencingToken(token uint64) bool {
	if !f.fencing || f.brokenRule == noTokenCheck {
		return true
	}
	if token < f.engine.fencingToken {
		return false
	}
	f.engine.fencingToken = token
	return true
}

func (f *fleet) executeOwnership(i int, acts []ownership.Action) {
	for _, a := range acts {
		f.executeOwnershipAction(i, a)
	}
}

func (f *fleet) executeOwnershipAction(i int, a ownership.Action) {
	v, incarnation := f.vms[i], f.vms[i].incarnation
	switch a.Kind {
	case ownership.ActRead:
		f.send(i, "read", func() {
			r := f.engineReport()
			f.reply(i, incarnation, "report", func() { f.executeOwnership(i, v.machine.HandleReport(f.now, r)) })
		}, func() {})
	case ownership.ActClaim:
		f.send(i, "claim", func() { f.claim(i, incarnation, a.FencingToken) }, func() {})
	case ownership.ActRequestRelease:
		f.requestRelease(i, a)
	case ownership.ActServe:
		f.serve(i, a)
	case ownership.ActSetHolds:
		f.executeDispatch(i, v.dispatcher.SetHolds(f.now, a.All && f.brokenRule != noHolds, a.Names))
	case ownership.ActStop:
		if v.dispatcher != nil {
			f.executeDispatch(i, v.dispatcher.Stop(f.now))
		}
	}
}

func (f *fleet) claim(i, incarnation int, token uint64) {
	v := f.vms[i]
	if !f.checkFencingToken(token) {
		current := f.engine.fencingToken
		f.reply(i, incarnation, "claim refused", func() { f.executeOwnership(i, v.machine.HandleRejection(f.now, token, current)) })
		return
	}
	r := f.engineReport()
	f.reply(i, incarnation, "claimed", func() { f.executeOwnership(i, v.machine.HandleClaimAccepted(f.now, token, r)) })
}

func (f *fleet) requestRelease(i int, a ownership.Action) {
	v, incarnation := f.vms[i], f.vms[i].incarnation
	for j, other := range f.vms {
		if other.id != a.VM {
			continue
		}
		f.send(i, "release request", func() {
			if other.dead {
				return
			}
			released, acts := other.machine.HandleReleaseRequest(f.now, a.FencingToken)
			f.executeOwnership(j, acts)
			if !released && f.brokenRule != earlyRelease {
				return
			}
			var inUse []string
			if other.dispatcher != nil && f.brokenRule != earlyRelease {
				inUse = other.dispatcher.Slots().InUse(f.now)
			}
			f.reply(i, incarnation, "released", func() { f.executeOwnership(i, v.machine.HandleRelease(a.VM, a.FencingToken, inUse)) })
		}, func() {})
	}
}

func (f *fleet) serve(i int, a ownership.Action) {
	v := f.vms[i]
	suffix := ""
	usable := f.fencing || f.brokenRule == sharedNames
	if !usable {
		suffix = fmt.Sprintf("~%d.%d", a.FencingToken, v.incarnation)
	}
	v.term++
	v.dispatcher = dispatch.New(dispatch.Config{
		Residency: residency.Config{Slots: slots, HeatHalfLife: time.Second},
		Batch:     4, QueueLimit: 8, LoadTime: time.Millisecond, ServiceTime: time.Millisecond,
		MaxLoadWait: time.Hour, AgingInterval: time.Second, MaxLoadAttempts: 3, NameSuffix: suffix,
	})
	v.dispatcher.Inherit(f.now, a.Resident, parseName, usable)
}

func parseName(name string) (coord.Adapter, bool) {
	for _, a := range adapters {
		if a.String() == name {
			return a, true
		}
	}
	return coord.Adapter{}, false
}

func (f *fleet) executeDispatch(i int, acts []dispatch.Action) {
	for _, a := range acts {
		f.executeDispatchAction(i, a)
	}
}

// dispatcherEvent returns a function that applies an event to the VM's dispatcher if the
// VM is still in the same incarnation and ownership term.
func (f *fleet) dispatcherEvent(i int, event func(*dispatch.Dispatcher) []dispatch.Action) func() {
	v, term, incarnation := f.vms[i], f.vms[i].term, f.vms[i].incarnation
	return func() {
		if v.term == term && v.incarnation == incarnation && !v.dead {
			f.executeDispatch(i, event(v.dispatcher))
		}
	}
}

func (f *fleet) executeDispatchAction(i int, a dispatch.Action) {
	switch a.Kind {
	case dispatch.ActRequestPermit:
		granted := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.PermitGranted(f.now) })
		f.send(i, "permit", granted, granted)
	case dispatch.ActStart:
		f.scheduleSend(i, a)
	case dispatch.ActLoad:
		f.load(i, a)
	case dispatch.ActUnload:
		f.unload(i, a)
	}
}

func (f *fleet) load(i int, a dispatch.Action) {
	v, incarnation, token := f.vms[i], f.vms[i].incarnation, f.vms[i].machine.FencingToken()
	ok := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Loaded(f.now, a.Adapter) })
	failed := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.LoadFailed(f.now, a.Adapter) })
	f.send(i, "load "+a.Name, func() {
		if !f.checkFencingToken(token) {
			f.reply(i, incarnation, "load refused", func() {
				failed()
				f.executeOwnership(i, v.machine.HandleRejection(f.now, token, f.engine.fencingToken))
			})
			return
		}
		if f.engine.resident[a.Name] == (coord.Adapter{}) && len(f.engine.resident) >= slots {
			f.reply(i, incarnation, "load failed", failed)
			return
		}
		f.engine.resident[a.Name] = a.Adapter
		f.reply(i, incarnation, "loaded", ok)
	}, failed)
}

func (f *fleet) unload(i int, a dispatch.Action) {
	v, incarnation, token := f.vms[i], f.vms[i].incarnation, f.vms[i].machine.FencingToken()
	done := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Unloaded(f.now, a.Name, true) })
	failed := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Unloaded(f.now, a.Name, false) })
	f.send(i, "unload "+a.Name, func() {
		if !f.checkFencingToken(token) {
			f.reply(i, incarnation, "unload refused", func() {
				failed()
				f.executeOwnership(i, v.machine.HandleRejection(f.now, token, f.engine.fencingToken))
			})
			return
		}
		for _, r := range f.engine.runs {
			if r.name == a.Name && r.incarnation == f.vms[r.vm].incarnation {
				f.violation = fmt.Sprintf("%s unloaded %s under request %d of vm-%d", v.id, a.Name, r.handle, r.vm)
			}
		}
		delete(f.engine.resident, a.Name)
		f.reply(i, incarnation, "unloaded", done)
	}, failed)
}

// scheduleSend handles the dispatcher's action to send a request. The goroutine of the
// request runs later, when the ownership term may have ended and another begun.
func (f *fleet) scheduleSend(i int, a dispatch.Action) {
	v, incarnation, term := f.vms[i], f.vms[i].incarnation, f.vms[i].term
	wake := func() {
		if v.incarnation != incarnation {
			return
		}
		if v.term != term && f.brokenRule != noTermCheck {
			return // the request is answered as not run
		}
		f.sendRequest(i, a)
	}
	f.net = append(f.net, message{label: "wake", from: i, incarnation: incarnation, deliver: wake, lost: wake})
}

// sendRequest sends a request. The request or its response may be lost.
func (f *fleet) sendRequest(i int, a dispatch.Action) {
	v, incarnation := f.vms[i], f.vms[i].incarnation
	adapter, known := v.requests[a.Handle]
	if !known || !v.machine.MayStart() {
		f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, a.Handle) })()
		return
	}
	v.machine.RequestStarted()
	if f.brokenRule == noPin {
		v.dispatcher.Slots().Unpin(a.Adapter)
	}
	finished := f.dispatcherEvent(i, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, a.Handle) })
	end := func() { v.machine.RequestEnded(f.now); finished() }
	arrive := func() { f.receiveRequest(i, incarnation, a, adapter, end) }
	f.send(i, fmt.Sprintf("run %d on %s", a.Handle, a.Name), arrive, func() {
		if f.brokenRule == retryMaybeSent && v.incarnation == incarnation {
			arrive() // the first attempt did reach the engine
			f.sendRequest(i, a)
			return
		}
		f.reply(i, incarnation, "broken", end)
	})
}

// receiveRequest handles the arrival of a request at the engine.
func (f *fleet) receiveRequest(i, incarnation int, a dispatch.Action, adapter coord.Adapter, end func()) {
	got, isResident := f.engine.resident[a.Name]
	if !isResident {
		f.reply(i, incarnation, "not loaded", end)
		return
	}
	if got != adapter {
		f.violation = fmt.Sprintf("request %d for %s ran on %s", a.Handle, adapter, got)
	}
	f.engine.runCounts[a.Handle]++
	if f.engine.runCounts[a.Handle] > 1 {
		f.violation = fmt.Sprintf("request %d ran twice", a.Handle)
	}
	f.engine.runs = append(f.engine.runs, run{vm: i, incarnation: incarnation, name: a.Name, handle: a.Handle, adapter: adapter})
}

// finishRun ends a request at the engine and sends its response back.
func (f *fleet) finishRun(n int) {
	r := f.engine.runs[n]
	f.engine.runs = append(f.engine.runs[:n:n], f.engine.runs[n+1:]...)
	if !r.abortedAt.IsZero() {
		return // the connection is closed
	}
	v := f.vms[r.vm]
	finished := f.dispatcherEvent(r.vm, func(d *dispatch.Dispatcher) []dispatch.Action { return d.Finished(f.now, r.handle) })
	f.reply(r.vm, r.incarnation, "answer", func() { v.machine.RequestEnded(f.now); finished() })
}

// abortRun closes the connection of a running request, as when its caller disconnects.
// The engine keeps running the request for up to coord.AbortedRequestTime.
func (f *fleet) abortRun(n int) {
	r := &f.engine.runs[n]
	v := f.vms[r.vm]
	if !r.abortedAt.IsZero() || r.incarnation != v.incarnation {
		return
	}
	r.abortedAt = f.now
	endRequest := (*dispatch.Dispatcher).RequestAborted
	if f.brokenRule == noAbortGrace {
		endRequest = (*dispatch.Dispatcher).Finished
	}
	handle := r.handle
	if f.brokenRule == noDrainGrace {
		v.machine.RequestEnded(f.now)
	} else {
		v.machine.RequestAborted(f.now)
	}
	f.dispatcherEvent(r.vm, func(d *dispatch.Dispatcher) []dispatch.Action { return endRequest(d, f.now, handle) })()
}

// endAbortedRuns ends the runs whose closed connection the engine has detected by now.
func (f *fleet) endAbortedRuns() {
	f.engine.runs = slices.DeleteFunc(f.engine.runs, func(r run) bool {
		return !r.abortedAt.IsZero() && f.now.Sub(r.abortedAt) >= coord.AbortedRequestTime
	})
}

// submitRequest submits a caller's request to a VM.
func (f *fleet) submitRequest(i int, a coord.Adapter) {
	v := f.vms[i]
	if v.dead || v.dispatcher == nil || !v.machine.MayStart() {
		return
	}
	f.lastHandle++
	v.requests[f.lastHandle] = a
	f.executeDispatch(i, v.dispatcher.Submit(f.now, dispatch.Request{Handle: f.lastHandle, Adapter: a, Deadline: f.now.Add(time.Hour)}))
}
