package edge

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/internal/hop"
	"github.com/junctionfold/junctionfold/schema"
)

// relayCodec implements the part of fleet.Codec that relays use, with a wire format for tests.
type relayCodec struct{ fleet.Codec }

func (relayCodec) Encode(h http.Header, c fleet.CallMetadata) {
	h.Set("Target", c.Target)
	h.Set("Left", strconv.FormatInt(c.Remaining.Milliseconds(), 10))
}

func (relayCodec) DecodeAnswer(status int, h http.Header) answer.Head {
	signatures := []string{"signature"}
	if h.Get("Unsigned") != "" {
		signatures = nil
	}
	return answer.Head{
		Status: status, RequestIDs: h.Values("Id"), Signatures: signatures, Encoded: h.Get("Content-Encoding") != "", NotRun: h.Get("Not-Run") != "",
	}
}

func (relayCodec) Notice(_ int, h http.Header) fleet.Notice {
	seconds, _ := strconv.Atoi(h.Get("Rest")) // 0 if there is none
	return fleet.Notice{Backoff: time.Duration(seconds) * time.Second}
}

// relayFleet is a VM, "sender", and VMs that can relay its requests, over real sessions.
type relayFleet struct {
	t      *testing.T
	sender *Node
	client *relayClient
	relays map[coord.VMID]*Node
}

// newRelayFleet starts the VMs. The sender tries the relays in the given order.
func newRelayFleet(t *testing.T, relays ...coord.VMID) *relayFleet {
	t.Helper()
	f := &relayFleet{t: t, relays: map[coord.VMID]*Node{}}
	f.sender = f.startVM("sender")
	for _, id := range relays {
		vm := f.startVM(string(id))
		f.relays[id] = vm
		f.sender.mergeRoster(vm.fullRoster())
	}
	f.client = newRelayClient(f.sender)
	for _, id := range relays[1:] {
		f.client.recordFailure(id)
	}
	return f
}

// startVM starts a VM that serves other VMs only.
func (f *relayFleet) startVM(id string) *Node {
	f.t.Helper()
	return startPeer(f.t, id, 1)
}

// startPeer starts a VM with a share of a core that serves other VMs only.
func startPeer(t *testing.T, id string, cpuShare float64) *Node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n, err := New(&schema.EdgeSettings{
		Vm: &schema.EdgeVM{Id: id, Zone: "z", CpuShare: cpuShare, CpuCores: 1},
		Listen: &schema.EdgeListen{
			Door: "127.0.0.1:0", Ready: "127.0.0.1:0", Peer: "127.0.0.1:0", Advertise: listener.Addr().String(),
		},
		Store: &schema.EdgeStore{}, Times: &schema.EdgeTimes{DrainMs: 2000, ConfigApplyMs: 2000}, Retry: &schema.EdgeRetry{},
		Quota: &schema.EdgeQuota{}, Orders: &schema.EdgeOrders{},
	}, Platform{Codec: relayCodec{}, Clocks: clock.System()}, gateway.NewMetrics(), events.Discard())
	assert.NilError(t, err)
	go n.mesh.Serve(listener)
	t.Cleanup(func() {
		_ = listener.Close()
		n.mesh.Close()
		for _, l := range []net.Listener{n.frontEndListener, n.readyListener, n.peerListener} {
			_ = l.Close()
		}
	})
	return n
}

// rawTarget is a target whose connections are handled by a function of the test.
type rawTarget struct {
	address  string
	requests atomic.Int32
}

// newRawTarget starts a target that reads a request on each connection, passes it to respond and
// closes the connection.
func newRawTarget(t *testing.T, respond func(c *net.TCPConn, r *http.Request)) *rawTarget {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	target := &rawTarget{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				target.requests.Add(1)
				respond(c.(*net.TCPConn), r)
			}()
		}
	}()
	return target
}

