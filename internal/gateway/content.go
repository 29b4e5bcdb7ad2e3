package gateway

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/junctionfold/junctionfold/coord/quarantine"
)

// content is the digest of what the request asks, without what differs between attempts: ids,
// deadlines, keys, how much of an answer the caller has. 128 bits of SHA-256, so that nobody
// can make another content of the same digest. All of the body counts: one that crashes targets
// may differ in a byte from others that run well.
func (x *exchange) content() (d quarantine.Digest) {
	h := sha256.New()
	for _, part := range []string{x.r.Method, x.r.Host, x.target, x.req.Adapter.Model, x.req.Adapter.Adapter} {
		writePart(h, part)
	}
	for _, p := range x.req.Parts {
		writePart(h, p.ID)
	}
	var figures [24]byte
	binary.BigEndian.PutUint64(figures[:8], uint64(x.req.PromptTokens))
	binary.BigEndian.PutUint64(figures[8:16], uint64(x.req.OutputTokens))
	binary.BigEndian.PutUint64(figures[16:], uint64(len(x.body)))
	_, _ = h.Write(figures[:]) // a hash takes all
	_, _ = h.Write(x.body)     // the same
	var sum [sha256.Size]byte
	copy(d[:], h.Sum(sum[:0]))
	return d
}

// writePart writes a text with its length, so that parts do not run into each other.
func writePart(h io.Writer, text string) {
	var length [4]byte
	binary.BigEndian.PutUint32(length[:], uint32(len(text)))
	_, _ = h.Write(length[:])      // a hash takes all
	_, _ = io.WriteString(h, text) // the same
}
