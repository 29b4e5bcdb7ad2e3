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

// observeRestart records that a target has lost the orders that it had accepted, which shows that it has
// restarted under the same id.
func (t *target) observeRestart(now time.Time, orderCount uint64) {
	if !t.orderCountSince.IsZero() && orderCount < t.orderCount {
		t.restartedAt = now
	}
}

// ObserveCopy records that the announced targets are current as of a time. Announcements of targets that
// restarted sufficiently long before are those of their present software.
func (s *Scheduler) ObserveCopy(currentAt time.Time) {
	for _, t := range s.targets {
		if !t.restartedAt.IsZero() && !currentAt.Before(t.restartedAt.Add(announcementDelay)) {
			t.restartedAt = time.Time{}
		}
	}
}