// respondText responds with a text.
func respondText(text string) func(*net.TCPConn, *http.Request) {
	return func(c *net.TCPConn, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, text)
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nId: r1\r\n"

// request returns a request to a target.
func (f *relayFleet) request(address string) *hop.Request {
	return &hop.Request{
		Key: "t#1", Address: address, Method: http.MethodPost, Path: "/a%2Fb?c=d", Host: "h.example", ID: "r1",
		Header:   http.Header{"Id": {"r1"}, "Target": {"t#1"}, "Left": {"9000"}},
		Deadline: time.Now().Add(8 * time.Second), Placement: hop.Placement{DecidedAt: time.Now(), Revision: 1},
		Accept: func(status int, h http.Header) error { return relayCodec{}.DecodeAnswer(status, h).Accept("r1") },
	}
}

// do sends a request through a relay and reads the response.
func (f *relayFleet) do(r *hop.Request) (*hop.Response, string, error) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(f.t.Context(), 20*time.Second)
	defer cancel()
	resp, err := f.client.do(ctx, r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return resp, string(body), err
}

func TestRelayedResponseKeepsItsFraming(t *testing.T) {
	f := newRelayFleet(t, "a")
	for _, row := range []struct {
		name, method, reply, body, framing string
		status                             int
	}{
		{"a length", "POST", responseHead + "Content-Length: 4\r\n\r\nbody", "body", "length", 200},
		{"no body", "POST", responseHead + "Content-Length: 0\r\n\r\n", "", "length", 200},
		{"chunks", "POST", responseHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "body", "chunked", 200},
		{"the end of the connection", "POST", responseHead + "\r\nbody", "body", "close", 200},
		{"a response to HEAD", "HEAD", responseHead + "Content-Length: 4\r\n\r\n", "", "length", 200},
		{"no content", "POST", "HTTP/1.1 204 No Content\r\nId: r1\r\n\r\n", "", "length", 204},
		{"an informational response first", "POST", "HTTP/1.1 103 Early Hints\r\n\r\n" + responseHead + "Content-Length: 4\r\n\r\nbody", "body", "length", 200},
	} {
		t.Run(row.name, func(t *testing.T) {
			target := newRawTarget(t, respondText(row.reply))
			r := f.request(target.address)
			r.Key = "t#" + row.name // the relay pools connections by key, and this target closes its own
			r.Method = row.method
			direct, directErr := hop.New(nil).Do(t.Context(), r)
			assert.NilError(t, directErr)
			direct.Close()
			resp, body, err := f.do(r)
			assert.NilError(t, err)
			assert.Equal(t, body, row.body)
			assert.Equal(t, resp.Status, row.status)
			assert.Equal(t, resp.Framing(), row.framing)
			assert.Equal(t, resp.Framing(), direct.Framing())
			assert.Equal(t, resp.Length, direct.Length)
			assert.DeepEqual(t, resp.Header, direct.Header)
		})
	}
}

// TestBrokenResponseBehindRelayIsTheTargetsFailure guards against broken responses that look
// complete, and against blaming the relay for the target.
func TestBrokenResponseBehindRelayIsTheTargetsFailure(t *testing.T) {
	f := newRelayFleet(t, "a")
	for name, reply := range map[string]string{
		"no response":              "",
		"a line of the head":       "HTTP/1.1 200 OK\r\n",
		"a part of a line":         "HTTP/1.1 200 OK\r\nI",
		"less than the length":     responseHead + "Content-Length: 10\r\n\r\nhalf",
		"chunks without an end":    responseHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
		"a part of a chunk":        responseHead + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf",
		"a reset without a length": responseHead + "\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			directErr := f.readBroken(hop.New(nil), name, reply)
			relayedErr := f.readBroken(f.client, name, reply)
			assert.Assert(t, directErr != nil && relayedErr != nil, "%v, %v", directErr, relayedErr)
			assert.Equal(t, isDisconnect(relayedErr), isDisconnect(directErr), "%v, %v", directErr, relayedErr)
			assert.Assert(t, !errors.Is(relayedErr, hop.ErrRelayLost) && !hop.NotSent(relayedErr), "%v", relayedErr)
		})
	}
}

// isDisconnect is the front end's test for a target that closed the connection.
func isDisconnect(err error) bool {
	return errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE)
}

// doer is implemented by hop.Pool and transports.
type doer interface {
	Do(ctx context.Context, r *hop.Request) (*hop.Response, error)
}

// Do makes relayClient a doer.
func (c *relayClient) Do(ctx context.Context, r *hop.Request) (*hop.Response, error) {
	return c.do(ctx, r)
}

