package dispatch

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/residency"
)

// Cause is the reason of a refusal.
type Cause int

// The causes of a refusal. In each case the request was not run.
const (
	CauseQueueFull Cause = iota + 1
	CauseDeadline
	CauseLoadFailed
	CauseStopped
	// CauseSlotsHeld means that the adapter is not resident and every slot is held for an earlier
	// owner.
	CauseSlotsHeld
	// CauseLoadWait means that too many loads are ahead.
	CauseLoadWait
)

// String returns the cause as the stable code that callers receive.
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

// Request is a request for the target.
type Request struct {
	// Handle is the caller's identifier for the request, unique during the request's lifetime.
	Handle uint64
	// Adapter is the adapter to run on; a base model needs no slot.
	Adapter coord.Adapter
	// Rank is the rank of the request's priority; higher goes first.
	Rank int
	// Deadline is the time after which a response is useless.
	Deadline time.Time

	arrived time.Time
}

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	// ActStart sends the request Handle to the target.
	ActStart ActionKind = iota + 1
	// ActRefuse refuses the request Handle, which was not run, with Cause.
	ActRefuse
	// ActRequestPermit requests a permit to load from the weight store, with Priority.
	ActRequestPermit
	// ActRaisePermit raises the priority of the requested permit to Priority.
	ActRaisePermit
	// ActReturnPermit returns a permit.
	ActReturnPermit
	// ActLoad orders the target to load Adapter under Name.
	ActLoad
	// ActUnload orders the target to unload Name.
	ActUnload
)

// Action is an action to execute. Kind determines which fields are set.
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
	// Batch is the number of requests that the target runs efficiently at once.
	Batch int
	// QueueLimit is the maximum number of waiting requests.
	QueueLimit int
	// LoadTime is the initial estimate of the duration of a load, from permit to resident.
	LoadTime time.Duration
	// ServiceTime is the initial estimate of the duration of a request; later estimates are
	// measured.
	ServiceTime time.Duration
	// MaxLoadWait is the longest expected wait for a load with which a request is admitted. A
	// longer wait would only lengthen the queue of loads.
	MaxLoadWait time.Duration
	// AgingInterval is the wait that raises a request by one rank.
	AgingInterval time.Duration
	// MaxLoadAttempts is the number of consecutive failed loads of an adapter after which its
	// waiting requests are refused.
	MaxLoadAttempts int
	// NameSuffix is added to adapter names at the engine, to distinguish this owner's loads from
	// those of earlier owners.
	NameSuffix string
}

// DefaultConfig returns the settings that the daemon runs with. Slots, Batch, QueueLimit and
// NameSuffix come from the bundle and the ownership term. docs/design/load-decisions.md gives the
// reasons for the values.
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
