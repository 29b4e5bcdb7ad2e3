// Package quota bounds what each team's requests cost over a whole fleet, without shared
// state.
//
// The deployment gives a team a rate and a burst, and room beyond them: in any window of W
// seconds the fleet may run L x (1 + over) + slack with L = rate x W + burst, also while VMs are
// cut off from each other, stand still or start anew. What is refused below is lost for the
// callers. So one VM, the one that is asked for targets, keeps an exact account of all teams
// (Ledger). A VM that it does not answer lives on a small account of its own (Reserve). Both
// are buckets that fill with a part of L / W a second (see parts):
//
//   - the ledger with the part of the fleet that it hears;
//   - the reserve of one of n VMs with 1/n, from when the ledger is silent, and with less
//     of that once the ledger's VM may have forgotten this one.
//
// A bucket that fills by the rate alone and holds the burst would refuse a team that goes on
// at the rate and an eighth of its burst a second, which the deployment allows: 207 requests
// of 11,000 on a played day. So the burst is spread over the window, and what may come at once
// is a part of the room. With a room of 0.25 the buckets fill with 0.97 of L / W, which leaves
// 0.28 of L:
//
//	what the ledger holds                                            0.08 of L
//	what reserves hold, over all VMs, and regain within two windows  0.03
//	shares counted twice until the ledger notices that VMs are silent,
//	a third of the fleet for 2.1 s of 8                              0.09
//	VMs that the ledger's VM has forgotten                           0.08
//
// and half of slack for the first, a fifth for the second. Another room is shared out in the
// same parts. Slack has to cover some requests: each account lends a part of one. A ledger that
// begins is empty: it owes nothing for what the one before gave, and fills faster than teams ask
// that stay within their limit.
//
// What is not bounded by this: a ledger's VM that is cut off with a minority hands out its whole
// share to that minority until it notices, while another may act already. Where the window is hardly
// longer than that takes (3 s and 2.1 s), a room of 0.05 is too small for it.
//
// Two other ways were compared (TestWays): a share of 1/n for each VM and nothing else, and
// shares by what VMs told each other of their teams' demand.
//
// The types have no clock and do no I/O, and are not safe for concurrent use.
package quota

import (
	"time"
)

// Limit of one team, in units.
type Limit struct {
	// PerSecond is the rate and Burst what may come at once; PerSecond 0: no limit.
	PerSecond, Burst float64
}

// Tolerance is what the deployment allows beyond a limit.
type Tolerance struct {
	Window time.Duration
	// ExcessRatio is a part of the limit, Slack so many units on top.
	ExcessRatio, Slack float64
}

// How a room is shared out.
const (
	// keptBack of what a team may run in a window is not handed out over the window.
	keptBack = 0.03
	// leastSpare of the limit is there for all that goes beyond handing out evenly, also where
	// the deployment allows nothing over: accounts that held nothing would let nothing run.
	leastSpare = 0.10
	// ledgerOfSpare and reserveOfSpare may come at once, and cutoverOfSpare be handed out twice
	// while the ledger has not noticed that VMs are silent.
	ledgerOfSpare  = 0.286
	reserveOfSpare = 0.107
	cutoverOfSpare = 0.32
	// lateOfSpare is the share of VMs that the ledger's VM may have forgotten: 0.2 of theirs
	// with a room of 0.25.
	lateOfSpare  = 0.715
	ledgerSlack  = 0.5
	reserveSlack = 0.2
	// cutPart of a fleet is reckoned with as cut off from a ledger that acts. For more of it, up
	// to a half, the room of forgotten VMs is there: the two do not come together.
	cutPart = 1.0 / 3
)

// parts are what a room allows, each of what a team may run in a window.
type parts struct {
	// fill is handed out over a window, ledger and reserves are there at once.
	fill, ledger, reserves float64
	// cutover is what may be handed out twice.
	cutover float64
	// late is the part of its share that a VM gets which may be forgotten.
	late float64
}

func (r Tolerance) parts() parts {
	spare := max(r.ExcessRatio+keptBack, leastSpare)
	return parts{
		fill:   1 + r.ExcessRatio - spare,
		ledger: ledgerOfSpare * spare, reserves: reserveOfSpare * spare,
		cutover: cutoverOfSpare * spare, late: min(lateOfSpare*spare, 1),
	}
}