// readBroken sends a request whose response breaks off after reply and returns the error. A name
// that begins with "a reset" makes the target reset its connection.
func (f *relayFleet) readBroken(d doer, name, reply string) error {
	received := make(chan struct{})
	target := newRawTarget(f.t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = io.WriteString(c, reply)
		if strings.HasPrefix(name, "a reset") {
			<-received
			_ = c.SetLinger(0)
		}
	})
	ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
	defer cancel()
	resp, err := d.Do(ctx, f.request(target.address))
	if err != nil {
		return err
	}
	defer resp.Close()
	if _, err = io.ReadFull(resp, make([]byte, len("half"))); err != nil {
		return errors.Newf("the part that arrived: %v", err)
	}
	close(received)
	_, err = resp.Read(make([]byte, 1))
	return err
}

// TestLostRelayIsNotTheTargetsFailure guards against blaming targets for the loss of a relay, and
// against repeating a request that may have arrived.
func TestLostRelayIsNotTheTargetsFailure(t *testing.T) {
	for name, beforeLoss := range map[string]string{
		"before the head": "", "within the head": "HTTP/1.1 200 OK\r\nI", "within the body": responseHead + "\r\ndata: 1\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, "a", "b")
			arrived, ended := make(chan struct{}), make(chan struct{})
			defer close(ended)
			target := newRawTarget(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, beforeLoss)
				close(arrived)
				<-ended
			})
			read := make(chan struct{})
			go func() {
				<-arrived
				if name == "within the body" {
					<-read
				}
				f.relays["a"].mesh.Close()
			}()
			resp, err := f.client.do(t.Context(), f.request(target.address))
			if err == nil {
				defer resp.Close()
				_, err = io.ReadFull(resp, make([]byte, len("data: 1\n\n")))
				assert.NilError(t, err)
				close(read)
				_, err = resp.Read(make([]byte, 1))
			}
			assert.Assert(t, errors.Is(err, hop.ErrRelayLost), "%v", err)
			assert.Assert(t, !hop.NotSent(err))
			assert.Assert(t, !errors.IsAny(err, io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE), "%v", err)
			assert.Equal(t, target.requests.Load(), int32(1))
		})
	}
}

