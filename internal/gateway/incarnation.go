package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// incarnationTimeout bounds the question which incarnation of a target runs. Targets answer within
// milliseconds.
const incarnationTimeout = 300 * time.Millisecond

// checkIncarnation returns an error if a later incarnation of the current decision's target runs than the one
// that this VM knows, whose software version is then unknown. It is asked before a stream goes on at another
// target: the announcement of a restart arrives late, or not at all while the store is unavailable. No answer
// shows nothing.
func (x *exchange) checkIncarnation() error {
	t := x.g.cfg.Directory.Directory().Targets[x.decision.Target]
	if x.software == "" || t == nil || t.Started == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.ctx, incarnationTimeout)
	defer cancel()
	if started, err := x.g.cfg.StartTime(ctx, t.ID, t.Address); err == nil && started > t.Started {
		return errors.Mark(errors.Wrap(errOtherSoftware, "the target has restarted"), hop.ErrWithdrawn)
	}
	return nil
}
