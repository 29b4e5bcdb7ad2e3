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
	"github.com/junctionfold/junctionfold/coord/ratelimit"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// testCodec is a wire format of the tests' own.
type testCodec struct{}

func (testCodec) DecodeRequest(h http.Header) (fleet.Request, error) {
	r := fleet.Request{ID: h.Get("Id"), Adapter: fleet.AdapterRef{Model: "m", Adapter: h.Get("Adapter")}}
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

func (testCodec) Classify(id string, status int, h http.Header) fleet.AnswerClass {
	switch {
	case status == http.StatusMisdirectedRequest:
		return fleet.Misrouted
	case h.Get("Not-Run") != "":
		return fleet.Busy
	case h.Get("Id") != id:
		return fleet.Mismatched
	}
	return fleet.Answered
}

func (testCodec) CanResume(first, next http.Header) bool {
	return first.Get("Weights") == next.Get("Weights")
}

func (testCodec) Notice(_ int, h http.Header) fleet.Notice {
	rest, err := time.ParseDuration(h.Get("Rest"))
	if err != nil {
		rest = 0
	}
	return fleet.Notice{Leaving: h.Get("Leaving") != "", Backoff: rest}
}

func (testCodec) Challenge(h http.Header) { h.Set("Ask", "key") }

func (testCodec) Refuse(h http.Header, retryAfter time.Duration) {
	h.Set("Retry-After", retryAfter.String())
}

// backend is a target whose answers a test scripts.
type backend struct {
	id      string
	server  *httptest.Server
	mu      sync.Mutex
	ran     []string // ids
	handler func(w http.ResponseWriter, r *http.Request)
}

func newBackend(t *testing.T, id string) *backend {
	b := &backend{id: id, handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "from "+id) }}
	b.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		b.mu.Lock()
		b.ran = append(b.ran, r.Header.Get("Id"))
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

func (b *backend) runs() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ran)
}

func (b *backend) target() *fleet.Target {
	return &fleet.Target{ID: b.id, Service: "plain", Zone: "z-" + b.id, Address: strings.TrimPrefix(b.server.URL, "http://")}
}

// fixedAdmission grants targets in order, then refuses.
type fixedAdmission struct {
	mu      sync.Mutex
	targets []*fleet.Target
	endings []scheduler.Ending
	asked   []AdmitRequest
	placed  events.StoreCopy
	lags    []time.Duration // of the next verdicts; 0 after them
	// plain answers for plain services; nil: nobody is asked.
	plain        func(r *AdmitRequest) Decision
	plainEndings []balance.Ending
}

func (a *fixedAdmission) Admit(_ context.Context, r *AdmitRequest) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.asked = append(a.asked, *r)
	if r.Plain && a.plain == nil {
		return Decision{LocalChoice: true}
	}
	if r.Plain {
		return a.plain(r)
	}
	if len(a.targets) == 0 {
		return Decision{RetryAfter: time.Second, Reason: "none_left"}
	}
	t := a.targets[0]
	a.targets = a.targets[1:]
	var lag time.Duration
	if len(a.lags) > 0 {
		lag, a.lags = a.lags[0], a.lags[1:]
	}
	return Decision{NetworkDelay: lag, Service: r.Service, Ticket: 1, Target: t.ID, Address: t.Address, StoreCopy: a.placed}
}

func (a *fixedAdmission) Done(_ Decision, how scheduler.Ending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.endings = append(a.endings, how)
}

func (a *fixedAdmission) FirstEvent(Decision) {}

func (a *fixedAdmission) ChosenLocally(*AdmitRequest, Decision) {}

func (a *fixedAdmission) DonePlain(v Decision, how balance.Ending, _ time.Duration) {
	if v.LocalChoice {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.plainEndings = append(a.plainEndings, how)
}

func (a *fixedAdmission) ended() []scheduler.Ending {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]scheduler.Ending(nil), a.endings...)
}

// fixedDirectory is a Directory that tests set.
type fixedDirectory struct {
	dir *feed.Directory
	age time.Duration
	// proven is the bound on the copy's age.
	proven time.Duration
}

func (d *fixedDirectory) Directory() *feed.Directory  { return d.dir }
func (d *fixedDirectory) Age() time.Duration          { return d.age }
func (d *fixedDirectory) ConfirmedAge() time.Duration { return d.proven }
func (d *fixedDirectory) Revision() fleet.Revision    { return d.dir.Revision }

