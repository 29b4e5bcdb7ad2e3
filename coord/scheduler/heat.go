package scheduler

import (
	"math"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// heat is how often an adapter is asked for, fading with time.
type heat struct {
	value float64
	at    time.Time
}

// heatHalfLife is the time in which past demand loses half of its weight: some
// times the life of a stream, well below that of a shift in demand.
const heatHalfLife = 10 * time.Second

func (h *heat) now(now time.Time) float64 {
	return h.value * math.Exp2(-float64(now.Sub(h.at))/float64(heatHalfLife))
}

// add counts one more.
func (h *heat) add(now time.Time) {
	h.value = h.now(now) + 1
	h.at = now
}

func (s *Scheduler) warmUp(now time.Time, ref coord.AdapterRef) {
	h := s.heat[ref]
	if h == nil {
		h = &heat{at: now}
		s.heat[ref] = h
	}
	h.add(now)
}

func (s *Scheduler) heatOf(now time.Time, ref coord.AdapterRef) float64 {
	if h := s.heat[ref]; h != nil {
		return h.now(now)
	}
	return 0
}

// minResident is how long a new adapter stays, so that two do not chase each other.
const minResident = 300 * time.Millisecond

// victim returns the adapter to unload for another, the least asked for; ok is
// false if none may go.
func (s *Scheduler) victim(now time.Time, t *target) (ref coord.AdapterRef, value float64, ok bool) {
	if !s.settled(now) {
		return ref, 0, false
	}
	var used time.Time
	for r, sl := range t.slots {
		if sl.state != resident || sl.inUse > 0 || now.Before(sl.heldUntil) || now.Sub(sl.since) < minResident {
			continue
		}
		h := s.heatOf(now, r)
		if !ok || h < value || h == value && sl.lastUse.Before(used) {
			ref, value, used, ok = r, h, sl.lastUse, true
		}
	}
	return ref, value, ok
}
