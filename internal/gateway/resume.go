package gateway

import (
	"bytes"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// stream is what a caller has of a stream that may be resumed. Callers get whole events
// only, so that another target can go on after the last of them.
type stream struct {
	// head is the first answer's, which the caller has; nil: nothing was answered.
	head http.Header
	// lastEvent is the id of the last event that the caller has; empty: none.
	lastEvent string
	// rest is the begin of an event that has not come whole.
	rest []byte
}

// maxEvent bounds the event that is held back until it is whole, in bytes; events here
// have some dozens.
const maxEvent = 64 << 10

// errLongEvent marks a stream that cannot be passed on by whole events.
var errLongEvent = errors.New("an event is too long")

// take takes bytes as they come and returns the events that are whole by now.
func (s *stream) take(b []byte) ([]byte, error) {
	s.rest = append(s.rest, b...)
	end := endOfEvents(s.rest)
	if end == 0 {
		if len(s.rest) > maxEvent {
			return nil, errLongEvent
		}
		return nil, nil
	}
	whole := s.rest[:end]
	s.rest = bytes.Clone(s.rest[end:])
	if id, ok := lastEventID(whole); ok {
		s.lastEvent = id
	}
	return whole, nil
}

// endOfEvents returns the length of the events in b that are whole: each ends with an
// empty line.
func endOfEvents(b []byte) int {
	end := 0
	for _, mark := range []string{"\n\n", "\r\n\r\n"} {
		if i := bytes.LastIndex(b, []byte(mark)); i >= 0 {
			end = max(end, i+len(mark))
		}
	}
	return end
}

// lastEventID returns the last id that events set.
func lastEventID(events []byte) (id string, ok bool) {
	for line := range bytes.Lines(events) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id, ok = string(bytes.TrimSpace(value)), true
		}
	}
	return id, ok
}

// mayResume reports whether another target may run the request after one failed.
func (x *exchange) mayResume(err error) bool {
	return x.route.Resumable && x.runs < x.route.MaxAttempts && x.ctx.Err() == nil &&
		!errors.IsAny(err, errCallerLeft, errLongEvent)
}

// resumable reports whether another target could go on with an answer.
func (x *exchange) resumable(a *hop.Answer) bool { return x.route.Resumable && a.Length < 0 }

// goesOn reports whether an answer continues the one that the caller has the begin of.
func (x *exchange) goesOn(a *hop.Answer) bool {
	return a.Status == http.StatusOK && isEventStream(a.Header) && x.g.cfg.Codec.CanResume(x.stream.head, a.Header)
}

// resumes ends an attempt after which another target is to go on.
func (x *exchange) resumes(v Decision, err error) {
	x.stream.rest = nil
	x.g.cfg.Metrics.Resumed.Add(1)
	x.attemptEnded(v, x.failure(err), 0, err)
}

// giveUp ends a request for which no further attempt is made: it is refused if it has
// certainly not run, and cut if the caller has a part of the answer.
func (x *exchange) giveUp(v Decision, reason string) {
	switch {
	case x.stream.head != nil:
		x.end("cut", http.StatusOK, reason, nil)
		abort()
	case x.runs > 0:
		x.fail(reason, nil)
	default:
		x.refuseAs(v, reason)
	}
}
