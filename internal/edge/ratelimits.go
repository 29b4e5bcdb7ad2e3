package edge

import (
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/coord/servicequeue"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// rateLimits knows which targets limit the rate of their requests. The VM that is asked for targets
// paces the requests; it hears what answers say from the VMs that got them. The others keep a copy for
// when they are asked, or nobody is. Lock order: applying, then schedules.mu or lines.mu, then mu.
type rateLimits struct {
	node *Node

	// applying makes changes reach the schedulers and lines in order.
	applying sync.Mutex
	mu       sync.Mutex
	table    *ratelimit.Table
	// share is the part of the fleet that this VM hears.
	share float64
}

// retellBelow is the part of a limit that a lower one must be below for all VMs to be told at once; the
// VM that paces is told of each.
const retellBelow = 0.75

func newRateLimits(n *Node) *rateLimits {
	return &rateLimits{node: n, table: ratelimit.NewTable(n.tickets.Load()), share: 1}
}

// heard takes what an answer to this VM says of its target's limit. v is the verdict on which the
// answered request was sent; nil: it is not known, or was none.
func (rl *rateLimits) heard(target string, limit fleet.RateLimit, v *gateway.Decision) {
	unreadable := limit.Present && limit.PerSecond == fleet.InvalidRate
	if unreadable || !limit.Present && (v == nil || v.RateLimit.Stamp == 0) {
		return
	}
	m := &schema.RateLimit{Target: target, PerSecond: limit.PerSecond, Ended: !limit.Present}
	if limit.Present && rl.lowered(target, limit.PerSecond) {
		rl.tellAll(m)
		return
	}
	if v == nil || limit.Present && v.RateLimit.Stamp != 0 && v.RateLimit.PerSecond == limit.PerSecond {
		return
	}
	m.Stamp = v.RateLimit.Stamp
	if coord.VMID(v.DecidedBy) == coord.VMID(rl.node.settings.Vm.Id) {
		rl.take(coord.VMID(v.DecidedBy), m)
		return
	}
	go rl.node.tell(coord.VMID(v.DecidedBy), rateLimitsCall(m))
}

// lowered takes a limit that is new or lower than the known one. It reports whether all VMs are to be
// told.
func (rl *rateLimits) lowered(target string, perSecond float64) (tell bool) {
	rl.mu.Lock()
	before := rl.table.Limit(target)
	changed := rl.table.ObserveLimit(rl.node.now(), target, perSecond, 0)
	rl.mu.Unlock()
	if !changed {
		return false
	}
	rl.node.log.RateLimitAnnounced(target, perSecond)
	rl.apply()
	return before.Stamp == 0 || perSecond < retellBelow*before.PerSecond
}

// take takes what another VM heard, or this one in an answer to a request that it placed.
func (rl *rateLimits) take(from coord.VMID, m *schema.RateLimit) {
	acts := rl.node.acts()
	now := rl.node.now()
	rl.mu.Lock()
	before := rl.table.Limit(m.Target)
	changed := false
	switch {
	case m.InForce && (acts || from != *rl.node.acting.Load()):
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
	if acts && (m.Ended || m.PerSecond > before.PerSecond/retellBelow) && before.Stamp != 0 {
		rl.tellAll(&schema.RateLimit{Target: m.Target, PerSecond: m.PerSecond, Ended: m.Ended, InForce: true})
	}
}

func (rl *rateLimits) logChange(m *schema.RateLimit) {
	if m.Ended {
		rl.node.log.RateLimitEnded(m.Target)
		return
	}
	rl.node.log.RateLimitAnnounced(m.Target, m.PerSecond)
}

// apply carries the limits to the schedulers and lines.
func (rl *rateLimits) apply() {
	rl.applying.Lock()
	defer rl.applying.Unlock()
	rates, share := rl.current()
	rl.node.schedules.setRates(rates, share)
	rl.node.lines.setRates(rates, share)
}

// current returns the limits in force and this VM's share of them.
func (rl *rateLimits) current() (rates map[string]float64, share float64) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Rates(), rl.share
}

// tick follows the fleet, and forgets targets that are gone.
func (rl *rateLimits) tick(share float64) {
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

// tellTo tells a VM that has started, or is heard again, of all limits.
func (rl *rateLimits) tellTo(vm coord.VMID) {
	rates, _ := rl.current()
	if len(rates) == 0 {
		return
	}
	var all []*schema.RateLimit
	for id, rate := range rates {
		all = append(all, &schema.RateLimit{Target: id, PerSecond: rate})
	}
	go rl.node.tell(vm, rateLimitsCall(all...))
}

func (rl *rateLimits) tellAll(m *schema.RateLimit) {
	call := rateLimitsCall(m)
	for _, vm := range rl.node.others() {
		go rl.node.tell(vm, call)
	}
}

func rateLimitsCall(limits ...*schema.RateLimit) *schema.Call {
	return &schema.Call{Body: &schema.Call_RateLimits{RateLimits: &schema.RateLimits{Limits: limits}}}
}

// Limit implements gateway.RateLimits.
func (rl *rateLimits) Limit(target string) ratelimit.Limit {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Limit(target)
}

// Limited implements gateway.RateLimits.
func (rl *rateLimits) Limited() []string {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.table.Targets()
}

// setRates replaces the limits of targets.
func (ss *schedules) setRates(rates map[string]float64, share float64) {
	ss.each(func(sc *schedule, now time.Time) []scheduler.Action { return sc.s.SetRates(now, rates, share) })
}

// setRates replaces the limits of targets.
func (ls *lines) setRates(rates map[string]float64, share float64) {
	ls.each(func(pl *plainLine, now time.Time) []servicequeue.Action { return pl.l.SetRates(now, rates, share) })
}
