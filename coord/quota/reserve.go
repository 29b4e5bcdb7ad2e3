package quota

import "time"

// Times of a reserve.
const (
	// fullShareFor is how long a VM that the ledger does not answer counts on its whole
	// share: the ledger's VM counts a silent VM as part of the fleet for longer.
	fullShareFor = 10 * time.Second
	// lateShare is its part after that, small enough for the room beside a ledger that
	// hands out everything.
	lateShare = 0.2
	// regain is the part of what a reserve may hold that it regains in a window while the
	// ledger answers. It begins with nothing: else a fleet whose VMs start anew again and again
	// would gain by that.
	regain = 0.5
)

// Reserve is the account of one VM for when the ledger does not answer.
type Reserve struct {
	accounts
	vms int
	// alone is since when the ledger does not answer; zero: it does.
	alone time.Time
	late  bool
}

// NewReserve returns the reserve of a VM that does not know its fleet yet: it holds nothing.
func NewReserve(room Room) *Reserve { return &Reserve{accounts: newAccounts(room)} }

// SetLimits puts limits in force.
func (r *Reserve) SetLimits(now time.Time, limits map[string]Limit) {
	r.replace(limits)
	r.configure(now)
}

// SetFleet says how many VMs share the limits; 0: it is not known.
func (r *Reserve) SetFleet(now time.Time, vms int) {
	if vms != r.vms {
		r.vms = vms
		r.configure(now)
	}
}

// SetAlone says whether the ledger is silent.
func (r *Reserve) SetAlone(now time.Time, alone bool) {
	switch {
	case !alone && !r.alone.IsZero():
		r.alone, r.late = time.Time{}, false
	case alone && r.alone.IsZero():
		r.alone = now
	case alone && !r.late && now.Sub(r.alone) > fullShareFor:
		r.late = true
	default:
		return
	}
	r.configure(now)
}

func (r *Reserve) configure(now time.Time) {
	r.each(now, func(b *bucket, limit Limit) {
		rate, holds := r.terms(limit)
		b.set(now, rate, holds)
	})
}

// terms are how fast the account of a team with this limit fills, in units a second, and what
// it holds.
func (r *Reserve) terms(limit Limit) (rate, holds float64) {
	if r.vms == 0 {
		return 0, 0
	}
	n := float64(r.vms)
	holds = r.room.reservesHold(limit) / n
	rate = r.room.perSecond(limit) / n
	switch {
	case r.alone.IsZero():
		rate = regain * holds / r.room.Window.Seconds()
	case r.late:
		rate *= lateShare
	}
	return rate, holds
}

// Take charges a request of a team while the ledger is silent. chance is drawn evenly from 0
// to 1: where less is left than the request costs, it is let through as often as that is a
// part of the cost, and nothing is left either way. In a large fleet one VM's part of a small
// team's limit is a small part of one request.
func (r *Reserve) Take(now time.Time, team string, cost, chance float64) bool {
	b := r.teams[team]
	if b == nil {
		return true
	}
	b.fill(now)
	if b.tokens >= cost {
		b.tokens -= cost
		return true
	}
	allowed := chance*cost < b.tokens
	b.tokens = 0
	return allowed
}
