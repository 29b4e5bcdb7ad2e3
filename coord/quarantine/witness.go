package quarantine

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/witness"
)

// crash is a target that counted as crashed, and what followed from it.
type crash struct {
	at     time.Time
	target string
	// witnesses are the requests that were disconnected.
	witnesses []request
	changes   []change
	// ofParts is the crash as the evidence against prompt parts has it.
	ofParts *promptpart.Crash
}

// change is what a crash changed in the evidence against one content.
type change struct {
	digest        Digest
	before, after evidence
}

// evidence is the part of the evidence against a content that a crash may change.
type evidence struct {
	targets      int
	blockedUntil time.Time
	trusted      bool
	knownGood    bool
}

func (t *Table) evidence(d Digest) evidence {
	e := evidence{knownGood: t.knownGood.has(d)}
	if c := t.contents[d]; c != nil {
		e.targets, e.blockedUntil, e.trusted = len(c.crashedTargets), c.blockedUntil, c.trusted
	}
	return e
}

// compareWitnesses records which targets go on although requests of some VMs were disconnected there:
// those at which requests that were in flight by then still are.
func (t *Table) compareWitnesses(now time.Time, due map[string]*incident) {
	if len(due) == 0 {
		return
	}
	for key, r := range t.inFlight {
		if inc := due[r.target]; inc != nil && r.sentAt.Before(inc.startedAt) && !t.judge.Unreliable(now, key.VM) {
			t.withdrawCrashes(now, t.judge.GoesOn(now, key.VM, r.target))
		}
	}
}

// dropUnreliable removes the disconnects that show a fault of a VM's paths from an incident, and the
// provisional suspicion of their contents. If the other VMs show that the target crashed, it crashed
// under the requests of all.
func (t *Table) dropUnreliable(now time.Time, inc *incident) {
	isUnreliable := func(r request) bool {
		return t.judge.Unreliable(now, r.vm) && !r.disconnectedAt.Before(t.judge.FailingSince(r.vm))
	}
	reliable := slices.DeleteFunc(slices.Clone(inc.disconnected), isUnreliable)
	inFlight := inc.inFlight - (len(inc.disconnected) - len(reliable))
	if isCrash(len(reliable), inFlight) {
		return
	}
	for _, r := range inc.disconnected {
		if isUnreliable(r) {
			t.removeProvisionalSuspect(r.digest)
		}
	}
	inc.disconnected, inc.inFlight = reliable, inFlight
}

// withdrawCrashes undoes the recent crashes for which unreliable VMs are the only witnesses. found
// lists the VMs that have become unreliable.
func (t *Table) withdrawCrashes(now time.Time, found []coord.VMID) {
	if len(found) == 0 {
		return
	}
	for i := len(t.crashes) - 1; i >= 0; i-- {
		if now.Sub(t.crashes[i].at) > witness.Memory || t.isWitnessed(now, &t.crashes[i]) {
			continue
		}
		t.undo(t.crashes[i])
		t.crashes = slices.Delete(t.crashes, i, i+1)
	}
}

// isWitnessed reports whether a VM that is reliable, or was before its paths failed, saw a crash.
func (t *Table) isWitnessed(now time.Time, c *crash) bool {
	return slices.ContainsFunc(c.witnesses, func(r request) bool {
		return !t.judge.Unreliable(now, r.vm) || r.disconnectedAt.Before(t.judge.FailingSince(r.vm))
	})
}

// undo removes a crash from the evidence against contents and prompt parts.
func (t *Table) undo(crashed crash) {
	t.parts.Withdraw(crashed.ofParts)
	for _, ch := range slices.Backward(crashed.changes) {
		t.undoChange(crashed.target, ch)
	}
}

// undoChange removes a target that did not crash from the evidence against a content. Content under
// which targets crashed since is neither known good nor trusted again.
func (t *Table) undoChange(target string, ch change) {
	c := t.contents[ch.digest]
	if c != nil {
		if c.blockedUntil.Equal(ch.after.blockedUntil) {
			c.blockedUntil = ch.before.blockedUntil
		}
		c.withdraw(target)
		t.removeProvisionalSuspect(ch.digest)
		t.endBlocksOfPart(ch.digest.part())
	}
	if c != nil && len(c.crashedTargets) > ch.before.targets {
		return
	}
	if c != nil {
		c.trusted = c.trusted || ch.before.trusted
	}
	if ch.before.knownGood {
		t.knownGood.add(ch.digest)
	}
}

// removeProvisionalSuspect removes a content without evidence.
func (t *Table) removeProvisionalSuspect(d Digest) {
	if c := t.contents[d]; c != nil && len(c.crashedTargets) == 0 {
		t.removeContent(d)
	}
}

// expireCrashes removes crashes that can no longer be withdrawn.
func (t *Table) expireCrashes(now time.Time) {
	t.judge.Expire(now)
	t.crashes = slices.DeleteFunc(t.crashes, func(c crash) bool { return now.Sub(c.at) > maxCrashAge })
}
