package gateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/framing"
)

// respondUnframed sends a body without length or chunks and closes the connection.
func respondUnframed(contentType, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nWeights: 1\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Id"), contentType, body)
		_ = conn.Close()
	}
}

// received is a response as a caller reads it from its connection.
type received struct {
	body string
	// framed reports that the body has a length or chunks.
	framed bool
	// intact reports that the body ended without an error.
	intact bool
}

// looksComplete reports whether the caller must take the response for complete.
func (r received) looksComplete() bool { return r.framed && r.intact }

// sendOnce sends a caller's request on a connection of its own.
func (x *fixture) sendOnce(t *testing.T, proto, path string) received {
	t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(x.server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h.example\r\nId: r1\r\nContent-Length: 6\r\n\r\nprompt", path, proto)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return received{}
	}
	body, err := io.ReadAll(resp.Body)
	return received{string(body), resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, err == nil}
}

func newStreamFixture(t *testing.T, backends ...*backend) *fixture {
	x := newFixture(t, backends...)
	for _, b := range backends {
		x.admission.targets = append(x.admission.targets, b.target())
	}
	return x
}

// TestBrokenOffUnframedStreamLooksComplete ends a stream without length or chunks after each byte.
func TestBrokenOffUnframedStreamLooksComplete(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for n := 1; n <= len(allEvents); n++ {
			t.Run(fmt.Sprintf("%s after %d bytes", proto, n), func(t *testing.T) {
				a := newBackend(t, "a")
				a.handler = respondUnframed("text/event-stream", allEvents[:n])
				x := newStreamFixture(t, a)
				got := x.sendOnce(t, proto, "/stream/x")
				betweenEvents := strings.HasSuffix(allEvents[:n], "\n\n")
				assert.Assert(t, !got.looksComplete())
				assert.Equal(t, got.intact, betweenEvents)
				if betweenEvents {
					assert.Equal(t, got.body, allEvents[:n])
				}
			})
		}
	}
}

// TestFramedStreamEndsInsideEvent checks that a stream that ends inside an event counts as broken off
// also where the target marks its end.
func TestFramedStreamEndsInsideEvent(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = respondEvents("id: 1\ndata: a\n\nid: 2\nda", nil)
	x := newStreamFixture(t, a)
	assert.Assert(t, !x.sendOnce(t, "HTTP/1.1", "/stream/x").intact)
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedFailed})
}

// TestUnframedStreamResumes breaks an unframed stream off inside an event of a route that may be
// resumed.
func TestUnframedStreamResumes(t *testing.T) {
	for n := 1; n < len(allEvents); n++ {
		if strings.HasSuffix(allEvents[:n], "\n\n") {
			continue
		}
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = respondUnframed("text/event-stream", allEvents[:n])
			b.handler = respondContinuation
			x := newResumableFixture(t, a, b)
			got := x.sendOnce(t, "HTTP/1.1", "/stream/x")
			assert.Equal(t, got, received{body: allEvents, intact: true})
			assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected, scheduler.EndedOK})
		})
	}
}

// TestUnframedContinuationOfFramedStream checks that the chunks of the first part of a stream do not
// vouch for a second part without any.
func TestUnframedContinuationOfFramedStream(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = respondEvents("id: 1\ndata: a\n\nid", abortConnection)
	b.handler = respondUnframed("text/event-stream", "id: 2\ndata: b\n\n")
	x := newResumableFixture(t, a, b)
	got := x.sendOnce(t, "HTTP/1.1", "/stream/x")
	assert.Equal(t, got, received{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", framed: true})
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected, scheduler.EndedUnverified})
}

// TestEndOfUnframedStreamIsNotSuccess checks that an end that proves nothing is not reported as a
// success of the target.
func TestEndOfUnframedStreamIsNotSuccess(t *testing.T) {
	a := newBackend(t, "a")
	a.handler = respondUnframed("text/event-stream", allEvents)
	x := newResumableFixture(t, a)
	assert.Equal(t, x.sendOnce(t, "HTTP/1.1", "/stream/x"), received{body: allEvents, intact: true})
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedUnverified})
}

