package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Errors that end an attempt before anything is sent.
var (
	errLeaving = errors.New("the target leaves")
	// errOldVerdict: nobody can tell any more that the target has not left.
	errOldVerdict = errors.New("the verdict is old, and so is this VM's copy of the store")
	// errOver: this VM was suspended, so that the context that ends with the deadline has not ended.
	errOver = errors.New("the time of the request is over")
)

// DrainBounds divide the time in which a leaving target must be left alone. The zero value
// sets none.
type DrainBounds struct {
	// Propagation is how long the word that a target leaves takes to every VM that the
	// others reach: a copy of the store that is older cannot tell that it stays.
	Propagation time.Duration
	// InFlight is what is left of the time: how long a verdict may be under way where this
	// VM's copy is older than Propagation, and the bytes of a request always.
	InFlight time.Duration
}

// tooOld reports whether a verdict that was under way for lag is no ground any more, given
// the age of this VM's own copy. A VM that hears nothing, or stood still, may get verdicts
// from before a target's word. While the store is away all copies are old, and verdicts
// that come in time are acted on.
func (b DrainBounds) tooOld(lag, age time.Duration) bool {
	return b.InFlight > 0 && lag > b.InFlight && age > b.Propagation
}

// States of a target as this VM knows it, for logs, beside those of fleet.TargetState.
const (
	stateGone    = "gone"
	stateUnknown = "unknown"
)

// beforeSending takes down what this VM knows as it sends to a target, and refuses a
// target that leaves. It is the last look before the request's first byte. The target was
// checked when it was chosen, but the verdict and a new connection may take seconds on
// slow links or from a VM that stood still, and a request is to reach no target later than
// the time in which a leaving one must be left alone. Where the scheduling VM of 66 stood
// still for some 3 s as engines left, 18 of about 75,000 requests of three runs reached an
// engine 3.3 s after its word, of 3 s allowed; none with this look and what is around it.
func (x *exchange) beforeSending(target string, connect time.Duration) error {
	x.g.cfg.CheckSuspension()
	sent := &x.line.Sent
	sent.Connect = connect
	sent.SenderCopy = x.copyOfStore()
	sent.TargetState = x.stateOf(target)
	switch {
	case x.left() <= 0:
		return x.withdrawn(errOver)
	case x.g.isResting(target):
		return x.withdrawn(errResting)
	case sent.TargetState == stateGone || sent.TargetState == fleet.TargetDraining.String():
		return x.withdrawn(errLeaving)
	case x.g.cfg.DrainBounds.tooOld(sent.DecisionDelay, sent.SenderCopy.Age):
		return x.withdrawn(errOldVerdict)
	}
	if err := x.checkRate(target); err != nil {
		return x.withdrawn(err)
	}
	return nil
}

// withdrawn counts an attempt that is not sent. It takes nothing of the retry budget, as
// nothing arrives at the target.
func (x *exchange) withdrawn(err error) error {
	x.line.Attempts--
	x.g.cfg.Metrics.Withdrawn.Add(1)
	return err
}

// stateOf returns what this VM knows of a target as it sends to it. A target that it lacks is
// gone if it was dropped here or if the own copy, as taken down before the directory is
// looked up, is not older than the one on which the target was chosen; else it is one that
// the other VM heard of first.
func (x *exchange) stateOf(target string) string {
	dir := x.g.cfg.Directory.Directory()
	t := dir.Targets[target]
	switch {
	case t != nil:
		return t.State.String()
	case dir.Removed[target]:
		return stateGone
	case x.line.Sent.SenderCopy.Revision >= x.line.Sent.PlacementCopy.Revision:
		return stateGone
	}
	return stateUnknown
}

// copyOfStore is this VM's copy now.
func (x *exchange) copyOfStore() events.StoreCopy {
	return events.StoreCopy{Revision: x.g.cfg.Directory.Revision(), Age: x.g.cfg.Directory.Age()}
}
