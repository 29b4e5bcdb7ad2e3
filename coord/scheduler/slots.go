package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// slotState is the known state of an adapter at a target.
type slotState int

const (
	// resident adapters can run requests.
	resident slotState = iota
	// loading adapters occupy a slot and cannot run requests yet.
	loading
	// unloading adapters still occupy a slot.
	unloading
)

// slot is an occupied adapter slot of a target.
type slot struct {
	state   slotState
	version int64
	// newest is the newest version of the adapter as of Scheduler.versionChanges newestAt.
	newest   int64
	newestAt uint64
	// readyAt is the expected end of a load, or the time of the next attempt to use the adapter
	// after a request was rejected because the load was unfinished.
	readyAt time.Time
	// confirmed reports that the adapter is known to be resident since its last load: a report
	// showed it, or a request that was granted after the load ran. Answers to orders don't confirm
	// it, because engines may give the same answers while a load continues. Neither do requests
	// granted to other VMs, which may not have reached the engine yet. The answer to an unload
	// frees the slot only if the adapter is confirmed. Otherwise a report is read first, which
	// blocks orders to the engine for reportLag. This affects 1 in 100 unloads under usual
	// traffic, and up to 1 in 5 if callers that leave request many new adapters.
	confirmed bool
	// initialReadyAt is the expected end of the load when it was ordered or acknowledged.
	// Rejections do not change it.
	initialReadyAt time.Time
	// startedAt is when the load order was answered, as far as that indicates when the load began;
	// zero if unknown, and answerLatency the time from the order until then. loadNumber identifies the load, and expectedDuration is its expected
	// duration.
	startedAt        time.Time
	answerLatency    time.Duration
	loadNumber       uint64
	expectedDuration time.Duration
	// contended reports that so many other loads were in progress at its start that all of them may
	// have been slowed down. cacheMissed reports that the engine was expected to have the adapter
	// cached and did not.
	contended, cacheMissed bool
	// rejectedAfter is the time from startedAt to the last request that was granted too early.
	rejectedAfter time.Duration
	// stateSince is when the state was entered.
	stateSince time.Time
	lastUsed   time.Time
	inUse      int
	// pinnedUntil is the time until which an aborted request may still run on the adapter.
	pinnedUntil time.Time
	// acknowledged is set once the target has accepted the load, as shown by the answer to the
	// order or by a report that lists the load as pending.
	acknowledged bool
	// answeredAt is when the order was answered or given up. It is zero while the order is in
	// flight, and if no order was sent. During an order and for reportLag after its answer, reports
	// are not evidence about this slot.
	answeredAt time.Time
	// promptTokens is the number of prompt tokens that wait for the load, to be prefilled after it.
	promptTokens int
	// fromStore loads count towards Scheduler.loadLimit; counted reports that this load is counted.
	fromStore, counted bool
	// cause is why the adapter was loaded.
	cause LoadCause
	// rejected reports that the target rejected a request because the load was unfinished.
	rejected bool
	// startedLoad is the start of a load from the store that no request has shown to be on time or
	// late yet; the zero value if there is none.
	startedLoad loadlimit.StartedLoad
	// lateLoad is the start of a load that was found to be late and whose duration is not known
	// yet; the zero value if there is none.
	lateLoad loadlimit.StartedLoad
}

