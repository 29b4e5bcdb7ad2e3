package edge

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// admission asks the acting VM for verdicts. It implements gateway.Admission.
type admission Node

// Admit asks the acting VM, or decides by what this VM remembers when that one
// is silent. A VM that is not asked any more says so; the next one is asked.
func (ad *admission) Admit(ctx context.Context, r *gateway.AdmitRequest) gateway.Decision {
	n := (*Node)(ad)
	var lost outage
	for ctx.Err() == nil {
		acting := *n.acting.Load()
		v, answered, patience := n.askActing(ctx, acting, r)
		if answered {
			return n.remember(r, v)
		}
		if r.Plain && (acting == "" || patience == 0) {
			// A VM that knows nobody to ask yet has hardly anything in its reserve.
			if v = n.placeAlone(r); !v.OverQuota || patience == 0 {
				return v
			}
		}
		lost.note(n.now(), acting)
		select {
		case <-ctx.Done():
		case <-time.After(askAgain):
		}
		if lost.over(n.now(), *n.acting.Load(), patience) {
			return n.remember(r, n.placeAlone(r))
		}
	}
	return refused(r, "verdict_timeout", unknownPause)
}

// outage is how long a request has been without an answer of the VM that it is to ask.
type outage struct {
	vm    coord.VMID
	since time.Time
}

// note takes a question to a VM that was not answered. The time before it was spent
// waiting for a verdict, and does not count.
func (o *outage) note(now time.Time, vm coord.VMID) {
	if vm != o.vm || o.since.IsZero() {
		o.vm, o.since = vm, now
	}
}

// over reports whether the VM that acts now is still the one without an answer, and has
// been for longer than patience.
func (o *outage) over(now time.Time, acting coord.VMID, patience time.Duration) bool {
	return acting == o.vm && now.Sub(o.since) > patience
}

// Times of asking for a verdict.
const (
	// askAgain is the pause before the acting VM is asked again: views of the fleet
	// agree within some heartbeats.
	askAgain = 30 * time.Millisecond
	// unknownPatience is how long a request waits for this VM to know whom to ask: a
	// start takes less.
	unknownPatience = time.Second
	// silentPatience is how long it waits for an acting VM that cannot be reached:
	// a session that broke is made again in less.
	silentPatience = 300 * time.Millisecond
)

// errQuiet ends the wait for a verdict of a VM that has been silent for a while.
var errQuiet = errors.New("the scheduler is silent")

// askActing asks the acting VM once. Without an answer, patience is how long to go on
// asking it.
func (n *Node) askActing(ctx context.Context, acting coord.VMID, r *gateway.AdmitRequest) (v gateway.Decision, answered bool, patience time.Duration) {
	if acting == "" {
		return v, false, unknownPatience
	}
	a := n.admitMessage(r)
	asked := n.now()
	verdict, err := n.verdictOf(ctx, acting, r, a)
	if err == nil && verdict.Reason != scheduler.ReasonNotLeader {
		out := verdictFromProto(r, a.Ticket, acting, verdict)
		out.NetworkDelay = max(n.now().Sub(asked)-time.Duration(verdict.WaitedMs)*time.Millisecond, 0)
		out.DecidedAt = n.now().Add(-out.NetworkDelay)
		n.metrics.DecisionDelay.Observe(out.NetworkDelay)
		return out, true, 0
	}
	if err == nil {
		return v, false, unknownPatience
	}
	n.sendDone(acting, &schema.Done{Ticket: a.Ticket, Service: r.Service, Ending: schema.Ending_ENDING_ABANDONED, Plain: r.Plain})
	if ctx.Err() == nil {
		n.log.SchedulerUnresponsive(r.Request.ID, string(acting), err)
	}
	if errors.Is(err, errQuiet) {
		return v, false, 0
	}
	return v, false, silentPatience
}

// verdictOf asks the acting VM and waits for its verdict. It does not wait for a VM that
// is silent if this VM can place the request by itself.
func (n *Node) verdictOf(ctx context.Context, acting coord.VMID, r *gateway.AdmitRequest, a *schema.Admit) (*schema.Verdict, error) {
	if acting == coord.VMID(n.settings.Vm.Id) {
		return n.admit(ctx, acting, a), nil
	}
	quiet, done := n.silence.wait(n.now())
	defer done()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if n.placesAlone(r) {
		stop := context.AfterFunc(quiet, func() { cancel(errQuiet) })
		defer stop()
	}
	reply, err := n.mesh.Call(ctx, acting, &schema.Call{Body: &schema.Call_Admit{Admit: a}})
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return nil, cause
		}
		return nil, err
	}
	n.silence.from(n.now(), acting)
	if reply.GetVerdict() == nil {
		return nil, errors.Newf("%s answered without a verdict", acting)
	}
	return reply.GetVerdict(), nil
}

