// Package attempt tracks the known progress of one attempt to run a request. It determines
// whether the request may be retried and which outcome may be reported to the caller.
//
// The caller must call MaybeSent before the first byte can leave the process, so that a
// crash or suspension between the call and the write errs on the safe side. All
// operations are O(1).
package attempt

// State is the furthest point that an attempt has reached or may have reached.
type State int

// The states of an attempt, in the order they can be reached.
const (
	// NotSent means that no byte can have reached the target.
	NotSent State = iota
	// MaybeSent means that the target may have received the request.
	MaybeSent
	// Refused means that the target reported that it did not run the request.
	Refused
	// Started means that the target has begun to send the response.
	Started
	// Finished means that the complete response has arrived.
	Finished
	// Lost means that the attempt ended without a complete response after the request may
	// have been sent.
	Lost
)

// Outcome is the known result of an attempt: whether the request ran.
type Outcome int

// The outcomes that can be reported to a caller.
const (
	NotRun Outcome = iota + 1
	Ran
	Unknown
)

// String returns the name of the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Attempt is the state machine of one attempt. The zero value is an attempt that has not
// been sent.
type Attempt struct {
	state State
}

// State returns the current state.
func (a *Attempt) State() State { return a.state }

// MaybeSent records that the request is about to be written.
func (a *Attempt) MaybeSent() { a.advance(NotSent, MaybeSent) }

// Refused records the target's report that it did not run the request. It has no effect
// once the response has begun or the connection was lost.
func (a *Attempt) Refused() { a.advance(MaybeSent, Refused) }

// Started records the first byte of the response.
func (a *Attempt) Started() { a.advance(MaybeSent, Started) }

// Finished records the explicit end of the response.
func (a *Attempt) Finished() { a.advance(Started, Finished) }

// ConnectionLost records that the connection to the target failed or was closed before the
// end of the response.
func (a *Attempt) ConnectionLost() {
	if a.state == MaybeSent || a.state == Started {
		a.state = Lost
	}
}

// advance sets the state to its second argument if it equals the first.
func (a *Attempt) advance(from, to State) {
	if a.state == from {
		a.state = to
	}
}

// Outcome returns the outcome that is known in the current state.
func (a *Attempt) Outcome() Outcome {
	switch a.state {
	case NotSent, Refused:
		return NotRun
	case Finished:
		return Ran
	}
	return Unknown
}

// MayRetry reports whether another attempt of the same request is allowed. A request that
// is not idempotent may be retried only if this attempt provably did not run. MayRetry
// returns false while a response arrives and after it is complete. It returns true for an
// idempotent request whose connection was lost during the response, because it does not
// know whether any of the response has reached the caller. Such a request must never be
// retried; whoever calls MayRetry has to check this as well.
func (a *Attempt) MayRetry(idempotent bool) bool {
	switch a.state {
	case NotSent, Refused:
		return true
	case MaybeSent, Lost:
		return idempotent
	}
	return false
}
