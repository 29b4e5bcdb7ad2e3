package placement

import "time"

// SpreadConfig holds the settings of a Spread.
type SpreadConfig struct {
	// GrowThreshold is the share of a target's batch that one adapter must fill there
	// before it is spread over twice as many targets.
	GrowThreshold float64
	// ShrinkAfter is how long an adapter must stay below half of GrowAt before
	// its spread is halved.
	ShrinkAfter time.Duration
}

// DefaultSpreadConfig returns the settings that the daemon runs with when load
// stalls weigh all.
func DefaultSpreadConfig() SpreadConfig {
	return SpreadConfig{GrowThreshold: 1, ShrinkAfter: 20 * time.Second}
}

// Spread decides over how many targets each adapter is spread. Only adapters
// with a spread above one are kept, so its size follows the few hot ones.
type Spread struct {
	cfg SpreadConfig
	hot map[uint64]*hotAdapter
}

type hotAdapter struct {
	width    int
	lastBusy time.Time
	changed  time.Time
}

// SetConfig takes new settings; adapters keep the spread they have.
func (s *Spread) SetConfig(cfg SpreadConfig) { s.cfg = cfg }

// NewSpread returns a Spread where every adapter has one target.
func NewSpread(cfg SpreadConfig) *Spread {
	return &Spread{cfg: cfg, hot: map[uint64]*hotAdapter{}}
}

// Width returns the spread of an adapter.
func (s *Spread) Width(key uint64) int {
	if h := s.hot[key]; h != nil {
		return h.width
	}
	return 1
}

// growPause is the least time between two steps of growth, so that reports made
// before a step took effect do not cause the next.
const growPause = 500 * time.Millisecond

// ObserveLoad takes an owner's word that same requests of the adapter run or wait at
// a target whose batch is batch.
func (s *Spread) ObserveLoad(now time.Time, key uint64, same, batch int) {
	share := float64(same) / float64(max(batch, 1))
	h := s.hot[key]
	if h == nil {
		if share >= s.cfg.GrowThreshold {
			s.hot[key] = &hotAdapter{width: 2, lastBusy: now, changed: now}
		}
		return
	}
	if share >= s.cfg.GrowThreshold/2 {
		h.lastBusy = now
	}
	if share >= s.cfg.GrowThreshold && now.Sub(h.changed) >= growPause {
		h.width = min(h.width*2, MaxSpread)
		h.changed = now
	}
}

// Tick narrows the adapters that have not been busy.
func (s *Spread) Tick(now time.Time) {
	for key, h := range s.hot {
		if now.Sub(h.lastBusy) < s.cfg.ShrinkAfter {
			continue
		}
		h.width /= 2
		h.lastBusy = now
		if h.width <= 1 {
			delete(s.hot, key)
		}
	}
}
