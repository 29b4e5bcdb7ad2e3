// Package peer keeps the sessions between VMs: TLS below, yamux for many
// streams on one connection, protobuf frames on each stream.
//
// A session is opened on first need and serves both directions. Its first
// stream carries a Hello each way and then heartbeats. Every other stream
// carries one Forward with its answer, or one Call with its Reply.
//
// Failure cases: a dial or stream that fails before the first write is reported
// as ErrNotSent, so that the request may go elsewhere; after it, nothing is
// known. Answer frames are checked for request id, attempt and sequence; one
// that does not fit ends the answer as crossed.
package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// ErrNotSent marks failures before anything can have reached the other VM.
var ErrNotSent = errors.New("nothing was sent")

// Handler serves what other VMs ask.
type Handler interface {
	// ServeForward runs an attempt and writes its answer.
	ServeForward(ctx context.Context, from coord.VMID, f *schema.Forward, w *AnswerWriter)
	// ServeCall answers a call.
	ServeCall(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply
	// HandleHeartbeat takes a heartbeat or a hello.
	HandleHeartbeat(h *schema.Heartbeat)
}

// Config holds the settings of a Mesh.
type Config struct {
	Self        coord.VMID
	Zone        string
	Incarnation uint64
	// TLS is nil when TLS is off.
	TLS *tls.Config
	// DialTimeout bounds the making of a session.
	DialTimeout time.Duration
	// AckTimeout is how long the other side of a session may take to acknowledge
	// that a call was begun, before the session is closed: a connection may fall
	// silent without an end. Zero: 5 s.
	AckTimeout time.Duration
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Mesh is the sessions of one VM. Lock order: Mesh.mu is taken alone.
type Mesh struct {
	cfg     Config
	handler Handler
	resolve func(coord.VMID) string

	mu       sync.Mutex
	sessions map[coord.VMID]*session
	dialing  map[coord.VMID]chan struct{}
	// all holds every open session, also the spare one of a double dial.
	all    map[*session]struct{}
	closed bool

	bytesIn, bytesOut atomic.Int64
}

// New returns a Mesh. resolve gives the peer address of a VM, or "".
func New(cfg Config, handler Handler, resolve func(coord.VMID) string) *Mesh {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Mesh{
		cfg: cfg, handler: handler, resolve: resolve,
		sessions: map[coord.VMID]*session{},
		dialing:  map[coord.VMID]chan struct{}{},
		all:      map[*session]struct{}{},
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Bytes returns the bytes read and written on all sessions, TLS included.
func (m *Mesh) Bytes() (in, out int64) { return m.bytesIn.Load(), m.bytesOut.Load() }

// Sessions returns how many sessions are open.
func (m *Mesh) Sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.all)
}

// Serve accepts sessions until the listener is closed.
func (m *Mesh) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go m.accept(conn)
	}
}

func (m *Mesh) accept(conn net.Conn) {
	s, err := m.handshake(conn, "")
	if err != nil {
		_ = conn.Close()
		return
	}
	m.keep(s)
}

// Disconnect ends the sessions with a VM; answers under way on them are cut.
func (m *Mesh) Disconnect(vm coord.VMID) {
	for _, s := range m.open() {
		if s.vm == vm {
			s.close()
		}
	}
}

// Drain lets what is under way on all sessions end, and takes nothing new. It is for the
// end of a planned stop, before Close: a request that another VM has just sent would
// otherwise be cut unread, and its caller told that it may have run.
func (m *Mesh) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range m.open() {
		wg.Go(func() { s.drain(ctx) })
	}
	wg.Wait()
}

// open returns all open sessions.
func (m *Mesh) open() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.all))
}

// Close ends all sessions.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for _, s := range m.open() {
		s.close()
	}
}

// Bounds of a session, many times what a loaded VM takes.
const (
	streamOpenTimeout = 5 * time.Second
	writeTimeout      = 5 * time.Second
)

// readControl takes heartbeats until the session ends.
func (m *Mesh) readControl(s *session, frames *frameReader) {
	for {
		f, err := frames.read()
		if err != nil {
			s.close()
			return
		}
		if h := f.GetHeartbeat(); h != nil && h.Vm == string(s.vm) {
			m.handler.HandleHeartbeat(h)
		}
	}
}

// keep registers a session and serves its streams until it ends.
func (m *Mesh) keep(s *session) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		s.close()
		return
	}
	m.all[s] = struct{}{}
	if m.sessions[s.vm] == nil {
		m.sessions[s.vm] = s
	}
	m.mu.Unlock()
	go m.serveSession(s)
}

func (m *Mesh) serveSession(s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			break
		}
		go m.serveStream(s, stream)
	}
	m.mu.Lock()
	delete(m.all, s)
	if m.sessions[s.vm] == s {
		delete(m.sessions, s.vm)
	}
	m.mu.Unlock()
}

// get returns a session to a VM, dialling when there is none. Callers that need
// the same VM at once share one dial.
func (m *Mesh) get(ctx context.Context, vm coord.VMID) (*session, error) {
	for {
		m.mu.Lock()
		if s := m.sessions[vm]; s != nil {
			m.mu.Unlock()
			return s, nil
		}
		wait, busy := m.dialing[vm]
		if !busy {
			wait = make(chan struct{})
			m.dialing[vm] = wait
		}
		m.mu.Unlock()
		if !busy {
			return m.dial(ctx, vm, wait)
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if s := m.existing(vm); s == nil {
			return nil, errors.Newf("no session to %s", vm)
		}
	}
}

func (m *Mesh) existing(vm coord.VMID) *session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[vm]
}

func (m *Mesh) dial(ctx context.Context, vm coord.VMID, done chan struct{}) (*session, error) {
	defer func() {
		m.mu.Lock()
		delete(m.dialing, vm)
		m.mu.Unlock()
		close(done)
	}()
	address := m.resolve(vm)
	if address == "" {
		return nil, errors.Newf("no address of %s", vm)
	}
	s, err := m.dialAddress(ctx, address, vm)
	if err != nil {
		return nil, err
	}
	m.keep(s)
	return s, nil
}

func (m *Mesh) dialAddress(ctx context.Context, address string, vm coord.VMID) (*session, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.DialTimeout)
	defer cancel()
	conn, err := m.cfg.Dial(ctx, address)
	if err != nil {
		return nil, errors.Wrapf(err, "dial %s", vm)
	}
	s, err := m.handshake(conn, vm)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return s, nil
}

// SendHeartbeat sends a heartbeat to a VM.
func (m *Mesh) SendHeartbeat(ctx context.Context, vm coord.VMID, h *schema.Heartbeat) error {
	s, err := m.get(ctx, vm)
	if err != nil {
		return err
	}
	s.beat.Lock()
	defer s.beat.Unlock()
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(s.control, &schema.Frame{Kind: &schema.Frame_Heartbeat{Heartbeat: h}}); err != nil {
		s.close()
		return errors.Wrapf(err, "heartbeat to %s", vm)
	}
	return nil
}
