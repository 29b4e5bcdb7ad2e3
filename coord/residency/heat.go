package residency

import (
	"math"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// heatMap remembers how often adapters were asked for, with a memory that fades.
// It covers adapters that are not resident too: one that was pushed out and comes
// back is not taken for new.
type heatMap map[coord.Adapter]heat

type heat struct {
	value float64
	at    time.Time
}

// maxHeat bounds the adapters remembered; the coldest half is forgotten then.
const maxHeat = 2048

func (m heatMap) add(now time.Time, a coord.Adapter, halfLife time.Duration) {
	if len(m) >= maxHeat {
		m.forget(now, halfLife)
	}
	m[a] = heat{value: m.at(now, a, halfLife) + 1, at: now}
}

func (m heatMap) at(now time.Time, a coord.Adapter, halfLife time.Duration) float64 {
	h, ok := m[a]
	if !ok {
		return 0
	}
	halves := float64(now.Sub(h.at)) / float64(halfLife)
	return h.value * math.Exp2(-halves)
}

// forget drops what is colder than the mean, which is at least one entry.
func (m heatMap) forget(now time.Time, halfLife time.Duration) {
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
