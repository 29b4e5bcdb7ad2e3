// Package answer decides whether the head of a response is that of a target's own, whole answer to a
// request. Every path from a target to a caller uses Head.Accept: package hop for the requests of this
// VM and for those that it relays, and the front end for responses that another VM relayed.
package answer

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// Head is the head of a response, decoded.
type Head struct {
	Status int
	// RequestIDs are the ids of the requests that the response names, and Signatures the target's
	// signatures. A well-formed response has one of each.
	RequestIDs, Signatures []string
	// Encoded is set if the body has a content encoding. No request asks for one.
	Encoded bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
}

// Class classifies a response.
type Class int

// The classes of responses.
const (
	// Answered: the target ran the request, with any status.
	Answered Class = iota
	// Busy: the request was not run, and the target may have capacity later.
	Busy
	// Misrouted: the request was not run; another process has the address, or the target does not
	// hold the model or adapter that the request needs.
	Misrouted
	// Mismatched: the response belongs to another request.
	Mismatched
	// Unsigned: the target's signature is missing or ambiguous, and the status is a success or a promise
	// that the request has not run. The request may have run.
	Unsigned
	// Encoded: the body is not the target's own. The request may have run.
	Encoded
	// Malformed: the status is none of an answer, so that the rest of the head has no meaning. The request
	// may have run.
	Malformed
)

// String returns the class's name for logs and metrics.
func (c Class) String() string {
	return [...]string{"answered", "busy", "misrouted", "mismatched", "unsigned", "encoded", "malformed"}[c]
}

// Errors of heads that are not accepted.
var (
	// ErrOtherRequest marks a response to another request.
	ErrOtherRequest = errors.New("the response is to another request")
	// ErrInvalid marks a response that is not the target's whole answer, although it arrived in place of
	// it. The target was reached and may have run the request.
	ErrInvalid = errors.New("the response is not a valid answer of the target")
)

// Classify returns the class of a response to the request with the given id. A response with another id
// belongs to another request, and so does one without any, unless it states that the request was not
// run: targets may refuse a request before they have read its id.
func (h Head) Classify(requestID string) Class {
	if !isFinalStatus(h.Status) {
		return Malformed
	}
	for _, id := range h.RequestIDs {
		if id != requestID {
			return Mismatched
		}
	}
	switch {
	case h.Status == http.StatusMisdirectedRequest:
		return Misrouted
	case h.NotRun:
		return Busy
	case len(h.RequestIDs) == 0:
		return Mismatched
	case h.Encoded:
		return Encoded
	case h.needsSignature() && !h.isSigned():
		return Unsigned
	}
	return Answered
}

// Accept returns nil if the response is the target's whole answer to the request with the given id, as
// far as its head shows, or states that the request was not run. Otherwise it returns an error that is
// ErrOtherRequest or marked as ErrInvalid.
func (h Head) Accept(requestID string) error {
	switch class := h.Classify(requestID); class {
	case Mismatched:
		return ErrOtherRequest
	case Unsigned, Encoded, Malformed:
		return errors.Mark(errors.Newf("answer with status %d is %s", h.Status, class), ErrInvalid)
	}
	return nil
}

// Bounds of the statuses of HTTP (RFC 9110, section 15). Parsers accept any three digits.
const (
	minInformationalStatus = 100
	minFinalStatus         = 200
	maxFinalStatus         = 599
)

func isFinalStatus(status int) bool { return status >= minFinalStatus && status <= maxFinalStatus }

// IsInformational reports whether a status is that of a response which precedes the answer. No request asks
// for another protocol, so that 101 is none.
func IsInformational(status int) bool {
	return status >= minInformationalStatus && status < minFinalStatus && status != http.StatusSwitchingProtocols
}

// CheckStatus returns an error that is marked as ErrInvalid unless the status is that of an answer.
func CheckStatus(status int) error {
	if isFinalStatus(status) {
		return nil
	}
	return errors.Mark(errors.Newf("status %03d is none of an answer", status), ErrInvalid)
}

// isSigned reports whether there is exactly one signature. With several, readers of the first and
// readers of the last would see different ones.
func (h Head) isSigned() bool { return len(h.Signatures) == 1 && h.Signatures[0] != "" }

// needsSignature reports whether a caller may rely on the status: on a success, on an answer that it
// would not repeat, or on the promise of 503. Other failures of a server promise nothing.
func (h Head) needsSignature() bool {
	return h.Status < http.StatusInternalServerError || h.Status == http.StatusServiceUnavailable
}
