package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// refuse responds that the request has not run.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.refuseWithStatus(http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseByDecision refuses a request because of a decision. Retry-After is at least the time until
// the first target of the service ends its backoff.
func (x *exchange) refuseByDecision(decision Decision, reason string) {
	status := http.StatusServiceUnavailable
	if decision.OverQuota {
		status = http.StatusTooManyRequests
	}
	x.refuseWithStatus(status, reason, max(decision.RetryAfter, x.backoffRemaining()))
}

func (x *exchange) refuseWithStatus(status int, reason string, retryAfter time.Duration) {
	x.g.cfg.Codec.Refuse(x.w.Header(), retryAfter)
	x.writeError(status, reason)
	x.recordOutcome("refused", status, reason, nil)
}

// noConfigRetryDelay returns the retry delay for callers of a VM without a configuration.
func (x *exchange) noConfigRetryDelay() time.Duration {
	if x.startedAt.Sub(x.g.startedAt) < initialReadTime {
		return startupRetryDelay
	}
	delay := storeDownRetryDelay
	if r, err := x.g.cfg.Codec.DecodeRequest(x.r.Header); err == nil && r.Remaining > 0 {
		delay = min(delay, time.Duration(maxRetryDelayShare*float64(r.Remaining)))
	}
	return delay
}

// deny responds that the request cannot be served.
func (x *exchange) deny(status int, reason string) { x.denyWithError(status, reason, nil) }

func (x *exchange) denyWithError(status int, reason string, err error) {
	x.writeError(status, reason)
	x.recordOutcome("denied", status, reason, err)
}

// fail responds that the request may have run.
func (x *exchange) fail(reason string, err error) {
	status := http.StatusBadGateway
	if x.ctx != nil && (errors.Is(x.ctx.Err(), context.DeadlineExceeded) || x.isEndedByStop()) {
		status = http.StatusGatewayTimeout
	}
	x.writeError(status, reason)
	x.recordOutcome("failed", status, reason, err)
}

func (x *exchange) writeError(status int, reason string) {
	if x.g.isDraining() {
		x.w.Header().Set("Connection", "close")
	}
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n") // a disconnected caller is detected by its context
}

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }

// recordOutcome writes the final log entry of a request and counts the request.
func (x *exchange) recordOutcome(outcome string, status int, reason string, err error) {
	x.g.cfg.Metrics.countEnded(outcome, reason)
	now := x.g.cfg.Now()
	x.logEntry.ID, x.logEntry.Outcome, x.logEntry.Reason, x.logEntry.Status = x.req.ID, outcome, reason, status
	x.logEntry.FirstAttemptID, x.logEntry.LastEventID = x.req.FirstAttemptID, x.req.LastEventID
	x.logEntry.PromptParts = x.req.PartIDs()
	x.logEntry.Adapter, x.logEntry.Took, x.logEntry.Err = x.req.Adapter.String(), now.Sub(x.startedAt), err
	if x.route != nil {
		x.logEntry.Route = x.route.Name
	}
	x.g.cfg.Log.RequestEnded(now, x.logEntry)
}
