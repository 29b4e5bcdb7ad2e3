package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
)

// grant is a granted request that, as far as the scheduler knows, is still running.
type grant struct {
	target *target
	ref    coord.AdapterRef
	tokens int
	// output is the announced output in tokens; 0 for adopted requests.
	output int
	// priority is the engine priority; 0, the most urgent, for adopted requests.
	priority int
	// pendingPrompt is the part of the prompt that the target has to prefill. It is nil after the
	// first event, after the VM became unresponsive, and for adopted requests.
	pendingPrompt *enginecost.PendingPrompt
	// firstEventAt is the time of the first event; zero before it.
	firstEventAt time.Time
	deadline     time.Time
	// grantedAt is the time of the grant; zero for adopted requests.
	grantedAt time.Time
	// inFlight is the number of requests at the target when this one was granted, itself included.
	inFlight int
	// slot is the slot of the adapter at the time of the grant, and version the adapter's version.
	// slot is nil for base models and adopted requests.
	slot    *slot
	version int64
	// startedLoad is the load that this request is the first to use; the zero value if it is not
	// the first.
	startedLoad loadlimit.StartedLoad
	// vmUnresponsive reports that the VM that sent the request is unresponsive. The VM may only be
	// paused.
	vmUnresponsive bool
}

// Done records the end of a granted request, or withdraws a waiting one.
func (s *Scheduler) Done(now time.Time, key Key, ending Ending) []Action {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *Request) bool { return r.Key == key })
	g := s.grants[key]
	if g == nil {
		return nil
	}
	s.release(now, key, g)
	s.judgeEnding(now, key, g.target, ending)
	if ending == EndedOK || ending == EndedUnverified {
		s.recordLoadTiming(now, g, false)
	}
	if ending == EndedOK && !g.firstEventAt.IsZero() {
		g.target.pace.ObserveStream(now, s.speed, g.output, now.Sub(g.firstEventAt))
	}
	switch ending {
	case EndedMisrouted, EndedBusy, EndedNoConnection:
		s.handleNotRun(now, g, ending)
	case EndedAbandoned, EndedFailed, EndedErrorResponse, EndedDisconnected:
		g.target.pinAborted(now, g.ref)
		s.guard.Withdrawn(now, g.target.id)
	}
	return s.runRoundSoon(now)
}

func (s *Scheduler) release(now time.Time, key Key, g *grant) {
	delete(s.grants, key)
	s.dropPrompt(now, g)
	g.target.releaseProbe(key)
	if !g.vmUnresponsive {
		g.target.removeRun(g)
	}
	if sl := g.target.slots[g.ref]; sl != nil && sl.inUse > 0 {
		sl.inUse--
	}
}

// handleNotRun handles a request that the target rejected. Engines give the same answer whether the
// adapter is still loading or missing.
func (s *Scheduler) handleNotRun(now time.Time, g *grant, ending Ending) {
	if late := s.observeLateLoad(g); s.reopenLoad(now, g.target, g.ref) {
		if late {
			s.recordLoadTiming(now, g, true)
		}
		g.startedLoad = loadlimit.StartedLoad{}
		return
	}
	if ending == EndedBusy {
		s.guard.Rejected(now, g.target.id, g.inFlight)
	}
	if ending == EndedMisrouted {
		s.dropMissing(g.target, g.ref)
		g.target.requireReport(now)
	}
}

// recordLoadTiming records whether the load that a request was the first to use was late. If late
// is false, the request has run, which also confirms the adapter.
func (s *Scheduler) recordLoadTiming(now time.Time, g *grant, late bool) {
	if !late {
		s.observeLoadOnTime(g)
		g.confirmAdapter()
	}
	s.countLoadTiming(now, g, late)
	g.startedLoad = loadlimit.StartedLoad{}
}

// confirmAdapter marks the adapter as confirmed after a request ran on it, unless the adapter has
// been loaded again since the request was granted.
func (g *grant) confirmAdapter() {
	sl := g.slot
	if sl != nil && sl == g.target.slots[g.ref] && sl.state == resident && sl.version == g.version {
		sl.confirmed = true
	}
}

func (s *Scheduler) dropPrompt(now time.Time, g *grant) {
	if g.pendingPrompt != nil {
		g.target.engine.Drop(now, s.speed, g.pendingPrompt)
		g.pendingPrompt = nil
	}
}

