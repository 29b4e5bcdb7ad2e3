package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Origins knows which software versions began the streams that callers take up.
type Origins interface {
	// Record stores the origin of a stream and sends it to other VMs. It does not block.
	Record(r origin.Record)
	// Find returns the origin of a stream, unless the source is OriginUnknown.
	Find(ctx context.Context, q OriginQuery) (origin.Origin, OriginSource)
	// OnlyVersion returns the software version of a service's targets if this VM has seen no other
	// recently.
	OnlyVersion(service string) string
}

// OriginQuery describes the stream that a request takes up.
type OriginQuery struct {
	// Attempt is the id of the attempt that received the first event.
	Attempt string
	// Service is the only service of the route; empty: there are several.
	Service string
	// Window is the longest time ago at which the stream can have begun.
	Window time.Duration
}

// OriginSource is how the origin of a stream was found.
type OriginSource string

// The sources of an origin.
const (
	// OriginOwn and OriginTold: this VM, or another one, has a record of the attempt.
	OriginOwn  OriginSource = "own"
	OriginTold OriginSource = "told"
	// OriginProved: the service has had one version only since before the stream can have begun.
	OriginProved OriginSource = "proved"
	// OriginUnnamed: the request names no attempt, and this VM knows one version only.
	OriginUnnamed OriginSource = "unnamed"
	OriginUnknown OriginSource = "unknown"
)

const (
	// minOriginWindow is the least time ago at which a stream is taken to have begun, if neither the
	// route nor the caller sets a longer timeout.
	minOriginWindow = time.Minute
	// originMargin is added to the caller's timeout, which it counts from before its request.
	originMargin = 2 * time.Second
	// unknownOriginRetryDelay is the retry delay of a stream whose origin is unknown. VMs that did not
	// reply may do so then.
	unknownOriginRetryDelay = time.Second
)

// findOrigin finds the origin of the stream that the request takes up; the zero value: it begins one. It
// refuses the request and returns false if the origin is unknown or the route does not lead there.
func (x *exchange) findOrigin() (o origin.Origin, ok bool) {
	if x.route.Kind != fleet.Streaming || !x.req.ContinuesStream() {
		return origin.Origin{}, true
	}
	var source OriginSource
	o, source = x.lookUpOrigin()
	x.logEntry.Origin = string(source)
	x.g.cfg.Metrics.StreamOrigins.Add(string(source), 1)
	switch {
	case source == OriginUnknown:
		x.refuse("stream_origin_unknown", unknownOriginRetryDelay)
		return o, false
	case !x.route.LeadsTo(o.Service):
		x.refuse("stream_service_changed", unknownOriginRetryDelay)
		return o, false
	}
	return o, true
}

// lookUpOrigin returns the origin of the stream that the request takes up. One that names no attempt goes
// on if this VM knows one software version only: nothing tells its stream from others.
func (x *exchange) lookUpOrigin() (origin.Origin, OriginSource) {
	service := x.route.OnlyService()
	if x.req.FirstAttemptID != "" {
		return x.g.cfg.Origins.Find(x.ctx, OriginQuery{Attempt: x.req.FirstAttemptID, Service: service, Window: x.originWindow()})
	}
	if v := x.g.cfg.Origins.OnlyVersion(service); v != "" {
		return origin.Origin{Service: service, SoftwareVersion: v}, OriginUnnamed
	}
	return origin.Origin{}, OriginUnknown
}

// originWindow returns the longest time ago at which a stream of the route can have begun.
func (x *exchange) originWindow() time.Duration {
	return max(minOriginWindow, x.route.Timeout, x.req.Remaining)
}

// errOtherSoftware means that the target does not run, or may not run, the software version that
// began the stream.
var errOtherSoftware = errors.New("target does not run the software version that began the stream")

// attemptSoftware returns the version of the software of the current attempt's target: the one in the
// copy of the store on which it was chosen, unless this VM's copy has another one; empty: unknown.
func (x *exchange) attemptSoftware() string {
	chosen := x.decision.SoftwareVersion
	t := x.g.cfg.Directory.Directory().Targets[x.decision.Target]
	if t != nil && t.SoftwareVersion != chosen {
		return ""
	}
	return chosen
}

// checkSoftware returns an error if the target of the current attempt must not continue the stream.
func (x *exchange) checkSoftware() error {
	x.logEntry.Sent.SoftwareVersion = x.attemptSoftware()
	if x.software != "" && x.logEntry.Sent.SoftwareVersion != x.software {
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
	x.software = x.logEntry.Sent.SoftwareVersion
	if x.software != "" {
		x.recordOrigin()
	}
}

// recordOrigin records the origin of the stream under the attempt that received its first event, each
// time that the stream goes on: the VMs that held the record may be gone.
func (x *exchange) recordOrigin() {
	attempt := x.req.FirstAttemptID
	switch {
	case attempt != "":
	case x.req.ContinuesStream():
		return // the attempt that received the first event is not known
	default:
		attempt = x.req.ID
	}
	left := x.req.Remaining
	if left <= 0 {
		left = x.originWindow()
	}
	x.g.cfg.Origins.Record(origin.Record{
		Attempt: origin.AttemptOf(attempt), Origin: origin.Origin{Service: x.service.Name, SoftwareVersion: x.software},
		ExpiresAt: x.startedAt.Add(left + originMargin),
	})
}

// isContinuable reports whether another target may continue the stream, because it has not begun or
// the software version that began it is known.
func (x *exchange) isContinuable() bool { return !x.begun || x.software != "" }
