// Package events is the log of an edge VM: one function for each event, so that
// names and fields are the same wherever it is written. docs/OPERATIONS.md lists
// them. vm.go has the events of the VM itself, events.go the others.
//
// Failures, refusals and changes of what the process believes are always written.
// Requests that went well are written as far as a budget allows; how many were
// left out is said. Writing never waits for the reader of the log.
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

// Budget of lines on requests that went well, each second, with a burst. A line
// takes about 10 us of processor time.
const (
	ordinaryPerSecond = 50
	ordinaryBurst     = 100
	// omittedEvery is the least time between two lines that say how many were
	// left out.
	omittedEvery = 5 * time.Second
)

// Log writes events. The zero value is not usable; see New and Discard.
type Log struct {
	out   log.Interface
	queue *queue

	mu       sync.Mutex
	budget   *rate.Limiter
	omitted  int
	reported time.Time
}

// New returns a Log that writes lines of key=value pairs to w, with the VM's id
// on each.
func New(w io.Writer, level, vm string) *Log {
	q := newQueue(w)
	return &Log{out: logging.New(q, level, vm), queue: q, budget: rate.NewLimiter(ordinaryPerSecond, ordinaryBurst)}
}

// Discard returns a Log that writes nothing.
func Discard() *Log { return New(io.Discard, "error", "") }

// Close writes what is queued. Nothing may be logged after it.
func (l *Log) Close() { l.queue.close() }

func (l *Log) info(event string, f log.Fields)  { l.out.WithFields(f).Info(event) }
func (l *Log) warn(event string, f log.Fields)  { l.out.WithFields(f).Warn(event) }
func (l *Log) debug(event string, f log.Fields) { l.out.WithFields(f).Debug(event) }

// ordinary reports whether a line on something that went well may be written now.
func (l *Log) ordinary(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	allowed := l.budget.AllowN(now, 1)
	if !allowed {
		l.omitted++
	}
	if l.omitted > 0 && now.Sub(l.reported) >= omittedEvery {
		l.info("log_lines_omitted", log.Fields{"count": l.omitted})
		l.omitted, l.reported = 0, now
	}
	return allowed
}

// Request is the end of a caller's request.
type Request struct {
	ID, Route string
	// Outcome is ok, refused, denied, failed, cut or abandoned; Reason is one
	// word for all but ok.
	Outcome, Reason string
	Status          int
	// ConfigVersion and FeedAge are of the configuration that decided the route.
	ConfigVersion uint64
	FeedAge       time.Duration
	// ConfirmedAge bounds the age of the copy by which its key was judged; Key is the beginning of
	// the key's digest, and Team whose it is.
	ConfirmedAge time.Duration
	Key          []byte
	Team         string
	// Attempts counts attempts; Target is the last one's, chosen by DecidedBy.
	Attempts          int
	Target, DecidedBy string
	Adapter           string
	// Took is the whole time, Admit that for verdicts of the scheduler, First
	// that from sending to the first event.
	Took, AdmitTime, FirstEventTime time.Duration
	// Sent is what the last attempt was sent on.
	Sent SendInfo
	Err  error
}

// StoreCopy is a copy of the store by which a VM decided.
type StoreCopy struct {
	Revision fleet.Revision
	// Age is the time since it was known to be current.
	Age time.Duration
}

// SendInfo tells what was known when an attempt was placed and when it was sent. A request
// that reaches a target after its word that it leaves is explained by one of them: Placed
// older than that word, a long VerdictLag, a long Connect, or else bytes that a link held.
type SendInfo struct {
	// PlacementCopy is the copy of the VM that chose the target.
	PlacementCopy StoreCopy
	// DecisionDelay is the time that question and verdict were under way.
	DecisionDelay time.Duration
	// Connect is the time until a connection to the target was at hand.
	Connect time.Duration
	// SenderCopy is the copy of the entry VM then, and TargetState what that says of the
	// target: ready, draining, gone or unknown.
	SenderCopy  StoreCopy
	TargetState string
	// RateLimit is the target's limit by which it was placed, in requests a second; 0: none.
	RateLimit float64
}

func (s SendInfo) fields(f log.Fields) log.Fields {
	f["placed_revision"], f["placed_age_ms"] = s.PlacementCopy.Revision, s.PlacementCopy.Age.Milliseconds()
	f["verdict_lag_ms"], f["connect_ms"] = s.DecisionDelay.Milliseconds(), s.Connect.Milliseconds()
	f["sender_revision"], f["sender_age_ms"] = s.SenderCopy.Revision, s.SenderCopy.Age.Milliseconds()
	f["target_state"], f["rate_limit"] = s.TargetState, s.RateLimit
	return f
}

