package scheduler

import "github.com/junctionfold/junctionfold/coord"

// FreedBy is what a place was taken for free on.
type FreedBy int

// What frees a place.
const (
	// FreedByAnswer: an engine's answer to an unload.
	FreedByAnswer FreedBy = iota
	// FreedByReport: a report that does not show the adapter.
	FreedByReport
	// FreedByRejection: an engine did not take the load.
	FreedByRejection
	// FreedByRequest: a request found the adapter missing.
	FreedByRequest
	// FreedWithTarget: the target is gone.
	FreedWithTarget
	causes
)

// FreedByValues lists what may free a place.
func FreedByValues() []FreedBy {
	return []FreedBy{FreedByAnswer, FreedByReport, FreedByRejection, FreedByRequest, FreedWithTarget}
}

// String gives the cause's name for metrics.
func (f FreedBy) String() string {
	return [...]string{"answer", "report", "rejection", "request", "target_gone"}[f]
}

// free counts an adapter's place at a target as free, and its load as not under way.
func (s *Scheduler) free(t *target, ref coord.AdapterRef, why FreedBy) {
	s.countLoad(t.slots[ref], false)
	t.remove(ref)
	s.freed[why]++
}
