// Package residency keeps the adapter slots of one target: what is resident,
// loading or being unloaded, what is pinned by running requests, and which
// adapter is the cheapest to give up.
//
// It promises that Victim never returns an adapter that is pinned, that a request
// broken off lately may still use, that is held for an earlier owner, or younger than
// MinResident. Operations are O(slots).
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
	// Adapter in the slot; the zero value for a foreign name.
	Adapter coord.Adapter
	// Name of the adapter at the engine.
	Name  string
	State State
	// Pins counts the running requests that use the adapter.
	Pins int
	// Held means that an earlier owner of the target may still use it.
	Held bool
	// Foreign means that this owner does not run requests on the name.
	Foreign bool

	// stranger marks a name that appeared under another owner's number while
	// this one served.
	stranger bool
	// inherited marks what the target held when this owner took over.
	inherited bool
	since     time.Time
	// busyUntil is until when the target may still work on a request that was
	// broken off.
	busyUntil time.Time
}

// inUse reports whether a request may be using the adapter.
func (s *Slot) inUse(now time.Time) bool { return s.Pins > 0 || now.Before(s.busyUntil) }

// Config holds the fixed settings of a Table.
type Config struct {
	// Slots of the target.
	Slots int
	// MinResident is how long a loaded adapter stays before it may be a victim,
	// so that two adapters do not chase each other out.
	MinResident time.Duration
	// HeatHalfLife is the time in which the memory of a use fades by half.
	HeatHalfLife time.Duration
}

// Table is the slots of one target.
type Table struct {
	cfg   Config
	slots []*Slot
	heat  heatMap
}

// New returns an empty Table.
func New(cfg Config) *Table { return &Table{cfg: cfg, heat: heatMap{}} }

// RecordRequest counts a request for a, resident or not.
func (t *Table) RecordRequest(now time.Time, a coord.Adapter) { t.heat.add(now, a, t.cfg.HeatHalfLife) }

// Heat returns how often a was asked for of late.
func (t *Table) Heat(now time.Time, a coord.Adapter) float64 {
	return t.heat.at(now, a, t.cfg.HeatHalfLife)
}

// Slots returns the occupied slots. The slice is the table's own.
func (t *Table) Slots() []*Slot { return t.slots }

// Free returns how many slots are empty.
func (t *Table) Free() int { return t.cfg.Slots - len(t.slots) }

// Blocked reports whether every slot is held, so that nothing can be loaded
// until a hold ends.
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

// IsResident reports whether requests may run on a now.
func (t *Table) IsResident(a coord.Adapter) bool {
	s := t.Find(a)
	return s != nil && s.State == Resident
}

// Pin marks a running request on a. It returns false, and pins nothing, when a
// is not resident.
func (t *Table) Pin(a coord.Adapter) bool {
	s := t.Find(a)
	if s == nil || s.State != Resident {
		return false
	}
	s.Pins++
	return true
}

// Unpin ends a running request on a.
func (t *Table) Unpin(a coord.Adapter) {
	if s := t.Find(a); s != nil && s.Pins > 0 {
		s.Pins--
	}
}

// UnpinAborted ends a running request on a whose connection was closed before its
// end. The target may go on with it for coord.AbortedRequestTime.
func (t *Table) UnpinAborted(now time.Time, a coord.Adapter) {
	t.Unpin(a)
	if s := t.Find(a); s != nil {
		s.busyUntil = now.Add(coord.AbortedRequestTime)
	}
}

// BeginLoad takes a free slot for a. It returns false when there is none or a
// has one already.
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

// Drop empties the slot that holds the engine's name, after an unload or a
// failed load.
func (t *Table) Drop(name string) {
	for i, s := range t.slots {
		if s.Name == name {
			t.slots = append(t.slots[:i], t.slots[i+1:]...)
			return
		}
	}
}

// BeginUnload closes the slot that holds name to new requests. It returns
// false when the slot is in use, held or not resident.
func (t *Table) BeginUnload(now time.Time, name string) bool {
	for _, s := range t.slots {
		if s.Name == name {
			return closeSlot(now, s)
		}
	}
	return false
}

func closeSlot(now time.Time, s *Slot) bool {
	if s.State != Resident || s.inUse(now) || s.Held {
		return false
	}
	s.State = Unloading
	return true
}

// Victim returns the name of the adapter that costs least to give up: a foreign
// one, else the coldest. Adapters for which keep returns true are passed over.
func (t *Table) Victim(now time.Time, keep func(coord.Adapter) bool) (name string, ok bool) {
	coldest := math.Inf(1)
	for _, s := range t.slots {
		if !t.evictable(now, s) || (!s.Foreign && keep(s.Adapter)) {
			continue
		}
		h := 0.0
		if !s.Foreign {
			h = t.Heat(now, s.Adapter)
		}
		if h < coldest {
			name, coldest, ok = s.Name, h, true
		}
	}
	return name, ok
}

func (t *Table) evictable(now time.Time, s *Slot) bool {
	if s.State != Resident || s.inUse(now) || s.Held {
		return false
	}
	return s.Foreign || now.Sub(s.since) >= t.cfg.MinResident
}

// Inherit takes over what the target reports as resident. Everything is held
// until SetHolds. When usable is false the names count as foreign: this
// owner may not run requests on them.
func (t *Table) Inherit(now time.Time, names []string, parse func(string) (coord.Adapter, bool), usable bool) {
	t.slots = t.slots[:0]
	for _, n := range names {
		a, known := parse(n)
		s := &Slot{Adapter: a, Name: n, State: Resident, Held: true, inherited: true, since: now}
		s.Foreign = !usable || !known
		t.slots = append(t.slots, s)
	}
}

// SetHolds says what earlier owners may still use: everything that was found, or
// the given names. What Reconcile found under another owner's name stays held.
func (t *Table) SetHolds(all bool, names []string) {
	for _, s := range t.slots {
		s.Held = s.stranger || (s.inherited && (all || slices.Contains(names, s.Name)))
	}
}

// InUse returns the names that requests use, those broken off lately included.
func (t *Table) InUse(now time.Time) []string {
	var out []string
	for _, s := range t.slots {
		if s.inUse(now) {
			out = append(out, s.Name)
		}
	}
	return out
}

// Reconcile makes the slots agree with the target's report: slots that it does
// not list are dropped, and names that the table lacks are added, so that their
// slots are not taken for free. A load under way stays. own reads the names that
// this owner would give; held says whether an earlier owner may still use them.
// Any other name belongs to someone else and is held for good.
func (t *Table) Reconcile(now time.Time, names []string, own func(string) (coord.Adapter, bool), held bool) {
	have := make(map[string]bool, len(names))
	for _, n := range names {
		have[n] = true
	}
	kept := t.slots[:0]
	for _, s := range t.slots {
		if s.State == Loading || have[s.Name] {
			kept = append(kept, s)
			delete(have, s.Name)
		}
	}
	t.slots = kept
	for _, n := range names {
		if have[n] {
			a, mine := own(n)
			t.slots = append(t.slots, &Slot{
				Adapter: a, Name: n, State: Resident, Held: held || !mine, Foreign: !mine, stranger: !mine, inherited: held, since: now,
			})
		}
	}
}
