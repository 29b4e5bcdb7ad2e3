// Package entry implements the HTTP server for callers: an OpenAI-compatible API
// for adapters and a pass-through for plain services.
//
// The server reads the full request, resolves it against the bundle in force,
// selects a target, and has the owner of the target run it. A response is either
// sent completely or its connection is aborted, so that a truncated response never
// looks complete. Every error response states whether the request ran, did not run,
// or may have run.
package entry

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/limits"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/records"
	"github.com/junctionfold/junctionfold/internal/router"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	Settings *schema.DoorSettings
	Router   *router.Router
	Records  *records.Store
	Limits   *limits.Limiter
	Retries  *limits.RetryBudget
	// Owner returns the executor that runs attempts on the given VM.
	Owner func(coord.VMID) forward.Executor
	// Transport sends requests to plain services.
	Transport http.RoundTripper
	// Alive reports whether the given incarnation of a VM's process may still run
	// requests.
	Alive   func(vm coord.VMID, incarnation uint64) bool
	Ready   func() bool
	Log     log.Interface
	Metrics *metrics.Set
	Now     func() time.Time
}

// Server is the front end of one VM. It serves the requests of callers.
type Server struct {
	cfg  Config
	mux  *http.ServeMux
	open atomic.Int64
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /v1/chat/completions", s.completion)
	s.mux.HandleFunc("POST /v1/completions", s.completion)
	s.mux.HandleFunc("GET /v1/models", s.models)
	s.mux.HandleFunc("GET /v1/models/{model...}", s.model)
	s.mux.HandleFunc("/services/{service}/{rest...}", s.service)
	s.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s.mux.HandleFunc("GET /readyz", s.ready)
	s.mux.HandleFunc("/", s.notFound)
	return s
}

// OpenRequests returns the number of requests in flight.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !s.cfg.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call is one request of a caller.
type call struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	catalog *catalog.Catalog
	log     log.Interface
}

// maxRequestIDBytes bounds the request id that a caller may set.
const maxRequestIDBytes = 128

// requestID returns the request id that the caller set, or a new one if the caller
// set none or an invalid one. A valid id consists of printable ASCII characters
// without spaces and slashes.
func requestID(r *http.Request) string {
	id := r.Header.Get(target.RequestIDHeader)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '/' {
			return uuid.NewString()
		}
	}
	return id
}

// ServeHTTP assigns a request its id and handles it. It rejects the request if too
// many are in flight.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	open := s.open.Add(1)
	defer s.open.Add(-1)
	id := requestID(r)
	w.Header().Set(target.RequestIDHeader, id)
	if open > s.cfg.Settings.MaxOpenRequests {
		c := s.newCall(w, r)
		c.fail(notRunFailure(forward.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "too many open requests"))
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := w.Header().Get(target.RequestIDHeader)
	return &call{
		server: s, w: w, r: r, id: id, catalog: s.cfg.Router.Catalog(),
		log: s.cfg.Log.WithField("request", id),
	}
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	c.fail(notRunFailure("path_not_found", http.StatusNotFound, 0, "no such path: "+r.URL.Path))
}

// begin returns a new call. If the VM has no bundle yet, it writes the error response
// and returns false.
func (s *Server) begin(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := s.newCall(w, r)
	s.cfg.Metrics.Requests.Add(1)
	if c.catalog == nil {
		c.fail(notRunFailure(forward.CodeNotReady, http.StatusServiceUnavailable, time.Second, "no bundle is in force yet"))
		return nil, false
	}
	return c, true
}

// TimeoutHeader is the request header with which a caller sets a shorter timeout for
// its request, in milliseconds.
const TimeoutHeader = "X-Timeout-Ms"

// timeout returns the time for the request: the configured maximum, or the timeout that
// the caller set if that is shorter.
func (c *call) timeout() time.Duration {
	timeout := time.Duration(c.server.cfg.Settings.MaxRequestMs) * time.Millisecond
	if requested, err := time.ParseDuration(c.r.Header.Get(TimeoutHeader) + "ms"); err == nil && requested > 0 {
		timeout = min(timeout, requested)
	}
	return timeout
}

// deadline returns the context of the request with its deadline.
func (c *call) deadline() (context.Context, context.CancelFunc) {
	return context.WithTimeout(c.r.Context(), c.timeout())
}

// allow checks a request against the rate limits. If it is over a limit, allow writes
// the error response and returns false.
func (c *call) allow(rates ...keyedRate) bool {
	for _, rate := range rates {
		ok, retryDelay := c.server.cfg.Limits.Allow(c.server.cfg.Now(), rate.key, rate.perSecond)
		if !ok {
			c.fail(notRunFailure(forward.CodeRateLimited, http.StatusTooManyRequests, retryDelay, "over the limit of "+rate.subject))
			return false
		}
	}
	return true
}

// keyedRate is a rate limit that a request counts against. subject names the limited
// party in error messages.
type keyedRate struct {
	key       string
	subject   string
	perSecond float64
}

// callerID identifies the caller for rate limits and idempotency keys. It is a hash of
// the credentials.
func (c *call) callerID() string {
	return hashText(c.r.Header.Get("Authorization"))
}
