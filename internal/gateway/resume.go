package gateway

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// stream is the caller's part of a stream that may be resumed. Only complete events are forwarded,
// so that another target can continue after the last of them.
type stream struct {
	// header is that of the first response; nil: nothing was sent to the caller.
	header http.Header
	// lastEventID is the id of the last event that the caller has received; empty: none.
	lastEventID string
	// scanner follows the part that the current target sends.
	scanner eventstream.Scanner
	// partial is the beginning of an event that has not arrived completely.
	partial []byte
}

// startPart begins the part of the stream that another target sends.
func (s *stream) startPart() { s.scanner, s.partial = eventstream.Scanner{}, nil }

// scan follows received bytes and returns them.
func (s *stream) scan(b []byte) ([]byte, error) {
	s.scanner.Scan(b)
	return b, nil
}

// maxEventBytes bounds a partial event that is held back until it is complete. Typical events have
// a few dozen bytes.
const maxEventBytes = 64 << 10

// errEventTooLong marks a stream that cannot be forwarded in complete events.
var errEventTooLong = errors.New("event is too long to buffer")

// completeEvents appends received bytes and returns the events that are complete now.
func (s *stream) completeEvents(b []byte) ([]byte, error) {
	end := s.scanner.Scan(b)
	if end > 0 {
		end += len(s.partial)
	}
	s.partial = append(s.partial, b...)
	if end == 0 {
		if len(s.partial) > maxEventBytes {
			return nil, errEventTooLong
		}
		return nil, nil
	}
	complete := s.partial[:end]
	s.partial = bytes.Clone(s.partial[end:])
	if id, ok := eventstream.LastID(complete); ok {
		s.lastEventID = id
	}
	return complete, nil
}

// canResume reports whether another target may run the request after a failure.
func (x *exchange) canResume(err error) bool {
	return x.route.Resumable && x.runs < x.route.MaxAttempts && x.isContinuable() && x.ctx.Err() == nil &&
		!errors.IsAny(err, errCallerLeft, errEventTooLong)
}

// continuesStream reports whether a response continues the one of which the caller has received a
// part.
func (x *exchange) continuesStream(resp *hop.Response) bool {
	return resp.Status == http.StatusOK && eventstream.IsDeclared(resp.Header) && x.g.cfg.Codec.CanResume(x.stream.header, resp.Header)
}

// recordResume ends an attempt after which another target is to continue the stream.
func (x *exchange) recordResume(decision Decision, err error) {
	x.g.cfg.Metrics.Resumed.Add(1)
	x.recordFailedAttempt(decision, x.failureEnding(err), 0, err)
}

// giveUp ends a request for which no further attempt is made. The request is refused if it has
// certainly not run; its connection is closed if the caller has received a part of the response.
func (x *exchange) giveUp(decision Decision, reason string) {
	switch {
	case x.stream.header != nil:
		x.recordOutcome("cut", http.StatusOK, reason, nil)
		x.delimiter.Abort()
	case x.runs > 0:
		x.fail(reason, nil)
	default:
		x.refuseByDecision(decision, reason)
	}
}
