package quarantine

import (
	"slices"
	"time"
)

// Tick evaluates disconnects whose settle time has passed, and removes expired entries. It returns
// new findings.
func (t *Table) Tick(now time.Time) (found []Finding) {
	t.recordSurvivors(now)
	due := map[string]*incident{}
	for target, inc := range t.incidents {
		if now.Sub(inc.startedAt) >= crashSettleTime {
			due[target] = inc
			delete(t.incidents, target)
		}
	}
	t.compareWitnesses(now, due)
	for target, inc := range due {
		t.dropUnreliable(now, inc)
		found = append(found, t.evaluateIncident(now, target, inc)...)
	}
	t.parts.Tick(now)
	if now.Sub(t.lastExpiry) >= expiryInterval {
		t.expire(now)
	}
	return found
}

// isCrash reports whether a target crashed where so many of the requests in flight were disconnected.
func isCrash(disconnected, inFlight int) bool {
	return disconnected > 0 && float64(disconnected) >= minDisconnectedShare*float64(inFlight)
}

// evaluateIncident evaluates the disconnects at one target. It returns new findings.
func (t *Table) evaluateIncident(now time.Time, target string, inc *incident) (found []Finding) {
	if !isCrash(len(inc.disconnected), inc.inFlight) {
		if !inc.isLate() {
			t.parts.Withdraw(inc.crash)
		}
		t.removeProvisionalSuspects(inc)
		return nil
	}
	if t.explainByParts(now, inc) {
		t.removeProvisionalSuspects(inc)
		t.crashes = append(t.crashes, crash{at: now, target: target, witnesses: inc.disconnected, ofParts: inc.crash})
		t.dropExplained()
		return nil
	}
	soleCandidate := t.countCandidates(inc) == 1
	explainedBySuspect := t.hasKnownSuspect(inc)
	crashed := crash{at: now, target: target, ofParts: inc.crash}
	for _, r := range inc.disconnected {
		before := t.evidence(r.digest)
		if t.evaluateDisconnect(now, r, soleCandidate, explainedBySuspect) {
			found = append(found, t.finding(now, r.digest))
			found = append(found, t.findingsBesides(now, r.digest)...)
		}
		crashed.witnesses = append(crashed.witnesses, r)
		if after := t.evidence(r.digest); after.targets > before.targets {
			crashed.changes = append(crashed.changes, change{digest: r.digest, before: before, after: after})
		}
	}
	t.crashes = append(t.crashes, crashed)
	return found
}

func (t *Table) removeProvisionalSuspects(inc *incident) {
	for _, r := range inc.disconnected {
		t.removeProvisionalSuspect(r.digest)
	}
}

// expire removes requests whose end was never reported, and contents without recent evidence.
func (t *Table) expire(now time.Time) {
	t.lastExpiry = now
	t.expireCrashes(now)
	for key, r := range t.inFlight {
		if now.After(r.deadline.Add(lostEndGrace)) {
			t.removeRequest(key, r)
			t.releaseTrial(key)
		}
	}
	for d, c := range t.contents {
		if now.Sub(c.lastEvidence) > suspectTTL && now.After(c.blockedUntil.Add(suspectTTL)) {
			t.removeContent(d)
		}
	}
}

// countCandidates counts the contents among the disconnected requests that have not recently
// succeeded.
func (t *Table) countCandidates(inc *incident) int {
	seen := map[Digest]bool{}
	for _, r := range inc.disconnected {
		if !t.knownGood.has(r.digest) {
			seen[r.digest] = true
		}
	}
	return len(seen)
}

// hasKnownSuspect reports whether targets crashed earlier under any content of the disconnected
// requests.
func (t *Table) hasKnownSuspect(inc *incident) bool {
	return slices.ContainsFunc(inc.disconnected, func(r request) bool {
		c := t.suspectOrBlocked(r.digest)
		return c != nil && len(c.crashedTargets) > 0
	})
}

// evaluateDisconnect evaluates a request that was disconnected by the crash of its target. It
// reports whether this is new evidence against its content. A crash that a suspect explains is no
// evidence against content that has succeeded.
func (t *Table) evaluateDisconnect(now time.Time, r request, soleCandidate, explainedBySuspect bool) bool {
	if !t.knownGood.has(r.digest) {
		return t.recordCrash(now, r.digest, r.target, soleCandidate)
	}
	c := t.contents[r.digest]
	switch {
	case explainedBySuspect:
		return false
	case c == nil:
		c = &content{firstEvidence: now, lastEvidence: now, succeededBefore: true, trusted: true}
		c.addCrash(now, r.target)
		t.addContent(r.digest, c)
		return false
	case c.trusted && !r.sentAt.After(c.lastEvidence):
		return false // many targets crashed at the same time, which is no evidence against what they ran
	case slices.Contains(c.crashedTargets, r.target):
		c.addCrash(now, r.target)
		return false // a single target that drops its requests repeatedly
	}
	t.knownGood.remove(r.digest)
	return t.recordCrash(now, r.digest, r.target, false)
}

// recordCrash records that a target crashed under a content, and whether that content was the only
// candidate. It reports whether this is new evidence.
func (t *Table) recordCrash(now time.Time, d Digest, target string, soleCandidate bool) bool {
	c := t.contents[d]
	if c == nil {
		c = &content{firstEvidence: now}
		t.addContent(d, c)
	}
	known := slices.Contains(c.crashedTargets, target)
	c.addCrash(now, target)
	if known {
		return false
	}
	c.lastEvidence = now
	c.trusted = false
	switch {
	case !c.blockedUntil.IsZero():
		c.blockedUntil = now.Add(repeatBlockDuration)
	case len(c.crashedTargets) >= blockAfterCrashes, len(c.crashedTargets) == blockAfterCrashes-1 && soleCandidate:
		c.blockedUntil = now.Add(c.firstBlockDuration())
		c.blockedAfter = len(c.crashedTargets)
	}
	return true
}

func (c *content) firstBlockDuration() time.Duration {
	if c.succeededBefore {
		return knownGoodBlockDuration
	}
	return blockDuration
}
