package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// testCodec implements fleet.Codec with a wire format for tests.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (fleet.Request, error) {
	r := fleet.Request{ID: h.Get("Id"), FirstAttemptID: h.Get("First"), LastEventID: h.Get("After"), Adapter: fleet.AdapterRef{Model: "m", Adapter: h.Get("Adapter")}}
	if r.ID == "" {
		return r, errors.New("no id")
	}
	if key := h.Get("Key"); key != "" {
		digest := fleet.DigestOf(key)
		r.Key = &digest
	}
	if d, err := time.ParseDuration(h.Get("Wait")); err == nil {
		r.Remaining = d
	}
	return r, nil
}

func (testCodec) ForwardRequest(h http.Header, keyed bool) http.Header {
	h = testCodec{}.ForwardResponse(h)
	if keyed {
		h.Del("Key")
	}
	h.Del("Target")
	h.Del("Left")
	h.Del("Team")
	return h
}

func (testCodec) ForwardResponse(h http.Header) http.Header {
	h = h.Clone()
	for _, name := range []string{"Connection", "Content-Length", "Expect", "Keep-Alive", "Transfer-Encoding"} {
		h.Del(name)
	}
	return h
}

func (testCodec) Encode(h http.Header, c fleet.CallMetadata) {
	h.Set("Target", c.Target)
	h.Set("Left", c.Remaining.String())
	if c.LastEventID != "" {
		h.Set("After", c.LastEventID)
	}
	if c.Team != "" {
		h.Set("Team", c.Team)
	}
}

func (testCodec) DecodeAnswer(status int, h http.Header) answer.Head {
	return answer.Head{
		Status: status, RequestIDs: h.Values("Id"), Signatures: signature(h), Encoded: h.Get("Content-Encoding") != "", NotRun: h.Get("Not-Run") != "",
	}
}

// signature returns one signature, unless the response has the header Unsigned.
func signature(h http.Header) []string {
	if h.Get("Unsigned") != "" {
		return nil
	}
	return []string{"signature"}
}

func (testCodec) CanResume(first, next http.Header) bool {
	return first.Get("Weights") == next.Get("Weights")
}

func (testCodec) Notice(_ int, h http.Header) fleet.Notice {
	backoff, err := time.ParseDuration(h.Get("Rest"))
	if err != nil {
		backoff = 0
	}
	return fleet.Notice{Leaving: h.Get("Leaving") != "", Backoff: backoff}
}

func (testCodec) Challenge(h http.Header) { h.Set("Ask", "key") }

func (testCodec) Refuse(h http.Header, retryAfter time.Duration) {
	h.Set("Retry-After", retryAfter.String())
}

// backend is a target whose responses a test defines.
type backend struct {
	id       string
	server   *httptest.Server
	mu       sync.Mutex
	received []string // ids of requests
	handler  func(w http.ResponseWriter, r *http.Request)
}

func newBackend(t *testing.T, id string) *backend {
	b := &backend{id: id, handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "from "+id) }}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		b.mu.Lock()
		b.received = append(b.received, r.Header.Get("Id"))
		handler := b.handler
		b.mu.Unlock()
		handler(w, r)
	}))
	t.Cleanup(func() {
		b.server.CloseClientConnections()
		b.server.Close()
	})
	return b
}

func (b *backend) requestCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.received)
}

func (b *backend) target() *fleet.Target {
	return &fleet.Target{ID: b.id, Service: "plain", Zone: "z-" + b.id, SoftwareVersion: "v1", Address: strings.TrimPrefix(b.server.URL, "http://")}
}

// fixedAdmission grants the given targets in order, then refuses.
type fixedAdmission struct {
	mu            sync.Mutex
	targets       []*fleet.Target
	endings       []scheduler.Ending
	requests      []AdmitRequest
	storeCopy     events.StoreCopy
	networkDelays []time.Duration // of the next decisions; 0 after them
	// adapterVersion is that of all decisions.
	adapterVersion int64
	// decidePlain decides on requests for plain services; nil: the gateway chooses locally.
	decidePlain  func(r *AdmitRequest) Decision
	plainEndings []balance.Ending
}