// TestRequestBehindRelayEndsWithItsCaller guards against targets that go on working for callers who
// have left.
func TestRequestBehindRelayEndsWithItsCaller(t *testing.T) {
	for name, reply := range map[string]string{"before the head": "", "within the body": responseHead + "\r\ndata: 1\n\n"} {
		t.Run(name, func(t *testing.T) {
			f := newRelayFleet(t, "a")
			arrived, ended := make(chan struct{}), make(chan error, 1)
			target := newRawTarget(t, func(c *net.TCPConn, _ *http.Request) {
				_, _ = io.WriteString(c, reply)
				close(arrived)
				_, err := c.Read(make([]byte, 1))
				ended <- err
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				<-arrived
				if reply == "" {
					cancel()
				}
			}()
			r := f.request(target.address)
			r.Deadline = time.Now().Add(time.Minute)
			resp, err := f.client.do(ctx, r)
			if err == nil {
				_, err = resp.Read(make([]byte, 100))
				assert.NilError(t, err)
				resp.Close()
			}
			select {
			case err := <-ended:
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
			case <-time.After(10 * time.Second):
				t.Fatal("the target still works on the request")
			}
		})
	}
}

func TestRelayKeepsDeadlineAndInstance(t *testing.T) {
	f := newRelayFleet(t, "a")
	received := make(chan *http.Request, 1)
	target := newRawTarget(t, func(c *net.TCPConn, r *http.Request) {
		received <- r
		respondText(responseHead+"Content-Length: 0\r\n\r\n")(c, r)
	})
	r := f.request(target.address)
	r.Deadline = time.Now().Add(5 * time.Second)
	_, _, err := f.do(r)
	assert.NilError(t, err)
	got := <-received
	assert.Equal(t, got.RequestURI, "/a%2Fb?c=d")
	assert.Equal(t, got.Host, "h.example")
	assert.Equal(t, got.Header.Get("Target"), "t#1")
	left, err := strconv.Atoi(got.Header.Get("Left"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 5000, left)
}

// TestTimeoutEndsRelayedRequest checks that a timeout that is shorter than the deadline also applies
// at the relay.
func TestTimeoutEndsRelayedRequest(t *testing.T) {
	f := newRelayFleet(t, "a")
	ended := make(chan struct{})
	target := newRawTarget(t, func(c *net.TCPConn, _ *http.Request) {
		_, _ = c.Read(make([]byte, 1))
		close(ended)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := f.client.do(ctx, f.request(target.address))
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
	assert.Assert(t, ctx.Err() != nil, "the relay ended the request before its sender: %v", err)
	assert.Assert(t, !hop.NotSent(err))
	<-ended
}

func TestRelaysCarryLargeBodies(t *testing.T) {
	const size = 4 << 20
	f := newRelayFleet(t, "a")
	body := strings.Repeat("x", size)
	target := newRawTarget(t, func(c *net.TCPConn, r *http.Request) {
		got, err := io.ReadAll(r.Body)
		assert.Check(t, err == nil && string(got) == body)
		_, _ = io.WriteString(c, responseHead+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+body)
	})
	r := f.request(target.address)
	r.Body = []byte(body)
	_, got, err := f.do(r)
	assert.NilError(t, err)
	assert.Assert(t, got == body)
}

// TestRelayAppliesNotices guards against requests that a relay sends to targets that asked it not to.
func TestRelayAppliesNotices(t *testing.T) {
	f := newRelayFleet(t, "a")
	target := newRawTarget(t, respondText("HTTP/1.1 503 Service Unavailable\r\nId: r1\r\nNot-Run: 1\r\nRest: 30\r\nContent-Length: 0\r\n\r\n"))
	resp, _, err := f.do(f.request(target.address))
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
	_, _, err = f.do(f.request(target.address))
	assert.Assert(t, errors.Is(err, hop.ErrWithdrawn) && hop.NotSent(err), "%v", err)
	assert.Equal(t, target.requests.Load(), int32(1))
}

// TestRelayChecksTargetBeforeSending checks the relay's own knowledge of a target: it is gone, or it
// limits its rate.
func TestRelayChecksTargetBeforeSending(t *testing.T) {
	f := newRelayFleet(t, "a")
	target := newRawTarget(t, respondText(responseHead+"Content-Length: 0\r\n\r\n"))
	gone := f.request(target.address)
	gone.Placement.Revision = 0 // the relay's copy of the store is as recent and lacks the target
	_, _, err := f.do(gone)
	assert.Assert(t, errors.Is(err, hop.ErrWithdrawn), "%v", err)

	f.relays["a"].rateLimits.observeLimit("t#1", 5)
	_, _, err = f.do(f.request(target.address))
	assert.Assert(t, errors.Is(err, hop.ErrWithdrawn), "a decision without the limit: %v", err)
	paced := f.request(target.address)
	paced.Placement.Paced, paced.Placement.DecidedAt = true, time.Now().Add(-time.Minute)
	_, _, err = f.do(paced)
	assert.Assert(t, errors.Is(err, hop.ErrWithdrawn), "an old decision: %v", err)
	paced.Placement.DecidedAt = time.Now()
	_, _, err = f.do(paced)
	assert.NilError(t, err)
	assert.Equal(t, target.requests.Load(), int32(1))
}

// TestSenderChecksRequestBeforeRelaying checks that a request that its sender withdraws reaches no
// relay.
func TestSenderChecksRequestBeforeRelaying(t *testing.T) {
	f := newRelayFleet(t, "a")
	target := newRawTarget(t, respondText(responseHead+"Content-Length: 0\r\n\r\n"))
	r := f.request(target.address)
	r.BeforeSend = func() error { return errors.New("no longer") }
	_, _, err := f.do(r)
	assert.Assert(t, errors.Is(err, hop.ErrWithdrawn), "%v", err)
	assert.Equal(t, target.requests.Load(), int32(0))
}

// TestSecondRelayIsUsedIfFirstSentNothing guards against requests that fail although another VM can
// relay them.
func TestSecondRelayIsUsedIfFirstSentNothing(t *testing.T) {
	for _, row := range []struct {
		name    string
		prepare func(f *relayFleet, address string)
	}{
		{"the first drains", func(f *relayFleet, _ string) { f.relays["a"].relayServer.drain() }},
		{"the first cannot be reached", func(f *relayFleet, _ string) {
			f.sender.mu.Lock()
			entry := f.sender.roster.Member("a").Entry
			f.sender.mu.Unlock()
			entry.Address, entry.Incarnation = "127.0.0.1:1", entry.Incarnation+1
			f.sender.mergeRoster(&schema.Roster{FeedAgeMs: -1, Entries: []*schema.RosterEntry{{
				Vm: "a", Address: entry.Address, Zone: entry.Zone, Incarnation: entry.Incarnation, Beat: 1,
			}}})
		}},
		{"the first cannot reach the target", func(f *relayFleet, _ string) {
			f.relays["a"].pool.Dial = func(context.Context, *net.Dialer, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
		}},
		{"the first has no free connection", func(f *relayFleet, address string) {
			r := f.relays["a"].relayServer.request(context.Background(), &schema.Forward{
				RequestId: "r1", Target: "t#1", Method: http.MethodPost, Path: "/wait",
				Relayed: &schema.RelayedRequest{Address: address, LeftMs: 60_000, FeedRevision: 1},
			})
			ctx, cancel := context.WithCancel(context.Background())
			f.t.Cleanup(cancel)
			dialed := make(chan struct{})
			pool := f.relays["a"].pool
			pool.OnDialed = func(string, error) { close(dialed) }
			go func() { _, _ = pool.Do(ctx, r) }()
			<-dialed
			pool.OnDialed = nil
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newRelayFleet(t, "a", "b")
			target := newRawTarget(t, func(c *net.TCPConn, r *http.Request) {
				if r.URL.Path == "/wait" {
					_, _ = c.Read(make([]byte, 1))
					return
				}
				respondText(responseHead+"Content-Length: 0\r\n\r\n")(c, r)
			})
			row.prepare(f, target.address)
			r := f.request(target.address)
			r.MaxConns = 1
			var via []string
			r.OnRelay = func(vm string) { via = append(via, vm) }
			_, _, err := f.do(r)
			assert.NilError(t, err)
			assert.DeepEqual(t, via, []string{"a", "b"})
		})
	}
}

// TestRelaysTellUnreachableTargetsFromMissingPaths checks that only relays that tried to reach a
// target count as evidence against it.
func TestRelaysTellUnreachableTargetsFromMissingPaths(t *testing.T) {
	refused := "127.0.0.1:1"
	f := newRelayFleet(t, "a", "b", "c")
	var via []string
	r := f.request(refused)
	r.OnRelay = func(vm string) { via = append(via, vm) }
	_, _, err := f.do(r)
	assert.Assert(t, errors.Is(err, hop.ErrUnreachable) && hop.NotSent(err), "%v", err)
	assert.Equal(t, len(via), maxUnreachable, "%v", via)
	for _, vm := range f.relays {
		vm.relayServer.drain()
	}
	_, _, err = f.do(f.request(refused))
	assert.Assert(t, errors.Is(err, hop.ErrNoPath) && hop.NotSent(err), "%v", err)
	assert.Assert(t, !errors.Is(err, hop.ErrUnreachable))
}

// TestDrainingRelayCompletesRequests guards against a VM that ends while it relays requests.
func TestDrainingRelayCompletesRequests(t *testing.T) {
	f := newRelayFleet(t, "a")
	arrived, proceed := make(chan struct{}), make(chan struct{})
	target := newRawTarget(t, func(c *net.TCPConn, r *http.Request) {
		close(arrived)
		<-proceed
		respondText(responseHead+"Content-Length: 4\r\n\r\nbody")(c, r)
	})
	responded := make(chan error, 1)
	go func() {
		_, body, err := f.do(f.request(target.address))
		if err == nil && body != "body" {
			err = errors.Newf("body %q", body)
		}
		responded <- err
	}()
	<-arrived
	server := f.relays["a"].relayServer
	server.drain()
	waited := make(chan struct{})
	go func() {
		server.wait(t.Context())
		close(waited)
	}()
	_, _, err := f.do(f.request(target.address))
	assert.Assert(t, errors.Is(err, hop.ErrNoPath), "a draining relay accepted a request: %v", err)
	select {
	case <-waited:
		t.Fatal("the relay did not wait for the request")
	default:
	}
	close(proceed)
	assert.NilError(t, <-responded)
	<-waited
}

// TestMismatchedResponseBehindRelay guards against a response of another request that a relay passes
// on.
func TestMismatchedResponseBehindRelay(t *testing.T) {
	f := newRelayFleet(t, "a")
	other := "HTTP/1.1 200 OK\r\nId: r0\r\nContent-Length: 3\r\n\r\nold"
	target := newRawTarget(t, respondText(other+responseHead+"Content-Length: 4\r\n\r\nmine"))
	_, body, err := f.do(f.request(target.address))
	assert.NilError(t, err)
	assert.Equal(t, body, "mine")
	target = newRawTarget(t, respondText(other))
	_, _, err = f.do(f.request(target.address))
	assert.Assert(t, err != nil && !hop.NotSent(err), "%v", err)
}

// TestDirectFailureGoesOnThroughRelay checks which failures of this VM's own connections lead to a
// relay: only those after which nothing can have arrived.
func TestDirectFailureGoesOnThroughRelay(t *testing.T) {
	for _, row := range []struct {
		name    string
		dial    func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error)
		relayed bool
	}{
		{"refused", func(context.Context, *net.Dialer, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }, true},
		{"no answer", func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, os.ErrDeadlineExceeded
		}, true},
		{"reset after the request", func(ctx context.Context, d *net.Dialer, _ string) (net.Conn, error) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return nil, err
			}
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_ = c.(*net.TCPConn).SetLinger(0)
				_, _ = c.Close(), l.Close()
			}()
			return d.DialContext(ctx, "tcp", l.Addr().String())
		}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			f := newRelayFleet(t, "a")
			f.sender.pool.Dial = row.dial
			target := newRawTarget(t, respondText(responseHead+"Content-Length: 0\r\n\r\n"))
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			resp, err := newTransport(f.sender, f.sender.pool).Do(ctx, f.request(target.address))
			if !row.relayed {
				assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
				assert.Equal(t, target.requests.Load(), int32(0))
				return
			}
			assert.NilError(t, err)
			resp.Close()
			assert.Equal(t, target.requests.Load(), int32(1))
		})
	}
}

