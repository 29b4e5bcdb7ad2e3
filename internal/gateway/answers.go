package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// refuse answers that the request has not run.
func (x *exchange) refuse(reason string, retryAfter time.Duration) {
	x.refuseWith(http.StatusServiceUnavailable, reason, retryAfter)
}

// refuseAs refuses a request for a verdict's reason. Its caller is not told to come back while all
// targets of the service rest.
func (x *exchange) refuseAs(v Decision, reason string) {
	status := http.StatusServiceUnavailable
	if v.OverQuota {
		status = http.StatusTooManyRequests
	}
	x.refuseWith(status, reason, max(v.RetryAfter, x.firstWake()))
}

func (x *exchange) refuseWith(status int, reason string, retryAfter time.Duration) {
	x.g.cfg.Codec.Refuse(x.w.Header(), retryAfter)
	x.answer(status, reason)
	x.end("refused", status, reason, nil)
}

// pauseWithoutConfiguration is when to come back to a VM that knows no configuration.
func (x *exchange) pauseWithoutConfiguration() time.Duration {
	if x.began.Sub(x.g.began) < readTime {
		return startPause
	}
	pause := awayPause
	if r, err := x.g.cfg.Codec.DecodeRequest(x.r.Header); err == nil && r.Remaining > 0 {
		pause = min(pause, time.Duration(waitShare*float64(r.Remaining)))
	}
	return pause
}

// deny answers that the request cannot be served.
func (x *exchange) deny(status int, reason string) { x.denyBecause(status, reason, nil) }

func (x *exchange) denyBecause(status int, reason string, err error) {
	x.answer(status, reason)
	x.end("denied", status, reason, err)
}

// fail answers that the request may have run.
func (x *exchange) fail(reason string, err error) {
	status := http.StatusBadGateway
	if x.ctx != nil && errors.Is(x.ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	x.answer(status, reason)
	x.end("failed", status, reason, err)
}

func (x *exchange) answer(status int, reason string) {
	x.w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	x.w.WriteHeader(status)
	_, _ = io.WriteString(x.w, reason+"\n") // a caller that left is seen by its context
}

// callerLeft reports whether nobody waits for the answer.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }

// end writes the line that closes a request, and counts it.
func (x *exchange) end(outcome string, status int, reason string, err error) {
	x.g.cfg.Metrics.ended(outcome, reason)
	now := x.g.cfg.Now()
	x.line.ID, x.line.Outcome, x.line.Reason, x.line.Status = x.req.ID, outcome, reason, status
	x.line.Adapter, x.line.Took, x.line.Err = x.req.Adapter.String(), now.Sub(x.began), err
	if x.route != nil {
		x.line.Route = x.route.Name
	}
	x.g.cfg.Log.RequestEnded(now, x.line)
}
