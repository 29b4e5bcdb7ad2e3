package scheduler

import "time"

// announcementDelay is how long after its restart a target announces itself at the latest: an interval
// of its heartbeats.
const announcementDelay = 1300 * time.Millisecond

// software returns the version of the target's software; empty: unknown.
func (t *target) software() string {
	if !t.restartedAt.IsZero() {
		return ""
	}
	return t.announcedSoftware
}

// runs reports whether t runs a version of the software that may process r.
func (t *target) runs(r *Request) bool {
	return r.SoftwareVersion == "" || r.SoftwareVersion == t.software()
}

// observeAccepted records that a target has accepted an order.
func (t *target) observeAccepted(now time.Time) {
	t.acceptedCount = max(t.acceptedCount, t.orderCount) + 1
	t.acceptedAt = now
}

// observeRestart records that a target has lost orders that it had accepted, according to a report requested
// at a time, which shows that it has restarted under the same id. A report may lag behind its last orders.
func (t *target) observeRestart(now, requestedAt time.Time, orderCount uint64) {
	lostReported := !t.orderCountSince.IsZero() && orderCount < t.orderCount
	lostAccepted := orderCount < t.acceptedCount && requestedAt.Sub(t.acceptedAt) >= reportLag
	if lostReported || lostAccepted {
		t.restartedAt = now
		t.acceptedCount = orderCount
	}
}

// ObserveCopy records that the announced targets are current as of a time. Announcements of targets that
// restarted sufficiently long before are those of their present software.
func (s *Scheduler) ObserveCopy(currentAt time.Time) {
	for _, t := range s.targetList {
		if !t.restartedAt.IsZero() && !currentAt.Before(t.restartedAt.Add(announcementDelay)) {
			t.restartedAt = time.Time{}
		}
	}
}
