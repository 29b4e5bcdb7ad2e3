package leadership

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/roster"
)

// ContestConfig holds the waiting times of a VM that cannot find some of the seeds. The zero value makes
// it wait until the roster no longer counts them.
type ContestConfig struct {
	// JoinWait is how long after its start the VM waits for the seeds.
	JoinWait time.Duration
	// QuietTime is how long no engine may have accepted an order of another VM before the VM
	// acquires leadership. It exceeds the lease by the lag of the engines' reports, so that two
	// VMs that do not know each other never take turns within a lease.
	QuietTime time.Duration
}

// contest is what a VM knows of leaders that it cannot find.
type contest struct {
	cfg       ContestConfig
	startedAt time.Time
	// observedSince is since when the orders of other VMs are observed; zero while they are not.
	observedSince time.Time
	// othersOrderedAt is when an order of another VM was last observed; zero if none was.
	othersOrderedAt time.Time
	// provisional reports that this VM acquired leadership although VMs that it has not seen may
	// have a leader.
	provisional bool
}

// SetContest sets the waiting times of a VM that cannot find some of the seeds.
func (m *Machine) SetContest(cfg ContestConfig) { m.contest.cfg = cfg }

// ObservesOrders reports whether the caller must observe the orders of other VMs and pass them to
// ObserveOtherOrders.
func (m *Machine) ObservesOrders() bool { return !m.contest.observedSince.IsZero() }

// ObserveOtherOrders records that another VM ordered an engine at some time. It reports whether no other
// VM had done so for QuietTime.
func (m *Machine) ObserveOtherOrders(at time.Time) (afterQuiet bool) {
	c := &m.contest
	if !at.After(c.othersOrderedAt) {
		return false
	}
	afterQuiet = c.isQuiet(at)
	c.othersOrderedAt = at
	return afterQuiet
}

// IsProvisional reports whether this VM leads although VMs that it has not seen may have a leader as
// well. It must not order an engine that has accepted an order of another VM within QuietTime.
func (m *Machine) IsProvisional() bool { return m.phase == Leading && m.contest.provisional }

// update begins or ends the observation of orders. In a fleet that starts as a whole, the seeds are seen
// before it begins.
func (c *contest) update(now time.Time, seedsMissing bool) {
	observes := seedsMissing && c.cfg.QuietTime > 0 && now.Sub(c.startedAt) >= c.cfg.JoinWait-c.cfg.QuietTime
	switch {
	case !observes:
		c.observedSince = time.Time{}
	case c.observedSince.IsZero():
		c.observedSince = now
	}
}

// mayAcquire reports whether this VM is in contact with enough of the fleet to acquire leadership.
func (c *contest) mayAcquire(now time.Time, r *roster.Roster) bool {
	switch r.Majority() {
	case roster.MajorityOfAll:
		return true
	case roster.MajorityOfSeen:
		return (r.HasMajority() || c.hasObserved(now)) && c.isQuiet(now)
	}
	return false
}

// hasObserved reports whether the orders of other VMs have been observed for long enough, and the seeds
// had time to appear.
func (c *contest) hasObserved(now time.Time) bool {
	return !c.observedSince.IsZero() && now.Sub(c.observedSince) >= c.cfg.QuietTime && now.Sub(c.startedAt) >= c.cfg.JoinWait
}

// isQuiet reports whether no other VM has ordered an engine for some time, as far as observed.
func (c *contest) isQuiet(now time.Time) bool {
	return c.othersOrderedAt.IsZero() || now.Sub(c.othersOrderedAt) >= c.cfg.QuietTime
}

// mayKeepLeading reports whether the leader is in contact with enough of the fleet to go on.
func (c *contest) mayKeepLeading(r *roster.Roster) bool {
	switch r.Majority() {
	case roster.MajorityOfAll:
		c.provisional = false
		return true
	case roster.MajorityOfSeen:
		return r.HasMajority() || c.provisional
	}
	return false
}
