// Package forward defines the interface between the front end and the component that
// runs an attempt: the owner in the same process, an owner on another VM, or a plain
// service.
package forward

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/schema"
)

// Head is the head of a response.
type Head struct {
	Status  int
	Headers []*schema.Header
	// CloseDelimited is set if the target's body ends with its connection. Such a body may have been
	// broken off although no failure is reported.
	CloseDelimited bool
	// Length is the length of the body in bytes; -1: unknown. It is set for relayed requests only.
	Length int64
}

// Sink receives a response. Head is called once, followed by any number of calls to
// Data. An error from the sink means that the caller has closed its connection.
type Sink interface {
	Head(h Head) error
	Data(part []byte) error
}

// Result is the result of an attempt. The response is complete only if Failure is nil.
type Result struct {
	Failure *schema.Failure
	Hint    *schema.LoadHint
}

// Executor runs one attempt and writes its response to the sink.
type Executor interface {
	Execute(ctx context.Context, f *schema.Forward, sink Sink) Result
}

// Failure codes. They are stable, since callers and tests depend on them.
const (
	CodeNotOwner          = "not_owner"
	CodeOwnerStarting     = "owner_starting"
	CodeSlotsHeld         = "slots_held"
	CodeOwnerStopped      = "owner_stopped"
	CodeUnknownModel      = "model_not_found"
	CodeTargetLeaving     = "target_leaving"
	CodeOwnerUnreachable  = "owner_unreachable"
	CodeTargetUnreachable = "target_unreachable"
	CodeTargetRefused     = "target_refused"
	CodeAnswerTruncated   = "answer_cut"
	CodeAnswerMismatch    = "answer_crossed"
	CodeWrongAdapter      = "wrong_adapter_answered"
	CodeTimeout           = "deadline_exceeded"
	CodeCancelled         = "caller_gone"
	CodeNoTarget          = "no_target"
	CodeBadRequest        = "bad_request"
	CodeTooLarge          = "body_too_large"
	CodeOverloaded        = "overloaded"
	CodeNotReady          = "not_ready"
	CodeRateLimited       = "rate_limited"
	CodeKeyReused         = "idempotency_key_reused"
	CodeOutcomeUnknown    = "outcome_unknown"
	CodeRecordsFull       = "outcome_records_full"
	CodeUnknownService    = "service_not_found"
	CodeVersionRequired   = "version_required"
	// CodeRelayUnavailable: the VM relays no requests, because it drains or cannot reach targets.
	CodeRelayUnavailable = "relay_unavailable"
	// CodeNoConnection: all connections that the VM may open to the target are in use.
	CodeNoConnection = "no_connection"
	// CodeWithdrawn: the request was withdrawn before it was sent.
	CodeWithdrawn = "withdrawn"
	// CodeTargetDisconnected: the target closed the connection before the response was complete.
	CodeTargetDisconnected = "target_disconnected"
	// CodeInvalidAnswer: the response was not a valid answer of the target.
	CodeInvalidAnswer = "answer_invalid"
	// CodeTargetFailed: the exchange with the target failed in another way.
	CodeTargetFailed = "target_failed"
)

// FailedResult returns the Result of a failed attempt.
func FailedResult(code string, status int, outcome schema.Outcome, retryDelay time.Duration, message string) Result {
	return Result{Failure: &schema.Failure{
		Code: code, Status: int32(status), Outcome: outcome,
		RetryAfterMs: retryDelay.Milliseconds(), Message: message,
	}}
}

// Header returns the value of the first header with the given name, or "". Names are
// compared exactly, since both ends use the canonical form of net/http.
func Header(headers []*schema.Header, name string) string {
	for _, h := range headers {
		if h.Name == name {
			return h.Value
		}
	}
	return ""
}
