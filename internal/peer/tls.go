package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/schema"
)

// TLSFromSettings loads the certificate, key and CA file with which peers authenticate
// each other. It returns nil if the settings disable TLS.
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
		return nil, errors.Wrap(err, "read peer CA file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, errors.Newf("%s contains no certificate", s.CaFile)
	}
	return NewTLS(cert, pool), nil
}

// NewTLS returns the TLS configuration for both ends of a session. It verifies the
// certificate chain. The VM name in the certificate is verified with the Hello, since
// VMs are dialled by IP address.
func NewTLS(cert tls.Certificate, authorities *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{cert},
		ClientAuth:         tls.RequireAndVerifyClientCert,
		ClientCAs:          authorities,
		InsecureSkipVerify: true, // VerifyConnection verifies the chain, verifyHello the name
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 {
		return errors.New("peer sent no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         authorities,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return err
}
