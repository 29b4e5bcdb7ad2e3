package placement

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Load is the load and health of a target as one VM knows it.
type Load struct {
	Running int
	Queued  int
	// Leaving is set while the target itself reports that it is leaving.
	Leaving bool
	// EjectedUntil is the end of the ejection after failures; zero: not ejected.
	EjectedUntil time.Time

	consecutiveFailures int
	updatedAt           time.Time
}

// LoadTrackerConfig holds the settings of a LoadTracker.
type LoadTrackerConfig struct {
	// EjectAfter is the number of consecutive failures that eject a target.
	EjectAfter int
	// BaseEjectionTime is the first ejection time; it doubles with each failed probe.
	BaseEjectionTime time.Duration
	// MaxEjectionTime bounds the ejection time.
	MaxEjectionTime time.Duration
	// StaleAfter is the age at which a load report expires.
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

// LoadTracker holds the load and health of all targets as one VM knows them.
type LoadTracker struct {
	cfg   LoadTrackerConfig
	loads map[coord.TargetID]*Load
}

// NewLoadTracker returns an empty LoadTracker.
func NewLoadTracker(cfg LoadTrackerConfig) *LoadTracker {
	return &LoadTracker{cfg: cfg, loads: map[coord.TargetID]*Load{}}
}

var noLoad = &Load{}

func (t *LoadTracker) load(id coord.TargetID) *Load {
	if l := t.loads[id]; l != nil {
		return l
	}
	return noLoad
}

func (t *LoadTracker) entry(id coord.TargetID) *Load {
	l := t.loads[id]
	if l == nil {
		l = &Load{}
		t.loads[id] = l
	}
	return l
}

// ObserveLoad records the load of a target as its owner reports it.
func (t *LoadTracker) ObserveLoad(now time.Time, id coord.TargetID, running, queued int) {
	l := t.entry(id)
	l.Running, l.Queued, l.updatedAt = running, queued, now
}

// RecordSent counts a request that this VM has just sent, until the next load report.
func (t *LoadTracker) RecordSent(id coord.TargetID) { t.entry(id).Running++ }

// SetLeaving records whether the target reports that it is leaving.
func (t *LoadTracker) SetLeaving(id coord.TargetID, leaving bool) { t.entry(id).Leaving = leaving }

// RecordSuccess ends a target's ejection and resets its failure count.
func (t *LoadTracker) RecordSuccess(id coord.TargetID) {
	l := t.entry(id)
	l.consecutiveFailures = 0
	l.EjectedUntil = time.Time{}
}

// RecordFailure counts a failure and reports whether it ejects the target.
func (t *LoadTracker) RecordFailure(now time.Time, id coord.TargetID) bool {
	l := t.entry(id)
	l.consecutiveFailures++
	over := l.consecutiveFailures - t.cfg.EjectAfter
	if over < 0 {
		return false
	}
	l.EjectedUntil = now.Add(min(t.cfg.BaseEjectionTime<<min(over, maxDoublings), t.cfg.MaxEjectionTime))
	return true
}

// maxDoublings keeps the shift of the ejection time from overflowing.
const maxDoublings = 16

// ExpireStale drops stale load reports, so that an idle target does not look busy forever.
func (t *LoadTracker) ExpireStale(now time.Time) {
	for _, l := range t.loads {
		if now.Sub(l.updatedAt) >= t.cfg.StaleAfter {
			l.Running, l.Queued = 0, 0
		}
	}
}

// Ejected reports whether a target is ejected at the given time.
func (t *LoadTracker) Ejected(now time.Time, id coord.TargetID) bool {
	l := t.load(id)
	return !l.EjectedUntil.IsZero() && now.Before(l.EjectedUntil)
}