func (a *fixedAdmission) Admit(_ context.Context, r *AdmitRequest) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests = append(a.requests, *r)
	if r.Plain && a.decidePlain == nil {
		return Decision{LocalChoice: true}
	}
	if r.Plain {
		return a.decidePlain(r)
	}
	if len(a.targets) == 0 {
		return Decision{RetryAfter: time.Second, Reason: "none_left"}
	}
	t := a.targets[0]
	a.targets = a.targets[1:]
	var networkDelay time.Duration
	if len(a.networkDelays) > 0 {
		networkDelay, a.networkDelays = a.networkDelays[0], a.networkDelays[1:]
	}
	return Decision{NetworkDelay: networkDelay, Service: r.Service, Ticket: 1, Target: t.ID, Address: t.Address, SoftwareVersion: t.SoftwareVersion, AdapterVersion: a.adapterVersion, StoreCopy: a.storeCopy}
}

func (a *fixedAdmission) Done(_ Decision, ending scheduler.Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endings = append(a.endings, ending)
}

func (a *fixedAdmission) FirstEvent(Decision) {}

func (a *fixedAdmission) ChosenLocally(*AdmitRequest, Decision) {}

func (a *fixedAdmission) DonePlain(decision Decision, ending balance.Ending, _ time.Duration) {
	if decision.LocalChoice {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plainEndings = append(a.plainEndings, ending)
}

func (a *fixedAdmission) ended() []scheduler.Ending {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]scheduler.Ending(nil), a.endings...)
}

func (a *fixedAdmission) endedPlain() []balance.Ending {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.plainEndings)
}

// fixedDirectory is a Directory whose content tests set.
type fixedDirectory struct {
	dir *feed.Directory
	age time.Duration
	// confirmedAge is the bound on the age of the copy.
	confirmedAge time.Duration
}

func (d *fixedDirectory) Directory() *feed.Directory  { return d.dir }
func (d *fixedDirectory) Age() time.Duration          { return d.age }
func (d *fixedDirectory) ConfirmedAge() time.Duration { return d.confirmedAge }
func (d *fixedDirectory) Revision() fleet.Revision    { return d.dir.Revision }

type fixture struct {
	// startTime is what targets report.
	startTime int64
	gateway   *Gateway
	directory *fixedDirectory
	admission *fixedAdmission
	origins   *fixedOrigins
	server    *httptest.Server
}

func testConfig() *fleet.Config {
	route := func(prefix string, kind fleet.RouteKind, service string, attempts int) fleet.Route {
		return fleet.Route{
			Name: strings.Trim(prefix, "/"), Host: "h.example", Prefix: prefix, Kind: kind,
			Split: []fleet.WeightedService{{Service: service, Weight: 1}}, Timeout: 10 * time.Second,
			LatencyObjective: 5 * time.Second, MaxAttempts: attempts,
		}
	}
	return &fleet.Config{
		Version: 1,
		Routes: []fleet.Route{
			route("/once/", fleet.NonIdempotent, "plain", 1), route("/again/", fleet.Idempotent, "plain", 2),
			route("/again/deep/", fleet.Idempotent, "empty", 2), route("/stream/", fleet.Streaming, "models", 1),
		},
		Services: map[string]*fleet.Service{
			"plain": {Name: "plain", MaxConnections: 100}, "empty": {Name: "empty"},
			"models": {Name: "models", Engine: &fleet.Engine{}},
		},
		Limits: fleet.Limits{MaxHeaderBytes: 2000, MaxBodyBytes: 1000},
	}
}

// fixedRateLimits maps targets to their rate limits.
type fixedRateLimits map[string]ratelimit.Limit

func (l fixedRateLimits) Limit(target string) ratelimit.Limit { return l[target] }
func (l fixedRateLimits) Limited(string) []string             { return slices.Sorted(maps.Keys(l)) }