// TestUnframedAnswerGetsLength checks that a whole answer whose end is not known gets no length, and
// that one that is provably cut is repeated or fails.
func TestUnframedAnswerGetsLength(t *testing.T) {
	for _, row := range []struct {
		name, path, contentType, body string
		want                          received
		endings                       []balance.Ending
	}{
		{"a JSON value", "/once/x", "application/json", `{"a":1}`, received{body: `{"a":1}`, intact: true}, []balance.Ending{balance.Unverified}},
		{"a JSON value, cut", "/once/x", "application/json", `{"a":`, received{body: "target_failed\n", framed: true, intact: true}, []balance.Ending{balance.Disconnected}},
		{"a JSON value, cut, idempotent", "/again/x", "application/json; charset=utf-8", `{"a":`, received{body: "from b", framed: true, intact: true}, []balance.Ending{balance.Disconnected, balance.OK}},
		{"two JSON values", "/once/x", "application/json", "{}\n[1]\n", received{body: "{}\n[1]\n", intact: true}, []balance.Ending{balance.Unverified}},
		{"JSON after a byte order mark", "/once/x", "application/json", "\xef\xbb\xbf{}", received{body: "\xef\xbb\xbf{}", intact: true}, []balance.Ending{balance.Unverified}},
		{"not JSON", "/once/x", "application/json", "OK", received{body: "OK", intact: true}, []balance.Ending{balance.Unverified}},
		{"a JSON string, cut", "/once/x", "application/json", `"abc`, received{body: "target_failed\n", framed: true, intact: true}, []balance.Ending{balance.Disconnected}},
		{"no JSON value", "/once/x", "application/json", "", received{body: "target_failed\n", framed: true, intact: true}, []balance.Ending{balance.Disconnected}},
		{"events, cut", "/once/x", "text/event-stream", "data: a\n\ndata", received{body: "target_failed\n", framed: true, intact: true}, []balance.Ending{balance.Disconnected}},
		{"text", "/once/x", "text/plain", "abc", received{body: "abc", intact: true}, []balance.Ending{balance.Unverified}},
		{"nothing", "/once/x", "text/plain", "", received{intact: true}, []balance.Ending{balance.Unverified}},
		{"a long text", "/once/x", "text/plain", strings.Repeat("x", maxBufferedBytes+1), received{body: strings.Repeat("x", maxBufferedBytes+1), intact: true}, []balance.Ending{balance.Unverified}},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = respondUnframed(row.contentType, row.body)
			x := newFixture(t, a, b)
			x.admission.decidePlain = inOrder(a, b)
			got := x.sendOnce(t, "HTTP/1.1", row.path)
			assert.Equal(t, len(got.body), len(row.want.body))
			assert.Assert(t, got == row.want)
			assert.DeepEqual(t, x.admission.endedPlain(), row.endings)
		})
	}
}

// inOrder decides for the backends in order.
func inOrder(backends ...*backend) func(r *AdmitRequest) Decision {
	return func(r *AdmitRequest) Decision {
		b := backends[len(r.Exclude)]
		return Decision{Service: r.Service, Ticket: 1, Target: b.id, Address: b.target().Address}
	}
}

// TestResponsesWithoutBodyAreComplete checks that a response that cannot have a body is not taken for
// one that ends with its connection.
func TestResponsesWithoutBodyAreComplete(t *testing.T) {
	for _, status := range []int{http.StatusNoContent, http.StatusNotModified} {
		a := newBackend(t, "a")
		a.handler = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }
		x := newFixture(t, a)
		x.admission.decidePlain = inOrder(a)
		resp, _ := x.send(t, http.MethodPost, "/once/x", "prompt")
		assert.Equal(t, resp.StatusCode, status)
		assert.Assert(t, !resp.Close)
		assert.DeepEqual(t, x.admission.plainEndings, []balance.Ending{balance.OK})
	}
}

// TestProcessEndCompletesUnframedStream closes a caller's connection in the middle of a stream without
// length or chunks, as the kernel does when this process ends.
func TestProcessEndCompletesUnframedStream(t *testing.T) {
	a := newBackend(t, "a")
	relayed := make(chan struct{})
	a.handler = func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		assert.Check(t, err)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n", r.Header.Get("Id"))
		<-relayed
		_ = conn.Close()
	}
	x := newStreamFixture(t, a)
	callers := make(chan net.Conn, 1)
	server := httptest.NewUnstartedServer(x.gateway)
	server.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		callers <- c
		return framing.WithConn(ctx, c)
	}
	server.Start()
	t.Cleanup(server.Close)
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST /stream/x HTTP/1.1\r\nHost: h.example\r\nId: r1\r\nContent-Length: 0\r\n\r\n")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	event := make([]byte, len("data: a\n\n"))
	_, err = io.ReadFull(resp.Body, event)
	assert.NilError(t, err)
	_ = (<-callers).Close()
	close(relayed)
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil, "the stream looks complete")
}

// respondWithLength sends an event stream whose length counts a number of bytes that are missing.
func respondWithLength(body string, missing int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Weights", "1")
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+missing))
		_, _ = io.WriteString(w, body)
	}
}