// target is the state of one engine.
type target struct {
	id     string
	idHash uint64 // hash of id
	ready  bool
	// zone is the target's availability zone; empty: unknown.
	zone string
	// announcedSoftware is the version of the target's software that it announced; empty: none.
	announcedSoftware string
	// restartedAt is when the target was found to have restarted under the same id, perhaps with other
	// software than it announced before; zero if its announcement is newer.
	restartedAt time.Time
	// acceptedCount is the least number of orders that the target has accepted, by its reports and its
	// answers, the last of which was at acceptedAt.
	acceptedCount uint64
	acceptedAt    time.Time
	// unlistedSince is when the target stopped being announced; zero while it is announced.
	unlistedSince time.Time
	// replaced reports that the target's process is gone and that another one has replaced it.
	replaced bool
	// models is the set of base models that the target holds.
	models map[string]bool
	// modelLoadDue is the expected end of the base model load in progress; zero if there is none.
	modelLoadDue time.Time
	// lastOrderedModel is the base model that the target was last ordered to load; empty if there
	// is none.
	lastOrderedModel string
	slots            map[coord.AdapterRef]*slot
	// held lists the entries of slots. Every round goes over the slots of all targets, and a list of
	// a dozen entries takes a tenth of the time of a map.
	held  []heldSlot
	cache roundCache
	// replicas is the index of the replicas at all targets; addSlot and removeSlot maintain it.
	replicas replicaIndex
	// recentGrants counts the recent grants at this target; it decays like the heat of adapters.
	recentGrants heat
	// cachedAdapters has the adapters that the target held, which load faster, with the time when
	// each was last held.
	cachedAdapters map[coord.AdapterRef]time.Time
	// cachedPrefixes has the prompt prefixes that the target has prefilled, with the time of their
	// last use.
	cachedPrefixes map[prefixKey]time.Time

	running int
	tokens  int
	// placeWaiters is the number of requests that wait for a place in the batch, counted anew in each
	// round.
	placeWaiters int
	// runningByPriority has the number of running requests by their engine priority.
	runningByPriority [lowestPriority + 1]int
	// engine models the prompts that the engine has to prefill and its speed.
	engine enginecost.Engine
	// pace is the engine's decode pace.
	pace enginecost.Pace

	// readReportAt is when to read the target's report next; zero if no read is needed.
	readReportAt time.Time
	// readingSince is when the current read began; zero if none is in flight.
	readingSince time.Time
	// reconciled reports that the slots are accurate enough to base orders on.
	reconciled bool
	// appliedReportAt is when the last applied report was requested; zero if there was none.
	appliedReportAt time.Time
	// orderCount is the number of orders that the target had accepted according to its last report,
	// and orderCountSince when a report with this number was first requested.
	orderCount      uint64
	orderCountSince time.Time
	// observed is what the observation of other VMs' orders has found.
	observed observedOrders
	// fenced reports that the target has accepted this VM's fencing token, and therefore rejects
	// the orders of earlier lease holders.
	fenced bool
	// predatesLease reports that the target existed when this VM acquired its lease. The previous
	// holder may send it orders until the target is fenced.
	predatesLease bool
	// pendingFirstOrder is the adapter of the order that will make the target fenced; nil if none
	// is in flight.
	pendingFirstOrder *coord.AdapterRef

	health health
	// failuresByVM divides the consecutive failures of health by the VMs that reported them, since
	// some may have to be withdrawn.
	failuresByVM map[coord.VMID]vmFailures
	// prober is the request that probes the target while it is ejected; zero if there is none.
	prober Key
}

// addPendingPrompt counts the prompt of a request that waits for a load at the target.
func (t *target) addPendingPrompt(r *Request) {
	sl := t.slots[r.Ref]
	if sl == nil || sl.state != loading || r.awaitedSlot == sl {
		return
	}
	r.awaitedSlot = sl
	sl.promptTokens += t.uncachedTokens(r)
	t.cache = roundCache{}
}

// pendingPromptTokens returns the number of prompt tokens that wait for loads at the target.
func (t *target) pendingPromptTokens() int {
	n := 0
	for _, sl := range t.held {
		if sl.state == loading {
			n += sl.promptTokens
		}
	}
	return n
}

// isReflectedIn reports whether a report requested at the given time reflects the result of the
// last order for the slot.
func (sl *slot) isReflectedIn(requestedAt time.Time) bool {
	if sl.state == resident && sl.answeredAt.IsZero() {
		return true // no order was issued for this slot
	}
	return !sl.answeredAt.IsZero() && requestedAt.Sub(sl.answeredAt) >= reportLag
}

// isUnconfirmedLoad reports whether a load was ordered and it is unknown whether the target
// accepted the order. Its slot is occupied, but requests do not wait for it.
func (sl *slot) isUnconfirmedLoad() bool {
	return sl.state == loading && !sl.acknowledged && !sl.answeredAt.IsZero()
}

// replicaIndex lists the targets that hold, load or unload an adapter.
type replicaIndex map[coord.AdapterRef][]*target

