package quarantine

import (
	"slices"
	"time"
)

// Tick judges what broke off, and forgets what is old. It returns what is new.
func (t *Table) Tick(now time.Time) (found []Finding) {
	for target, inc := range t.incidents {
		if now.Sub(inc.at) < settleTime {
			continue
		}
		delete(t.incidents, target)
		ended := float64(len(inc.broken)) >= brokenShare*float64(inc.ran)
		only := t.candidates(inc) == 1
		explained := t.suspectAmong(inc)
		for _, r := range inc.broken {
			if c := t.contents[r.digest]; !ended && c != nil && len(c.targets) == 0 {
				delete(t.contents, r.digest)
			}
			if ended && t.judge(now, r, only, explained) {
				found = append(found, t.finding(now, r.digest))
			}
		}
	}
	if now.Sub(t.forgotAt) >= forgetGap {
		t.forgetAt(now)
	}
	return found
}

// forgetAt forgets runs whose ends are lost, and contents that nothing was found of for long.
func (t *Table) forgetAt(now time.Time) {
	t.forgotAt = now
	for key, r := range t.runs {
		if now.After(r.until.Add(endGrace)) {
			t.forget(key, r)
			t.freeTrial(key)
		}
	}
	for d, c := range t.contents {
		if now.Sub(c.last) > suspectTime && now.After(c.heldUntil.Add(suspectTime)) {
			delete(t.contents, d)
		}
	}
}

// candidates counts the contents among what broke off that have not ended well lately.
func (t *Table) candidates(inc *incident) int {
	seen := map[Digest]bool{}
	for _, r := range inc.broken {
		if !t.innocent.has(r.digest) {
			seen[r.digest] = true
		}
	}
	return len(seen)
}

// suspectAmong reports whether targets ended before under content of what broke off.
func (t *Table) suspectAmong(inc *incident) bool {
	return slices.ContainsFunc(inc.broken, func(r run) bool {
		c := t.suspect(r.digest)
		return c != nil && len(c.targets) > 0
	})
}

// judge takes a run that broke off as its target ended, alone in question there or not. It
// reports whether that tells something new of its content. An end that a suspect explains says
// nothing of content that ended well.
func (t *Table) judge(now time.Time, r run, only, explained bool) bool {
	if !t.innocent.has(r.digest) {
		return t.addEnd(now, r.digest, r.target, only)
	}
	c := t.contents[r.digest]
	switch {
	case explained:
		return false
	case c == nil:
		t.add(r.digest, &content{since: now, last: now, targets: []string{r.target}, ranWell: true, trusted: true})
		return false
	case c.trusted && !r.began.After(c.last):
		return false // many targets ended at one moment, which says nothing of what they ran
	case slices.Contains(c.targets, r.target):
		return false // one target that drops what it runs
	}
	t.innocent.remove(r.digest)
	return t.addEnd(now, r.digest, r.target, false)
}

// addEnd takes that a target ended under a content, as the only candidate there or not, and
// reports whether that is new.
func (t *Table) addEnd(now time.Time, d Digest, target string, only bool) bool {
	c := t.contents[d]
	if c == nil {
		c = &content{since: now}
		t.add(d, c)
	}
	if slices.Contains(c.targets, target) {
		return false
	}
	c.targets = append(c.targets, target)
	c.last = now
	c.trusted = false
	switch {
	case !c.heldUntil.IsZero():
		c.heldUntil = now.Add(longHold)
	case len(c.targets) >= heldAfter, len(c.targets) == heldAfter-1 && only:
		c.heldUntil = now.Add(c.firstHold())
	}
	return true
}

func (c *content) firstHold() time.Duration {
	if c.ranWell {
		return probation
	}
	return holdTime
}
