package entry

import (
	"net/http"

	"github.com/junctionfold/junctionfold/schema"
)

// responseSink writes a response to the caller and optionally stores a copy of it. It
// implements forward.Sink.
type responseSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	committed  bool
	// stored is the copy of the response; nil if none is made.
	stored *schema.StoredAnswer
	// exceedsStoreLimit is set when the response is too large to be stored.
	exceedsStoreLimit bool
}

// maxStoredAnswerBytes bounds the body of a stored response.
const maxStoredAnswerBytes = 1 << 20

func newSink(w http.ResponseWriter, store bool) *responseSink {
	s := &responseSink{w: w, controller: http.NewResponseController(w)}
	if store {
		s.stored = &schema.StoredAnswer{}
	}
	return s
}

// Head writes the status and the headers of the response.
func (s *responseSink) Head(status int, headers []*schema.Header) error {
	s.committed = true
	if s.stored != nil {
		s.stored.Status, s.stored.Headers = int32(status), headers
	}
	dst := s.w.Header()
	for _, header := range headers {
		dst.Add(header.Name, header.Value)
	}
	s.w.WriteHeader(status)
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

// storedAnswer returns the complete copy of the response, or nil if there is none.
func (s *responseSink) storedAnswer() *schema.StoredAnswer {
	if s.exceedsStoreLimit {
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
