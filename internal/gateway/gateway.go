// Package gateway is the callers' front door of an edge VM: it reads a request,
// finds its route, gets it a target, sends it there and returns the answer.
//
// gateway.go reads requests, identify.go finds whose they are and answers.go answers them without a target, routes.go finds
// routes, plain.go and model.go choose targets and repeat attempts, leaving.go, resting.go and
// limited.go leave targets alone that say so, relay.go carries answers back, and resume.go goes on with a stream that
// broke off.
//
// What a caller is told is what is known: 503 and 429 say that the request has
// not run and never will; 502 and 504 leave it open; an answer that broke off
// ends with its connection.
package gateway

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/junctionfold/junctionfold/coord/backoff"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// Directory is what is known of the surroundings.
type Directory interface {
	Directory() *feed.Directory
	// Age is how long ago that was known to be current, as far as others told.
	Age() time.Duration
	// ConfirmedAge is an upper bound on how long ago it was current.
	ConfirmedAge() time.Duration
	// Revision of the store up to which it is complete.
	Revision() fleet.Revision
}

// Config holds what a Gateway needs.
type Config struct {
	VM        string
	Zone      string
	Codec     fleet.Codec
	Directory Directory
	Admission Admission
	Pool      *hop.Pool
	// Retry is what the deployment allows.
	Retry retry.Config
	// VMs returns how many VMs share budgets and connections.
	VMs func() int
	// DrainBounds are for targets that leave.
	DrainBounds DrainBounds
	// OnNotice takes what a target said of itself beside an answer, and the verdict on which the answered
	// request was sent; nil: that is not known. It must not wait.
	OnNotice func(target string, said fleet.Notice, v *Decision)
	// RateLimits knows which targets limit the rate of their requests.
	RateLimits RateLimits
	// CheckSuspension looks whether this VM was suspended, which Now and all ages count from then on.
	CheckSuspension func()
	// MaxKeyAge is how old a copy of the store may be to judge keys by; 0: any.
	MaxKeyAge time.Duration
	Log       *events.Log
	Metrics   *Metrics
	Now       func() time.Time
}

// Gateway implements http.Handler. Lock order: Gateway.mu is taken alone.
type Gateway struct {
	cfg      Config
	began    time.Time
	table    atomic.Pointer[routeTable]
	draining atomic.Bool
	open     atomic.Int64
	ages     *ages

	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	balancer *balance.Balancer
	rests    *backoff.Table
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, began: cfg.Now(), ages: newAges(), budgets: map[string]*retry.Budget{}, balancer: balance.New(), rests: backoff.New()}
}

// OpenRequests returns how many requests are open.
func (g *Gateway) OpenRequests() int64 { return g.open.Load() }

// Drain makes every answer from now on the last of its connection.
func (g *Gateway) Drain() { g.draining.Store(true) }

// staleConfig is the age of the configuration beyond which a route that is not
// there may have been added: such a request is refused, not denied.
const staleConfig = 1500 * time.Millisecond

// Retry-After of refusals.
const (
	// startPause is for a VM that knows no configuration yet.
	startPause = 500 * time.Millisecond
	// awayPause is for one that knows none although it has been up for readTime, in which
	// the store answers: it is away, for seconds as far as is known, and callers come back
	// once. On a played day 195 VMs started 1.5 s before the store was back and told 0.5 s
	// in 2,299 refusals; 0.038 of the day's requests were not served for that. No caller
	// waits for longer than waitShare of the time that it has left.
	awayPause = 2 * time.Second
	readTime  = 300 * time.Millisecond
	waitShare = 1.0 / 3
	// busyPause is for targets without room.
	busyPause = 200 * time.Millisecond
)

// exchange is one request on its way.
type exchange struct {
	g       *Gateway
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	began   time.Time
	route   *fleet.Route
	service *fleet.Service
	budget  *retry.Budget
	req     fleet.Request
	target  string // as the caller wrote it
	header  http.Header
	body    []byte
	// keyed says that requests carry keys, and team whose key this one has; nil: none.
	keyed bool
	team  *fleet.Team
	// deadline is when the caller or the route gives up, and age how long ago the caller first
	// asked for this.
	deadline time.Time
	age      time.Duration
	// digest stands for what the request asks.
	digest quarantine.Digest
	// runs is how many targets may have run a model request, exclude those that it must
	// not go to again, and stream what the caller has of its answer.
	runs    int
	exclude []string
	stream  stream
	// verdict is the one that is acted on.
	verdict Decision
	// line closes the request in the log.
	line events.Request
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	g.cfg.CheckSuspension()
	x := &exchange{g: g, w: w, r: r, began: g.cfg.Now()}
	x.line.FeedAge, x.line.ConfirmedAge = g.cfg.Directory.Age(), g.cfg.Directory.ConfirmedAge()
	dir := g.cfg.Directory.Directory() // after Proven, see there
	if dir.Config == nil {
		x.refuse("no_configuration", x.pauseWithoutConfiguration())
		return
	}
	x.line.ConfigVersion = dir.Config.Version
	if !x.findRoute(dir) || !x.decode() || !x.identify(dir) || !x.readBody(dir.Config.Limits) {
		return
	}
	x.header = g.cfg.Codec.ForwardRequest(r.Header, x.keyed)
	ctx, cancel := context.WithTimeout(r.Context(), x.left())
	defer cancel()
	x.ctx = ctx
	x.choose(dir)
	x.digest = x.content()
	if x.service.Engine != nil {
		x.serveModel()
		return
	}
	x.servePlain()
}

