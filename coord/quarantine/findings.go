package quarantine

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Finding is what is known of one content, to be told to other VMs and to operators.
type Finding struct {
	Digest  Digest
	Targets []string
	// Since is when the first target ended, Held for how long it is held from now on; 0: it
	// is suspect.
	Since      time.Time
	BlockedFor time.Duration
}

func (t *Table) finding(now time.Time, d Digest) Finding {
	c := t.contents[d]
	return Finding{Digest: d, Targets: c.targets, Since: c.since, BlockedFor: max(c.heldUntil.Sub(now), 0)}
}

// Merge takes what another VM found. What is held there is held here for as long; what is not any
// more may be tried here as well.
func (t *Table) Merge(now time.Time, f Finding) {
	var held time.Time
	if c := t.contents[f.Digest]; c != nil {
		held = c.heldUntil
	}
	for _, target := range f.Targets {
		t.addEnd(now, f.Digest, target, false)
	}
	c := t.contents[f.Digest]
	switch {
	case c == nil:
	case f.BlockedFor > 0:
		c.heldUntil = coord.Later(held, now.Add(f.BlockedFor))
	case held.IsZero() && len(c.targets) >= heldAfter:
		c.heldUntil = now
	default:
		c.heldUntil = held
	}
}

// Findings lists all that is known, held or suspect.
func (t *Table) Findings(now time.Time) []Finding {
	out := make([]Finding, 0, len(t.contents))
	for d, c := range t.contents {
		if len(c.targets) > 0 && !c.trusted {
			out = append(out, t.finding(now, d))
		}
	}
	return out
}
