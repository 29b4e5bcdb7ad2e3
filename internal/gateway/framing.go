package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/eventstream"
	"github.com/junctionfold/junctionfold/internal/hop"
)

// Errors of responses that the target ended before they were complete.
var (
	// errBrokenOff means that the connection ended, like that of a target that has crashed.
	errBrokenOff = errors.Wrap(io.ErrUnexpectedEOF, "the answer ends before it is complete")
	// errIncomplete means that the target itself marked the end, so that it has not crashed.
	errIncomplete = errors.New("the answer is marked as complete inside an event")
)

// brokenOffError returns the error of a response that ended before it was complete.
func brokenOffError(resp *hop.Response) error {
	if resp.CloseDelimited {
		return errBrokenOff
	}
	return errIncomplete
}

// errEndUnverified marks a response whose end proves nothing although the caller's response would
// claim that it is complete.
var errEndUnverified = errors.New("the end of the answer does not show that it is complete")

// beginBody sets the headers of the caller's response.
func (x *exchange) beginBody(resp *hop.Response) {
	x.responding.Store(true)
	x.copyHeader(resp)
	x.delimiter.Begin(resp.CloseDelimited)
}

// checkEnd returns an error if the end of a target's response shows that it was broken off, or shows
// nothing and the caller's response would claim that it is complete.
func (x *exchange) checkEnd(resp *hop.Response) error {
	if eventstream.IsDeclared(resp.Header) && x.stream.scanner.InEvent() {
		return brokenOffError(resp)
	}
	if resp.CloseDelimited && !x.delimiter.CloseDelimited() {
		return errEndUnverified
	}
	return nil
}

// isBrokenOff reports whether the body of a response shows that it ended too early.
func isBrokenOff(resp *hop.Response, body []byte) bool {
	if eventstream.IsDeclared(resp.Header) {
		var scanner eventstream.Scanner
		scanner.Scan(body)
		return scanner.InEvent()
	}
	return resp.CloseDelimited && isJSON(resp.Header) && isCutJSON(body)
}

// isCutJSON reports whether bytes are missing at the end of a sequence of JSON values. Bytes that are no
// JSON show nothing.
func isCutJSON(body []byte) bool {
	decoder := json.NewDecoder(bytes.NewReader(bytes.TrimPrefix(body, eventstream.ByteOrderMark)))
	for values := 0; ; values++ {
		var value json.RawMessage
		err := decoder.Decode(&value)
		switch {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return true
		case err == io.EOF:
			return values == 0
		case err != nil:
			return false
		}
	}
}

func isJSON(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}
