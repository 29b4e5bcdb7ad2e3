package promptpart

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// isSuspect reports whether a request with the part must not put a further target at risk.
func (t *Table) isSuspect(p *part) bool {
	if len(p.crashes) == 0 {
		return false
	}
	moments, _ := independent(t.unexplained(p))
	return moments > 0
}

// isConfirmed reports whether the confirmed crashes alone are enough for a block.
func (p *part) isConfirmed() bool {
	confirmed := slices.DeleteFunc(p.crashesWithout(nil), func(c *Crash) bool { return !c.confirmed })
	return p.explainsEnough(confirmed, blockAfter)
}

// blockedFor returns for how much longer an implicated part is blocked.
func (p *part) blockedFor(now time.Time) time.Duration {
	block := newPartBlock
	if !p.survivedAt.IsZero() {
		block = knownPartBlock
	}
	if !p.survivedAt.IsZero() && p.disconnects() > maxDisconnects*len(p.crashes) {
		block = widePartBlock
	}
	for range min(p.trials, maxCrashes) {
		block *= 2
	}
	var last time.Time
	for _, c := range p.crashes {
		last = coord.Later(last, c.At)
	}
	return max(last.Add(min(block, maxBlock)).Sub(now), 0)
}

// Check reports whether a request with the given parts may run at any target now. If not, it returns the
// reason and the retry delay.
func (t *Table) Check(now time.Time, ids []ID) (reason string, retry time.Duration) {
	for _, id := range ids {
		p := t.suspects[id]
		if p == nil || !p.implicated {
			continue
		}
		if !p.isConfirmed() {
			reason, retry = ReasonSuspect, max(retry, suspectRetryDelay)
			continue
		}
		if remaining := p.blockedFor(now); remaining > 0 {
			return ReasonBlocked, remaining
		}
		if len(p.inFlight) > 0 {
			reason, retry = ReasonSuspect, suspectRetryDelay
		}
	}
	return reason, retry
}

// AllowedTargets returns the targets at which a request with the given parts may run: those where other
// requests with its suspect parts run. restricted is false if it may run at any target.
func (t *Table) AllowedTargets(ids []ID) (targets map[string]bool, restricted bool) {
	for _, id := range ids {
		p := t.suspects[id]
		if p == nil || len(p.inFlight) == 0 || !t.isSuspect(p) {
			continue
		}
		allowed := map[string]bool{}
		for target := range p.inFlight {
			if !restricted || targets[target] {
				allowed[target] = true
			}
		}
		targets, restricted = allowed, true
	}
	return targets, restricted
}

// CheckAt is Check for a given target.
func (t *Table) CheckAt(now time.Time, ids []ID, target string) (reason string, retry time.Duration) {
	if reason, retry = t.Check(now, ids); reason != "" {
		return reason, retry
	}
	if allowed, restricted := t.AllowedTargets(ids); restricted && !allowed[target] {
		return ReasonSuspect, suspectRetryDelay
	}
	return "", 0
}

// CheckWithoutLeader is Check for a VM that receives no decisions from a leader. It cannot know of the
// requests of other VMs, so that no request with a part that best explains several crashes may run.
func (t *Table) CheckWithoutLeader(now time.Time, ids []ID) (reason string, retry time.Duration) {
	if reason, retry = t.Check(now, ids); reason != "" {
		return reason, retry
	}
	if !slices.ContainsFunc(ids, func(id ID) bool { return t.suspects[id] != nil }) {
		return "", 0
	}
	explaining, _ := t.explain(refuseAfter)
	if slices.ContainsFunc(ids, func(id ID) bool { return explaining[id] }) {
		return ReasonSuspect, suspectRetryDelay
	}
	return "", 0
}