// TestUnresponsiveRelayEndsRequest checks that a request ends at both VMs when the session between
// them is closed.
func TestUnresponsiveRelayEndsRequest(t *testing.T) {
	f := newRelayFleet(t, "a")
	arrived, ended := make(chan struct{}), make(chan struct{})
	defer close(ended)
	target := newRawTarget(t, func(*net.TCPConn, *http.Request) {
		close(arrived)
		<-ended
	})
	go func() {
		<-arrived
		f.sender.mesh.Disconnect("a")
	}()
	_, _, err := f.do(f.request(target.address))
	assert.Assert(t, errors.Is(err, hop.ErrRelayLost), "%v", err)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.relays["a"].metrics.RelayedForOthers.String() != "{}" {
			return poll.Success()
		}
		return poll.Continue("the relay ends the request")
	}, poll.WithTimeout(10*time.Second))
}

// TestRelayWithoutPathsBlamesTarget guards against a relay that has lost its own paths and reports a
// target as unreachable.
func TestRelayWithoutPathsBlamesTarget(t *testing.T) {
	refused := "127.0.0.1:1"
	f := newRelayFleet(t, "a", "b")
	for _, vm := range f.relays {
		vm.reachability.table.SetTargets([]string{"other"})
		vm.reachability.recordDial("other", errRefused)
	}
	_, _, err := f.do(f.request(refused))
	assert.Assert(t, errors.Is(err, hop.ErrNoPath) && hop.NotSent(err), "%v", err)
	for _, vm := range f.relays {
		vm.reachability.recordDial("other", nil)
	}
	_, _, err = f.do(f.request(refused))
	assert.Assert(t, errors.Is(err, hop.ErrUnreachable), "%v", err)
}