func newFixture(t *testing.T, backends ...*backend) *fixture {
	dir := &feed.Directory{Config: testConfig(), Targets: map[string]*fleet.Target{}}
	for _, b := range backends {
		dir.Targets[b.id] = b.target()
	}
	x := &fixture{directory: &fixedDirectory{dir: dir}, admission: &fixedAdmission{}, origins: &fixedOrigins{found: map[string]origin.Origin{}}}
	x.gateway = New(Config{
		VM: "vm", Zone: "z-a", Codec: testCodec{}, Directory: x.directory, Admission: x.admission, Pool: hop.New(nil),
		StartTime:       func(context.Context, string, string) (int64, error) { return x.startTime, nil },
		CheckSuspension: func() {}, RetiresConnections: func() bool { return false }, RateLimits: fixedRateLimits{}, Origins: x.origins,
		OnNotice: func(target string, notice fleet.Notice, _ *Decision) {
			if notice.Backoff > 0 {
				x.gateway.RecordBackoff(target, notice.Backoff)
			}
		},
		Retry: retry.Config{Ratio: 0.2, Slack: 50}, VMs: func() int { return 1 }, ConnectedVMs: func() int { return 1 },
		Log: events.Discard(), Metrics: NewMetrics(), Now: time.Now,
	})
	x.server = httptest.NewUnstartedServer(x.gateway)
	x.server.Config.ConnContext = framing.WithConn
	x.server.Start()
	t.Cleanup(x.server.Close)
	return x
}

// send sends a caller's request. A nil response means that the connection broke.
func (x *fixture) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, x.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(client.CloseIdleConnections)
	resp, err := client.Do(req)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, string(data)
	}
	return resp, string(data)
}

func TestRoutes(t *testing.T) {
	for _, row := range []struct {
		name, path, host string
		age              time.Duration
		status           int
	}{
		{"a route", "/once/x", "", 0, 200},
		{"the longest prefix", "/again/deep/x", "", 0, 503},
		{"a shorter prefix", "/again/deeper", "", 0, 200},
		{"no such prefix", "/none/", "", 0, 404},
		{"no such host", "/once/x", "other.example", 0, 404},
		{"no such prefix, old configuration", "/none/", "", time.Minute, 503},
		{"upper case and a port", "/once/x", "H.Example:80", 0, 200},
		{"an encoded path", "/once/%2e%2e/a%20b?q=%31", "", 0, 200},
		{"the prefix without its slash", "/once", "", 0, 404},
	} {
		t.Run(row.name, func(t *testing.T) {
			x := newFixture(t, newBackend(t, "a"))
			x.directory.age = row.age
			resp, _ := x.sendTo(t, row.host, row.path)
			assert.Equal(t, resp.StatusCode, row.status)
		})
	}
}

func (x *fixture) sendTo(t *testing.T, host, path string) (*http.Response, string) {
	t.Helper()
	if host == "" {
		host = "h.example"
	}
	return x.sendRaw(t, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nId: r1\r\nConnection: close\r\n\r\n")
}

// sendRaw sends bytes on a new connection and reads one response.
func (x *fixture) sendRaw(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", x.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, string(body)
	}
	return resp, string(body)
}

