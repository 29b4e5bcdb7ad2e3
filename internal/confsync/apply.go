package confsync

import (
	"bytes"
	"context"
	"encoding/hex"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/schema"
)

// applyManifest verifies a manifest, fetches the chunks that this VM lacks and
// applies the bundle. It ignores an older manifest. A different manifest with the
// version in force is an error.
func (s *Sync) applyManifest(ctx context.Context, signed *schema.SignedManifest, fetch chunkFetcher) error {
	s.fetchMu.Lock()
	defer s.fetchMu.Unlock()
	m, err := bundle.DecodeManifest(signed)
	if err != nil {
		return err
	}
	if inForce, _ := s.Versions(); m.Version <= inForce {
		return s.checkVersionConflict(m.Version, inForce, signed)
	}
	if err := s.cfg.Trust.Verify(signed); err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	chunks, err := s.collectChunks(ctx, m, fetch)
	if err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	b, err := bundle.Join(m, chunks.Get)
	if err != nil {
		return errors.Wrapf(err, "bundle %d", m.Version)
	}
	// OnBundle is called before the version changes, so that this VM reports a
	// version to peers only after its decisions are based on it.
	s.cfg.OnBundle(m, b)
	s.mu.Lock()
	s.tracker.Accept(m.Version)
	s.manifest, s.chunks = signed, chunks
	s.mu.Unlock()
	s.notifyPeers(ctx)
	return nil
}

// checkVersionConflict returns an error if a manifest has the version in force but
// different content.
func (s *Sync) checkVersionConflict(version, inForce uint64, signed *schema.SignedManifest) error {
	if version != inForce || bytes.Equal(signed.Manifest, s.Manifest().GetManifest()) {
		return nil
	}
	return errors.Newf("bundle %d: another bundle with this version is in force", version)
}

// chunkFetcher fetches a chunk by its hash from one source.
type chunkFetcher func(ctx context.Context, hash []byte) ([]byte, error)

// collectChunks returns the chunks of a manifest. It fetches those that are not in
// the bundle in force.
func (s *Sync) collectChunks(ctx context.Context, m *schema.Manifest, fetch chunkFetcher) (bundle.Chunks, error) {
	out := bundle.Chunks{}
	for _, hash := range m.Chunks {
		data, ok := s.Chunk(hash)
		if !ok {
			var err error
			if data, err = s.fetchChunk(ctx, hash, fetch); err != nil {
				return nil, err
			}
		}
		out[hex.EncodeToString(hash)] = data
	}
	return out, nil
}

// fetchChunk fetches a chunk from the given source, or from the platform if the
// source fails or returns data with a different hash.
func (s *Sync) fetchChunk(ctx context.Context, hash []byte, fetch chunkFetcher) ([]byte, error) {
	data, err := fetch(ctx, hash)
	if err == nil && bundle.CheckChunk(hash, data) == nil {
		return data, nil
	}
	data, err = s.chunkFromPlatform(ctx, hash)
	if err != nil {
		return nil, err
	}
	return data, bundle.CheckChunk(hash, data)
}
