package hop

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Answer is an answer under way. Close must be called.
type Answer struct {
	Status int
	Header http.Header
	// Length of the body; -1 if unknown.
	Length int64

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	ended   bool
	close   bool
	stop    func() bool
	written chan error
	// relax ends the request's own bound for unacknowledged bytes; nil: it had none.
	relax *time.Timer
}

// send writes the request. A long body goes on being written while the answer
// is read.
func (a *Answer) send(r *Request) error {
	head := encodeHead(r)
	if len(r.Body) <= inlineBody {
		_, err := a.conn.Write(append(head, r.Body...))
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	if _, err := a.conn.Write(head); err != nil {
		return errors.Wrapf(err, "send to %s", r.Key)
	}
	a.written = make(chan error, 1)
	go func() {
		_, err := a.conn.Write(r.Body)
		a.written <- err
	}()
	return nil
}

func encodeHead(r *Request) []byte {
	var b strings.Builder
	b.Grow(512)
	b.WriteString(r.Method + " " + r.Path + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return []byte(b.String())
}

// readHead reads the answer's head, passing over answers to other requests.
func (a *Answer) readHead(r *Request) error {
	for range maxForeign + 1 {
		answer, err := http.ReadResponse(a.conn.reader, &http.Request{Method: r.Method})
		if err != nil {
			return errors.Wrapf(err, "answer of %s", r.Key)
		}
		if answer.StatusCode < http.StatusOK {
			continue // informational
		}
		if r.Matches(answer.StatusCode, answer.Header) {
			a.take(answer)
			return nil
		}
		n, err := io.Copy(io.Discard, io.LimitReader(answer.Body, maxForeignBody))
		if err != nil || n == maxForeignBody || answer.ContentLength < 0 {
			return errors.Newf("%s answered another request", r.Key)
		}
	}
	return errors.Newf("%s answered other requests only", r.Key)
}

func (a *Answer) take(answer *http.Response) {
	a.Status = answer.StatusCode
	a.Header = answer.Header
	a.Length = answer.ContentLength
	a.body = answer.Body
	a.close = answer.Close
}

// Read reads the body. io.EOF comes only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.body.Read(p)
	if err == io.EOF {
		a.ended = true
	}
	return n, err
}

// Close ends the answer. The connection is kept if the answer was read whole and
// nothing else is on it.
func (a *Answer) Close() {
	if a.stop != nil {
		a.stop()
	}
	if a.relax != nil {
		a.relax.Stop()
	}
	if !a.ended {
		a.pool.abandon(a.conn)
		return
	}
	if !a.reusable() {
		a.pool.discard(a.conn)
		return
	}
	a.conn.expires = a.pool.Now().Add(idleTime(a.Header))
	a.pool.keep(a.conn)
}

func (a *Answer) reusable() bool {
	if a.close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written == nil {
		return true
	}
	select {
	case err := <-a.written:
		return err == nil
	default:
		return false
	}
}

// idleTime is how long a connection may be kept, by the target's announcement.
func idleTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds >= 0 {
			return max(time.Duration(seconds)*time.Second-idleMargin, 0)
		}
	}
	return idleDefault
}
