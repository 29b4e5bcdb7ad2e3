// Package quota bounds the cost of each team's requests over a whole fleet, without shared state.
//
// The deployment gives a team a rate and a burst, and a tolerance beyond them: in any window of W
// seconds the fleet may run L x (1 + excess ratio) + slack with L = rate x W + burst, also while
// VMs are partitioned, suspended or restarting. Requests that are refused below this bound are lost
// for their callers. Therefore one VM, the leader, keeps an exact account of all teams (Ledger). A
// VM that gets no response from the leader uses a small account of its own (Reserve). Both consist
// of token buckets that fill with a part of L / W per second (see allocation):
//
//   - the ledger with the share of the fleet from which the leader receives heartbeats;
//   - the reserve of one of n VMs with 1/n from the time when the ledger stops responding, and with
//     less once the leader may have removed this VM from the fleet.
//
// A bucket that fills with the rate alone and holds the burst would refuse a team that continuously
// uses the rate and an eighth of its burst per second, although the deployment allows this: it
// refused 207 of 11,000 requests of a simulated load. Therefore the burst is spread over the window,
// and only a part of the tolerance may be spent at once. With an excess ratio of 0.25 the buckets
// fill with 0.97 of L / W, which leaves 0.28 of L:
//
//	capacity of the ledger                                           0.08 of L
//	capacity of all reserves, and their refill within two windows    0.03
//	shares counted twice until the leader detects that VMs are
//	unresponsive, a third of the fleet for 2.1 s of 8                0.09
//	VMs that the leader has removed from the fleet                   0.08
//
// The first has half of the slack in addition, the second a fifth. Other tolerances are divided in
// the same proportions. Slack has to cover some requests, because each account may go into debt by
// a part of one. A new ledger is empty: it need not account for the grants of the previous one, and
// it fills faster than teams within their limits send requests.
//
// One case is not bounded: a leader that is cut off with a minority hands out its whole share to
// that minority until it detects the partition, while another leader may already be active. Where
// the window is hardly longer than the detection (3 s and 2.1 s), an excess ratio of 0.05 is too
// small for this.
//
// TestCompareStrategies compares two alternatives: only a share of 1/n for each VM, and shares in
// proportion to the demand of teams that VMs report to each other.
//
// The types have no clock and do no I/O, and are not safe for concurrent use.
package quota

import (
	"time"
)

// Limit is the limit of one team, in units.
type Limit struct {
	// PerSecond is the rate; 0 means no limit. Burst is the number of units that may be spent at
	// once.
	PerSecond, Burst float64
}

// Tolerance is what the deployment allows beyond a limit in any window.
type Tolerance struct {
	Window time.Duration
	// ExcessRatio is a fraction of the limit, Slack a number of units in addition.
	ExcessRatio, Slack float64
}

// Ratios by which a tolerance is divided.
const (
	// unallocatedRatio is the fraction of what a team may run in a window that the buckets do not
	// gain over the window.
	unallocatedRatio = 0.03
	// minSpareRatio is the minimum fraction of the limit that is kept for everything beyond the
	// even refill, even if the deployment tolerates no excess: accounts without capacity would let
	// nothing run.
	minSpareRatio = 0.10
	// ledgerSpareRatio and reserveSpareRatio are the fractions of the spare that the ledger and all
	// reserves may spend at once. doubleCountSpareRatio is the fraction that may be handed out
	// twice until the leader detects that VMs are unresponsive.
	ledgerSpareRatio      = 0.286
	reserveSpareRatio     = 0.107
	doubleCountSpareRatio = 0.32
	// removedSpareRatio determines which fraction of its share a VM gets if the leader may have
	// removed it from the fleet: 0.2 with an excess ratio of 0.25. ledgerSlackRatio and
	// reserveSlackRatio are the fractions of the slack that the ledger and all reserves may spend
	// at once.
	removedSpareRatio = 0.715
	ledgerSlackRatio  = 0.5
	reserveSlackRatio = 0.2
	// partitionedShare is the share of a fleet that is assumed to be cut off from an active leader.
	// For a larger share, up to a half, the spare of the removed VMs is available, since both are
	// never needed at once.
	partitionedShare = 1.0 / 3
)

// allocation is the division of a tolerance, in fractions of unitsPerWindow.
type allocation struct {
	// fill is gained over a window. ledger and reserves may be spent at once.
	fill, ledger, reserves float64
	// doubleCount may be handed out twice.
	doubleCount float64
	// removedShare is the fraction of its share that a VM gets if the leader may have removed it.
	removedShare float64
}

func (t Tolerance) allocation() allocation {
	spare := max(t.ExcessRatio+unallocatedRatio, minSpareRatio)
	return allocation{
		fill:   1 + t.ExcessRatio - spare,
		ledger: ledgerSpareRatio * spare, reserves: reserveSpareRatio * spare,
		doubleCount: doubleCountSpareRatio * spare, removedShare: min(removedSpareRatio*spare, 1),
	}
}

