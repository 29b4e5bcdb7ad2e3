package ownership

import (
	"github.com/junctionfold/junctionfold/coord"
)

// Phase is the progress of a VM towards owning a target.
type Phase int

// The phases of ownership.
const (
	// Idle means that the VM does not own the target.
	Idle Phase = iota
	// Reading means that the VM waits for the target's report.
	Reading
	// Claiming means that the VM waits for the target to accept the new fencing token.
	Claiming
	// Serving means that the VM sends orders and requests to the target.
	Serving
	// Draining means that the VM no longer owns the target and waits until its running
	// requests have ended.
	Draining
)

// String returns the name of the phase for logs.
func (p Phase) String() string {
	switch p {
	case Idle:
		return "idle"
	case Reading:
		return "reading"
	case Claiming:
		return "claiming"
	case Serving:
		return "serving"
	case Draining:
		return "draining"
	}
	return "unknown"
}

// ActionKind identifies the operation that an Action requests.
type ActionKind int

// The kinds of action.
const (
	// ActRead requests the target's report.
	ActRead ActionKind = iota + 1
	// ActClaim claims the target under FencingToken.
	ActClaim
	// ActRequestRelease requests that VM release the target, which this VM has claimed
	// under FencingToken.
	ActRequestRelease
	// ActServe starts the dispatcher with the adapters in Resident, all of them held.
	// An ActSetHolds follows.
	ActServe
	// ActSetHolds sets the adapters that may not be evicted: all that were found
	// resident when All is set, otherwise Names.
	ActSetHolds
	// ActStop stops sending new work to the target.
	ActStop
)

// Action is an operation for the caller to perform. Which fields are set depends on Kind.
type Action struct {
	Kind         ActionKind
	FencingToken uint64
	VM           coord.VMID
	Resident     []string
	All          bool
	Names        []string
}

// Report is the state that a target reports.
type Report struct {
	// FencingToken is the highest fencing token that the target has accepted; zero
	// when it keeps none.
	FencingToken uint64
	Resident     []string
}
