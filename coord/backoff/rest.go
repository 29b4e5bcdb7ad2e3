// Package rest keeps until when targets want no requests from this VM.
//
// A target that turns a request away may ask for rest, of the VM that sent it and of no other. What
// it asked for stands until it is over: a shorter rest asked for later does not end it. VMs that were
// turned away together do not return together, see returnShare.
//
// Table has no clock and does no I/O. It is not safe for concurrent use.
package backoff

import (
	"maps"
	"slices"
	"time"
)

const (
	// returnShare of a rest, returnMost at most, is the span over which VMs return after it.
	returnShare = 0.25
	returnMost  = time.Second
)

// Table holds the targets that rest, by id: one that starts anew has another id.
type Table struct{ until map[string]time.Time }

// New returns an empty Table.
func New() *Table { return &Table{until: map[string]time.Time{}} }

// Record takes that a target asked for rest. chance is between 0 and 1 and says where in the span this
// VM returns.
func (t *Table) Record(now time.Time, target string, rest time.Duration, chance float64) {
	span := min(returnShare*float64(rest), float64(returnMost))
	until := now.Add(rest + time.Duration(chance*span))
	if until.After(t.until[target]) {
		t.until[target] = until
	}
}

// Remaining is for how long a target rests; 0: it does not.
func (t *Table) Remaining(now time.Time, target string) time.Duration {
	return max(t.until[target].Sub(now), 0)
}

// ActiveTargets lists the targets that rest.
func (t *Table) ActiveTargets(now time.Time) []string {
	t.forget(now)
	return slices.Sorted(maps.Keys(t.until))
}

// FirstExpiry is how long it takes until the first of some targets wakes; 0 if one of them does not
// rest, or there is none.
func (t *Table) FirstExpiry(now time.Time, targets []string) (wait time.Duration) {
	for i, id := range targets {
		if left := t.Remaining(now, id); i == 0 || left < wait {
			wait = left
		}
	}
	return wait
}

func (t *Table) forget(now time.Time) {
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return !now.Before(until) })
}
