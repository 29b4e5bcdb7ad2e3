package scheduler

import (
	"math"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// heat is the request rate of an adapter, as a count that decays exponentially.
type heat struct {
	value float64
	// recent and burst are such counts with the half-lives demandHalfLife and burstHalfLife.
	recent, burst float64
	updatedAt     time.Time
}

// heatHalfLife is the time in which past requests lose half of their weight: several times the
// duration of a stream, and well below the duration of a shift in demand.
const heatHalfLife = 10 * time.Second

// remaining returns the part of a count that is left since the last request.
func (h *heat) remaining(now time.Time, halfLife time.Duration) float64 {
	return math.Exp2(-float64(now.Sub(h.updatedAt)) / float64(halfLife))
}

func (h *heat) valueAt(now time.Time) float64 {
	return h.value * h.remaining(now, heatHalfLife)
}

func (h *heat) recentAt(now time.Time) float64 {
	return h.recent * h.remaining(now, demandHalfLife)
}

func (h *heat) burstAt(now time.Time) float64 {
	return h.burst * h.remaining(now, burstHalfLife)
}

// ratePerSecond returns the current request rate: the mean of the last seconds, or, if it is
// greater, the rate that the last tenths of a second show for certain.
func (h *heat) ratePerSecond(now time.Time) float64 {
	rate := h.recentAt(now) * math.Ln2 / demandHalfLife.Seconds()
	n := h.burstAt(now)
	// The variance of a decaying count of random arrivals is half of its mean.
	certain := n - burstDeviations*math.Sqrt(n/2)
	return max(rate, certain*math.Ln2/burstHalfLife.Seconds())
}

// add counts one request.
func (h *heat) add(now time.Time) {
	h.value = h.valueAt(now) + 1
	h.recent = h.recentAt(now) + 1
	h.burst = h.burstAt(now) + 1
	h.updatedAt = now
}

func (s *Scheduler) addHeat(now time.Time, ref coord.AdapterRef) {
	h := s.heat[ref]
	if h == nil {
		h = &heat{updatedAt: now}
		s.heat[ref] = h
	}
	h.add(now)
	s.observeDemand(now, ref, h)
}

func (s *Scheduler) heatOf(now time.Time, ref coord.AdapterRef) float64 {
	if h := s.heat[ref]; h != nil {
		return h.valueAt(now)
	}
	return 0
}

// minResidency is the minimum time that a newly loaded adapter stays loaded. It keeps two adapters
// from evicting each other in turn.
const minResidency = 300 * time.Millisecond

// victim returns the adapter to evict for another one, which is the evictable adapter with the
// lowest heat, and that heat. ok is false if no adapter may be evicted.
func (s *Scheduler) victim(now time.Time, t *target) (ref coord.AdapterRef, victimHeat float64, ok bool) {
	if !s.isRunningKnown(now) {
		return ref, 0, false
	}
	var victimUsed time.Time
	for _, held := range t.held {
		r, sl := held.ref, held.slot
		if sl.state != resident || sl.inUse > 0 || now.Before(sl.pinnedUntil) || now.Sub(sl.stateSince) < minResidency {
			continue
		}
		h := s.heatOf(now, r)
		if !ok || h < victimHeat || h == victimHeat && sl.lastUsed.Before(victimUsed) {
			ref, victimHeat, victimUsed, ok = r, h, sl.lastUsed, true
		}
	}
	return ref, victimHeat, ok
}