func TestMissingConfigurationRefusesRequests(t *testing.T) {
	x := newFixture(t)
	x.directory.dir = &feed.Directory{}
	resp, _ := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

// TestMalformedRequestsReachNoTarget checks that malformed and oversized requests are rejected
// before a target is chosen.
func TestMalformedRequestsReachNoTarget(t *testing.T) {
	head := "Host: h.example\r\nId: r1\r\nConnection: close\r\n"
	for _, row := range []struct {
		name, text string
		status     int
	}{
		{"no id", "GET /once/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n\r\n", 400},
		{"header too large", "GET /once/x HTTP/1.1\r\n" + head + "Long: " + strings.Repeat("x", 3000) + "\r\n\r\n", 431},
		{"body too large by its length", "POST /once/x HTTP/1.1\r\n" + head + "Content-Length: 5000\r\n\r\n", 413},
		{"chunked body too large", "POST /once/x HTTP/1.1\r\n" + head + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + strings.Repeat("x", 2000) + "\r\n0\r\n\r\n", 413},
		{"two lengths", "POST /once/x HTTP/1.1\r\n" + head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400},
		{"no host", "GET /once/x HTTP/1.1\r\nId: r1\r\n\r\n", 400},
		{"two hosts", "GET /once/x HTTP/1.1\r\nHost: h.example\r\nHost: g.example\r\nId: r1\r\n\r\n", 400},
		{"a space before the colon", "GET /once/x HTTP/1.1\r\n" + head + "Odd : x\r\n\r\n", 400},
		{"an unknown transfer coding", "POST /once/x HTTP/1.1\r\n" + head + "Transfer-Encoding: odd\r\n\r\n", 501},
	} {
		t.Run(row.name, func(t *testing.T) {
			b := newBackend(t, "a")
			x := newFixture(t, b)
			resp, _ := x.sendRaw(t, row.text)
			assert.Equal(t, resp.StatusCode, row.status)
			assert.Equal(t, b.requestCount(), 0)
		})
	}
}

func TestRequestInBodyIsNotParsed(t *testing.T) {
	b := newBackend(t, "a")
	got := make(chan string, 2)
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- string(body)
		_, _ = io.WriteString(w, "ok")
	}
	x := newFixture(t, b)
	embedded := "GET /once/y HTTP/1.1\r\nHost: h.example\r\nId: r2\r\n\r\n"
	resp, _ := x.sendRaw(t, fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(embedded), embedded))
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, <-got, embedded)
	assert.Equal(t, b.requestCount(), 1)
}

func TestAbsoluteFormRequestTarget(t *testing.T) {
	b := newBackend(t, "a")
	paths := make(chan string, 1)
	b.handler = func(_ http.ResponseWriter, r *http.Request) { paths <- r.RequestURI }
	x := newFixture(t, b)
	resp, _ := x.sendRaw(t, "GET http://h.example/once/x?y=1 HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nConnection: close\r\n\r\n")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, <-paths, "/once/x?y=1")
}

// Handlers of backends.
func respondError(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusInternalServerError)
}
func respondBusy(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
func respondMisrouted(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusMisdirectedRequest)
}
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
func respondEncoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = io.WriteString(w, "?")
}
func respondTruncated(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// TestPlainTargetFailures checks the response to the caller and the number of runs if the first
// target fails and the second does not.
func TestPlainTargetFailures(t *testing.T) {
	for _, row := range []struct {
		name, path string
		first      http.HandlerFunc
		status     int
		second     int // requests that reach the second target
	}{
		{"idempotent, failure", "/again/x", respondError, 200, 1},
		{"idempotent, busy", "/again/x", respondBusy, 200, 1},
		{"idempotent, connection aborted", "/again/x", abortConnection, 200, 1},
		{"idempotent, truncated", "/again/x", respondTruncated, 200, 1},
		{"idempotent, misrouted", "/again/x", respondMisrouted, 200, 1},
		{"idempotent, encoded", "/again/x", respondEncoded, 200, 1},
		{"not idempotent, failure", "/once/x", respondError, 500, 0},
		{"not idempotent, busy", "/once/x", respondBusy, 200, 1},
		{"not idempotent, connection aborted", "/once/x", abortConnection, 502, 0},
		{"not idempotent, truncated", "/once/x", respondTruncated, 502, 0},
		{"not idempotent, misrouted", "/once/x", respondMisrouted, 200, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = row.first
			x := newFixture(t, a, b) // a is in the same zone, so it is chosen first
			resp, _ := x.send(t, "POST", row.path, "body")
			assert.Equal(t, resp.StatusCode, row.status)
			assert.Equal(t, a.requestCount(), 1)
			assert.Equal(t, b.requestCount(), row.second)
		})
	}
}

func TestRequestThatDidNotRunIsRefused(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = respondBusy
	x := newFixture(t, a)
	resp, _ := x.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 503)
	assert.Assert(t, resp.Header.Get("Retry-After") != "")
}

