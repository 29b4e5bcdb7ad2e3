// Package certs issues the certificates that VMs use for mutual TLS.
package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Pair is a certificate with its private key, both in PEM.
type Pair struct {
	Cert []byte
	Key  []byte
}

// Validity periods of certificates. They start clockSkew in the past, so that VMs
// with a slow clock accept new certificates.
const (
	authorityValidity = 10 * 365 * 24 * time.Hour
	vmValidity        = 365 * 24 * time.Hour
	clockSkew         = time.Hour
)

// serialBits is the size in bits of a certificate's random serial number.
const serialBits = 120

// NewAuthority generates a self-signed certificate authority.
func NewAuthority() (Pair, error) {
	t, err := newTemplate("junctionfold authority", authorityValidity)
	if err != nil {
		return Pair{}, err
	}
	t.IsCA = true
	t.BasicConstraintsValid = true
	t.KeyUsage = x509.KeyUsageCertSign
	return sign(t, t, nil)
}

// Issue issues a certificate for a VM. The certificate contains the VM's id, which
// peers compare with the id that the VM reports.
func Issue(authority Pair, vm string, ips []net.IP) (Pair, error) {
	ca, err := tls.X509KeyPair(authority.Cert, authority.Key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "read authority")
	}
	parent, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return Pair{}, errors.Wrap(err, "read authority")
	}
	t, err := newTemplate(vm, vmValidity)
	if err != nil {
		return Pair{}, err
	}
	t.DNSNames = []string{vm}
	t.IPAddresses = ips
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, ok := ca.PrivateKey.(crypto.Signer)
	if !ok {
		return Pair{}, errors.New("the authority's key cannot sign")
	}
	return sign(t, parent, key)
}

func newTemplate(name string, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "make serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign generates a key for t and signs t with the parent's key. If parentKey is
// nil, t is self-signed.
func sign(t, parent *x509.Certificate, parentKey crypto.Signer) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, errors.Wrap(err, "make key")
	}
	if parentKey == nil {
		parentKey = key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, key.Public(), parentKey)
	if err != nil {
		return Pair{}, errors.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, errors.Wrap(err, "encode key")
	}
	return Pair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}
