package gateway

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// sendAsync sends a caller's request and returns the channel of the response; nil: the connection broke.
func (x *fixture) sendAsync(t *testing.T, path string) <-chan *http.Response {
	done := make(chan *http.Response, 1)
	go func() {
		resp, _ := x.send(t, "POST", path, "body")
		done <- resp
	}()
	return done
}

// TestOpenRequestsAreCutByStop guards against requests whose connection ends without an answer when their VM stops,
// because their target works for longer than the stop takes.
func TestOpenRequestsAreCutByStop(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/stream/x"} {
		t.Run(path, func(t *testing.T) {
			a := newBackend(t, "a")
			started := make(chan struct{})
			a.handler = func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body) // the server notices the end of the connection after it
				close(started)
				<-r.Context().Done()
			}
			x := newFixture(t, a)
			x.admission.targets = []*fleet.Target{a.target()}
			response := x.sendAsync(t, path)
			<-started
			x.gateway.Drain(Stop{SendUntil: time.Now(), AnswerAt: time.Now()})
			resp := <-response
			assert.Assert(t, resp != nil, "cut without an answer")
			assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout, "it may have run")
			assert.Equal(t, a.requestCount(), 1)
		})
	}
}

// TestRequestsAreSentByVMThatStops guards against requests that a VM sends to a target although it may stop before their
// end, instead of leaving them to another VM.
func TestRequestsAreSentByVMThatStops(t *testing.T) {
	for _, row := range []struct {
		name     string
		answerIn time.Duration
		status   int
	}{
		{"the request may outlast the stop", time.Second, http.StatusServiceUnavailable},
		{"the request ends before the stop", time.Hour, http.StatusOK},
	} {
		for _, path := range []string{"/once/x", "/again/x"} {
			t.Run(row.name+path, func(t *testing.T) {
				a := newBackend(t, "a")
				x := newFixture(t, a)
				x.gateway.Drain(Stop{SendUntil: time.Now(), AnswerAt: time.Now().Add(row.answerIn)})
				resp, _ := x.send(t, "POST", path, "body")
				assert.Equal(t, resp.StatusCode, row.status)
				assert.Equal(t, a.requestCount() == 0, row.status == http.StatusServiceUnavailable)
			})
		}
	}
}

// TestWaitingRequestIsSentByVMThatStops guards against requests that wait for a decision and are sent to a target late in
// a stop.
func TestWaitingRequestIsSentByVMThatStops(t *testing.T) {
	a := newBackend(t, "a")
	x := newFixture(t, a)
	waiting, decide := make(chan struct{}), make(chan struct{})
	x.admission.decidePlain = func(r *AdmitRequest) Decision {
		close(waiting)
		<-decide
		return Decision{Reason: "verdict_timeout", RetryAfter: time.Second}
	}
	response := x.sendAsync(t, "/once/x")
	<-waiting
	x.gateway.Drain(Stop{SendUntil: time.Now(), AnswerAt: time.Now().Add(time.Second)})
	<-x.gateway.stopping.sendEnd.Done()
	close(decide)
	resp := <-response
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, a.requestCount(), 0)
}

// TestBegunResponseOutlastsAnswerTime guards against streams that a stop cuts although it has time left for them.
func TestBegunResponseOutlastsAnswerTime(t *testing.T) {
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
	defer func() { _ = resp.Body.Close() }()
	body := bufio.NewReader(resp.Body)
	line, err := body.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, line, "id: 1\n")
	x.gateway.Drain(Stop{SendUntil: time.Now(), AnswerAt: time.Now()})
	<-x.gateway.stopping.answer.Done()
	close(release)
	var rest strings.Builder
	_, err = body.WriteTo(&rest)
	assert.NilError(t, err, "the stream is complete")
}
