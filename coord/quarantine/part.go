package quarantine

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Part identifies the prompt part that belongs to a request itself or to its session, not to a prompt
// that many share; the zero value means none. What crashes targets may be such a part, which callers
// submit in several kinds of request: under different paths, beside other parts.
type Part [8]byte

// minContentsOfPart is the number of contents with a common prompt part that must have crashed targets
// for the part to be blocked. With one, a single crashing request would block the harmless ones of its
// session. With two, at most one target more crashes: under the second content, after three under the
// first.
const minContentsOfPart = 2

// WithPart returns the digest of a content whose own prompt part is p.
func (d Digest) WithPart(p Part) Digest {
	copy(d[len(d)-len(p):], p[:])
	return d
}

func (d Digest) part() (p Part) {
	copy(p[:], d[len(d)-len(p):])
	return p
}

// partEvidence is what is known about the crashes under all content with one prompt part.
type partEvidence struct {
	contents map[Digest]bool
	targets  map[string]bool
	latest   time.Time
}

// blocks reports whether the evidence suffices to block the part: as many targets crashed as block a
// single content, and not under one content only.
func (e *partEvidence) blocks() bool {
	return len(e.contents) >= minContentsOfPart && len(e.targets) >= blockAfterCrashes
}

// partEvidence returns the evidence against a prompt part.
func (t *Table) partEvidence(p Part) *partEvidence {
	e := &partEvidence{contents: map[Digest]bool{}, targets: map[string]bool{}}
	for d := range t.byPart[p] {
		c := t.contents[d]
		if c.trusted || len(c.crashedTargets) == 0 {
			continue
		}
		e.contents[d] = true
		e.latest = coord.Later(e.latest, c.lastEvidence)
		for _, target := range c.crashedTargets {
			e.targets[target] = true
		}
	}
	return e
}

// addPending adds the targets with disconnects that have not been evaluated yet. It reports whether
// there are any.
func (e *partEvidence) addPending(p Part, incidents map[string]*incident) (pending bool) {
	for target, inc := range incidents {
		for _, r := range inc.disconnected {
			if r.digest.part() == p {
				e.contents[r.digest] = true
				e.targets[target] = true
				pending = true
			}
		}
	}
	return pending
}

// checkPart reports whether a request with a prompt part may run now as far as that part is concerned.
// If not, it returns the reason and the retry delay. While there is evidence against any content with
// the part, only one such request runs at a time.
func (t *Table) checkPart(now time.Time, p Part) (reason string, retry time.Duration) {
	if len(t.byPart[p]) == 0 || t.knownGoodParts.has(p) {
		return "", 0
	}
	if remaining := t.partBlockedFor(now, p); remaining > 0 {
		return ReasonBlocked, remaining
	}
	e := t.partEvidence(p)
	pending := e.addPending(p, t.incidents)
	if t.inFlightByPart[p] > 0 || pending && e.blocks() {
		return ReasonSuspect, suspectRetryDelay
	}
	return "", 0
}

// partBlockedFor returns how much longer all content with a prompt part is blocked: until blockDuration
// after the last crash. Content with a part that recently succeeded is judged on its own.
func (t *Table) partBlockedFor(now time.Time, p Part) time.Duration {
	if len(t.byPart[p]) < minContentsOfPart || t.knownGoodParts.has(p) {
		return 0
	}
	e := t.partEvidence(p)
	if !e.blocks() {
		return 0
	}
	return max(e.latest.Add(blockDuration).Sub(now), 0)
}

// findingsBesides returns the findings about the other contents with the prompt part of the given one
// if that part is blocked: they are then blocked as well.
func (t *Table) findingsBesides(now time.Time, d Digest) (found []Finding) {
	if t.partBlockedFor(now, d.part()) == 0 {
		return nil
	}
	for other := range t.byPart[d.part()] {
		if other != d {
			found = append(found, t.finding(now, other))
		}
	}
	return found
}

// endBlocksOfPart ends the blocks that other VMs made because of a prompt part, if a crash under it has been
// withdrawn and the others are not enough. A content under which enough targets crashed stays blocked.
func (t *Table) endBlocksOfPart(p Part) {
	if t.partEvidence(p).blocks() {
		return
	}
	for d := range t.byPart[p] {
		if c := t.contents[d]; c.blockedByPart && len(c.crashedTargets) < blockAfterCrashes {
			c.blockedUntil, c.blockedByPart = time.Time{}, false
		}
	}
}
