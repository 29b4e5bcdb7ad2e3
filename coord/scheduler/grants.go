package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/enginecost"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
)

// grant is a request that runs, as far as is known.
type grant struct {
	target *target
	ref    coord.AdapterRef
	tokens int
	// prompt is what the target reads of it; nil once the first event has come, and
	// for requests that were adopted.
	prompt *enginecost.PendingPrompt
	// firstAt is when the first event came.
	firstAt  time.Time
	deadline time.Time
	// at is when it was granted; zero for requests that were adopted.
	at time.Time
	// slot is the place of its adapter at the time, and version the adapter's; nil for base
	// models and for requests that were adopted.
	slot    *slot
	version int64
	// judges is the start of the load that it is the first to use; zero: it is not.
	judges loadlimit.StartedLoad
	// lost says that the VM that sent it is silent; it may be paused.
	lost bool
}

// Done takes the end of a granted request, or withdraws a waiting one.
func (s *Scheduler) Done(now time.Time, key Key, how Ending) []Action {
	s.waiting = slices.DeleteFunc(s.waiting, func(r *Request) bool { return r.Key == key })
	g := s.grants[key]
	if g == nil {
		return nil
	}
	s.release(now, key, g)
	g.target.health.learn(now, how)
	if how == EndedOK {
		s.judge(now, g, false)
	}
	if how == EndedOK && !g.firstAt.IsZero() {
		s.speed.ObserveStream(now.Sub(g.firstAt))
	}
	switch how {
	case EndedMisrouted, EndedBusy:
		s.notRun(now, g, how)
	case EndedAbandoned, EndedFailed, EndedDisconnected:
		g.target.hold(now, g.ref)
	}
	return s.settleSoon(now)
}

func (s *Scheduler) release(now time.Time, key Key, g *grant) {
	delete(s.grants, key)
	s.dropPrompt(now, g)
	if !g.lost {
		g.target.running--
		g.target.tokens -= g.tokens
	}
	if sl := g.target.slots[g.ref]; sl != nil && sl.inUse > 0 {
		sl.inUse--
	}
}

// notRun takes a target's refusal of a request. Engines that have not loaded the adapter
// yet and those that lack it answer alike.
func (s *Scheduler) notRun(now time.Time, g *grant, how Ending) {
	if late := s.shownLate(g); s.notYet(now, g.target, g.ref) {
		if late {
			s.judge(now, g, true)
		}
		g.judges = loadlimit.StartedLoad{}
		return
	}
	if how == EndedMisrouted {
		s.drop(g.target, g.ref)
		g.target.distrust(now)
	}
}

// judge takes whether the load that a request was the first to use was late.
func (s *Scheduler) judge(now time.Time, g *grant, late bool) {
	if !late {
		s.shownInTime(g)
		g.prove()
	}
	s.limit.End(now, g.judges, late)
	g.judges = loadlimit.StartedLoad{}
}

// prove takes that a request ran: its adapter is there, unless it has been loaded anew since
// the request was granted.
func (g *grant) prove() {
	sl := g.slot
	if sl != nil && sl == g.target.slots[g.ref] && sl.state == resident && sl.version == g.version {
		sl.proven = true
	}
}

func (s *Scheduler) dropPrompt(now time.Time, g *grant) {
	if g.prompt != nil {
		g.target.engine.Drop(now, s.speed, g.prompt)
		g.prompt = nil
	}
}

// FirstEvent takes the news that a granted request has had its first event.
func (s *Scheduler) FirstEvent(now time.Time, key Key) {
	g := s.grants[key]
	if g == nil || g.prompt == nil {
		return
	}
	s.judge(now, g, false)
	g.target.engine.ObserveFirstEvent(now, s.speed, g.prompt)
	g.prompt, g.firstAt = nil, now
}

// RunningReported says that a VM has told all that it runs.
func (s *Scheduler) RunningReported(now time.Time, vm coord.VMID) {
	delete(s.untold, vm)
	s.toldAt[vm] = now
}

// settled reports whether it is known what runs at the targets.
func (s *Scheduler) settled(now time.Time) bool {
	return len(s.untold) == 0 || !now.Before(s.keepUntil)
}

// Adopt takes a request that runs at a target on the word of an earlier scheduler,
// so that its adapter is not unloaded.
func (s *Scheduler) Adopt(now time.Time, key Key, id string, ref coord.AdapterRef, tokens int, deadline time.Time) {
	t := s.targets[id]
	if t == nil || s.grants[key] != nil {
		return
	}
	s.grants[key] = &grant{target: t, ref: ref, tokens: tokens, deadline: deadline}
	t.running++
	t.tokens += tokens
	if ref.IsBase() {
		return
	}
	if t.slots[ref] == nil {
		t.put(ref, &slot{state: resident, version: s.versions[ref], since: now})
	}
	t.slots[ref].inUse++
	t.slots[ref].lastUse = now
}

// VMUnresponsive takes the news that a VM is silent. Its requests no longer count as load,
// but their adapters stay until their deadlines: a VM that is paused keeps its
// connections open, and engines go on.
func (s *Scheduler) VMUnresponsive(now time.Time, vm coord.VMID) []Action {
	delete(s.toldAt, vm)
	s.waiting = slices.DeleteFunc(s.waiting, func(r *Request) bool { return r.VM == vm })
	for key, g := range s.grants {
		if key.VM == vm && !g.lost {
			g.lost = true
			s.dropPrompt(now, g)
			g.target.running--
			g.target.tokens -= g.tokens
		}
	}
	return s.take()
}

// VMRestarted takes the news that a VM has started anew: its earlier process is gone,
// and with it its connections. Tickets of the new one are not below since.
func (s *Scheduler) VMRestarted(now time.Time, vm coord.VMID, since uint64) []Action {
	for key, g := range s.grants {
		if key.VM == vm && key.Ticket < since {
			s.release(now, key, g)
			g.target.hold(now, g.ref)
		}
	}
	return s.take()
}

// expireAfter is how long after its deadline a grant without an end is dropped:
// the VM that held it may have died unseen.
const expireAfter = 2 * time.Second
