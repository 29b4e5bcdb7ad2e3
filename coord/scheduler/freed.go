package scheduler

import "github.com/junctionfold/junctionfold/coord"

// FreedBy is the evidence on which the scheduler counted an adapter slot as free.
type FreedBy int

// The kinds of evidence that free an adapter slot.
const (
	// FreedByAnswer: the engine answered an unload order.
	FreedByAnswer FreedBy = iota
	// FreedByReport: a report does not list the adapter.
	FreedByReport
	// FreedByRejection: the engine rejected the load order.
	FreedByRejection
	// FreedByRequest: the engine rejected a request because it lacks the adapter.
	FreedByRequest
	// FreedWithTarget: the target no longer exists.
	FreedWithTarget
	freedByCount
)

// FreedByValues returns all values of FreedBy.
func FreedByValues() []FreedBy {
	return []FreedBy{FreedByAnswer, FreedByReport, FreedByRejection, FreedByRequest, FreedWithTarget}
}

// String returns the name that metrics use.
func (f FreedBy) String() string {
	return [...]string{"answer", "report", "rejection", "request", "target_gone"}[f]
}

// freeSlot frees an adapter's slot at a target and stops counting its load as in progress.
func (s *Scheduler) freeSlot(t *target, ref coord.AdapterRef, evidence FreedBy) {
	s.countLoad(t.slots[ref], false)
	t.removeSlot(ref)
	s.freed[evidence]++
}
