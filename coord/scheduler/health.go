package scheduler

import "time"

// health is what the answers of a target tell about it.
type health struct {
	// failures in a row.
	failures int
	// until is when an ejected target may be tried again.
	until time.Time
	// trial is a request that was let through to a target after its ejection.
	trial bool
}

const (
	// ejectAfter failures in a row eject a target: one may be the answer to a
	// single request, three in a row are not.
	ejectAfter = 3
	// firstEjection is the first pause; it doubles up to maxEjection.
	firstEjection = time.Second
	maxEjection   = 4 * time.Second
	// maxDoublings bounds the exponent of the pause.
	maxDoublings = 4
)

// learn takes the end of a request.
func (h *health) learn(now time.Time, how Ending) {
	switch how {
	case EndedOK:
		h.failures = 0
		h.trial = false
	case EndedFailed, EndedDisconnected:
		h.fail(now, 1)
	case EndedUnreachable:
		h.fail(now, ejectAfter)
	case EndedBusy, EndedMisrouted, EndedAbandoned, EndedWithdrawn:
		h.trial = false
	}
}

func (h *health) fail(now time.Time, weight int) {
	h.trial = false
	h.failures += weight
	if h.failures < ejectAfter {
		return
	}
	doublings := min(h.failures/ejectAfter-1, maxDoublings)
	h.until = now.Add(min(firstEjection<<doublings, maxEjection))
}

// open reports whether requests may be sent: not while ejected, and one at a
// time until an answer came.
func (h *health) open(now time.Time) bool {
	if h.failures < ejectAfter {
		return true
	}
	return now.After(h.until) && !h.trial
}
