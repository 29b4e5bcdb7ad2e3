// Package framing handles HTTP/1.1 bodies that have neither a length nor chunks and end with their
// connection (RFC 9112, section 6.3). The receiver can't tell the end of such a body from a sender
// that failed and closed its connection.
package framing

import (
	"context"
	"net"
	"net/http"
)

// IsCloseDelimited reports whether the body of a response ends with its connection.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// connKey is the context key of the caller's connection.
type connKey struct{}

// WithConn is the ConnContext of an http.Server whose handlers call ResetOnClose.
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// lingerSetter is implemented by TCP connections and their wrappers.
type lingerSetter interface{ SetLinger(seconds int) error }

// OmitFraming makes net/http send a response without a length and without chunks. It must be called
// before the head is written.
func OmitFraming(h http.Header) { h.Set("Transfer-Encoding", "identity") }

// ResetOnClose sets whether closing the caller's connection resets it, also if the kernel closes it
// because this process ends. It has no effect without WithConn.
func ResetOnClose(ctx context.Context, reset bool) {
	tcp, ok := ctx.Value(connKey{}).(lingerSetter)
	if !ok {
		return
	}
	seconds := -1 // the kernel's default
	if reset {
		seconds = 0
	}
	_ = tcp.SetLinger(seconds) // fails only if the connection is already closed
}

// Reset resets the caller's connection.
func Reset(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is already closed
	}
	if tcp, ok := conn.(lingerSetter); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	_ = conn.Close()
}
