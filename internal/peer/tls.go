package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/schema"
)

// TLSFromSettings reads the keys that peers authenticate each other with. It
// returns nil when the settings turn TLS off.
func TLSFromSettings(s *schema.PeerSettings) (*tls.Config, error) {
	if s.InsecureLoopback {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(s.CertFile, s.KeyFile)
	if err != nil {
		return nil, errors.Wrap(err, "load peer certificate")
	}
	ca, err := os.ReadFile(s.CaFile)
	if err != nil {
		return nil, errors.Wrap(err, "read peer authorities")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Newf("%s holds no certificate", s.CaFile)
	}
	return NewTLS(cert, pool), nil
}

// NewTLS returns the configuration for both ends of a session. The chain is
// checked here; that the certificate names the VM is checked with the Hello,
// since VMs are dialled by IP number.
func NewTLS(cert tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          authorities,
		InsecureSkipVerify: true, // the chain is verified below, the name with the Hello
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	between := x509.NewCertPool()
	for _, c := range state.PeerCertificates[1:] {
		between.AddCert(c)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: between,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
