package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Parameters of the observation of other VMs' orders.
const (
	// observeInterval is the time between two reads of a target's report. Reads are charged for.
	observeInterval = 700 * time.Millisecond
	// maxObserved bounds the targets whose reports are read. A leader orders often in a large fleet.
	maxObserved = 32
)

// observedOrders is what the observation of a target's orders has found.
type observedOrders struct {
	// readAt is when to read the report next.
	readAt time.Time
	// count is the number of accepted orders in the last report; known reports that there was one.
	count uint64
	known bool
}

// SetObserving sets whether this VM reads the reports of targets to find out if other VMs order them.
func (s *Scheduler) SetObserving(now time.Time, observing bool) []Action {
	if observing && !s.observing {
		for _, t := range s.targetList {
			t.observed = observedOrders{}
		}
	}
	s.observing = observing
	return s.runRound(now)
}

// OthersOrderedAt returns when an order of another VM was last observed; zero if none was.
func (s *Scheduler) OthersOrderedAt() time.Time { return s.othersOrderedAt }

// observe reads the reports that are due while this VM is not the leader.
func (s *Scheduler) observe(now time.Time) {
	for _, t := range s.targetList[:min(len(s.targetList), maxObserved)] {
		if !t.ready || !t.readingSince.IsZero() || now.Before(t.observed.readAt) {
			continue
		}
		t.observed.readAt = now.Add(observeInterval)
		t.readingSince = now
		s.emit(Action{Kind: ActReadReport, Target: t.id})
	}
}

// Replica is a target that holds an adapter in a version.
type Replica struct {
	Target  string
	Version int64
}

// maxObservationAge is the greatest age of a report that shows where an adapter is: one missing report does not matter.
const maxObservationAge = 3 * observeInterval

// ObservedReplicas returns the targets that hold an adapter by the reports that this VM reads while it observes
// the orders of other VMs.
func (s *Scheduler) ObservedReplicas(now time.Time, ref coord.AdapterRef) (replicas []Replica) {
	if !s.observing {
		return nil
	}
	for _, t := range s.replicas[ref] {
		sl := t.slots[ref]
		if sl.state == resident && !t.appliedReportAt.IsZero() && now.Sub(t.appliedReportAt) <= maxObservationAge {
			replicas = append(replicas, Replica{Target: t.id, Version: sl.version})
		}
	}
	return replicas
}

// observeOrderCount records that another VM has ordered the target if it has accepted more orders than
// it had at the last report. A lower number is that of a restarted target.
func (s *Scheduler) observeOrderCount(now time.Time, t *target, count uint64) {
	if !s.observing || s.holdsLease() {
		return
	}
	if t.observed.known && count > t.observed.count {
		s.othersOrderedAt = now
	}
	t.observed.count, t.observed.known = count, true
}

// SetLeaseQuiet sets how long a target must have accepted no order of another VM before this VM's first
// order to it. It is longer than the lag of reports where VMs that this VM cannot find may order as well.
func (s *Scheduler) SetLeaseQuiet(quiet time.Duration) { s.leaseQuiet = quiet }

// requiredQuiet returns for how long the number of a target's accepted orders must not have changed before
// the first order to it; 0 if no other VM may order it.
func (s *Scheduler) requiredQuiet(now time.Time, t *target) time.Duration {
	switch {
	case t.fenced:
		return 0
	case s.leaseQuiet > 0:
		return s.leaseQuiet
	case s.othersMayOrder(now, t):
		return reportLag
	}
	return 0
}
