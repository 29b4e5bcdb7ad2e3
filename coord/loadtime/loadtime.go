// Package loadtime learns how long engines take to load an adapter.
//
// The time is published nowhere, differs between deployments, and nothing says when a load
// ends: an order is answered as it begins, and reports lag. It shows in the first requests
// after a load. One that is refused says that the load takes longer than the time since its
// order; one that runs says that it takes no longer.
//
// Estimate holds a time that nearly all loads are known to take at most. Refusals after that
// time raise it, by steps that grow while load after load shows the same. It comes down by
// trials: one load in some dozens is expected sooner, by a part that grows while trials
// succeed. Too early costs a rejected arrival and the pause until the next, so only single
// loads try; too late costs every request of a load the difference.
//
// Two other ways were weighed, beside a constant: a staircase, in which every request that
// runs lowers the estimate a little, and a quantile over the times that the last loads
// showed (TestWays). Loads that begin together are expected by one figure, so that both ask
// too early by the dozen whenever they come down.
//
// Estimate has no clock and does no I/O. It is not safe for concurrent use.
package loadtime

import "time"

// Figures of the way up, as parts of the estimate.
const (
	// raiseStep follows a first refusal: the times of one deployment's loads differ by less.
	raiseStep = 0.02
	// maxRaise bounds the step, which doubles with each further load that is refused while
	// none is in time: 250 ms become 600 ms within six tries of the loads under way.
	maxRaise = 0.25
)

// Figures of the trials.
const (
	// firstGap is how many loads there are to one that tries; the gap doubles with a trial
	// that failed, up to maxGap: some 1 in 100 loads is refused by a trial then.
	firstGap = 4
	maxGap   = 96
	// firstTrial is the part of the estimate that is tried to save; it doubles with each
	// success up to maxTrial: 600 ms become 290 ms within five trials.
	firstTrial = 0.03
	maxTrial   = 0.25
	// confirmations is how many trials in a row must succeed: loads differ, and one that is
	// quick says little of the others.
	confirmations = 3
)

// Bounds of an estimate: below is a message's way, beyond no engine is usable.
const (
	least = 2 * time.Millisecond
	most  = 10 * time.Second
)

// Estimate is the expected time from the answer to a load's order until requests may be sent.
type Estimate struct {
	value time.Duration
	// long is how many loads in a row took longer, the last of them lastLong.
	long     int
	lastLong uint64
	// untried loads began since the last trial.
	untried, gap int
	trial        float64
	// succeeded trials in a row, and the longest time of one.
	succeeded int
	longest   time.Duration
}

// New returns an Estimate that begins with a prior.
func New(prior time.Duration) *Estimate {
	return &Estimate{value: prior, gap: firstGap, trial: firstTrial}
}

// Value returns the expected time.
func (e *Estimate) Value() time.Duration { return e.value }

// Next returns the time after which the first requests of a load that begins now are to be
// sent: the expected one, or less as a trial.
func (e *Estimate) Next() time.Duration {
	e.untried++
	if e.untried < e.gap {
		return e.value
	}
	e.untried = 0
	return max(time.Duration((1-e.trial)*float64(e.value)), least)
}

// Refused takes that a request was refused which was sent so long after its load began, since
// the load was not over. load names the load.
func (e *Estimate) Refused(load uint64, after time.Duration) {
	e.succeeded, e.longest = 0, 0
	if after >= e.value {
		e.raise(load)
		return
	}
	if e.trial = max(e.trial/2, firstTrial); e.trial == firstTrial {
		e.gap = min(2*e.gap, maxGap)
	}
}

// raise takes that a load takes longer than expected. What one load shows again raises little.
func (e *Estimate) raise(load uint64) {
	if load == e.lastLong && e.long > 0 {
		return
	}
	step := min(raiseStep*float64(uint(1)<<min(e.long, 8)), maxRaise)
	e.long++
	e.lastLong = load
	e.value = min(time.Duration((1+step)*float64(e.value)), most)
}

// Ran takes that a request ran that was sent so long after its load began. refused is when an
// earlier one of that load was refused; 0: none was.
func (e *Estimate) Ran(load uint64, refused, after time.Duration) {
	switch {
	case refused > e.value:
		e.lastLong = 0
		e.raise(load)
	case refused > 0: // by a trial, or before the estimate was raised
		e.value = min(e.value, after)
	case after < e.value:
		e.long = 0
		e.succeed(after)
	default:
		e.long = 0
	}
}

// succeed takes a trial that came in time.
func (e *Estimate) succeed(after time.Duration) {
	e.succeeded++
	e.longest = max(e.longest, after)
	e.gap = firstGap
	if e.succeeded < confirmations {
		return
	}
	e.value = max(e.longest, least)
	e.succeeded, e.longest = 0, 0
	e.trial = min(2*e.trial, maxTrial)
}