// left is the time until the caller or the route gives up.
func (x *exchange) left() time.Duration { return x.deadline.Sub(x.g.cfg.Now()) }

func (g *Gateway) routes(c *fleet.Config) *routeTable {
	t := g.table.Load()
	if t == nil || t.config != c {
		t = newRouteTable(c)
		g.table.Store(t)
	}
	return t
}

func (x *exchange) findRoute(dir *feed.Directory) bool {
	target, path := requestTarget(x.r)
	x.target = target
	x.route = x.g.routes(dir.Config).find(x.r.Host, path)
	if x.route != nil && len(x.route.Split) > 0 {
		return true
	}
	if x.route != nil {
		x.refuse("route_not_understood", startPause)
		return false
	}
	if x.line.FeedAge > staleConfig {
		x.refuse("no_route_but_stale", startPause)
		return false
	}
	x.deny(http.StatusNotFound, "no_route")
	return false
}

// defaultTimeout holds where neither caller nor route sets one.
const defaultTimeout = 30 * time.Second

func (x *exchange) decode() bool {
	var err error
	if x.req, err = x.g.cfg.Codec.DecodeRequest(x.r.Header); err != nil {
		x.denyBecause(http.StatusBadRequest, "bad_header", err)
		return false
	}
	left := x.route.Timeout
	if left <= 0 {
		left = defaultTimeout
	}
	if x.req.Remaining > 0 {
		left = min(left, x.req.Remaining)
	}
	x.deadline = x.began.Add(left)
	x.age = x.g.ages.of(x.route.Name, x.req.Remaining)
	return true
}

// readBody reads the whole body, so that an attempt can be repeated.
func (x *exchange) readBody(limits fleet.Limits) bool {
	if limits.MaxHeaderBytes > 0 && headerBytes(x.r) > limits.MaxHeaderBytes {
		x.deny(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	most := limits.MaxBodyBytes
	if most > 0 && x.r.ContentLength > most {
		x.deny(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	if x.r.ContentLength == 0 {
		return true
	}
	source := io.Reader(x.r.Body)
	if most > 0 {
		source = io.LimitReader(source, most+1)
	}
	body, err := io.ReadAll(source)
	if err != nil {
		x.denyBecause(http.StatusBadRequest, "body_cut", err)
		return false
	}
	if most > 0 && int64(len(body)) > most {
		x.deny(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	x.body = body
	return true
}

// headerBytes is the size of the head, near enough.
func headerBytes(r *http.Request) int {
	const perLine = 4 // ": " and the line's end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perLine
		}
	}
	return n
}

func (x *exchange) choose(dir *feed.Directory) {
	name := pickService(x.route, x.req.ID)
	x.service = dir.Config.Services[name]
	if x.service == nil {
		x.service = &fleet.Service{Name: name}
	}
	x.budget = x.g.budget(name)
	x.g.mu.Lock()
	x.budget.RecordRequest()
	x.g.mu.Unlock()
}

// SetRetry changes what the deployment allows.
func (g *Gateway) SetRetry(c retry.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Retry = c
	for _, b := range g.budgets {
		b.Configure(c)
	}
}

func (g *Gateway) budget(service string) *retry.Budget {
	vms := g.cfg.VMs()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.New(g.cfg.Retry, vms)
		g.budgets[service] = b
	}
	b.SetVMs(vms)
	return b
}

// mayRetry takes one retry from the budget.
func (x *exchange) mayRetry() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.budget.TryAcquire(rand.Float64()) {
		return true
	}
	x.g.cfg.Metrics.BudgetEmpty.Add(1)
	x.g.cfg.Log.RetryDenied(x.req.ID, x.service.Name, x.budget.Remaining())
	return false
}

// Prune forgets what is no longer needed. It is to be called now and then.
func (g *Gateway) Prune() {
	now := g.cfg.Now()
	g.mu.Lock()
	g.balancer.ExpireIdle(now)
	g.mu.Unlock()
	g.cfg.Pool.CloseIdle(now)
}
