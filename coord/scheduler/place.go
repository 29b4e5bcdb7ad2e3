package scheduler

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadlimit"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// maxCacheFill is the share of an engine's memory that may be committed before requests are
// expected to evict each other's data.
const maxCacheFill = 0.85

// prefixKey identifies a prompt prefix, up to and including a part, for an adapter.
type prefixKey struct {
	ref  coord.AdapterRef
	hash uint64
}

// expectedDelay returns the expected time to the first event of r at t.
func (s *Scheduler) expectedDelay(now time.Time, t *target, r *Request) time.Duration {
	_, firstEvent := s.priorityAndDelay(now, t, r)
	return firstEvent + s.capacityWait(now, t, r)
}

// uncachedTokens returns the number of prompt tokens that t has not cached.
func (t *target) uncachedTokens(r *Request) int { return max(r.PromptTokens-t.cachedTokens(r), 0) }

// forEachPrefix calls f with the key of each prompt prefix, shortest first, until f returns false.
func forEachPrefix(r *Request, f func(k prefixKey, tokens int) bool) {
	if len(r.prefixHashes) != len(r.Parts) {
		r.hashPrefixes()
	}
	for i, p := range r.Parts {
		if !f(prefixKey{ref: r.Ref, hash: r.prefixHashes[i]}, p.Tokens) {
			return
		}
	}
}

func (r *Request) hashPrefixes() {
	hash := uint64(0)
	r.prefixHashes = make([]uint64, len(r.Parts))
	for i, p := range r.Parts {
		hash = rendezvous.Weight(hash, rendezvous.Hash(p.ID))
		r.prefixHashes[i] = hash
	}
}

func (t *target) cachedTokens(r *Request) int {
	total := 0
	if len(t.cachedPrefixes) == 0 {
		return 0
	}
	forEachPrefix(r, func(k prefixKey, tokens int) bool {
		_, cached := t.cachedPrefixes[k]
		if cached {
			total += tokens
		}
		return cached
	})
	return total
}

// maxCachedPrefixes bounds the number of cached prompt prefixes recorded per target. Beyond it, all
// recorded prefixes of the target are dropped.
const maxCachedPrefixes = 2048

func (t *target) rememberPrompt(now time.Time, r *Request) {
	if len(t.cachedPrefixes) > maxCachedPrefixes {
		clear(t.cachedPrefixes)
	}
	forEachPrefix(r, func(k prefixKey, _ int) bool {
		t.cachedPrefixes[k] = now
		return true
	})
}

// place grants or refuses r, or starts the load that r needs. It returns false if r has to wait.
func (s *Scheduler) place(now time.Time, r *Request) bool {
	if !now.Before(r.Deadline) {
		s.refuse(r, "deadline", 0)
		return true
	}
	if now.Add(s.minTimeToFirstEvent(r)).After(r.FirstEventDeadline) {
		s.refuse(r, "caller_leaves", noTargetRetryDelay)
		return true
	}
	if _, exhausted := s.knownCapacity(now, r); exhausted {
		return s.waitOrRefuse(now, r)
	}
	r.lastResort, r.awaitsPlace = false, false
	replica, replicaDelay, anyUsable := s.bestReplica(now, r)
	if !anyUsable && r.SoftwareVersion != "" {
		r.lastResort = true
		replica, replicaDelay, anyUsable = s.bestReplica(now, r)
	}
	if !anyUsable {
		return s.waitOrRefuse(now, r)
	}
	if r.Ref.IsBase() {
		if replica == nil || s.waitsForPlace(now, replica, r) {
			return false
		}
		s.grant(now, replica, r)
		return true
	}
	if replica == nil {
		s.loadFirstReplica(now, r)
		s.forecastLoad(now, r.Ref)
		return false
	}
	if replicaDelay > replicateAboveDelay {
		s.replicate(now, r, replicaDelay)
	}
	if sl := replica.slots[r.Ref]; sl.state != resident || now.Before(sl.readyAt) {
		replica.addPendingPrompt(r)
		return false
	}
	if s.waitsForPlace(now, replica, r) {
		return false
	}
	s.grant(now, replica, r)
	return true
}

// waitOrRefuse lets a request wait that no target can serve now, or refuses it.
func (s *Scheduler) waitOrRefuse(now time.Time, r *Request) bool {
	if refused, limited := s.waitForRate(now, r); limited {
		return refused
	}
	s.refuse(r, "no_target", noTargetRetryDelay)
	return true
}