// RequestEnded is the one line that closes each request.
func (l *Log) RequestEnded(now time.Time, r Request) {
	if r.Outcome == "ok" && !l.ordinary(now) {
		return
	}
	l.info("request_ended", r.Sent.fields(log.Fields{
		"id": r.ID, "route": r.Route, "outcome": r.Outcome, "reason": r.Reason, "status": r.Status,
		"config": r.ConfigVersion, "feed_age_ms": r.FeedAge.Milliseconds(),
		"team": r.Team, "key": hex.EncodeToString(r.Key), "proven_ms": r.ConfirmedAge.Milliseconds(),
		"sends": r.Attempts, "target": r.Target, "decided_by": r.DecidedBy, "adapter": r.Adapter,
		"took_ms": r.Took.Milliseconds(), "admit_ms": r.AdmitTime.Milliseconds(), "first_ms": r.FirstEventTime.Milliseconds(),
		"error": text(r.Err),
	}))
}

// Attempt is an attempt that gave no answer to return.
type Attempt struct {
	ID, Target, DecidedBy, Adapter string
	// Class is busy, misplaced, unreachable, withdrawn, failed, hung or abandoned.
	Class  string
	Status int
	Took   time.Duration
	Sent   SendInfo
	Err    error
}

// AttemptFailed is written for each attempt after which the request may be tried
// elsewhere.
func (l *Log) AttemptFailed(a Attempt) {
	l.info("attempt_failed", a.Sent.fields(log.Fields{
		"id": a.ID, "target": a.Target, "decided_by": a.DecidedBy, "adapter": a.Adapter,
		"class": a.Class, "status": a.Status, "took_ms": a.Took.Milliseconds(), "error": text(a.Err),
	}))
}

// RetryDenied says that the retry budget of a service is empty.
func (l *Log) RetryDenied(id, service string, left float64) {
	l.info("retry_denied", log.Fields{"id": id, "service": service, "budget_left": left})
}

// SchedulerUnresponsive says that a VM did not give a verdict and this one decided alone.
func (l *Log) SchedulerUnresponsive(id, peer string, err error) {
	l.info("scheduler_silent", log.Fields{"id": id, "peer": peer, "error": text(err)})
}

// SchedulerRefused is written where a scheduler refuses a request.
func (l *Log) SchedulerRefused(peer string, ticket uint64, service, reason string, waiting, loads, maxLoads int) {
	l.info("verdict_refused", log.Fields{
		"peer": peer, "ticket": ticket, "service": service, "reason": reason, "waiting": waiting, "loads": loads, "max_loads": maxLoads,
	})
}

// ContentSuspected says under which content targets ended, and for how long it is held: 0 if
// one request of it may run at a time.
func (l *Log) ContentSuspected(content string, targets []string, held time.Duration) {
	l.warn("content_suspected", log.Fields{"content": content, "targets": strings.Join(targets, ","), "held_ms": held.Milliseconds()})
}

// QueueRefused is written where the line of a plain service refuses a request: how many wait
// and run, how many a target gets at once, and how long a call takes.
func (l *Log) QueueRefused(peer string, ticket uint64, service, reason string, s servicequeue.Stats) {
	l.info("line_refused", log.Fields{
		"peer": peer, "ticket": ticket, "service": service, "reason": reason,
		"waiting": s.Waiting, "running": s.Running, "limit": s.Limit, "work_ms": s.ServiceTime.Milliseconds(),
	})
}

// Order is an order to an engine with its answer.
type Order struct {
	// Kind is load or unload.
	Kind, Target, Adapter string
	Version               int64
	FencingToken          uint64
	// ExpectedOrders is the count of orders that it named; negative: none.
	ExpectedOrders int64
	Result         string
	Took           time.Duration
	Err            error
	Basis          scheduler.Basis
}

// OrderAnswered is written for each order, also where it went well: which place of an engine
// was counted wrongly is found from all of its orders. There are some 75 a second at most.
func (l *Log) OrderAnswered(o Order) {
	l.info("order_answered", log.Fields{
		"order": o.Kind, "target": o.Target, "adapter": o.Adapter, "version": o.Version,
		"fence": o.FencingToken, "expect": o.ExpectedOrders, "result": o.Result, "took_ms": o.Took.Milliseconds(), "error": text(o.Err),
		"taken": o.Basis.Occupied, "slots": o.Basis.Slots, "in_transit": o.Basis.InTransit, "unproven": o.Basis.Unconfirmed,
		"report_age_ms": o.Basis.ReportAge.Milliseconds(), "kept": o.Basis.Cached, "proven": o.Basis.Confirmed,
	})
}

// ReportFailed says that an engine's report could not be read.
func (l *Log) ReportFailed(target string, err error) {
	l.info("report_failed", log.Fields{"target": target, "error": text(err)})
}

// TargetChanged says that a target was seen, changed its state, or is gone.
func (l *Log) TargetChanged(target, service, was, is string, revision fleet.Revision) {
	l.info("target_changed", log.Fields{
		"target": target, "service": service, "was": was, "is": is, "revision": revision,
	})
}

