// Package peer maintains the sessions between VMs. A session is a connection, with TLS
// unless it is disabled, whose yamux streams carry protobuf frames.
//
// A session is opened on first use and serves both directions. Its first stream, the
// control stream, carries a Hello each way, followed by heartbeats and by calls without a
// reply. Every other stream carries one Forward with its response, or one Call with its Reply.
//
// If a dial or a stream fails before the first write, the error is marked as ErrNotSent
// and the request may be sent elsewhere. After the first write, it is unknown whether
// the request ran. The frames of a response are checked for request id, attempt and
// sequence number. A frame that does not match ends the response with
// forward.CodeAnswerMismatch.
package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/traffic"
	"github.com/junctionfold/junctionfold/schema"
)

// ErrNotSent marks errors after which nothing can have reached the other VM.
var ErrNotSent = errors.New("nothing was sent")

// Handler handles the requests of other VMs.
type Handler interface {
	// ServeForward runs an attempt and writes its response.
	ServeForward(ctx context.Context, from coord.VMID, f *schema.Forward, w *AnswerWriter)
	// ServeCall handles a call and returns its reply.
	ServeCall(ctx context.Context, from coord.VMID, c *schema.Call) *schema.Reply
	// HandleHeartbeat handles a heartbeat. It is also called for the Hello of a peer.
	HandleHeartbeat(h *schema.Heartbeat)
}

// Config holds the settings of a Mesh.
type Config struct {
	Self        coord.VMID
	Zone        string
	Incarnation uint64
	// TLS is nil if TLS is disabled.
	TLS *tls.Config
	// DialTimeout bounds the dial and the handshake of a session.
	DialTimeout time.Duration
	// AckTimeout is how long the other side of a session may take to acknowledge a new
	// stream before the session is closed. A connection may stop responding without being
	// closed. Zero means 5 s.
	AckTimeout time.Duration
	// HandleNotification handles a call that has no reply. Later heartbeats and notifications of the
	// VM wait for it. If it is nil, notifications are ignored.
	HandleNotification func(from coord.VMID, c *schema.Call)
	// Dial opens a connection. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Mesh holds the sessions of one VM. No other lock is acquired while Mesh.mu is held.
type Mesh struct {
	cfg     Config
	handler Handler
	resolve func(coord.VMID) string

	mu       sync.Mutex
	sessions map[coord.VMID]*session
	dialing  map[coord.VMID]chan struct{}
	// allSessions holds every open session, including the surplus session when two VMs
	// dial each other at the same time.
	allSessions map[*session]struct{}
	closed      bool

	traffic    traffic.Counter
	handshakes handshakes
}

// New returns a Mesh. resolve returns the peer address of a VM, or "" if it is unknown.
func New(cfg Config, handler Handler, resolve func(coord.VMID) string) *Mesh {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Mesh{
		cfg: cfg, handler: handler, resolve: resolve,
		sessions:    map[coord.VMID]*session{},
		dialing:     map[coord.VMID]chan struct{}{},
		allSessions: map[*session]struct{}{},
	}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Bytes returns the number of bytes read and written on all sessions, including TLS
// overhead.
func (m *Mesh) Bytes() (in, out int64) { return m.traffic.Bytes() }

// LinkBytes is Bytes with the headers of the packets.
func (m *Mesh) LinkBytes() (in, out int64) { return m.traffic.LinkBytes() }

// Sessions returns the number of open sessions.
func (m *Mesh) Sessions() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.allSessions)
}

// Serve accepts sessions until the listener is closed.
func (m *Mesh) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go m.accept(conn)
	}
}

// acceptRetryDelay is the pause after a connection could not be accepted, for example for lack of descriptors.
const acceptRetryDelay = 50 * time.Millisecond

func (m *Mesh) accept(conn net.Conn) {
	end := m.handshakes.add(conn)
	s, err := m.handshake(conn, "")
	end()
	if err != nil {
		_ = conn.Close()
		return
	}
	m.register(s)
}

