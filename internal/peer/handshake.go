package peer

import (
	"crypto/tls"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/schema"
)

// yamuxConfig keeps the session's own keep-alive off: each call asks for a sign of life.
func (c *Config) yamuxConfig() *yamux.Config {
	y := yamux.DefaultConfig()
	y.EnableKeepAlive = false
	y.LogOutput = io.Discard
	y.StreamOpenTimeout = streamOpenTimeout
	if c.AckTimeout > 0 {
		y.StreamOpenTimeout = c.AckTimeout
	}
	y.ConnectionWriteTimeout = writeTimeout
	return y
}

// handshake makes a session of a connection. want is the VM dialled, or "" when
// the connection was accepted.
func (m *Mesh) handshake(conn net.Conn, want coord.VMID) (*session, error) {
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	dialled := want != ""
	secured, err := m.secure(&countingConn{Conn: conn, in: &m.bytesIn, out: &m.bytesOut}, dialled)
	if err != nil {
		return nil, err
	}
	s := newSession(want)
	batched := newBatchConn(secured, s.end)
	if dialled {
		s.mux, err = yamux.Client(batched, m.cfg.yamuxConfig())
	} else {
		s.mux, err = yamux.Server(batched, m.cfg.yamuxConfig())
	}
	if err != nil {
		return nil, errors.Wrap(err, "start session")
	}
	if err := m.hello(s, secured, dialled); err != nil {
		s.close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

func (m *Mesh) secure(conn net.Conn, dialled bool) (net.Conn, error) {
	if m.cfg.TLS == nil {
		return conn, nil
	}
	var t *tls.Conn
	if dialled {
		t = tls.Client(conn, m.cfg.TLS)
	} else {
		t = tls.Server(conn, m.cfg.TLS)
	}
	if err := t.Handshake(); err != nil {
		return nil, errors.Wrap(err, "TLS with peer")
	}
	return t, nil
}

// hello exchanges identities on the control stream and starts its reader.
func (m *Mesh) hello(s *session, conn net.Conn, dialled bool) error {
	stream, err := openControl(s.mux, dialled)
	if err != nil {
		return errors.Wrap(err, "open control stream")
	}
	s.use(stream) // for as long as the session lasts
	mine := &schema.Hello{Vm: string(m.cfg.Self), Hall: m.cfg.Zone, Incarnation: m.cfg.Incarnation}
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Hello{Hello: mine}}); err != nil {
		return errors.Wrap(err, "send hello")
	}
	frames := newFrameReader(stream)
	first, err := frames.read()
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	theirs := first.GetHello()
	if err := checkHello(theirs, conn, s.vm); err != nil {
		return err
	}
	s.vm = coord.VMID(theirs.Vm)
	s.control = stream
	m.handler.HandleHeartbeat(&schema.Heartbeat{Vm: theirs.Vm, Incarnation: theirs.Incarnation})
	go m.readControl(s, frames)
	return nil
}

func openControl(mux *yamux.Session, dialled bool) (*yamux.Stream, error) {
	if dialled {
		return mux.OpenStream()
	}
	return mux.AcceptStream()
}

// checkHello holds what a peer says of itself against its certificate and
// against the VM that was dialled.
func checkHello(h *schema.Hello, conn net.Conn, want coord.VMID) error {
	if h == nil || h.Vm == "" {
		return errors.New("peer sent no hello")
	}
	if want != "" && want != AnyVM && string(want) != h.Vm {
		return errors.Newf("dialled %s, reached %s", want, h.Vm)
	}
	t, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := t.ConnectionState().PeerCertificates
	if len(certs) == 0 || certs[0].VerifyHostname(h.Vm) != nil {
		return errors.Newf("peer says it is %s; its certificate does not", h.Vm)
	}
	return nil
}
