package placement

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Load is what one VM knows of a target.
type Load struct {
	Running int
	Queued  int
	// Leaving is the target's own word.
	Leaving bool
	// EjectedUntil is the end of the pause after failures; zero for none.
	EjectedUntil time.Time

	failures int
	heard    time.Time
}

// LoadTrackerConfig holds the settings of a Board.
type LoadTrackerConfig struct {
	// EjectAfter is how many failures in a row eject a target.
	EjectAfter int
	// BaseEjectionTime is the first pause; it doubles with each failed probe.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the pause.
	MaxEjectionTime time.Duration
	// StaleAfter is the age at which a report of load counts no more.
	StaleAfter time.Duration
}

// DefaultLoadTrackerConfig returns the settings that the daemon runs with.
func DefaultLoadTrackerConfig() LoadTrackerConfig {
	return LoadTrackerConfig{
		EjectAfter:       3,
		BaseEjectionTime: 500 * time.Millisecond,
		MaxEjectionTime:  15 * time.Second,
		StaleAfter:       5 * time.Second,
	}
}

// LoadTracker is what one VM knows of all targets.
type LoadTracker struct {
	cfg   LoadTrackerConfig
	loads map[coord.TargetID]*Load
}

// NewLoadTracker returns an empty Board.
func NewLoadTracker(cfg LoadTrackerConfig) *LoadTracker {
	return &LoadTracker{cfg: cfg, loads: map[coord.TargetID]*Load{}}
}

var noLoad = &Load{}

func (b *LoadTracker) load(id coord.TargetID) *Load {
	if l := b.loads[id]; l != nil {
		return l
	}
	return noLoad
}

func (b *LoadTracker) entry(id coord.TargetID) *Load {
	l := b.loads[id]
	if l == nil {
		l = &Load{}
		b.loads[id] = l
	}
	return l
}

// ObserveLoad takes an owner's word on a target's load.
func (b *LoadTracker) ObserveLoad(now time.Time, id coord.TargetID, running, queued int) {
	l := b.entry(id)
	l.Running, l.Queued, l.heard = running, queued, now
}

// RecordSent counts a request that this VM has just sent, until the next word.
func (b *LoadTracker) RecordSent(id coord.TargetID) { b.entry(id).Running++ }

// SetLeaving takes the target's word that it is leaving, or not.
func (b *LoadTracker) SetLeaving(id coord.TargetID, leaving bool) { b.entry(id).Leaving = leaving }

// RecordSuccess ends a target's ejection.
func (b *LoadTracker) RecordSuccess(id coord.TargetID) {
	l := b.entry(id)
	l.failures = 0
	l.EjectedUntil = time.Time{}
}

// RecordFailure counts a failure. It returns true when the target is ejected by it.
func (b *LoadTracker) RecordFailure(now time.Time, id coord.TargetID) bool {
	l := b.entry(id)
	l.failures++
	over := l.failures - b.cfg.EjectAfter
	if over < 0 {
		return false
	}
	l.EjectedUntil = now.Add(min(b.cfg.BaseEjectionTime<<min(over, maxDoublings), b.cfg.MaxEjectionTime))
	return true
}

// maxDoublings keeps the shift of a pause from overflowing.
const maxDoublings = 16

// ExpireStale drops stale reports, so that an idle target does not look busy for
// ever.
func (b *LoadTracker) ExpireStale(now time.Time) {
	for _, l := range b.loads {
		if now.Sub(l.heard) >= b.cfg.StaleAfter {
			l.Running, l.Queued = 0, 0
		}
	}
}

// Ejected reports whether a target is passed over at this time.
func (b *LoadTracker) Ejected(now time.Time, id coord.TargetID) bool {
	l := b.load(id)
	return !l.EjectedUntil.IsZero() && now.Before(l.EjectedUntil)
}
