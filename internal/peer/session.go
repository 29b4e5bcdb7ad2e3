package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/junctionfold/junctionfold/coord"
)

// session is one connection to a VM. Lock order: controlMu, then mu. Mesh.mu is not held
// while either of them is acquired.
type session struct {
	vm      coord.VMID
	mux     *yamux.Session
	control *yamux.Stream
	// controlMu serializes the frames sent on the control stream.
	controlMu sync.Mutex

	// mu guards the fields below.
	mu sync.Mutex
	// streams holds the streams on which a goroutine may be waiting.
	streams     map[*yamux.Stream]struct{}
	interrupted bool
}

func newSession(vm coord.VMID) *session {
	return &session{vm: vm, streams: map[*yamux.Stream]struct{}{}}
}

// pastDeadline is a deadline in the past. Set on a stream, it makes blocked reads and
// writes return immediately.
var pastDeadline = time.Unix(1, 0)

// trackStream registers a stream with the session. Until release is called,
// interruptStreams also interrupts the reads and writes of this stream.
func (s *session) trackStream(stream *yamux.Stream) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	if s.interrupted {
		_ = stream.SetDeadline(pastDeadline) // never fails
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, stream)
	}
}

// clearReadDeadline removes the read deadline of a stream, unless the streams of the
// session have been interrupted.
func (s *session) clearReadDeadline(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.interrupted {
		_ = stream.SetReadDeadline(time.Time{}) // never fails
	}
}

// interruptStreams makes all goroutines that wait on a stream of the session return. It
// must be called before the yamux session shuts down. From the start of the shutdown
// until all streams are closed, goroutines that wait on a stream run in a busy loop
// inside yamux, and some dozens of them use the whole CPU of a small VM for seconds.
func (s *session) interruptStreams() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.interrupted = true
	for stream := range s.streams {
		_ = stream.SetDeadline(pastDeadline) // never fails
	}
}

// close closes the session and its connection.
func (s *session) close() {
	s.interruptStreams()
	_ = s.mux.Close() // the session is no longer used
}

// drainPollInterval is the interval at which drain checks the number of open streams.
const drainPollInterval = 5 * time.Millisecond

// drain accepts no new streams. It returns when the streams that the other side opened
// before it was notified have ended, or when ctx ends. Streams that the other side opens
// in the meantime are reset, which indicates that nothing of them was read.
func (s *session) drain(ctx context.Context) {
	if s.mux.GoAway() != nil {
		return // the session has ended
	}
	s.roundTrip(ctx) // the other side is notified, and all it sent before has been received
	const controlStreams = 1
	for s.mux.NumStreams() > controlStreams && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	s.roundTrip(ctx) // the other side has received the responses and resets
}

// roundTrip sends a ping and waits for its reply, by which time the other side has
// received everything that was sent before. It also returns when the session or ctx ends.
func (s *session) roundTrip(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = s.mux.Ping() // an error ends the wait as well
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
