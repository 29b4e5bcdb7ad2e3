package bundle

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/schema"
)

// signatureContext is prepended to the signed data, so that a signature made with
// the same key for another purpose is not valid for a manifest.
const signatureContext = "junctionfold bundle manifest v1\x00"

const privateKeyPEMType = "PRIVATE KEY"

// NewKey generates an ed25519 signing key. It returns the private key in PEM and
// the public key in the form id:base64 that the settings use.
func NewKey(id string) (privatePEM []byte, public string, err error) {
	if id == "" || strings.ContainsAny(id, ":, ") {
		return nil, "", errors.Newf("key id %q: must be one word without : or ,", id)
	}
	pub, priv, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, "", errors.Wrap(err, "make key")
	}
	der, err := x509.MarshalPKCS8PrivateKey(priv)
	if err != nil {
		return nil, "", errors.Wrap(err, "encode key")
	}
	block := &pem.Block{Type: privateKeyPEMType, Headers: map[string]string{"Key-Id": id}, Bytes: der}
	return pem.EncodeToMemory(block), FormatPublicKey(id, pub), nil
}

// FormatPublicKey formats a public key as id:base64.
func FormatPublicKey(id string, pub ed25519.PublicKey) string {
	return id + ":" + base64.StdEncoding.EncodeToString(pub)
}

// ParsePublicKey parses a public key in the form id:base64.
func ParsePublicKey(text string) (id string, pub ed25519.PublicKey, err error) {
	id, encoded, ok := strings.Cut(text, ":")
	if !ok || id == "" {
		return "", nil, errors.Newf("%q is not id:base64", text)
	}
	raw, err := base64.StdEncoding.DecodeString(encoded)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return "", nil, errors.Newf("key %q is not the base64 of an ed25519 public key", id)
	}
	return id, raw, nil
}

// ParsePrivateKey parses a private key in the form that NewKey returns.
func ParsePrivateKey(data []byte) (id string, priv ed25519.PrivateKey, err error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != privateKeyPEMType {
		return "", nil, errors.New("not a PEM private key")
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return "", nil, errors.Wrap(err, "decode private key")
	}
	priv, ok := key.(ed25519.PrivateKey)
	if !ok || block.Headers["Key-Id"] == "" {
		return "", nil, errors.New("not an ed25519 key with a Key-Id header")
	}
	return block.Headers["Key-Id"], priv, nil
}

// Sign adds a signature by the given key, or replaces the signature with the same
// key id.
func Sign(m *schema.SignedManifest, id string, priv ed25519.PrivateKey) {
	value := ed25519.Sign(priv, signedBytes(m))
	for _, s := range m.Signatures {
		if s.KeyId == id {
			s.Value = value
			return
		}
	}
	m.Signatures = append(m.Signatures, &schema.Signature{KeyId: id, Value: value})
}

func signedBytes(m *schema.SignedManifest) []byte {
	return append([]byte(signatureContext), m.Manifest...)
}

// Trust holds the trusted public keys by id and the number of them that must have
// signed a manifest.
type Trust struct {
	Keys     map[string]ed25519.PublicKey
	Required int
}

// NewTrust returns the Trust for the settings. It returns an error if a key is
// malformed or no signature is required.
func NewTrust(t *schema.BundleTrust) (Trust, error) {
	out := Trust{Keys: map[string]ed25519.PublicKey{}, Required: int(t.GetRequired())}
	for _, text := range t.GetPublicKeys() {
		id, pub, err := ParsePublicKey(text)
		if err != nil {
			return Trust{}, err
		}
		out.Keys[id] = pub
	}
	if out.Required < 1 {
		return Trust{}, errors.New("at least one signature must be required")
	}
	return out, nil
}

// Signers returns the ids of the trusted keys whose signatures are valid.
func (t Trust) Signers(m *schema.SignedManifest) []string {
	var out []string
	seen := map[string]bool{}
	for _, s := range m.GetSignatures() {
		pub, ok := t.Keys[s.GetKeyId()]
		if !ok || seen[s.GetKeyId()] || !ed25519.Verify(pub, signedBytes(m), s.GetValue()) {
			continue
		}
		seen[s.GetKeyId()] = true
		out = append(out, s.GetKeyId())
	}
	return out
}

// Verify returns an error unless at least Required distinct trusted keys have
// signed the manifest.
func (t Trust) Verify(m *schema.SignedManifest) error {
	signers := t.Signers(m)
	if len(signers) < t.Required {
		return errors.Newf("%d valid signatures by trusted keys %v, %d required", len(signers), signers, t.Required)
	}
	return nil
}