type fixture struct {
	gateway   *Gateway
	directory *fixedDirectory
	admission *fixedAdmission
	door      *httptest.Server
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

// knownLimits are the limits of targets.
type knownLimits map[string]ratelimit.Limit

func (k knownLimits) Limit(target string) ratelimit.Limit { return k[target] }
func (k knownLimits) Limited() []string                   { return slices.Sorted(maps.Keys(k)) }

func newFixture(t *testing.T, backends ...*backend) *fixture {
	dir := &feed.Directory{Config: testConfig(), Targets: map[string]*fleet.Target{}}
	for _, b := range backends {
		dir.Targets[b.id] = b.target()
	}
	x := &fixture{directory: &fixedDirectory{dir: dir}, admission: &fixedAdmission{}}
	x.gateway = New(Config{
		VM: "vm", Zone: "z-a", Codec: testCodec{}, Directory: x.directory, Admission: x.admission, Pool: hop.New(nil),
		CheckSuspension: func() {}, RateLimits: knownLimits{},
		OnNotice: func(target string, said fleet.Notice, _ *Decision) {
			if said.Backoff > 0 {
				x.gateway.RecordBackoff(target, said.Backoff)
			}
		},
		Retry: retry.Config{Ratio: 0.2, Slack: 50}, VMs: func() int { return 1 },
		Log: events.Discard(), Metrics: NewMetrics(), Now: time.Now,
	})
	x.door = httptest.NewServer(x.gateway)
	t.Cleanup(x.door.Close)
	return x
}

// send makes a request of a caller. A nil answer means that the connection broke.
func (x *fixture) send(t *testing.T, method, path, body string, header ...string) (*http.Response, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, x.door.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	t.Cleanup(client.CloseIdleConnections)
	answer, err := client.Do(req)
	if err != nil {
		return nil, ""
	}
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, string(data)
	}
	return answer, string(data)
}

func TestRoutes(t *testing.T) {
	for _, row := range []struct {
		name, path, host string
		age              time.Duration
		status           int
	}{
		{"a route", "/once/x", "", 0, 200},
		{"the longest prefix", "/again/deep/x", "", 0, 503},
		{"a shorter one", "/again/deeper", "", 0, 200},
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
			answer, _ := x.sendTo(t, row.host, row.path)
			assert.Equal(t, answer.StatusCode, row.status)
		})
	}
}

func (x *fixture) sendTo(t *testing.T, host, path string) (*http.Response, string) {
	t.Helper()
	if host == "" {
		host = "h.example"
	}
	return x.raw(t, "GET "+path+" HTTP/1.1\r\nHost: "+host+"\r\nId: r1\r\nConnection: close\r\n\r\n")
}

// raw sends bytes on a connection of their own and reads one answer.
func (x *fixture) raw(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", x.door.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, ""
	}
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, string(body)
	}
	return answer, string(body)
}

func TestNoConfigurationRefuses(t *testing.T) {
	x := newFixture(t)
	x.directory.dir = &feed.Directory{}
	answer, _ := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, answer.StatusCode, 503)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
}

// TestBadInput: none of these reaches a target.
func TestBadInput(t *testing.T) {
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
			answer, _ := x.raw(t, row.text)
			assert.Equal(t, answer.StatusCode, row.status)
			assert.Equal(t, b.runs(), 0)
		})
	}
}

func TestSmuggledRequestStaysABody(t *testing.T) {
	b := newBackend(t, "a")
	got := make(chan string, 2)
	b.handler = func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		got <- string(body)
		_, _ = io.WriteString(w, "ok")
	}
	x := newFixture(t, b)
	hidden := "GET /once/y HTTP/1.1\r\nHost: h.example\r\nId: r2\r\n\r\n"
	answer, _ := x.raw(t, fmt.Sprintf("POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(hidden), hidden))
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, <-got, hidden)
	assert.Equal(t, b.runs(), 1)
}

func TestAbsoluteForm(t *testing.T) {
	b := newBackend(t, "a")
	paths := make(chan string, 1)
	b.handler = func(_ http.ResponseWriter, r *http.Request) { paths <- r.RequestURI }
	x := newFixture(t, b)
	answer, _ := x.raw(t, "GET http://h.example/once/x?y=1 HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nConnection: close\r\n\r\n")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Equal(t, <-paths, "/once/x?y=1")
}