// Disconnect closes the sessions with a VM. Responses in progress on them are truncated.
func (m *Mesh) Disconnect(vm coord.VMID) {
	for _, s := range m.openSessions() {
		if s.vm == vm {
			s.close()
		}
	}
}

// Drain waits until the requests in flight on all sessions have ended, or until ctx ends,
// and accepts no new ones. It is called before Close in a planned shutdown. Without it, a
// request that another VM has just sent would be dropped unread and reported to its
// caller as possibly run.
func (m *Mesh) Drain(ctx context.Context) {
	var wg sync.WaitGroup
	for _, s := range m.openSessions() {
		wg.Go(func() { s.drain(ctx) })
	}
	wg.Wait()
}

// openSessions returns all open sessions.
func (m *Mesh) openSessions() []*session {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Collect(maps.Keys(m.allSessions))
}

// Close closes all sessions.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	for _, s := range m.openSessions() {
		s.close()
	}
}

// Timeouts of a session. They are many times longer than the delays of a VM under load.
const (
	streamOpenTimeout = 5 * time.Second
	writeTimeout      = 5 * time.Second
)

// readControl handles heartbeats and notifications from the control stream until the session ends.
func (m *Mesh) readControl(s *session, frames *frameReader) {
	for {
		f, err := frames.read()
		if err != nil {
			s.close()
			return
		}
		switch kind := f.Kind.(type) {
		case *schema.Frame_Heartbeat:
			if kind.Heartbeat.Vm == string(s.vm) {
				m.handler.HandleHeartbeat(kind.Heartbeat)
			}
		case *schema.Frame_Call:
			if m.cfg.HandleNotification != nil {
				m.cfg.HandleNotification(s.vm, kind.Call)
			}
		}
	}
}

// register adds a session to the mesh and starts serving its streams.
func (m *Mesh) register(s *session) {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		s.close()
		return
	}
	m.allSessions[s] = struct{}{}
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
	delete(m.allSessions, s)
	if m.sessions[s.vm] == s {
		delete(m.sessions, s.vm)
	}
	m.mu.Unlock()
}

// session returns a session to a VM and dials the VM if there is none. Concurrent callers
// for the same VM share one dial.
func (m *Mesh) session(ctx context.Context, vm coord.VMID) (*session, error) {
	for {
		m.mu.Lock()
		if s := m.sessions[vm]; s != nil {
			m.mu.Unlock()
			return s, nil
		}
		dialDone, dialing := m.dialing[vm]
		if !dialing {
			dialDone = make(chan struct{})
			m.dialing[vm] = dialDone
		}
		m.mu.Unlock()
		if !dialing {
			return m.dial(ctx, vm, dialDone)
		}
		select {
		case <-dialDone:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		if s := m.currentSession(vm); s == nil {
			return nil, errors.Newf("no session to %s", vm)
		}
	}
}

func (m *Mesh) currentSession(vm coord.VMID) *session {
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
	m.register(s)
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
	return m.sendControl(ctx, vm, &schema.Frame{Kind: &schema.Frame_Heartbeat{Heartbeat: h}})
}

// Notify sends a call that needs no reply to a VM. Notifications to one VM arrive in the order in which
// they are sent. A notification takes a part of the processor time of a Call: it opens no stream.
func (m *Mesh) Notify(ctx context.Context, vm coord.VMID, c *schema.Call) error {
	return m.sendControl(ctx, vm, &schema.Frame{Kind: &schema.Frame_Call{Call: c}})
}

// sendControl sends a frame on the control stream to a VM.
func (m *Mesh) sendControl(ctx context.Context, vm coord.VMID, f *schema.Frame) error {
	s, err := m.session(ctx, vm)
	if err != nil {
		return err
	}
	s.controlMu.Lock()
	defer s.controlMu.Unlock()
	_ = s.control.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err := writeFrame(s.control, f); err != nil {
		s.close()
		return errors.Wrapf(err, "control stream to %s", vm)
	}
	return nil
}
