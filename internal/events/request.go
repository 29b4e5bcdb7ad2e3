package events

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/coord/servicequeue"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

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
	// PromptParts are the ids of the parts of the prompt, first to last.
	PromptParts []string
	// Took is the total duration, AdmitTime the time spent on decisions of the scheduler, and
	// FirstEventTime the time from sending to the first event of the response.
	Took, AdmitTime, FirstEventTime time.Duration
	// LongestPause is the longest time between two writes of the response to the caller.
	LongestPause time.Duration
	// FirstAttemptID is the attempt that received the first event of the stream that the caller
	// continues, and LastEventID the last event that it received; empty: none. Origin is how the
	// software version that began the stream was found: own, told, proved, unnamed or unknown.
	FirstAttemptID, LastEventID, Origin string
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
	// SoftwareVersion is the version of the target's software at the time of sending; empty:
	// unknown.
	SoftwareVersion string
	// RateLimit is the target's rate limit that applied to the placement, in requests per
	// second; 0 means none.
	RateLimit float64
}

func (s SendInfo) fields(f log.Fields) log.Fields {
	f["placed_revision"], f["placed_age_ms"] = s.PlacementCopy.Revision, s.PlacementCopy.Age.Milliseconds()
	f["verdict_lag_ms"], f["connect_ms"] = s.DecisionDelay.Milliseconds(), s.Connect.Milliseconds()
	f["sender_revision"], f["sender_age_ms"] = s.SenderCopy.Revision, s.SenderCopy.Age.Milliseconds()
	f["target_state"], f["rate_limit"], f["via"] = s.TargetState, s.RateLimit, s.Via
	f["software"] = s.SoftwareVersion
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
		"sends": r.Attempts, "target": r.Target, "decided_by": r.DecidedBy, "adapter": r.Adapter, "prompt_parts": strings.Join(r.PromptParts, ","),
		"took_ms": r.Took.Milliseconds(), "admit_ms": r.AdmitTime.Milliseconds(), "first_ms": r.FirstEventTime.Milliseconds(), "pause_ms": r.LongestPause.Milliseconds(),
		"first_attempt": r.FirstAttemptID, "last_event": r.LastEventID, "origin": r.Origin, "framing": r.Framing, "error": errorText(r.Err),
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
// and ticket identify the request; forecast is the time to its first event if it had waited, 0 if
// unknown.
func (l *Log) SchedulerRefused(peer string, ticket uint64, service, reason string, waiting, loads, maxLoads int, forecast time.Duration) {
	l.info("verdict_refused", log.Fields{
		"peer": peer, "ticket": ticket, "service": service, "reason": reason, "waiting": waiting, "loads": loads, "max_loads": maxLoads,
		"forecast_ms": forecast.Milliseconds(),
	})
}

// ContentSuspected records that targets terminated while they ran requests with this content,
// and for how long such requests are blocked. blockedFor is 0 if one request with this content
// may run at a time.
func (l *Log) ContentSuspected(content string, targets []string, blockedFor time.Duration) {
	l.warn("content_suspected", log.Fields{"content": content, "targets": strings.Join(targets, ","), "held_ms": blockedFor.Milliseconds()})
}

// PartBlocked records that targets crashed under requests with a part of their prompts, the number of these
// requests since the first crash, and for how long requests with the part are blocked.
func (l *Log) PartBlocked(service, part string, targets []string, requests int, blockedFor time.Duration) {
	l.warn("part_held", log.Fields{"service": service, "part": part, "targets": strings.Join(targets, ","), "requests": requests, "held_ms": blockedFor.Milliseconds()})
}

// PartSuspected records that several targets crashed under requests with a part of their prompts, which
// may only run where others with it run.
func (l *Log) PartSuspected(service, part string, targets []string, requests int) {
	l.info("part_suspected", log.Fields{"service": service, "part": part, "targets": strings.Join(targets, ","), "requests": requests})
}

// PartReleased records that a request with a part that was blocked ran well, so that the part is not blocked
// any more.
func (l *Log) PartReleased(service, part string) {
	l.info("part_released", log.Fields{"service": service, "part": part})
}

// ContentReleased records that this content is no longer blocked: target, which counted as crashed under
// it, goes on.
func (l *Log) ContentReleased(content, target string) {
	l.info("content_released", log.Fields{"content": content, "target": target})
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
