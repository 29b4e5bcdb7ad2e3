package edge

import (
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// runningRequests holds the model requests of this VM that were granted a target. Lock order: no
// other lock is acquired while runningRequests.mu is held.
type runningRequests struct {
	now func() time.Time

	mu     sync.Mutex
	grants map[uint64]runningGrant
}

// runningGrant is the grant of one running request.
type runningGrant struct {
	grant    *schema.Grant
	deadline time.Time
	// begunAt is when the first event of the response arrived; zero: it has not.
	begunAt time.Time
}

func newRunningRequests(now func() time.Time) *runningRequests {
	return &runningRequests{now: now, grants: map[uint64]runningGrant{}}
}

func (r *runningRequests) add(a *gateway.AdmitRequest, d gateway.Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grants[d.Ticket] = runningGrant{deadline: a.Deadline, grant: grantMessage(r.now(), a, d)}
}

func grantMessage(now time.Time, a *gateway.AdmitRequest, d gateway.Decision) *schema.Grant {
	return &schema.Grant{
		Ticket: d.Ticket, Service: d.Service, Target: d.Target,
		Model: a.Request.Adapter.Model, Adapter: a.Request.Adapter.Adapter,
		Tokens:         int32(a.Request.PromptTokens + a.Request.OutputTokens),
		AdapterVersion: d.AdapterVersion,
		LeftMs:         a.Deadline.Sub(now).Milliseconds(), Content: a.Content[:], SharedParts: partNames(sharedPartsOf(a)),
	}
}

func partNames(ids []promptpart.ID) (names []string) {
	for _, id := range ids {
		names = append(names, id.Part)
	}
	return names
}

func grantedParts(g *schema.Grant) (ids []promptpart.ID) {
	for _, part := range g.SharedParts {
		ids = append(ids, promptpart.ID{Service: g.Service, Part: part})
	}
	return ids
}

// begin records that the first event of a response has arrived, and returns the grant; nil: it is unknown.
func (r *runningRequests) begin(ticket uint64) *schema.Grant {
	r.mu.Lock()
	defer r.mu.Unlock()
	g, running := r.grants[ticket]
	if !running {
		return nil
	}
	g.begunAt = r.now()
	r.grants[ticket] = g
	return g.grant
}

// remove removes a request and returns it; the zero value means that it is unknown.
func (r *runningRequests) remove(ticket uint64) runningGrant {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.grants[ticket]
	delete(r.grants, ticket)
	return g
}

// message returns all grants for a VM that becomes the leader.
func (r *runningRequests) message() *schema.Running {
	r.mu.Lock()
	defer r.mu.Unlock()
	out, now := &schema.Running{Complete: true}, r.now()
	for _, g := range r.grants {
		grant := proto.CloneOf(g.grant) // an earlier message may still be sent
		grant.LeftMs = g.deadline.Sub(now).Milliseconds()
		out.Grants = append(out.Grants, grant)
	}
	return out
}

// reportRunning reports the running requests of this VM to a new leader.
func (n *Node) reportRunning(leader coord.VMID) {
	if leader == "" {
		return
	}
	m := n.running.message()
	if leader == coord.VMID(n.settings.Vm.Id) {
		n.schedulers.adopt(leader, m)
		return
	}
	go n.notify(leader, &schema.Call{Body: &schema.Call_Running{Running: m}})
}

// adopt records the requests that a VM reports as running at targets under decisions of an earlier
// leader.
func (ss *schedulers) adopt(from coord.VMID, m *schema.Running) {
	now := ss.node.now()
	ss.mu.Lock()
	defer ss.mu.Unlock()
	for _, g := range m.Grants {
		ss.node.quarantine.requestStarted(from, g.Ticket, g.Content, g.Target, time.Duration(g.LeftMs)*time.Millisecond, grantedParts(g))
		if sc := ss.services[g.Service]; sc != nil {
			sc.scheduler.Adopt(now, scheduler.AdoptedRun{
				Key: scheduler.Key{VM: from, Ticket: g.Ticket}, Target: g.Target, Ref: coord.AdapterRef{Model: g.Model, Adapter: g.Adapter},
				Version: g.AdapterVersion, Tokens: int(g.Tokens), Deadline: now.Add(time.Duration(g.LeftMs) * time.Millisecond),
			})
		}
	}
	if !m.Complete {
		return
	}
	for _, sc := range ss.services {
		sc.scheduler.RunningReported(now, from)
	}
}
