package promptpart

import (
	"cmp"
	"slices"
)

// candidate is a part with enough crashes for an explanation of them.
type candidate struct {
	id ID
	*part
	crashes []*Crash
	// moments is the number of its independent crashes, requests that of its requests since the first one,
	// and exposed that of the requests that its crashes disconnected or that are in flight.
	moments, requests, exposed int
}

func newCandidate(id ID, p *part, crashes []*Crash) candidate {
	c := candidate{id: id, part: p, crashes: crashes, requests: p.requests - p.crashes[0].requestsBefore, exposed: p.disconnects()}
	c.moments, _ = independent(crashes)
	for _, n := range p.inFlight {
		c.exposed += n
	}
	return c
}

// survivals returns 0 if no request with the part is known to have survived, and otherwise 1.
func (p *part) survivals() int {
	if p.survivedAt.IsZero() {
		return 0
	}
	return 1
}

// compare orders candidates by how well they explain their crashes, the best first: by the most crashes,
// then those that never survived, then by the fewest requests.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(other.moments, c.moments),
		cmp.Compare(c.survivals(), other.survivals()),
		cmp.Compare(c.requests, other.requests),
		cmp.Compare(c.part.requests, other.part.requests),
	)
}

// isOvertaken reports whether another part explains the crashes of a blocked one better. A much wider part does
// not: it also has the crashes that have nothing to do with the blocked one.
func (c candidate) isOvertaken(others []candidate) bool {
	return slices.ContainsFunc(others, func(o candidate) bool {
		return o.compare(c) < 0 && o.exposed <= maxWidening*c.exposed &&
			!slices.ContainsFunc(c.crashes, func(crash *Crash) bool { return !slices.Contains(o.crashes, crash) })
	})
}

// explain returns the parts that explain the crashes, each at least minCrashes: the blocked parts that are not
// overtaken, and then in the order of compare those with enough crashes that the earlier ones do not explain.
// Parts that compare equal explain them together, since nothing tells them apart. explained are the crashes
// that they explain.
func (t *Table) explain(minCrashes int) (ids map[ID]bool, explained map[*Crash]bool) {
	candidates := t.candidates(minCrashes)
	ids, explained = map[ID]bool{}, map[*Crash]bool{}
	add := func(id ID, crashes []*Crash) {
		ids[id] = true
		for _, c := range crashes {
			explained[c] = true
		}
	}
	for _, c := range candidates {
		if c.implicated && c.isConfirmed() && !c.isOvertaken(candidates) {
			add(c.id, c.crashes)
		}
	}
	for len(candidates) > 0 {
		equal := 1
		for equal < len(candidates) && candidates[equal].compare(candidates[0]) == 0 {
			equal++
		}
		rests := map[ID][]*Crash{}
		for _, c := range candidates[:equal] {
			if rest := c.crashesWithout(explained); c.explainsEnough(rest, minCrashes) {
				rests[c.id] = rest
			}
		}
		for id, rest := range rests {
			add(id, rest)
		}
		candidates = candidates[equal:]
	}
	return ids, explained
}

// candidates returns the parts with at least minCrashes independent crashes, in the order of compare.
func (t *Table) candidates(minCrashes int) (out []candidate) {
	for id, p := range t.suspects {
		if crashes := p.crashesWithout(nil); p.explainsEnough(crashes, minCrashes) {
			out = append(out, newCandidate(id, p, crashes))
		}
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// disconnects returns the number of requests that the crashes disconnected.
func (p *part) disconnects() (n int) {
	for _, c := range p.crashes {
		n += c.disconnects
	}
	return n
}

// crashesWithout returns the crashes that are not in the given set.
func (p *part) crashesWithout(explained map[*Crash]bool) []*Crash {
	out := make([]*Crash, 0, len(p.crashes))
	for _, c := range p.crashes {
		if !explained[c.Crash] {
			out = append(out, c.Crash)
		}
	}
	return out
}

// evaluate determines which parts are implicated.
func (t *Table) evaluate() {
	implicated, explained := t.explain(blockAfter)
	for id, p := range t.suspects {
		if p.implicated != implicated[id] {
			p.implicated, t.changed[id] = implicated[id], true
		}
	}
	t.explained = explained
}

// unexplained returns the crashes of a part that no narrower part explains.
func (t *Table) unexplained(p *part) []*Crash {
	if p.implicated {
		return p.crashesWithout(nil)
	}
	return p.crashesWithout(t.explained)
}

// explainsEnough reports whether crashes of a part are enough for an explanation that needs minCrashes.
func (p *part) explainsEnough(crashes []*Crash, minCrashes int) bool {
	if len(crashes) < minCrashes {
		return false
	}
	moments, total := independent(crashes)
	return moments >= minCrashes || moments >= 2 && total > minCrashes && total >= 2*len(p.inFlight)
}

// Explains reports whether any of the parts is blocked or waits for a crash to be confirmed, so that it
// explains a crash.
func (t *Table) Explains(ids []ID) bool {
	return slices.ContainsFunc(ids, func(id ID) bool { p := t.suspects[id]; return p != nil && p.implicated })
}

// ExplainsCrash reports whether a part explains a crash that is enough for its block.
func (t *Table) ExplainsCrash(c *Crash) bool { return t.explained[c] }
