// Package bundle makes, signs, checks and compares configuration bundles.
//
// A bundle is cut into chunks so that a small change re-sends little: all but
// the adapters in one chunk, the adapters in buckets by the hash of their names.
// A chunk is a partial Bundle; merging all chunks of a manifest gives the whole.
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
	// MaxChunkBytes is well below the configuration service's limit of one
	// megabyte a value.
	MaxChunkBytes = 512 << 10
	// MaxChunks bounds a manifest.
	MaxChunks = 4096
	// adaptersPerBucket balances the chunk that a change re-sends against the
	// manifest that names all chunks; see docs/design/configuration.md.
	adaptersPerBucket = 256
)

// ManifestKey is the configuration service's key of the signed manifest.
const ManifestKey = "junctionfold/manifest"

// chunkPrefix is in front of a chunk's hash in its key.
const chunkPrefix = "junctionfold/chunk/"

// ChunkKey is the configuration service's key of a chunk.
func ChunkKey(hash []byte) string { return chunkPrefix + hex.EncodeToString(hash) }

// Chunks are a bundle's chunks by the hex of their hash.
type Chunks map[string][]byte

// Split cuts a bundle into chunks and lists them in a manifest, which still
// lacks version and author.
func Split(b *schema.Bundle) (*schema.Manifest, Chunks, error) {
	m := &schema.Manifest{}
	chunks := Chunks{}
	for i, part := range parts(b) {
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

// parts returns the bundle without adapters, then each bucket of adapters.
func parts(b *schema.Bundle) []*schema.Bundle {
	rest := &schema.Bundle{
		Halls: b.Halls, Bases: b.Bases, Services: b.Services, Targets: b.Targets,
		Priorities: b.Priorities, Weights: b.Weights, Limits: b.Limits,
	}
	return append([]*schema.Bundle{rest}, buckets(b.Adapters)...)
}

func buckets(adapters []*schema.Adapter) []*schema.Bundle {
	count := 1
	for count*adaptersPerBucket < len(adapters) {
		count *= 2
	}
	out := make([]*schema.Bundle, count)
	for i := range out {
		out[i] = &schema.Bundle{}
	}
	for _, a := range adapters {
		at := xxhash.Sum64String(a.Name) % uint64(count)
		out[at].Adapters = append(out[at].Adapters, a)
	}
	for _, b := range out {
		sort.Slice(b.Adapters, func(i, j int) bool { return b.Adapters[i].Name < b.Adapters[j].Name })
	}
	return out
}

// DecodeManifest decodes the manifest that a signed one carries and checks its
// form. It does not check signatures.
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

// CheckChunk reports whether data is the chunk of that hash.
func CheckChunk(hash, data []byte) error {
	sum := sha256.Sum256(data)
	if !bytes.Equal(sum[:], hash) {
		return errors.Newf("chunk %x: the data has hash %x", hash, sum[:])
	}
	return nil
}

// Join merges the chunks of a manifest. get returns a chunk's data by its hash.
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

// Get returns a chunk by its hash.
func (c Chunks) Get(hash []byte) ([]byte, error) {
	data, ok := c[hex.EncodeToString(hash)]
	if !ok {
		return nil, errors.Newf("chunk %x is missing", hash)
	}
	return data, nil
}

// EncodeManifest puts version, author and time into a manifest and encodes it for signing.
func EncodeManifest(m *schema.Manifest) (*schema.SignedManifest, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, errors.Wrap(err, "encode manifest")
	}
	return &schema.SignedManifest{Manifest: data}, nil
}
