// Package servicequeue admits requests to the targets of a plain service.
//
// A few small targets serve the callers of a whole fleet. VMs that pick targets only by their own
// observations overfill the targets' queues: targets reject the excess, and retries add to the
// load. Therefore one VM, the leader, tracks the requests in flight at each target and queues the
// others:
//
//   - A target gets one request more than it has slots, or as many as it has slots once a target
//     has rejected the extra one (limit.go). It gets no more requests per second than its own
//     rate limit (rates.go), and a brittle one no more than it has room for (brittle.go).
//   - Requests that can still meet their soft deadline go first, by priority, then by the shares of
//     their teams (coord/fairshare), then by age; the others follow.
//   - A request whose expected wait is too long for its soft deadline is refused within a quarter of
//     the time until then, with the time after which the queue will be shorter. One that was kept
//     waits on, among the others once it is late, until it can no longer be served.
//   - The expected wait follows from the service times of each target (servicetime.go), so that a
//     target in a slow phase counts for less.
//
// A queue in order of age alone serves every request slightly too late once the wait is as long as the
// soft deadline: 0.2 of the calls of a heavy load were in time, while targets had capacity for 0.75.
// Refusals that came only once a request was late, after 64% of its objective at the median, left no
// time for a second attempt.
//
// Queue has no clock and does no I/O: events come in with the time, actions come out. It is not
// safe for concurrent use. While the leader is unresponsive, other VMs pick targets without it.
package servicequeue

import (
	"maps"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/fairshare"
	"github.com/junctionfold/junctionfold/coord/overload"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// Target is a target of the service that accepts requests.
type Target struct {
	ID, Zone string
	// Slots is the number of requests that the target reports to process at once; 0: unknown.
	Slots int
	// SoftwareVersion is the version of the target's software; empty: unknown.
	SoftwareVersion string
}

// Key identifies a request.
type Key = coord.RequestKey

// Request is a request for a target.
type Request struct {
	Key
	// Zone is the availability zone of the requesting VM. Traffic between zones is charged for.
	Zone string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Team is the team that the request is charged to; empty: none.
	Team string
	// Exclude lists targets not to use.
	Exclude []string
	// SoftwareVersion is the only version of the targets' software that may process the request;
	// empty: any.
	SoftwareVersion string
	// SoftDeadline is the time after which the response is late; zero: it is never late.
	SoftDeadline time.Time
	// Deadline is the time after which the response is useless.
	Deadline time.Time

	arrived time.Time
	// late reports whether the last ranking expected the request to miss its soft deadline.
	late bool
	// start is the virtual time at which the request's team is due to be served; 0 if only one team waits.
	start float64
}

// Action is a decision on a request: a grant of Target, or a refusal if Target is empty.
type Action struct {
	Key    Key
	Target string
	// RetryAfter and Reason are set for refusals.
	RetryAfter time.Duration
	Reason     string
}

// grant is a granted request whose end has not been reported.
type grant struct {
	target string
	// inFlight is the number of requests at the target when this one was granted, itself included.
	inFlight            int
	grantedAt, deadline time.Time
	// late reports that the request has taken so long that it may have hung.
	late bool
}

// Queue holds the state of one service.
type Queue struct {
	targets  []Target
	running  map[string]int
	grants   map[Key]grant
	waiting  []*Request
	balancer *balance.Balancer
	limit    concurrencyLimit
	times    serviceTimes
	// pacer enforces the rate limits that targets report. retryDelays spreads the retries of
	// callers refused under these limits.
	pacer       *ratelimit.Pacer
	retryDelays ratelimit.RetryDelays
	// testimony tells failures of targets from failures of a VM's paths to them.
	testimony testimony
	// overloadedVMs holds the time of the last report of each VM that was overloaded.
	overloadedVMs map[coord.VMID]time.Time
	// guard bounds the requests at brittle targets.
	guard *overload.Guard
	// shares divides the targets between teams, in calls.
	shares *fairshare.Shares
	// shareBuffer is reused by rank.
	shareBuffer []fairshare.Waiting
	actions     []Action
}

// New returns a Queue without targets.
func New() *Queue {
	return &Queue{times: newServiceTimes(), running: map[string]int{}, grants: map[Key]grant{}, balancer: balance.New(), pacer: ratelimit.NewPacer(), testimony: newTestimony(), overloadedVMs: map[coord.VMID]time.Time{}, guard: overload.NewGuard(), shares: fairshare.New()}
}

// Delays and timeouts of the queue.
const (
	// networkDelay allows for the network delay of grant and response, and for scheduling delays
	// on busy VMs.
	networkDelay = 10 * time.Millisecond
	// noTargetRetryDelay is the retry delay of requests for which there is no target.
	noTargetRetryDelay = 300 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the retry delay sent to refused callers. While a target
	// of the service limits its rate, only the minimum applies.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
	// grantExpiryDelay is the time after a granted request's deadline at which its grant expires
	// if no end has been reported: the VM that sent the request may have failed unnoticed.
	grantExpiryDelay = 500 * time.Millisecond
)

// Reasons of refusals.
const (
	ReasonNoTarget = "no_target"
	// ReasonQueueTooLong means that no target would be free in time for the request.
	ReasonQueueTooLong = "line_too_long"
)

// SetTargets replaces the targets that accept requests.
func (q *Queue) SetTargets(now time.Time, targets []Target) []Action {
	q.targets = targets
	q.guard.SetTargets(now, targetIDs(targets))
	return q.schedule(now)
}

// Submit requests a target. This call or a later one returns the decision.
func (q *Queue) Submit(now time.Time, r Request) []Action {
	r.arrived = now
	if !q.hasEligibleTarget(&r) {
		q.refuse(&r, ReasonNoTarget, noTargetRetryDelay)
		return q.takeActions()
	}
	q.shares.Arrive(now, r.Team)
	q.waiting = append(q.waiting, &r)
	return q.schedule(now)
}

// TargetOf returns the target at which a request runs; empty: none.
func (q *Queue) TargetOf(key Key) string { return q.grants[key].target }

// Done records the end of a granted request and its duration, or withdraws a waiting request. A duration of 0
// is unknown.
func (q *Queue) Done(now time.Time, key Key, ending balance.Ending, duration time.Duration) []Action {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool { return r.Key == key })
	g, granted := q.grants[key]
	if !granted {
		return q.schedule(now)
	}
	q.release(key, g)
	q.recordEnding(now, key.VM, g.target, ending, duration)
	q.recordGivenUp(now, g.target, ending)
	switch {
	case measuresService(ending) && duration > 0:
		q.times.observe(now, g.target, duration)
	case ending == balance.Busy:
		q.limit.recordRejection(g.inFlight, q.slots(g.target))
		q.guard.Rejected(now, g.target, g.inFlight)
	}
	return q.schedule(now)
}

