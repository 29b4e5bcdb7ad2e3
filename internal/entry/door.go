// Package entry is the callers' front door: an OpenAI-compatible interface for
// adapters and a pass-through for plain services.
//
// A request is read whole, resolved against the bundle in force, placed, and run
// by the owner of its target. An answer ends whole or its connection is aborted;
// it never looks whole when it is not. Every refusal says what is known: not run,
// or unknown.
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

// Config holds what a Door works with.
type Config struct {
	Settings *schema.DoorSettings
	Router   *router.Router
	Records  *records.Store
	Limits   *limits.Limiter
	Retries  *limits.RetryBudget
	// Owner returns the executor for attempts at a VM.
	Owner func(coord.VMID) forward.Executor
	// Services calls plain services.
	Transport http.RoundTripper
	// Alive reports whether a VM's process of that incarnation may still run
	// requests.
	Alive   func(vm coord.VMID, incarnation uint64) bool
	Ready   func() bool
	Log     log.Interface
	Metrics *metrics.Set
	Now     func() time.Time
}

// Server is the front door of one VM.
type Server struct {
	cfg  Config
	mux  *http.ServeMux
	open atomic.Int64
}

// New returns a Door.
func New(cfg Config) *Server {
	d := &Server{cfg: cfg, mux: http.NewServeMux()}
	d.mux.HandleFunc("POST /v1/chat/completions", d.completion)
	d.mux.HandleFunc("POST /v1/completions", d.completion)
	d.mux.HandleFunc("GET /v1/models", d.models)
	d.mux.HandleFunc("GET /v1/models/{model...}", d.model)
	d.mux.HandleFunc("/services/{service}/{rest...}", d.service)
	d.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	d.mux.HandleFunc("GET /readyz", d.ready)
	d.mux.HandleFunc("/", d.notFound)
	return d
}

// OpenRequests returns how many requests are open.
func (d *Server) OpenRequests() int { return int(d.open.Load()) }

func (d *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if !d.cfg.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// call is one request at the door.
type call struct {
	door    *Server
	w       http.ResponseWriter
	r       *http.Request
	id      string
	catalog *catalog.Catalog
	log     log.Interface
}

// maxRequestID bounds a caller's request id, in bytes.
const maxRequestID = 128

// requestID returns the caller's id when it is usable, else a new one.
func requestID(r *http.Request) string {
	id := r.Header.Get(target.RequestIDKey)
	if id == "" || len(id) > maxRequestID {
		return uuid.NewString()
	}
	for _, c := range id {
		if c <= ' ' || c > '~' || c == '/' {
			return uuid.NewString()
		}
	}
	return id
}

// ServeHTTP admits a request and gives it its id.
func (d *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	open := d.open.Add(1)
	defer d.open.Add(-1)
	id := requestID(r)
	w.Header().Set(target.RequestIDKey, id)
	if open > d.cfg.Settings.MaxOpenRequests {
		c := d.newCall(w, r)
		c.fail(refusal(forward.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "too many open requests"))
		return
	}
	d.mux.ServeHTTP(w, r)
}

func (d *Server) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := w.Header().Get(target.RequestIDKey)
	return &call{
		door: d, w: w, r: r, id: id, catalog: d.cfg.Router.Catalog(),
		log: d.cfg.Log.WithField("request", id),
	}
}

func (d *Server) notFound(w http.ResponseWriter, r *http.Request) {
	c := d.newCall(w, r)
	c.fail(refusal("path_not_found", http.StatusNotFound, 0, "no such path: "+r.URL.Path))
}

// begin returns the call when the VM has a bundle, else answers it.
func (d *Server) begin(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := d.newCall(w, r)
	d.cfg.Metrics.Requests.Add(1)
	if c.catalog == nil {
		c.fail(refusal(forward.CodeNotReady, http.StatusServiceUnavailable, time.Second, "no bundle is in force yet"))
		return nil, false
	}
	return c, true
}

// TimeoutHeader lets a caller set a shorter life for a request, in
// milliseconds.
const TimeoutHeader = "X-Timeout-Ms"

// deadline returns the request's context with its deadline.
func (c *call) deadline() (context.Context, context.CancelFunc) {
	life := time.Duration(c.door.cfg.Settings.MaxRequestMs) * time.Millisecond
	if asked, err := time.ParseDuration(c.r.Header.Get(TimeoutHeader) + "ms"); err == nil && asked > 0 {
		life = min(life, asked)
	}
	return context.WithTimeout(c.r.Context(), life)
}

// allow holds a request against the limits. It answers a refused one.
func (c *call) allow(rates ...keyedRate) bool {
	for _, k := range rates {
		ok, retry := c.door.cfg.Limits.Allow(c.door.cfg.Now(), k.key, k.perSecond)
		if !ok {
			c.fail(refusal(forward.CodeRateLimited, http.StatusTooManyRequests, retry, "over the limit of "+k.what))
			return false
		}
	}
	return true
}

// keyedRate is one limit that a request counts against.
type keyedRate struct {
	key       string
	what      string
	perSecond float64
}

// caller names who asks, for limits and keys: the hash of the credentials.
func (c *call) caller() string {
	return hashText(c.r.Header.Get("Authorization"))
}
