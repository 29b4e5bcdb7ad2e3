// Package ratelimit keeps requests to targets within the rates that the targets name in their answers:
// so many requests a second from all VMs together, for as long as the answers say so.
//
// Table holds what targets said, at each VM. Pacer spaces requests at the VM that is asked for targets,
// which sees all that it places: one bucket a target, that fills with the limit and begins empty, since
// nobody knows what the VM before gave out. Where VMs are cut off from each other, each part of the
// fleet that has such a VM gets the part of the limit that it is of the fleet. A VM that gets no verdict
// sends nothing to a limited target. Returns spreads the callers that are refused.
//
// With a limit of N a second the bucket holds 1 + burstTime x N. In any window of W seconds the fleet
// sends W x N and what the bucket held, and N times the overlap more where two VMs are asked at once
// until one of them notices.
//
// The types have no clock and do no I/O, and are not safe for concurrent use.
package ratelimit

import (
	"maps"
	"slices"
	"time"
)

// Limit is a target's limit as this VM knows it.
type Limit struct {
	PerSecond float64
	// Stamp changes with each answer that confirms or lowers the limit; 0: there is no limit.
	Stamp uint64
	// Since is when this VM first heard of it.
	Since time.Time
}

// Table holds the limits of targets by id.
type Table struct {
	limits map[string]Limit
	stamp  uint64
}

// NewTable returns an empty Table. Its stamps are above the given one.
func NewTable(stamp uint64) *Table { return &Table{limits: map[string]Limit{}, stamp: stamp} }

// Limit returns a target's limit.
func (t *Table) Limit(target string) Limit { return t.limits[target] }

// Rates returns the limits by target, in requests a second.
func (t *Table) Rates() map[string]float64 {
	out := make(map[string]float64, len(t.limits))
	for id, l := range t.limits {
		out[id] = l.PerSecond
	}
	return out
}

// ObserveLimit takes an answer that names a limit, to a request that was placed when Stamp was the given one.
// Answers may overtake each other, so a higher limit counts only where none as low has been heard of
// since then. It reports whether the limit changed.
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

// ObserveNoLimit takes an answer that names no limit, as Name does.
func (t *Table) ObserveNoLimit(target string, stamp uint64) (changed bool) {
	l, known := t.limits[target]
	if !known || stamp != l.Stamp {
		return false
	}
	delete(t.limits, target)
	return true
}

// ApplyUpdate takes the word of the VM that paces requests.
func (t *Table) ApplyUpdate(now time.Time, target string, perSecond float64, ended bool) {
	if ended {
		delete(t.limits, target)
		return
	}
	t.ObserveLimit(now, target, perSecond, t.limits[target].Stamp)
}

// Empty reports whether no target is limited.
func (t *Table) Empty() bool { return len(t.limits) == 0 }

// Targets lists the limited targets.
func (t *Table) Targets() []string { return slices.Sorted(maps.Keys(t.limits)) }

// Retain forgets the limits of targets that are not to be kept.
func (t *Table) Retain(keep func(target string) bool) {
	maps.DeleteFunc(t.limits, func(id string, _ Limit) bool { return !keep(id) })
}
