package servicequeue

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// SetRejectionLimits replaces the numbers of rejections per second with which brittle targets crash.
// share is the part of the fleet that requests targets from this VM, from 0 to 1.
func (q *Queue) SetRejectionLimits(now time.Time, limits map[string]float64, share float64) []Action {
	q.guard.SetLimits(now, limits, share)
	return q.schedule(now)
}

// BecomeLeader records that an earlier leader may have placed requests that this queue does not
// know.
func (q *Queue) BecomeLeader(now time.Time) { q.guard.Reset(now) }

// maxInFlight returns how many requests a target gets at once.
func (q *Queue) maxInFlight(now time.Time, t Target) int {
	if n, brittle := q.guard.Allowed(now, t.ID, knownSlots(t)); brittle {
		return n
	}
	return q.limit.forTarget(t.Slots)
}

// concurrency returns how many requests a target is expected to process at once, at least 1.
func (q *Queue) concurrency(now time.Time, t Target) int {
	if n, brittle := q.guard.Allowed(now, t.ID, knownSlots(t)); brittle {
		return max(n, 1)
	}
	return max(q.limit.forTarget(t.Slots)-extraInFlight, 1)
}

// knownSlots returns a target's slots, or unknownSlotsLimit if it does not report them.
func knownSlots(t Target) int {
	if t.Slots <= 0 {
		return unknownSlotsLimit
	}
	return t.Slots
}

func targetIDs(targets []Target) (ids []string) {
	for _, t := range targets {
		ids = append(ids, t.ID)
	}
	return ids
}

// recordGivenUp records the end of a request that its target may still process.
func (q *Queue) recordGivenUp(now time.Time, target string, ending balance.Ending) {
	if ending == balance.Abandoned || ending == balance.TimedOut {
		q.guard.Withdrawn(now, target)
	}
}
