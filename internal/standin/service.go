package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"

	"github.com/junctionfold/junctionfold/internal/target"
)

// Service is an instance of a plain service. It numbers the calls it runs, so
// that a doubled one shows.
type Service struct {
	mu   sync.Mutex
	runs map[string]int
	next int
	// dropAfterRun closes that many connections after the call has run.
	dropAfterRun int
}

// NewService returns an instance that has run nothing.
func NewService() *Service { return &Service{runs: map[string]int{}} }

// DropAfterRun makes that many calls run and then lose their answer.
func (s *Service) DropAfterRun(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropAfterRun = n
}

// Runs returns how often a body was run.
func (s *Service) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.next++
	number := s.next
	s.runs[string(body)]++
	drop := s.dropAfterRun > 0
	if drop {
		s.dropAfterRun--
	}
	s.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/plain")
	_, _ = fmt.Fprintf(w, "%s %s ran as number %d: %s (%s)\n", r.Method, r.URL.RequestURI(), number, body, r.Header.Get(target.RequestIDKey))
}
