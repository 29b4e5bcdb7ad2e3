// Package dispatch schedules the requests and adapter loads of one target, for its owner. It
// combines the queue of waiting requests, the target's adapter slots and the order of loads.
//
// Pass it requests, the ends of requests and loads, and the time; execute the returned actions in
// order. It guarantees:
//
//   - A request starts only on the adapter that it names, which is resident and pinned.
//   - Each submitted request gets exactly one ActStart or ActRefuse, unless it is cancelled first.
//   - At most one load is in progress; it serves all waiting requests of its adapter.
//   - A request that cannot meet its deadline is refused as soon as this is known.
//
// Submit and Finished are O(resident + waiting adapters).
package dispatch

import (
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/residency"
)

// phase is the step that the target's single load has reached.
type phase int

const (
	idle phase = iota
	permitRequested
	unloading
	loading
)

// Dispatcher schedules the requests and loads of one target.
type Dispatcher struct {
	cfg         Config
	slots       *residency.Table
	waiting     map[coord.Adapter]*queue
	queued      int
	running     map[uint64]runningRequest
	serviceTime time.Duration
	loadTime    time.Duration

	phase             phase
	nextLoad          coord.Adapter
	permitRequestedAt time.Time
	permitPriority    float64
	loadStarted       time.Time
	permitWait        time.Duration
	retryLoadAt       time.Time
	loadFailures      map[coord.Adapter]int
	stopped           bool
	acts              []Action
}

type runningRequest struct {
	adapter coord.Adapter
	started time.Time
}

// New returns a Dispatcher for an empty target.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:          cfg,
		slots:        residency.New(cfg.Residency),
		waiting:      map[coord.Adapter]*queue{},
		running:      map[uint64]runningRequest{},
		loadFailures: map[coord.Adapter]int{},
		serviceTime:  cfg.ServiceTime,
		loadTime:     cfg.LoadTime,
	}
}

// Slots returns the target's slot table.
func (d *Dispatcher) Slots() *residency.Table { return d.slots }

// Running returns the number of running requests.
func (d *Dispatcher) Running() int { return len(d.running) }

// Queued returns the number of waiting requests.
func (d *Dispatcher) Queued() int { return d.queued }

// AdapterRequests returns the number of running and waiting requests for adapter a.
func (d *Dispatcher) AdapterRequests(a coord.Adapter) int {
	n := 0
	if s := d.slots.Find(a); s != nil {
		n = s.Pins
	}
	if q := d.waiting[a]; q != nil {
		n += q.len()
	}
	return n
}

// Submit adds a request. It starts or refuses the request at once, or queues it.
func (d *Dispatcher) Submit(now time.Time, r Request) []Action {
	r.arrived = now
	if !r.Adapter.IsBase() {
		d.slots.RecordRequest(now, r.Adapter)
	}
	if d.stopped {
		return d.refuseNow(r.Handle, CauseStopped, 0)
	}
	if d.queued >= d.cfg.QueueLimit {
		return d.refuseNow(r.Handle, CauseQueueFull, d.queueDrainTime())
	}
	if !d.ready(r.Adapter) && d.slots.Blocked() {
		return d.refuseNow(r.Handle, CauseSlotsHeld, slotsHeldRetryDelay)
	}
	untilBatch, untilLoaded := d.expectedWait(r), d.loadWait(now, r)
	if now.Add(max(untilBatch, untilLoaded)).After(r.Deadline) {
		return d.refuseNow(r.Handle, CauseDeadline, max(untilBatch, untilLoaded))
	}
	if untilLoaded > d.cfg.MaxLoadWait {
		return d.refuseNow(r.Handle, CauseLoadWait, untilLoaded-d.cfg.MaxLoadWait)
	}
	d.enqueue(r)
	return d.schedule(now)
}

// slotsHeldRetryDelay is the retry delay while all slots are held: a hold may have ended by then.
const slotsHeldRetryDelay = 2 * time.Second

func (d *Dispatcher) refuseNow(handle uint64, c Cause, retry time.Duration) []Action {
	return []Action{{Kind: ActRefuse, Handle: handle, Cause: c, RetryAfter: retry}}
}

