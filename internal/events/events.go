// Package events is the structured log of an edge VM. It has one function for each event, so
// that every place that logs an event uses the same name and fields. docs/OPERATIONS.md lists
// the events. vm.go has the events of the VM itself, events.go all others.
//
// Failures, refusals and state changes are always logged. Successful requests are logged within
// a rate budget, and the number of omitted lines is logged too. Logging never blocks on the
// reader of the log.
package events

import (
	"encoding/hex"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/junctionfold/junctionfold/internal/fleet"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/coord/servicequeue"
	"github.com/junctionfold/junctionfold/internal/logging"
)

// Token bucket for lines about successful requests, in lines per second. A line costs about
// 10 us of CPU time.
const (
	successLinesPerSecond = 50
	successLinesBurst     = 100
	// omittedReportInterval is the minimum time between two log_lines_omitted events.
	omittedReportInterval = 5 * time.Second
)

// Log writes events. Its zero value is not usable; create it with New or Discard.
type Log struct {
	out   log.Interface
	queue *queue

	mu                sync.Mutex
	successBudget     *rate.Limiter
	omitted           int
	omittedReportedAt time.Time
}

// New returns a Log that writes events to w as lines of key=value pairs. Each line has the
// VM's id.
func New(w io.Writer, level, vm string) *Log {
	q := newQueue(w)
	return &Log{out: logging.New(q, level, vm), queue: q, successBudget: rate.NewLimiter(successLinesPerSecond, successLinesBurst)}
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "") }

// Close writes the queued lines. No event may be logged afterwards.
func (l *Log) Close() { l.queue.close() }

func (l *Log) info(event string, f log.Fields)  { l.out.WithFields(f).Info(event) }
func (l *Log) warn(event string, f log.Fields)  { l.out.WithFields(f).Warn(event) }
func (l *Log) debug(event string, f log.Fields) { l.out.WithFields(f).Debug(event) }

// allowSuccessLine reports whether the budget allows a line about a successful request at now.
// It counts the omitted lines and logs their number.
func (l *Log) allowSuccessLine(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.successBudget.AllowN(now, 1)
	if !allowed {
		l.omitted++
	}
	if l.omitted > 0 && now.Sub(l.omittedReportedAt) >= omittedReportInterval {
		l.info("log_lines_omitted", log.Fields{"count": l.omitted})
		l.omitted, l.omittedReportedAt = 0, now
	}
	return allowed
}

// Request describes a finished request of a caller.
type Request struct {
	ID, Route string
	// Outcome is ok, refused, denied, failed, cut or abandoned. Reason is a single word,
	// set for every outcome but ok.
	Outcome, Reason string
	Status          int
	// ConfigVersion and FeedAge are the version and the age of the configuration that
	// determined the route.
	ConfigVersion uint64
	FeedAge       time.Duration
	// ConfirmedAge is an upper bound on the age of the store copy that the API key was checked
	// against. Key is a prefix of the key's digest, and Team the team that owns the key.
	ConfirmedAge time.Duration
	Key          []byte
	Team         string
	// Attempts is the number of attempts. Target is the target of the last attempt, and
	// DecidedBy the VM that chose it.
	Attempts          int
	Target, DecidedBy string
	Adapter           string
	// Took is the total duration, AdmitTime the time spent on decisions of the scheduler, and
	// FirstEventTime the time from sending to the first event of the response.
	Took, AdmitTime, FirstEventTime time.Duration
	// Framing is how the body of the last response is delimited: length, chunked or close; empty if
	// there was no response.
	Framing string
	// Sent describes the state on which the last attempt was placed and sent.
	Sent SendInfo
	Err  error
}

// StoreCopy identifies the copy of the store on which a VM based a decision.
type StoreCopy struct {
	Revision fleet.Revision
	// Age is the time since the copy was last known to be current.
	Age time.Duration
}

// SendInfo describes the state that was known when an attempt was placed and when it was sent.
// It explains why a request reached a target after the target announced that it drains:
// PlacementCopy was older than the announcement, DecisionDelay was long, or Connect was long.
// If none of these applies, the network delayed the request's bytes.
type SendInfo struct {
	// PlacementCopy is the store copy of the VM that chose the target.
	PlacementCopy StoreCopy
	// DecisionDelay is the time that the request to the scheduler and its decision spent on
	// the network.
	DecisionDelay time.Duration
	// Connect is the time until a connection to the target was available.
	Connect time.Duration
	// SenderCopy is the store copy of the entry VM at the time of sending. TargetState is the
	// target's state in that copy: ready, draining, gone or unknown.
	SenderCopy  StoreCopy
	TargetState string
	// Via is the VM that relayed the request; empty: none.
	Via string
	// RateLimit is the target's rate limit that applied to the placement, in requests per
	// second; 0 means none.
	RateLimit float64
}

