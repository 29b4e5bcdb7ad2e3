package entry

import (
	"net/http"

	"github.com/junctionfold/junctionfold/schema"
)

// answerSink writes an answer to the caller and keeps a copy when asked to.
type answerSink struct {
	w         http.ResponseWriter
	flush     *http.ResponseController
	committed bool
	// keep is where the answer is copied to; nil for no copy.
	keep *schema.StoredAnswer
	// tooLarge says that the answer outgrew the copy.
	tooLarge bool
}

// maxKeptAnswer bounds the copy of an answer, in bytes.
const maxKeptAnswer = 1 << 20

func newSink(w http.ResponseWriter, keep bool) *answerSink {
	s := &answerSink{w: w, flush: http.NewResponseController(w)}
	if keep {
		s.keep = &schema.StoredAnswer{}
	}
	return s
}

// Head starts the answer.
func (s *answerSink) Head(status int, headers []*schema.Header) error {
	s.committed = true
	if s.keep != nil {
		s.keep.Status, s.keep.Headers = int32(status), headers
	}
	h := s.w.Header()
	for _, line := range headers {
		h.Add(line.Name, line.Value)
	}
	s.w.WriteHeader(status)
	return nil
}

// Data passes a part of the body on at once.
func (s *answerSink) Data(part []byte) error {
	s.copyPart(part)
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.flush.Flush()
}

func (s *answerSink) copyPart(part []byte) {
	if s.keep == nil || s.tooLarge {
		return
	}
	if len(s.keep.Body)+len(part) > maxKeptAnswer {
		s.tooLarge = true
		s.keep.Body = nil
		return
	}
	s.keep.Body = append(s.keep.Body, part...)
}

// kept returns the whole copy, or nil.
func (s *answerSink) kept() *schema.StoredAnswer {
	if s.tooLarge {
		return nil
	}
	return s.keep
}

// replay writes a stored answer.
func replay(w http.ResponseWriter, a *schema.StoredAnswer) {
	h := w.Header()
	for _, line := range a.Headers {
		h.Add(line.Name, line.Value)
	}
	h.Set(ReplayedHeader, "true")
	w.WriteHeader(int(a.Status))
	_, _ = w.Write(a.Body)
}

// ReplayedHeader marks an answer that was kept from an earlier try.
const ReplayedHeader = "Idempotency-Replayed"
