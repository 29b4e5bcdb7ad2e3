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

// yamuxConfig returns the configuration of the yamux session. Its keep-alive is off,
// since each call checks that the other side acknowledges the new stream.
func (c *Config) yamuxConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.LogOutput = io.Discard
	config.StreamOpenTimeout = streamOpenTimeout
	if c.AckTimeout > 0 {
		config.StreamOpenTimeout = c.AckTimeout
	}
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// handshake establishes a session on a connection. expected is the VM that was dialled,
// or "" if the connection was accepted.
func (m *Mesh) handshake(conn net.Conn, expected coord.VMID) (*session, error) {
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	dialled := expected != ""
	secured, err := m.startTLS(m.traffic.Conn(conn), dialled)
	if err != nil {
		return nil, err
	}
	s := newSession(expected)
	limited := newHandshakeConn(secured)
	defer limited.allowAll() // also after a failure, so that a blocked reader returns
	batched := newBatchConn(limited, s.interruptStreams)
	if dialled {
		s.mux, err = yamux.Client(batched, m.cfg.yamuxConfig())
	} else {
		s.mux, err = yamux.Server(batched, m.cfg.yamuxConfig())
	}
	if err != nil {
		return nil, errors.Wrap(err, "start session")
	}
	if err := m.exchangeHello(s, secured, dialled); err != nil {
		_ = conn.Close()
		limited.allowAll()
		s.close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	return s, nil
}

func (m *Mesh) startTLS(conn net.Conn, dialled bool) (net.Conn, error) {
	if m.cfg.TLS == nil {
		return conn, nil
	}
	var tlsConn *tls.Conn
	if dialled {
		tlsConn = tls.Client(conn, m.cfg.TLS)
	} else {
		tlsConn = tls.Server(conn, m.cfg.TLS)
	}
	if err := tlsConn.Handshake(); err != nil {
		return nil, errors.Wrap(err, "TLS with peer")
	}
	return tlsConn, nil
}

// exchangeHello exchanges Hello frames on the control stream, verifies the identity of
// the peer and starts the reader of the control stream.
func (m *Mesh) exchangeHello(s *session, conn net.Conn, dialled bool) error {
	stream, err := openControlStream(s.mux, dialled)
	if err != nil {
		return errors.Wrap(err, "open control stream")
	}
	s.trackStream(stream) // until the session ends
	localHello := &schema.Hello{Vm: string(m.cfg.Self), Hall: m.cfg.Zone, Incarnation: m.cfg.Incarnation}
	if err := writeFrame(stream, &schema.Frame{Kind: &schema.Frame_Hello{Hello: localHello}}); err != nil {
		return errors.Wrap(err, "send hello")
	}
	frames := newFrameReader(stream)
	frames.maxBytes = maxHelloBytes
	first, err := frames.read()
	frames.maxBytes = MaxFrameBytes
	if err != nil {
		return errors.Wrap(err, "read hello")
	}
	remoteHello := first.GetHello()
	if err := verifyHello(remoteHello, conn, s.vm); err != nil {
		return err
	}
	s.vm = coord.VMID(remoteHello.Vm)
	s.control = stream
	m.handler.HandleHeartbeat(&schema.Heartbeat{Vm: remoteHello.Vm, Incarnation: remoteHello.Incarnation})
	go m.readControl(s, frames)
	return nil
}

func openControlStream(mux *yamux.Session, dialled bool) (*yamux.Stream, error) {
	if dialled {
		return mux.OpenStream()
	}
	return mux.AcceptStream()
}

// verifyHello checks the VM id in the Hello of a peer against the VM that was dialled and,
// if the session uses TLS, against the certificate of the peer.
func verifyHello(h *schema.Hello, conn net.Conn, expected coord.VMID) error {
	if h == nil || h.Vm == "" {
		return errors.New("peer sent no hello")
	}
	if expected != "" && expected != AnyVM && string(expected) != h.Vm {
		return errors.Newf("dialled %s, reached %s", expected, h.Vm)
	}
	tlsConn, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	certs := tlsConn.ConnectionState().PeerCertificates
	if len(certs) == 0 || certs[0].VerifyHostname(h.Vm) != nil {
		return errors.Newf("peer says it is %s; its certificate does not", h.Vm)
	}
	return nil
}
