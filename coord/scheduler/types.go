package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// AdapterSlots is the number of adapters that an engine can hold.
	AdapterSlots int
	// MemoryMB is an engine's memory for base models and adapters, in MB; 0: unknown, only the adapter
	// slots bound what is loaded.
	MemoryMB float64
	// ModelSizes has the sizes of the base models and of their adapters, by model.
	ModelSizes map[string]ModelSize
	// Batch is the number of requests that an engine runs at once.
	Batch int
	// CacheTokens is the engine's memory for prompts and responses, in tokens.
	CacheTokens int
	// MaxLoads is the initial estimate of how many adapters may be loaded from the store at once.
	MaxLoads int
	// ModelLoadInterval is the minimum time between two loads of base models.
	ModelLoadInterval time.Duration
	// ModelLoadTime is the expected time to load a base model, by model.
	ModelLoadTime map[string]time.Duration
}

// Key identifies a request.
type Key = coord.RequestKey

// Request is a request that needs a target.
type Request struct {
	Key
	Ref          coord.AdapterRef
	PromptTokens int
	OutputTokens int
	// Priority is the request's priority class; 0 is the most urgent.
	Priority int
	// Team is the team that the request is charged to; empty: none.
	Team  string
	Parts []coord.PromptPart
	// Exclude lists targets not to use, unless a request there was rejected because the adapter's
	// load was unfinished.
	Exclude []string
	// BackedOff lists targets not to use in any case, because they requested a backoff.
	BackedOff []string
	// SoftwareVersion is the only version of the targets' software that may process the request;
	// empty: any.
	SoftwareVersion string
	// Objective is the target time to the first event.
	Objective time.Duration
	// Deadline is the time after which a response is worthless.
	Deadline time.Time
	// FirstEventDeadline is when the caller gives up if no event has arrived; zero means Deadline.
	FirstEventDeadline time.Time

	arrivedAt time.Time
	// prefixHashes has the hash of each prompt prefix, shortest first, once they are needed.
	prefixHashes []uint64
	// lastResort reports that no target that the request may use is healthy, so that it may be sent to
	// ejected ones.
	lastResort bool
	// awaitedSlot is the slot whose load the request waits for, once its prompt is counted there.
	awaitedSlot *slot
	// awaitsPlace reports that the request waits for a place in the batch of a target that holds its
	// adapter.
	awaitsPlace bool
	// late, heat and shareStart are the sort keys of the last ranking. shareStart is the virtual time at
	// which the request's team is due to be served; 0 if only one team waits.
	late             bool
	heat, shareStart float64
}

// Ending is how a granted request ended.
type Ending int

// The endings of a granted request.
const (
	// EndedOK: the response was complete.
	EndedOK Ending = iota
	// EndedBusy: not run; the target had no capacity or was loading the adapter.
	EndedBusy
	// EndedMisrouted: not run; the target lacks the adapter.
	EndedMisrouted
	// EndedFailed: the target failed, and its response was not usable.
	EndedFailed
	// EndedUnreachable: no connection to the target could be established.
	EndedUnreachable
	// EndedAbandoned: the caller left or the deadline passed.
	EndedAbandoned
	// EndedWithdrawn: nothing was sent, because the sending VM had newer information.
	EndedWithdrawn
	// EndedDisconnected: the target failed and its connection broke.
	EndedDisconnected
	// EndedUnverified: the response ended with its connection, which does not tell whether it was
	// complete.
	EndedUnverified
	// EndedNoConnection: not run; the VM may open no further connection to the target.
	EndedNoConnection
	// EndedErrorResponse: the target was reached, and failed or sent an answer that is not valid.
	EndedErrorResponse
)

// String returns the name that logs use.
func (e Ending) String() string {
	return [...]string{"ok", "busy", "misplaced", "failed", "unreachable", "abandoned", "withdrawn", "broke", "unverified", "no_connection", "error_response"}[e]
}

// ActionKind is the kind of an action.
type ActionKind int

// The kinds of action.
const (
	// ActGrant: the request Key may be sent to Target.
	ActGrant ActionKind = iota
	// ActRefuse: the request Key is refused for Reason; the caller may retry after RetryAfter.
	ActRefuse
	// ActLoad: order Target to load Ref in Version (0: the newest).
	ActLoad
	// ActUnload: order Target to unload Ref.
	ActUnload
	// ActReadReport: read Target's report and pass it to HandleReport.
	ActReadReport
)

// Action is an action for the caller to carry out. Kind determines which fields are set.
type Action struct {
	Kind    ActionKind
	Key     Key
	Target  string
	Ref     coord.AdapterRef
	Version int64
	// Priority is the priority of a granted request at Target; 0 is the most urgent.
	Priority int
	// SoftwareVersion is the version of the software of a granted request's Target; empty: unknown.
	SoftwareVersion string
	// ExpectedOrders is the number of orders that Target must have accepted so far in order to
	// accept this one; nil means any number.
	ExpectedOrders *uint64
	RetryAfter     time.Duration
	Reason         string
	// Forecast is the time to the first event that a refused request would have waited, as far as
	// the load queue determines it; 0: unknown.
	Forecast time.Duration
	// FencingToken is the fencing token of the lease under which an order was decided. The order
	// must not be sent under another lease: another holder may have filled the target's slots in
	// between (TestInvariantsDuringLeaderChanges).
	FencingToken uint64
	// Basis is the state on which an order is based.
	Basis Basis
}

// Basis is the known state of a target when an order was issued, for logs. The orders of one engine
// and their bases show which slot was counted wrongly, and why.
type Basis struct {
	// Occupied is how many of Slots adapter slots were occupied, including that of the ordered
	// load, and InTransit how many of them by adapters being loaded or unloaded.
	Occupied, Slots, InTransit int
	// Unconfirmed is how many slots were occupied by adapters that are assumed to be resident only
	// because of the elapsed time.
	Unconfirmed int
	// ReportAge is the time since the last applied report was requested; negative if there was
	// none.
	ReportAge time.Duration
	// Cached reports that a load is expected to be quick because the engine has the adapter cached.
	Cached bool
	// Confirmed reports that an adapter to unload is known to be resident.
	Confirmed bool
}

// AnnouncedTarget is a target as it announces itself.
type AnnouncedTarget struct {
	ID    string
	Ready bool
	// Zone is the target's availability zone; empty: unknown.
	Zone string
	// SoftwareVersion is the version of the target's software; empty: unknown.
	SoftwareVersion string
	// Resident lists the adapters and models in the announcement, which lags.
	Resident []ResidentItem
}

// ResidentItem is a model or an adapter that a target holds, with its version if known.
type ResidentItem struct {
	Ref     coord.AdapterRef
	Version int64
}
