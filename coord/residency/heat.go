package residency

import (
	"math"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// heatMap holds the decayed request rates of adapters. It includes adapters that are not
// resident, so that an evicted adapter keeps its heat when it is loaded again.
type heatMap map[coord.Adapter]heat

// heat is the heat of one adapter at a time. It decays exponentially from then on.
type heat struct {
	value float64
	at    time.Time
}

// maxHeatEntries bounds the number of adapters in a heatMap. When it is reached, the entries
// that are not hotter than the mean are removed.
const maxHeatEntries = 2048

// add counts one request for a.
func (m heatMap) add(now time.Time, a coord.Adapter, halfLife time.Duration) {
	if len(m) >= maxHeatEntries {
		m.evictCold(now, halfLife)
	}
	m[a] = heat{value: m.at(now, a, halfLife) + 1, at: now}
}

// at returns the heat of a at the given time.
func (m heatMap) at(now time.Time, a coord.Adapter, halfLife time.Duration) float64 {
	h, ok := m[a]
	if !ok {
		return 0
	}
	halfLives := float64(now.Sub(h.at)) / float64(halfLife)
	return h.value * math.Exp2(-halfLives)
}

// evictCold removes the entries that are not hotter than the mean, which is at least one entry.
func (m heatMap) evictCold(now time.Time, halfLife time.Duration) {
	sum := 0.0
	for a := range m {
		sum += m.at(now, a, halfLife)
	}
	mean := sum / float64(len(m))
	for a := range m {
		if m.at(now, a, halfLife) <= mean {
			delete(m, a)
		}
	}
}