func TestRequestThatRanOnceIsNotRefused(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler, b.handler = respondError, respondBusy
	x := newFixture(t, a, b)
	resp, _ := x.send(t, "GET", "/again/x", "")
	assert.Equal(t, resp.StatusCode, 502)
	assert.Equal(t, resp.Header.Get("Retry-After"), "")
}

func TestAttemptsAreBounded(t *testing.T) {
	var all []*backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		b := newBackend(t, id)
		b.handler = respondError
		all = append(all, b)
	}
	x := newFixture(t, all...)
	resp, _ := x.send(t, "GET", "/again/x", "")
	assert.Equal(t, resp.StatusCode, 500)
	runs := 0
	for _, b := range all {
		runs += b.requestCount()
	}
	assert.Equal(t, runs, 2)
}

func TestResponseIsForwardedUnchanged(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "body")
	}
	x := newFixture(t, a)
	resp, body := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusTeapot)
	assert.Equal(t, body, "body")
	assert.Equal(t, resp.Header.Get("Seal"), "s")
	assert.Equal(t, resp.Header.Get("Connection"), "")
}

func TestRemainingTimeIsSent(t *testing.T) {
	a := newBackend(t, "a")
	remaining := make(chan string, 1)
	a.handler = func(_ http.ResponseWriter, r *http.Request) { remaining <- r.Header.Get("Left") }
	x := newFixture(t, a)
	x.send(t, "GET", "/once/x", "", "Wait", "2s")
	d, err := time.ParseDuration(<-remaining)
	assert.NilError(t, err)
	assert.Assert(t, d > 0 && d <= 2*time.Second, "%s", d)
}

// respondStream sends a stream of n events, each flushed, and then calls finish.
func respondStream(n int, finish http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
		}
		if finish != nil {
			finish(w, r)
		}
	}
}

// TestStreamTargetFailures checks that requests of a non-resumable stream run at most once, and
// that a response that broke off does not look complete.
func TestStreamTargetFailures(t *testing.T) {
	for _, row := range []struct {
		name    string
		first   http.HandlerFunc
		broken  bool
		status  int
		second  int
		endings []scheduler.Ending
	}{
		{"complete", respondStream(3, nil), false, 200, 0, []scheduler.Ending{scheduler.EndedOK}},
		{"cut after three events", respondStream(3, abortConnection), true, 0, 0, []scheduler.Ending{scheduler.EndedDisconnected}},
		{"connection aborted before the first event", abortConnection, false, 502, 0, []scheduler.Ending{scheduler.EndedDisconnected}},
		{"busy", respondBusy, false, 200, 1, []scheduler.Ending{scheduler.EndedBusy, scheduler.EndedOK}},
		{"lacks the adapter", respondMisrouted, false, 200, 1, []scheduler.Ending{scheduler.EndedMisrouted, scheduler.EndedOK}},
		{"fails", respondError, false, 500, 0, []scheduler.Ending{scheduler.EndedErrorResponse}},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = row.first
			b.handler = respondStream(3, nil)
			x := newFixture(t, a, b)
			x.admission.targets = []*fleet.Target{a.target(), b.target()}
			resp, _ := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, resp == nil, row.broken)
			if !row.broken {
				assert.Equal(t, resp.StatusCode, row.status)
			}
			assert.Equal(t, b.requestCount(), row.second)
			assert.DeepEqual(t, x.admission.ended(), row.endings)
		})
	}
}

func TestUnreachableTargetIsReplaced(t *testing.T) {
	unreachable, b := newBackend(t, "a"), newBackend(t, "b")
	b.handler = respondStream(1, nil)
	x := newFixture(t, b)
	x.admission.targets = []*fleet.Target{unreachable.target(), b.target()}
	unreachable.server.Close()
	resp, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, resp.StatusCode, 200)
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedUnreachable, scheduler.EndedOK})
}

