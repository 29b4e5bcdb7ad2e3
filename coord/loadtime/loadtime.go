// Package loadtime estimates how long engines take to load an adapter.
//
// The time is published nowhere, differs between deployments, and nothing signals the end
// of a load: an engine acknowledges a load order when the load begins, and its reports lag.
// The time shows in the first requests after a load. A rejected request shows that the load
// takes longer than the time since its order; a request that runs shows that it takes no
// longer.
//
// Estimate holds an upper bound of the time that nearly all loads take. Rejections after
// that time raise it, in steps that grow while consecutive loads are late. Trials lower it:
// one load in some dozens is expected sooner, by a fraction that grows while trials succeed.
// A request that is sent too early costs a rejected arrival and the delay until the retry;
// for that reason only single loads are trials. An estimate that is too long delays every
// request that waits for a load by the difference.
//
// TestTrialsCostLessThanAlternatives compares the trials with a constant and with two other
// estimators: a staircase, in which every request that runs lowers the estimate a little, and
// a quantile of the observed times of the last loads. Loads that begin together share one
// estimate. Whenever either of these two lowers it, dozens of requests are sent too early.
//
// Estimate has no clock and does no I/O. It is not safe for concurrent use.
package loadtime

import "time"

// Parameters of raising the estimate, as fractions of it.
const (
	// initialRaise is the step after a first late load. The load times of one deployment
	// differ by less.
	initialRaise = 0.02
	// maxRaise bounds the step, which doubles with each further late load while none is on
	// time. An estimate of 250 ms reaches 600 ms within six attempts of the loads in progress.
	maxRaise = 0.25
)

// Parameters of the trials.
const (
	// minTrialInterval is the initial number of loads per trial. A failed trial that leaves
	// the smallest reduction doubles the interval, up to maxTrialInterval. About 1 in 100
	// loads then has a request rejected because of a trial.
	minTrialInterval = 4
	maxTrialInterval = 96
	// minTrialReduction is the smallest fraction of the estimate by which a trial shortens it. The
	// first trials use maxTightReduction, which shows soon whether the prior is far too long. It
	// doubles with each lowering of the estimate, up to maxTrialReduction, and halves with
	// each failed trial. Five lowerings take 600 ms below 290 ms.
	minTrialReduction = 0.03
	maxTrialReduction = 0.25
	// maxTightReduction is the reduction of a failed trial up to which the estimate is tight. A
	// load time that is an eighth shorter hides that an eighth too many loads are in progress.
	maxTightReduction = 0.125
	// requiredSuccesses is the number of consecutive trials that must succeed before the
	// estimate is lowered. Load times vary, and one fast load says little about the others.
	requiredSuccesses = 3
)

// Bounds of an estimate. A shorter time is below the network delay of a message; with a
// longer one no engine is usable.
const (
	minEstimate = 2 * time.Millisecond
	maxEstimate = 10 * time.Second
)

// Estimate is the expected time from the acknowledgement of a load order until requests may
// be sent.
type Estimate struct {
	value time.Duration
	// consecutiveLate is the number of consecutive loads that took longer than expected,
	// lastLateLoad the last of them.
	consecutiveLate int
	lastLateLoad    uint64
	// loadsSinceTrial is the number of loads that began since the last trial; one load in
	// trialInterval is a trial, which shortens the estimate by the fraction trialReduction.
	loadsSinceTrial, trialInterval int
	trialReduction                 float64
	// consecutiveSuccesses is the number of consecutive successful trials, longestSuccess the
	// longest time among them.
	consecutiveSuccesses int
	longestSuccess       time.Duration
	// tight reports that a load has shown to take nearly as long as the estimate or longer since
	// the estimate was last lowered.
	tight bool
}

// New returns an Estimate with a prior.
func New(prior time.Duration) *Estimate {
	return &Estimate{value: prior, trialInterval: minTrialInterval, trialReduction: maxTightReduction}
}

// Value returns the expected time.
func (e *Estimate) Value() time.Duration { return e.value }

// IsTight reports whether the estimate is known to be at most maxTightReduction too long. Loads
// that finish in time say nothing about how much longer they may take if it is not.
func (e *Estimate) IsTight() bool { return e.tight }

// RaiseTo raises the estimate to an observed time. As loads that took longer than expected were
// also more than intended, the time may be too long, and trials start anew.
func (e *Estimate) RaiseTo(d time.Duration) {
	e.value = min(max(e.value, d), maxEstimate)
	e.consecutiveSuccesses, e.longestSuccess, e.consecutiveLate = 0, 0, 0
	e.trialReduction, e.trialInterval, e.tight = maxTightReduction, minTrialInterval, false
}

// Next returns the time after which to send the first requests for a load that begins now.
// It is the expected time, or less if the load is a trial.
func (e *Estimate) Next() time.Duration {
	e.loadsSinceTrial++
	if e.loadsSinceTrial < e.trialInterval {
		return e.value
	}
	e.loadsSinceTrial = 0
	return max(time.Duration((1-e.trialReduction)*float64(e.value)), minEstimate)
}

// ObserveRejection records that a request was rejected because its load was not finished. after is
// the time from the start of the load until the request was sent; load identifies the load.
func (e *Estimate) ObserveRejection(load uint64, after time.Duration) {
	e.consecutiveSuccesses, e.longestSuccess = 0, 0
	if after >= e.value {
		e.raise(load)
		return
	}
	e.tight = e.tight || e.trialReduction <= maxTightReduction
	if e.trialReduction = max(e.trialReduction/2, minTrialReduction); e.trialReduction == minTrialReduction {
		e.trialInterval = min(2*e.trialInterval, maxTrialInterval)
	}
}

// raise increases the estimate because a load took longer than expected. Consecutive
// rejections for the same load raise it only once.
func (e *Estimate) raise(load uint64) {
	if load == e.lastLateLoad && e.consecutiveLate > 0 {
		return
	}
	step := min(initialRaise*float64(uint(1)<<min(e.consecutiveLate, 8)), maxRaise)
	e.consecutiveLate++
	e.tight = true
	e.lastLateLoad = load
	e.value = min(time.Duration((1+step)*float64(e.value)), maxEstimate)
}

// ObserveRun records that a request ran. after is the time from the start of its load until the
// request was sent. rejectedAfter is the same time of an earlier request for that load that was
// rejected, or 0 if there was none.
func (e *Estimate) ObserveRun(load uint64, rejectedAfter, after time.Duration) {
	switch {
	case rejectedAfter >= e.value:
		e.lastLateLoad = 0
		e.raise(load)
	case rejectedAfter > 0: // rejected during a trial, or before the estimate was raised
		e.value = min(e.value, after)
	case after < e.value:
		e.consecutiveLate = 0
		e.trialSucceeded(after)
	default:
		e.consecutiveLate = 0
	}
}

// trialSucceeded records a trial whose load was finished in time.
func (e *Estimate) trialSucceeded(after time.Duration) {
	e.consecutiveSuccesses++
	e.longestSuccess = max(e.longestSuccess, after)
	e.trialInterval = minTrialInterval
	if e.consecutiveSuccesses < requiredSuccesses {
		return
	}
	e.value = max(e.longestSuccess, minEstimate)
	e.tight = false
	e.consecutiveSuccesses, e.longestSuccess = 0, 0
	e.trialReduction = min(2*e.trialReduction, maxTrialReduction)
}
