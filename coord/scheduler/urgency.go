package scheduler

import "time"

// Engines read prompts by priority, and within it in order of arrival. So each priority of
// requests is divided in two: a request that would be late even so lets those go first that
// need not be.
const (
	tierInTime = iota
	tierLate
	tiers
)

// lowestPriority is the least urgent one that engines know; 0 is the most urgent.
const lowestPriority = 9

// EnginePriority returns the priority at an engine of a request that may be in time.
func EnginePriority(priority int) int { return enginePriority(priority, tierInTime) }

func enginePriority(priority, tier int) int { return min(priority*tiers+tier, lowestPriority) }

// urgency returns the priority at t of a request that is sent there now, and the expected
// time to its first event.
func (s *Scheduler) urgency(now time.Time, t *target, r *Request) (priority int, first time.Duration) {
	tokens := t.uncached(r)
	priority = EnginePriority(r.Priority)
	first = t.engine.TimeToFirstEvent(now, s.speed, tokens, priority)
	if r.Objective > 0 && now.Add(first).After(r.arrived.Add(r.Objective)) {
		return enginePriority(r.Priority, tierLate), first
	}
	return priority, first
}
