package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func TestProbeSendsNothing(t *testing.T) {
	received := make(chan string, 1)
	tgt := newFakeTarget(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		sent, _ := io.ReadAll(r)
		received <- string(sent)
	})
	dials := 0
	p := New(func() { dials++ })
	assert.NilError(t, p.Probe(context.Background(), "t", tgt.listener.Addr().String()))
	assert.Equal(t, <-received, "")
	assert.Equal(t, dials, 1)
	_ = tgt.listener.Close()
	err := p.Probe(context.Background(), "t", tgt.listener.Addr().String())
	assert.Assert(t, errors.Is(err, ErrUnreachable))
}
