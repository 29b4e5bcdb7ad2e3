package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/quota"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// reasonQuota is the reason of refusals of teams that are over their quota.
const reasonQuota = "quota"

// quotas charges requests to their teams: at the acting VM in the ledger of the whole fleet,
// at a VM that gets no verdict on its own reserve. Lock order: quotas.mu is taken alone.
type quotas struct {
	node *Node

	mu     sync.Mutex
	room   quota.Tolerance
	limits map[string]quota.Limit
	ledger *quota.Ledger
	// begun is when the ledger began, empty.
	begun   time.Time
	reserve *quota.Reserve
	// charged are the requests that were granted a target and have not ended, waiting those
	// that wait for units; what is closed ends the wait.
	charged map[coord.RequestKey]charge
	waiting map[coord.RequestKey]chan struct{}
	// teams counts what each asked and was refused here.
	teams map[string]*TeamCount
}

type charge struct {
	team    string
	cost    float64
	expires time.Time
}

// TeamCount is what was charged to a team, in its units, and how much of what it asked was
// refused.
type TeamCount struct {
	Charged, Refused float64
}

// maxTeams bounds the teams that are counted one by one.
const maxTeams = 256

// otherTeams is the name under which the others are counted.
const otherTeams = "(others)"

func newQuotas(n *Node, s *schema.EdgeQuota) *quotas {
	room := quota.Tolerance{Window: time.Duration(s.WindowS * float64(time.Second)), ExcessRatio: s.Over, Slack: s.Slack}
	return &quotas{
		node: n, room: room, ledger: quota.NewLedger(room), reserve: quota.NewReserve(room),
		charged: map[coord.RequestKey]charge{}, waiting: map[coord.RequestKey]chan struct{}{}, teams: map[string]*TeamCount{},
	}
}

// apply puts the limits of a changed directory in force.
func (q *quotas) apply(d *feed.Directory) {
	if d.Config == nil {
		return
	}
	limits := map[string]quota.Limit{}
	if d.Config.Teams != nil {
		for _, t := range d.Config.Teams.All {
			limits[t.Name] = quota.Limit{PerSecond: t.Quota.PerSecond, Burst: t.Quota.Burst}
		}
	}
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limits = limits
	q.ledger.SetLimits(now, limits)
	q.reserve.SetLimits(now, limits)
}

// setActing begins an empty ledger when other VMs begin to ask this one: what the one before
// gave is not known here.
func (q *quotas) setActing(acting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if acting {
		q.begun = q.node.now()
		q.ledger = quota.NewLedger(q.room)
		q.ledger.SetLimits(q.begun, q.limits)
		clear(q.charged)
	}
}

// fleetKnown is how long after its start a VM takes the VMs that it knows for all.
const fleetKnown = 300 * time.Millisecond

// tick follows the fleet: which part of it this VM hears, and whether it is answered.
func (q *quotas) tick() {
	n := q.node
	now := n.now()
	n.mu.Lock()
	size, noticed := n.roster.Size(), n.roster.SuspectAfter()
	n.mu.Unlock()
	share := n.heardShare()
	known := size
	if size == 1 || now.Sub(n.began) < fleetKnown {
		known = 0
	}
	alone := n.isAlone()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.SetFleetShare(now, share)
	q.reserve.SetFleetSize(now, known, noticed)
	q.reserve.SetDisconnected(now, alone)
	for key, c := range q.charged {
		if now.After(c.expires) {
			delete(q.charged, key)
		}
	}
}

// heardShare is the part of the fleet that this VM hears.
func (n *Node) heardShare() float64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return float64(n.roster.ResponsiveCount()) / float64(n.roster.Size())
}

// acts reports whether other VMs ask this one.
func (n *Node) acts() bool { return *n.acting.Load() == coord.VMID(n.settings.Vm.Id) }

// isAlone reports whether nobody answers this VM's questions.
func (n *Node) isAlone() bool {
	return *n.acting.Load() == "" || !n.acts() && n.silence.isQuiet()
}

// emptyTime is how long after its beginning a ledger lets requests wait: it is empty then, and
// callers come back all at once after a loss of all VMs, so that what it refuses is mostly
// owed: 499 of 620 requests in its first 0.5 s on a played day with 72 VMs. Later, a request of
// a team that asks for too much would only wait in vain before the others.
const emptyTime = time.Second

