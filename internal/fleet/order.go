package fleet

import "context"

// Order tells an engine to load or unload a model or an adapter.
type Order struct {
	Target  string
	Address string
	Unload  bool
	Ref     AdapterRef
	// Version of the adapter to load; 0: the newest.
	Version int64
	// Holder and Fence name who gives the order, and under which number.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is how many orders the engine must have taken so far for it to obey;
	// nil: any number.
	ExpectedOrders *uint64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// The results of an order.
const (
	// OrderUnknown: no answer; it may have been taken.
	OrderUnknown OrderResult = iota
	// OrderAccepted: being carried out.
	OrderAccepted
	// OrderAlreadyApplied: already so.
	OrderAlreadyApplied
	// OrderConflict: not taken; another order is under way.
	OrderConflict
	// OrderFenced: not taken; a higher fencing number was seen.
	OrderFenced
	// OrderMisrouted: not taken; the target is another process.
	OrderMisrouted
	// OrderInvalid: not taken, and never will be.
	OrderInvalid
)

// String gives the result's name for logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "begun", "holds", "conflict", "fenced", "misplaced", "invalid"}[r]
}

// OrderAnswer is the result of an order, with what the engine says of itself beside it.
type OrderAnswer struct {
	Result OrderResult
	Notice Notice
}

// Report is what an engine says of itself when asked; it lags by some hundred ms.
type Report struct {
	// Started is when the engine started, as in Target.
	Started  int64
	Resident []ResidentModel
	Pending  []AdapterRef
	// Busy says that the engine loads or unloads a base model.
	Busy    bool
	Running int
	Waiting int
	// OrderCount is how many orders the engine has taken since its start.
	OrderCount uint64
	// Notice is what the answer says besides; it counts also beside an error.
	Notice Notice
}

// Engines gives orders to engines and reads their reports.
type Engines interface {
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, target, address string) (Report, error)
}
