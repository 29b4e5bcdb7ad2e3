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

// BoardConfig holds the settings of a Board.
type BoardConfig struct {
	// EjectAfter is how many failures in a row eject a target.
	EjectAfter int
	// EjectPause is the first pause; it doubles with each failed probe.
	EjectPause time.Duration
	// MaxPause bounds the pause.
	MaxPause time.Duration
	// StaleAfter is the age at which a report of load counts no more.
	StaleAfter time.Duration
}

// DefaultBoardConfig returns the settings that the daemon runs with.
func DefaultBoardConfig() BoardConfig {
	return BoardConfig{
		EjectAfter: 3,
		EjectPause: 500 * time.Millisecond,
		MaxPause:   15 * time.Second,
		StaleAfter: 5 * time.Second,
	}
}

// Board is what one VM knows of all targets.
type Board struct {
	cfg   BoardConfig
	loads map[coord.TargetID]*Load
}

// NewBoard returns an empty Board.
func NewBoard(cfg BoardConfig) *Board {
	return &Board{cfg: cfg, loads: map[coord.TargetID]*Load{}}
}

var noLoad = &Load{}

func (b *Board) load(id coord.TargetID) *Load {
	if l := b.loads[id]; l != nil {
		return l
	}
	return noLoad
}

func (b *Board) entry(id coord.TargetID) *Load {
	l := b.loads[id]
	if l == nil {
		l = &Load{}
		b.loads[id] = l
	}
	return l
}

// Heard takes an owner's word on a target's load.
func (b *Board) Heard(now time.Time, id coord.TargetID, running, queued int) {
	l := b.entry(id)
	l.Running, l.Queued, l.heard = running, queued, now
}

// Sent counts a request that this VM has just sent, until the next word.
func (b *Board) Sent(id coord.TargetID) { b.entry(id).Running++ }

// SetLeaving takes the target's word that it is leaving, or not.
func (b *Board) SetLeaving(id coord.TargetID, leaving bool) { b.entry(id).Leaving = leaving }

// Succeeded ends a target's ejection.
func (b *Board) Succeeded(id coord.TargetID) {
	l := b.entry(id)
	l.failures = 0
	l.EjectedUntil = time.Time{}
}

// Failed counts a failure. It returns true when the target is ejected by it.
func (b *Board) Failed(now time.Time, id coord.TargetID) bool {
	l := b.entry(id)
	l.failures++
	over := l.failures - b.cfg.EjectAfter
	if over < 0 {
		return false
	}
	l.EjectedUntil = now.Add(min(b.cfg.EjectPause<<min(over, maxDoublings), b.cfg.MaxPause))
	return true
}

// maxDoublings keeps the shift of a pause from overflowing.
const maxDoublings = 16

// Forget drops stale reports, so that an idle target does not look busy for
// ever.
func (b *Board) Forget(now time.Time) {
	for _, l := range b.loads {
		if now.Sub(l.heard) >= b.cfg.StaleAfter {
			l.Running, l.Queued = 0, 0
		}
	}
}

// Ejected reports whether a target is passed over at this time.
func (b *Board) Ejected(now time.Time, id coord.TargetID) bool {
	l := b.load(id)
	return !l.EjectedUntil.IsZero() && now.Before(l.EjectedUntil)
}