// ReportsLate records that the VM of a request reports its first event and its end late, because it is
// overloaded. Nothing is learned from the durations of the request.
func (s *Scheduler) ReportsLate(now time.Time, key Key) {
	if g := s.grants[key]; g != nil {
		s.dropPrompt(now, g)
		g.firstEventAt = time.Time{}
	}
}

// TargetOf returns the target at which a request runs; empty: none.
func (s *Scheduler) TargetOf(key Key) string {
	if g := s.grants[key]; g != nil {
		return g.target.id
	}
	return ""
}

// FirstEvent records that the first event of a granted request has arrived.
func (s *Scheduler) FirstEvent(now time.Time, key Key) {
	g := s.grants[key]
	if g == nil || g.pendingPrompt == nil {
		return
	}
	s.recordReached(now, key.VM, g.target)
	s.recordLoadTiming(now, g, false)
	g.target.engine.ObserveFirstEvent(now, s.speed, g.pendingPrompt)
	g.pendingPrompt, g.firstEventAt = nil, now
}

// RunningReported records that a VM has reported all of its running requests.
func (s *Scheduler) RunningReported(now time.Time, vm coord.VMID) {
	delete(s.unreportedVMs, vm)
	s.runningReportedAt[vm] = now
}

// isRunningKnown reports whether the scheduler knows which requests run at the targets.
func (s *Scheduler) isRunningKnown(now time.Time) bool {
	return len(s.unreportedVMs) == 0 || !now.Before(s.evictionBlockedUntil)
}

// AdoptedRun is a request that an earlier scheduler granted and that still runs at a target.
type AdoptedRun struct {
	Key    Key
	Target string
	Ref    coord.AdapterRef
	// Version of the adapter on which the request runs; 0: unknown, taken to be the newest.
	Version  int64
	Tokens   int
	Deadline time.Time
}

// Adopt records a request that an earlier scheduler granted, which prevents the unload of its adapter.
func (s *Scheduler) Adopt(now time.Time, r AdoptedRun) {
	t := s.targets[r.Target]
	if t == nil || s.grants[r.Key] != nil {
		return
	}
	g := &grant{target: t, ref: r.Ref, tokens: r.Tokens, deadline: r.Deadline}
	s.grants[r.Key] = g
	t.addRun(g)
	if r.Ref.IsBase() {
		return
	}
	if t.slots[r.Ref] == nil {
		version := r.Version
		if version == 0 {
			version = s.versions[r.Ref]
		}
		t.addSlot(r.Ref, &slot{state: resident, version: version, stateSince: now})
	}
	t.slots[r.Ref].inUse++
	t.slots[r.Ref].lastUsed = now
}

// VMUnresponsive records that a VM has become unresponsive. Its requests no longer count as load,
// but their adapters stay loaded until the requests' deadlines: a paused VM keeps its connections
// open, and the engines continue to run its requests.
func (s *Scheduler) VMUnresponsive(now time.Time, vm coord.VMID) []Action {
	delete(s.runningReportedAt, vm)
	s.waiting = slices.DeleteFunc(s.waiting, func(r *Request) bool { return r.VM == vm })
	for key, g := range s.grants {
		if key.VM == vm && !g.vmUnresponsive {
			g.vmUnresponsive = true
			s.dropPrompt(now, g)
			g.target.releaseProbe(key)
			g.target.removeRun(g)
			s.guard.Withdrawn(now, g.target.id)
		}
	}
	return s.takeActions()
}

// VMRestarted records that a VM has restarted. Its earlier incarnation is gone, and so are that
// incarnation's connections. Requests of the new incarnation have sequence numbers of minTicket or
// higher.
func (s *Scheduler) VMRestarted(now time.Time, vm coord.VMID, minTicket uint64) []Action {
	for key, g := range s.grants {
		if key.VM == vm && key.Ticket < minTicket {
			s.release(now, key, g)
			g.target.pinAborted(now, g.ref)
			s.guard.Withdrawn(now, g.target.id)
		}
	}
	return s.takeActions()
}

// grantExpiryGrace is the time after its deadline at which a grant without a reported end is
// dropped: the VM that held it may have died undetected.
const grantExpiryGrace = 2 * time.Second
