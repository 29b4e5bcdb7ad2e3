package promptpart

import (
	"slices"
	"time"
)

// moment is a time at which targets crashed, within sameMoment of the first of them.
type moment struct {
	at      time.Time
	crashes []*Crash
}

// independent counts the moments at which targets crashed, and all of them under the part that has the
// given crashes: if it is not what crashed one of them, it may not be what crashed the others. total is the
// number of crashes at these moments.
func independent(crashes []*Crash) (moments, total int) {
	seen := map[*moment]bool{}
	for _, c := range crashes {
		if seen[c.moment] {
			continue
		}
		seen[c.moment] = true
		if !slices.ContainsFunc(c.moment.crashes, func(other *Crash) bool { return !slices.Contains(crashes, other) }) {
			moments++
			total += len(c.moment.crashes)
		}
	}
	return moments, total
}

// join adds a crash to the others of its moment.
func (t *Table) join(c *Crash) {
	if c.moment != nil {
		return
	}
	i := slices.IndexFunc(t.moments, func(m *moment) bool { return c.At.Sub(m.at).Abs() < sameMoment })
	if i < 0 {
		t.moments = append(t.moments, &moment{at: c.At})
		i = len(t.moments) - 1
	}
	c.moment = t.moments[i]
	c.moment.crashes = append(c.moment.crashes, c)
}
