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

// lines holds a line of waiting requests for each plain service. Only the acting VM is asked;
// one that begins to act begins with empty lines. Lock order: lines.mu is taken before
// Feed.mu.
type lines struct {
	node *Node

	mu       sync.Mutex
	services map[string]*plainLine
}

// plainLine is the line of one service.
type plainLine struct {
	service string
	l       *servicequeue.Queue
	waiters waiters
	// targets that take requests, and usable the same for the line.
	targets map[string]*fleet.Target
	usable  []servicequeue.Target
	// revision of the store that targets show.
	revision fleet.Revision
}

func newLines(n *Node) *lines { return &lines{node: n, services: map[string]*plainLine{}} }

// apply carries a changed directory in.
func (ls *lines) apply(d *feed.Directory) {
	if d.Config == nil {
		return
	}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for name, service := range d.Config.Services {
		if service.Engine != nil {
			continue
		}
		pl := ls.services[name]
		if pl == nil {
			pl = &plainLine{service: name, l: ls.newLine(), waiters: waiters{}}
			ls.services[name] = pl
		}
		pl.targets, pl.usable, pl.revision = map[string]*fleet.Target{}, nil, d.Revision
		for _, t := range d.TargetsOf(name) {
			if t.State == fleet.TargetReady {
				pl.targets[t.ID] = t
				pl.usable = append(pl.usable, servicequeue.Target{ID: t.ID, Zone: t.Zone, Slots: t.Slots})
			}
		}
		ls.answer(pl, pl.l.SetTargets(ls.node.now(), pl.usable))
	}
}

// newLine returns an empty line that knows which targets limit their rate.
func (ls *lines) newLine() *servicequeue.Queue {
	l := servicequeue.New()
	rates, share := ls.node.rateLimits.current()
	l.SetRates(ls.node.now(), rates, share)
	return l
}

// setActing says whether other VMs ask this one.
func (ls *lines) setActing(acting bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, pl := range ls.services {
		ls.answer(pl, pl.l.RefuseWaiting(scheduler.ReasonNotLeader))
		if acting {
			pl.l = ls.newLine()
			ls.answer(pl, pl.l.SetTargets(ls.node.now(), pl.usable))
		}
	}
}

func (ls *lines) tick() {
	ls.each(func(pl *plainLine, now time.Time) []servicequeue.Action { return pl.l.Tick(now) })
}

// drop forgets what a VM asked and runs that is silent, or whose process before this
// incarnation is gone.
func (ls *lines) drop(vm coord.VMID, before uint64) {
	ls.each(func(pl *plainLine, now time.Time) []servicequeue.Action { return pl.l.RemoveVM(now, vm, before) })
}

func (ls *lines) each(f func(pl *plainLine, now time.Time) []servicequeue.Action) {
	now := ls.node.now()
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, pl := range ls.services {
		ls.answer(pl, f(pl, now))
	}
}

// allTickets is above every ticket.
const allTickets = math.MaxUint64

// admit asks the line of a service and waits for its verdict.
func (ls *lines) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	now := ls.node.now()
	key := servicequeue.Key{VM: from, Ticket: a.Ticket}
	ls.mu.Lock()
	pl := ls.services[a.Service]
	if pl == nil {
		ls.mu.Unlock()
		return refusal(servicequeue.ReasonNoTarget, unknownPause)
	}
	verdict := pl.waiters.add(key)
	r := servicequeue.Request{
		Key: key, Zone: a.Zone, Priority: int(a.Priority), Exclude: slices.Concat(a.Exclude, a.Resting),
		Deadline: now.Add(time.Duration(a.LeftMs) * time.Millisecond),
	}
	if a.PatienceMs != 0 {
		r.SoftDeadline = now.Add(time.Duration(a.PatienceMs) * time.Millisecond)
	}
	ls.answer(pl, pl.l.Submit(now, r))
	ls.mu.Unlock()
	return ls.node.awaitVerdict(ctx, now, verdict, func() {
		ls.done(from, &schema.Done{Ticket: a.Ticket, Service: a.Service, Ending: schema.Ending_ENDING_ABANDONED})
	})
}

// done takes the end of a request, or withdraws it.
func (ls *lines) done(from coord.VMID, d *schema.Done) {
	how, known := plainEndings[d.Ending]
	if !known {
		how = balance.Abandoned
	}
	key := servicequeue.Key{VM: from, Ticket: d.Ticket}
	ls.mu.Lock()
	defer ls.mu.Unlock()
	pl := ls.services[d.Service]
	if pl == nil {
		return
	}
	delete(pl.waiters, key)
	took := time.Duration(d.TookMs * float64(time.Millisecond))
	ls.answer(pl, pl.l.Done(ls.node.now(), key, how, took))
}

// answer gives verdicts to those who wait. ls.mu is held.
func (ls *lines) answer(pl *plainLine, acts []servicequeue.Action) {
	for _, a := range acts {
		answered := pl.waiters.answer(a.Key, pl.targets, ls.node.rateLimits.Limit(a.Target), &schema.Verdict{
			Target: a.Target, RetryAfterMs: a.RetryAfter.Milliseconds(), Reason: a.Reason,
			FeedRevision: uint64(pl.revision), FeedAgeMs: ls.node.feed.Age().Milliseconds(),
		})
		if answered && a.Target == "" && a.Reason != scheduler.ReasonNotLeader {
			ls.node.log.QueueRefused(string(a.Key.VM), a.Key.Ticket, pl.service, a.Reason, pl.l.Stats())
		}
	}
}

// stats sums the lines of all services; of times it has the longest.
func (ls *lines) stats() (sum servicequeue.Stats) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	for _, pl := range ls.services {
		st := pl.l.Stats()
		sum.Waiting += st.Waiting
		sum.Running += st.Running
		sum.Limit += st.Limit
		sum.ServiceTime = max(sum.ServiceTime, st.ServiceTime)
	}
	return sum
}
