package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/reach"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// maxSilenceCheckGap is the longest time between two checks of a silence after which this VM counts as
// having run all the time. Otherwise what targets sent may not have been read yet.
const maxSilenceCheckGap = reach.SilenceTime / 2

// isAnswered reports whether the engine answered an order or a report request that returned err.
func isAnswered(err error) bool { return err == nil || errors.Is(err, fleet.ErrAnswered) }

// isUnanswered reports whether a call to an engine that returned err was sent and is unanswered.
func isUnanswered(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, fleet.ErrUnconnected)
}

// recordSilence records that targets have not answered requests, and that no target has sent this VM
// anything in the meantime. now is from before that was found, since what arrives after it ends the silence.
func (r *reachability) recordSilence(now time.Time, targets ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range targets {
		r.table.RecordSilence(now, target)
	}
}

// markSilence marks the error of a request to a target as hop.ErrSilence if the path there is silent. An
// error that guarantees that nothing was sent is returned as it is.
func (r *reachability) markSilence(target string, err error) error {
	if hop.NotSent(err) {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.table.IsSilent(target) {
		return err
	}
	return errors.Mark(err, hop.ErrSilence)
}

// checkSilence records the silence of all targets, or its end.
func (r *reachability) checkSilence() {
	now, pool := r.node.now(), r.node.pool
	r.mu.Lock()
	restored := r.table.RecordHeard(pool.HeardAt())
	r.mu.Unlock()
	for _, target := range restored {
		r.node.log.PathRestored(target)
	}
	if r.hasListened(now) {
		r.recordSilence(now, pool.Silent(now, reach.SilenceTime)...)
	}
}

// hasListened reports whether this VM has run long enough to find a silence, without a gap as by a
// suspension.
func (r *reachability) hasListened(now time.Time) bool {
	if now.Sub(r.silenceCheckedAt) > maxSilenceCheckGap {
		r.listeningSince = now
	}
	r.silenceCheckedAt = now
	return now.Sub(r.listeningSince) >= reach.SilenceTime
}

// excuseProbe makes the time that a probe took since the last check of a silence no gap.
func (r *reachability) excuseProbe() {
	now := r.node.now()
	if now.Sub(r.silenceCheckedAt) <= maxProbeTime {
		r.silenceCheckedAt = now
	}
}
