// Package gateway is the HTTP front end of an edge VM: it reads a caller's request, finds its
// route, obtains a target for it, sends it there and returns the response.
//
// gateway.go reads requests, identify.go authenticates them and responses.go responds without a
// target. routes.go finds routes; plain.go and model.go choose targets and retry attempts, which
// budget.go bounds. drain.go, backoff.go and limited.go hold requests back from targets that drain,
// request backoff, limit their rate or hold an outdated version of an adapter, and relayed.go those that this VM sends for others. relay.go
// returns responses that package answer accepts, framing.go detects those that were broken off, resume.go resumes broken streams at
// another target, software.go and incarnation.go keep each stream at the software version that began it, and origins.go finds
// that version for streams that callers take up. stop.go ends what a VM that stops cannot finish.
//
// Responses state only what is certain: 503 and 429 mean that the request has not run and never
// will; 502 and 504 mean that it may have run. A response that breaks off ends with its connection.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/backoff"
	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// Directory provides this VM's copy of the store: the configuration and the targets.
type Directory interface {
	Directory() *feed.Directory
	// Age is the time since the copy was last known to be current, according to reports of other
	// VMs.
	Age() time.Duration
	// ConfirmedAge is an upper bound on the time since the copy was current.
	ConfirmedAge() time.Duration
	// Revision is the revision of the store up to which the copy is complete.
	Revision() fleet.Revision
}

// Transport sends requests to targets. It is implemented by hop.Pool, and by transports that use other
// VMs as relays.
type Transport interface {
	// Do sends a request and returns its response. Its errors are those of package hop.
	Do(ctx context.Context, r *hop.Request) (*hop.Response, error)
	// CloseIdle closes idle connections that have expired at now.
	CloseIdle(now time.Time)
}

// Config holds the dependencies and settings of a Gateway.
type Config struct {
	VM        string
	Zone      string
	Codec     fleet.Codec
	Directory Directory
	Admission Admission
	Pool      Transport
	// Retry configures the retry budgets.
	Retry retry.Config
	// VMs returns how many VMs share the retry budgets.
	VMs func() int
	// ConnectedVMs returns how many VMs share the connections to targets.
	ConnectedVMs func() int
	// DrainBounds limits how late requests may reach draining targets.
	DrainBounds DrainBounds
	// VersionGrace is how long after the store acknowledged a new version of an adapter requests may
	// still be sent to run on an older one.
	VersionGrace time.Duration
	// StartTime asks a target for its start time in Unix ms; 0: not reported.
	StartTime func(ctx context.Context, target, address string) (int64, error)
	// OnNotice handles what a target reports about itself beside a response. decision is the one on
	// which the answered request was sent; nil: unknown. It must not block.
	OnNotice func(target string, notice fleet.Notice, decision *Decision)
	// Origins finds the software versions that began streams.
	Origins Origins
	// RateLimits reports which targets only the leader may choose.
	RateLimits RateLimits
	// RetiresConnections reports whether responses are to close the callers' connections, because this VM is
	// overloaded.
	RetiresConnections func() bool
	// CheckSuspension checks whether this VM was suspended. From then on Now and all ages include
	// the suspension.
	CheckSuspension func()
	// MaxKeyAge is the maximum age of a copy of the store by which keys may be checked; 0: no
	// limit.
	MaxKeyAge time.Duration
	Log       *events.Log
	Metrics   *Metrics
	Now       func() time.Time
}

// Gateway implements http.Handler. Lock order: Gateway.mu is not nested with other locks of this
// package.
type Gateway struct {
	cfg          Config
	startedAt    time.Time
	routeTable   atomic.Pointer[routeTable]
	stopping     *stopSignals
	openRequests atomic.Int64
	ages         *ageEstimator

	mu       sync.Mutex
	budgets  map[string]*retry.Budget
	balancer *balance.Balancer
	backoffs *backoff.Table
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	return &Gateway{cfg: cfg, startedAt: cfg.Now(), stopping: newStopSignals(), ages: newAgeEstimator(), budgets: map[string]*retry.Budget{}, balancer: balance.New(), backoffs: backoff.New()}
}

