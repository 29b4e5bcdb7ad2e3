package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Config holds the settings of a Scheduler.
type Config struct {
	// AdapterSlots is how many adapters an engine holds.
	AdapterSlots int
	// Batch is how many requests an engine runs at once.
	Batch int
	// CacheTokens is the engine's memory for prompts and answers, in tokens.
	CacheTokens int
	// MaxLoads is how many adapters may be on their way from the store, as a guess to
	// begin with.
	MaxLoads int
	// ModelLoadInterval is the least time between two loads of base models.
	ModelLoadInterval time.Duration
	// ModelLoadTime is the expected time of such a load, by model.
	ModelLoadTime map[string]time.Duration
}

// Key names a request.
type Key = coord.RequestKey

// Request is a request that wants a target.
type Request struct {
	Key
	Ref          coord.AdapterRef
	PromptTokens int
	OutputTokens int
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	Parts    []coord.PromptPart
	// Exclude names targets not to use, unless the adapter is on its way there.
	Exclude []string
	// BackedOff names targets not to use whatever they hold.
	BackedOff []string
	// Objective is the time within which the first event is wanted.
	Objective time.Duration
	// Deadline after which an answer is worthless.
	Deadline time.Time
	// FirstEventDeadline is when the caller leaves if no event has come; zero: at the deadline.
	FirstEventDeadline time.Time

	arrived time.Time
	// waitsFor is the place whose load it waits for, as far as that is counted.
	waitsFor *slot
	// late and heat are what the last ranking went by.
	late bool
	heat float64
}

// Ending is how a granted request ended.
type Ending int

// The endings of a granted request.
const (
	// EndedOK: a whole answer.
	EndedOK Ending = iota
	// EndedBusy: not run, the target had no room or was loading the adapter.
	EndedBusy
	// EndedMisrouted: not run, the target lacks the adapter.
	EndedMisrouted
	// EndedFailed: the target failed.
	EndedFailed
	// EndedUnreachable: no connection could be had.
	EndedUnreachable
	// EndedAbandoned: the caller left or the time was over.
	EndedAbandoned
	// EndedWithdrawn: nothing was sent, since the VM that was to send knew better.
	EndedWithdrawn
	// EndedDisconnected: the target failed, and its connection broke off.
	EndedDisconnected
)

// String gives the ending's name for logs.
func (e Ending) String() string {
	return [...]string{"ok", "busy", "misplaced", "failed", "unreachable", "abandoned", "withdrawn", "broke"}[e]
}

// ActionKind tells what to do.
type ActionKind int

// The kinds of action.
const (
	// ActGrant: the request Key may be sent to Target.
	ActGrant ActionKind = iota
	// ActRefuse: the request Key is refused for Reason; come back after
	// RetryAfter.
	ActRefuse
	// ActLoad: order Target to load Ref in Version (0: the newest).
	ActLoad
	// ActUnload: order Target to unload Ref.
	ActUnload
	// ActReadReport: read Target's report and feed it to Report.
	ActReadReport
)

// Action is one thing to do. Which fields are set depends on Kind.
type Action struct {
	Kind    ActionKind
	Key     Key
	Target  string
	Ref     coord.AdapterRef
	Version int64
	// Priority of a granted request at Target; 0 is the most urgent.
	Priority int
	// ExpectedOrders is how many orders Target must have taken so far for this one to be
	// obeyed; nil: any number.
	ExpectedOrders *uint64
	RetryAfter     time.Duration
	Reason         string
	// FencingToken is the number of the lease under which an order was decided. It must not be given
	// under another: the target's places may have been filled by another holder in between
	// (TestPromisesBesideTakeovers, seed 126).
	FencingToken uint64
	// Basis of an order.
	Basis Basis
}

// Basis is what was believed of a target when an order was given, for logs: from the orders of
// one engine and their bases it can be told which place was counted wrongly, and why.
type Basis struct {
	// Occupied is how many of Slots places were, with the one of a load that is ordered, and
	// InTransit how many of them by adapters on their way in or out.
	Occupied, Slots, InTransit int
	// Unconfirmed is how many places were taken by adapters that are there by the clock only.
	Unconfirmed int
	// ReportAge is the time since the last report that was taken over was asked for; negative:
	// there was none.
	ReportAge time.Duration
	// Cached says that a load is expected to be quick, since the engine keeps the adapter at hand.
	Cached bool
	// Confirmed says that an adapter to unload is known to be there.
	Confirmed bool
}

// AnnouncedTarget is a target as it announces itself.
type AnnouncedTarget struct {
	ID    string
	Ready bool
	// Resident adapters and models by the announcement, which lags.
	Resident []ResidentItem
}

// ResidentItem is a model or an adapter that a target holds, with its version if known.
type ResidentItem struct {
	Ref     coord.AdapterRef
	Version int64
}
