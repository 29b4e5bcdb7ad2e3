package peer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/junctionfold/junctionfold/coord"
)

// session is one connection to a VM. Lock order: session.beat before session.mu; both
// are taken after Mesh.mu or without it.
type session struct {
	vm      coord.VMID
	mux     *yamux.Session
	control *yamux.Stream
	// beat keeps one heartbeat under way at most.
	beat sync.Mutex

	// mu guards what follows.
	mu sync.Mutex
	// streams are those on which a goroutine may wait.
	streams map[*yamux.Stream]struct{}
	ended   bool
}

func newSession(vm coord.VMID) *session {
	return &session{vm: vm, streams: map[*yamux.Stream]struct{}{}}
}

// past is a deadline that makes what waits on a stream return at once.
var past = time.Unix(1, 0)

// use registers a stream for as long as somebody reads or writes on it, so that end
// reaches it.
func (s *session) use(stream *yamux.Stream) (release func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams[stream] = struct{}{}
	if s.ended {
		_ = stream.SetDeadline(past) // never fails
	}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.streams, stream)
	}
}

// noReadDeadline lifts the read deadline of a stream, unless the session has ended.
func (s *session) noReadDeadline(stream *yamux.Stream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		_ = stream.SetReadDeadline(time.Time{}) // never fails
	}
}

// end makes everything that waits on a stream of the session return. It has to come
// before the session below shuts down: from then on, until it has closed each stream,
// goroutines that wait on streams run in a loop there, and some dozens of them keep a
// small VM from doing anything else for seconds.
func (s *session) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for stream := range s.streams {
		_ = stream.SetDeadline(past) // never fails
	}
}

// close ends the session and its connection.
func (s *session) close() {
	s.end()
	_ = s.mux.Close() // nothing is read or written on it any more
}

// drainPoll is the time between two looks at what is still open on a session.
const drainPoll = 5 * time.Millisecond

// drain takes no new streams, and returns when those that the other side had opened until
// it knew have ended, or when ctx ends. Streams that it opens meanwhile are reset, which
// says that nothing of them was read.
func (s *session) drain(ctx context.Context) {
	if s.mux.GoAway() != nil {
		return // the session has ended
	}
	s.roundTrip(ctx) // the other side knows, and what it sent before has come
	const control = 1
	for s.mux.NumStreams() > control && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	s.roundTrip(ctx) // the answers and resets have arrived there
}

// roundTrip returns when all that was sent before has been received by the other side and
// its reply is here, when the session ends, or when ctx does.
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
