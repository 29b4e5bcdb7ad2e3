package bundle

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/schema"
)

func parseExample(t testing.TB) *schema.Bundle {
	t.Helper()
	src, err := Parse("b.ini", []byte(Example))
	assert.NilError(t, err)
	return src.Bundle
}

// TestParseReportsFindings makes one edit to the example per row and expects the
// finding for it.
func TestParseReportsFindings(t *testing.T) {
	for _, row := range []struct {
		name, old, new, want string
	}{
		{"unknown base", "base = base-8b\nversions = v3", "base = base-9b\nversions = v3", `[adapter "cab-answers"] base: "base-9b" is not declared`},
		{"duplicate version", "versions = v1, v2", "versions = v1, v1", `[adapter "plough-notes"] versions: version "v1" stands twice`},
		{"no version", "versions = v3", "versions =", `[adapter "cab-answers"] versions: is required`},
		{"adapter name with @", `[adapter "cab-answers"]`, `[adapter "cab@answers"]`, `[adapter "cab@answers"]: name "cab@answers" may hold letters, digits and - _ . / only`},
		{"duplicate adapter", `[adapter "cab-answers"]`, `[adapter "plough-notes"]`, `[adapter "plough-notes"]: stands already at b.ini:`},
		{"missing fencing", "batch = 16\nfencing = ignores", "batch = 16", `[target "koege-llm-1"] fencing: is required: does the engine refuse or ignore old fencing numbers?`},
		{"unknown fencing", "fencing = ignores", "fencing = maybe", `fencing: "maybe" is none of refuses, ignores`},
		{"duplicate address", "address = 127.0.0.1:9003", "address = 127.0.0.1:9002", `[target "koege-llm-1"] address: 127.0.0.1:9002 belongs to target "roskilde-llm-1" already`},
		{"host name as address", "address = 127.0.0.1:9003", "address = koege:9003", `[target "koege-llm-1"] address: "koege:9003" is not an IP number with a port`},
		{"weight above one", "load_stall = 0.7", "load_stall = 7", `[weights] load_stall: 7 is not between 0 and 1`},
		{"weight is NaN", "load_stall = 0.7", "load_stall = NaN", `[weights] load_stall: NaN is not between 0 and 1`},
		{"unknown target kind", "kind = service", "kind = servant", `kind: "servant" is none of engine, service`},
		{"unknown section", "[weights]", "[weight]", `[weight]: unknown section; did you mean "weights"?`},
	} {
		t.Run(row.name, func(t *testing.T) {
			assert.Assert(t, strings.Contains(Example, row.old))
			_, err := Parse("b.ini", []byte(strings.Replace(Example, row.old, row.new, 1)))
			var found *findings.Error
			assert.Assert(t, errors.As(err, &found), "%v", err)
			assert.Assert(t, strings.Contains(found.Error(), row.want), "%v", err)
		})
	}
}

func TestJoinRestoresSplitBundle(t *testing.T) {
	b := parseExample(t)
	for i := range 3000 {
		b.Adapters = append(b.Adapters, &schema.Adapter{Name: fmt.Sprintf("x%d", i), Base: "base-8b", Versions: []string{"v1"}})
	}
	m, chunks, err := Split(b)
	assert.NilError(t, err)
	joined, err := Join(m, chunks.Get)
	assert.NilError(t, err)
	assert.Equal(t, len(Diff(b, joined)), 0)
	b.Adapters[7].Versions = []string{"v9"}
	m2, chunks2, err := Split(b)
	assert.NilError(t, err)
	newChunks := 0
	for hash := range chunks2 {
		if chunks[hash] == nil {
			newChunks++
		}
	}
	assert.Equal(t, newChunks, 1, "one changed adapter must change one chunk of %d", len(m2.Chunks))
}

