package edge

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// admit decides on a request of a VM: by its team's quota first, before anything waits or is
// loaded for it.
func (n *Node) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	n.wake()
	if !n.acts() {
		return refusal(scheduler.ReasonNotLeader, 0)
	}
	if v := n.contents.check(from, a); v != nil {
		return v
	}
	asked := n.now()
	v := n.quotas.admit(ctx, from, a)
	waited := n.now().Sub(asked).Milliseconds()
	if v != nil {
		v.WaitedMs = waited
		n.contents.ended(from, a.Ticket, schema.Ending_ENDING_WITHDRAWN)
		return v
	}
	if a.Plain {
		v = n.lines.admit(ctx, from, a)
	} else {
		v = n.schedules.admit(ctx, from, a)
	}
	v.WaitedMs += waited
	if v.Target == "" {
		n.quotas.ended(from, a.Ticket, false)
		n.contents.ended(from, a.Ticket, schema.Ending_ENDING_WITHDRAWN)
		return v
	}
	n.contents.began(from, a.Ticket, a.Content, v.Target, time.Duration(a.LeftMs)*time.Millisecond)
	return v
}

// done takes the end of a request that this VM decided on.
func (n *Node) done(from coord.VMID, d *schema.Done) {
	if d.Ending != schema.Ending_ENDING_FIRST_EVENT {
		n.quotas.ended(from, d.Ticket, !notRun[d.Ending])
		n.contents.ended(from, d.Ticket, d.Ending)
	}
	if d.Plain {
		n.lines.done(from, d)
		return
	}
	n.schedules.done(from, d)
}

// placeAlone decides on a request without a verdict, within this VM's part of the team's
// quota.
func (n *Node) placeAlone(r *gateway.AdmitRequest) gateway.Decision {
	if reason, retry := n.contents.alone(r.Content); reason != "" {
		return refused(r, reason, retry)
	}
	if !n.quotas.alone(r) {
		v := refused(r, reasonQuota, alonePause)
		v.OverQuota = true
		return v
	}
	if r.Plain {
		return gateway.Decision{Service: r.Service, DecidedBy: n.settings.Vm.Id, Ticket: n.tickets.Add(1), LocalChoice: true, DecidedAt: n.now()}
	}
	v := n.lastKnown(r)
	if v.Target != "" {
		(*admission)(n).ChosenLocally(r, v)
	}
	return v
}

// alonePause is when to come back to a VM whose part of a quota is used up: the next VM is
// asked for verdicts within a second or two, and callers reach another VM as a rule.
const alonePause = 500 * time.Millisecond
