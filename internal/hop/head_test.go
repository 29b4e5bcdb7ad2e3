package hop

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/answer"
)

// endlessTarget sends begin and then repeats part until the connection is closed.
func endlessTarget(t *testing.T, begin, part string) *fakeTarget {
	return newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); !ok {
			return
		}
		_, err := io.WriteString(c, begin)
		for repeated := []byte(part); err == nil; {
			_, err = c.Write(repeated)
		}
	})
}

// TestEndlessHeadsExhaustMemory guards against targets that send bytes without end in place of a head: the
// process would be killed for its memory, and the request would fail only at its deadline.
func TestEndlessHeadsExhaustMemory(t *testing.T) {
	const (
		targets = 100
		// maxAllocated is far below the 160 MB of the smallest VM.
		maxAllocated = 64 << 20
	)
	var manyHeaders strings.Builder
	for i := range 2000 {
		_, _ = fmt.Fprintf(&manyHeaders, "%x:\r\n", i)
	}
	for _, row := range []struct{ name, begin, part string }{
		{"status line", "HTTP/1.1 200 ", strings.Repeat("O", 4096)},
		{"no protocol", "", strings.Repeat("\x00\xff", 2048)},
		{"one header", "HTTP/1.1 200 OK\r\nA: ", strings.Repeat("a", 4096)},
		{"many headers", "HTTP/1.1 200 OK\r\n", manyHeaders.String()},
		{"continued header", "HTTP/1.1 200 OK\r\nA: a\r\n", strings.Repeat(" a\r\n", 1024)},
		{"informational responses", "", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128)},
		{"header of an informational response", "HTTP/1.1 103 Early Hints\r\nA: ", strings.Repeat("a", 4096)},
	} {
		t.Run(row.name, func(t *testing.T) {
			tgt := endlessTarget(t, row.begin, row.part)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			p := New(nil)
			before := allocated()
			var requests sync.WaitGroup
			errs := make([]error, targets)
			for i := range targets {
				requests.Go(func() { _, errs[i] = p.Do(ctx, newRequest(tgt, "1", "q")) })
			}
			requests.Wait()
			assert.Assert(t, ctx.Err() == nil, "the request waits for its deadline")
			for _, err := range errs {
				assert.Assert(t, errors.Is(err, answer.ErrInvalid) && !NotSent(err), "%v", err)
			}
			assert.Assert(t, allocated()-before < maxAllocated, "%d bytes for %d targets", allocated()-before, targets)
		})
	}
}

// allocated returns how many bytes the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// TestLongHeadIsAccepted guards against a bound that also counts the body.
func TestLongHeadIsAccepted(t *testing.T) {
	body := strings.Repeat("b", 4*MaxHeadBytes)
	head := http.Header{"Id": {"1"}, "A": {strings.Repeat("a", MaxHeadBytes-readBufferBytes-200)}}
	tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, _, ok := readRequest(r); !ok {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
			_ = head.Write(c)
			_, _ = fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body)
		}
	})
	p := New(nil)
	for range 3 {
		got, err := do(t, p, newRequest(tgt, "1", "q"))
		assert.NilError(t, err)
		assert.Equal(t, len(got), len(body))
	}
	assert.Equal(t, tgt.conns.Load(), int32(1))
}