// perWindow is what a team may run in a window, in units.
func (r Tolerance) perWindow(l Limit) float64 { return l.PerSecond*r.Window.Seconds() + l.Burst }

// perSecond is how fast an account of the whole fleet fills.
func (r Tolerance) perSecond(l Limit) float64 {
	return r.parts().fill * r.perWindow(l) / r.Window.Seconds()
}

// ledgerHolds is what a team may run at once by the ledger, and reservesHold what it may by all
// reserves together.
func (r Tolerance) ledgerHolds(l Limit) float64 {
	return r.parts().ledger*r.perWindow(l) + ledgerSlack*r.Slack
}

func (r Tolerance) reservesHold(l Limit) float64 {
	return r.parts().reserves*r.perWindow(l) + reserveSlack*r.Slack
}

// beforeNoticed is the part of its share that a VM may use while the ledger has not noticed yet
// that it is silent, which takes it the given time.
func (r Tolerance) beforeNoticed(noticed time.Duration) float64 {
	p := r.parts()
	twice := p.fill * cutPart * min(noticed.Seconds()/r.Window.Seconds(), 1)
	return min(p.cutover/max(twice, p.cutover), 1)
}

// bucket is one team's account: tokens as of at.
type bucket struct {
	tokens float64
	at     time.Time
	// rate and cap are in force since at.
	rate, cap float64
	// promised is what callers who were told to come back will take.
	promised float64
}

// fill brings a bucket forward.
func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		gained := d * b.rate
		b.tokens = min(b.tokens+gained, b.cap)
		b.promised = max(b.promised-gained, 0)
		b.at = now
	}
}

// set changes the rate and what it may hold.
func (b *bucket) set(now time.Time, rate, cap float64) {
	b.fill(now)
	b.rate, b.cap = rate, cap
	b.tokens = min(b.tokens, cap)
}

// Ledger is the account of all teams at the VM that is asked.
type Ledger struct {
	accounts
	share float64
}

// NewLedger returns a ledger in which each team begins with nothing.
func NewLedger(room Tolerance) *Ledger {
	l := &Ledger{accounts: newAccounts(room), share: 1}
	l.accounts.terms = l.terms
	return l
}

// SetFleetShare says which part of the fleet the ledger hears.
func (l *Ledger) SetFleetShare(now time.Time, share float64) {
	if share == l.share {
		return
	}
	l.share = share
	l.configure(now)
}

func (l *Ledger) terms(limit Limit) (rate, holds float64) {
	return l.share * l.room.perSecond(limit), l.room.ledgerHolds(limit)
}

// Charge charges a request of a team. A team with anything left may take a request that costs
// more: the account is in debt then by less than one request. If it may not, wait is when
// the units are there for this request, those promised to others before it counted in.
func (l *Ledger) Charge(now time.Time, team string, cost float64) (ok bool, wait time.Duration) {
	b := l.teams[team]
	if b == nil {
		return true, 0
	}
	b.fill(now)
	if b.tokens > 0 {
		b.tokens -= cost
		return true, 0
	}
	if b.rate <= 0 {
		return false, maxWait
	}
	wait = time.Duration((b.promised - b.tokens) / b.rate * float64(time.Second))
	if wait > maxWait {
		return false, maxWait // nobody waits for that long: nothing is promised
	}
	b.promised += cost
	return false, max(wait, minWait)
}

// Bounds of what refused callers are told.
const (
	minWait = 20 * time.Millisecond
	maxWait = 5 * time.Second
)

// CancelPromise ends what Take promised to a request that was refused.
func (l *Ledger) CancelPromise(now time.Time, team string, cost float64) {
	if b := l.teams[team]; b != nil {
		b.fill(now)
		b.promised = max(b.promised-cost, 0)
	}
}

// Refund gives back what a request was charged that did not run.
func (l *Ledger) Refund(now time.Time, team string, cost float64) {
	if b := l.teams[team]; b != nil {
		b.fill(now)
		b.tokens = min(b.tokens+cost, b.cap)
	}
}

// Level is how full an account is: 1 when nothing was taken, below 0 in debt.
type Level struct {
	Team  string
	Level float64
}

// Levels lists accounts, for operators.
func (l *Ledger) Levels(now time.Time) []Level {
	out := make([]Level, 0, len(l.teams))
	for name, b := range l.teams {
		b.fill(now)
		out = append(out, Level{Team: name, Level: b.tokens / max(b.cap, 1)})
	}
	return out
}