// minTimeToFirstEvent returns the least possible time to the first event of a waiting request if it
// were sent now. If no target holds the adapter, the whole prompt has to be prefilled.
func (s *Scheduler) minTimeToFirstEvent(r *Request) time.Duration {
	canRun := func(t *target) bool { return t.ready && t.runs(r) }
	if r.Ref.IsBase() || slices.ContainsFunc(s.replicas[r.Ref], canRun) {
		return s.speed.Overhead()
	}
	return s.speed.Overhead() + s.speed.PrefillTime(r.PromptTokens)
}

// noTargetRetryDelay is the retry delay for callers if no target is usable or none has capacity:
// within seconds targets become usable again and streams end.
const noTargetRetryDelay = 300 * time.Millisecond

func (s *Scheduler) refuse(r *Request, reason string, retry time.Duration) {
	s.emit(Action{Kind: ActRefuse, Key: r.Key, Reason: reason, RetryAfter: retry})
}

// bestReplica returns the target that holds or loads the adapter and is preferred to the others
// (replicaChoice), or nil if there is none. A target that holds it and whose rate limit is due for a
// probe counts as having no delay. anyUsable is false if no target is usable at all.
func (s *Scheduler) bestReplica(now time.Time, r *Request) (best *target, delay time.Duration, anyUsable bool) {
	timeLeft := r.arrivedAt.Add(r.Objective).Sub(now)
	var chosen replicaChoice
	consider := func(t *target) {
		if !s.usable(now, t, r) {
			return
		}
		anyUsable = true
		wait, held := s.timeUntilReady(now, t, r.Ref)
		if !held {
			return
		}
		d := wait + s.expectedDelay(now, t, r)
		if wait == 0 && s.pacer.ProbeDue(now, t.id) {
			d = 0
		}
		choice := s.newReplicaChoice(now, t, r, d)
		if chosen.target == nil || choice.isBetterThan(chosen, timeLeft) {
			chosen = choice
		}
	}
	if !r.Ref.IsBase() {
		for _, t := range s.replicas[r.Ref] {
			consider(t)
		}
	}
	if chosen.target != nil {
		return chosen.target, chosen.delay, true
	}
	for _, t := range s.targetList {
		if consider(t); anyUsable && !r.Ref.IsBase() {
			break // one usable target is enough to know; no other target holds the adapter
		}
	}
	return chosen.target, chosen.delay, anyUsable
}

// timeUntilReady returns the time until t holds ref in its newest version, or zero if it already
// does. ok is false if t neither holds nor loads that version.
func (s *Scheduler) timeUntilReady(now time.Time, t *target, ref coord.AdapterRef) (wait time.Duration, ok bool) {
	if ref.IsBase() {
		return 0, t.models[ref.Model]
	}
	sl := t.slots[ref]
	if sl == nil || sl.state == unloading || sl.isUnconfirmedLoad() || s.isOutdated(ref, sl) {
		return 0, false
	}
	return max(sl.readyAt.Sub(now), 0), true
}

func (s *Scheduler) isOutdated(ref coord.AdapterRef, sl *slot) bool {
	if sl.newestAt != s.versionChanges {
		sl.newest, sl.newestAt = s.versions[ref], s.versionChanges
	}
	return sl.version < sl.newest
}

func (s *Scheduler) grant(now time.Time, t *target, r *Request) {
	s.countOverBatch(now, t, r)
	priority, _ := s.priorityAndDelay(now, t, r)
	prompt := t.engine.Begin(now, s.speed, t.uncachedTokens(r), priority)
	s.pacer.Consume(now, t.id)
	s.shares.Serve(now, r.Team, r.work())
	t.recentGrants.add(now)
	t.cache = roundCache{}
	g := &grant{
		target: t, ref: r.Ref, tokens: r.PromptTokens + r.OutputTokens, output: r.OutputTokens, priority: priority,
		pendingPrompt: prompt, deadline: r.Deadline, grantedAt: now, inFlight: t.running + 1,
	}
	t.addRun(g)
	t.rememberPrompt(now, r)
	if t.health.isEjected() {
		t.health.probing = true
		t.prober = r.Key
	}
	s.grants[r.Key] = g
	a := Action{Kind: ActGrant, Key: r.Key, Target: t.id, Ref: r.Ref, Priority: priority, SoftwareVersion: t.software()}
	if sl := t.slots[r.Ref]; sl != nil {
		sl.inUse++
		sl.lastUsed = now
		a.Version = sl.version
		g.slot, g.version = sl, sl.version
		g.startedLoad, sl.startedLoad = sl.startedLoad, loadlimit.StartedLoad{}
	}
	s.emit(a)
}
