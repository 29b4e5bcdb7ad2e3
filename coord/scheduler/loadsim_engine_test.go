package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// simEngine is a simulated engine.
type simEngine struct {
	id, zone       string
	pace           float64                   // relative duration of a step
	slots          map[coord.AdapterRef]bool // whether the adapter is loaded
	cachedAdapters []coord.AdapterRef        // least recently held first
	prefillUntil   time.Time                 // end of the prefill of all prompts so far
	unresponsive   bool
	crashed        bool
	orderCount     uint64
	running        int         // requests in the batch
	waitingRuns    []simQueued // requests that wait for a place in the batch
	// batch, queue and stepEnd are used if the deployment simulates batches (loadsim_batch_test.go).
	batch, queue []*simRun
	stepEnd      time.Time
}

// simQueued is a request that waits for a place in an engine's batch.
type simQueued struct {
	priority int
	start    func()
}

// simLoad is a load in progress; remaining is the remaining work at full speed.
type simLoad struct {
	engine    *simEngine
	ref       coord.AdapterRef
	remaining time.Duration
	fromStore bool
}

// advanceLoads advances the loads by 1 ms.
func (sim *loadSim) advanceLoads() {
	n := 0
	for _, l := range sim.loads {
		if l.fromStore {
			n++
		}
	}
	speed := min(1, float64(sim.deployment.storeConcurrency)/float64(max(n, 1)))
	sim.loads = slices.DeleteFunc(sim.loads, func(l *simLoad) bool {
		if l.engine.unresponsive || l.engine.crashed {
			return true
		}
		if l.fromStore {
			l.remaining -= time.Duration(speed * float64(time.Millisecond))
		} else {
			l.remaining -= time.Millisecond
		}
		if l.remaining > 0 {
			return false
		}
		l.engine.slots[l.ref] = true
		l.engine.addCached(l.ref, sim.deployment.cachedAdapters)
		return true
	})
}

func (e *simEngine) addCached(ref coord.AdapterRef, limit int) {
	e.cachedAdapters = slices.DeleteFunc(e.cachedAdapters, func(r coord.AdapterRef) bool { return r == ref })
	e.cachedAdapters = append(e.cachedAdapters, ref)
	if len(e.cachedAdapters) > limit {
		e.cachedAdapters = e.cachedAdapters[1:]
	}
}

func (sim *loadSim) sendReport(e *simEngine) {
	r := Report{Resident: []ResidentItem{{Ref: base}}, OrderCount: e.orderCount}
	for ref, loaded := range e.slots {
		if loaded {
			r.Resident = append(r.Resident, ResidentItem{Ref: ref})
		} else {
			r.Pending = append(r.Pending, ref)
		}
	}
	sim.execute(sim.s.HandleReport(sim.now, e.id, r, !e.unresponsive))
}

func (sim *loadSim) answerOrder(a Action, result OrderResult) {
	delay := messageDelay + time.Duration(sim.rng.Float64()*float64(sim.deployment.answerDelay))
	sim.schedule(delay, func() { sim.execute(sim.s.OrderAnswered(sim.now, a.Target, a.Kind == ActUnload, a.Ref, result)) })
}

func (sim *loadSim) handleLoadOrder(a Action, e *simEngine) {
	if e.unresponsive {
		sim.schedule(1500*time.Millisecond, func() { sim.answerOrder(a, OrderUnknown) })
		return
	}
	if e.crashed {
		sim.answerOrder(a, OrderUnknown)
		return
	}
	pending := 0
	for _, loaded := range e.slots {
		if !loaded {
			pending++
		}
	}
	if pending >= maxInTransit || len(e.slots) >= sim.deployment.slots {
		sim.result.rejectedOrders++
		sim.answerOrder(a, OrderRejected)
		return
	}
	e.orderCount++
	l := &simLoad{engine: e, ref: a.Ref, remaining: sim.deployment.loadTime, fromStore: !slices.Contains(e.cachedAdapters, a.Ref)}
	if l.fromStore {
		sim.result.storeLoads++
	} else {
		l.remaining = sim.deployment.loadTime / 10
	}
	e.slots[a.Ref] = false
	sim.loads = append(sim.loads, l)
	sim.answerOrder(a, OrderAccepted)
}

func (sim *loadSim) handleUnloadOrder(a Action, e *simEngine) {
	e.orderCount++
	delete(e.slots, a.Ref)
	sim.answerOrder(a, OrderAlreadyApplied)
}

// startRequest delivers a granted request to its engine.
func (sim *loadSim) startRequest(a Action, e *simEngine) {
	r := sim.openRequests[a.Key]
	loaded, held := e.slots[a.Ref]
	switch {
	case e.unresponsive:
		sim.schedule(time.Second, func() { sim.resubmit(a, r, EndedUnreachable) })
		return
	case e.crashed:
		sim.schedule(messageDelay, func() { sim.resubmit(a, r, EndedUnreachable) })
		return
	case !held || !loaded:
		sim.resubmit(a, r, EndedMisrouted)
		return
	}
	if sim.deployment.simulatesBatch {
		sim.addRun(a, e, r)
		return
	}
	e.enqueue(a.Priority, sim.deployment, func() { sim.prefill(a, e, r) })
}

