package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Report is the state that a target reports when queried. It lags by some hundred milliseconds.
type Report struct {
	Resident []ResidentItem
	Pending  []coord.AdapterRef
	// Busy reports that the target is loading or unloading a base model.
	Busy bool
	// OrderCount is the number of orders that the target has accepted since its start.
	OrderCount uint64
}

// Delays for reading reports.
const (
	// reportLag is the maximum age of a report's content, with a margin. A report that has to show
	// the effect of an order is requested only this long after the order.
	reportLag = 500 * time.Millisecond
	// reportRetryDelay is the delay after a failed read.
	reportRetryDelay = 400 * time.Millisecond
)

// requireReport requires a report that reflects all orders so far before the target's next order.
func (t *target) requireReport(now time.Time) { t.requireReportAt(now.Add(reportLag)) }

// requireReportAt requires a report, requested at the given time or later, before the target's next
// order.
func (t *target) requireReportAt(at time.Time) {
	t.reconciled = false
	t.readReportAt = at
}

func (s *Scheduler) requestReportIfDue(now time.Time, t *target) {
	if t.readReportAt.IsZero() {
		t.readReportAt = now
	}
	if !t.readingSince.IsZero() || now.Before(t.readReportAt) {
		return
	}
	t.readingSince = now
	s.emit(Action{Kind: ActReadReport, Target: t.id})
}

// HandleReport applies a target's report. ok is false if the report could not be read.
func (s *Scheduler) HandleReport(now time.Time, id string, r Report, ok bool) []Action {
	t := s.targets[id]
	if t == nil || t.readingSince.IsZero() {
		return nil
	}
	requestedAt := t.readingSince
	t.readingSince = time.Time{}
	s.recordReportRead(now, t, ok)
	if !ok {
		t.readReportAt = now.Add(reportRetryDelay)
		return s.takeActions()
	}
	s.observeOrderCount(now, t, r.OrderCount)
	if now.Before(t.readReportAt) {
		return s.takeActions() // another report became necessary meanwhile
	}
	s.applyReport(now, t, r, requestedAt)
	t.observeRestart(now, requestedAt, r.OrderCount)
	t.recordOrderCount(requestedAt, r.OrderCount)
	if r.Busy && len(t.models) == 0 {
		// A base model is being loaded or unloaded and is not listed yet. The engine has no memory
		// for a second one beside it.
		t.requireReportAt(now.Add(reportRetryDelay))
		return s.takeActions()
	}
	if quiet := s.requiredQuiet(now, t); requestedAt.Sub(t.orderCountSince) < quiet {
		t.requireReportAt(t.orderCountSince.Add(quiet))
		return s.takeActions()
	}
	t.reconciled = true
	t.readReportAt = time.Time{}
	s.maintainTarget(now, t)
	return s.takeActions()
}

// othersMayOrder reports whether another VM may send orders to a target that has not accepted an
// order of this VM yet. The holder of the previous lease may send orders to a target that it knows,
// for as long as it is unaware of this lease, for example after a network partition. A target that
// appeared later is known only to the VMs that may send orders, whose views agree after
// leaseContestWindow. If such a target has nevertheless accepted orders, they were sent to the id
// of its earlier process at the same address. The adapters that these orders load may not show in
// its report yet: an engine with four adapter slots was ordered to load a fifth adapter.
func (s *Scheduler) othersMayOrder(now time.Time, t *target) bool {
	return !t.fenced && (t.predatesLease || s.isLeaseContested(now) || t.orderCount > 0)
}

// leaseContestWindow is how long after acquiring the lease this VM assumes that another VM may have
// acquired it too. After that time the fleet's views agree.
const leaseContestWindow = time.Second

// isLeaseContested reports whether another VM may have acquired the lease as well.
func (s *Scheduler) isLeaseContested(now time.Time) bool {
	return s.holdsLease() && now.Sub(s.leaseSince) < leaseContestWindow
}

// recordOrderCount records the order count of a report and when the report was requested. The rest
// of a report may lag behind its order count. Before the first order under a lease, two reports
// that are reportLag apart must therefore give the same count: orders that another VM sent before
// the earlier report show in the later one, and orders sent after the earlier report change the
// count.
func (t *target) recordOrderCount(requestedAt time.Time, orderCount uint64) {
	if t.orderCountSince.IsZero() || orderCount != t.orderCount {
		t.orderCount, t.orderCountSince = orderCount, requestedAt
	}
}

// applyReport reconciles the slots with a report. The report may not show loads that were ordered
// shortly before it was requested.
func (s *Scheduler) applyReport(now time.Time, t *target, r Report, requestedAt time.Time) {
	reported := map[coord.AdapterRef]bool{}
	clear(t.models)
	t.appliedReportAt = requestedAt
	for _, item := range r.Resident {
		if item.Ref.IsBase() {
			t.models[item.Ref.Model] = true
			continue
		}
		reported[item.Ref] = true
		s.applyResident(now, t, item, requestedAt)
	}
	for _, ref := range r.Pending {
		reported[ref] = true
		s.applyPending(now, t, ref, requestedAt)
	}
	for ref, sl := range t.slots {
		if reported[ref] || !sl.isReflectedIn(requestedAt) {
			continue
		}
		s.freeSlot(t, ref, FreedByReport)
	}
}

func (s *Scheduler) applyResident(now time.Time, t *target, item ResidentItem, requestedAt time.Time) {
	sl := t.slots[item.Ref]
	if sl == nil {
		sl = &slot{lastUsed: now}
		t.addSlot(item.Ref, sl)
	}
	if !sl.isReflectedIn(requestedAt) {
		return
	}
	if sl.state == loading {
		if sl.version != 0 && item.Version < sl.version {
			return // the engine replaces it once its running requests have ended
		}
		s.countLoad(sl, false)
	}
	if sl.state != resident {
		sl.state, sl.stateSince = resident, now
	}
	sl.version = item.Version
	sl.confirmed = true
	t.addCached(now, item.Ref)
}

func (s *Scheduler) applyPending(now time.Time, t *target, ref coord.AdapterRef, requestedAt time.Time) {
	sl := t.slots[ref]
	if sl == nil {
		sl = &slot{lastUsed: now, version: s.versions[ref]}
		t.addSlot(ref, sl)
	}
	if !sl.isReflectedIn(requestedAt) {
		return
	}
	if sl.state != loading {
		sl.fromStore = !t.isCached(ref)
	}
	s.countLoad(sl, true)
	sl.state, sl.stateSince, sl.answeredAt = loading, now, now
	sl.acknowledged = true
	sl.readyAt = now.Add(s.expectedLoadTime(t, ref))
	sl.startedAt = time.Time{}
}
