package gateway

import (
	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errOtherSoftware means that the target does not run, or may not run, the software version that
// began the stream.
var errOtherSoftware = errors.New("target does not run the software version that began the stream")

// chosenSoftware returns the version of the software of the current decision's target: the one in the
// copy of the store on which it was chosen, unless this VM's copy has another one; empty: unknown.
func (x *exchange) chosenSoftware() string {
	chosen := x.decision.SoftwareVersion
	t := x.g.cfg.Directory.Directory().Targets[x.decision.Target]
	if t != nil && t.SoftwareVersion != chosen {
		return ""
	}
	return chosen
}

// checkSoftware returns an error if the target of the current attempt must not continue the stream.
func (x *exchange) checkSoftware() error {
	x.sentSoftware = x.chosenSoftware()
	x.logEntry.Sent.SoftwareVersion = x.sentSoftware
	if x.software != "" && x.sentSoftware != x.software {
		return errOtherSoftware
	}
	return nil
}

// beginStream records that the caller is about to receive the first event of this answer. From then on
// only targets of the same software version may continue it.
func (x *exchange) beginStream() {
	if x.begun || x.route.Kind != fleet.Streaming {
		return
	}
	x.begun = true
	x.software = x.sentSoftware
	if x.software != "" {
		x.recordOrigin()
	}
}

// isContinuable reports whether another target may continue the stream, because it has not begun or
// the software version that began it is known.
func (x *exchange) isContinuable() bool { return !x.begun || x.software != "" }