// watchSilence watches the acting VM, unless it is this one.
func (n *Node) watchSilence(acting coord.VMID) {
	if acting == coord.VMID(n.settings.Vm.Id) {
		acting = ""
	}
	n.silence.watch(n.now(), acting)
}

// remember keeps where an adapter is, for when the scheduler is silent, and what
// runs, for the scheduler that comes after this one. A scheduler that did not give the
// verdict is told at once, in case it can be reached: it must not unload the adapter.
func (n *Node) remember(r *gateway.AdmitRequest, v gateway.Decision) gateway.Decision {
	if v.Target == "" || r.Plain {
		return v
	}
	n.lastHomes.Add(r.Request.Adapter, lastHome{target: v.Target, version: v.AdapterVersion})
	n.running.add(r, v)
	if acting := *n.acting.Load(); acting != "" && string(acting) != v.DecidedBy {
		go n.tell(acting, &schema.Call{Body: &schema.Call_Running{Running: &schema.Running{
			Grants: []*schema.Grant{grantMessage(n.now(), r, v)},
		}}})
	}
	return v
}

func (n *Node) admitMessage(r *gateway.AdmitRequest) *schema.Admit {
	a := &schema.Admit{
		Ticket: n.tickets.Add(1), Service: r.Service,
		Model: r.Request.Adapter.Model, Adapter: r.Request.Adapter.Adapter,
		PromptTokens: int32(r.Request.PromptTokens), OutputTokens: int32(r.Request.OutputTokens),
		Priority: int32(r.Route.Priority), AimMs: aimMs(r),
		LeftMs:  n.until(r.Deadline).Milliseconds(),
		Exclude: r.Exclude, Resting: r.BackedOff, Plain: r.Plain, Team: r.Team, Cost: r.Cost, Zone: n.settings.Vm.Zone,
		Content: r.Content[:],
	}
	if !r.FirstEventDeadline.IsZero() {
		a.PatienceMs = n.until(r.FirstEventDeadline).Milliseconds()
	}
	for _, p := range r.Request.Parts {
		a.Parts = append(a.Parts, &schema.PromptPart{Id: p.ID, Tokens: int32(p.Tokens)})
	}
	return a
}

// aimMs is what is left of a request's objective, counted from when its caller first asked;
// 0: it has none. One that is over is as good as one of a ms.
func aimMs(r *gateway.AdmitRequest) int64 {
	if r.Route.LatencyObjective <= 0 {
		return 0
	}
	return max((r.Route.LatencyObjective - r.Age).Milliseconds(), 1)
}

func verdictFromProto(r *gateway.AdmitRequest, ticket uint64, from coord.VMID, v *schema.Verdict) gateway.Decision {
	return gateway.Decision{
		Service: r.Service, Ticket: ticket, DecidedBy: string(from),
		Target: v.Target, Address: v.Address, AdapterVersion: v.AdapterVersion, Priority: int(v.Priority),
		RetryAfter: time.Duration(v.RetryAfterMs) * time.Millisecond, Reason: v.Reason, OverQuota: v.OverQuota,
		StoreCopy: events.StoreCopy{Revision: fleet.Revision(v.FeedRevision), Age: time.Duration(v.FeedAgeMs) * time.Millisecond},
		RateLimit: ratelimit.Limit{PerSecond: v.LimitPerSecond, Stamp: v.LimitStamp},
	}
}

func refused(r *gateway.AdmitRequest, reason string, retry time.Duration) gateway.Decision {
	return gateway.Decision{Service: r.Service, RetryAfter: retry, Reason: reason}
}

// lastHome is where requests for an adapter were sent last.
type lastHome struct {
	target  string
	version int64
}

// maxLastHomes bounds what a VM remembers of verdicts.
const maxLastHomes = 4096

// placesAlone reports whether this VM knows a target for a request by itself.
func (n *Node) placesAlone(r *gateway.AdmitRequest) bool {
	if r.Plain || r.Request.Adapter.IsBase() {
		return true
	}
	t, _ := n.knownHome(r)
	return t != nil
}

