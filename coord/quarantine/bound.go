package quarantine

import (
	"cmp"
	"maps"
	"slices"
)

// add takes a content in. Where there is no room, the half goes that matters least: suspects
// before what is held, those with few ends and the oldest first.
func (t *Table) add(d Digest, c *content) {
	if len(t.contents) >= maxContents {
		least := slices.SortedFunc(maps.Keys(t.contents), func(a, b Digest) int {
			return t.contents[a].compare(t.contents[b])
		})
		for _, old := range least[:len(least)/2] {
			delete(t.contents, old)
		}
	}
	t.contents[d] = c
}

// compare ranks contents by how much they matter.
func (c *content) compare(other *content) int {
	return cmp.Or(
		c.heldUntil.Compare(other.heldUntil),
		cmp.Compare(len(c.targets), len(other.targets)),
		c.last.Compare(other.last),
	)
}
