package gateway

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errLeaving ends an attempt at a target that is known to leave. Nothing was sent.
var errLeaving = errors.New("the target leaves")

// states of a target as this VM knows it, for logs, beside those of fleet.TargetState.
const (
	stateGone    = "gone"
	stateUnknown = "unknown"
)

// beforeSending takes down what this VM knows as it sends to a target, and refuses a
// target that leaves. It is the last look before the request's first byte. The target was
// checked when it was chosen, but the verdict and a new connection may take seconds on
// slow links, and a request is to reach no target later than the time in which a leaving
// one must be left alone; plain requests are checked by the same look.
func (x *exchange) beforeSending(target string, connect time.Duration) error {
	sent := &x.line.Sent
	sent.Connect = connect
	sent.Sender = x.copyOfStore()
	sent.TargetState = x.stateOf(target, sent.Placed.Revision)
	switch sent.TargetState {
	case stateGone, fleet.TargetDraining.String():
		x.line.Sends-- // nothing arrives at the target, so it needs no retry budget
		x.g.cfg.Metrics.Withdrawn.Add(1)
		return errLeaving
	}
	return nil
}

// stateOf returns what this VM knows of a target that was chosen on a copy of the store
// at revision placed. A target that this VM lacks is gone if its own copy is not older;
// else it is one that the other VM heard of first.
func (x *exchange) stateOf(target string, placed uint64) string {
	t := x.g.cfg.Directory.Directory().Targets[target]
	switch {
	case t != nil:
		return t.State.String()
	case x.g.cfg.Directory.Revision() >= placed:
		return stateGone
	}
	return stateUnknown
}

// copyOfStore is this VM's copy now.
func (x *exchange) copyOfStore() events.Copy {
	return events.Copy{Revision: x.g.cfg.Directory.Revision(), Age: x.g.cfg.Directory.Age()}
}
