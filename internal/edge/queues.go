package edge

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/coord/servicequeue"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// queues holds a queue of waiting requests for each plain service. Only the leader receives
// requests; a new leader starts with empty queues. Lock order: queues.mu before Feed.mu.
type queues struct {
	node *Node

	mu       sync.Mutex
	services map[string]*serviceQueue
}

// serviceQueue is the queue of one plain service.
type serviceQueue struct {
	service string
	queue   *servicequeue.Queue
	waiters waiters
	// targets holds the targets that accept requests; queueTargets is the same in the form that
	// queue takes.
	targets      map[string]*fleet.Target
	queueTargets []servicequeue.Target
	// weights has the weights of teams.
	weights map[string]float64
	// revision is the store revision that targets reflects.
	revision fleet.Revision
}

func newQueues(n *Node) *queues { return &queues{node: n, services: map[string]*serviceQueue{}} }

// apply applies a changed directory.
func (qs *queues) apply(d *feed.Directory) {
	if d.Config == nil {
		return
	}
	qs.mu.Lock()
	defer qs.mu.Unlock()
	weights := teamWeights(d.Config)
	for name, service := range d.Config.Services {
		if service.Engine != nil {
			continue
		}
		sq := qs.services[name]
		if sq == nil {
			sq = &serviceQueue{service: name, queue: qs.newQueue(), waiters: waiters{}}
			qs.services[name] = sq
		}
		sq.weights = weights
		sq.queue.SetTeamWeights(weights)
		sq.targets, sq.queueTargets, sq.revision = map[string]*fleet.Target{}, nil, d.Revision
		for _, t := range d.TargetsOf(name) {
			if t.State == fleet.TargetReady {
				sq.targets[t.ID] = t
				sq.queueTargets = append(sq.queueTargets, servicequeue.Target{ID: t.ID, Zone: t.Zone, Slots: t.Slots, SoftwareVersion: t.SoftwareVersion})
			}
		}
		qs.deliver(sq, sq.queue.SetTargets(qs.node.now(), sq.queueTargets))
	}
}

// newQueue returns an empty queue with the current limits of targets.
func (qs *queues) newQueue() *servicequeue.Queue {
	queue := servicequeue.New()
	rates, share := qs.node.rateLimits.current()
	queue.SetRates(qs.node.now(), rates, share)
	rejections, share := qs.node.rejectionLimits.current()
	queue.SetRejectionLimits(qs.node.now(), rejections, share)
	return queue
}

// setLeading sets whether this VM is the leader. Waiting requests are refused, so that their VMs
// query the new leader.
func (qs *queues) setLeading(leading bool) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, sq := range qs.services {
		qs.deliver(sq, sq.queue.RefuseWaiting(scheduler.ReasonNotLeader))
		if leading {
			sq.queue = qs.newQueue()
			sq.queue.SetTeamWeights(sq.weights)
			qs.deliver(sq, sq.queue.SetTargets(qs.node.now(), sq.queueTargets))
			sq.queue.BecomeLeader(qs.node.now())
		}
	}
}

func (qs *queues) tick() {
	qs.each(func(sq *serviceQueue, now time.Time) []servicequeue.Action { return sq.queue.Tick(now) })
}

// removeVM removes the requests of a VM, waiting or running, with tickets below beforeTicket. The
// VM is unresponsive, or its process was replaced by one whose tickets are not below beforeTicket.
func (qs *queues) removeVM(vm coord.VMID, beforeTicket uint64) {
	qs.each(func(sq *serviceQueue, now time.Time) []servicequeue.Action {
		return sq.queue.RemoveVM(now, vm, beforeTicket)
	})
}

func (qs *queues) each(f func(sq *serviceQueue, now time.Time) []servicequeue.Action) {
	now := qs.node.now()
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, sq := range qs.services {
		qs.deliver(sq, f(sq, now))
	}
}

// aboveAllTickets exceeds the tickets of all requests.
const aboveAllTickets = math.MaxUint64

// admit submits a request to the queue of its service and waits for the decision.
func (qs *queues) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	now := qs.node.now()
	key := servicequeue.Key{VM: from, Ticket: a.Ticket}
	qs.mu.Lock()
	sq := qs.services[a.Service]
	if sq == nil {
		qs.mu.Unlock()
		return refusalMessage(servicequeue.ReasonNoTarget, noDecisionRetryDelay)
	}
	decision := sq.waiters.add(key)
	r := servicequeue.Request{
		Key: key, Zone: a.Zone, Priority: int(a.Priority), Team: a.Team, Exclude: slices.Concat(a.Exclude, a.Resting),
		SoftwareVersion: a.SoftwareVersion, Deadline: now.Add(time.Duration(a.LeftMs) * time.Millisecond),
	}
	if a.PatienceMs != 0 {
		r.SoftDeadline = now.Add(time.Duration(a.PatienceMs) * time.Millisecond)
	}
	qs.deliver(sq, sq.queue.Submit(now, r))
	qs.mu.Unlock()
	return qs.node.awaitDecision(ctx, now, decision, func() {
		qs.done(from, &schema.Done{Ticket: a.Ticket, Service: a.Service, Ending: schema.Ending_ENDING_ABANDONED})
	})
}

// done records the end of a request, or withdraws a waiting one.
func (qs *queues) done(from coord.VMID, d *schema.Done) {
	ending, known := plainEndings[d.Ending]
	if !known {
		ending = balance.Abandoned
	}
	key := servicequeue.Key{VM: from, Ticket: d.Ticket}
	qs.mu.Lock()
	sq := qs.services[d.Service]
	if sq == nil {
		qs.mu.Unlock()
		return
	}
	target := sq.queue.TargetOf(key)
	delete(sq.waiters, key)
	now, took := qs.node.now(), time.Duration(d.TookMs*float64(time.Millisecond))
	if d.Overloaded {
		sq.queue.ReportOverload(now, from)
		took = 0 // most of it passed at that VM
	}
	qs.deliver(sq, sq.queue.Done(now, key, ending, took))
	qs.mu.Unlock()
	qs.node.recordReport(from, target, d.Ending)
}

// deliver sends decisions to the waiting requests. qs.mu is held.
func (qs *queues) deliver(sq *serviceQueue, actions []servicequeue.Action) {
	for _, a := range actions {
		software := ""
		if t := sq.targets[a.Target]; t != nil {
			software = t.SoftwareVersion
		}
		delivered := sq.waiters.deliver(a.Key, sq.targets, qs.node.limitPair(a.Target), &schema.Verdict{
			Target: a.Target, SoftwareVersion: software, RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: a.Reason,
			FeedRevision: uint64(sq.revision), FeedAgeMs: qs.node.feed.Age().Milliseconds(),
		})
		if delivered && a.Target == "" && a.Reason != scheduler.ReasonNotLeader {
			qs.node.log.QueueRefused(string(a.Key.VM), a.Key.Ticket, sq.service, a.Reason, sq.queue.Stats())
		}
	}
}

// stats returns the sums over the queues of all services; ServiceTime is the longest.
func (qs *queues) stats() (sum servicequeue.Stats) {
	qs.mu.Lock()
	defer qs.mu.Unlock()
	for _, sq := range qs.services {
		st := sq.queue.Stats()
		sum.Waiting += st.Waiting
		sum.Running += st.Running
		sum.Limit += st.Limit
		sum.ServiceTime = max(sum.ServiceTime, st.ServiceTime)
	}
	return sum
}