// unitsPerWindow returns the units that a team may run in a window, without the tolerance.
func (t Tolerance) unitsPerWindow(l Limit) float64 { return l.PerSecond*t.Window.Seconds() + l.Burst }

// fillRate returns the fill rate of an account of the whole fleet, in units per second.
func (t Tolerance) fillRate(l Limit) float64 {
	return t.allocation().fill * t.unitsPerWindow(l) / t.Window.Seconds()
}

// ledgerCapacity returns the units that a team may spend at once through the ledger,
// totalReserveCapacity those through all reserves together.
func (t Tolerance) ledgerCapacity(l Limit) float64 {
	return t.allocation().ledger*t.unitsPerWindow(l) + ledgerSlackRatio*t.Slack
}

func (t Tolerance) totalReserveCapacity(l Limit) float64 {
	return t.allocation().reserves*t.unitsPerWindow(l) + reserveSlackRatio*t.Slack
}

// undetectedShare returns the fraction of its share that a VM may use while the leader has not yet
// detected that the VM is unresponsive. The detection takes suspectAfter.
func (t Tolerance) undetectedShare(suspectAfter time.Duration) float64 {
	a := t.allocation()
	doubleCounted := a.fill * partitionedShare * min(suspectAfter.Seconds()/t.Window.Seconds(), 1)
	return min(a.doubleCount/max(doubleCounted, a.doubleCount), 1)
}

// bucket is the token bucket of one team; tokens is its level at updatedAt.
type bucket struct {
	tokens    float64
	updatedAt time.Time
	// rate, in units per second, and capacity have been in force since updatedAt.
	rate, capacity float64
	// promised is the total cost of refused requests that were given a retry delay and are expected
	// back.
	promised float64
}

// refill adds the tokens gained since updatedAt.
func (b *bucket) refill(now time.Time) {
	if d := now.Sub(b.updatedAt).Seconds(); d > 0 {
		gained := d * b.rate
		b.tokens = min(b.tokens+gained, b.capacity)
		b.promised = max(b.promised-gained, 0)
		b.updatedAt = now
	}
}

// configure sets the rate and the capacity.
func (b *bucket) configure(now time.Time, rate, capacity float64) {
	b.refill(now)
	b.rate, b.capacity = rate, capacity
	b.tokens = min(b.tokens, capacity)
}

// Ledger holds the accounts of all teams at the leader.
type Ledger struct {
	accounts
	fleetShare float64
}

// NewLedger returns a Ledger in which each team's account is empty.
func NewLedger(tolerance Tolerance) *Ledger {
	l := &Ledger{accounts: newAccounts(tolerance), fleetShare: 1}
	l.accounts.bucketConfig = l.bucketConfig
	return l
}

// SetFleetShare sets the share of the fleet from which the leader receives heartbeats.
func (l *Ledger) SetFleetShare(now time.Time, share float64) {
	if share == l.fleetShare {
		return
	}
	l.fleetShare = share
	l.configure(now)
}

func (l *Ledger) bucketConfig(limit Limit) (rate, capacity float64) {
	return l.fleetShare * l.tolerance.fillRate(limit), l.tolerance.ledgerCapacity(limit)
}

// Charge charges a request to a team's account. A team with any units left may run a request that
// costs more; its account is then in debt by less than one request. Otherwise wait is the time
// until the units for this request are available, after those promised to earlier requests.
func (l *Ledger) Charge(now time.Time, team string, cost float64) (ok bool, wait time.Duration) {
	b := l.buckets[team]
	if b == nil {
		return true, 0
	}
	b.refill(now)
	if b.tokens > 0 {
		b.tokens -= cost
		return true, 0
	}
	if b.rate <= 0 {
		return false, maxRetryDelay
	}
	wait = time.Duration((b.promised - b.tokens) / b.rate * float64(time.Second))
	if wait > maxRetryDelay {
		return false, maxRetryDelay // callers do not wait that long, so nothing is promised
	}
	b.promised += cost
	return false, max(wait, minRetryDelay)
}

// Bounds of the retry delay of refused callers.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 5 * time.Second
)

// CancelPromise cancels the units that Charge promised to a refused request.
func (l *Ledger) CancelPromise(now time.Time, team string, cost float64) {
	if b := l.buckets[team]; b != nil {
		b.refill(now)
		b.promised = max(b.promised-cost, 0)
	}
}

// Refund returns the units that were charged for a request that did not run.
func (l *Ledger) Refund(now time.Time, team string, cost float64) {
	if b := l.buckets[team]; b != nil {
		b.refill(now)
		b.tokens = min(b.tokens+cost, b.capacity)
	}
}

// Level is the fill level of a team's account: 1 if it is full, below 0 if it is in debt.
type Level struct {
	Team  string
	Level float64
}

// Levels returns the fill level of each account, for operators.
func (l *Ledger) Levels(now time.Time) []Level {
	out := make([]Level, 0, len(l.buckets))
	for name, b := range l.buckets {
		b.refill(now)
		out = append(out, Level{Team: name, Level: b.tokens / max(b.capacity, 1)})
	}
	return out
}
