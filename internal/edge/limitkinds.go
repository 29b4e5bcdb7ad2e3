package edge

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/coord/servicequeue"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// limitKind is a kind of limit that targets announce.
type limitKind struct {
	id schema.LimitKind
	// placedUnder returns the limit under which a decision was made.
	placedUnder  func(d *gateway.Decision) ratelimit.Limit
	logAnnounced func(l *events.Log, target string, perSecond float64)
	logEnded     func(l *events.Log, target string)
	// apply passes the limits, per second by target, to the schedulers and queues.
	apply func(n *Node, limits map[string]float64, share float64)
}

// newRateLimits returns the table of the requests per second that targets accept.
func newRateLimits(n *Node) *targetLimits {
	return newTargetLimits(n, limitKind{
		id:           schema.LimitKind_LIMIT_KIND_REQUESTS,
		placedUnder:  func(d *gateway.Decision) ratelimit.Limit { return d.RateLimit },
		logAnnounced: (*events.Log).RateLimitAnnounced,
		logEnded:     (*events.Log).RateLimitEnded,
		apply: func(n *Node, limits map[string]float64, share float64) {
			n.schedulers.setRates(limits, share)
			n.queues.setRates(limits, share)
		},
	})
}

// newRejectionLimits returns the table of the rejections per second with which targets crash.
func newRejectionLimits(n *Node) *targetLimits {
	return newTargetLimits(n, limitKind{
		id:           schema.LimitKind_LIMIT_KIND_REJECTIONS,
		placedUnder:  func(d *gateway.Decision) ratelimit.Limit { return d.RejectionLimit },
		logAnnounced: (*events.Log).RejectionLimitAnnounced,
		logEnded:     (*events.Log).RejectionLimitEnded,
		apply: func(n *Node, limits map[string]float64, share float64) {
			n.schedulers.setRejectionLimits(limits, share)
			n.queues.setRejectionLimits(limits, share)
		},
	})
}

// limitsOf returns the table of a kind of limit.
func (n *Node) limitsOf(kind schema.LimitKind) *targetLimits {
	if kind == schema.LimitKind_LIMIT_KIND_REJECTIONS {
		return n.rejectionLimits
	}
	return n.rateLimits
}

// limitPair holds the limits of both kinds of one target.
type limitPair struct{ rate, rejections ratelimit.Limit }

func (n *Node) limitPair(target string) limitPair {
	return limitPair{rate: n.rateLimits.Limit(target), rejections: n.rejectionLimits.Limit(target)}
}

// limitedTargets implements gateway.RateLimits.
type limitedTargets Node

// Limit implements gateway.RateLimits.
func (lt *limitedTargets) Limit(target string) ratelimit.Limit { return lt.rateLimits.Limit(target) }

// Limited implements gateway.RateLimits. A target that was restarted after a crash has not announced
// that it is brittle yet, so all targets of its service are listed.
func (lt *limitedTargets) Limited(service string) []string {
	targets := lt.rateLimits.Limited()
	d := lt.feed.Directory()
	isOfService := func(id string) bool { t := d.Targets[id]; return t != nil && t.Service == service }
	if !slices.ContainsFunc(lt.rejectionLimits.Limited(), isOfService) {
		return targets
	}
	for _, t := range d.TargetsOf(service) {
		targets = append(targets, t.ID)
	}
	return targets
}

// setRates replaces the rate limits of targets.
func (ss *schedulers) setRates(rates map[string]float64, share float64) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.SetRates(now, rates, share)
	})
}

// setRejectionLimits replaces the rejections per second with which targets crash.
func (ss *schedulers) setRejectionLimits(limits map[string]float64, share float64) {
	ss.each(func(sc *serviceScheduler, now time.Time) []scheduler.Action {
		return sc.scheduler.SetRejectionLimits(now, limits, share)
	})
}

// setRates replaces the rate limits of targets.
func (qs *queues) setRates(rates map[string]float64, share float64) {
	qs.each(func(sq *serviceQueue, now time.Time) []servicequeue.Action {
		return sq.queue.SetRates(now, rates, share)
	})
}

// setRejectionLimits replaces the rejections per second with which targets crash.
func (qs *queues) setRejectionLimits(limits map[string]float64, share float64) {
	qs.each(func(sq *serviceQueue, now time.Time) []servicequeue.Action {
		return sq.queue.SetRejectionLimits(now, limits, share)
	})
}
