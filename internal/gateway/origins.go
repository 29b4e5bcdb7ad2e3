package gateway

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Origins knows which software versions began the streams that callers take up.
type Origins interface {
	// Record stores the origin of a stream and sends it to other VMs. It does not block.
	Record(r origin.Record)
	// Find returns the origin of a stream, unless the source is OriginUnknown.
	Find(ctx context.Context, q OriginQuery) (origin.Origin, OriginSource)
	// OnlySeen returns the software version of a service's targets if the VMs have seen no other one within the
	// window; empty: they have, or none has seen the whole window.
	OnlySeen(ctx context.Context, service string, window time.Duration) string
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
	// OriginUnnamed: the request names no attempt, and the VMs have seen one version only since before the
	// stream can have begun.
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
	if v := x.g.cfg.Origins.OnlySeen(x.ctx, service, x.unnamedWindow()); v != "" {
		return origin.Origin{Service: service, SoftwareVersion: v}, OriginUnnamed
	}
	return origin.Origin{}, OriginUnknown
}

// originWindow returns the longest time ago at which a stream of the route can have begun.
func (x *exchange) originWindow() time.Duration {
	return max(minOriginWindow, x.route.Timeout, x.req.Remaining)
}

// unnamedWindow returns the longest time ago at which a stream can have begun whose caller names no attempt. Such
// callers wait no longer than the route allows.
func (x *exchange) unnamedWindow() time.Duration {
	return max(x.route.Timeout, x.req.Remaining) + originMargin
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
