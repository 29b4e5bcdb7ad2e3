// Package attempt tracks what is known of one attempt to run a request. Its
// answers decide whether the request may be tried again and what a refusal may
// truthfully claim.
//
// The caller must report MaybeSent before the first byte can leave the process,
// so that a crash or pause between the report and the write errs on the safe
// side. All operations are O(1).
package attempt

// State is the furthest point that an attempt is known or may have reached.
type State int

// The states of an attempt, in the order they can be reached.
const (
	// NotSent means that no byte can have reached the target.
	NotSent State = iota
	// MaybeSent means that the target may have the request.
	MaybeSent
	// Refused means that the target itself said it did not run the request.
	Refused
	// Started means that the target has begun to answer.
	Started
	// Finished means that the whole answer has arrived.
	Finished
	// Lost means that the attempt ended without a whole answer after it may
	// have been sent.
	Lost
)

// Outcome says whether the request ran.
type Outcome int

// The outcomes that can be told to a caller.
const (
	NotRun Outcome = iota + 1
	Ran
	Unknown
)

// String gives the outcome's name for logs.
func (o Outcome) String() string {
	switch o {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	}
	return "unknown"
}

// Attempt is the life of one attempt. The zero value is a fresh one.
type Attempt struct {
	state State
}

// State returns the furthest point reached.
func (a *Attempt) State() State { return a.state }

// MaybeSent records that the request is about to be written.
func (a *Attempt) MaybeSent() { a.advance(NotSent, MaybeSent) }

// Refused records the target's own word that it did not run the request. A
// refusal after the answer began is not believed.
func (a *Attempt) Refused() { a.advance(MaybeSent, Refused) }

// Started records the first byte of the answer.
func (a *Attempt) Started() { a.advance(MaybeSent, Started) }

// Finished records the explicit end of the answer.
func (a *Attempt) Finished() { a.advance(Started, Finished) }

// ConnectionLost records that the connection to the target failed or was given up.
func (a *Attempt) ConnectionLost() {
	if a.state == MaybeSent || a.state == Started {
		a.state = Lost
	}
}

func (a *Attempt) advance(from, to State) {
	if a.state == from {
		a.state = to
	}
}

// Outcome says what is known now.
func (a *Attempt) Outcome() Outcome {
	switch a.state {
	case NotSent, Refused:
		return NotRun
	case Finished:
		return Ran
	}
	return Unknown
}

// MayRetry reports whether another attempt of the same request is allowed. A
// request that is not idempotent is tried again only when this attempt
// provably did not run; one whose answer has begun to reach the caller never.
func (a *Attempt) MayRetry(idempotent bool) bool {
	switch a.state {
	case NotSent, Refused:
		return true
	case MaybeSent, Lost:
		return idempotent
	}
	return false
}
