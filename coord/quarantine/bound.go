package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// addContent adds a content. If the table is full, it first removes the less important half:
// suspect content before blocked content, and among the former that with the fewest crashed targets
// and the oldest evidence.
func (t *Table) addContent(d Digest, c *content) {
	if len(t.contents) >= maxContents {
		byImportance := slices.SortedFunc(maps.Keys(t.contents), func(a, b Digest) int {
			return t.contents[a].compareImportance(t.contents[b])
		})
		for _, old := range byImportance[:len(byImportance)/2] {
			t.removeContent(old)
		}
	}
	t.contents[d] = c
	if part := d.part(); part != (Part{}) {
		if t.byPart[part] == nil {
			t.byPart[part] = map[Digest]bool{}
		}
		t.byPart[part][d] = true
	}
}

func (t *Table) removeContent(d Digest) {
	delete(t.contents, d)
	part := d.part()
	delete(t.byPart[part], d)
	if len(t.byPart[part]) == 0 {
		delete(t.byPart, part)
	}
}

// compareImportance orders contents by the importance of keeping them, least important first.
func (c *content) compareImportance(other *content) int {
	return cmp.Or(
		c.blockedUntil.Compare(other.blockedUntil),
		cmp.Compare(len(c.crashedTargets), len(other.crashedTargets)),
		c.lastEvidence.Compare(other.lastEvidence),
	)
}