func (s SendInfo) fields(f log.Fields) log.Fields {
	f["placed_revision"], f["placed_age_ms"] = s.PlacementCopy.Revision, s.PlacementCopy.Age.Milliseconds()
	f["verdict_lag_ms"], f["connect_ms"] = s.DecisionDelay.Milliseconds(), s.Connect.Milliseconds()
	f["sender_revision"], f["sender_age_ms"] = s.SenderCopy.Revision, s.SenderCopy.Age.Milliseconds()
	f["target_state"], f["rate_limit"], f["via"] = s.TargetState, s.RateLimit, s.Via
	return f
}

// RequestEnded records the end of a request, once per request. Successful requests are subject
// to the line budget.
func (l *Log) RequestEnded(now time.Time, r Request) {
	if r.Outcome == "ok" && !l.allowSuccessLine(now) {
		return
	}
	l.info("request_ended", r.Sent.fields(log.Fields{
		"id": r.ID, "route": r.Route, "outcome": r.Outcome, "reason": r.Reason, "status": r.Status,
		"config": r.ConfigVersion, "feed_age_ms": r.FeedAge.Milliseconds(),
		"team": r.Team, "key": hex.EncodeToString(r.Key), "proven_ms": r.ConfirmedAge.Milliseconds(),
		"sends": r.Attempts, "target": r.Target, "decided_by": r.DecidedBy, "adapter": r.Adapter,
		"took_ms": r.Took.Milliseconds(), "admit_ms": r.AdmitTime.Milliseconds(), "first_ms": r.FirstEventTime.Milliseconds(),
		"framing": r.Framing, "error": errorText(r.Err),
	}))
}

// Attempt describes an attempt that did not succeed.
type Attempt struct {
	ID, Target, DecidedBy, Adapter string
	// Class is busy, misplaced, unreachable, withdrawn, failed, broke, hung or abandoned.
	Class  string
	Status int
	Took   time.Duration
	Sent   SendInfo
	Err    error
}

// AttemptFailed records a failed attempt after which the request may be retried on another
// target.
func (l *Log) AttemptFailed(a Attempt) {
	l.info("attempt_failed", a.Sent.fields(log.Fields{
		"id": a.ID, "target": a.Target, "decided_by": a.DecidedBy, "adapter": a.Adapter,
		"class": a.Class, "status": a.Status, "took_ms": a.Took.Milliseconds(), "error": errorText(a.Err),
	}))
}

// RetryDenied records that a request was not retried because the retry budget of its service
// is empty. remaining is the rest of the budget.
func (l *Log) RetryDenied(id, service string, remaining float64) {
	l.info("retry_denied", log.Fields{"id": id, "service": service, "budget_left": remaining})
}

// SchedulerUnresponsive records that the scheduler on the VM peer returned no decision for a
// request, so that this VM decides by itself or queries the next scheduler.
func (l *Log) SchedulerUnresponsive(id, peer string, err error) {
	l.info("scheduler_silent", log.Fields{"id": id, "peer": peer, "error": errorText(err)})
}

// SchedulerRefused records, on the VM that runs the scheduler, that a request was refused. peer
// and ticket identify the request.
func (l *Log) SchedulerRefused(peer string, ticket uint64, service, reason string, waiting, loads, maxLoads int) {
	l.info("verdict_refused", log.Fields{
		"peer": peer, "ticket": ticket, "service": service, "reason": reason, "waiting": waiting, "loads": loads, "max_loads": maxLoads,
	})
}

// ContentSuspected records that targets terminated while they ran requests with this content,
// and for how long such requests are blocked. blockedFor is 0 if one request with this content
// may run at a time.
func (l *Log) ContentSuspected(content string, targets []string, blockedFor time.Duration) {
	l.warn("content_suspected", log.Fields{"content": content, "targets": strings.Join(targets, ","), "held_ms": blockedFor.Milliseconds()})
}

// QueueRefused records, on the VM that runs the queue of a plain service, that the queue refused
// a request. The statistics give the waiting and running requests, the concurrency limit of all
// targets together, and the mean duration of a call.
func (l *Log) QueueRefused(peer string, ticket uint64, service, reason string, s servicequeue.Stats) {
	l.info("line_refused", log.Fields{
		"peer": peer, "ticket": ticket, "service": service, "reason": reason,
		"waiting": s.Waiting, "running": s.Running, "limit": s.Limit, "work_ms": s.ServiceTime.Milliseconds(),
	})
}

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

