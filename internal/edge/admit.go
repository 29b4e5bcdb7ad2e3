package edge

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// admission requests decisions from the leader. It implements gateway.Admission.
type admission Node

// Admit requests a decision from the leader. If the leader is unresponsive, Admit decides locally
// from the state that this VM holds. If the queried VM is no longer the leader, Admit queries its
// successor.
func (ad *admission) Admit(ctx context.Context, r *gateway.AdmitRequest) gateway.Decision {
	n := (*Node)(ad)
	var outage leaderOutage
	for ctx.Err() == nil {
		leader := *n.leader.Load()
		d, answered, retryFor := n.admitAtLeader(ctx, leader, r)
		if answered {
			return n.recordDecision(r, d)
		}
		if r.Plain && (leader == "" || retryFor == 0) {
			// A VM that does not know a leader yet has hardly any units in its reserve, so an
			// over-quota result is not final.
			if d = n.placeLocally(r); !d.OverQuota || retryFor == 0 {
				return d
			}
		}
		outage.recordFailure(n.now(), leader)
		select {
		case <-ctx.Done():
		case <-time.After(admitRetryInterval):
		}
		if outage.exceeds(n.now(), *n.leader.Load(), retryFor) {
			return n.recordDecision(r, n.placeLocally(r))
		}
	}
	return refusalDecision(r, "verdict_timeout", noDecisionRetryDelay)
}

// leaderOutage records since when requests to the leader have gone unanswered.
type leaderOutage struct {
	vm    coord.VMID
	since time.Time
}

// recordFailure records a request that the given VM did not answer. Time spent waiting for a
// decision before the first failure does not count as an outage.
func (o *leaderOutage) recordFailure(now time.Time, vm coord.VMID) {
	if vm != o.vm || o.since.IsZero() {
		o.vm, o.since = vm, now
	}
}

// exceeds reports whether the given leader is still the VM that does not answer, and has not
// answered for longer than limit.
func (o *leaderOutage) exceeds(now time.Time, leader coord.VMID, limit time.Duration) bool {
	return leader == o.vm && now.Sub(o.since) > limit
}

// Timing of requests for decisions.
const (
	// admitRetryInterval is the delay before the leader is queried again. The VMs' views of the
	// fleet converge within a few heartbeats.
	admitRetryInterval = 30 * time.Millisecond
	// unknownLeaderTimeout is how long a request waits until this VM knows a leader. Startup takes
	// less than that.
	unknownLeaderTimeout = time.Second
	// unreachableLeaderTimeout is how long a request waits for a leader that cannot be reached. A
	// broken session is reestablished within that time.
	unreachableLeaderTimeout = 300 * time.Millisecond
)

// errLeaderUnresponsive is the cause that cancels the wait for a decision of an unresponsive
// leader.
var errLeaderUnresponsive = errors.New("the scheduler is silent")

// admitAtLeader sends one admission request to the leader. If answered is false, retryFor is how
// long to keep retrying.
func (n *Node) admitAtLeader(ctx context.Context, leader coord.VMID, r *gateway.AdmitRequest) (d gateway.Decision, answered bool, retryFor time.Duration) {
	if leader == "" {
		return d, false, n.unknownLeaderWait(r)
	}
	a := n.admitMessage(r)
	requestedAt := n.now()
	verdict, err := n.requestDecision(ctx, leader, r, a)
	if err == nil && verdict.Reason != scheduler.ReasonNotLeader {
		decision := decisionFromProto(r, a.Ticket, leader, verdict)
		decision.NetworkDelay = max(n.now().Sub(requestedAt)-time.Duration(verdict.WaitedMs)*time.Millisecond, 0)
		decision.DecidedAt = n.now().Add(-decision.NetworkDelay)
		n.metrics.DecisionDelay.Observe(decision.NetworkDelay)
		return decision, true, 0
	}
	if err == nil {
		return d, false, unknownLeaderTimeout
	}
	n.callDone(leader, &schema.Done{Ticket: a.Ticket, Service: r.Service, Ending: schema.Ending_ENDING_ABANDONED, Plain: r.Plain})
	if ctx.Err() == nil {
		n.log.SchedulerUnresponsive(r.Request.ID, string(leader), err)
	}
	if errors.Is(err, errLeaderUnresponsive) {
		return d, false, 0
	}
	return d, false, unreachableLeaderTimeout
}

