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
// hop.go sends a request, pool.go pools the connections, head.go reads the head of a response and answer.go
// its body, silence.go records which requests wait for one.
package hop

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
)

// Errors of Do, or of a transport that uses other VMs as relays, that guarantee that nothing was sent
// to the target. After any other error, the request may have run.
var (
	// ErrUnreachable means that no connection could be made.
	ErrUnreachable = errors.New("the target cannot be reached")
	// ErrNoConnection means that Request.MaxConns connections are already in use.
	ErrNoConnection = errors.New("no connection to the target is free")
	// ErrWithdrawn means that Request.BeforeSend returned an error.
	ErrWithdrawn = errors.New("the request was withdrawn before it was sent")
	// ErrNoPath means that this VM and its relays have no path to the target, which other VMs may
	// reach.
	ErrNoPath = errors.New("no path to the target")
)

// Errors of requests that may have run.
var (
	// ErrRelayLost means that the VM that relayed the request was lost. Nothing is known about the
	// target.
	ErrRelayLost = errors.New("the relay was lost")
	// ErrUnacknowledged marks the error of a request whose context ended while its bytes were being
	// retransmitted without an acknowledgement.
	ErrUnacknowledged = errors.New("the target did not acknowledge the request")
	// ErrSilence marks the error of a request that was unanswered while nothing arrived from any target
	// at this VM, although other VMs reached them. Nothing is known about the target.
	ErrSilence = errors.New("nothing arrives from any target")
)

// NotSent reports whether an error of Do guarantees that nothing was sent.
func NotSent(err error) bool {
	return errors.IsAny(err, ErrUnreachable, ErrNoConnection, ErrWithdrawn, ErrNoPath)
}

// Timeouts and sizes of connections.
const (
	// dialTimeout bounds a connection attempt. Targets are a few milliseconds away.
	dialTimeout = 700 * time.Millisecond
	// maxDialShare is the share of the time left for a request that a connection attempt may take.
	// The rest is left for another way to the target.
	maxDialShare = 0.5
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
	// KeepConns is the number of them that may stay open without a request; 0 means no limit.
	KeepConns int
	Method    string
	// Path is the request target, unchanged from the caller's request.
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	// DialTimeout bounds a connection attempt further than the default; 0: it does not.
	DialTimeout time.Duration
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
	// Accept returns nil for the response to this request. A response for which it returns
	// answer.ErrOtherRequest is skipped; any other error fails the request, which may have run.
	Accept func(status int, h http.Header) error
	// ID, Deadline and Placement are for VMs that relay the request; Pool does not use them.
	ID string
	// Deadline is when the caller stops waiting.
	Deadline  time.Time
	Placement Placement
	// OnRelay, if set, is called with the VM to which the request is sent to be relayed.
	OnRelay func(vm string)
}

// Placement describes the decision that chose the target of a request.
type Placement struct {
	// DecidedAt is the earliest time at which the decision can have been made.
	DecidedAt time.Time
	// Paced is set if the decision keeps to the rate limit of the target.
	Paced bool
	// Revision is that of the copy of the store on which the target was chosen.
	Revision uint64
	// SoftwareVersion is the version of the target's software in that copy; empty: unknown.
	SoftwareVersion string
	// Adapter is the one that the request runs on, and AdapterVersion its version that the target is to
	// use; 0: whichever it holds.
	Adapter        coord.AdapterRef
	AdapterVersion int64
}

// CheckBeforeSend calls BeforeSend and marks its error as ErrWithdrawn.
func (r *Request) CheckBeforeSend() error {
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
	if err := r.CheckBeforeSend(); err != nil {
		p.putUnused(c)
		return nil, err
	}
	resp := &Response{pool: p, conn: c, ackTimer: p.applyAckTimeout(c, r.AckTimeout)}
	resp.stopContextFunc = context.AfterFunc(ctx, func() {
		c.unacknowledged.Store(c.retransmits())
		p.reset(c)
	})
	p.beginWait(resp, r.Key)
	err = resp.send(r)
	if err == nil {
		err = resp.readHead(r)
	}
	p.endWait(resp)
	if err != nil {
		resp.Close()
		if c.unacknowledged.Load() {
			err = errors.Mark(err, ErrUnacknowledged)
		}
		return nil, err
	}
	return resp, nil
}
