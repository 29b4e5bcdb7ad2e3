package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// roundCache holds what searches for a load target ask of one target many times in a round. Whatever
// changes the slots of a target, their states or their use in a round clears it; maintainTarget runs
// before the first search.
type roundCache struct {
	round     uint64 // 0: empty
	inTransit int
	// pendingPromptTokens is the result of target.pendingPromptTokens, and recentGrants the value of
	// target.recentGrants.
	pendingPromptTokens int
	recentGrants        float64
	// hasVictim reports whether the result of victim is known.
	hasVictim  bool
	victim     coord.AdapterRef
	victimHeat float64
	evictable  bool
}

// cached returns the cache of t, filled for this round. Outside of rounds it is filled anew.
func (s *Scheduler) cached(now time.Time, t *target) *roundCache {
	if c := &t.cache; !s.inRound || c.round != s.round {
		*c = roundCache{
			round: s.round, inTransit: t.inTransit(), pendingPromptTokens: t.pendingPromptTokens(), recentGrants: t.recentGrants.valueAt(now),
		}
	}
	return &t.cache
}

// nextVictim returns the result of victim.
func (s *Scheduler) nextVictim(now time.Time, t *target) (ref coord.AdapterRef, victimHeat float64, ok bool) {
	c := s.cached(now, t)
	if !c.hasVictim {
		c.victim, c.victimHeat, c.evictable = s.victim(now, t)
		c.hasVictim = true
	}
	return c.victim, c.victimHeat, c.evictable
}