// TestContinuationWithLength continues streams with responses that have a length.
func TestContinuationWithLength(t *testing.T) {
	for _, row := range []struct {
		name        string
		first, next http.HandlerFunc
		want        received
	}{
		{
			"after chunks", respondEvents("id: 1\ndata: a\n\nid: 2\nda", abortConnection),
			respondWithLength("id: 2\ndata: b\n\n", 0), received{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", framed: true, intact: true},
		},
		{
			"after a part without framing", respondUnframed("text/event-stream", "id: 1\ndata: a\n\nid: 2\nda"),
			respondWithLength("id: 2\ndata: b\n\n", 0), received{body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", intact: true},
		},
		{
			"cut inside an event", respondEvents("id: 1\ndata: a\n\nid: 2\nda", abortConnection),
			respondWithLength("id: 2\ndata: b\n\nid", 9), received{body: allEvents, framed: true, intact: true},
		},
	} {
		t.Run(row.name, func(t *testing.T) {
			a, b, c := newBackend(t, "a"), newBackend(t, "b"), newBackend(t, "c")
			a.handler, b.handler, c.handler = row.first, row.next, respondContinuation
			x := newResumableFixture(t, a, b, c)
			for i := range x.directory.dir.Config.Routes {
				x.directory.dir.Config.Routes[i].MaxAttempts = 3
			}
			assert.Equal(t, x.sendOnce(t, "HTTP/1.1", "/stream/x"), row.want)
		})
	}
}

// TestLengthVouchesForBrokenOffStream ends a stream with a length inside an event.
func TestLengthVouchesForBrokenOffStream(t *testing.T) {
	for _, proto := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for n := 1; n <= len(allEvents); n++ {
			t.Run(fmt.Sprintf("%s after %d bytes", proto, n), func(t *testing.T) {
				a := newBackend(t, "a")
				a.handler = respondWithLength(allEvents[:n], 0)
				x := newStreamFixture(t, a)
				assert.Equal(t, x.sendOnce(t, proto, "/stream/x").intact, strings.HasSuffix(allEvents[:n], "\n\n"))
			})
		}
	}
}

// TestEmptyUnframedContinuation ends the continuation of a stream that broke off inside an event before
// its first byte.
func TestEmptyUnframedContinuation(t *testing.T) {
	a, b := newBackend(t, "a"), newBackend(t, "b")
	a.handler = respondUnframed("text/event-stream", "id: 1\ndata: a\n\nid: 2\nda")
	b.handler = respondUnframed("text/event-stream", "")
	x := newResumableFixture(t, a, b)
	assert.Assert(t, !x.sendOnce(t, "HTTP/1.1", "/stream/x").intact, "the stream looks complete")
	assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected, scheduler.EndedDisconnected})
}

// TestHeadAnswerLosesLength checks that the length that a target names for HEAD reaches the caller.
func TestHeadAnswerLosesLength(t *testing.T) {
	for _, length := range []string{"1234", "300000", "0", ""} {
		a := newBackend(t, "a")
		a.handler = func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			} else {
				w.Header().Set("Transfer-Encoding", "chunked")
			}
		}
		x := newFixture(t, a)
		resp, _ := x.send(t, http.MethodHead, "/once/x", "")
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Header.Get("Content-Length"), length)
	}
}

// TestCutLongAnswerIsReportedAsSuccess cuts answers that are too long to be buffered.
func TestCutLongAnswerIsReportedAsSuccess(t *testing.T) {
	cut := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*maxBufferedBytes))
		abortConnection(w, r)
	}
	t.Run("model", func(t *testing.T) {
		a := newBackend(t, "a")
		a.handler = cut
		x := newStreamFixture(t, a)
		assert.Assert(t, !x.sendOnce(t, "HTTP/1.1", "/stream/x").intact)
		assert.DeepEqual(t, x.admission.ended(), []scheduler.Ending{scheduler.EndedDisconnected})
	})
	t.Run("plain", func(t *testing.T) {
		a := newBackend(t, "a")
		a.handler = cut
		x := newFixture(t, a)
		x.admission.decidePlain = inOrder(a)
		assert.Assert(t, !x.sendOnce(t, "HTTP/1.1", "/once/x").intact)
		assert.DeepEqual(t, x.admission.endedPlain(), []balance.Ending{balance.Disconnected})
	})
}

// TestCutRefusalCountsAsRun cuts the body of a response that states that the request was not run.
func TestCutRefusalCountsAsRun(t *testing.T) {
	for name, refuse := range map[string]http.HandlerFunc{
		"without framing": func(w http.ResponseWriter, r *http.Request) {
			conn, _, err := http.NewResponseController(w).Hijack()
			assert.Check(t, err)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nId: %s\r\nNot-Run: 1\r\nContent-Type: application/json\r\n\r\n{", r.Header.Get("Id"))
			_ = conn.Close()
		},
		"in chunks": func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			abortConnection(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			a, b := newBackend(t, "a"), newBackend(t, "b")
			a.handler = refuse
			x := newFixture(t, a, b)
			x.admission.decidePlain = inOrder(a, b)
			assert.Equal(t, x.sendOnce(t, "HTTP/1.1", "/once/x").body, "from b")
			assert.DeepEqual(t, x.admission.endedPlain(), []balance.Ending{balance.Busy, balance.OK})
		})
	}
}
