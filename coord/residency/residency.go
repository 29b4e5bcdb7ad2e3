// Package residency tracks the adapter slots of one target: which adapters are resident,
// loading or being unloaded, which are pinned by running requests, and which one should
// be evicted next.
//
// Victim never returns an adapter that is pinned, that a recently aborted request may
// still use, or that is held for an earlier owner, and it returns an adapter of this owner
// only after it has been resident for MinResident. Operations are O(slots).
package residency

import (
	"math"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// State is the state of one slot.
type State int

// The states of a slot.
const (
	Loading State = iota + 1
	Resident
	Unloading
)

// Slot is one occupied adapter slot.
type Slot struct {
	// Adapter is the adapter in the slot; the zero value for a name that was not recognized.
	Adapter coord.Adapter
	// Name is the adapter's name at the engine.
	Name  string
	State State
	// Pins counts the running requests that use the adapter.
	Pins int
	// Held means that an earlier owner of the target may still use the adapter.
	Held bool
	// Foreign means that this owner does not run requests on the adapter.
	Foreign bool

	// otherOwner marks an adapter that appeared under another owner's fencing token while
	// this owner served.
	otherOwner bool
	// inherited marks an adapter that was resident when this owner took over, or that an
	// earlier owner may still use.
	inherited bool
	// since is when the load began or, once the adapter is resident, when it became so.
	since time.Time
	// busyUntil is the time until which the target may still run an aborted request.
	busyUntil time.Time
}

// inUse reports whether a request may be using the adapter.
func (s *Slot) inUse(now time.Time) bool { return s.Pins > 0 || now.Before(s.busyUntil) }

// Config holds the fixed settings of a Table.
type Config struct {
	// Slots is the number of adapter slots of the target.
	Slots int
	// MinResident is the minimum time for which a loaded adapter stays before it may be
	// evicted, so that two adapters do not keep evicting each other.
	MinResident time.Duration
	// HeatHalfLife is the time in which the heat of an adapter decays by half.
	HeatHalfLife time.Duration
}

// Table holds the occupied adapter slots of one target and the heat of adapters.
type Table struct {
	cfg   Config
	slots []*Slot
	heat  heatMap
}

// New returns a Table without occupied slots.
func New(cfg Config) *Table { return &Table{cfg: cfg, heat: heatMap{}} }

// RecordRequest counts a request for a, whether a is resident or not.
func (t *Table) RecordRequest(now time.Time, a coord.Adapter) { t.heat.add(now, a, t.cfg.HeatHalfLife) }

// Heat returns the decayed number of requests for a.
func (t *Table) Heat(now time.Time, a coord.Adapter) float64 {
	return t.heat.at(now, a, t.cfg.HeatHalfLife)
}

// Slots returns the occupied slots. The slice belongs to the Table and must not be modified.
func (t *Table) Slots() []*Slot { return t.slots }

// Free returns the number of empty slots.
func (t *Table) Free() int { return t.cfg.Slots - len(t.slots) }

// Blocked reports whether every slot is held, so that no adapter can be loaded until a
// hold ends.
func (t *Table) Blocked() bool {
	for _, s := range t.slots {
		if !s.Held {
			return false
		}
	}
	return t.Free() <= 0
}

// Find returns the slot of an adapter that this owner may use, or nil.
func (t *Table) Find(a coord.Adapter) *Slot {
	for _, s := range t.slots {
		if !s.Foreign && s.Adapter == a {
			return s
		}
	}
	return nil
}

// IsResident reports whether a is resident, so that requests may use it.
func (t *Table) IsResident(a coord.Adapter) bool {
	s := t.Find(a)
	return s != nil && s.State == Resident
}

// Pin counts a running request that uses a. It returns false and pins nothing when a is
// not resident.
func (t *Table) Pin(a coord.Adapter) bool {
	s := t.Find(a)
	if s == nil || s.State != Resident {
		return false
	}
	s.Pins++
	return true
}

// Unpin records that a request that used a has ended.
func (t *Table) Unpin(a coord.Adapter) {
	if s := t.Find(a); s != nil && s.Pins > 0 {
		s.Pins--
	}
}

// UnpinAborted records that a request that used a was aborted: its connection was closed
// before its end. The target may continue to run it for coord.AbortedRequestTime.
func (t *Table) UnpinAborted(now time.Time, a coord.Adapter) {
	t.Unpin(a)
	if s := t.Find(a); s != nil {
		s.busyUntil = now.Add(coord.AbortedRequestTime)
	}
}

// BeginLoad assigns a free slot to a. It returns false when no slot is free or a already
// has one.
func (t *Table) BeginLoad(now time.Time, a coord.Adapter, name string) bool {
	if t.Free() <= 0 || t.Find(a) != nil {
		return false
	}
	t.slots = append(t.slots, &Slot{Adapter: a, Name: name, State: Loading, since: now})
	return true
}

// Loaded records that the load of a has finished.
func (t *Table) Loaded(now time.Time, a coord.Adapter) {
	if s := t.Find(a); s != nil && s.State == Loading {
		s.State = Resident
		s.since = now
	}
}

// Drop empties the slot of the adapter with the given name at the engine, after an unload
// or a failed load.
func (t *Table) Drop(name string) {
	for i, s := range t.slots {
		if s.Name == name {
			t.slots = append(t.slots[:i], t.slots[i+1:]...)
			return
		}
	}
}

// BeginUnload marks the slot with the given name as unloading, so that no new requests use
// it. It returns false when the slot is in use, held or not resident, or does not exist.
func (t *Table) BeginUnload(now time.Time, name string) bool {
	for _, s := range t.slots {
		if s.Name == name {
			return beginUnload(now, s)
		}
	}
	return false
}

// beginUnload marks a slot as unloading. It returns false when the slot is in use, held or
// not resident.
func beginUnload(now time.Time, s *Slot) bool {
	if s.State != Resident || s.inUse(now) || s.Held {
		return false
	}
	s.State = Unloading
	return true
}

// Victim returns the name of the adapter to evict: a foreign one if there is one, otherwise
// the coldest. It skips adapters of this owner for which keep returns true. ok is false when
// no adapter may be evicted.
func (t *Table) Victim(now time.Time, keep func(coord.Adapter) bool) (name string, ok bool) {
	coldest := math.Inf(1)
	for _, s := range t.slots {
		if !t.evictable(now, s) || (!s.Foreign && keep(s.Adapter)) {
			continue
		}
		heat := 0.0
		if !s.Foreign {
			heat = t.Heat(now, s.Adapter)
		}
		if heat < coldest {
			name, coldest, ok = s.Name, heat, true
		}
	}
	return name, ok
}

// evictable reports whether the adapter in s may be evicted.
func (t *Table) evictable(now time.Time, s *Slot) bool {
	if s.State != Resident || s.inUse(now) || s.Held {
		return false
	}
	return s.Foreign || now.Sub(s.since) >= t.cfg.MinResident
}

// Inherit replaces the slots by the adapters that the target reports as resident. All of
// them are held until SetHolds is called. They are foreign if usable is false or parse does
// not recognize the name: this owner may not run requests on them.
func (t *Table) Inherit(now time.Time, names []string, parse func(string) (coord.Adapter, bool), usable bool) {
	t.slots = t.slots[:0]
	for _, name := range names {
		a, parsed := parse(name)
		s := &Slot{Adapter: a, Name: name, State: Resident, Held: true, inherited: true, since: now}
		s.Foreign = !usable || !parsed
		t.slots = append(t.slots, s)
	}
}

// SetHolds sets which inherited adapters earlier owners may still use: all of them, or the
// given names. Adapters that Reconcile found under another owner's name stay held.
func (t *Table) SetHolds(all bool, names []string) {
	for _, s := range t.slots {
		s.Held = s.otherOwner || (s.inherited && (all || slices.Contains(names, s.Name)))
	}
}

// InUse returns the names of the adapters that requests use, including recently aborted
// requests.
func (t *Table) InUse(now time.Time) []string {
	var names []string
	for _, s := range t.slots {
		if s.inUse(now) {
			names = append(names, s.Name)
		}
	}
	return names
}

// Reconcile updates the slots from the target's report. Slots that the report does not list
// are dropped, except for loads in progress. Names that the table lacks are added, so that
// their slots do not count as free. parseOwn parses the names that this owner would assign;
// held reports whether an earlier owner may still use those. Any other name belongs to
// another owner and is held permanently.
func (t *Table) Reconcile(now time.Time, names []string, parseOwn func(string) (coord.Adapter, bool), held bool) {
	unmatched := make(map[string]bool, len(names))
	for _, name := range names {
		unmatched[name] = true
	}
	kept := t.slots[:0]
	for _, s := range t.slots {
		if s.State == Loading || unmatched[s.Name] {
			kept = append(kept, s)
			delete(unmatched, s.Name)
		}
	}
	t.slots = kept
	for _, name := range names {
		if unmatched[name] {
			a, isOwn := parseOwn(name)
			t.slots = append(t.slots, &Slot{
				Adapter: a, Name: name, State: Resident, Held: held || !isOwn, Foreign: !isOwn, otherOwner: !isOwn, inherited: held, since: now,
			})
		}
	}
}