// TestRelayThatLosesItsPathsIsNotTheTargetsFailure guards against relayed requests that count against
// targets, and as proof that these were reached, although their relay was cut off.
func TestRelayThatLosesItsPathsIsNotTheTargetsFailure(t *testing.T) {
	for _, cut := range []bool{true, false} {
		t.Run(strconv.FormatBool(cut), func(t *testing.T) {
			f := newRelayFleet(t, "a")
			relay, ids := f.relays["a"], []string{"t#1", "t#2", "t#3"}
			f.sender.reachability.table.SetTargets(ids)
			relay.reachability.table.SetTargets(ids)
			relay.reachability.recordDirectFailure("t#2")
			target := newRawTarget(t, func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) })
			relay.feed = feedOf(relay, map[string]string{"t#1": target.address, "t#2": target.address, "t#3": target.address})
			relay.pool.OnDialed = nil // as on a connection that was open before
			if cut {
				relay.pool.Dial = dialOnce(relay.pool.Dial)
			}
			f.sender.reachability.recordDirectFailure("t#1")
			_, _, err := f.do(f.request(target.address))
			assert.Assert(t, err != nil && !hop.NotSent(err), "%v", err)
			assert.Equal(t, errors.Is(err, hop.ErrRelayLost), cut, "%v", err)
			assert.Equal(t, isDisconnect(err), !cut, "%v", err)
			assert.Equal(t, f.sender.reachability.brokenPaths() == 1, !cut)
		})
	}
}

