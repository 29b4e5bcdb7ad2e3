package hop

import (
	"bytes"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/answer"
)

// Bounds of the head of a response: status line and headers. A parsed header takes some hundred bytes beside
// its text.
const (
	MaxHeadBytes = 16 << 10
	maxHeadLines = 256
)

// errHeadTooLong is the read error of a head beyond these bounds.
var errHeadTooLong = errors.New("the head of the answer is too long")

// headLimiter bounds the bytes that are read from a connection while it reads a head.
type headLimiter struct {
	r io.Reader
	// reading is set while a head is read. bytesLeft and linesLeft are how much of it may follow.
	reading              bool
	bytesLeft, linesLeft int
	// failed is set if a read of the connection failed.
	failed bool
}

// Read implements io.Reader. It is not called again once what was read contains the end of the head, so that
// the lines of a body are never counted against the head.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.reading {
		return l.r.Read(p)
	}
	if l.bytesLeft <= 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.bytesLeft)])
	l.bytesLeft -= n
	l.linesLeft -= bytes.Count(p[:n], []byte("\n"))
	l.failed = l.failed || err != nil
	return n, err
}

// readResponse reads the head of the next response on the connection. Its error is marked as
// answer.ErrInvalid if the connection works and what arrives is not the head of a response.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.limiter.reading, c.limiter.bytesLeft, c.limiter.linesLeft = true, MaxHeadBytes-c.reader.Buffered(), maxHeadLines
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	c.limiter.reading = false
	if err != nil && !c.limiter.failed {
		err = errors.Mark(err, answer.ErrInvalid)
	}
	return resp, err
}
