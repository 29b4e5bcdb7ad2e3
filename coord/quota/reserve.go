package quota

import "time"

// Parameters of a reserve.
const (
	// fullShareDuration is how long a VM without a response from the ledger may use a full share:
	// the leader counts an unresponsive VM as part of the fleet for longer.
	fullShareDuration = 10 * time.Second
	// connectedRefillRatio is the fraction of its capacity that a reserve regains in a window while
	// the ledger responds. A new reserve is empty; otherwise a fleet whose VMs restart repeatedly
	// would gain units.
	connectedRefillRatio = 0.5
)

// Reserve is the account that one VM uses when the ledger does not respond.
type Reserve struct {
	accounts
	fleetSize int
	// suspectAfter is the time without a heartbeat after which the leader suspects this VM.
	suspectAfter time.Duration
	// disconnectedAt is when the ledger stopped responding, unless phase is connected.
	disconnectedAt time.Time
	phase          phase
}

// phase is the state of the connection between a VM and the ledger.
type phase int

const (
	connected phase = iota
	// undetected means that the ledger still hands out this VM's share.
	undetected
	// suspected means that the ledger counts this VM as part of the fleet, but as unresponsive.
	suspected
	// removed means that the ledger may no longer count this VM as part of the fleet.
	removed
)

// NewReserve returns the reserve of a VM that does not know the size of its fleet yet. Its capacity
// is 0.
func NewReserve(tolerance Tolerance) *Reserve {
	r := &Reserve{accounts: newAccounts(tolerance)}
	r.accounts.bucketConfig = r.bucketConfig
	return r
}

// SetFleetSize sets the number of VMs that share the limits, 0 if unknown, and the time without a
// heartbeat after which the leader suspects one of them.
func (r *Reserve) SetFleetSize(now time.Time, vms int, suspectAfter time.Duration) {
	if vms != r.fleetSize || suspectAfter != r.suspectAfter {
		r.fleetSize, r.suspectAfter = vms, suspectAfter
		r.configure(now)
	}
}

// SetDisconnected sets whether the ledger does not respond.
func (r *Reserve) SetDisconnected(now time.Time, disconnected bool) {
	if disconnected && r.phase == connected {
		r.disconnectedAt = now
	}
	if next := r.phaseAt(now, disconnected); next != r.phase {
		r.phase = next
		r.configure(now)
	}
}

func (r *Reserve) phaseAt(now time.Time, disconnected bool) phase {
	switch elapsed := now.Sub(r.disconnectedAt); {
	case !disconnected:
		return connected
	case elapsed < r.suspectAfter:
		return undetected
	case elapsed <= fullShareDuration:
		return suspected
	default:
		return removed
	}
}

func (r *Reserve) bucketConfig(limit Limit) (rate, capacity float64) {
	if r.fleetSize == 0 {
		return 0, 0
	}
	n := float64(r.fleetSize)
	capacity = r.tolerance.totalReserveCapacity(limit) / n
	share := r.tolerance.fillRate(limit) / n
	switch r.phase {
	case connected:
		return connectedRefillRatio * capacity / r.tolerance.Window.Seconds(), capacity
	case undetected:
		return share * r.tolerance.undetectedShare(r.suspectAfter), capacity
	case suspected:
		return share, capacity
	default:
		return share * r.tolerance.allocation().removedShare, capacity
	}
}

// Charge charges a request to a team's account while the ledger does not respond. sample is a
// uniform random number from 0 to 1. If fewer tokens are left than the request costs, the request
// is admitted with the probability tokens / cost, and the bucket is empty in either case. This is
// needed in large fleets, where one VM's share of a small team's limit is a fraction of one
// request.
func (r *Reserve) Charge(now time.Time, team string, cost, sample float64) bool {
	b := r.buckets[team]
	if b == nil {
		return true
	}
	b.refill(now)
	if b.tokens >= cost {
		b.tokens -= cost
		return true
	}
	allowed := sample*cost < b.tokens
	b.tokens = 0
	return allowed
}