// enqueue starts a request once the batch has a place for it.
func (e *simEngine) enqueue(priority int, d deployment, start func()) {
	if !d.limitedBatch || e.running < d.batch {
		e.running++
		start()
		return
	}
	i := slices.IndexFunc(e.waitingRuns, func(q simQueued) bool { return q.priority > priority })
	if i < 0 {
		i = len(e.waitingRuns)
	}
	e.waitingRuns = slices.Insert(e.waitingRuns, i, simQueued{priority: priority, start: start})
}

// finish ends a request in the batch, which makes room for the next one.
func (e *simEngine) finish() {
	e.running--
	if len(e.waitingRuns) == 0 {
		return
	}
	next := e.waitingRuns[0]
	e.waitingRuns = e.waitingRuns[1:]
	e.running++
	next.start()
}

// crash stops some of the engines. They are unlisted after a moment, and come back empty and under
// new IDs after downtime. Streams that have begun count as if they continued.
func (sim *loadSim) crash(ids []string, downtime time.Duration) {
	for _, id := range ids {
		e := sim.engines[id]
		e.crashed = true
		for _, q := range e.waitingRuns {
			q.start()
		}
		e.waitingRuns = nil
		sim.schedule(downtime, func() {
			delete(sim.engines, id)
			sim.engineIDs[slices.Index(sim.engineIDs, id)] = id + "#"
			sim.engines[id+"#"] = &simEngine{id: id + "#", zone: e.zone, pace: e.pace, slots: map[coord.AdapterRef]bool{}}
		})
	}
	announce := func() { sim.execute(sim.s.SetTargets(sim.now, sim.announced())) }
	sim.schedule(unlistDelay, announce)
	sim.schedule(downtime+unlistDelay, announce)
}

// unlistDelay is the time until the list of targets shows a change.
const unlistDelay = 300 * time.Millisecond

func (sim *loadSim) prefill(a Action, e *simEngine, r *simRequest) {
	prefillTime := time.Duration(e.pace * float64(r.promptTokens) / sim.deployment.promptTokensPerMs * float64(time.Millisecond))
	if e.prefillUntil.Before(sim.now) {
		e.prefillUntil = sim.now
	}
	e.prefillUntil = e.prefillUntil.Add(prefillTime)
	sim.schedule(e.prefillUntil.Sub(sim.now)+12*time.Millisecond, func() { sim.handleFirstEvent(a, e, r) })
}

func (sim *loadSim) resubmit(a Action, r *simRequest, ending Ending) {
	sim.result.retries++
	sim.execute(sim.s.Done(sim.now, a.Key, ending))
	sim.lastTicket++
	key := Key{VM: "vm", Ticket: sim.lastTicket}
	sim.openRequests[key] = r
	delete(sim.openRequests, a.Key)
	sim.submit(key, r, []string{a.Target})
}

func (sim *loadSim) handleFirstEvent(a Action, e *simEngine, r *simRequest) {
	if e.unresponsive {
		sim.failRequest(a, r)
		return
	}
	if e.crashed {
		sim.resubmit(a, r, EndedDisconnected)
		return
	}
	sim.s.FirstEvent(sim.now, a.Key)
	o := sim.result.byKind[r.kind.name]
	switch elapsed := sim.now.Sub(r.submittedAt); {
	case !r.retriedAt.IsZero() && sim.now.Sub(r.retriedAt) <= r.kind.objective:
		o.retriedInTime++
	case elapsed <= r.kind.objective:
		o.inTime++
		sim.countSecond(r)
	default:
		o.late++
	}
	// Generating a token takes longer while other prompts are prefilled: 1.3 times here.
	sim.schedule(time.Duration(e.pace*1.3*float64(r.outputTokens)*float64(sim.deployment.tokenTime)), func() {
		if _, open := sim.openRequests[a.Key]; open {
			delete(sim.openRequests, a.Key)
			sim.execute(sim.s.Done(sim.now, a.Key, EndedOK))
		}
		e.finish()
	})
}

func (sim *loadSim) failRequest(a Action, r *simRequest) {
	delete(sim.openRequests, a.Key)
	sim.result.byKind[r.kind.name].failed++
	sim.execute(sim.s.Done(sim.now, a.Key, EndedFailed))
}

// countSecond counts a request in time in the second in which it was submitted.
func (sim *loadSim) countSecond(r *simRequest) {
	second := min(int(r.submittedAt.Sub(start.Add(3*time.Second))/time.Second), len(sim.result.perSecond)-1)
	sim.result.perSecond[second][0]++
}
