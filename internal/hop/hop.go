// Package hop sends one HTTP/1.1 request to one target and reads its response.
//
// The client of net/http is not used because it repeats requests on its own when a
// reused connection breaks, and because it accepts the next data on a connection as the
// response. This package always reports whether anything can have been sent, and it
// skips responses with the id of another request.
//
// Connections are pooled per target, are closed before the target would close them, and
// are limited to the caller's share of the connections that a target accepts.
//
// hop.go sends a request, pool.go pools the connections, answer.go reads the response.
package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Do that guarantee that nothing was sent to the target. After any other
// error, the request may have run.
var (
	// ErrUnreachable means that no connection could be made.
	ErrUnreachable = errors.New("the target cannot be reached")
	// ErrNoConnection means that Request.MaxConns connections are already in use.
	ErrNoConnection = errors.New("no connection to the target is free")
	// ErrWithdrawn means that Request.BeforeSend returned an error.
	ErrWithdrawn = errors.New("the request was withdrawn before it was sent")
)

// NotSent reports whether an error of Do guarantees that nothing was sent.
func NotSent(err error) bool {
	return errors.IsAny(err, ErrUnreachable, ErrNoConnection, ErrWithdrawn)
}

// Timeouts and sizes of connections.
const (
	// dialTimeout bounds a connection attempt. Targets are a few milliseconds away.
	dialTimeout = 700 * time.Millisecond
	// idleTimeoutMargin is how long before the target's idle timeout a connection is
	// closed. The target starts its timer earlier, by the network delay of its response.
	idleTimeoutMargin = 700 * time.Millisecond
	// defaultIdleTimeout applies if a target announces no idle timeout.
	defaultIdleTimeout = 4 * time.Second
	// defaultAckTimeout is how long sent bytes may remain unacknowledged before the
	// connection fails, unless the request sets a shorter AckTimeout.
	defaultAckTimeout = 3 * time.Second
	// readBufferBytes is the read buffer of a connection. An event has some dozens of
	// bytes.
	readBufferBytes = 2 << 10
	// maxInlineBodyBytes is the largest body that is written before the response is read.
	// A target may respond before it has read a longer one.
	maxInlineBodyBytes = 8 << 10
	// maxMismatched is the number of responses to other requests that are skipped.
	maxMismatched = 2
	// maxMismatchedBodyBytes bounds the body of a skipped response. A longer body makes
	// the request fail.
	maxMismatchedBodyBytes = 1 << 20
)

// Request is a request to one target.
type Request struct {
	// Key identifies the target in the pool. It must change when another process uses
	// the address.
	Key     string
	Address string
	// MaxConns is the number of connections that this VM may have open to the target;
	// 0 means no limit.
	MaxConns int
	Method   string
	// Path is the request target, unchanged from the caller's request.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend, if set, is called when a connection is available and nothing has been
	// sent yet, since a new connection may take up to dialTimeout. If it returns an error,
	// the request is not sent and Do returns the error marked as ErrWithdrawn.
	BeforeSend func() error
	// AckTimeout is how long the bytes of the request may remain unacknowledged; 0 means
	// defaultAckTimeout. A link that delays them for longer would deliver them to a target
	// that may have been draining for a long time. The propagation delay of the target's
	// drain announcement plus AckTimeout must stay within the time after which a draining
	// target must not receive requests.
	AckTimeout time.Duration
	// Matches reports whether a response belongs to this request.
	Matches func(status int, h http.Header) bool
}

func (r *Request) checkBeforeSend() error {
	if r.BeforeSend == nil {
		return nil
	}
	if err := r.BeforeSend(); err != nil {
		return errors.Mark(err, ErrWithdrawn)
	}
	return nil
}

// Do sends a request and returns its response. When the context ends, the connection is
// reset, which makes the target stop processing the request.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := r.checkBeforeSend(); err != nil {
		p.putUnused(c)
		return nil, err
	}
	resp := &Response{pool: p, conn: c, ackTimer: p.applyAckTimeout(c, r.AckTimeout)}
	resp.stopContextFunc = context.AfterFunc(ctx, func() { p.reset(c) })
	if err := resp.send(r); err != nil {
		resp.Close()
		return nil, err
	}
	if err := resp.readHead(r); err != nil {
		resp.Close()
		return nil, err
	}
	return resp, nil
}