// OpenRequests returns how many requests are open.
func (g *Gateway) OpenRequests() int64 { return g.openRequests.Load() }

// staleConfigAge is the age of the configuration above which a missing route or key may have been
// added since. Such a request is refused with 503 instead of denied with 404 or 401.
const staleConfigAge = 1500 * time.Millisecond

// Retry delays of refusals.
const (
	// startupRetryDelay is for a VM that has not read its configuration yet, and for one whose
	// configuration may lack the request's route or key, or has one that it cannot interpret.
	startupRetryDelay = 500 * time.Millisecond
	// storeDownRetryDelay is for a VM that has no configuration although it has been up for
	// initialReadTime, within which an available store responds. The store is then likely to be
	// unavailable for seconds, and the longer delay makes callers retry once. In a simulated day
	// 195 VMs started 1.5 s before the store recovered and returned 0.5 s in 2,299 refusals, which
	// left 0.038 of the day's requests unserved. The delay is at most maxRetryDelayShare of the
	// caller's remaining time.
	storeDownRetryDelay = 2 * time.Second
	initialReadTime     = 300 * time.Millisecond
	maxRetryDelayShare  = 1.0 / 3
	// busyRetryDelay is for targets without free capacity.
	busyRetryDelay = 200 * time.Millisecond
	// bodyRetryDelay is for a VM that holds as many bytes of callers as it may. Another VM may have room.
	bodyRetryDelay = 500 * time.Millisecond
)

// exchange is the state of one request while it is served.
type exchange struct {
	g             *Gateway
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context
	startedAt     time.Time
	route         *fleet.Route
	service       *fleet.Service
	budget        *retry.Budget
	req           fleet.Request
	requestTarget string // path and query as the caller sent them
	header        http.Header
	body          []byte
	// keyed is set if the configuration requires keys; team is the team of the request's key; nil:
	// none.
	keyed bool
	team  *fleet.Team
	// deadline is when the caller or the route times out, and requestAge the estimated time since
	// the caller's first attempt.
	deadline   time.Time
	requestAge time.Duration
	// digest identifies the content of the request.
	digest quarantine.Digest
	// runs counts the targets that may have run a model request, exclude lists targets that it must
	// not be sent to again, and stream is the part of the response that the caller has received.
	runs    int
	exclude []string
	stream  stream
	// software is the only version of the targets' software that may process the request, because it
	// began the stream; empty: any. begun reports that the caller has received an event of this answer.
	software string
	begun    bool
	// sentSoftware is the version of the software of the current attempt's target; empty: unknown.
	sentSoftware string
	// delimiter delimits the caller's response.
	delimiter framing.Delimiter
	// sent reports that the request was sent to a target, or is about to be, and responding that the response to
	// the caller has begun.
	sent, responding atomic.Bool
	// decision is the one on which the current attempt is based.
	decision Decision
	// wroteAt is the time of the last write of a relayed body to the caller; zero: there was none.
	wroteAt time.Time
	// logEntry is the final log entry of the request.
	logEntry events.Request
}

// ServeHTTP serves one request of a caller.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	if g.isDraining() || g.cfg.RetiresConnections() {
		w.Header().Set("Connection", "close")
	}
	g.cfg.CheckSuspension()
	x := &exchange{g: g, w: w, r: r, delimiter: framing.NewDelimiter(w, r), startedAt: g.cfg.Now()}
	x.logEntry.FeedAge, x.logEntry.ConfirmedAge = g.cfg.Directory.Age(), g.cfg.Directory.ConfirmedAge()
	dir := g.cfg.Directory.Directory() // must follow ConfirmedAge, whose bound holds for later lookups only
	if dir.Config == nil {
		x.refuse("no_configuration", x.noConfigRetryDelay())
		return
	}
	x.logEntry.ConfigVersion = dir.Config.Version
	if !x.findRoute(dir) || !x.decode() || !x.identify(dir) || !x.readBody(dir.Config.Limits) {
		return
	}
	x.header = g.cfg.Codec.ForwardRequest(r.Header, x.keyed)
	ctx, cancelStopped := context.WithCancelCause(r.Context())
	defer cancelStopped(nil)
	ctx, cancel := context.WithTimeout(ctx, x.remaining())
	defer cancel()
	x.ctx = ctx
	defer x.endWithStop(cancelStopped)()
	if x.isTooLateToSend() {
		x.refuse("stopping", stopRetryDelay)
		return
	}
	began, ok := x.findOrigin()
	if !ok {
		return
	}
	x.selectService(dir, began)
	x.digest = x.contentDigest()
	if x.service.Engine != nil {
		x.serveModel()
		return
	}
	x.servePlain()
}