// answers a backend can give.
func fails(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
func full(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}
func elsewhere(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
func drops(http.ResponseWriter, *http.Request)         { panic(http.ErrAbortHandler) }
func encoded(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Encoding", "gzip")
	_, _ = io.WriteString(w, "?")
}
func cuts(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(w, "half")
	panic(http.ErrAbortHandler)
}

// TestPlainFaults: what the caller gets, and how often the request ran, when the
// first target answers oddly and the second well.
func TestPlainFaults(t *testing.T) {
	for _, row := range []struct {
		name, path string
		first      http.HandlerFunc
		status     int
		second     int // runs at the second target
	}{
		{"idempotent, failure", "/again/x", fails, 200, 1},
		{"idempotent, full", "/again/x", full, 200, 1},
		{"idempotent, dropped", "/again/x", drops, 200, 1},
		{"idempotent, cut", "/again/x", cuts, 200, 1},
		{"idempotent, another process", "/again/x", elsewhere, 200, 1},
		{"idempotent, encoded", "/again/x", encoded, 200, 1},
		{"once, failure", "/once/x", fails, 500, 0},
		{"once, full", "/once/x", full, 200, 1},
		{"once, dropped", "/once/x", drops, 502, 0},
		{"once, cut", "/once/x", cuts, 502, 0},
		{"once, another process", "/once/x", elsewhere, 200, 1},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = row.first
			x := newFixture(t, a, b) // a is near, so it is first
			answer, _ := x.send(t, "POST", row.path, "body")
			assert.Equal(t, answer.StatusCode, row.status)
			assert.Equal(t, a.runs(), 1)
			assert.Equal(t, b.runs(), row.second)
		})
	}
}

func TestNothingRanIsRefused(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = full
	x := newFixture(t, a)
	answer, _ := x.send(t, "POST", "/once/x", "")
	assert.Equal(t, answer.StatusCode, 503)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
}

func TestRequestThatRanOnceIsNotRefused(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler, b.handler = fails, full
	x := newFixture(t, a, b)
	answer, _ := x.send(t, "GET", "/again/x", "")
	assert.Equal(t, answer.StatusCode, 502)
	assert.Equal(t, answer.Header.Get("Retry-After"), "")
}

func TestAttemptsAreBounded(t *testing.T) {
	var all []*backend
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		b := newBackend(t, id)
		b.handler = fails
		all = append(all, b)
	}
	x := newFixture(t, all...)
	answer, _ := x.send(t, "GET", "/again/x", "")
	assert.Equal(t, answer.StatusCode, 500)
	runs := 0
	for _, b := range all {
		runs += b.runs()
	}
	assert.Equal(t, runs, 2)
}

func TestAnswerGoesUnchanged(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "body")
	}
	x := newFixture(t, a)
	answer, body := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, answer.StatusCode, http.StatusTeapot)
	assert.Equal(t, body, "body")
	assert.Equal(t, answer.Header.Get("Seal"), "s")
	assert.Equal(t, answer.Header.Get("Connection"), "")
}

func TestTimeLeftIsSent(t *testing.T) {
	a := newBackend(t, "a")
	left := make(chan string, 1)
	a.handler = func(_ http.ResponseWriter, r *http.Request) { left <- r.Header.Get("Left") }
	x := newFixture(t, a)
	x.send(t, "GET", "/once/x", "", "Wait", "2s")
	d, err := time.ParseDuration(<-left)
	assert.NilError(t, err)
	assert.Assert(t, d > 0 && d <= 2*time.Second, "%s", d)
}

// streamOf sends a stream of n events, one flush each, and calls then at its end.
func streamOf(n int, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := range n {
			_, _ = fmt.Fprintf(w, "id: %d\n\n", i+1)
			_ = http.NewResponseController(w).Flush()
		}
		if then != nil {
			then(w, r)
		}
	}
}

