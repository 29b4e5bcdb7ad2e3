package callers

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/intake"
)

// requests are whole requests of all framings.
var requests = []string{
	"GET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
	"GET / HTTP/1.1\r\nHost: h\r\nA: b\r\n \r\n\r\n",
	"POST / HTTP/1.1\nHost: h\ncontent-length:  5\n\na\n\nbc",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;x=y\r\nab\r\nc\r\n1\r\n\n\r\n0\r\n\r\n",
	"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: Chunked\r\n\r\nA\r\n0123456789\r\n0\r\nTrailer: x\r\n\r\n",
}

// TestBodiesCountAsHeads guards against lines of bodies that count as lines of heads, so that ordinary callers are
// refused, and against heads after them that do not count.
func TestBodiesCountAsHeads(t *testing.T) {
	const partial = "GET /x HTTP/1.1\r\nA: b\r\nC"
	want := int64(bytesFactor*len(partial) + 2*lineCost)
	for _, first := range requests {
		for _, second := range requests {
			text := first + second + partial
			for step := 1; step <= len(text); step += 7 {
				var s headScanner
				for rest := text; rest != ""; rest = rest[min(step, len(rest)):] {
					s.scan([]byte(rest[:min(step, len(rest))]))
				}
				assert.Assert(t, s.isPartial(), "%q", text)
				assert.Equal(t, s.cost(), want, "%q", text)
			}
		}
	}
}

// FuzzHeadScanner guards against framings that the scanner understands otherwise than net/http: a whole request must
// not leave a partial head.
func FuzzHeadScanner(f *testing.F) {
	for _, r := range requests {
		f.Add(r)
	}
	f.Fuzz(func(t *testing.T, text string) {
		reader := strings.NewReader(text)
		buffered := bufio.NewReader(reader)
		var end int
		for {
			r, err := http.ReadRequest(buffered)
			if err != nil || strings.Contains(text, "\x00") {
				break
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				break
			}
			end = len(text) - reader.Len() - buffered.Buffered()
		}
		var s headScanner
		s.scan([]byte(text[:end]))
		assert.Assert(t, !s.isPartial() && s.cost() <= bytesFactor*4+2*lineCost, "%q", text[:end])
	})
}

// TestPartialHeadsExceedTheBudget guards against unfinished heads that take more memory together than a VM has.
func TestPartialHeadsExceedTheBudget(t *testing.T) {
	s := newTestServer(t, intake.Limits{Bytes: 100 << 10, LargeBytes: 100 << 10})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", s.address)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\n%s", strings.Repeat("a: b\r\n", 300))
		assert.NilError(t, err)
		return conn
	}
	dial()
	s.awaitHeld(t, func(held int64) bool { return held > 70<<10 })
	assertStatus(t, dial(), http.StatusServiceUnavailable)
	assert.Assert(t, s.tracker.Stats().HeldBytes <= 100<<10)
	status, _ := s.post(t, []byte("body"), false)
	assert.Equal(t, status, http.StatusOK, "an ordinary request")
}
