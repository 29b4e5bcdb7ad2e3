package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// maxCrashAge is how long a crash is kept, so that a withdrawal restores what was known of its contents
// before: a minute for a store that is down, and the time until the entry of a crashed target is gone. A
// later withdrawal only removes the target from the evidence.
const maxCrashAge = 70 * time.Second

// CrashedTargets returns the targets that count as crashed under any content or prompt part.
func (t *Table) CrashedTargets() []string {
	crashed := t.parts.CrashedTargets()
	for _, c := range t.contents {
		for _, target := range c.crashedTargets {
			crashed[target] = true
		}
	}
	return slices.Collect(maps.Keys(crashed))
}

// TargetRan records that a target was still running at ranAt. What counted as its crash before that
// was none and is withdrawn. It returns the contents that are no longer blocked.
func (t *Table) TargetRan(now, ranAt time.Time, target string) (released []Digest) {
	t.parts.TargetRan(target, ranAt)
	blocked := t.blockedContents(now)
	for d, c := range t.contents {
		if at, crashed := c.crashedAt[target]; crashed && at.Before(ranAt) {
			t.withdrawEvidence(d, c, target)
		}
	}
	for d, c := range blocked {
		if t.contents[d] != c || !c.blockedUntil.After(now) {
			released = append(released, d)
		}
	}
	return released
}

// blockedContents returns the contents that are blocked on their own, or that other VMs blocked.
func (t *Table) blockedContents(now time.Time) map[Digest]*content {
	blocked := map[Digest]*content{}
	for d, c := range t.contents {
		if c.blockedUntil.After(now) {
			blocked[d] = c
		}
	}
	return blocked
}

// withdrawEvidence removes a target that did not crash from the evidence against a content. There is no
// change to undo if the evidence came from another VM.
func (t *Table) withdrawEvidence(d Digest, c *content, target string) {
	if ch, found := t.takeChange(d, target); found {
		t.undoChange(target, ch)
		return
	}
	c.withdraw(target)
	t.removeProvisionalSuspect(d)
	t.endBlocksOfPart(d.part())
}

// takeChange returns the last change that a crash of a target made to a content, and removes it.
func (t *Table) takeChange(d Digest, target string) (ch change, found bool) {
	for i := len(t.crashes) - 1; i >= 0; i-- {
		crashed := &t.crashes[i]
		k := slices.IndexFunc(crashed.changes, func(ch change) bool { return ch.digest == d })
		if crashed.target != target || k < 0 {
			continue
		}
		ch = crashed.changes[k]
		crashed.changes = slices.Delete(crashed.changes, k, k+1)
		return ch, true
	}
	return change{}, false
}

// addCrash records that a target crashed under the content.
func (c *content) addCrash(now time.Time, target string) {
	if !slices.Contains(c.crashedTargets, target) {
		c.crashedTargets = append(c.crashedTargets, target)
	}
	if c.crashedAt == nil {
		c.crashedAt = map[string]time.Time{}
	}
	c.crashedAt[target] = coord.Later(c.crashedAt[target], now)
}

// withdraw removes a target that did not crash. The block ends if the others are not enough for it.
func (c *content) withdraw(target string) {
	c.crashedTargets = slices.DeleteFunc(slices.Clone(c.crashedTargets), func(id string) bool { return id == target })
	delete(c.crashedAt, target)
	if len(c.crashedTargets) < c.blockedAfter {
		c.blockedUntil, c.blockedAfter = time.Time{}, 0
	}
}
