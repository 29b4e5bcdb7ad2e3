package edge

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// admit decides on a request of another VM or of this one. The team's quota is checked before the
// request waits or an adapter is loaded for it. Its content is looked at again when it is placed, since
// targets may have crashed while it waited.
func (n *Node) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	n.checkSuspension()
	if !n.isLeader() {
		return refusalMessage(scheduler.ReasonNotLeader, 0)
	}
	parts := sharedParts(a)
	if v := n.quarantine.check(from, a, parts); v != nil {
		return v
	}
	requestedAt := n.now()
	v := n.quotas.admit(ctx, from, a)
	waitedMs := n.now().Sub(requestedAt).Milliseconds()
	if v != nil {
		v.WaitedMs = waitedMs
		n.quarantine.requestEnded(from, a.Ticket, schema.Ending_ENDING_WITHDRAWN)
		return v
	}
	if a.Plain {
		v = n.queues.admit(ctx, from, a)
	} else {
		v = n.schedulers.admit(ctx, from, a)
	}
	v.WaitedMs += waitedMs
	if v.Target == "" {
		n.quotas.requestEnded(from, a.Ticket, false)
		n.quarantine.requestEnded(from, a.Ticket, schema.Ending_ENDING_WITHDRAWN)
		return v
	}
	if refusal := n.quarantine.startPlaced(from, a, parts, v.Target); refusal != nil {
		n.done(from, &schema.Done{Ticket: a.Ticket, Service: a.Service, Plain: a.Plain, Ending: schema.Ending_ENDING_WITHDRAWN})
		refusal.WaitedMs = v.WaitedMs
		return refusal
	}
	return v
}

// done records the end, or the first event, of a request that this VM decided on.
func (n *Node) done(from coord.VMID, d *schema.Done) {
	if d.Ending == schema.Ending_ENDING_FIRST_EVENT {
		n.quarantine.responseBegan(from, d.Ticket)
	} else {
		n.quotas.requestEnded(from, d.Ticket, !notRun[d.Ending])
		n.quarantine.requestEnded(from, d.Ticket, d.Ending)
	}
	if d.Plain {
		n.queues.done(from, d)
		return
	}
	n.schedulers.done(from, d)
}

// placeLocally decides on a request without the leader, within this VM's reserve of the team's
// quota.
func (n *Node) placeLocally(r *gateway.AdmitRequest) gateway.Decision {
	if reason, retryAfter := n.quarantine.checkWithoutLeader(r.Content, sharedPartsOf(r)); reason != "" {
		return refusalDecision(r, reason, retryAfter)
	}
	if !n.quotas.chargeReserve(r) {
		d := refusalDecision(r, reasonQuota, localRetryDelay)
		d.OverQuota = true
		return d
	}
	if r.Plain {
		return gateway.Decision{Service: r.Service, DecidedBy: n.settings.Vm.Id, Ticket: n.tickets.Add(1), LocalChoice: true, DecidedAt: n.now()}
	}
	d := n.chooseKnownTarget(r)
	if d.Target != "" {
		(*admission)(n).ChosenLocally(r, d)
	}
	return d
}

// localRetryDelay is the retry delay of callers that used up this VM's reserve of a quota. A new
// leader gives decisions within one to two seconds, and retries usually reach another VM.
const localRetryDelay = 500 * time.Millisecond