// dialOnce returns a dial function whose first connection is that of dial, and whose others are refused.
func dialOnce(dial fleet.DialFunc) fleet.DialFunc {
	var dialed atomic.Bool
	return func(ctx context.Context, d *net.Dialer, address string) (net.Conn, error) {
		if dialed.Swap(true) {
			return nil, errRefused
		}
		return dial(ctx, d, address)
	}
}

// TestRelayRecordsItsOwnFailures guards against a VM without callers that goes on relaying without paths.
func TestRelayRecordsItsOwnFailures(t *testing.T) {
	f := newRelayFleet(t, "a")
	relay := f.relays["a"]
	relay.reachability.table.SetTargets([]string{"t#1", "t#2"})
	relay.pool.OnDialed = nil // as on a connection that was open before
	target := newRawTarget(t, func(c *net.TCPConn, _ *http.Request) { _ = c.SetLinger(0) })
	_, _, err := f.do(f.request(target.address))
	assert.Assert(t, err != nil, "the target responded")
	assert.Assert(t, relay.reachability.doubts("t#2"))
}

// TestRelayPassesOnNoInvalidAnswer guards against bytes that are not the target's answer, but reach the
// caller's VM through a relay.
func TestRelayPassesOnNoInvalidAnswer(t *testing.T) {
	f := newRelayFleet(t, "a")
	for name, header := range map[string]string{"unsigned": "Unsigned: 1", "encoded": "Content-Encoding: gzip"} {
		t.Run(name, func(t *testing.T) {
			target := newRawTarget(t, respondText(responseHead+header+"\r\nContent-Length: 4\r\n\r\nbody"))
			r := f.request(target.address)
			accept := r.Accept
			r.Accept = func(status int, h http.Header) error {
				t.Errorf("an answer with the header %v reached the sender", h)
				return accept(status, h)
			}
			_, _, err := f.do(r)
			assert.Assert(t, errors.Is(err, answer.ErrInvalid), "%v", err)
			assert.Assert(t, isProofOfReach(err) && !hop.NotSent(err) && !isDisconnect(err), "%v", err)
			assert.Equal(t, f.relays["a"].metrics.RelayedForOthers.Get("answer_invalid").String(), "1")
			f.relays["a"].metrics.RelayedForOthers.Delete("answer_invalid")
		})
	}
}

// TestRelayedBodiesExceedMemory guards against a VM that runs out of memory because of the bodies that it relays for
// others.
func TestRelayedBodiesExceedMemory(t *testing.T) {
	s := &relayServer{maxBytes: 100}
	assert.Assert(t, s.begin(60))
	assert.Assert(t, !s.begin(41))
	assert.Assert(t, s.begin(40))
	s.end(60)
	assert.Assert(t, s.begin(60))
}
