package edge

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/hop"
)

// transport sends requests to targets: itself, or through other VMs while this one has no path to the
// target. It implements gateway.Transport.
type transport struct {
	node   *Node
	direct *hop.Pool
	relays *relayClient
}

func newTransport(n *Node, direct *hop.Pool) *transport {
	direct.OnDialed = n.reachability.recordDial
	return &transport{node: n, direct: direct, relays: newRelayClient(n)}
}

// Do sends a request. A request that this VM cannot send goes on through a relay, which is not a
// repetition. A request that may have arrived is never sent again.
func (t *transport) Do(ctx context.Context, r *hop.Request) (*hop.Response, error) {
	if t.node.reachability.viaRelay(r.Key) {
		return t.relays.do(ctx, r)
	}
	resp, err := t.direct.Do(ctx, r)
	switch {
	case err == nil:
		resp.OnError = func(err error) error { return t.node.reachability.markSilence(r.Key, err) }
		return resp, nil
	case errors.Is(err, hop.ErrUnreachable) && ctx.Err() == nil && t.node.reachability.hasRelays():
		return t.relays.do(ctx, r)
	case isPathFailure(ctx, err):
		t.node.reachability.recordDirectFailure(r.Key)
	}
	return nil, t.node.reachability.markSilence(r.Key, err)
}

// CloseIdle implements gateway.Transport.
func (t *transport) CloseIdle(now time.Time) { t.direct.CloseIdle(now) }

// isPathFailure reports whether a request that was sent failed in a way that a broken path would
// cause as well as a broken target.
func isPathFailure(ctx context.Context, err error) bool {
	if errors.Is(err, hop.ErrUnacknowledged) {
		return true
	}
	return ctx.Err() == nil && errors.IsAny(err, syscall.ECONNRESET, syscall.EPIPE, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH)
}
