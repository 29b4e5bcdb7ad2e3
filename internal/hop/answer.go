package hop

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/answer"
	"github.com/junctionfold/junctionfold/internal/framing"
)

// Response is a response whose body is being read. The caller must call Close.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64
	// CloseDelimited reports that the body has neither a length nor chunks and ends with its
	// connection (RFC 9112, section 6.3). The target may have closed it before the body was
	// complete.
	CloseDelimited bool
	// OnError, if set, returns the error that Read returns in place of err, which is not io.EOF.
	OnError func(err error) error

	pool            *Pool
	conn            *conn
	body            io.ReadCloser
	bodyEnded       bool
	closeConn       bool
	stopContextFunc func() bool
	bodyWritten     chan error
	// ackTimer restores the default ack timeout of the connection; nil if the request
	// did not set a shorter one.
	ackTimer *time.Timer
}

// Answer is the head and the body of a response that was not received by a Pool.
type Answer struct {
	Status int
	Header http.Header
	// Length and CloseDelimited are as in Response.
	Length         int64
	CloseDelimited bool
	// Body returns io.EOF at its end, and is closed in any case.
	Body io.ReadCloser
}

// NewResponse returns a Response for an answer from elsewhere.
func NewResponse(a Answer) *Response {
	return &Response{Status: a.Status, Header: a.Header, Length: a.Length, CloseDelimited: a.CloseDelimited, body: a.Body}
}

// send writes the request. A body of more than maxInlineBodyBytes is written in the
// background while the response is read.
func (r *Response) send(req *Request) error {
	head := encodeHead(req)
	if len(req.Body) <= maxInlineBodyBytes {
		_, err := r.conn.Write(append(head, req.Body...))
		return errors.Wrapf(err, "send to %s", req.Key)
	}
	if _, err := r.conn.Write(head); err != nil {
		return errors.Wrapf(err, "send to %s", req.Key)
	}
	r.bodyWritten = make(chan error, 1)
	go func() {
		_, err := r.conn.Write(req.Body)
		r.bodyWritten <- err
	}()
	return nil
}

func encodeHead(r *Request) []byte {
	var head strings.Builder
	head.Grow(512)
	head.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			head.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return []byte(head.String())
}

// readHead reads the head of the response. It skips up to maxMismatched responses to
// other requests.
func (r *Response) readHead(req *Request) error {
	for range maxMismatched + 1 {
		resp, err := r.conn.readResponse(req.Method)
		if err == nil || errors.Is(err, answer.ErrInvalid) {
			r.pool.RecordHeard()
		}
		if err != nil {
			return errors.Wrapf(err, "answer of %s", req.Key)
		}
		if answer.IsInformational(resp.StatusCode) {
			continue
		}
		switch err := req.Accept(resp.StatusCode, resp.Header); {
		case err == nil:
			r.setResponse(resp)
			return nil
		case !errors.Is(err, answer.ErrOtherRequest):
			return errors.Wrapf(err, "answer of %s", req.Key)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBodyBytes))
		if err != nil || n == maxMismatchedBodyBytes || resp.ContentLength < 0 {
			return errors.Mark(errors.Newf("%s answered another request", req.Key), answer.ErrInvalid)
		}
	}
	return errors.Mark(errors.Newf("%s answered other requests only", req.Key), answer.ErrInvalid)
}

func (r *Response) setResponse(resp *http.Response) {
	r.Status = resp.StatusCode
	r.Header = resp.Header
	r.Length = resp.ContentLength
	r.CloseDelimited = framing.IsCloseDelimited(resp)
	r.body = resp.Body
	r.closeConn = resp.Close
}

// Framing returns the name for logs of how the body is delimited.
func (r *Response) Framing() string {
	switch {
	case r.CloseDelimited:
		return "close"
	case r.Length >= 0:
		return "length"
	}
	return "chunked"
}

// Read reads the body. It returns io.EOF at the end of a complete body, and where the connection of
// a CloseDelimited body was closed.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if n > 0 && r.conn != nil {
		r.pool.RecordHeard()
	}
	if err == io.EOF && r.CloseDelimited {
		err = r.connEndError()
	}
	if err == io.EOF {
		r.bodyEnded = true
	} else if err != nil && r.OnError != nil {
		err = r.OnError(err)
	}
	return n, err
}

// connEndError returns why the connection of a CloseDelimited body ended: io.EOF if the target closed
// it, or its failure. The kernel reports a failure only once, to the write of the request's body if
// that is pending, and an end to the read.
func (r *Response) connEndError() error {
	if r.bodyWritten == nil || !r.conn.isClosedBothWays() {
		return io.EOF
	}
	err := <-r.bodyWritten // comes at once: the connection is closed
	r.bodyWritten <- err
	if err == nil || errors.Is(err, syscall.EPIPE) {
		return io.EOF // a reset that follows the target's close is reported as EPIPE
	}
	return errors.Wrap(err, "the connection failed")
}

// Close releases the connection. The connection returns to the pool if the response was
// read to its end and no further data is buffered on it. Otherwise it is closed.
func (r *Response) Close() {
	if r.conn == nil {
		_ = r.body.Close() // nothing is left to read
		return
	}
	if r.stopContextFunc != nil {
		r.stopContextFunc()
	}
	if r.ackTimer != nil {
		r.ackTimer.Stop()
	}
	if !r.bodyEnded {
		r.pool.reset(r.conn)
		return
	}
	if !r.reusable() {
		r.pool.discard(r.conn)
		return
	}
	r.conn.expires = r.pool.Now().Add(idleTimeout(r.Header))
	r.pool.putIdle(r.conn)
}

func (r *Response) reusable() bool {
	if r.closeConn || r.conn.reader.Buffered() > 0 {
		return false
	}
	if r.bodyWritten == nil {
		return true
	}
	select {
	case err := <-r.bodyWritten:
		return err == nil
	default:
		return false
	}
}

// idleTimeout returns how long an idle connection may be kept: the timeout in the
// target's Keep-Alive header less idleTimeoutMargin, or defaultIdleTimeout.
func idleTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}