// addSlot assigns a slot at the target to an adapter.
func (t *target) addSlot(ref coord.AdapterRef, sl *slot) {
	if t.slots[ref] == nil {
		t.replicas[ref] = append(t.replicas[ref], t)
	} else {
		t.unlist(ref)
	}
	t.slots[ref] = sl
	t.held = append(t.held, heldSlot{slot: sl, ref: ref})
	t.cache = roundCache{}
}

// orderBasis returns the state on which an order for an adapter is based.
func (s *Scheduler) orderBasis(now time.Time, t *target, ref coord.AdapterRef) Basis {
	b := Basis{
		Occupied: len(t.slots), Slots: s.cfg.AdapterSlots, InTransit: t.inTransit(), Cached: t.isCached(ref), ReportAge: -1,
	}
	if !t.appliedReportAt.IsZero() {
		b.ReportAge = now.Sub(t.appliedReportAt)
	}
	if sl := t.slots[ref]; sl != nil {
		b.Confirmed = sl.confirmed
	}
	for _, sl := range t.held {
		if sl.state == resident && !sl.confirmed {
			b.Unconfirmed++
		}
	}
	return b
}

// heldSlot is an entry of a target's slots.
type heldSlot struct {
	*slot
	ref coord.AdapterRef
}

// unlist removes an adapter from the list of slots.
func (t *target) unlist(ref coord.AdapterRef) {
	t.held = slices.DeleteFunc(t.held, func(h heldSlot) bool { return h.ref == ref })
}

// removeSlot frees an adapter's slot at the target.
func (t *target) removeSlot(ref coord.AdapterRef) {
	if t.slots[ref] == nil {
		return
	}
	delete(t.slots, ref)
	t.unlist(ref)
	t.cache = roundCache{}
	remaining := slices.DeleteFunc(t.replicas[ref], func(other *target) bool { return other == t })
	if len(remaining) == 0 {
		delete(t.replicas, ref)
		return
	}
	t.replicas[ref] = remaining
}

func newTarget(l *AnnouncedTarget, replicas replicaIndex) *target {
	t := &target{
		id: l.ID, idHash: rendezvous.Hash(l.ID), replicas: replicas,
		models:         map[string]bool{},
		slots:          map[coord.AdapterRef]*slot{},
		cachedAdapters: map[coord.AdapterRef]time.Time{},
		cachedPrefixes: map[prefixKey]time.Time{},
	}
	return t
}

// applyAnnouncement applies an announcement of the target. Before the first report it is the only
// information; later, reports and answers are newer.
func (t *target) applyAnnouncement(now time.Time, l *AnnouncedTarget) {
	if t.replaced {
		return
	}
	t.ready, t.zone = l.Ready, l.Zone
	if t.announcedSoftware != l.SoftwareVersion {
		t.announcedSoftware, t.restartedAt = l.SoftwareVersion, time.Time{}
	}
	for _, item := range l.Resident {
		if item.Ref.IsBase() {
			t.models[item.Ref.Model] = true
			continue
		}
		if !t.reconciled && t.slots[item.Ref] == nil {
			t.addSlot(item.Ref, &slot{state: resident, version: item.Version, stateSince: now, lastUsed: now})
		}
	}
	t.handleRelisted(now)
}

// handleRelisted requires a report before the next order to a target that was unlisted for a while.
func (t *target) handleRelisted(now time.Time) {
	if t.unlistedSince.IsZero() {
		return
	}
	t.unlistedSince = time.Time{}
	t.requireReport(now)
}

// dropMissing removes an adapter or base model that the target turned out not to hold.
func (s *Scheduler) dropMissing(t *target, ref coord.AdapterRef) {
	if ref.IsBase() {
		delete(t.models, ref.Model)
		return
	}
	if sl := t.slots[ref]; sl != nil && sl.state == resident {
		s.freeSlot(t, ref, FreedByRequest)
	}
}

// pinAborted keeps an adapter loaded while an aborted request may still run on it.
func (t *target) pinAborted(now time.Time, ref coord.AdapterRef) {
	if sl := t.slots[ref]; sl != nil {
		sl.pinnedUntil = now.Add(coord.AbortedRequestTime)
	}
}
