package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// simChunkTokens is the number of prompt tokens that one step prefills at most.
	simChunkTokens = 2048
	// simEventTokens is the number of tokens of one event.
	simEventTokens = 8
	// simPauseLimit is the pause between two events from which a stream counts as paused.
	simPauseLimit = 300 * time.Millisecond
)

// simRun is a request at an engine with a simulated batch.
type simRun struct {
	grant     Action
	request   *simRequest
	arrivedAt time.Time
	// unprefilled is the number of tokens to prefill; generated is the number of output tokens so far.
	unprefilled, generated int
	lastEventAt            time.Time // zero before the first event
	inTime, paused         bool
	preempted              bool // since the last event
}

func compareSimRuns(a, b *simRun) int {
	return cmp.Or(cmp.Compare(a.grant.Priority, b.grant.Priority), a.arrivedAt.Compare(b.arrivedAt))
}

// advanceBatches advances the steps of all engines until now. In each step, an engine prefills at
// most one chunk and generates one token of each run whose prompt is prefilled.
func (sim *loadSim) advanceBatches() {
	for _, id := range sim.engineIDs {
		e := sim.engines[id]
		for !e.stepEnd.After(sim.now) && len(e.batch)+len(e.queue) > 0 {
			sim.finishStep(e)
			sim.admitRuns(e)
			sim.beginStep(e)
		}
	}
}

// admitRuns fills the batch from the queue, most urgent first. A run preempts the least urgent one if
// the batch is full and that one is less urgent.
func (sim *loadSim) admitRuns(e *simEngine) {
	slices.SortStableFunc(e.queue, compareSimRuns)
	for len(e.queue) > 0 {
		if len(e.batch) >= sim.deployment.batch {
			last := slices.MaxFunc(e.batch, compareSimRuns)
			if last.grant.Priority <= e.queue[0].grant.Priority {
				return
			}
			sim.result.preempted++
			e.batch = slices.DeleteFunc(e.batch, func(run *simRun) bool { return run == last })
			last.preempted = true
			last.unprefilled = last.request.promptTokens + last.generated
			e.queue = append(e.queue, last)
		}
		e.batch = append(e.batch, e.queue[0])
		e.queue = e.queue[1:]
		slices.SortStableFunc(e.queue, compareSimRuns)
	}
}

func (sim *loadSim) beginStep(e *simEngine) {
	slices.SortStableFunc(e.batch, compareSimRuns)
	chunk := simChunkTokens
	for _, run := range e.batch {
		n := min(chunk, run.unprefilled)
		run.unprefilled -= n
		chunk -= n
	}
	prefillMs := float64(simChunkTokens-chunk) / sim.deployment.promptTokensPerMs
	stepMs := float64(sim.deployment.tokenTime)/float64(time.Millisecond) + 0.2*float64(len(e.batch))
	e.stepEnd = e.stepEnd.Add(time.Duration(e.pace * (stepMs + prefillMs) * float64(time.Millisecond)))
}

// finishStep generates a token of each run that is prefilled, and removes the runs that end.
func (sim *loadSim) finishStep(e *simEngine) {
	e.batch = slices.DeleteFunc(e.batch, func(run *simRun) bool {
		if _, open := sim.openRequests[run.grant.Key]; !open {
			return true
		}
		if run.unprefilled > 0 {
			return false
		}
		run.generated++
		ended := run.generated >= run.request.outputTokens
		if run.generated%simEventTokens == 0 || ended {
			sim.handleRunEvent(run)
		}
		if ended {
			sim.endRun(run)
		}
		return ended
	})
}

func (sim *loadSim) handleRunEvent(run *simRun) {
	if run.lastEventAt.IsZero() {
		since := run.request.submittedAt
		if !run.request.retriedAt.IsZero() {
			since = run.request.retriedAt
		}
		run.inTime = sim.now.Sub(since) <= run.request.kind.objective
		sim.s.FirstEvent(sim.now, run.grant.Key)
	} else if sim.now.Sub(run.lastEventAt) > simPauseLimit {
		run.paused = true
		if run.preempted {
			sim.result.pausedByPreemption++
		}
	}
	run.preempted = false
	run.lastEventAt = sim.now
}

// endRun counts a run that is complete.
func (sim *loadSim) endRun(run *simRun) {
	o := sim.result.byKind[run.request.kind.name]
	switch {
	case !run.inTime:
		o.late++
	case run.paused:
		o.paused++
	case !run.request.retriedAt.IsZero():
		o.retriedInTime++
	default:
		o.inTime++
		sim.countSecond(run.request)
	}
	delete(sim.openRequests, run.grant.Key)
	sim.execute(sim.s.Done(sim.now, run.grant.Key, EndedOK))
}

// addRun adds a granted request to the queue of an engine.
func (sim *loadSim) addRun(a Action, e *simEngine, r *simRequest) {
	if len(e.batch)+len(e.queue) == 0 {
		e.stepEnd = sim.now
	}
	e.queue = append(e.queue, &simRun{grant: a, request: r, arrivedAt: sim.now, unprefilled: r.promptTokens})
}
