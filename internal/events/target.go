package events

import (
	"time"

	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Order describes an order to an engine and its result.
type Order struct {
	// Kind is load or unload.
	Kind, Target, Adapter string
	Version               int64
	FencingToken          uint64
	// ExpectedOrders is the order count of the engine that the order required; negative if it
	// required none.
	ExpectedOrders int64
	Result         string
	Took           time.Duration
	Err            error
	Basis          scheduler.Basis
}

// OrderAnswered records the result of an order. It is written for successful orders too, since
// finding the adapter slot of an engine that was counted wrongly requires all of its orders.
// There are at most about 75 orders per second.
func (l *Log) OrderAnswered(o Order) {
	l.info("order_answered", log.Fields{
		"order": o.Kind, "target": o.Target, "adapter": o.Adapter, "version": o.Version,
		"fence": o.FencingToken, "expect": o.ExpectedOrders, "result": o.Result, "took_ms": o.Took.Milliseconds(), "error": errorText(o.Err),
		"taken": o.Basis.Occupied, "slots": o.Basis.Slots, "in_transit": o.Basis.InTransit, "unproven": o.Basis.Unconfirmed,
		"report_age_ms": o.Basis.ReportAge.Milliseconds(), "kept": o.Basis.Cached, "proven": o.Basis.Confirmed,
	})
}

// ReportFailed records that an engine's report could not be read.
func (l *Log) ReportFailed(target string, err error) {
	l.info("report_failed", log.Fields{"target": target, "error": errorText(err)})
}

// TargetChanged records that a target appeared, changed its state, or is gone.
func (l *Log) TargetChanged(target, service, was, is string, revision fleet.Revision) {
	l.info("target_changed", log.Fields{
		"target": target, "service": service, "was": was, "is": is, "revision": revision,
	})
}

// TargetNotice records a notice that a target attached to a response: that the target drains,
// or for how long it requests backoff from this VM.
func (l *Log) TargetNotice(target string, draining bool, backoff time.Duration) {
	l.info("target_said", log.Fields{"target": target, "leaving": draining, "rest_ms": backoff.Milliseconds()})
}

// RateLimitAnnounced records that a target announced a new or changed rate limit, in requests
// per second.
func (l *Log) RateLimitAnnounced(target string, perSecond float64) {
	l.info("rate_limit_named", log.Fields{"target": target, "per_second": perSecond})
}

// RateLimitEnded records that a target no longer announces a rate limit.
func (l *Log) RateLimitEnded(target string) {
	l.info("rate_limit_ended", log.Fields{"target": target})
}

// RejectionLimitAnnounced records that a target announced a new or changed number of rejections per
// second above which it crashes.
func (l *Log) RejectionLimitAnnounced(target string, perSecond float64) {
	l.info("target_brittle", log.Fields{"target": target, "rejections_per_second": perSecond})
}

// RejectionLimitEnded records that a target is no longer brittle.
func (l *Log) RejectionLimitEnded(target string) {
	l.info("target_brittle_ended", log.Fields{"target": target})
}
