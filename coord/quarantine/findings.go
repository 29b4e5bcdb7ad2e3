package quarantine

import "time"

// Finding is what is known of one content, to be told to other VMs and to operators.
type Finding struct {
	Digest  Digest
	Targets []string
	// Since is when the first target ended, Held for how long it is held from now on; 0: it
	// is suspect.
	Since time.Time
	Held  time.Duration
}

func (t *Table) finding(now time.Time, d Digest) Finding {
	c := t.contents[d]
	return Finding{Digest: d, Targets: c.targets, Since: c.since, Held: max(c.heldUntil.Sub(now), 0)}
}

// Learn takes what another VM found.
func (t *Table) Learn(now time.Time, f Finding) {
	for _, target := range f.Targets {
		t.addEnd(now, f.Digest, target, false)
	}
	if c := t.contents[f.Digest]; c != nil && f.Held > 0 {
		c.heldUntil = now.Add(f.Held)
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
