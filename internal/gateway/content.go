package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/junctionfold/junctionfold/coord/quarantine"
)

// contentDigest returns the digest of the request's content. It leaves out what differs between
// attempts: ids, deadlines, keys, and how much of a response the caller has received. The digest is
// 128 bits of SHA-256, so that nobody can construct another content with the same digest. The whole
// body is included, because a request that crashes targets may differ in a single byte from
// requests that run well.
func (x *exchange) contentDigest() (d quarantine.Digest) {
	h := sha256.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.requestTarget, x.req.Adapter.Model, x.req.Adapter.Adapter} {
		writeLengthPrefixed(h, part)
	}
	for _, p := range x.req.Parts {
		writeLengthPrefixed(h, p.ID)
	}
	var numbers [24]byte
	binary.BigEndian.PutUint64(numbers[:8], uint64(x.req.PromptTokens))
	binary.BigEndian.PutUint64(numbers[8:16], uint64(x.req.OutputTokens))
	binary.BigEndian.PutUint64(numbers[16:], uint64(len(x.body)))
	_, _ = h.Write(numbers[:]) // hash.Hash.Write never returns an error
	_, _ = h.Write(x.body)     // as above
	var sum [sha256.Size]byte
	copy(d[:], h.Sum(sum[:0]))
	return d.WithPart(x.ownPart())
}

// ownPart identifies the last part of the prompt, which belongs to the request or to its session.
func (x *exchange) ownPart() (p quarantine.Part) {
	if len(x.req.Parts) == 0 {
		return p
	}
	sum := sha256.Sum256([]byte(x.req.Adapter.Model + "\x00" + x.req.Parts[len(x.req.Parts)-1].ID))
	copy(p[:], sum[:])
	return p
}

// writeLengthPrefixed writes a text after its length, so that adjacent parts cannot be confused.
func writeLengthPrefixed(h io.Writer, text string) {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(text)))
	_, _ = h.Write(length[:])      // hash.Hash.Write never returns an error
	_, _ = io.WriteString(h, text) // as above
}