// unknownLeaderWait returns how long a request waits until this VM knows a leader. A VM that has lost its
// leader may be cut off for seconds; a request that it can place locally does not wait for the next one.
func (n *Node) unknownLeaderWait(r *gateway.AdmitRequest) time.Duration {
	if n.now().Sub(n.startedAt) > unknownLeaderTimeout && n.canPlaceLocally(r) {
		return 0
	}
	return unknownLeaderTimeout
}

// requestDecision sends an admission request to the leader and waits for its decision. If this VM
// can place the request locally, the wait ends when the leader becomes unresponsive.
func (n *Node) requestDecision(ctx context.Context, leader coord.VMID, r *gateway.AdmitRequest, a *schema.Admit) (*schema.Verdict, error) {
	if leader == coord.VMID(n.settings.Vm.Id) {
		return n.admit(ctx, leader, a), nil
	}
	unresponsive, done := n.leaderMonitor.addWaiter(n.now())
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if n.canPlaceLocally(r) {
		stop := context.AfterFunc(unresponsive, func() { cancel(errLeaderUnresponsive) })
		defer stop()
	}
	reply, err := n.mesh.Call(ctx, leader, &schema.Call{Body: &schema.Call_Admit{Admit: a}})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	n.leaderMonitor.recordResponse(n.now(), leader)
	if reply.GetVerdict() == nil {
		return nil, errors.Newf("%s replied without a decision", leader)
	}
	return reply.GetVerdict(), nil
}

// monitorLeader monitors the given leader for responses, unless it is this VM.
func (n *Node) monitorLeader(leader coord.VMID) {
	if leader == coord.VMID(n.settings.Vm.Id) {
		leader = ""
	}
	n.leaderMonitor.watch(n.now(), leader)
}

// recordDecision records the granted target of a model request: where the adapter is served, for
// decisions without a leader, and which requests run, for the next leader. If the current leader
// did not make the decision, it is notified at once, because it must not unload the adapter.
func (n *Node) recordDecision(r *gateway.AdmitRequest, d gateway.Decision) gateway.Decision {
	if d.Target == "" || r.Plain {
		return d
	}
	n.rememberReplica(r, d)
	n.running.add(r, d)
	if leader := *n.leader.Load(); leader != "" && string(leader) != d.DecidedBy {
		go n.notify(leader, &schema.Call{Body: &schema.Call_Running{Running: &schema.Running{
			Grants: []*schema.Grant{grantMessage(n.now(), r, d)},
		}}})
	}
	return d
}

func (n *Node) admitMessage(r *gateway.AdmitRequest) *schema.Admit {
	a := &schema.Admit{
		Ticket: n.tickets.Add(1), Service: r.Service,
		Model: r.Request.Adapter.Model, Adapter: r.Request.Adapter.Adapter,
		PromptTokens: int32(r.Request.PromptTokens), OutputTokens: int32(r.Request.OutputTokens),
		Priority: int32(r.Route.Priority), AimMs: remainingObjectiveMs(r),
		LeftMs:  n.until(r.Deadline).Milliseconds(),
		Exclude: r.Exclude, Resting: r.BackedOff, Plain: r.Plain, Team: r.Team, Cost: r.Cost, Zone: n.settings.Vm.Zone,
		Content: r.Content[:], SoftwareVersion: r.SoftwareVersion,
	}
	if !r.FirstEventDeadline.IsZero() {
		a.PatienceMs = n.until(r.FirstEventDeadline).Milliseconds()
	}
	for _, p := range r.Request.Parts {
		a.Parts = append(a.Parts, &schema.PromptPart{Id: p.ID, Tokens: int32(p.Tokens)})
	}
	return a
}

// remainingObjectiveMs returns what is left of a request's latency objective in milliseconds,
// counted from the caller's first attempt; 0 means that it has none. An objective that has passed
// counts as 1 ms.
func remainingObjectiveMs(r *gateway.AdmitRequest) int64 {
	if r.Route.LatencyObjective <= 0 {
		return 0
	}
	return max((r.Route.LatencyObjective - r.Age).Milliseconds(), 1)
}

