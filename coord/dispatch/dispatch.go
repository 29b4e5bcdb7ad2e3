// Package dispatch is the decision core of one target's owner. It composes the
// queue of waiting requests, the target's adapter slots and the order of loads.
//
// Feed it requests, the ends of requests and loads, and the time; carry out the
// actions it returns, in order. It promises:
//
//   - a request starts only on the adapter it names, resident and pinned;
//   - each submitted request gets exactly one ActStart or ActRefuse, unless it
//     is cancelled first;
//   - at most one load is under way; it serves every waiter of its adapter;
//   - a request that cannot meet its deadline is refused as soon as that shows.
//
// Submit and Finished are O(resident + waiting adapters).
package dispatch

import (
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/residency"
)

// phase is the step that the single load of a target has reached.
type phase int

const (
	idle phase = iota
	asked
	unloading
	loading
)

// Dispatcher is the decision core of one target.
type Dispatcher struct {
	cfg     Config
	slots   *residency.Table
	waiting map[coord.Adapter]*queue
	queued  int
	running map[uint64]run
	service time.Duration
	loadAvg time.Duration

	phase     phase
	next      coord.Adapter
	askedAt   time.Time
	askWorth  float64
	loadSince time.Time
	turnWait  time.Duration
	retryAt   time.Time
	fails     map[coord.Adapter]int
	stopped   bool
	acts      []Action
}

type run struct {
	adapter coord.Adapter
	since   time.Time
}

// New returns a Dispatcher for an empty target.
func New(cfg Config) *Dispatcher {
	return &Dispatcher{
		cfg:     cfg,
		slots:   residency.New(cfg.Residency),
		waiting: map[coord.Adapter]*queue{},
		running: map[uint64]run{},
		fails:   map[coord.Adapter]int{},
		service: cfg.ServiceTime,
		loadAvg: cfg.LoadTime,
	}
}

// Slots returns the target's slot table.
func (d *Dispatcher) Slots() *residency.Table { return d.slots }

// Running returns how many requests run.
func (d *Dispatcher) Running() int { return len(d.running) }

// Queued returns how many requests wait.
func (d *Dispatcher) Queued() int { return d.queued }

// AdapterRequests returns how many requests of a run or wait.
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

// Submit takes a request.
func (d *Dispatcher) Submit(now time.Time, r Request) []Action {
	r.arrived = now
	if !r.Adapter.IsBase() {
		d.slots.RecordRequest(now, r.Adapter)
	}
	if d.stopped {
		return d.refuseNow(r.Handle, CauseStopped, 0)
	}
	if d.queued >= d.cfg.QueueLimit {
		return d.refuseNow(r.Handle, CauseQueueFull, d.queueTime())
	}
	if !d.ready(r.Adapter) && d.slots.Blocked() {
		return d.refuseNow(r.Handle, CauseSlotsHeld, heldRetry)
	}
	wait, load := d.expectedWait(r), d.loadWait(now, r)
	if now.Add(max(wait, load)).After(r.Deadline) {
		return d.refuseNow(r.Handle, CauseDeadline, max(wait, load))
	}
	if load > d.cfg.MaxLoadWait {
		return d.refuseNow(r.Handle, CauseLoadWait, load-d.cfg.MaxLoadWait)
	}
	d.enqueue(r)
	return d.settle(now)
}

// heldRetry is when a hold may have ended.
const heldRetry = 2 * time.Second

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

// Finished takes the end of a running request that the target has let go of, whole or
// not.
func (d *Dispatcher) Finished(now time.Time, handle uint64) []Action {
	return d.ended(now, handle, d.slots.Unpin)
}

// RequestAborted takes the end of a running request whose connection was closed before the
// target had answered: the target may go on with it for a while.
func (d *Dispatcher) RequestAborted(now time.Time, handle uint64) []Action {
	return d.ended(now, handle, func(a coord.Adapter) { d.slots.UnpinAborted(now, a) })
}

func (d *Dispatcher) ended(now time.Time, handle uint64, unpin func(coord.Adapter)) []Action {
	r, ok := d.running[handle]
	if !ok {
		return nil
	}
	delete(d.running, handle)
	unpin(r.adapter)
	d.service = UpdateEWMA(d.service, now.Sub(r.since))
	return d.settle(now)
}

// Cancel forgets a waiting request whose caller has gone. For a running
// request the caller calls Finished once the target has let go of it.
func (d *Dispatcher) Cancel(now time.Time, handle uint64) []Action {
	for a, q := range d.waiting {
		if q.remove(handle) {
			d.queued--
			d.dropIfEmpty(a)
			return d.settle(now)
		}
	}
	return nil
}

func (d *Dispatcher) dropIfEmpty(a coord.Adapter) {
	if q := d.waiting[a]; q != nil && q.len() == 0 {
		delete(d.waiting, a)
	}
}

// Inherit starts the target from what it reports as resident, all of it held until
// SetHolds says otherwise.
func (d *Dispatcher) Inherit(now time.Time, names []string, parse func(string) (coord.Adapter, bool), usable bool) {
	d.slots.Inherit(now, names, parse, usable)
}

// SetHolds says what earlier owners may still use: everything that was found, or
// the given names.
func (d *Dispatcher) SetHolds(now time.Time, all bool, names []string) []Action {
	d.slots.SetHolds(all, names)
	return d.settle(now)
}

// Reconcile compares the slots with what the target reports, after an answer
// that does not fit what this owner believes. held says whether an earlier owner
// may still use what it finds.
func (d *Dispatcher) Reconcile(now time.Time, names []string, parse func(string) (coord.Adapter, bool), held bool) []Action {
	own := func(name string) (coord.Adapter, bool) {
		bare, mine := strings.CutSuffix(name, d.cfg.NameSuffix)
		if !mine {
			return coord.Adapter{}, false
		}
		return parse(bare)
	}
	d.slots.Reconcile(now, names, own, held)
	return d.settle(now)
}

// Stop refuses all that waits and everything that comes after. Running
// requests go on.
func (d *Dispatcher) Stop(time.Time) []Action {
	d.stopped = true
	d.acts = nil
	for _, q := range d.waiting {
		for _, r := range q.items {
			d.act(Action{Kind: ActRefuse, Handle: r.Handle, Cause: CauseStopped})
		}
	}
	inOrder(d.acts)
	d.waiting = map[coord.Adapter]*queue{}
	d.queued = 0
	return d.acts
}

// Tick refuses waiting requests that can no longer meet their deadline and
// retries a load after its pause.
func (d *Dispatcher) Tick(now time.Time) []Action {
	return d.settle(now)
}

func (d *Dispatcher) act(a Action) { d.acts = append(d.acts, a) }

func (d *Dispatcher) nameOf(a coord.Adapter) string {
	if s := d.slots.Find(a); s != nil {
		return s.Name
	}
	return a.String() + d.suffixFor(a)
}

func (d *Dispatcher) suffixFor(a coord.Adapter) string {
	if a.IsBase() {
		return ""
	}
	return d.cfg.NameSuffix
}
