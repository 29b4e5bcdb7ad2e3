package quarantine

import (
	"cmp"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Finding is the evidence against one content, for other VMs and for operators.
type Finding struct {
	Digest  Digest
	Targets []string
	// Since is the time at which the sending VM got its first evidence. BlockedFor is how much
	// longer the content is blocked; 0 means that it is suspect.
	Since      time.Time
	BlockedFor time.Duration
}

// recurringCrashes is the number of crashed targets from which on a content is unlikely to have only run
// beside another one that crashed them.
const recurringCrashes = 2

// IsRecurring reports whether several targets crashed under the content.
func (f Finding) IsRecurring() bool { return len(f.Targets) >= recurringCrashes }

func (t *Table) finding(now time.Time, d Digest) Finding {
	c := t.contents[d]
	return Finding{
		Digest: d, Targets: c.crashedTargets, Since: c.firstEvidence,
		BlockedFor: max(c.blockedUntil.Sub(now), t.partBlockedFor(now, d.part()), 0),
	}
}

// Merge adds a finding of another VM. Content that is blocked there is blocked here for at least the
// same time. Content whose block has ended there may run as a trial here as well, unless this VM
// itself blocks it for longer.
//
// It returns a finding that no other VM may have yet: findings of several VMs, of one crashed target
// each, that add up to a recurring crash. Otherwise it returns nil.
func (t *Table) Merge(now time.Time, f Finding) (joined *Finding) {
	var blockedUntil time.Time
	knownTargets := 0
	if c := t.contents[f.Digest]; c != nil {
		blockedUntil, knownTargets = c.blockedUntil, len(c.crashedTargets)
	}
	for _, target := range f.Targets {
		t.recordCrash(now, f.Digest, target, false)
	}
	c := t.contents[f.Digest]
	switch {
	case c == nil:
	case f.BlockedFor > 0:
		c.blockedUntil = coord.Later(blockedUntil, now.Add(f.BlockedFor))
		c.recordReceivedBlock(len(f.Targets))
	case blockedUntil.IsZero() && len(c.crashedTargets) >= blockAfterCrashes:
		c.blockedUntil = now
	default:
		c.blockedUntil = blockedUntil
	}
	if c == nil || f.IsRecurring() || knownTargets >= recurringCrashes || len(c.crashedTargets) < recurringCrashes {
		return nil
	}
	sum := t.finding(now, f.Digest)
	return &sum
}

// recordReceivedBlock records that another VM blocked the content after a number of its targets crashed. If
// they are fewer than block a single content, it was because of its prompt part.
func (c *content) recordReceivedBlock(targets int) {
	if targets < blockAfterCrashes-1 {
		c.blockedByPart = c.blockedByPart || c.blockedAfter == 0
		return
	}
	c.blockedByPart = false
	c.blockedAfter = min(cmp.Or(c.blockedAfter, targets), targets)
}

// Findings returns all suspect and blocked contents.
func (t *Table) Findings(now time.Time) []Finding {
	out := make([]Finding, 0, len(t.contents))
	for d, c := range t.contents {
		if len(c.crashedTargets) > 0 && !c.trusted {
			out = append(out, t.finding(now, d))
		}
	}
	return out
}
