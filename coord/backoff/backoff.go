// Package backoff tracks the targets that have requested a backoff from this VM.
//
// A target that rejects a request may request a backoff from the VM that sent it, and from no
// other VM. The backoff applies until it expires: a later request for a shorter one does not
// end it. VMs that were rejected together do not return together, see returnSpreadRatio.
//
// Table has no clock and does no I/O. It is not safe for concurrent use.
package backoff

import (
	"maps"
	"slices"
	"time"
)

const (
	// After a backoff, the returns of VMs are spread over returnSpreadRatio times its duration,
	// but over maxReturnSpread at most.
	returnSpreadRatio = 0.25
	maxReturnSpread   = time.Second
)

// Table holds the targets with a backoff, by ID. A target that restarts has a new ID.
type Table struct{ until map[string]time.Time }

// New returns an empty Table.
func New() *Table { return &Table{until: map[string]time.Time{}} }

// Record records that a target has requested a backoff of the given duration. jitter, between
// 0 and 1, selects the point within the return spread at which this VM returns.
func (t *Table) Record(now time.Time, target string, duration time.Duration, jitter float64) {
	spread := min(returnSpreadRatio*float64(duration), float64(maxReturnSpread))
	until := now.Add(duration + time.Duration(jitter*spread))
	if until.After(t.until[target]) {
		t.until[target] = until
	}
}

// Remaining returns the remaining backoff of a target, or 0 if it has none.
func (t *Table) Remaining(now time.Time, target string) time.Duration {
	return max(t.until[target].Sub(now), 0)
}

// ActiveTargets returns the IDs of the targets with an active backoff, sorted.
func (t *Table) ActiveTargets(now time.Time) []string {
	t.removeExpired(now)
	return slices.Sorted(maps.Keys(t.until))
}

// FirstExpiry returns the time until the first backoff among targets expires. It returns 0 if
// one of them has no backoff or targets is empty.
func (t *Table) FirstExpiry(now time.Time, targets []string) (wait time.Duration) {
	for i, id := range targets {
		if remaining := t.Remaining(now, id); i == 0 || remaining < wait {
			wait = remaining
		}
	}
	return wait
}

func (t *Table) removeExpired(now time.Time) {
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}
