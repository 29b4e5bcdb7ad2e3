// Package line admits requests to the targets of a plain service.
//
// A few small targets serve the callers of a whole fleet. VMs that each pick a target by what
// they saw themselves fill the targets' queues blindly: what is beyond them is turned away,
// and repeats feed the load. So one VM, the one that is asked for
// engines, counts what runs at each target and lets the rest wait in one line:
//
//   - a target gets as many requests as it works on, and one more (limit.go), and no more a second than it
//     limits itself to (rates.go);
//   - those that can still be in time go first, by priority and age, then the others;
//   - one whose turn comes too late for that waits among the others, or is refused at once with
//     the time at which the line will be shorter. A line that takes all in the order of age
//     serves each of them a moment too late once it is as long as their time: 0.2 of the calls
//     of a heavy day were in time so, of 0.75 that targets had room for.
//
// Line has no clock and does no I/O: events come in with the time, actions come out. It is not
// safe for concurrent use. Where the VM that runs it is silent, others go on without it.
package servicequeue

import (
	"cmp"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// Target is a target of the service that takes requests.
type Target struct {
	ID, Zone string
	// Slots is how many requests it works on at once, as it says; 0: unknown.
	Slots int
}

// Key names a request.
type Key = coord.RequestKey

// Request is a request that wants a target.
type Request struct {
	Key
	// Zone of the VM that asks: bytes between zones are charged for.
	Zone string
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Exclude names targets not to use.
	Exclude []string
	// SoftDeadline is when the answer is late; zero: it never is.
	SoftDeadline time.Time
	// Deadline after which it is worthless.
	Deadline time.Time

	arrived time.Time
	// late is what the last ranking went by.
	late bool
}

// Action is an answer to a request: a target, or a refusal if Target is empty.
type Action struct {
	Key    Key
	Target string
	// RetryAfter and Reason of a refusal.
	RetryAfter time.Duration
	Reason     string
}

// grant is a request that runs, as far as is known.
type grant struct {
	target string
	// beside is how many ran at the target then, this one included.
	beside   int
	deadline time.Time
}

// Queue is the state for one service.
type Queue struct {
	targets  []Target
	running  map[string]int
	grants   map[Key]grant
	waiting  []*Request
	balancer *balance.Balancer
	limit    limit
	// pacer keeps targets within the rates that they name, and returns spreads the callers that it
	// refused.
	pacer   *ratelimit.Pacer
	returns ratelimit.RetryDelays
	acts    []Action
}

// New returns a Line that knows no target.
func New() *Queue {
	return &Queue{limit: newLimit(), running: map[string]int{}, grants: map[Key]grant{}, balancer: balance.New(), pacer: ratelimit.NewPacer()}
}

// Times of the line.
const (
	// lateWait is the most that a request waits that will be late: the wait is for nothing
	// as a rule, since those that may be in time go first.
	lateWait = 400 * time.Millisecond
	// wayTime is for the verdict's and the answer's way, with the turns of busy VMs.
	wayTime = 10 * time.Millisecond
	// noTargetPause is when to come back if there is no target.
	noTargetPause = 300 * time.Millisecond
	// leastPause and mostPause bound what refused callers are told.
	leastPause = 50 * time.Millisecond
	mostPause  = time.Second
	// expireAfter is how long after its deadline a request without an end is forgotten: the
	// VM that sent it may have died unseen.
	expireAfter = 500 * time.Millisecond
)

// Reasons of refusals.
const (
	ReasonNoTarget = "no_target"
	// ReasonQueueTooLong: its turn would not come in time.
	ReasonQueueTooLong = "line_too_long"
)

// SetTargets takes the targets that take requests.
func (l *Queue) SetTargets(now time.Time, targets []Target) []Action {
	l.targets = targets
	return l.settle(now)
}

// Submit asks for a target. The answer comes now or in a later call.
func (l *Queue) Submit(now time.Time, r Request) []Action {
	r.arrived = now
	if !l.anyFor(&r) {
		l.refuse(&r, ReasonNoTarget, noTargetPause)
		return l.take()
	}
	l.waiting = append(l.waiting, &r)
	return l.settle(now)
}

// Done takes the end of a granted request and how long it took, or withdraws a waiting one.
func (l *Queue) Done(now time.Time, key Key, how balance.Ending, took time.Duration) []Action {
	l.waiting = slices.DeleteFunc(l.waiting, func(r *Request) bool { return r.Key == key })
	g, granted := l.grants[key]
	if !granted {
		return l.settle(now)
	}
	l.release(key, g)
	l.balancer.Done(now, g.target, how, took)
	switch {
	case how == balance.OK || how == balance.Failed && took > 0:
		l.limit.observe(took)
	case how == balance.Busy:
		l.limit.turnedAway(g.beside, l.slots(g.target))
	}
	return l.settle(now)
}

// slots of a target; 0: unknown.
func (l *Queue) slots(id string) int {
	for _, t := range l.targets {
		if t.ID == id {
			return t.Slots
		}
	}
	return 0
}

func (l *Queue) release(key Key, g grant) {
	delete(l.grants, key)
	if l.running[g.target]--; l.running[g.target] <= 0 {
		delete(l.running, g.target)
	}
}

// RemoveVM forgets what a VM asked and runs: it is silent, or has started anew and its tickets
// are not below since.
func (l *Queue) RemoveVM(now time.Time, vm coord.VMID, since uint64) []Action {
	l.waiting = slices.DeleteFunc(l.waiting, func(r *Request) bool { return r.VM == vm && r.Ticket < since })
	for key, g := range l.grants {
		if key.VM == vm && key.Ticket < since {
			l.release(key, g)
			l.balancer.Done(now, g.target, balance.Abandoned, 0)
		}
	}
	return l.settle(now)
}

// RefuseWaiting refuses all that wait for a reason: this VM is not asked any more.
func (l *Queue) RefuseWaiting(reason string) []Action {
	for _, r := range l.waiting {
		l.refuse(r, reason, 0)
	}
	l.waiting = nil
	return l.take()
}

// Tick does what is due. It is to be called every 10 to 20 ms.
func (l *Queue) Tick(now time.Time) []Action {
	for key, g := range l.grants {
		if now.After(g.deadline.Add(expireAfter)) {
			l.release(key, g)
			l.balancer.Done(now, g.target, balance.Abandoned, 0)
		}
	}
	l.balancer.ExpireIdle(now)
	return l.settle(now)
}

// settle gives targets to waiting requests and refuses those whose turn will not come.
func (l *Queue) settle(now time.Time) []Action {
	if len(l.waiting) == 0 {
		return l.take()
	}
	l.rank(now)
	rest := l.waiting[:0]
	perSecond, first := l.throughput(now)
	full := false
	for _, r := range l.waiting {
		// Where one request finds no room, the next finds none: each look goes over all
		// targets, and hundreds may wait (BenchmarkLongLine).
		if !(full && len(r.Exclude) == 0) && l.grant(now, r) {
			continue
		}
		full = full || len(r.Exclude) == 0
		if !l.giveUp(now, r, first+ratelimit.DurationFor(float64(len(rest)), perSecond), perSecond) {
			rest = append(rest, r)
		}
	}
	clear(l.waiting[len(rest):])
	l.waiting = rest
	return l.take()
}

// rank sorts waiting requests: those that can be in time first, the most urgent and oldest
// first among them.
func (l *Queue) rank(now time.Time) {
	for _, r := range l.waiting {
		r.late = l.tooLate(now, r, 0)
	}
	slices.SortStableFunc(l.waiting, func(a, b *Request) int {
		switch {
		case a.late && !b.late:
			return 1
		case b.late && !a.late:
			return -1
		}
		return cmp.Or(a.Priority-b.Priority, a.arrived.Compare(b.arrived))
	})
}

// tooLate reports whether the answer to a request whose turn comes in some time will be late.
func (l *Queue) tooLate(now time.Time, r *Request, turn time.Duration) bool {
	return !r.SoftDeadline.IsZero() && now.Add(turn+l.limit.slow()+wayTime).After(r.SoftDeadline)
}

// grant gives a request a target, if one has room.
func (l *Queue) grant(now time.Time, r *Request) bool {
	id := l.pick(now, r)
	if id == "" {
		return false
	}
	l.pacer.Consume(now, id)
	l.running[id]++
	l.grants[r.Key] = grant{target: id, beside: l.running[id], deadline: r.Deadline}
	l.act(Action{Key: r.Key, Target: id})
	return true
}

// giveUp refuses a request whose turn, which comes in some time, would be too late for it, where
// targets take so many requests a second.
func (l *Queue) giveUp(now time.Time, r *Request, turn time.Duration, perSecond float64) bool {
	if !l.anyFor(r) {
		l.refuse(r, ReasonNoTarget, noTargetPause)
		return true
	}
	until := r.Deadline.Add(-l.limit.work())
	if l.tooLate(now, r, turn) && r.arrived.Add(lateWait).Before(until) {
		until = r.arrived.Add(lateWait)
	}
	if now.Add(turn).After(until) {
		l.refuse(r, ReasonQueueTooLong, l.pause(now, turn, perSecond))
		return true
	}
	return false
}

// anyFor reports whether there is a target that a request may go to.
func (l *Queue) anyFor(r *Request) bool {
	return slices.ContainsFunc(l.targets, func(t Target) bool { return !slices.Contains(r.Exclude, t.ID) })
}

// pick returns the best target with room and counts the request there; "" if there is none.
// One that is left alone for its failures is used only if all are.
func (l *Queue) pick(now time.Time, r *Request) string {
	var open, room []balance.Target
	for _, t := range l.targets {
		if slices.Contains(r.Exclude, t.ID) {
			continue
		}
		c := balance.Target{ID: t.ID, SameZone: t.Zone == r.Zone}
		if l.balancer.Ejected(now, t.ID) {
			continue
		}
		open = append(open, c)
		if l.pacer.ProbeDue(now, t.ID) && l.hasRoom(now, t) {
			return l.balancer.Pick(now, []balance.Target{c}, nil)
		}
		if l.hasRoom(now, t) {
			room = append(room, c)
		}
	}
	if len(open) > 0 {
		return l.balancer.Pick(now, room, nil)
	}
	for _, t := range l.targets {
		if !slices.Contains(r.Exclude, t.ID) && l.hasRoom(now, t) {
			room = append(room, balance.Target{ID: t.ID, SameZone: t.Zone == r.Zone})
		}
	}
	return l.balancer.Pick(now, room, nil)
}

func (l *Queue) refuse(r *Request, reason string, retry time.Duration) {
	l.act(Action{Key: r.Key, Reason: reason, RetryAfter: retry})
}

func (l *Queue) act(a Action) { l.acts = append(l.acts, a) }

func (l *Queue) take() []Action {
	acts := l.acts
	l.acts = nil
	return acts
}

// Stats is a summary for metrics.
type Stats struct {
	Waiting, Running int
	// Limit is how many requests all targets get at once.
	Limit int
	// ServiceTime is how long a call takes at the limit.
	ServiceTime time.Duration
}

// Stats returns a summary.
func (l *Queue) Stats() Stats {
	s := Stats{Waiting: len(l.waiting), Running: len(l.grants), ServiceTime: l.limit.work()}
	for _, t := range l.targets {
		s.Limit += l.limit.of(t.Slots)
	}
	return s
}
