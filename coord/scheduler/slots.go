package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// slotState is what is known of an adapter at a target.
type slotState int

const (
	// resident adapters can run requests.
	resident slotState = iota
	// loading adapters take a place and run nothing yet.
	loading
	// unloading adapters still take a place.
	unloading
)

// slot is one place for an adapter at a target.
type slot struct {
	state   slotState
	version int64
	// readyAt is when a load is expected to be over.
	readyAt time.Time
	// proven says that the adapter is known to be there since its last load: a report showed
	// it, or a request that was granted after the load ran. Answers to orders do not say so,
	// since engines may give the same ones while a load goes on, nor do requests that other VMs
	// were granted, which may not have reached the engine yet. An unload's answer frees the
	// place of such an adapter only; else a report is read first, which keeps the engine from
	// orders for reportLag. That concerns 1 in 100 unloads on days like the standard ones, and
	// up to 1 in 5 where many new adapters are asked for by callers that leave.
	proven bool
	// due is when a load was expected to be over at first.
	due time.Time
	// begun is when its order was answered, as far as that says when the load began; zero:
	// it is not known. number names the load, and expected is how long it is to take.
	begun    time.Time
	number   uint64
	expected time.Duration
	// stretched says that others were on their way as it began, so many that all may have
	// taken longer; mistaken that the engine was believed to keep the adapter and did not.
	stretched, mistaken bool
	// refusedAfter is the time from begun to the last request that came too early.
	refusedAfter time.Duration
	// since is when the state was entered.
	since   time.Time
	lastUse time.Time
	inUse   int
	// heldUntil is until when a request that was broken off may still run.
	heldUntil time.Time
	// ordered is set once the target has acknowledged the load.
	ordered bool
	// answered is when the order was answered, or given up; zero while it is under
	// way. Until then, and for the lag of reports after it, a report says nothing
	// about this place. Also zero where nothing was ordered.
	answered time.Time
	// promised is how many tokens of prompts wait for the load, to be read after it.
	promised int
	// fromStore loads count towards Scheduler.limit; counted says that this one is.
	fromStore, counted bool
	// refused says that the target refused a request since the load was not over.
	refused bool
	// judged is the start of a load from the store that no request has shown to be in time
	// or late; zero: there is nothing to show.
	judged loadlimit.StartedLoad
}

// target is one engine.
type target struct {
	id    string
	hash  uint64 // of the id
	ready bool
	// unlisted is since when it has not been announced; zero: it is.
	unlisted time.Time
	// replaced says that its process is gone and another one has its place.
	replaced bool
	// models that the target holds.
	models map[string]bool
	// modelLoad is when the base model under way is expected; zero: none is.
	modelLoad time.Time
	// modelOrdered is the base model that it was ordered to load last; empty: none.
	modelOrdered string
	slots        map[coord.AdapterRef]*slot
	// homes is the index of all targets by what they hold; put and remove keep it.
	homes homeIndex
	// crowd fades like the heat of adapters: requests granted here lately.
	crowd heat
	// kept remembers adapters held before, which load faster: the time when each
	// was last held.
	kept map[coord.AdapterRef]time.Time
	// cached remembers parts of prompts read here: the time of last use.
	cached map[partKey]time.Time

	running int
	tokens  int
	// engine is what it has to read, and how fast it does.
	engine enginecost.Engine

	// readAt is when to read the target's report next; zero: not needed.
	readAt time.Time
	// reading is when a read began; zero: none is under way.
	reading time.Time
	// trusted says that slots are right as far as orders go.
	trusted bool
	// adoptedAt is when the last report that was taken over was asked for; zero: none was.
	adoptedAt time.Time
	// orders is how many orders the target had taken when it made its last report, and
	// ordersSince when a report that said so was first asked for.
	orders      uint64
	ordersSince time.Time
	// sealed says that the target has obeyed this VM's number, so that no order of an
	// earlier holder of the lease can follow.
	sealed bool
	// inherited says that the target was there when this VM gained its lease, so that
	// the holder before may go on ordering it until it has obeyed this VM.
	inherited bool
	// sealing is the adapter of the order that is to bring that about; nil: none is
	// under way.
	sealing *coord.AdapterRef

	health health
}

