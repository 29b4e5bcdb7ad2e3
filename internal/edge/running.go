package edge

import (
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// running is the model requests of this VM that were granted a target. Lock order:
// running.mu is taken alone.
type running struct {
	now func() time.Time

	mu     sync.Mutex
	grants map[uint64]runningGrant
}

// runningGrant is one of them.
type runningGrant struct {
	grant    *schema.Grant
	deadline time.Time
}

func newRunning(now func() time.Time) *running {
	return &running{now: now, grants: map[uint64]runningGrant{}}
}

func (r *running) add(a *gateway.AdmitRequest, v gateway.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants[v.Ticket] = runningGrant{deadline: a.Deadline, grant: grantMessage(r.now(), a, v)}
}

func grantMessage(now time.Time, a *gateway.AdmitRequest, v gateway.Decision) *schema.Grant {
	return &schema.Grant{
		Ticket: v.Ticket, Service: v.Service, Target: v.Target,
		Model: a.Request.Adapter.Model, Adapter: a.Request.Adapter.Adapter,
		Tokens: int32(a.Request.PromptTokens + a.Request.OutputTokens),
		LeftMs: a.Deadline.Sub(now).Milliseconds(), Content: a.Content[:],
	}
}

func (r *running) remove(ticket uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.grants, ticket)
}

// message lists them for a VM that begins to schedule.
func (r *running) message() *schema.Running {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, now := &schema.Running{Complete: true}, r.now()
	for _, g := range r.grants {
		g.grant.LeftMs = g.deadline.Sub(now).Milliseconds()
		out.Grants = append(out.Grants, g.grant)
	}
	return out
}

// tellRunning tells the VM that is asked from now on what runs.
func (n *Node) tellRunning(acting coord.VMID) {
	if acting == "" {
		return
	}
	m := n.running.message()
	if acting == coord.VMID(n.settings.Vm.Id) {
		n.schedules.adopt(acting, m)
		return
	}
	go n.tell(acting, &schema.Call{Body: &schema.Call_Running{Running: m}})
}

// adopt takes what runs at targets on the word of an earlier scheduler.
func (ss *schedules) adopt(from coord.VMID, m *schema.Running) {
	now := ss.node.now()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, g := range m.Grants {
		ss.node.contents.began(from, g.Ticket, g.Content, g.Target, time.Duration(g.LeftMs)*time.Millisecond)
		if sc := ss.services[g.Service]; sc != nil {
			sc.s.Adopt(now, scheduler.Key{VM: from, Ticket: g.Ticket}, g.Target,
				coord.AdapterRef{Model: g.Model, Adapter: g.Adapter}, int(g.Tokens),
				now.Add(time.Duration(g.LeftMs)*time.Millisecond))
		}
	}
	if !m.Complete {
		return
	}
	for _, sc := range ss.services {
		sc.s.RunningReported(now, from)
	}
}
