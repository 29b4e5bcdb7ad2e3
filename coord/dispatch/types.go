package dispatch

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/residency"
)

// Cause says why a request was refused.
type Cause int

// The causes of a refusal. In each case the request was not run.
const (
	CauseQueueFull Cause = iota + 1
	CauseDeadline
	CauseLoadFailed
	CauseStopped
	// CauseSlotsHeld means that the adapter is not resident and every slot is held
	// for an earlier owner.
	CauseSlotsHeld
	// CauseLoadWait means that too many loads are ahead.
	CauseLoadWait
)

// String gives the cause as the stable code that callers see.
func (c Cause) String() string {
	switch c {
	case CauseQueueFull:
		return "queue_full"
	case CauseDeadline:
		return "deadline_unreachable"
	case CauseLoadFailed:
		return "adapter_load_failed"
	case CauseStopped:
		return "owner_stopped"
	case CauseSlotsHeld:
		return "slots_held"
	case CauseLoadWait:
		return "loads_overdue"
	}
	return "unknown"
}

// Request is one request for the target.
type Request struct {
	// Handle is the caller's own name for the request, unique while it lives.
	Handle uint64
	// Adapter to run on; a base model needs no slot.
	Adapter coord.Adapter
	// Rank of its priority; higher goes first.
	Rank int
	// Deadline after which an answer is worthless.
	Deadline time.Time

	arrived time.Time
}

// ActionKind tells what to do.
type ActionKind int

// The kinds of action.
const (
	// ActStart sends the request Handle to the target.
	ActStart ActionKind = iota + 1
	// ActRefuse answers the request Handle: not run, for Cause.
	ActRefuse
	// ActRequestPermit asks for a turn at the weight store, worth Value.
	ActRequestPermit
	// ActRaisePermit raises the worth of the turn that was asked for to Value.
	ActRaisePermit
	// ActReturnPermit gives a turn back.
	ActReturnPermit
	// ActLoad orders the target to load Adapter under Name.
	ActLoad
	// ActUnload orders the target to unload Name.
	ActUnload
)

// Action is one thing to do. Which fields are set depends on Kind.
type Action struct {
	Kind       ActionKind
	Handle     uint64
	Cause      Cause
	RetryAfter time.Duration
	Adapter    coord.Adapter
	Name       string
	Priority   float64
}

// Config holds the settings of a Dispatcher.
type Config struct {
	Residency residency.Config
	// Batch is how many requests the target runs well at once.
	Batch int
	// QueueLimit is how many requests may wait.
	QueueLimit int
	// LoadTime is the expected time of one load, from turn to resident.
	LoadTime time.Duration
	// ServiceTime is the first guess at the time of one request; later ones
	// are measured.
	ServiceTime time.Duration
	// MaxLoadWait is the longest expected wait for a load with which a request
	// is let in. Beyond it, waiting would only lengthen the queue of loads.
	MaxLoadWait time.Duration
	// AgingInterval is the wait that raises a request by one rank.
	AgingInterval time.Duration
	// MaxLoadAttempts is how many loads of an adapter may fail before its waiters
	// are refused.
	MaxLoadAttempts int
	// NameSuffix is added to an adapter's name at the engine, to tell this
	// owner's loads from an earlier owner's.
	NameSuffix string
}

// DefaultConfig returns the settings that the daemon runs with. Slots, Batch,
// QueueLimit and NameSuffix come from the bundle and the tenure. How each was
// chosen is told in docs/design/load-decisions.md.
func DefaultConfig() Config {
	return Config{
		Residency:       residency.Config{MinResident: 500 * time.Millisecond, HeatHalfLife: 2 * time.Minute},
		QueueLimit:      128,
		LoadTime:        time.Second,
		ServiceTime:     500 * time.Millisecond,
		MaxLoadWait:     5 * time.Second,
		AgingInterval:   2 * time.Second,
		MaxLoadAttempts: 3,
	}
}