// promise counts the prompt of a request that waits for a load at the target.
func (t *target) promise(r *Request) {
	sl := t.slots[r.Ref]
	if sl == nil || sl.state != loading || r.waitsFor == sl {
		return
	}
	r.waitsFor = sl
	sl.promised += t.uncached(r)
}

// promised is how many tokens of prompts wait for loads at the target.
func (t *target) promised() int {
	n := 0
	for _, sl := range t.slots {
		if sl.state == loading {
			n += sl.promised
		}
	}
	return n
}

// told reports whether a report whose reading began then shows what came of the
// last order for the place.
func (sl *slot) told(began time.Time) bool {
	if sl.state == resident && sl.answered.IsZero() {
		return true // nothing was ordered for it here
	}
	return !sl.answered.IsZero() && began.Sub(sl.answered) >= reportLag
}

// doubtful reports whether a load was ordered and nobody knows whether it was
// taken. The place counts; requests do not wait for it.
func (sl *slot) doubtful() bool {
	return sl.state == loading && !sl.ordered && !sl.answered.IsZero()
}

// homeIndex lists the targets that hold, load or unload an adapter.
type homeIndex map[coord.AdapterRef][]*target

// put gives an adapter a place at the target.
func (t *target) put(ref coord.AdapterRef, sl *slot) {
	if t.slots[ref] == nil {
		t.homes[ref] = append(t.homes[ref], t)
	}
	t.slots[ref] = sl
}

// basis is what an order for an adapter rests on.
func (s *Scheduler) basis(now time.Time, t *target, ref coord.AdapterRef) Basis {
	b := Basis{
		Occupied: len(t.slots), Slots: s.cfg.AdapterSlots, InTransit: t.inTransit(), Cached: t.keeps(ref), ReportAge: -1,
	}
	if !t.adoptedAt.IsZero() {
		b.ReportAge = now.Sub(t.adoptedAt)
	}
	if sl := t.slots[ref]; sl != nil {
		b.Confirmed = sl.proven
	}
	for _, sl := range t.slots {
		if sl.state == resident && !sl.proven {
			b.Unconfirmed++
		}
	}
	return b
}

// remove frees an adapter's place at the target.
func (t *target) remove(ref coord.AdapterRef) {
	if t.slots[ref] == nil {
		return
	}
	delete(t.slots, ref)
	rest := slices.DeleteFunc(t.homes[ref], func(o *target) bool { return o == t })
	if len(rest) == 0 {
		delete(t.homes, ref)
		return
	}
	t.homes[ref] = rest
}

func newTarget(l *AnnouncedTarget, homes homeIndex) *target {
	t := &target{
		id: l.ID, hash: rendezvous.Hash(l.ID), homes: homes,
		models: map[string]bool{},
		slots:  map[coord.AdapterRef]*slot{},
		kept:   map[coord.AdapterRef]time.Time{},
		cached: map[partKey]time.Time{},
	}
	return t
}

// listed takes an announcement. Before the first report it is all there is to
// know; later, reports and answers are newer.
func (t *target) listed(now time.Time, l *AnnouncedTarget) {
	if t.replaced {
		return
	}
	t.ready = l.Ready
	for _, h := range l.Resident {
		if h.Ref.IsBase() {
			t.models[h.Ref.Model] = true
			continue
		}
		if !t.trusted && t.slots[h.Ref] == nil {
			t.put(h.Ref, &slot{state: resident, version: h.Version, since: now, lastUse: now})
		}
	}
	t.backOnList(now)
}

// backOnList has the report of a target that was not listed for a while read before its next
// order.
func (t *target) backOnList(now time.Time) {
	if t.unlisted.IsZero() {
		return
	}
	t.unlisted = time.Time{}
	t.distrust(now)
}

// drop forgets an adapter that the target turned out not to hold.
func (s *Scheduler) drop(t *target, ref coord.AdapterRef) {
	if ref.IsBase() {
		delete(t.models, ref.Model)
		return
	}
	if sl := t.slots[ref]; sl != nil && sl.state == resident {
		s.free(t, ref, FreedByRequest)
	}
}

// hold keeps an adapter while a request that was broken off may still run.
func (t *target) hold(now time.Time, ref coord.AdapterRef) {
	if sl := t.slots[ref]; sl != nil {
		sl.heldUntil = now.Add(coord.AbortedRequestTime)
	}
}
