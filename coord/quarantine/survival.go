package quarantine

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/promptpart"
)

// survivalTime is the time after the first event of a response from which on the start of the response
// has not crashed its target. The report of a disconnect takes some milliseconds.
const survivalTime = 300 * time.Millisecond

// begunResponse is a response that has begun.
type begunResponse struct {
	key Key
	at  time.Time
}

// ResponseBegan records that the first event of a response has arrived.
func (t *Table) ResponseBegan(now time.Time, key Key) {
	r, known := t.inFlight[key]
	if !known || !r.begunAt.IsZero() || len(r.parts) == 0 {
		return
	}
	r.begunAt = now
	t.inFlight[key] = r
	t.begun = append(t.begun, begunResponse{key, now})
}

// recordSurvivors records the responses that have survived their start. Where disconnects at the target
// are not evaluated yet, only the end of the response shows whether it did.
func (t *Table) recordSurvivors(now time.Time) {
	for len(t.begun) > 0 && now.Sub(t.begun[0].at) >= survivalTime {
		b := t.begun[0]
		t.begun = t.begun[1:]
		if r, inFlight := t.inFlight[b.key]; inFlight && t.incidents[r.target] == nil {
			t.parts.Survived(now, b.at, r.parts)
		}
	}
}

// provenSince returns the time as of which the success of a request shows that its prompt crashes no
// target: the start of the response, or that of the request if the former is unknown.
func (r *request) provenSince() time.Time {
	if r.begunAt.IsZero() {
		return r.sentAt
	}
	return r.begunAt
}

// addPendingCrash adds the requests of an incident to the evidence against their prompt parts, once they
// are so many that the target counts as crashed.
func (t *Table) addPendingCrash(now time.Time, inc *incident) {
	if inc.isLate() || !isCrash(len(inc.disconnected), inc.inFlight) {
		return
	}
	for _, r := range inc.disconnected[inc.pending:] {
		t.parts.AddPending(now, inc.crash, r.parts)
	}
	inc.pending = len(inc.disconnected)
}

// partsOf returns the shared parts of each request.
func partsOf(requests []request) (parts [][]promptpart.ID) {
	for _, r := range requests {
		parts = append(parts, r.parts)
	}
	return parts
}

// isLate reports whether the target is known to have crashed before these disconnects.
func (inc *incident) isLate() bool { return inc.crash.IsConfirmed() }

// dropExplained withdraws the evidence against contents from the crashes that a prompt part explains.
func (t *Table) dropExplained() {
	for i := range t.crashes {
		c := &t.crashes[i]
		if !t.parts.ExplainsCrash(c.ofParts) {
			continue
		}
		for _, ch := range slices.Backward(c.changes) {
			t.undoChange(c.target, ch)
		}
		c.changes = nil
	}
}

// explainByParts confirms the crash of a target in the evidence against prompt parts. It reports whether
// one of the parts explains the crash. Requests that were sent after an earlier disconnect of the same crash
// reached no process.
func (t *Table) explainByParts(now time.Time, inc *incident) bool {
	reached := inc.disconnected
	if inc.isLate() {
		reached = slices.DeleteFunc(slices.Clone(reached), func(r request) bool { return !r.sentAt.Before(inc.crash.At) })
	}
	requests := partsOf(reached)
	t.parts.Confirm(now, inc.crash, requests)
	return slices.ContainsFunc(requests, t.parts.Explains)
}
