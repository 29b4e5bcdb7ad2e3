// Package reach determines which targets a VM cannot reach itself while other VMs can, and whether
// it is isolated: cut off from all targets.
//
// A failure alone does not tell a broken path from a broken target. The path to a target is suspect
// for suspectTime after a failure, and requests there go through another VM, a relay. If a relay
// reaches the target, the path is broken. If it does not, the target is at fault and the path is no
// longer suspect. A VM is isolated when several of its paths are broken, a new connection elsewhere
// has failed as well, and none has succeeded meanwhile.
//
// Only a new connection proves a path sound: existing ones may outlive the network's ability to
// make new ones. While a path is broken, targets are probed by connections without a request.
//
// A network may also make and acknowledge connections, and deliver nothing. What shows this is
// silence: requests are unanswered, and no target sends this VM anything. A new connection then proves
// nothing. Engines are probed by a question that they answer at once, and only an answer ends the
// silence.
//
// reach.go records the evidence, silence.go that of silence, probe.go selects the targets to probe.
//
// Table has no clock and does no I/O; the time is an argument of each call. It is not safe for
// concurrent use.
package reach

import (
	"maps"
	"slices"
	"time"
)

const (
	// suspectTime is how long requests to a target go through a relay after a failure that was not a
	// silence. After a silence, they do until any target sends something.
	suspectTime = time.Second
	// evidenceTime is how long after a failure the result of a relay is compared with it. A
	// relayed request may wait for its response.
	evidenceTime = 10 * time.Second
	// isolationPaths is the number of broken paths of an isolated VM. One target may be
	// unresponsive for a short time, and respond to a relay after that.
	isolationPaths = 2
	// announceTime is how long an isolation is still announced after it ended.
	announceTime = time.Second
	// reportTime is how long the report of a response that another VM received may take: an earlier
	// one may be about a response from before the failure.
	reportTime = 300 * time.Millisecond
)

// path is the path to one target with a recent failure.
type path struct {
	failedAt time.Time
	// firstFailedAt is the time of the first of these failures.
	firstFailedAt time.Time
	// broken is set when a relay reached the target after the failure.
	broken bool
	// isEvidence is set when the path broke after the last successful connection to any target.
	isEvidence bool
	// silent is set when the failure was a silence, which a new connection does not end.
	silent bool
}

// Table is one VM's knowledge of its paths to targets.
type Table struct {
	// targets holds the ids of all targets, sorted.
	targets []string
	paths   map[string]*path
	// dialFailed is set when a new connection failed elsewhere after a path broke, and none has
	// succeeded since.
	dialFailed bool
	silence    silence
	isolated   bool
	// beganAt and endedAt are the times at which the last isolation began and ended.
	beganAt, endedAt time.Time
	// reached is the first target that was reached while isolated; empty: none.
	reached string
	// reachedAt is when a new connection last succeeded.
	reachedAt time.Time
	// failedProbes counts the failed connections, or questions, since the first target was reached.
	failedProbes int
	prober       prober
}

// New returns a Table without targets. seed determines the target that is probed first, so that
// the VMs of a fleet do not all probe the same one.
func New(seed uint64) *Table {
	return &Table{paths: map[string]*path{}, prober: prober{seed: seed}}
}

// Change is what a record has changed, to be logged.
type Change struct {
	// Broken and Restored are targets whose paths are now broken, or no longer so; empty: none.
	Broken, Restored string
	// IsolationBegan and IsolationEnded report whether the isolation of this VM has changed.
	IsolationBegan, IsolationEnded bool
	// BrokenPaths is the number of broken paths before an isolation ended, or as it began.
	BrokenPaths int
	// Duration is how long an isolation that ended lasted.
	Duration time.Duration
}

// SetTargets replaces the targets. What is known about the paths to others is dropped.
func (t *Table) SetTargets(targets []string) {
	t.targets = slices.Sorted(slices.Values(targets))
	maps.DeleteFunc(t.paths, func(id string, _ *path) bool { return !t.isKnown(id) })
	if !t.isKnown(t.reached) {
		t.reached = ""
	}
}

func (t *Table) isKnown(target string) bool {
	_, known := slices.BinarySearch(t.targets, target)
	return known
}

// ViaRelay reports whether requests to a target are to be sent through a relay.
func (t *Table) ViaRelay(now time.Time, target string) bool {
	if t.isolated {
		return true
	}
	p := t.paths[target]
	return p != nil && (p.broken || p.silent || now.Sub(p.failedAt) < suspectTime)
}

// Isolated reports whether this VM is cut off from all targets.
func (t *Table) Isolated() bool { return t.isolated }

// AnnouncesIsolation reports whether this VM announces to others that it is isolated: from the
// beginning of an isolation until announceTime after its end.
func (t *Table) AnnouncesIsolation(now time.Time) bool {
	return t.isolated || !t.endedAt.IsZero() && now.Sub(t.endedAt) < announceTime
}

// Doubts reports whether this VM may have lost its paths, so that a failed connection to a target says
// nothing about it: a connection to another target has failed recently, and none has succeeded since.
func (t *Table) Doubts(now time.Time, target string) bool {
	if t.isolated {
		return true
	}
	for id, p := range t.paths {
		if id != target && now.Sub(p.failedAt) < evidenceTime && (p.silent || !p.failedAt.Before(t.reachedAt)) {
			return true
		}
	}
	return false
}

