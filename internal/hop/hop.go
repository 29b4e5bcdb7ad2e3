// Package hop sends one HTTP/1.1 request to one target and reads its answer.
//
// net/http's own client is not used for this: it repeats requests by itself when
// a kept connection breaks, and it takes whatever comes next on a connection for
// the answer. Here the caller always learns whether anything can have been sent,
// and an answer with another request's id is passed over.
//
// Connections are kept per target, closed before the target would close them,
// and never more than the caller's share of what a target accepts.
//
// hop.go sends a request, pool.go keeps the connections, answer.go reads the answer.
package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of Do after which nothing can have reached the target. Any other error
// leaves open whether the request ran.
var (
	// ErrUnreachable: no connection could be made.
	ErrUnreachable = errors.New("the target cannot be reached")
	// ErrNoConnection: all of the caller's share of connections is in use.
	ErrNoConnection = errors.New("no connection to the target is free")
	// ErrWithdrawn: Request.BeforeSend did not let the request go.
	ErrWithdrawn = errors.New("the request was withdrawn before it was sent")
)

// NotSent reports whether an error of Do says that nothing was sent.
func NotSent(err error) bool {
	return errors.IsAny(err, ErrUnreachable, ErrNoConnection, ErrWithdrawn)
}

// Times and sizes of connections.
const (
	// dialTimeout bounds a connection attempt: targets are a few ms away.
	dialTimeout = 700 * time.Millisecond
	// idleMargin is how long before a target's own idle timeout a connection is
	// closed: the target's clock started earlier, by the way of its answer.
	idleMargin = 700 * time.Millisecond
	// idleDefault holds where a target announces no timeout.
	idleDefault = 4 * time.Second
	// unacknowledged is how long sent bytes may go unacknowledged, but for those of a
	// request that sets AckWithin.
	unacknowledged = 3 * time.Second
	// readBuffer of a connection, in bytes; an event has some dozens.
	readBuffer = 2 << 10
	// inlineBody is the largest body written before the answer is read, in
	// bytes; a target need not read a longer one before it answers.
	inlineBody = 8 << 10
	// maxForeign is how many answers to other requests are passed over.
	maxForeign = 2
	// maxForeignBody is the longest body read of such an answer, in bytes.
	maxForeignBody = 1 << 20
)

// Request is what to send.
type Request struct {
	// Key names the target for reuse of connections; it must change when another
	// process takes the address.
	Key     string
	Address string
	// MaxConns that this VM may hold open to the target.
	MaxConns int
	Method   string
	// Path is the request's target as the caller wrote it.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// BeforeSend is asked once a connection is at hand, just before anything is sent on it: a
	// new connection may take dialTimeout. An error of it is returned as ErrWithdrawn.
	BeforeSend func() error
	// AckTimeout is how long the request's bytes may go unacknowledged; 0: unacknowledged.
	// A link that held them back for longer would deliver them to a target that may have
	// been leaving for long by then: its word and this time together are to stay within
	// the time in which a leaving target must be left alone.
	AckTimeout time.Duration
	// Matches reports whether an answer is to this request.
	Matches func(status int, h http.Header) bool
}

func (r *Request) check() error {
	if r.BeforeSend == nil {
		return nil
	}
	if err := r.BeforeSend(); err != nil {
		return errors.Mark(err, ErrWithdrawn)
	}
	return nil
}

// Do sends a request and returns its answer. When the context ends, the
// connection is closed, which makes the target stop work.
func (p *Pool) Do(ctx context.Context, r *Request) (*Answer, error) {
	c, err := p.get(ctx, r)
	if err != nil {
		return nil, err
	}
	if err := r.check(); err != nil {
		p.keepUnused(c)
		return nil, err
	}
	a := &Answer{pool: p, conn: c, relax: p.limitAck(c, r.AckTimeout)}
	a.stop = context.AfterFunc(ctx, func() { p.abandon(c) })
	if err := a.send(r); err != nil {
		a.Close()
		return nil, err
	}
	if err := a.readHead(r); err != nil {
		a.Close()
		return nil, err
	}
	return a, nil
}
