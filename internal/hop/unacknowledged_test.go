package hop

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// dropIncoming makes the kernel drop all packets that arrive for a connection.
func dropIncoming(t *testing.T, c net.Conn) {
	t.Helper()
	raw, err := c.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
	})
	assert.NilError(t, err)
	assert.NilError(t, sockErr)
}

// TestLostRequestIsToldFromSlowTarget guards against a broken path that looks like a slow target: a
// request whose packets are lost is marked when it is abandoned, one that the target has received is
// not.
func TestLostRequestIsToldFromSlowTarget(t *testing.T) {
	const patience = 900 * time.Millisecond // a lost segment is retransmitted after 0.2 s
	for name, lost := range map[string]bool{"packets are lost": true, "the target is slow": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tgt := newFakeTarget(t, func(_ int, c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); !ok {
					return
				}
				if lost {
					dropIncoming(t, c)
				}
				_, _ = io.WriteString(c, responseText("1", ""))
				_, _, _ = readRequest(r)
				_, _ = r.ReadByte() // waits until the connection ends
			})
			p := New(nil)
			_, err := do(t, p, newRequest(tgt, "1", "a"))
			assert.NilError(t, err)
			ctx, cancel := context.WithTimeout(t.Context(), patience)
			defer cancel()
			_, err = p.Do(ctx, newRequest(tgt, "2", "b"))
			assert.Assert(t, err != nil && !NotSent(err), "%v", err)
			assert.Equal(t, errors.Is(err, ErrUnacknowledged), lost, "%v", err)
		})
	}
}

// TestConnectionAttemptLeavesTimeForAnotherWay guards against connection attempts that use all of the
// time of a request.
func TestConnectionAttemptLeavesTimeForAnotherWay(t *testing.T) {
	p := New(nil)
	var timeout time.Duration
	p.Dial = func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
		deadline, _ := ctx.Deadline()
		timeout = time.Until(deadline)
		return nil, syscall.ECONNREFUSED
	}
	for _, row := range []struct{ left, limit, most time.Duration }{
		{time.Minute, 0, dialTimeout},
		{200 * time.Millisecond, 0, 100 * time.Millisecond},
		{time.Minute, 300 * time.Millisecond, 300 * time.Millisecond},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), row.left)
		_, err := p.Do(ctx, &Request{Key: "k", DialTimeout: row.limit})
		cancel()
		assert.Assert(t, errors.Is(err, ErrUnreachable))
		assert.Assert(t, timeout > 0 && timeout <= row.most, "%s of %s", timeout, row.left)
	}
}

// TestConnectionAttemptsAreReported guards against evidence from callers who leave during an attempt.
func TestConnectionAttemptsAreReported(t *testing.T) {
	tgt := newFakeTarget(t, echo)
	p := New(nil)
	var results []error
	p.OnDialed = func(key string, err error) {
		assert.Equal(t, key, "t")
		results = append(results, err)
	}
	for range 2 {
		_, err := do(t, p, newRequest(tgt, "1", "a"))
		assert.NilError(t, err)
	}
	assert.DeepEqual(t, results, []error{nil})
	p = New(nil)
	p.OnDialed = func(_ string, err error) { results = append(results, err) }
	p.Dial = func(context.Context, *net.Dialer, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	_, err := do(t, p, newRequest(tgt, "1", "a"))
	assert.Assert(t, errors.Is(err, ErrUnreachable))
	assert.Equal(t, len(results), 2)
	assert.Assert(t, errors.Is(results[1], syscall.ECONNREFUSED))
	ctx, cancel := context.WithCancel(t.Context())
	p.Dial = func(ctx context.Context, _ *net.Dialer, _ string) (net.Conn, error) {
		cancel()
		return nil, ctx.Err()
	}
	_, err = p.Do(ctx, newRequest(tgt, "1", "a"))
	assert.Assert(t, errors.Is(err, ErrUnreachable))
	assert.Equal(t, len(results), 2)
}
