// Package ratelimit keeps requests to targets within the rate limits that the targets announce in
// their responses: a number of requests per second from all VMs together, for as long as the
// responses announce it.
//
// Table holds the announced limits at each VM. Pacer spaces requests at the leader, which sees all
// requests that it places. It has one token bucket per target, which fills with the limit and
// begins empty, because the leader does not know how much the previous leader has spent. In a
// partitioned fleet, each partition with a leader gets a part of the limit that equals its part of
// the fleet. A VM without decisions from a leader sends nothing to a limited target.
// RetryDelays spreads the retries of refused callers.
//
// With a limit of N per second the bucket holds 1 + burstTime x N requests. In any window of W
// seconds the fleet sends at most W x N requests and the content of the bucket, and N times the
// overlap more where two VMs act as leaders at once until one of them detects it.
//
// The types have no clock and do no I/O, and are not safe for concurrent use.
package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Limit is the rate limit of a target as known to this VM.
type Limit struct {
	PerSecond float64
	// Stamp changes with each response that confirms or changes the limit; 0 means that there is
	// no limit.
	Stamp uint64
	// Since is when this VM first learned of the limit.
	Since time.Time
}

// Table holds the limits of targets by ID.
type Table struct {
	limits map[string]Limit
	stamp  uint64
}

// NewTable returns an empty Table whose stamps are above the given one.
func NewTable(stamp uint64) *Table { return &Table{limits: map[string]Limit{}, stamp: stamp} }

// Limit returns the limit of a target.
func (t *Table) Limit(target string) Limit { return t.limits[target] }

// Rates returns the limits by target, in requests per second.
func (t *Table) Rates() map[string]float64 {
	out := make(map[string]float64, len(t.limits))
	for id, l := range t.limits {
		out[id] = l.PerSecond
	}
	return out
}

// ObserveLimit records the limit in a response to a request that was placed when the limit had the
// given stamp. Responses may overtake each other, so a limit above the known one counts only if the
// known one has not been confirmed or changed since the request was placed. ObserveLimit reports
// whether the limit changed.
func (t *Table) ObserveLimit(now time.Time, target string, perSecond float64, stamp uint64) (changed bool) {
	l, known := t.limits[target]
	if known && perSecond > l.PerSecond && stamp != l.Stamp {
		return false
	}
	changed = !known || perSecond != l.PerSecond
	if !known {
		l.Since = now
	}
	t.stamp++
	l.PerSecond, l.Stamp = perSecond, t.stamp
	t.limits[target] = l
	return changed
}

// ObserveNoLimit records a response without a limit. The known limit ends only if it has not been
// confirmed or changed since the request was placed. ObserveNoLimit reports whether it ended.
func (t *Table) ObserveNoLimit(target string, stamp uint64) (changed bool) {
	l, known := t.limits[target]
	if !known || stamp != l.Stamp {
		return false
	}
	delete(t.limits, target)
	return true
}

// ApplyUpdate applies a limit, or its end, as reported by the leader.
func (t *Table) ApplyUpdate(now time.Time, target string, perSecond float64, ended bool) {
	if ended {
		delete(t.limits, target)
		return
	}
	t.ObserveLimit(now, target, perSecond, t.limits[target].Stamp)
}

// Empty reports whether no target is limited.
func (t *Table) Empty() bool { return len(t.limits) == 0 }

// Targets returns the IDs of the limited targets in sorted order.
func (t *Table) Targets() []string { return slices.Sorted(maps.Keys(t.limits)) }

// Retain removes the limits of the targets for which keep returns false.
func (t *Table) Retain(keep func(target string) bool) {
	maps.DeleteFunc(t.limits, func(id string, _ Limit) bool { return !keep(id) })
}
