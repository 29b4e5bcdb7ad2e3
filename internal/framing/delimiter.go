package framing

import "net/http"

// Delimiter delimits the body of a caller's response. A body without a length or chunks at the target
// has none for the caller either: the response must not claim more than the target's did.
type Delimiter struct {
	w              http.ResponseWriter
	r              *http.Request
	closeDelimited bool
}

// NewDelimiter returns the Delimiter of the response w to the request r.
func NewDelimiter(w http.ResponseWriter, r *http.Request) Delimiter { return Delimiter{w: w, r: r} }

// Begin sets the headers that delimit the body. It must be called after the other headers are set and
// before the head is written. closeDelimited reports whether the target's body ends with its
// connection.
func (d *Delimiter) Begin(closeDelimited bool) {
	if closeDelimited {
		OmitFraming(d.w.Header())
	}
	hasLength := d.w.Header().Get("Content-Length") != ""
	d.closeDelimited = closeDelimited || !hasLength && !d.r.ProtoAtLeast(1, 1)
	if d.closeDelimited {
		ResetOnClose(d.r.Context(), true)
	}
}

// CloseDelimited reports whether the caller's body ends with its connection.
func (d *Delimiter) CloseDelimited() bool { return d.closeDelimited }

// End allows the caller's connection to be closed, which completes a body without a length or chunks.
func (d *Delimiter) End() {
	if d.closeDelimited {
		ResetOnClose(d.r.Context(), false)
	}
}

// Abort ends the caller's connection so that the response does not look complete. It does not return:
// it panics with http.ErrAbortHandler.
func (d *Delimiter) Abort() {
	if d.closeDelimited {
		Reset(d.w)
	}
	panic(http.ErrAbortHandler)
}