// TargetNotice says what a target said of itself beside an answer: that it leaves, or for how long it
// wants no requests from this VM.
func (l *Log) TargetNotice(target string, leaving bool, rest time.Duration) {
	l.info("target_said", log.Fields{"target": target, "leaving": leaving, "rest_ms": rest.Milliseconds()})
}

// RateLimitAnnounced says that a target named a limit of its requests a second, or another one than before.
func (l *Log) RateLimitAnnounced(target string, perSecond float64) {
	l.info("rate_limit_named", log.Fields{"target": target, "per_second": perSecond})
}

// RateLimitEnded says that a target names no limit any more.
func (l *Log) RateLimitEnded(target string) {
	l.info("rate_limit_ended", log.Fields{"target": target})
}

// ConfigAdopted says that a configuration is in force here.
func (l *Log) ConfigAdopted(was, is uint64, routes, services int, revision fleet.Revision) {
	l.info("config_adopted", log.Fields{
		"was": was, "is": is, "routes": routes, "services": services, "revision": revision,
	})
}

// TeamChanged is the audit trail of teams: what a version of the configuration says of one
// whose keys or quota changed. Keys are named by the first bytes of their digests.
func (l *Log) TeamChanged(config uint64, team string, priority, keys int, added, removed []string, perSecond, burst float64) {
	l.info("team_changed", log.Fields{
		"config": config, "team": team, "priority": priority, "keys": keys,
		"added": strings.Join(added, ","), "removed": strings.Join(removed, ","), "per_second": perSecond, "burst": burst,
	})
}

// StoreItemRejected says that an item of the store could not be read, or a part of it: once for
// each key and reason in a row.
func (l *Log) StoreItemRejected(key string, revision fleet.Revision, err error) {
	l.warn("store_item_refused", log.Fields{"key": key, "revision": revision, "error": text(err)})
}

// StoreLost says that the store failed to answer; StoreRegained that it does again.
func (l *Log) StoreLost(err error, revision fleet.Revision) {
	l.warn("store_lost", log.Fields{"error": text(err), "revision": revision})
}

// StoreRegained says that the store answers again.
func (l *Log) StoreRegained(revision fleet.Revision) {
	l.info("store_regained", log.Fields{"revision": revision})
}

// StoreHistoryGone says that everything is read anew.
func (l *Log) StoreHistoryGone(revision fleet.Revision) {
	l.info("store_history_gone", log.Fields{"revision": revision})
}

// StoreRelisted says what a list of everything brought: the revisions of the copy before and of the list,
// and how many items it has and changed here.
func (l *Log) StoreRelisted(was, listed fleet.Revision, items, changed int) {
	l.info("store_relisted", log.Fields{"was": was, "listed": listed, "items": items, "changed": changed})
}

// StoreEpochBegan says that the store was restored from an older copy: the revision of the VM's copy before,
// that of the first snapshot since, its items and how many differ.
func (l *Log) StoreEpochBegan(was, is fleet.Revision, items, changed int) {
	l.info("store_era_began", log.Fields{"was": was, "is": is, "items": items, "changed": changed})
}

// FeedGap says that changes that another VM has could not be had.
func (l *Log) FeedGap(peer string, revision fleet.Revision, err error) {
	l.warn("feed_gap", log.Fields{"peer": peer, "revision": revision, "error": text(err)})
}

// PeerChanged says that another VM joined, changed its state, or was forgotten.
func (l *Log) PeerChanged(peer, was, is string, silent time.Duration) {
	l.info("peer_changed", log.Fields{"peer": peer, "was": was, "is": is, "silent_ms": silent.Milliseconds()})
}

// SchedulerMoved says that verdicts are asked of another VM.
func (l *Log) SchedulerMoved(was, is string) {
	l.info("scheduler_moved", log.Fields{"was": was, "is": is})
}

// LeadershipChanged says how far this VM is towards giving orders.
func (l *Log) LeadershipChanged(was, is string, vms int, majority bool) {
	l.info("duty_changed", log.Fields{"was": was, "is": is, "vms": vms, "majority": majority})
}

// LeadershipAcquired says under which number this VM orders.
func (l *Log) LeadershipAcquired(fence uint64, revision fleet.Revision) {
	l.info("duty_taken", log.Fields{"fence": fence, "revision": revision})
}

// LeadershipNotAcquired says why it does not.
func (l *Log) LeadershipNotAcquired(err error) {
	l.warn("duty_not_taken", log.Fields{"error": text(err)})
}

// PeerCallFailed is a message to another VM that was lost; what it carried is sent
// again in another form or given up by its sender.
func (l *Log) PeerCallFailed(call, peer string, err error) {
	l.debug("peer_call_failed", log.Fields{"call": call, "peer": peer, "error": text(err)})
}

func text(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
