package placement

import "time"

// SpreadConfig holds the settings of a Spread.
type SpreadConfig struct {
	// GrowThreshold is the share of a target's batch that one adapter must fill there before it
	// is spread over twice as many targets.
	GrowThreshold float64
	// ShrinkAfter is how long an adapter must stay below half of GrowThreshold before its spread
	// is halved.
	ShrinkAfter time.Duration
}

// DefaultSpreadConfig returns the daemon's settings for full weight on load stalls.
func DefaultSpreadConfig() SpreadConfig {
	return SpreadConfig{GrowThreshold: 1, ShrinkAfter: 20 * time.Second}
}

// Spread decides over how many targets each adapter is spread. It stores only adapters with a spread
// above one, so that its size follows the few hot ones.
type Spread struct {
	cfg SpreadConfig
	hot map[uint64]*hotAdapter
}

type hotAdapter struct {
	width     int
	lastBusy  time.Time
	lastGrown time.Time
}

// SetConfig replaces the settings; adapters keep their spread.
func (s *Spread) SetConfig(cfg SpreadConfig) { s.cfg = cfg }

// NewSpread returns a Spread in which every adapter has one target.
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

// minGrowInterval is the minimum time between two growth steps, so that reports from before a step
// took effect do not cause the next.
const minGrowInterval = 500 * time.Millisecond

// ObserveLoad records an owner's report of the adapter's running and waiting requests at a target with
// the given batch size.
func (s *Spread) ObserveLoad(now time.Time, key uint64, requests, batch int) {
	share := float64(requests) / float64(max(batch, 1))
	h := s.hot[key]
	if h == nil {
		if share >= s.cfg.GrowThreshold {
			s.hot[key] = &hotAdapter{width: 2, lastBusy: now, lastGrown: now}
		}
		return
	}
	if share >= s.cfg.GrowThreshold/2 {
		h.lastBusy = now
	}
	if share >= s.cfg.GrowThreshold && now.Sub(h.lastGrown) >= minGrowInterval {
		h.width = min(h.width*2, MaxSpread)
		h.lastGrown = now
	}
}

// Tick narrows the spread of adapters that have not been busy for ShrinkAfter.
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
