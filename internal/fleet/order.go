package fleet

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Order instructs an engine to load or unload a model or an adapter.
type Order struct {
	Target  string
	Address string
	Unload  bool
	Ref     AdapterRef
	// Version of the adapter to load; 0: the newest.
	Version int64
	// Holder is the VM that sends the order, and FencingToken the token that it sends it under.
	Holder       string
	FencingToken uint64
	// ExpectedOrders is the number of orders that the engine must have accepted so far to accept
	// this one; nil: any number.
	ExpectedOrders *uint64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// The results of an order.
const (
	// OrderUnknown: no answer; the order may have been accepted.
	OrderUnknown OrderResult = iota
	// OrderAccepted: the order is being carried out.
	OrderAccepted
	// OrderAlreadyApplied: the engine already is in the requested state.
	OrderAlreadyApplied
	// OrderConflict: not accepted; another order is in progress.
	OrderConflict
	// OrderFenced: not accepted; the engine has seen a higher fencing token.
	OrderFenced
	// OrderMisrouted: not accepted; another process has the target's address.
	OrderMisrouted
	// OrderInvalid: not accepted, and a retry would not be accepted either.
	OrderInvalid
)

// String returns the result's name for logs.
func (r OrderResult) String() string {
	return [...]string{"unknown", "begun", "holds", "conflict", "fenced", "misplaced", "invalid"}[r]
}

// OrderAnswer is the result of an order, with the notice that came with it.
type OrderAnswer struct {
	Result OrderResult
	Notice Notice
}

// Report is the state that an engine reports on request. It lags by some hundred ms.
type Report struct {
	// Started is the engine's start time, as in Target.
	Started  int64
	Resident []ResidentModel
	Pending  []AdapterRef
	// Busy means that the engine is loading or unloading a base model.
	Busy    bool
	Running int
	Waiting int
	// OrderCount is how many orders the engine has accepted since its start.
	OrderCount uint64
	// Notice is the notice that came with the answer; it is valid even if Report returned an error.
	Notice Notice
}

// Marks of errors of Engines.
var (
	// ErrAnswered means that the engine has answered.
	ErrAnswered = errors.New("the engine answered")
	// ErrUnconnected means that no connection to the engine could be made.
	ErrUnconnected = errors.New("no connection to the engine")
)

// Engines sends orders to engines and reads their reports.
type Engines interface {
	Order(ctx context.Context, o Order) (OrderAnswer, error)
	Report(ctx context.Context, target, address string) (Report, error)
}
