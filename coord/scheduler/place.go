package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// cacheShare of an engine's memory may be promised before requests are expected to
// displace each other.
const cacheShare = 0.85

// partKey names a prompt up to and including a part, for an adapter.
type partKey struct {
	ref  coord.AdapterRef
	hash uint64
}

// delay is the expected time to the first event of r at t.
func (s *Scheduler) delay(now time.Time, t *target, r *Request) time.Duration {
	_, first := s.urgency(now, t, r)
	return first + s.roomWait(t, r)
}

// roomWait is the expected wait until requests that run at t have ended, where its
// batch or its memory is full.
func (s *Scheduler) roomWait(t *target, r *Request) time.Duration {
	short := 0.0 // of room, as a part of what all that runs takes
	if batch := s.cfg.Batch; batch > 0 && t.running >= batch {
		short = float64(t.running-batch+1) / float64(batch)
	}
	if memory := cacheShare * float64(s.cfg.CacheTokens); memory > 0 {
		short = max(short, float64(t.tokens+r.PromptTokens+r.OutputTokens)/memory-1)
	}
	return time.Duration(short * float64(s.speed.MeanStreamTime()))
}

// uncached is how many tokens of the prompt t does not keep.
func (t *target) uncached(r *Request) int { return max(r.PromptTokens-t.cachedTokens(r), 0) }

// chain calls f with the key of each prefix of the prompt, shortest first, until
// f returns false.
func chain(r *Request, f func(k partKey, tokens int) bool) {
	hash := uint64(0)
	for _, p := range r.Parts {
		hash = rendezvous.Weight(hash, rendezvous.Hash(p.ID))
		if !f(partKey{ref: r.Ref, hash: hash}, p.Tokens) {
			return
		}
	}
}

func (t *target) cachedTokens(r *Request) int {
	total := 0
	chain(r, func(k partKey, tokens int) bool {
		_, kept := t.cached[k]
		if kept {
			total += tokens
		}
		return kept
	})
	return total
}

// maxCachedParts bounds what is remembered of one target's cache.
const maxCachedParts = 2048

func (t *target) remember(now time.Time, r *Request) {
	if len(t.cached) > maxCachedParts {
		clear(t.cached)
	}
	chain(r, func(k partKey, _ int) bool {
		t.cached[k] = now
		return true
	})
}

// place grants, refuses, or starts what r waits for. It returns false when r has
// to wait.
func (s *Scheduler) place(now time.Time, r *Request) bool {
	if !now.Before(r.Deadline) {
		s.refuse(r, "deadline", 0)
		return true
	}
	if now.Add(s.quickest(r)).After(r.FirstEventDeadline) {
		s.refuse(r, "caller_leaves", noTargetPause)
		return true
	}
	home, homeDelay, any := s.bestHome(now, r)
	if !any {
		return s.placeLater(now, r)
	}
	if r.Ref.IsBase() {
		if home == nil {
			return false
		}
		s.grant(now, home, r)
		return true
	}
	if home == nil {
		s.findHome(now, r)
		return false
	}
	if homeDelay > spreadAbove {
		s.spread(now, r, homeDelay)
	}
	if sl := home.slots[r.Ref]; sl.state != resident || now.Before(sl.readyAt) {
		home.promise(r)
		return false
	}
	s.grant(now, home, r)
	return true
}

// placeLater lets a request for which no target can be used now wait, or refuses it.
func (s *Scheduler) placeLater(now time.Time, r *Request) bool {
	if refused, limited := s.waitForRate(now, r); limited {
		return refused
	}
	s.refuse(r, "no_target", noTargetPause)
	return true
}

// quickest is the least time to the first event of a waiting request, if it were sent
// now: the prompt of one whose adapter no target holds has to be read whole.
func (s *Scheduler) quickest(r *Request) time.Duration {
	if r.Ref.IsBase() || slices.ContainsFunc(s.homes[r.Ref], (*target).isReady) {
		return s.speed.Overhead()
	}
	return s.speed.Overhead() + s.speed.PrefillTime(r.PromptTokens)
}

// noTargetPause is when to come back if no target can be used, or none has room: targets
// come back, and streams end, within seconds.
const noTargetPause = 300 * time.Millisecond

func (s *Scheduler) refuse(r *Request, reason string, retry time.Duration) {
	s.act(Action{Kind: ActRefuse, Key: r.Key, Reason: reason, RetryAfter: retry})
}

// bestHome returns the target that holds or loads the adapter with the least
// expected delay, or nil; any is false when no target can be used at all.
func (s *Scheduler) bestHome(now time.Time, r *Request) (best *target, delay time.Duration, any bool) {
	consider := func(t *target) {
		if !s.usable(now, t, r) {
			return
		}
		any = true
		wait, holds := s.holds(now, t, r.Ref)
		if !holds {
			return
		}
		d := wait + s.delay(now, t, r)
		if wait == 0 && s.pacer.ProbeDue(now, t.id) {
			d = 0
		}
		if best == nil || d < delay {
			best, delay = t, d
		}
	}
	if !r.Ref.IsBase() {
		for _, t := range s.homes[r.Ref] {
			consider(t)
		}
	}
	if best != nil {
		return best, delay, true
	}
	for _, id := range s.ids {
		if consider(s.targets[id]); any && !r.Ref.IsBase() {
			break // there is a target at least; no other holds the adapter
		}
	}
	return best, delay, any
}

// holds reports whether t holds ref in its newest version, or is loading it, and
// how long that takes.
func (s *Scheduler) holds(now time.Time, t *target, ref coord.AdapterRef) (wait time.Duration, ok bool) {
	if ref.IsBase() {
		return 0, t.models[ref.Model]
	}
	sl := t.slots[ref]
	if sl == nil || sl.state == unloading || sl.doubtful() || s.outdated(ref, sl) {
		return 0, false
	}
	return max(sl.readyAt.Sub(now), 0), true
}

func (t *target) isReady() bool { return t.ready }

func (s *Scheduler) outdated(ref coord.AdapterRef, sl *slot) bool {
	return sl.version < s.versions[ref]
}

func (s *Scheduler) grant(now time.Time, t *target, r *Request) {
	priority, _ := s.urgency(now, t, r)
	prompt := t.engine.Begin(now, s.speed, t.uncached(r), priority)
	s.pacer.Consume(now, t.id)
	t.running++
	t.crowd.add(now)
	g := &grant{
		target: t, ref: r.Ref, tokens: r.PromptTokens + r.OutputTokens,
		prompt: prompt, deadline: r.Deadline, at: now,
	}
	t.tokens += g.tokens
	t.remember(now, r)
	if t.health.failures >= ejectAfter {
		t.health.trial = true
	}
	s.grants[r.Key] = g
	a := Action{Kind: ActGrant, Key: r.Key, Target: t.id, Ref: r.Ref, Priority: priority}
	if sl := t.slots[r.Ref]; sl != nil {
		sl.inUse++
		sl.lastUse = now
		a.Version = sl.version
		g.slot, g.version = sl, sl.version
		g.judges, sl.judged = sl.judged, loadlimit.StartedLoad{}
	}
	s.act(a)
}
