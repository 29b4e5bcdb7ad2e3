package reach

import (
	"maps"
	"slices"
	"time"
)

// probeInterval is the least time between two probes after one that failed.
const probeInterval = 500 * time.Millisecond

// prober selects the targets to probe.
type prober struct {
	seed uint64
	// due is when the next probe is due.
	due time.Time
	// last is the target that was probed last; empty: none yet.
	last string
}

// NextProbe returns the target to probe at now. ok is false if no probe is due. The result of the
// probe must be passed to RecordDial, or to RecordQuestion if AsksQuestions, before the next call.
func (t *Table) NextProbe(now time.Time) (target string, ok bool) {
	t.forgetOldFailures(now)
	if now.Before(t.prober.due) {
		return "", false
	}
	target, ok = t.selectProbe()
	if ok {
		t.prober.last, t.prober.due = target, now.Add(probeInterval)
	}
	return target, ok
}

// forgetOldFailures removes failures that no relay's result is compared with any more.
func (t *Table) forgetOldFailures(now time.Time) {
	maps.DeleteFunc(t.paths, func(_ string, p *path) bool { return !p.broken && now.Sub(p.failedAt) >= evidenceTime })
}

// selectProbe returns the next target to probe. As long as nothing shows that this VM can reach any
// target, those without a failure come first: one of them tells whether it can.
func (t *Table) selectProbe() (target string, ok bool) {
	if t.isolated || t.AsksQuestions() {
		return t.nextTarget(func(*path) bool { return true })
	}
	if t.evidence() > 0 {
		if target, ok = t.nextTarget(func(p *path) bool { return p == nil }); ok {
			return target, true
		}
	}
	if t.BrokenPaths() == 0 {
		return "", false
	}
	return t.nextTarget(func(p *path) bool { return p != nil && p.broken })
}

// nextTarget returns the first target in turn after the last one probed whose path matches; the
// path is nil for a target without a failure.
func (t *Table) nextTarget(matches func(*path) bool) (target string, ok bool) {
	targets := t.probedTargets()
	n := len(targets)
	first := firstInTurn(targets, t.prober)
	for i := range n {
		id := targets[(first+i)%n]
		if matches(t.paths[id]) {
			return id, true
		}
	}
	return "", false
}

// Comparison returns a target other than the given one to which no connection has failed recently. ok
// is false if there is none.
func (t *Table) Comparison(target string) (other string, ok bool) {
	i, _ := slices.BinarySearch(t.targets, target)
	n := len(t.targets)
	for k := range n {
		if id := t.targets[(i+k)%n]; id != target && t.paths[id] == nil {
			return id, true
		}
	}
	return "", false
}

// probedTargets returns the targets that are probed, sorted.
func (t *Table) probedTargets() []string {
	if t.AsksQuestions() {
		return t.silence.engines
	}
	return t.targets
}

// firstInTurn returns the index of the target after the last one probed.
func firstInTurn(targets []string, p prober) int {
	if p.last == "" {
		return int(p.seed % uint64(max(len(targets), 1)))
	}
	i, known := slices.BinarySearch(targets, p.last)
	if known {
		i++
	}
	return i
}