// BrokenPaths returns the number of targets whose paths are broken.
func (t *Table) BrokenPaths() int {
	return t.count(func(p *path) bool { return p.broken })
}

func (t *Table) count(matches func(*path) bool) int {
	n := 0
	for _, p := range t.paths {
		if matches(p) {
			n++
		}
	}
	return n
}

// RecordFailure records that a connection to a target failed before the response to its request.
func (t *Table) RecordFailure(now time.Time, target string) {
	if t.isolated || !t.isKnown(target) {
		return
	}
	p := t.paths[target]
	if p == nil {
		p = &path{firstFailedAt: now}
		t.paths[target] = p
	}
	p.failedAt = now
}

// RecordRelayed records whether a relay reached a target. A broken path stays so if a relay does
// not reach the target, which may have failed as well.
func (t *Table) RecordRelayed(now time.Time, target string, reached bool) Change {
	p := t.paths[target]
	if t.isolated || p == nil || p.broken {
		return Change{}
	}
	if !reached {
		delete(t.paths, target)
		return Change{}
	}
	if now.Sub(p.failedAt) >= evidenceTime {
		return Change{}
	}
	if t.evidence() == 0 {
		t.prober.due = now
	}
	p.broken, p.isEvidence = true, true
	return t.beginIsolation(now, Change{Broken: target})
}

// RecordReachedElsewhere records that another VM reported a response of a target. It tells as much as
// a relay does, also for a VM that sends no requests of its own.
func (t *Table) RecordReachedElsewhere(now time.Time, target string) Change {
	p := t.paths[target]
	if p == nil || now.Sub(p.firstFailedAt) < reportTime {
		return Change{}
	}
	return t.RecordRelayed(now, target, true)
}

// RecordDial records the result of a new connection to a target.
func (t *Table) RecordDial(now time.Time, target string, ok bool) Change {
	if !t.isKnown(target) {
		return Change{}
	}
	if ok {
		return t.recordReached(now, target)
	}
	if t.isolated {
		t.recordFailedProbe(target)
		return Change{}
	}
	if t.isComparison(target) {
		t.dialFailed = true
	}
	t.RecordFailure(now, target)
	return t.beginIsolation(now, Change{})
}

// recordFailedProbe records that a target was not reached while this VM is isolated.
func (t *Table) recordFailedProbe(target string) {
	t.failedProbes++
	if target == t.reached {
		t.reached = ""
	}
}

// isComparison reports whether a failed connection to a target tells more than the broken paths do:
// it is to another target, or there is none.
func (t *Table) isComparison(target string) bool {
	if t.evidence() == 0 {
		return false
	}
	p := t.paths[target]
	return p == nil || !p.broken || t.BrokenPaths() == len(t.targets)
}

func (t *Table) evidence() int {
	return t.count(func(p *path) bool { return p.isEvidence })
}

// beginIsolation begins an isolation if there is enough evidence.
func (t *Table) beginIsolation(now time.Time, c Change) Change {
	evidence, broken := t.evidence(), t.BrokenPaths()
	isSilent := t.hasSilence(func(p *path) bool { return p.isEvidence })
	enough := evidence >= isolationPaths || evidence > 0 && broken == len(t.targets) || isSilent && evidence >= t.silencePaths()
	compared := t.dialFailed || isSilent && len(t.silence.unanswered) > 0
	if !compared || !enough {
		return c
	}
	t.isolated, t.beganAt, t.silence.isolates = true, now, isSilent
	t.reached, t.failedProbes = "", 0
	c.IsolationBegan, c.BrokenPaths = true, broken
	return c
}

// recordReached applies a successful connection.
func (t *Table) recordReached(now time.Time, target string) Change {
	var c Change
	t.reachedAt = now
	if p := t.paths[target]; p != nil && !p.silent {
		if p.broken {
			c.Restored = target
			t.prober.due = now
		}
		delete(t.paths, target)
	}
	for _, p := range t.paths {
		p.isEvidence = p.isEvidence && p.silent
	}
	t.dialFailed = false
	if !t.isolated || t.AsksQuestions() {
		return c
	}
	return t.recordReachedIsolated(now, target, c)
}

// recordReachedIsolated applies that a target was reached while this VM is isolated.
func (t *Table) recordReachedIsolated(now time.Time, target string, c Change) Change {
	t.prober.due = now
	if !t.endsIsolation(target) {
		return c
	}
	c = Change{IsolationEnded: true, BrokenPaths: t.BrokenPaths(), Duration: now.Sub(t.beganAt)}
	t.isolated, t.endedAt = false, now
	clear(t.paths)
	return c
}

// endsIsolation reports whether a connection to a target, or its answer, ends the isolation: it is the
// second one, and another target was reached before or no other can be.
func (t *Table) endsIsolation(target string) bool {
	probed := len(t.probedTargets())
	if probed == 1 {
		return true
	}
	switch {
	case t.reached == "":
		t.reached, t.failedProbes = target, 0
		return false
	case t.reached == target:
		return t.failedProbes >= probed-1
	}
	return true
}
