// Package events is the structured log of an edge VM. It has one function for each event, so
// that every place that logs an event uses the same name and fields. docs/OPERATIONS.md lists
// the events. request.go has those of requests, target.go those of targets, vm.go those of the VM
// itself, and events.go those of the store and its configuration.
//
// Failures, refusals and state changes are always logged. Successful requests are logged within
// a rate budget, and the number of omitted lines is logged too. Logging never blocks on the
// reader of the log.
package events

import (
	"io"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"golang.org/x/time/rate"

	"github.com/junctionfold/junctionfold/internal/fleet"
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
// counts, and of which VMs those that it reaches are a majority.
func (l *Log) LeadershipChanged(was, is string, vms int, majority string) {
	l.info("duty_changed", log.Fields{"was": was, "is": is, "vms": vms, "majority": majority})
}

// LeadershipAcquired records that this VM became the leader, with the fencing token of its
// orders, and whether VMs that it has not seen may have a leader as well.
func (l *Log) LeadershipAcquired(fencingToken uint64, revision fleet.Revision, provisional bool) {
	l.info("duty_taken", log.Fields{"fence": fencingToken, "revision": revision, "provisional": provisional})
}

// ModelSizeUnknown records that the configuration lacks the size of a base model or of its adapters, so that
// engines are not ordered to load anything beside it.
func (l *Log) ModelSizeUnknown(service, model string) {
	l.warn("model_size_unknown", log.Fields{"service": service, "model": model})
}

// OtherLeaderObserved records that engines accept orders of a VM that this VM cannot find.
func (l *Log) OtherLeaderObserved() { l.info("other_leader_observed", log.Fields{}) }

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
