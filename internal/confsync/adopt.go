package confsync

import (
	"bytes"
	"context"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/schema"
)

// adopt verifies a manifest, fetches what it lacks and puts it in force. A
// manifest that is not newer is not an error.
func (s *Sync) adopt(ctx context.Context, signed *schema.SignedManifest, get chunkSource) error {
	s.fetch.Lock()
	defer s.fetch.Unlock()
	m, err := bundle.DecodeManifest(signed)
	if err != nil {
		return err
	}
	if in, _ := s.Versions(); m.Version <= in {
		return s.checkSame(m.Version, in, signed)
	}
	if err := s.cfg.Trust.Verify(signed); err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	chunks, err := s.gather(ctx, m, get)
	if err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	b, err := bundle.Join(m, chunks.Get)
	if err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	// The version is named to others only once this VM decides by it.
	s.cfg.OnBundle(m, b)
	s.mu.Lock()
	s.gate.Accept(m.Version)
	s.manifest, s.chunks = signed, chunks
	s.mu.Unlock()
	s.tell(ctx)
	return nil
}

// checkSame reports two different bundles that were given the same version.
func (s *Sync) checkSame(version, inForce uint64, signed *schema.SignedManifest) error {
	if version != inForce || bytes.Equal(signed.Manifest, s.Manifest().GetManifest()) {
		return nil
	}
	return errors.Newf("bundle %d: another bundle with this version is in force", version)
}

// chunkSource fetches a chunk by its hash.
type chunkSource func(ctx context.Context, hash []byte) ([]byte, error)

// gather returns the chunks of a manifest, fetching those that are not held.
func (s *Sync) gather(ctx context.Context, m *schema.Manifest, get chunkSource) (bundle.Chunks, error) {
	out := bundle.Chunks{}
	for _, hash := range m.Chunks {
		data, ok := s.Chunk(hash)
		if !ok {
			var err error
			if data, err = s.fetchChunk(ctx, hash, get); err != nil {
				return nil, err
			}
		}
		out[hex.EncodeToString(hash)] = data
	}
	return out, nil
}

// fetchChunk asks the given source, and then the platform.
func (s *Sync) fetchChunk(ctx context.Context, hash []byte, get chunkSource) ([]byte, error) {
	data, err := get(ctx, hash)
	if err == nil && bundle.CheckChunk(hash, data) == nil {
		return data, nil
	}
	data, err = s.chunkFromPlatform(ctx, hash)
	if err != nil {
		return nil, err
	}
	return data, bundle.CheckChunk(hash, data)
}