// ConfigAdopted records that a configuration version took effect on this VM.
func (l *Log) ConfigAdopted(was, is uint64, routes, services int, revision fleet.Revision) {
	l.info("config_adopted", log.Fields{
		"was": was, "is": is, "routes": routes, "services": services, "revision": revision,
	})
}

// TeamChanged is the audit trail of teams. It records the priority, the number of keys, the added
// and removed keys, and the quota of a team that a configuration version added, changed or
// removed. Keys are identified by the first bytes of their digests.
func (l *Log) TeamChanged(config uint64, team string, priority, keys int, added, removed []string, perSecond, burst float64) {
	l.info("team_changed", log.Fields{
		"config": config, "team": team, "priority": priority, "keys": keys,
		"added": strings.Join(added, ","), "removed": strings.Join(removed, ","), "per_second": perSecond, "burst": burst,
	})
}

// StoreItemRejected records that an item of the store, or a part of it, could not be decoded.
// Consecutive occurrences with the same key and reason are recorded once.
func (l *Log) StoreItemRejected(key string, revision fleet.Revision, err error) {
	l.warn("store_item_refused", log.Fields{"key": key, "revision": revision, "error": errorText(err)})
}

// StoreLost records that the store stopped responding, and the revision of this VM's copy.
func (l *Log) StoreLost(err error, revision fleet.Revision) {
	l.warn("store_lost", log.Fields{"error": errorText(err), "revision": revision})
}

// StoreRegained records that the store responds again, and the revision of this VM's copy.
func (l *Log) StoreRegained(revision fleet.Revision) {
	l.info("store_regained", log.Fields{"revision": revision})
}

// StoreHistoryGone records that the store cannot return the changes since revision, because they
// were compacted or a new store epoch began, so that all items are listed again.
func (l *Log) StoreHistoryGone(revision fleet.Revision) {
	l.info("store_history_gone", log.Fields{"revision": revision})
}

// StoreRelisted records the result of a full list of the store: the revision of the previous
// copy, the revision of the list, the number of listed items, and the number of items that
// changed in this VM's copy.
func (l *Log) StoreRelisted(was, listed fleet.Revision, items, changed int) {
	l.info("store_relisted", log.Fields{"was": was, "listed": listed, "items": items, "changed": changed})
}

// StoreEpochBegan records that the store was restored from an older copy, which begins a new
// store epoch: the revision of this VM's previous copy, the revision of the first snapshot of the
// new epoch, the number of its items, and the number of items that differ.
func (l *Log) StoreEpochBegan(was, is fleet.Revision, items, changed int) {
	l.info("store_era_began", log.Fields{"was": was, "is": is, "items": items, "changed": changed})
}

// FeedGap records that store changes that another VM has could not be fetched from it.
func (l *Log) FeedGap(peer string, revision fleet.Revision, err error) {
	l.warn("feed_gap", log.Fields{"peer": peer, "revision": revision, "error": errorText(err)})
}

// PeerChanged records that another VM joined, changed its state, or was removed, and for how
// long it has been unresponsive.
func (l *Log) PeerChanged(peer, was, is string, unresponsive time.Duration) {
	l.info("peer_changed", log.Fields{"peer": peer, "was": was, "is": is, "silent_ms": unresponsive.Milliseconds()})
}

// SchedulerMoved records that decisions are now requested from another VM.
func (l *Log) SchedulerMoved(was, is string) {
	l.info("scheduler_moved", log.Fields{"was": was, "is": is})
}

// LeadershipChanged records a change of the leadership state of this VM, the number of VMs it
// counts, and whether they are a majority.
func (l *Log) LeadershipChanged(was, is string, vms int, majority bool) {
	l.info("duty_changed", log.Fields{"was": was, "is": is, "vms": vms, "majority": majority})
}

// LeadershipAcquired records that this VM became the leader, with the fencing token of its
// orders.
func (l *Log) LeadershipAcquired(fencingToken uint64, revision fleet.Revision) {
	l.info("duty_taken", log.Fields{"fence": fencingToken, "revision": revision})
}

// LeadershipNotAcquired records why this VM failed to become the leader.
func (l *Log) LeadershipNotAcquired(err error) {
	l.warn("duty_not_taken", log.Fields{"error": errorText(err)})
}

// PeerCallFailed records that a message to another VM was lost. Its sender sends the content
// again in another form or abandons it.
func (l *Log) PeerCallFailed(call, peer string, err error) {
	l.debug("peer_call_failed", log.Fields{"call": call, "peer": peer, "error": errorText(err)})
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