func TestEventsAreFlushedImmediately(t *testing.T) {
	a := newBackend(t, "a")
	release := make(chan struct{})
	a.handler = respondStream(1, func(http.ResponseWriter, *http.Request) { <-release })
	x := newFixture(t, a)
	x.admission.targets = []*fleet.Target{a.target()}
	req, err := http.NewRequestWithContext(t.Context(), "POST", x.server.URL+"/stream/x", nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	resp, err := x.server.Client().Do(req)
	assert.NilError(t, err)
	line, err := bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(release)
	_ = resp.Body.Close()
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			a := newBackend(t, "a")
			started, stopped := make(chan struct{}), make(chan struct{})
			a.handler = func(_ http.ResponseWriter, r *http.Request) {
				close(started)
				<-r.Context().Done()
				close(stopped)
			}
			x := newFixture(t, a)
			x.admission.targets = []*fleet.Target{a.target()}
			ctx, cancel := context.WithCancel(t.Context())
			req, err := http.NewRequestWithContext(ctx, "GET", x.server.URL+path, nil)
			assert.NilError(t, err)
			req.Host = "h.example"
			req.Header.Set("Id", "r1")
			go func() {
				<-started
				cancel()
			}()
			_, err = x.server.Client().Do(req)
			assert.Assert(t, err != nil)
			<-stopped
			assert.Equal(t, a.requestCount(), 1)
		})
	}
}

func TestDrainClosesConnections(t *testing.T) {
	x := newFixture(t, newBackend(t, "a"))
	x.gateway.Drain(Stop{SendUntil: time.Now().Add(time.Hour), AnswerAt: time.Now().Add(time.Hour)})
	resp, _ := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Assert(t, resp.Close)
}

func TestPickService(t *testing.T) {
	r := &fleet.Route{Split: []fleet.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 2000 {
		counts[pickService(r, fmt.Sprint(i))]++
	}
	assert.Assert(t, counts["b"] > 120 && counts["b"] < 280, "%v", counts)
	assert.Equal(t, pickService(r, "x"), pickService(r, "x"))
}

func TestHistogram(t *testing.T) {
	h := &Histogram{}
	h.Observe(7 * time.Millisecond)
	h.Observe(time.Hour)
	assert.Assert(t, strings.Contains(h.String(), `"le_10ms": 1`), h.String())
	assert.Assert(t, strings.Contains(h.String(), `"le_inf": 1`), h.String())
}

// TestRetryDelayWithoutConfiguration checks the retry delay before the first configuration. A VM
// that has just started reads it within a few ms. If it has been up for longer, the store is
// unavailable, and the longer delay makes callers retry once.
func TestRetryDelayWithoutConfiguration(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, row := range []struct {
		name, remaining string
		uptime          time.Duration
		want            time.Duration
	}{
		{"just started", "15s", 50 * time.Millisecond, startupRetryDelay},
		{"the store is unavailable", "15s", time.Second, storeDownRetryDelay},
		{"the caller has little time left", "3s", time.Second, time.Second},
		{"the caller sends no remaining time", "", time.Second, storeDownRetryDelay},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/x/", nil)
			r.Header.Set("Id", "r")
			r.Header.Set("Wait", row.remaining)
			x := &exchange{g: &Gateway{cfg: Config{Codec: testCodec{}}, startedAt: start}, r: r, startedAt: start.Add(row.uptime)}
			assert.Equal(t, x.noConfigRetryDelay(), row.want)
		})
	}
}

// TestLongChunkedAnswerLosesBytes checks an answer of unknown length that is too long to be buffered.
func TestLongChunkedAnswerLosesBytes(t *testing.T) {
	want := strings.Repeat("0123456789abcdef", 2*maxBufferedBytes/16)
	a := newBackend(t, "a")
	a.handler = func(w http.ResponseWriter, _ *http.Request) {
		_ = http.NewResponseController(w).Flush() // omits the length
		_, _ = io.WriteString(w, want)
	}
	x := newFixture(t, a)
	resp, body := x.send(t, http.MethodPost, "/once/x", "prompt")
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, len(body), len(want))
	assert.Assert(t, body == want)
}