// measuresService reports whether the duration of a request that ended so is a service time.
func measuresService(ending balance.Ending) bool {
	switch ending {
	case balance.OK, balance.Unverified, balance.ErrorResponse, balance.Failed:
		return true
	}
	return false
}

// slots returns the slots of a target; 0: unknown.
func (q *Queue) slots(id string) int {
	for _, t := range q.targets {
		if t.ID == id {
			return t.Slots
		}
	}
	return 0
}

func (q *Queue) release(key Key, g grant) {
	delete(q.grants, key)
	if q.running[g.target]--; q.running[g.target] <= 0 {
		delete(q.running, g.target)
	}
}

// RemoveVM removes the waiting and running requests of a VM whose ticket (sequence number) is below
// beforeTicket: the VM is unresponsive, or has restarted and its new tickets are not below it.
func (q *Queue) RemoveVM(now time.Time, vm coord.VMID, beforeTicket uint64) []Action {
	q.waiting = slices.DeleteFunc(q.waiting, func(r *Request) bool { return r.VM == vm && r.Ticket < beforeTicket })
	for key, g := range q.grants {
		if key.VM == vm && key.Ticket < beforeTicket {
			q.release(key, g)
			q.balancer.Done(now, g.target, balance.Abandoned, 0)
			q.guard.Withdrawn(now, g.target)
		}
	}
	return q.schedule(now)
}

// RefuseWaiting refuses all waiting requests for the given reason: this VM is no longer the leader.
func (q *Queue) RefuseWaiting(reason string) []Action {
	for _, r := range q.waiting {
		q.refuse(r, reason, 0)
	}
	q.waiting = nil
	return q.takeActions()
}

// Tick expires grants and re-evaluates waiting requests. Call it every 10 to 20 ms.
func (q *Queue) Tick(now time.Time) []Action {
	for key, g := range q.grants {
		if now.After(g.deadline.Add(grantExpiryDelay)) {
			q.release(key, g)
			q.balancer.Done(now, g.target, balance.Abandoned, 0)
		}
	}
	q.releaseHung(now)
	q.balancer.ExpireIdle(now)
	q.testimony.expire(now)
	maps.DeleteFunc(q.overloadedVMs, func(vm coord.VMID, _ time.Time) bool { return !q.isOverloaded(now, vm) })
	q.times.expire(now)
	return q.schedule(now)
}

func (q *Queue) refuse(r *Request, reason string, retry time.Duration) {
	q.emit(Action{Key: r.Key, Reason: reason, RetryAfter: retry})
}

func (q *Queue) emit(a Action) { q.actions = append(q.actions, a) }

func (q *Queue) takeActions() []Action {
	acts := q.actions
	q.actions = nil
	return acts
}

// Stats is a summary for metrics.
type Stats struct {
	Waiting, Running int
	// Limit is the number of requests that all targets together get at once.
	Limit int
	// ServiceTime is the moving average of call durations.
	ServiceTime time.Duration
}

// Stats returns a summary for metrics.
func (q *Queue) Stats() Stats {
	s := Stats{Waiting: len(q.waiting), Running: len(q.grants), ServiceTime: q.times.mean}
	for _, t := range q.targets {
		s.Limit += q.limit.forTarget(t.Slots)
	}
	return s
}
