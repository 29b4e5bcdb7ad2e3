package hop

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Answer is a response whose body is being read. The caller must call Close.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes; -1 if unknown.
	Length int64

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

// send writes the request. A body of more than maxInlineBodyBytes is written in the
// background while the response is read.
func (a *Answer) send(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= maxInlineBodyBytes {
		_, err := a.conn.Write(append(head, r.Body...))
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	if _, err := a.conn.Write(head); err != nil {
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	a.bodyWritten = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(r.Body)
		a.bodyWritten <- err
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
func (a *Answer) readHead(r *Request) error {
	for range maxMismatched + 1 {
		resp, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrapf(err, "answer of %s", r.Key)
		}
		if resp.StatusCode < http.StatusOK {
			continue // informational
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			a.setResponse(resp)
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxMismatchedBodyBytes))
		if err != nil || n == maxMismatchedBodyBytes || resp.ContentLength < 0 {
			return errors.Newf("%s answered another request", r.Key)
		}
	}
	return errors.Newf("%s answered other requests only", r.Key)
}

func (a *Answer) setResponse(resp *http.Response) {
	a.Status = resp.StatusCode
	a.Header = resp.Header
	a.Length = resp.ContentLength
	a.body = resp.Body
	a.closeConn = resp.Close
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.bodyEnded = true
	}
	return n, err
}

// Close releases the connection. The connection returns to the pool if the response was
// read to its end and no further data is buffered on it. Otherwise it is closed.
func (a *Answer) Close() {
	if a.stopContextFunc != nil {
		a.stopContextFunc()
	}
	if a.ackTimer != nil {
		a.ackTimer.Stop()
	}
	if !a.bodyEnded {
		a.pool.reset(a.conn)
		return
	}
	if !a.reusable() {
		a.pool.discard(a.conn)
		return
	}
	a.conn.expires = a.pool.Now().Add(idleTimeout(a.Header))
	a.pool.putIdle(a.conn)
}

func (a *Answer) reusable() bool {
	if a.closeConn || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.bodyWritten == nil {
		return true
	}
	select {
	case err := <-a.bodyWritten:
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
