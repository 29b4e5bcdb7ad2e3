package quota

import "time"

// Times of a reserve.
const (
	// fullShareFor is how long a VM that the ledger does not answer counts on a whole
	// share: the ledger's VM counts a silent VM as part of the fleet for longer.
	fullShareFor = 10 * time.Second
	// regain is the part of what a reserve may hold that it regains in a window while the
	// ledger answers. It begins with nothing: else a fleet whose VMs start anew again and again
	// would gain by that.
	regain = 0.5
)

// Reserve is the account of one VM for when the ledger does not answer.
type Reserve struct {
	accounts
	vms int
	// noticed is the silence after which the ledger's VM takes this one for away.
	noticed time.Duration
	// alone is since when the ledger does not answer, while phase is not answered.
	alone time.Time
	phase phase
}

// phase of a VM and its ledger.
type phase int

const (
	answered phase = iota
	// unnoticed: the ledger still hands out this VM's share.
	unnoticed
	// away: the ledger counts this VM as part of the fleet, and as silent.
	away
	// forgotten: the ledger may count without this VM.
	forgotten
)

// NewReserve returns the reserve of a VM that does not know its fleet yet: it holds nothing.
func NewReserve(room Tolerance) *Reserve {
	r := &Reserve{accounts: newAccounts(room)}
	r.accounts.terms = r.terms
	return r
}

// SetFleetSize says how many VMs share the limits, 0 if it is not known, and after which silence the
// ledger's VM takes one of them for away.
func (r *Reserve) SetFleetSize(now time.Time, vms int, noticed time.Duration) {
	if vms != r.vms || noticed != r.noticed {
		r.vms, r.noticed = vms, noticed
		r.configure(now)
	}
}

// SetDisconnected says whether the ledger is silent.
func (r *Reserve) SetDisconnected(now time.Time, alone bool) {
	if alone && r.phase == answered {
		r.alone = now
	}
	if next := r.phaseAt(now, alone); next != r.phase {
		r.phase = next
		r.configure(now)
	}
}

func (r *Reserve) phaseAt(now time.Time, alone bool) phase {
	switch silent := now.Sub(r.alone); {
	case !alone:
		return answered
	case silent < r.noticed:
		return unnoticed
	case silent <= fullShareFor:
		return away
	default:
		return forgotten
	}
}

func (r *Reserve) terms(limit Limit) (rate, holds float64) {
	if r.vms == 0 {
		return 0, 0
	}
	n := float64(r.vms)
	holds = r.room.reservesHold(limit) / n
	share := r.room.perSecond(limit) / n
	switch r.phase {
	case answered:
		return regain * holds / r.room.Window.Seconds(), holds
	case unnoticed:
		return share * r.room.beforeNoticed(r.noticed), holds
	case away:
		return share, holds
	default:
		return share * r.room.parts().late, holds
	}
}

// Charge charges a request of a team while the ledger is silent. chance is drawn evenly from 0
// to 1: where less is left than the request costs, it is let through as often as that is a
// part of the cost, and nothing is left either way. In a large fleet one VM's part of a small
// team's limit is a small part of one request.
func (r *Reserve) Charge(now time.Time, team string, cost, chance float64) bool {
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
