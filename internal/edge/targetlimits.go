package edge

import (
	"sync"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// targetLimits holds the limits of one kind that targets announce. The leader places requests within
// them; the VMs that receive answers report the limits in them to it. The other VMs keep a copy for
// when they become the leader or there is none. Lock order: applyMu, then schedulers.mu or queues.mu,
// then mu.
type targetLimits struct {
	node *Node
	kind limitKind

	// applyMu makes changes reach the schedulers and queues in order.
	applyMu sync.Mutex
	mu      sync.Mutex
	table   *ratelimit.Table
	// share is the share of the fleet that is responsive to this VM.
	share float64
}

// broadcastBelow is the ratio to the previous limit below which a lower limit is sent to all VMs at
// once. The leader is notified of every change. It sends the other VMs a limit that has ended, and
// one above 1/broadcastBelow of the previous limit.
const broadcastBelow = 0.75

func newTargetLimits(n *Node, kind limitKind) *targetLimits {
	return &targetLimits{node: n, kind: kind, table: ratelimit.NewTable(n.tickets.Load()), share: 1}
}

// observeAnswer applies the limit of an answer to this VM. d is the decision under which the
// answered request was sent; nil if it is unknown or there was none. A new or lower limit is in
// force here at once. A higher or ended limit is reported to the VM that made the decision, which
// can tell whether the answer is more recent than the known limit.
func (rl *targetLimits) observeAnswer(target string, limit fleet.RateLimit, d *gateway.Decision) {
	var placedUnder ratelimit.Limit
	if d != nil {
		placedUnder = rl.kind.placedUnder(d)
	}
	unreadable := limit.Present && limit.PerSecond == fleet.InvalidRate
	if unreadable || !limit.Present && placedUnder.Stamp == 0 {
		return
	}
	m := &schema.RateLimit{Target: target, PerSecond: limit.PerSecond, Ended: !limit.Present, Kind: rl.kind.id}
	if limit.Present && rl.observeLimit(target, limit.PerSecond) {
		rl.broadcast(m)
		return
	}
	if d == nil || limit.Present && placedUnder.Stamp != 0 && placedUnder.PerSecond == limit.PerSecond {
		return
	}
	m.Stamp = placedUnder.Stamp
	if coord.VMID(d.DecidedBy) == coord.VMID(rl.node.settings.Vm.Id) {
		rl.handleReport(coord.VMID(d.DecidedBy), m)
		return
	}
	go rl.node.notify(coord.VMID(d.DecidedBy), rateLimitsCall(m))
}

// observeLimit applies a limit if it is new or lower than the known one. It reports whether all VMs
// are to be notified.
func (rl *targetLimits) observeLimit(target string, perSecond float64) (notifyAll bool) {
	rl.mu.Lock()
	before := rl.table.Limit(target)
	changed := rl.table.ObserveLimit(rl.node.now(), target, perSecond, 0)
	rl.mu.Unlock()
	if !changed {
		return false
	}
	rl.kind.logAnnounced(rl.node.log, target, perSecond)
	rl.apply()
	return before.Stamp == 0 || perSecond < broadcastBelow*before.PerSecond
}

// handleReport applies a limit that another VM reported, or that this VM saw in the answer to a
// request under its own decision. A limit in force (InForce) is accepted only from the leader.
func (rl *targetLimits) handleReport(from coord.VMID, m *schema.RateLimit) {
	leading := rl.node.isLeader()
	now := rl.node.now()
	rl.mu.Lock()
	before := rl.table.Limit(m.Target)
	changed := false
	switch {
	case m.InForce && (leading || from != *rl.node.leader.Load()):
	case m.InForce:
		rl.table.ApplyUpdate(now, m.Target, m.PerSecond, m.Ended)
		changed = true
	case m.Ended:
		changed = rl.table.ObserveNoLimit(m.Target, m.Stamp)
	default:
		changed = rl.table.ObserveLimit(now, m.Target, m.PerSecond, m.Stamp)
	}
	rl.mu.Unlock()
	if !changed {
		return
	}
	if !m.InForce {
		rl.logChange(m)
	}
	rl.apply()
	if leading && (m.Ended || m.PerSecond > before.PerSecond/broadcastBelow) && before.Stamp != 0 {
		rl.broadcast(&schema.RateLimit{Target: m.Target, PerSecond: m.PerSecond, Ended: m.Ended, InForce: true, Kind: rl.kind.id})
	}
}

func (rl *targetLimits) logChange(m *schema.RateLimit) {
	if m.Ended {
		rl.kind.logEnded(rl.node.log, m.Target)
		return
	}
	rl.kind.logAnnounced(rl.node.log, m.Target, m.PerSecond)
}

// apply passes the limits to the schedulers and queues.
func (rl *targetLimits) apply() {
	rl.applyMu.Lock()
	defer rl.applyMu.Unlock()
	rates, share := rl.current()
	rl.kind.apply(rl.node, rates, share)
}

// current returns the limits in force, per second by target, and the share of the fleet
// that is responsive to this VM.
func (rl *targetLimits) current() (rates map[string]float64, share float64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Rates(), rl.share
}

// tick updates the responsive share of the fleet and drops the limits of removed targets.
func (rl *targetLimits) tick(share float64) {
	d := rl.node.feed.Directory()
	rl.mu.Lock()
	changed := rl.share != share && !rl.table.Empty()
	rl.share = share
	rl.table.Retain(func(id string) bool { return !d.Removed[id] })
	rl.mu.Unlock()
	if changed {
		rl.apply()
	}
}

// sendLimitsTo sends all limits to a VM that has started or is responsive again.
func (rl *targetLimits) sendLimitsTo(vm coord.VMID) {
	rates, _ := rl.current()
	if len(rates) == 0 {
		return
	}
	var all []*schema.RateLimit
	for id, rate := range rates {
		all = append(all, &schema.RateLimit{Target: id, PerSecond: rate, Kind: rl.kind.id})
	}
	go rl.node.notify(vm, rateLimitsCall(all...))
}

func (rl *targetLimits) broadcast(m *schema.RateLimit) {
	call := rateLimitsCall(m)
	for _, vm := range rl.node.livePeers() {
		go rl.node.notify(vm, call)
	}
}

func rateLimitsCall(limits ...*schema.RateLimit) *schema.Call {
	return &schema.Call{Body: &schema.Call_RateLimits{RateLimits: &schema.RateLimits{Limits: limits}}}
}

// Limit returns a target's limit as far as this VM knows.
func (rl *targetLimits) Limit(target string) ratelimit.Limit {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Limit(target)
}

// Limited lists the targets that have a limit.
func (rl *targetLimits) Limited() []string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Targets()
}