func decisionFromProto(r *gateway.AdmitRequest, ticket uint64, from coord.VMID, v *schema.Verdict) gateway.Decision {
	return gateway.Decision{
		Service: r.Service, Ticket: ticket, DecidedBy: string(from), ByLeader: true,
		Target: v.Target, Address: v.Address, SoftwareVersion: v.SoftwareVersion, AdapterVersion: v.AdapterVersion, Priority: int(v.Priority),
		RetryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, Reason: v.Reason, OverQuota: v.OverQuota,
		StoreCopy:      events.StoreCopy{Revision: fleet.Revision(v.FeedRevision), Age: time.Duration(v.FeedAgeMs) * time.Millisecond},
		RateLimit:      ratelimit.Limit{PerSecond: v.LimitPerSecond, Stamp: v.LimitStamp},
		RejectionLimit: ratelimit.Limit{PerSecond: v.RejectionsPerSecond, Stamp: v.RejectionLimitStamp},
	}
}

func refusalDecision(r *gateway.AdmitRequest, reason string, retryAfter time.Duration) gateway.Decision {
	return gateway.Decision{Service: r.Service, RetryAfter: retryAfter, Reason: reason}
}

// Done reports the end of a request to the VM that made the decision.
func (ad *admission) Done(d gateway.Decision, ending scheduler.Ending) {
	if d.Ticket == 0 {
		return // a refusal
	}
	n := (*Node)(ad)
	g := n.running.remove(d.Ticket)
	if ending == scheduler.EndedOK && !g.begunAt.IsZero() && d.DecidedBy != n.settings.Vm.Id {
		n.quarantine.survived(g.begunAt, grantedParts(g.grant))
	}
	if ending == scheduler.EndedMisrouted && g.grant != nil && !d.ByLeader {
		n.updateReplica(g.grant, d.SoftwareVersion, func(l *lastReplica) { l.missing = true })
	}
	done := &schema.Done{Ticket: d.Ticket, Service: d.Service, Ending: protoEndings[ending], Overloaded: n.overload.isOverloaded()}
	n.sendDone(coord.VMID(d.DecidedBy), done)
	// A leader that did not make the decision was notified that the request runs.
	if leader := *n.leader.Load(); leader != "" && string(leader) != d.DecidedBy {
		n.callDone(leader, done)
	}
}

// ChosenLocally records a target that this VM chose without a decision of the leader, so that a
// crash of the target can be attributed to the request.
func (ad *admission) ChosenLocally(r *gateway.AdmitRequest, d gateway.Decision) {
	n := (*Node)(ad)
	n.quarantine.requestStarted(coord.VMID(d.DecidedBy), d.Ticket, r.Content[:], d.Target, n.until(r.Deadline), sharedPartsOf(r))
}

// FirstEvent reports the first event of a request to the VM that made the decision.
func (ad *admission) FirstEvent(d gateway.Decision) {
	if d.Ticket == 0 {
		return
	}
	n := (*Node)(ad)
	if g := n.running.begin(d.Ticket); g != nil && !d.ByLeader {
		n.updateReplica(g, d.SoftwareVersion, func(l *lastReplica) { l.version, l.missing = max(l.version, d.AdapterVersion), false })
	}
	n.sendDone(coord.VMID(d.DecidedBy), &schema.Done{
		Ticket: d.Ticket, Service: d.Service, Ending: schema.Ending_ENDING_FIRST_EVENT, Overloaded: n.overload.isOverloaded(),
	})
}

// DonePlain reports the end of a request to a plain service, and its duration, to the VM that made
// the decision.
func (ad *admission) DonePlain(d gateway.Decision, ending balance.Ending, took time.Duration) {
	if d.Ticket == 0 {
		return // a refusal
	}
	(*Node)(ad).sendDone(coord.VMID(d.DecidedBy), &schema.Done{
		Ticket: d.Ticket, Service: d.Service, Ending: protoPlainEndings[ending], Plain: true,
		TookMs: float64(took) / float64(time.Millisecond), Overloaded: (*Node)(ad).overload.isOverloaded(),
	})
}

// callDone reports the end of a request that another VM may not know yet: the message about it was a
// call, which a notification could overtake. The VM would then keep the request until its deadline.
func (n *Node) callDone(vm coord.VMID, d *schema.Done) {
	if vm == coord.VMID(n.settings.Vm.Id) {
		n.done(vm, d)
		return
	}
	go n.notify(vm, &schema.Call{Body: &schema.Call_Done{Done: d}})
}

// sendDone reports the end or the first event of a request to the VM that decided on it.
func (n *Node) sendDone(vm coord.VMID, d *schema.Done) {
	if vm == coord.VMID(n.settings.Vm.Id) {
		n.done(vm, d)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := n.mesh.Notify(ctx, vm, &schema.Call{Body: &schema.Call_Done{Done: d}}); err != nil {
			n.log.PeerCallFailed("done", string(vm), err)
		}
	}()
}
