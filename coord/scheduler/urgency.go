package scheduler

import "time"

// Engines prefill prompts by priority and, within a priority, in order of arrival. Each priority
// class of requests is therefore split in two: a request that would be late in any case yields to
// those that can still be in time.
const (
	tierInTime = iota
	tierLate
	tierCount
)

// lowestPriority is the least urgent priority that engines support; 0 is the most urgent.
const lowestPriority = 9

// EnginePriority returns the engine priority of a request that can be in time.
func EnginePriority(priority int) int { return enginePriority(priority, tierInTime) }

func enginePriority(priority, tier int) int { return min(priority*tierCount+tier, lowestPriority) }

// priorityAndDelay returns the engine priority of a request that is sent to t now, and the expected
// time to its first event.
func (s *Scheduler) priorityAndDelay(now time.Time, t *target, r *Request) (priority int, firstEvent time.Duration) {
	tokens := t.uncachedTokens(r)
	priority = EnginePriority(r.Priority)
	firstEvent = t.engine.TimeToFirstEvent(now, s.speed, tokens, priority)
	if r.Objective > 0 && now.Add(firstEvent).After(r.arrivedAt.Add(r.Objective)) {
		return enginePriority(r.Priority, tierLate), firstEvent
	}
	return priority, firstEvent
}
