package dev

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/schema"
)

// SignedValues builds and signs a version of a bundle. It returns the manifest and the
// chunks by their keys in the configuration service.
func SignedValues(b *schema.Bundle, version uint64, privatePEM []byte) (map[string][]byte, error) {
	manifest, chunks, err := bundle.Split(b)
	if err != nil {
		return nil, err
	}
	manifest.Version, manifest.Author = version, "dev"
	manifest.CreatedUnixMs = time.Now().UnixMilli()
	signed, err := bundle.EncodeManifest(manifest)
	if err != nil {
		return nil, err
	}
	id, key, err := bundle.ParsePrivateKey(privatePEM)
	if err != nil {
		return nil, err
	}
	bundle.Sign(signed, id, key)
	data, err := proto.Marshal(signed)
	if err != nil {
		return nil, errors.Wrap(err, "encode signed manifest")
	}
	values := map[string][]byte{bundle.ManifestKey: data}
	for i, hash := range manifest.Chunks {
		data, err := chunks.Get(hash)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk %d", i)
		}
		values[bundle.ChunkKey(hash)] = data
	}
	return values, nil
}
