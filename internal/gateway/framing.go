package gateway

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// errBrokenOff marks a response that the target ended before it was complete. It wraps the error of a
// connection that breaks.
var errBrokenOff = errors.Wrap(io.ErrUnexpectedEOF, "the answer ends before it is complete")

// errEndUnverified marks a response whose end proves nothing although the caller's response would
// claim that it is complete.
var errEndUnverified = errors.New("the end of the answer does not show that it is complete")

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn is the ConnContext of the http.Server that serves a Gateway. Without it, responses that end
// with their connection look complete if this process ends while it relays them.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// setReset sets whether closing the caller's connection resets it. That includes the kernel's closing
// of it at the end of this process.
func (x *exchange) setReset(reset bool) {
	tcp, ok := x.r.Context().Value(connKey{}).(*net.TCPConn)
	if !ok {
		return
	}
	seconds := -1 // the kernel's default
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only if the connection is already closed
}

// beginBody sets the headers that delimit the caller's response. One without a length or chunks at the
// target has none for the caller either: it must not claim more than the target did.
func (x *exchange) beginBody(resp *hop.Response) {
	x.copyHeader(resp)
	if resp.CloseDelimited {
		x.w.Header().Set("Transfer-Encoding", "identity") // net/http sends neither chunks nor a length
	}
	hasLength := x.w.Header().Get("Content-Length") != ""
	x.closeDelimited = resp.CloseDelimited || !hasLength && !x.r.ProtoAtLeast(1, 1)
	if x.closeDelimited {
		x.setReset(true)
	}
}

// endBody allows the caller's connection to be closed, which completes a response without a length or
// chunks.
func (x *exchange) endBody() {
	if x.closeDelimited {
		x.setReset(false)
	}
}

// abort ends the caller's connection so that the response does not look complete. A response that ends
// with its connection is reset.
func (x *exchange) abort() {
	if x.closeDelimited {
		x.resetConn()
	}
	panic(http.ErrAbortHandler)
}

func (x *exchange) resetConn() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return // the connection is already closed
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}

// checkEnd returns an error if the end of a target's response shows that it was broken off, or shows
// nothing and the caller's response would claim that it is complete.
func (x *exchange) checkEnd(resp *hop.Response) error {
	if isEventStream(resp.Header) && x.stream.scanner.InEvent() {
		return errBrokenOff
	}
	if resp.CloseDelimited && !x.closeDelimited {
		return errEndUnverified
	}
	return nil
}

// isBrokenOff reports whether the body of a response shows that it ended too early.
func isBrokenOff(resp *hop.Response, body []byte) bool {
	if isEventStream(resp.Header) {
		var scanner eventstream.Scanner
		scanner.Scan(body)
		return scanner.InEvent()
	}
	return resp.CloseDelimited && isJSON(resp.Header) && !json.Valid(body)
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}
