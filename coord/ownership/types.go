package ownership

import (
	"github.com/junctionfold/junctionfold/coord"
)

// Phase is the step that a VM has reached towards owning a target.
type Phase int

// The phases of ownership.
const (
	// Idle VMs do not own the target.
	Idle Phase = iota
	// Reading waits for the target's report.
	Reading
	// Claiming waits for the target to accept the new fencing number.
	Claiming
	// Serving VMs give orders and send requests.
	Serving
	// Draining VMs have lost the target and finish what runs.
	Draining
)

// String gives the phase's name for logs.
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

// ActionKind tells what to do.
type ActionKind int

// The kinds of action.
const (
	// ActRead asks the target for its report.
	ActRead ActionKind = iota + 1
	// ActClaim orders the target under Fence.
	ActClaim
	// ActRequestRelease asks VM whether it has let go of the target under Fence.
	ActRequestRelease
	// ActServe starts the dispatcher from Resident, all of it held. An
	// ActSetHolds follows.
	ActServe
	// ActSetHolds says what may not be evicted: everything that was found when
	// All is set, else Names.
	ActSetHolds
	// ActStop ends new work on the target.
	ActStop
)

// Action is one thing to do. Which fields are set depends on Kind.
type Action struct {
	Kind         ActionKind
	FencingToken uint64
	VM           coord.VMID
	Resident     []string
	All          bool
	Names        []string
}

// Report is what a target tells of itself.
type Report struct {
	// FencingToken is the highest fencing number that the target has accepted; zero
	// when it keeps none.
	FencingToken uint64
	Resident     []string
}
