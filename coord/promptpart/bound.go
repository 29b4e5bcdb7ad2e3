package promptpart

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Tick evaluates the evidence again if requests may have changed it, and removes what has expired.
func (t *Table) Tick(now time.Time) {
	if len(t.suspects) > 0 {
		t.evaluate()
	}
	if now.Sub(t.lastExpiry) >= time.Second {
		t.expire(now)
	}
}

// expire removes old crashes of parts that are not blocked, and parts that are not used.
func (t *Table) expire(now time.Time) {
	t.lastExpiry = now
	for id, p := range maps.Clone(t.suspects) {
		ttl := evidenceTTL
		if p.implicated {
			ttl += p.blockedFor(now) + evidenceTTL
		}
		t.dropCrashes(id, func(c *Crash) bool { return now.Sub(c.At) > ttl })
	}
	t.moments = slices.DeleteFunc(t.moments, func(m *moment) bool { return now.Sub(m.at) > evidenceTTL })
	for id, p := range t.parts {
		if len(p.crashes) == 0 && len(p.inFlight) == 0 && now.Sub(p.usedAt) > evidenceTTL {
			delete(t.parts, id)
		}
	}
}

// makeRoom removes the half of the parts that matters least if the table is full: those without crashes
// and without requests in flight first, then those with the fewest crashes, and the least recently used.
func (t *Table) makeRoom() {
	if len(t.parts) < maxParts {
		return
	}
	ids := slices.SortedFunc(maps.Keys(t.parts), func(a, b ID) int { return t.parts[a].compareImportance(t.parts[b]) })
	for _, id := range ids[:len(ids)/2] {
		delete(t.parts, id)
		delete(t.suspects, id)
		delete(t.changed, id)
	}
}

func (p *part) compareImportance(other *part) int {
	return cmp.Or(
		cmp.Compare(len(p.crashes), len(other.crashes)),
		cmp.Compare(min(len(p.inFlight), 1), min(len(other.inFlight), 1)),
		p.usedAt.Compare(other.usedAt),
	)
}
