package callers

import (
	"io"
	"net/http"
	"runtime"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord/intake"
)

// Errors of ReadBody. Other errors mean that the client has left or sent something invalid.
var (
	// ErrTooLarge means that the body has more bytes than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoRoom means that the VM holds as much of its clients as it may.
	ErrNoRoom = errors.New("there is no room for the body")
	// ErrTimeout means that the client has stopped for too long, or that its deadline has passed.
	ErrTimeout = errors.New("the body did not arrive in time")
)

const (
	// minBufferBytes is the size of the first buffer of a body.
	minBufferBytes = 2 << 10
	// yieldBytes is how much of a body is read before other goroutines run. Chunks of a few bytes take much processor
	// time.
	yieldBytes = 16 << 10
)

// ReadBody reads the whole body of a request, which counts toward what its client holds until the end of the
// request. maxBytes is the largest size; 0: any. The read ends at the deadline. If it fails, the client's connection is to be
// closed.
func ReadBody(r *http.Request, maxBytes int64, deadline time.Time) ([]byte, error) {
	if maxBytes > 0 && r.ContentLength > maxBytes {
		return nil, ErrTooLarge
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := bodyReader{body: r.Body, conn: connOf(r.Context()), length: r.ContentLength, maxBytes: maxBytes}
	return reader.read(deadline)
}

// bodyReader reads a body.
type bodyReader struct {
	body io.Reader
	conn *Conn
	// length is the announced length; negative: none.
	length, maxBytes int64
}

func (b *bodyReader) read(deadline time.Time) ([]byte, error) {
	if !b.conn.enter(intake.Body, deadline) {
		return nil, b.conn.readError(nil)
	}
	data, err := b.readAll()
	if !b.conn.enter(intake.Working, time.Time{}) || err != nil {
		b.conn.hold(body, 0)
		return nil, b.conn.readError(err)
	}
	return data, nil
}

// readError returns the error of a read that failed with err. A connection that was ended tells why.
func (c *Conn) readError(err error) error {
	switch reason := c.endReason(); {
	case errors.Is(reason, errEvicted):
		return ErrNoRoom
	case reason != nil:
		return ErrTimeout
	case err == nil:
		return ErrNoRoom // the client was just removed, and its connection is about to be ended
	}
	return err
}

func (b *bodyReader) readAll() ([]byte, error) {
	var data []byte
	read := 0
	for {
		if len(data) == cap(data) {
			var err error
			if data, err = b.grow(data); err != nil {
				return nil, err
			}
		}
		n, err := b.body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if b.maxBytes > 0 && int64(len(data)) > b.maxBytes {
			return nil, ErrTooLarge
		}
		if err == io.EOF {
			return data, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read body")
		}
		if read += n; read >= yieldBytes {
			read = 0
			runtime.Gosched()
		}
	}
}

// grow returns a copy of data with room for more.
func (b *bodyReader) grow(data []byte) ([]byte, error) {
	const growth = 2
	size := int64(max(growth*cap(data), minBufferBytes))
	if b.length >= 0 {
		size = min(size, b.length+1) // the read that finds the end needs room for a byte
	}
	if b.maxBytes > 0 {
		size = min(size, b.maxBytes+1)
	}
	if !b.conn.hold(body, int64(cap(data))+size) {
		return nil, ErrNoRoom
	}
	larger := make([]byte, len(data), size)
	copy(larger, data)
	b.conn.hold(body, size)
	return larger, nil
}
