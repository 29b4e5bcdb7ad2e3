package reach

import (
	"maps"
	"slices"
	"time"
)

// SilenceTime is how long a request is unanswered, and no target sends this VM anything, until its
// target counts as silent. A sound target may pause for about as long.
const SilenceTime = time.Second

// silence is what is known about the silence of all targets.
type silence struct {
	// engines holds the ids of the targets that answer a question at once, sorted.
	engines []string
	// unanswered holds the engines that did not answer a question, if no target has sent anything since.
	unanswered map[string]bool
	// isolates is set while this VM is isolated and silence is part of the evidence.
	isolates bool
}

// SetEngines replaces the targets that can be asked a question. They must be among the targets.
// Without any, silence is not recorded, since nothing would end it.
func (t *Table) SetEngines(engines []string) {
	t.silence.engines = slices.Sorted(slices.Values(engines))
	if len(t.silence.engines) == 0 {
		t.endSilence()
	}
}

// RecordSilence records that a request to a target is unanswered and that no target has sent this VM
// anything for SilenceTime. It is to be called repeatedly while that lasts.
func (t *Table) RecordSilence(now time.Time, target string) {
	p := t.paths[target]
	if t.isolated || len(t.silence.engines) == 0 || !t.isKnown(target) || p != nil && p.broken {
		return
	}
	if !t.hasSilence(isAny) {
		t.silence.unanswered = nil
	}
	t.RecordFailure(now, target)
	t.paths[target].silent = true
}

// RecordHeard records when a target last sent this VM anything. It returns the targets whose paths were
// broken and no longer are. An isolation goes on until questions are answered.
func (t *Table) RecordHeard(at time.Time) (restored []string) {
	if t.isolated || !t.hasSilence(func(p *path) bool { return p.failedAt.Before(at) }) {
		return nil
	}
	return t.endSilence()
}

// endSilence forgets the silence. It returns the targets whose paths were broken and no longer are.
func (t *Table) endSilence() (restored []string) {
	t.silence.unanswered = nil
	maps.DeleteFunc(t.paths, func(id string, p *path) bool {
		if p.silent && p.broken {
			restored = append(restored, id)
		}
		return p.silent
	})
	return restored
}

// silencePaths is the number of broken paths by which a silence is an isolation, given the number of
// engines that did not answer a question. One engine may be unresponsive for a short time.
func (t *Table) silencePaths() int {
	if len(t.silence.unanswered) >= min(isolationPaths, len(t.silence.engines)) {
		return 1
	}
	return isolationPaths
}

// IsSilent reports whether the path to a target is broken by silence, or this VM is isolated by it.
func (t *Table) IsSilent(target string) bool {
	if t.isolated {
		return t.silence.isolates
	}
	p := t.paths[target]
	return p != nil && p.broken && p.silent
}

// CanRelay reports whether this VM can send requests of others: it is not isolated, and not in a silence,
// in which they would wait for nothing.
func (t *Table) CanRelay() bool { return !t.isolated && !t.hasSilence(isAny) }

func (t *Table) hasSilence(matches func(*path) bool) bool {
	return t.count(func(p *path) bool { return p.silent && matches(p) }) > 0
}

func isAny(*path) bool { return true }

// AsksQuestions reports whether targets are to be probed by questions, and not by connections. A silence
// is questioned at once, since it may be that of a single target that works on the only request.
func (t *Table) AsksQuestions() bool {
	if len(t.silence.engines) == 0 {
		return false
	}
	if t.isolated {
		return t.silence.isolates
	}
	return t.hasSilence(isAny)
}

// RecordQuestion records whether a target answered a question. While this VM is not isolated, it is
// RecordHeard that ends the silence, which is to be called before.
func (t *Table) RecordQuestion(now time.Time, target string, answered bool) Change {
	switch {
	case !t.isKnown(target), answered && !t.isolated:
		return Change{}
	case answered:
		return t.recordReachedIsolated(now, target, Change{})
	case t.isolated:
		t.recordFailedProbe(target)
		return Change{}
	case !t.AsksQuestions():
		return Change{} // the silence has ended
	}
	t.RecordSilence(now, target)
	if t.silence.unanswered == nil {
		t.silence.unanswered = map[string]bool{}
	}
	t.silence.unanswered[target] = true
	return t.beginIsolation(now, Change{})
}
