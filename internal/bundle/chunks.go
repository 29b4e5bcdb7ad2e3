// Package bundle builds, signs, validates and compares configuration bundles.
//
// A bundle is split into chunks so that a small change resends little data. One
// chunk holds everything but the adapters; the adapters are split into buckets by
// the hash of their names. A chunk is a partial Bundle; merging all chunks of a
// manifest restores the complete bundle.
package bundle

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/schema"
)

const (
	// MaxChunkBytes is the maximum size of a chunk. It is well below the
	// configuration service's limit of one megabyte per value.
	MaxChunkBytes = 512 << 10
	// MaxChunks is the maximum number of chunks in a manifest.
	MaxChunks = 4096
	// adaptersPerBucket is the average number of adapters per bucket above which the
	// number of buckets doubles. It balances the size of a chunk, which is resent for
	// each change, against the size of the manifest, which lists all chunks. See
	// docs/design/configuration.md.
	adaptersPerBucket = 256
)

// ManifestKey is the key of the signed manifest in the configuration service.
const ManifestKey = "junctionfold/manifest"

// chunkPrefix is the part of a chunk's key before its hash.
const chunkPrefix = "junctionfold/chunk/"

// ChunkKey returns the key of a chunk in the configuration service.
func ChunkKey(hash []byte) string { return chunkPrefix + hex.EncodeToString(hash) }

// Chunks holds the encoded chunks of a bundle by the hexadecimal SHA-256 of their
// data.
type Chunks map[string][]byte

// Split splits a bundle into chunks and lists them in a manifest. It leaves the
// version, author and other metadata of the manifest unset.
func Split(b *schema.Bundle) (*schema.Manifest, Chunks, error) {
	m := &schema.Manifest{}
	chunks := Chunks{}
	for i, part := range partition(b) {
		data, err := proto.MarshalOptions{Deterministic: true}.Marshal(part)
		if err != nil {
			return nil, nil, errors.Wrap(err, "encode chunk")
		}
		if len(data) > MaxChunkBytes {
			return nil, nil, errors.Newf("chunk %d has %d bytes, at most %d fit", i, len(data), MaxChunkBytes)
		}
		sum := sha256.Sum256(data)
		m.Chunks = append(m.Chunks, sum[:])
		m.Sizes = append(m.Sizes, uint32(len(data)))
		chunks[hex.EncodeToString(sum[:])] = data
	}
	return m, chunks, nil
}

// partition returns the bundle without its adapters, followed by the buckets of
// adapters.
func partition(b *schema.Bundle) []*schema.Bundle {
	common := &schema.Bundle{
		Halls: b.Halls, Bases: b.Bases, Services: b.Services, Targets: b.Targets,
		Priorities: b.Priorities, Weights: b.Weights, Limits: b.Limits,
	}
	return append([]*schema.Bundle{common}, bucketAdapters(b.Adapters)...)
}

func bucketAdapters(adapters []*schema.Adapter) []*schema.Bundle {
	count := 1
	for count*adaptersPerBucket < len(adapters) {
		count *= 2
	}
	out := make([]*schema.Bundle, count)
	for i := range out {
		out[i] = &schema.Bundle{}
	}
	for _, a := range adapters {
		index := xxhash.Sum64String(a.Name) % uint64(count)
		out[index].Adapters = append(out[index].Adapters, a)
	}
	for _, b := range out {
		sort.Slice(b.Adapters, func(i, j int) bool { return b.Adapters[i].Name < b.Adapters[j].Name })
	}
	return out
}

// DecodeManifest decodes the manifest inside a signed manifest and checks that its
// version, hashes and sizes are well-formed. It does not verify signatures.
func DecodeManifest(s *schema.SignedManifest) (*schema.Manifest, error) {
	m := &schema.Manifest{}
	if err := proto.Unmarshal(s.GetManifest(), m); err != nil {
		return nil, errors.Wrap(err, "decode manifest")
	}
	if m.Version == 0 {
		return nil, errors.New("manifest has no version")
	}
	if len(m.Chunks) == 0 || len(m.Chunks) > MaxChunks || len(m.Chunks) != len(m.Sizes) {
		return nil, errors.Newf("manifest lists %d chunks and %d sizes", len(m.Chunks), len(m.Sizes))
	}
	for i, hash := range m.Chunks {
		if len(hash) != sha256.Size || m.Sizes[i] > MaxChunkBytes {
			return nil, errors.Newf("manifest's chunk %d has a malformed hash or size", i)
		}
	}
	return m, nil
}

// CheckChunk returns an error if data does not have the given hash.
func CheckChunk(hash, data []byte) error {
	sum := sha256.Sum256(data)
	if !bytes.Equal(sum[:], hash) {
		return errors.Newf("chunk %x: the data has hash %x", hash, sum[:])
	}
	return nil
}

// Join merges the chunks of a manifest into a bundle and checks their hashes. get
// returns the data of a chunk by its hash.
func Join(m *schema.Manifest, get func(hash []byte) ([]byte, error)) (*schema.Bundle, error) {
	out := &schema.Bundle{}
	for _, hash := range m.Chunks {
		data, err := get(hash)
		if err != nil {
			return nil, err
		}
		if err := CheckChunk(hash, data); err != nil {
			return nil, err
		}
		if err := (proto.UnmarshalOptions{Merge: true}).Unmarshal(data, out); err != nil {
			return nil, errors.Wrapf(err, "decode chunk %x", hash)
		}
	}
	return out, nil
}

// Get returns the data of a chunk by its hash, or an error if it is missing.
func (c Chunks) Get(hash []byte) ([]byte, error) {
	data, ok := c[hex.EncodeToString(hash)]
	if !ok {
		return nil, errors.Newf("chunk %x is missing", hash)
	}
	return data, nil
}

// EncodeManifest encodes a manifest deterministically into a signed manifest that
// has no signatures yet.
func EncodeManifest(m *schema.Manifest) (*schema.SignedManifest, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	return &schema.SignedManifest{Manifest: data}, nil
}