func (d *Dispatcher) enqueue(r Request) {
	q := d.waiting[r.Adapter]
	if q == nil {
		q = &queue{}
		d.waiting[r.Adapter] = q
	}
	q.push(r)
	d.queued++
}

// Finished records the end of a running request that the target has released, with a complete
// response or without.
func (d *Dispatcher) Finished(now time.Time, handle uint64) []Action {
	return d.endRequest(now, handle, d.slots.Unpin)
}

// RequestAborted records the end of a running request whose connection was closed before the
// target had responded. The target may continue to run it for coord.AbortedRequestTime.
func (d *Dispatcher) RequestAborted(now time.Time, handle uint64) []Action {
	return d.endRequest(now, handle, func(a coord.Adapter) { d.slots.UnpinAborted(now, a) })
}

func (d *Dispatcher) endRequest(now time.Time, handle uint64, unpin func(coord.Adapter)) []Action {
	r, ok := d.running[handle]
	if !ok {
		return nil
	}
	delete(d.running, handle)
	unpin(r.adapter)
	d.serviceTime = UpdateEWMA(d.serviceTime, now.Sub(r.started))
	return d.schedule(now)
}

// Cancel removes a waiting request whose caller has left. It has no effect on a running request:
// call Finished once the target has released it.
func (d *Dispatcher) Cancel(now time.Time, handle uint64) []Action {
	for a, q := range d.waiting {
		if q.remove(handle) {
			d.queued--
			d.dropIfEmpty(a)
			return d.schedule(now)
		}
	}
	return nil
}

func (d *Dispatcher) dropIfEmpty(a coord.Adapter) {
	if q := d.waiting[a]; q != nil && q.len() == 0 {
		delete(d.waiting, a)
	}
}

// Inherit initializes the slots from the adapters that the target reports as resident. All of them
// are held until SetHolds changes that. If usable is false, this owner runs no requests on them.
func (d *Dispatcher) Inherit(now time.Time, names []string, parse func(string) (coord.Adapter, bool), usable bool) {
	d.slots.Inherit(now, names, parse, usable)
}

// SetHolds sets which adapters earlier owners may still use: all inherited ones, or the given names.
func (d *Dispatcher) SetHolds(now time.Time, all bool, names []string) []Action {
	d.slots.SetHolds(all, names)
	return d.schedule(now)
}

// Reconcile compares the slots with the adapters that the target reports, after a response that
// contradicts this owner's state. held reports whether an earlier owner may still use adapters
// found this way.
func (d *Dispatcher) Reconcile(now time.Time, names []string, parse func(string) (coord.Adapter, bool), held bool) []Action {
	parseOwn := func(name string) (coord.Adapter, bool) {
		adapterName, isOwn := strings.CutSuffix(name, d.cfg.NameSuffix)
		if !isOwn {
			return coord.Adapter{}, false
		}
		return parse(adapterName)
	}
	d.slots.Reconcile(now, names, parseOwn, held)
	return d.schedule(now)
}

// Stop refuses all waiting requests and all later ones. Running requests continue.
func (d *Dispatcher) Stop(time.Time) []Action {
	d.stopped = true
	d.acts = nil
	for _, q := range d.waiting {
		for _, r := range q.items {
			d.emit(Action{Kind: ActRefuse, Handle: r.Handle, Cause: CauseStopped})
		}
	}
	sortByHandle(d.acts)
	d.waiting = map[coord.Adapter]*queue{}
	d.queued = 0
	return d.acts
}

// Tick refuses waiting requests whose deadline has passed, and requests a load permit again after
// the retry delay of a denied one.
func (d *Dispatcher) Tick(now time.Time) []Action {
	return d.schedule(now)
}

func (d *Dispatcher) emit(a Action) { d.acts = append(d.acts, a) }

func (d *Dispatcher) engineName(a coord.Adapter) string {
	if s := d.slots.Find(a); s != nil {
		return s.Name
	}
	return a.String() + d.nameSuffix(a)
}

func (d *Dispatcher) nameSuffix(a coord.Adapter) string {
	if a.IsBase() {
		return ""
	}
	return d.cfg.NameSuffix
}
