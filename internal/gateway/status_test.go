package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// newRawTarget returns a target that answers the first request on each connection with the given bytes, and then keeps
// the connection.
func newRawTarget(t *testing.T, reply string) *fleet.Target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var mu sync.Mutex
	var conns []net.Conn
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		defer mu.Unlock()
		for _, c := range conns {
			_ = c.Close()
		}
	})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			go func() {
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, reply)
			}()
		}
	}()
	return &fleet.Target{ID: "raw", Service: "plain", SoftwareVersion: "v1", Address: l.Addr().String()}
}

// TestStatusThatIsNoneReachesCaller guards against callers that receive a status which is none, or wait for their deadline
// because it is taken for that of an informational response, or receive a response that follows it.
func TestStatusThatIsNoneReachesCaller(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "007", "099", "101", "600", "999"} {
		for _, follows := range []string{"", sound} {
			for _, path := range []string{"/once/x", "/stream/x"} {
				t.Run(status+path+follows[:min(len(follows), 12)], func(t *testing.T) {
					target := newRawTarget(t, "HTTP/1.1 "+status+" No\r\nId: r1\r\nContent-Length: 0\r\n\r\n"+follows)
					x := newFixture(t)
					x.directory.dir.Targets[target.ID] = target
					x.admission.targets = []*fleet.Target{target}
					startedAt := time.Now()
					resp, _ := x.send(t, "POST", path, "body")
					assert.Assert(t, resp != nil)
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "it may have run")
					assert.Equal(t, x.gateway.cfg.Metrics.InvalidAnswers.Get("malformed").String(), "1")
					assert.Assert(t, time.Since(startedAt) < x.directory.dir.Config.Routes[0].Timeout)
				})
			}
		}
	}
}