// TestStreamFaults: a stream's requests run once at most, and an answer that broke
// off does not look whole.
func TestStreamFaults(t *testing.T) {
	for _, row := range []struct {
		name    string
		first   http.HandlerFunc
		broken  bool
		status  int
		second  int
		endings []scheduler.Ending
	}{
		{"whole", streamOf(3, nil), false, 200, 0, []scheduler.Ending{scheduler.EndedOK}},
		{"cut midway", streamOf(3, drops), true, 0, 0, []scheduler.Ending{scheduler.EndedDisconnected}},
		{"dropped before the first event", drops, false, 502, 0, []scheduler.Ending{scheduler.EndedDisconnected}},
		{"full", full, false, 200, 1, []scheduler.Ending{scheduler.EndedBusy, scheduler.EndedOK}},
		{"lacks the adapter", elsewhere, false, 200, 1, []scheduler.Ending{scheduler.EndedMisrouted, scheduler.EndedOK}},
		{"fails", fails, false, 500, 0, []scheduler.Ending{scheduler.EndedFailed}},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = row.first
			b.handler = streamOf(3, nil)
			x := newFixture(t, a, b)
			x.admission.targets = []*fleet.Target{a.target(), b.target()}
			answer, _ := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, answer == nil, row.broken)
			if !row.broken {
				assert.Equal(t, answer.StatusCode, row.status)
			}
			assert.Equal(t, b.runs(), row.second)
			assert.DeepEqual(t, x.admission.ended(), row.endings)
		})
	}
}

func TestUnreachableTargetIsAskedForAgain(t *testing.T) {
	dead, b := newBackend(t, "a"), newBackend(t, "b")
	b.handler = streamOf(1, nil)
	x := newFixture(t, b)
	x.admission.targets = []*fleet.Target{dead.target(), b.target()}
	dead.server.Close()
	answer, _ := x.send(t, "POST", "/stream/x", "prompt")
	assert.Equal(t, answer.StatusCode, 200)
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedUnreachable, scheduler.EndedOK})
}

func TestEventsComeAsTheyAreMade(t *testing.T) {
	a := newBackend(t, "a")
	release := make(chan struct{})
	a.handler = streamOf(1, func(http.ResponseWriter, *http.Request) { <-release })
	x := newFixture(t, a)
	x.admission.targets = []*fleet.Target{a.target()}
	req, err := http.NewRequestWithContext(t.Context(), "POST", x.door.URL+"/stream/x", nil)
	assert.NilError(t, err)
	req.Host = "h.example"
	req.Header.Set("Id", "r1")
	answer, err := x.door.Client().Do(req)
	assert.NilError(t, err)
	line, err := bufio.NewReader(answer.Body).ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	close(release)
	_ = answer.Body.Close()
}

func TestCallerThatLeavesStopsTheTarget(t *testing.T) {
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
			req, err := http.NewRequestWithContext(ctx, "GET", x.door.URL+path, nil)
			assert.NilError(t, err)
			req.Host = "h.example"
			req.Header.Set("Id", "r1")
			go func() {
				<-started
				cancel()
			}()
			_, err = x.door.Client().Do(req)
			assert.Assert(t, err != nil)
			<-stopped
			assert.Equal(t, a.runs(), 1)
		})
	}
}

func TestDrainingEndsConnections(t *testing.T) {
	x := newFixture(t, newBackend(t, "a"))
	x.gateway.Drain()
	answer, _ := x.send(t, "GET", "/once/x", "")
	assert.Equal(t, answer.StatusCode, 200)
	assert.Assert(t, answer.Close)
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

// TestWhenToComeBackWithoutConfiguration: a VM that has just started reads it within some ms.
// One that has been up for longer waits for a store that is away, and its callers come back
// once.
func TestWhenToComeBackWithoutConfiguration(t *testing.T) {
	began := time.Unix(1_000_000, 0)
	for _, row := range []struct {
		name, left string
		up         time.Duration
		want       time.Duration
	}{
		{"just started", "15s", 50 * time.Millisecond, startPause},
		{"the store is away", "15s", time.Second, awayPause},
		{"the caller has little time", "3s", time.Second, time.Second},
		{"the caller does not say", "", time.Second, awayPause},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := httptest.NewRequest(http.MethodGet, "/x/", nil)
			r.Header.Set("Id", "r")
			r.Header.Set("Wait", row.left)
			x := &exchange{g: &Gateway{cfg: Config{Codec: testCodec{}}, began: began}, r: r, began: began.Add(row.up)}
			assert.Equal(t, x.pauseWithoutConfiguration(), row.want)
		})
	}
}