// knownHome returns the target that served a request's adapter last, if it can be used,
// and the adapter's version there; or nil.
func (n *Node) knownHome(r *gateway.AdmitRequest) (t *fleet.Target, version int64) {
	home, known := n.lastHomes.Get(r.Request.Adapter)
	if !known {
		return nil, 0
	}
	if t = n.feed.Directory().Targets[home.target]; !usable(t, r) {
		return nil, 0
	}
	return t, home.version
}

// lastKnown sends requests where they were sent before, and those for a base model
// to any target that holds it.
func (n *Node) lastKnown(r *gateway.AdmitRequest) gateway.Decision {
	v := gateway.Decision{
		Service: r.Service, DecidedBy: n.settings.Vm.Id, Ticket: n.tickets.Add(1), DecidedAt: n.now(),
		Priority:  scheduler.EnginePriority(r.Route.Priority),
		StoreCopy: events.StoreCopy{Revision: n.feed.Revision(), Age: n.feed.Age()},
	}
	if t, version := n.knownHome(r); t != nil {
		v.Target, v.Address, v.AdapterVersion = t.ID, t.Address, version
		return v
	}
	if !r.Request.Adapter.IsBase() {
		return refused(r, "scheduler_silent", unknownPause)
	}
	dir := n.feed.Directory()
	var ids []string
	for _, t := range dir.TargetsOf(r.Service) {
		if usable(t, r) && holdsModel(t, r.Request.Adapter.Model) {
			ids = append(ids, t.ID)
		}
	}
	if len(ids) == 0 {
		return refused(r, "scheduler_silent", unknownPause)
	}
	v.Target = rendezvous.Winner(ids, rendezvous.Hash(r.Request.ID))
	v.Address = dir.Targets[v.Target].Address
	return v
}

func usable(t *fleet.Target, r *gateway.AdmitRequest) bool {
	return t != nil && t.State == fleet.TargetReady && !slices.Contains(r.Exclude, t.ID) && !slices.Contains(r.BackedOff, t.ID) &&
		!slices.Contains(r.RateLimited, t.ID)
}

func holdsModel(t *fleet.Target, model string) bool {
	return slices.ContainsFunc(t.Resident, func(m fleet.ResidentModel) bool { return m.Name == model })
}

// Done tells the VM that gave the verdict how the request ended.
func (ad *admission) Done(v gateway.Decision, how scheduler.Ending) {
	if v.Ticket == 0 {
		return // a refusal
	}
	n := (*Node)(ad)
	n.running.remove(v.Ticket)
	done := &schema.Done{Ticket: v.Ticket, Service: v.Service, Ending: protoEndings[how]}
	n.sendDone(coord.VMID(v.DecidedBy), done)
	// An acting VM that did not give the verdict was told that the request runs.
	if acting := *n.acting.Load(); acting != "" && string(acting) != v.DecidedBy {
		n.sendDone(acting, done)
	}
}

// ChosenLocally takes a target that this VM chose without a verdict: what ends under the request is to be
// known here.
func (ad *admission) ChosenLocally(r *gateway.AdmitRequest, v gateway.Decision) {
	n := (*Node)(ad)
	n.contents.began(coord.VMID(v.DecidedBy), v.Ticket, r.Content[:], v.Target, n.until(r.Deadline))
}

// FirstEvent tells the VM that gave the verdict that the first event has come.
func (ad *admission) FirstEvent(v gateway.Decision) {
	if v.Ticket == 0 {
		return
	}
	(*Node)(ad).sendDone(coord.VMID(v.DecidedBy), &schema.Done{
		Ticket: v.Ticket, Service: v.Service, Ending: schema.Ending_ENDING_FIRST_EVENT,
	})
}

// DonePlain tells the VM that gave the verdict how the request ended.
func (ad *admission) DonePlain(v gateway.Decision, how balance.Ending, took time.Duration) {
	if v.Ticket == 0 {
		return // a refusal
	}
	(*Node)(ad).sendDone(coord.VMID(v.DecidedBy), &schema.Done{
		Ticket: v.Ticket, Service: v.Service, Ending: protoPlainEndings[how], Plain: true,
		TookMs: float64(took) / float64(time.Millisecond),
	})
}

func (n *Node) sendDone(vm coord.VMID, d *schema.Done) {
	if vm == coord.VMID(n.settings.Vm.Id) {
		n.done(vm, d)
		return
	}
	go n.tell(vm, &schema.Call{Body: &schema.Call_Done{Done: d}})
}