// admit charges a request that other VMs, or this one, put to this VM. It returns a refusal if
// its team is over its quota. While the ledger is new a request waits until its units are
// there, if they are in time.
func (q *quotas) admit(ctx context.Context, from coord.VMID, a *schema.Admit) *schema.Verdict {
	if a.Team == "" || a.Cost <= 0 {
		return nil
	}
	key := coord.RequestKey{VM: from, Ticket: a.Ticket}
	until := q.node.now().Add(time.Duration(a.LeftMs) * time.Millisecond)
	for {
		ok, wait := q.charge(key, a)
		if ok {
			return nil
		}
		left := q.wait(key, until, wait)
		if left == nil {
			q.refused(a)
			return &schema.Verdict{Reason: reasonQuota, RetryAfterMs: wait.Milliseconds(), OverQuota: true}
		}
		select {
		case <-ctx.Done():
		case <-left:
		case <-time.After(wait):
		}
		if !q.resume(key, a) || ctx.Err() != nil {
			return refusal("verdict_timeout", unknownPause)
		}
		if !q.node.acts() {
			return refusal(scheduler.ReasonNotLeader, 0)
		}
	}
}

// wait lets a request that is to be served before until wait so long. left is closed when it
// ends before; nil: it does not wait.
func (q *quotas) wait(key coord.RequestKey, until time.Time, wait time.Duration) (left chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	due := q.node.now().Add(wait)
	if !due.Before(until) || !due.Before(q.begun.Add(emptyTime)) {
		return nil
	}
	left = make(chan struct{})
	q.waiting[key] = left
	return left
}

// resume ends the wait of a request and the promise of its units, which it takes now if it
// is still there.
func (q *quotas) resume(key coord.RequestKey, a *schema.Admit) (there bool) {
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ledger.CancelPromise(now, a.Team, a.Cost)
	_, there = q.waiting[key]
	delete(q.waiting, key)
	return there
}

// charge takes a request's units from the ledger, or says when they are there.
func (q *quotas) charge(key coord.RequestKey, a *schema.Admit) (ok bool, wait time.Duration) {
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	if ok, wait = q.ledger.Charge(now, a.Team, a.Cost); !ok {
		return false, wait
	}
	q.count(a.Team, a.Cost, true)
	q.charged[key] = charge{
		team: a.Team, cost: a.Cost, expires: now.Add(time.Duration(a.LeftMs)*time.Millisecond + chargeGrace),
	}
	return true, 0
}

func (q *quotas) refused(a *schema.Admit) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count(a.Team, a.Cost, false)
}

// chargeGrace is how long after its deadline a charge without an end is remembered.
const chargeGrace = time.Second

// ended takes the end of a request; what did not run is given back.
func (q *quotas) ended(from coord.VMID, ticket uint64, ran bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := coord.RequestKey{VM: from, Ticket: ticket}
	if left := q.waiting[key]; left != nil {
		delete(q.waiting, key)
		close(left)
	}
	c, held := q.charged[key]
	if !held {
		return
	}
	delete(q.charged, key)
	if !ran {
		q.ledger.Refund(q.node.now(), c.team, c.cost)
	}
}

// alone charges a request that nobody gave a verdict on. It reports whether it may go.
func (q *quotas) alone(r *gateway.AdmitRequest) bool {
	if r.Team == "" || r.Cost <= 0 {
		return true
	}
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.reserve.SetDisconnected(now, true)
	ok := q.reserve.Charge(now, r.Team, r.Cost, rand.Float64())
	q.count(r.Team, r.Cost, ok)
	return ok
}

func (q *quotas) count(team string, cost float64, ok bool) {
	c := q.teams[team]
	if c == nil {
		if len(q.teams) >= maxTeams {
			team = otherTeams
		}
		if c = q.teams[team]; c == nil {
			c = &TeamCount{}
			q.teams[team] = c
		}
	}
	if ok {
		c.Charged += cost
	} else {
		c.Refused += cost
	}
}

// TeamAccount is one team's account, for operators.
type TeamAccount struct {
	TeamCount
	// Level is how full its account at this VM is: 1 when nothing was taken.
	Level float64
}

// rows lists the accounts of teams at this VM.
func (q *quotas) rows() map[string]TeamAccount {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]TeamAccount, len(q.teams))
	for name, c := range q.teams {
		out[name] = TeamAccount{TeamCount: *c}
	}
	for _, l := range q.ledger.Levels(q.node.now()) {
		if row, counted := out[l.Team]; counted {
			row.Level = l.Level
			out[l.Team] = row
		}
	}
	return out
}
