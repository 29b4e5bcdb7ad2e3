package peer

import (
	"net"
	"sync"
)

// batchConn is a connection that joins the writes which arrive while another write is in
// progress. yamux writes the header and the body of a frame separately. Joined, they
// take one system call and one TLS record, as do the frames of streams that write
// concurrently.
type batchConn struct {
	net.Conn
	// onEnd is called when the connection has failed or is being closed, before the error
	// is returned to the reader or writer.
	onEnd func()

	mu       sync.Mutex
	changed  sync.Cond
	pending  []byte
	spare    []byte
	writeErr error
	closed   bool
}

// maxPendingBytes is the number of pending bytes above which Write blocks.
const maxPendingBytes = 256 << 10

func newBatchConn(c net.Conn, onEnd func()) *batchConn {
	b := &batchConn{Conn: c, onEnd: onEnd}
	b.changed.L = &b.mu
	go b.writeLoop()
	return b
}

// Read reads from the connection. It calls onEnd if that fails.
func (b *batchConn) Read(p []byte) (int, error) {
	n, err := b.Conn.Read(p)
	if err != nil {
		b.onEnd()
	}
	return n, err
}

// Write queues a copy of p. If the write to the connection fails, a later Write returns
// the error, which ends the session.
func (b *batchConn) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.writeErr == nil && !b.closed && len(b.pending) > maxPendingBytes {
		b.changed.Wait()
	}
	if b.writeErr != nil {
		return 0, b.writeErr
	}
	if b.closed {
		return 0, net.ErrClosed
	}
	b.pending = append(b.pending, p...)
	b.changed.Broadcast()
	return len(p), nil
}

// writeLoop writes the pending bytes to the connection until it is closed or a write
// fails.
func (b *batchConn) writeLoop() {
	for {
		batch, ok := b.nextBatch()
		if !ok {
			return
		}
		_, err := b.Conn.Write(batch)
		if err != nil {
			b.onEnd()
		}
		b.finishBatch(batch, err)
		if err != nil {
			return
		}
	}
}

// nextBatch waits for pending bytes, returns them and swaps the buffers. ok is false
// when the connection is closed and nothing is pending.
func (b *batchConn) nextBatch() (batch []byte, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for len(b.pending) == 0 && !b.closed {
		b.changed.Wait()
	}
	if len(b.pending) == 0 {
		return nil, false
	}
	batch, b.pending, b.spare = b.pending, b.spare[:0], nil
	return batch, true
}

func (b *batchConn) finishBatch(batch []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeErr = err
	if cap(batch) <= 2*maxPendingBytes {
		b.spare = batch
	}
	b.changed.Broadcast()
}

// Close closes the connection. Pending bytes are sent only if they are written before the
// underlying connection is closed.
func (b *batchConn) Close() error {
	b.onEnd()
	b.mu.Lock()
	b.closed = true
	b.changed.Broadcast()
	b.mu.Unlock()
	return b.Conn.Close()
}
