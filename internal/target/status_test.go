package target_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// TestStatusThatIsNoneIsRelayed guards against statuses of services that are none: the front end panics on 000, and
// callers take 600 for an answer. The service may have run the request.
func TestStatusThatIsNoneIsRelayed(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		go func() {
			c, err := l.Accept()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" No\r\nContent-Type: application/json\r\nContent-Length: 2\r\n\r\n{}")
		}()
		service := target.NewService(l.Addr().String(), &http.Transport{DisableKeepAlives: true})
		out, a := &recordingSink{}, &attempt.Attempt{}
		r := service.Run(t.Context(), &schema.Forward{RequestId: "r", Method: http.MethodPost, Path: "/x", Body: []byte("{}")}, a, out)
		assert.Equal(t, out.head.Status, 0, "nothing is relayed")
		assert.Assert(t, r.Failure != nil, status)
		assert.Equal(t, a.Outcome(), attempt.Unknown, status)
	}
}