// remaining returns the time until the caller or the route times out.
func (x *exchange) remaining() time.Duration { return x.deadline.Sub(x.g.cfg.Now()) }

func (g *Gateway) routes(c *fleet.Config) *routeTable {
	t := g.routeTable.Load()
	if t == nil || t.config != c {
		t = newRouteTable(c)
		g.routeTable.Store(t)
	}
	return t
}

func (x *exchange) findRoute(dir *feed.Directory) bool {
	target, path := parseRequestTarget(x.r)
	x.requestTarget = target
	x.route = x.g.routes(dir.Config).find(x.r.Host, path)
	if x.route != nil && len(x.route.Split) > 0 {
		return true
	}
	if x.route != nil {
		x.refuse("route_not_understood", startupRetryDelay)
		return false
	}
	if x.logEntry.FeedAge > staleConfigAge {
		x.refuse("no_route_but_stale", startupRetryDelay)
		return false
	}
	x.deny(http.StatusNotFound, "no_route")
	return false
}

// defaultTimeout applies if neither the caller nor the route sets a timeout.
const defaultTimeout = 30 * time.Second

func (x *exchange) decode() bool {
	var err error
	if x.req, err = x.g.cfg.Codec.DecodeRequest(x.r.Header); err != nil {
		x.denyWithError(http.StatusBadRequest, "bad_header", err)
		return false
	}
	timeout := x.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if x.req.Remaining > 0 {
		timeout = min(timeout, x.req.Remaining)
	}
	x.deadline = x.startedAt.Add(timeout)
	x.requestAge = x.g.ages.estimate(x.route.Name, x.req.Remaining)
	return true
}

// readBody reads the whole body, so that an attempt can be repeated.
func (x *exchange) readBody(limits fleet.Limits) bool {
	if limits.MaxHeaderBytes > 0 && headerBytes(x.r) > limits.MaxHeaderBytes {
		x.deny(http.StatusRequestHeaderFieldsTooLarge, "header_too_large")
		return false
	}
	body, err := callers.ReadBody(x.r, limits.MaxBodyBytes, x.deadline)
	x.body = body
	switch {
	case err == nil:
		return true
	case errors.Is(err, callers.ErrTooLarge):
		x.deny(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, callers.ErrNoRoom):
		x.w.Header().Set("Connection", "close")
		x.refuse("no_room_for_body", bodyRetryDelay)
	case errors.Is(err, callers.ErrTimeout):
		x.w.Header().Set("Connection", "close")
		x.denyWithError(http.StatusRequestTimeout, "body_timeout", err)
	default:
		x.denyWithError(http.StatusBadRequest, "body_cut", err)
	}
	return false
}

// headerBytes returns the approximate size of the request line and the header.
func headerBytes(r *http.Request) int {
	const perField = 4 // ": " and CRLF
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + perField
		}
	}
	return n
}

// selectService selects the service of the request: the one that began the stream that it takes up, or
// else one of the route's.
func (x *exchange) selectService(dir *feed.Directory, began origin.Origin) {
	name := began.Service
	if name == "" {
		name = pickService(x.route, x.req.ID)
	}
	x.software = began.SoftwareVersion
	x.service = dir.Config.Services[name]
	if x.service == nil {
		x.service = &fleet.Service{Name: name}
	}
	x.budget = x.g.budget(name)
	x.g.mu.Lock()
	x.budget.RecordRequest()
	x.g.mu.Unlock()
}

// Prune releases idle connections and the state of idle targets. It must be called periodically.
func (g *Gateway) Prune() {
	now := g.cfg.Now()
	g.mu.Lock()
	g.balancer.ExpireIdle(now)
	g.mu.Unlock()
	g.cfg.Pool.CloseIdle(now)
}
