package entry

import (
	"net/http"

	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/schema"
)

// responseSink writes a response to the caller and optionally stores a copy of it. It
// implements forward.Sink.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	committed  bool
	// endVerified is set if the end of the target's response shows that it is complete.
	endVerified bool
	// delimiter delimits the caller's response.
	delimiter framing.Delimiter
	// stored is the copy of the response; nil if none is made.
	stored *schema.StoredAnswer
	// exceedsStoreLimit is set when the response is too large to be stored.
	exceedsStoreLimit bool
}

// maxStoredAnswerBytes bounds the body of a stored response.
const maxStoredAnswerBytes = 1 << 20

func newSink(w http.ResponseWriter, r *http.Request, store bool) *responseSink {
	s := &responseSink{w: w, delimiter: framing.NewDelimiter(w, r), controller: http.NewResponseController(w)}
	if store {
		s.stored = &schema.StoredAnswer{}
	}
	return s
}

// Head writes the head of the response.
func (s *responseSink) Head(h forward.Head) error {
	s.committed = true
	s.endVerified = !h.CloseDelimited
	if s.stored != nil {
		s.stored.Status, s.stored.Headers = int32(h.Status), h.Headers
	}
	dst := s.w.Header()
	for _, header := range h.Headers {
		dst.Add(header.Name, header.Value)
	}
	s.delimiter.Begin(h.CloseDelimited)
	s.w.WriteHeader(h.Status)
	return nil
}

// Data writes a part of the body and flushes it.
func (s *responseSink) Data(part []byte) error {
	s.storePart(part)
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.controller.Flush()
}

func (s *responseSink) storePart(part []byte) {
	if s.stored == nil || s.exceedsStoreLimit {
		return
	}
	if len(s.stored.Body)+len(part) > maxStoredAnswerBytes {
		s.exceedsStoreLimit = true
		s.stored.Body = nil
		return
	}
	s.stored.Body = append(s.stored.Body, part...)
}

// storedAnswer returns the copy of the response, or nil if there is none that is known to be complete.
func (s *responseSink) storedAnswer() *schema.StoredAnswer {
	if s.exceedsStoreLimit || !s.endVerified {
		return nil
	}
	return s.stored
}

// replay writes a stored response.
func replay(w http.ResponseWriter, a *schema.StoredAnswer) {
	dst := w.Header()
	for _, header := range a.Headers {
		dst.Add(header.Name, header.Value)
	}
	dst.Set(ReplayedHeader, "true")
	w.WriteHeader(int(a.Status))
	_, _ = w.Write(a.Body)
}

// ReplayedHeader is the response header that marks a response replayed from an earlier
// request with the same idempotency key.
const ReplayedHeader = "Idempotency-Replayed"
