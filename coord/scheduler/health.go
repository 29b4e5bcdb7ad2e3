package scheduler

import "time"

// health is the state of a target's circuit breaker, derived from the ends of its requests.
type health struct {
	consecutiveFailures int
	// ejectedUntil is when an ejected target may be probed again.
	ejectedUntil time.Time
	// probing reports that a probe request to an ejected target is in flight.
	probing bool
	// unreachable reports that the last request could not connect to the target.
	unreachable bool
}

const (
	// ejectAfterFailures is the number of consecutive failures that ejects a target. One failure
	// may be caused by a single request; three in a row are not.
	ejectAfterFailures = 3
	// ejectionTimeMin is the first ejection time; it doubles up to ejectionTimeMax.
	ejectionTimeMin = time.Second
	ejectionTimeMax = 4 * time.Second
	// maxEjectionDoublings bounds the exponent of the ejection time.
	maxEjectionDoublings = 4
)

// recordEnding updates the state with the end of a request.
func (h *health) recordEnding(now time.Time, ending Ending) {
	switch ending {
	case EndedUnreachable:
		h.unreachable = true
	case EndedAbandoned, EndedWithdrawn, EndedNoConnection:
	default:
		h.unreachable = false
	}
	switch ending {
	case EndedOK:
		h.consecutiveFailures = 0
		h.probing = false
	case EndedUnverified:
		// The target answers, but the next failure ejects it again.
		h.consecutiveFailures = min(h.consecutiveFailures, ejectAfterFailures-1)
		h.probing = false
	case EndedFailed, EndedErrorResponse, EndedDisconnected:
		h.recordFailures(now, 1)
	case EndedUnreachable:
		h.recordFailures(now, ejectAfterFailures)
	case EndedBusy, EndedNoConnection, EndedMisrouted, EndedAbandoned, EndedWithdrawn:
		h.probing = false
	}
}

// recordFailures adds count consecutive failures, and ejects the target if there are enough.
func (h *health) recordFailures(now time.Time, count int) {
	h.probing = false
	h.consecutiveFailures += count
	if h.consecutiveFailures < ejectAfterFailures {
		return
	}
	doublings := min(h.consecutiveFailures/ejectAfterFailures-1, maxEjectionDoublings)
	h.ejectedUntil = now.Add(min(ejectionTimeMin<<doublings, ejectionTimeMax))
}

// withdraw removes count consecutive failures, and ends the ejection if the others are too few.
func (h *health) withdraw(count int) {
	h.consecutiveFailures = max(h.consecutiveFailures-count, 0)
	if !h.isEjected() {
		h.ejectedUntil = time.Time{}
		h.probing = false
	}
}

// isEjected reports whether the target gets no requests but probes.
func (h *health) isEjected() bool { return h.consecutiveFailures >= ejectAfterFailures }

// allowsRequest reports whether a request may be sent to the target. An ejected target gets none
// until its ejection ends, and then one at a time until a request succeeds.
func (h *health) allowsRequest(now time.Time) bool {
	if !h.isEjected() {
		return true
	}
	return now.After(h.ejectedUntil) && !h.probing
}
