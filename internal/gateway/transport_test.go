package gateway

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// failingTransport fails the first requests with err and then uses the pool.
type failingTransport struct {
	*hop.Pool
	err      error
	failures int
	requests []*hop.Request
}

func (t *failingTransport) Do(ctx context.Context, r *hop.Request) (*hop.Response, error) {
	t.requests = append(t.requests, r)
	if t.failures > 0 {
		t.failures--
		return nil, t.err
	}
	return t.Pool.Do(ctx, r)
}

// transportFixture returns a fixture in which target a is granted first and failures requests fail
// with err.
func transportFixture(t *testing.T, err error, failures int) (x *fixture, transport *failingTransport, a, b *backend) {
	a, b = newBackend(t, "a"), newBackend(t, "b")
	x = newFixture(t, a, b)
	x.admission.targets = append(x.admission.targets, a.target(), b.target())
	x.admission.decidePlain = plainDecisions(a, b)
	transport = &failingTransport{Pool: hop.New(nil), err: err, failures: failures}
	x.gateway.cfg.Pool = transport
	return x, transport, a, b
}

// TestMissingPathIsNotTheTargetsFailure guards against blaming targets for the paths of this VM, and
// against charging the retry budget for requests that were not sent.
func TestMissingPathIsNotTheTargetsFailure(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			x, transport, _, _ := transportFixture(t, hop.ErrNoPath, 1)
			x.gateway.SetRetry(retry.Config{})
			resp, _ := x.send(t, "POST", path, "")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, len(transport.requests), 2)
			if path == "/stream/x" {
				assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedWithdrawn, scheduler.EndedOK})
				assert.Equal(t, len(x.admission.requests[1].Exclude), 0, "the target was excluded")
				return
			}
			assert.DeepEqual(t, x.admission.plainEndings, []balance.Ending{balance.Abandoned, balance.OK})
		})
	}
}

func TestRequestWithoutPathIsRefused(t *testing.T) {
	for _, path := range []string{"/stream/x", "/once/x", "/again/x"} {
		t.Run(path, func(t *testing.T) {
			x, _, a, b := transportFixture(t, hop.ErrNoPath, 10)
			resp, _ := x.send(t, "POST", path, "")
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, a.requestCount()+b.requestCount(), 0)
		})
	}
}

// TestLostRelayIsNotTheTargetsFailure guards against blaming targets for the loss of a relay or of
// packets, and against repeating requests that may have run.
func TestLostRelayIsNotTheTargetsFailure(t *testing.T) {
	for _, row := range []struct {
		path     string
		status   int
		requests int
	}{
		{"/stream/x", http.StatusBadGateway, 1},
		{"/once/x", http.StatusBadGateway, 1},
		{"/again/x", http.StatusOK, 2},
	} {
		for _, lost := range []error{hop.ErrRelayLost, hop.ErrUnacknowledged} {
			t.Run(row.path+" "+lost.Error(), func(t *testing.T) {
				x, transport, _, _ := transportFixture(t, lost, 1)
				resp, _ := x.send(t, "POST", row.path, "")
				assert.Equal(t, resp.StatusCode, row.status)
				assert.Equal(t, len(transport.requests), row.requests)
				if row.path == "/stream/x" {
					assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedAbandoned})
					return
				}
				assert.Equal(t, x.admission.plainEndings[0], balance.Abandoned)
			})
		}
	}
}

// TestRepeatAfterLostRelayConsumesRetryBudget checks that an attempt that may have run counts.
func TestRepeatAfterLostRelayConsumesRetryBudget(t *testing.T) {
	x, transport, _, _ := transportFixture(t, hop.ErrRelayLost, 1)
	x.gateway.SetRetry(retry.Config{})
	resp, _ := x.send(t, "POST", "/again/x", "")
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.Equal(t, len(transport.requests), 1)
}

// brokenBody returns a part of a stream and then an error.
type brokenBody struct {
	*strings.Reader
	err error
}

func (b brokenBody) Read(p []byte) (int, error) {
	if b.Len() == 0 {
		return 0, b.err
	}
	return b.Reader.Read(p)
}

func (brokenBody) Close() error { return nil }

// losingTransport breaks the first response off after a part of it.
type losingTransport struct {
	*hop.Pool
	part string
	used bool
}

func (t *losingTransport) Do(ctx context.Context, r *hop.Request) (*hop.Response, error) {
	if t.used {
		return t.Pool.Do(ctx, r)
	}
	t.used = true
	if err := r.CheckBeforeSend(); err != nil {
		return nil, err
	}
	header := http.Header{"Id": r.Header["Id"], "Content-Type": {"text/event-stream"}, "Weights": {"1"}}
	return hop.NewResponse(hop.Answer{
		Status: http.StatusOK, Header: header, Length: -1, Body: brokenBody{strings.NewReader(t.part), hop.ErrRelayLost},
	}), nil
}

// TestStreamResumesAfterLostRelay guards against streams that end with their relay although another
// target can continue them.
func TestStreamResumesAfterLostRelay(t *testing.T) {
	for n := range len(allEvents) + 1 {
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			b.handler = respondContinuation
			x := newResumableFixture(t, a, b)
			x.gateway.cfg.Pool = &losingTransport{Pool: hop.New(nil), part: allEvents[:n]}
			resp, body := x.send(t, "POST", "/stream/x", "prompt")
			assert.Equal(t, resp.StatusCode, 200)
			assert.Equal(t, body, allEvents)
			assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedAbandoned, scheduler.EndedOK})
		})
	}
}

// TestTimeLeftIsEncodedWhenRequestIsSent guards against targets that are given more time than is
// left after a failed connection attempt.
func TestTimeLeftIsEncodedWhenRequestIsSent(t *testing.T) {
	now := time.Now()
	x, _, a, _ := transportFixture(t, nil, 0)
	left := make(chan string, 1)
	a.handler = func(_ http.ResponseWriter, r *http.Request) { left <- r.Header.Get("Left") }
	x.gateway.cfg.Now = func() time.Time { return now }
	pool := hop.New(func() { now = now.Add(3 * time.Second) })
	x.gateway.cfg.Pool = pool
	resp, _ := x.send(t, "POST", "/once/x", "")
	assert.Equal(t, resp.StatusCode, 200)
	assert.Equal(t, <-left, "7s")
}

// TestRelayedRequestsAreCheckedAgainstDirectory checks what a relay knows of a target.
func TestRelayedRequestsAreCheckedAgainstDirectory(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	x := newFixture(t, a, b)
	x.directory.dir.Revision = 5
	x.directory.dir.Targets["b"].State = fleet.TargetDraining
	x.directory.dir.Removed = map[string]bool{"c": true}
	current := hop.Placement{Revision: 5}
	assert.NilError(t, x.gateway.CheckRelayed("a", current))
	assert.ErrorIs(t, x.gateway.CheckRelayed("b", current), errDraining)
	assert.ErrorIs(t, x.gateway.CheckRelayed("c", hop.Placement{Revision: 9}), errDraining)
	assert.ErrorIs(t, x.gateway.CheckRelayed("d", current), errDraining)
	assert.NilError(t, x.gateway.CheckRelayed("d", hop.Placement{Revision: 6}))
	x.gateway.RecordBackoff("a", time.Minute)
	assert.ErrorIs(t, x.gateway.CheckRelayed("a", current), errBackedOff)
}