// TestDamage checks that a published bundle is rejected if its manifest, signatures
// or chunks were corrupted.
func TestDamage(t *testing.T) {
	private, public, err := NewKey("ops-a")
	assert.NilError(t, err)
	otherPrivate, _, err := NewKey("ops-a")
	assert.NilError(t, err)
	trust, err := NewTrust(&schema.BundleTrust{PublicKeys: []string{public}, Required: 1})
	assert.NilError(t, err)
	sign := func(t *testing.T, key []byte, s *schema.SignedManifest) {
		id, priv, err := ParsePrivateKey(key)
		assert.NilError(t, err)
		Sign(s, id, priv)
	}
	for _, row := range []struct {
		name   string
		damage func(*testing.T, *schema.SignedManifest, Chunks)
		ok     bool
	}{
		{"undamaged", func(*testing.T, *schema.SignedManifest, Chunks) {}, true},
		{"corrupted manifest", func(_ *testing.T, s *schema.SignedManifest, _ Chunks) { s.Manifest[9] ^= 1 }, false},
		{"corrupted signature", func(_ *testing.T, s *schema.SignedManifest, _ Chunks) { s.Signatures[0].Value[3] ^= 1 }, false},
		{"no signature", func(_ *testing.T, s *schema.SignedManifest, _ Chunks) { s.Signatures = nil }, false},
		{"other key with the same id", func(t *testing.T, s *schema.SignedManifest, _ Chunks) {
			s.Signatures = nil
			sign(t, otherPrivate, s)
		}, false},
		{"truncated chunk", func(_ *testing.T, _ *schema.SignedManifest, c Chunks) {
			for hash, data := range c {
				c[hash] = data[:len(data)/2]
			}
		}, false},
		{"missing chunk", func(_ *testing.T, _ *schema.SignedManifest, c Chunks) { clear(c) }, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			m, chunks, err := Split(parseExample(t))
			assert.NilError(t, err)
			m.Version = 3
			s, err := EncodeManifest(m)
			assert.NilError(t, err)
			sign(t, private, s)
			row.damage(t, s, chunks)
			decoded, err := DecodeManifest(s)
			if err == nil {
				err = trust.Verify(s)
			}
			if err == nil {
				_, err = Join(decoded, chunks.Get)
			}
			assert.Equal(t, err == nil, row.ok, "%v", err)
		})
	}
}

// TestVerifyCountsDistinctKeys checks that two signatures by the same key do not
// count as two signers.
func TestVerifyCountsDistinctKeys(t *testing.T) {
	privateA, publicA, err := NewKey("ops-a")
	assert.NilError(t, err)
	_, publicB, err := NewKey("ops-b")
	assert.NilError(t, err)
	trust, err := NewTrust(&schema.BundleTrust{PublicKeys: []string{publicA, publicB}, Required: 2})
	assert.NilError(t, err)
	s, err := EncodeManifest(&schema.Manifest{Version: 1})
	assert.NilError(t, err)
	id, key, err := ParsePrivateKey(privateA)
	assert.NilError(t, err)
	Sign(s, id, key)
	s.Signatures = append(s.Signatures, s.Signatures[0])
	assert.ErrorContains(t, trust.Verify(s), "2 required")
}

// BenchmarkCheck reads, checks and splits a source of 60,000 adapters in 60 files.
func BenchmarkCheck(b *testing.B) {
	dir := b.TempDir()
	assert.NilError(b, os.WriteFile(filepath.Join(dir, "00.ini"), []byte(Example), 0o600))
	for file := range 60 {
		var text strings.Builder
		for i := range 1000 {
			fmt.Fprintf(&text, "[adapter \"caller-%02d-%04d\"]\nbase = base-8b\nversions = v1, v2\n\n", file, i)
		}
		assert.NilError(b, os.WriteFile(filepath.Join(dir, fmt.Sprintf("a%02d.ini", file)), []byte(text.String()), 0o600))
	}
	for b.Loop() {
		src, err := ReadDir(dir)
		assert.NilError(b, err)
		_, _, err = Split(src.Bundle)
		assert.NilError(b, err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(Example))
	f.Add([]byte("[adapter \"a\nbase=b"))
	f.Add([]byte("[hall]\n[hall \"\"]\n=\n[limits]\nqueue_per_target = 99999999999"))
	f.Fuzz(func(t *testing.T, data []byte) {
		src, err := Parse("fuzz.ini", data)
		if err != nil {
			return
		}
		if _, _, err := Split(src.Bundle); err != nil {
			t.Fatalf("Split failed on a bundle that Parse accepted: %v", err)
		}
	})
}

func FuzzManifest(f *testing.F) {
	m, chunks, err := Split(parseExample(f))
	assert.NilError(f, err)
	m.Version = 1
	s, err := EncodeManifest(m)
	assert.NilError(f, err)
	data, err := proto.Marshal(s)
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{0x0a, 0x01})
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := &schema.SignedManifest{}
		if proto.Unmarshal(data, s) != nil {
			return
		}
		if m, err := DecodeManifest(s); err == nil {
			_, _ = Join(m, chunks.Get)
		}
	})
}
