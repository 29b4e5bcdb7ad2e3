package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/junctionfold/junctionfold/internal/target"
)

// Service is a fake instance of a plain service. It numbers the calls it runs, so that a call
// that runs twice is visible.
type Service struct {
	mu            sync.Mutex
	runs          map[string]int
	lastRunNumber int
	// dropAfterRun is the number of next calls whose connection is aborted after the run.
	dropAfterRun int
	// answer, if set, writes the responses.
	answer http.HandlerFunc
}

// NewService returns an instance that has not run any call.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// DropAfterRun makes the next n calls run but lose their response.
func (s *Service) DropAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAfterRun = n
}

// SetAnswer sets the function that writes the responses of calls after their runs.
func (s *Service) SetAnswer(answer http.HandlerFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

// Runs returns the number of runs of calls with the given body.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// ServeHTTP runs a call and responds with its run number.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.lastRunNumber++
	number := s.lastRunNumber
	s.runs[string(body)]++
	answer, drop := s.answer, s.dropAfterRun > 0
	if drop {
		s.dropAfterRun--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	if answer != nil {
		answer(w, r)
		return
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s ran as number %d: %s (%s)\n", r.Method, r.URL.RequestURI(), number, body, r.Header.Get(target.RequestIDHeader))
}
