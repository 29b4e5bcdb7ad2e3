package cli

import (
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/schema"
)

func bundleCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "bundle",
		Short: "Write, check, build, sign and compare configuration bundles",
		Long: `A bundle is written as INI, checked, and built into a signed manifest and
chunks. The tool writes files; publish each under its path in the directory with
the platform's own means, chunks first and the manifest last.`,
	}
	cmd.AddCommand(bundleInit(), bundleCheck(), bundleBuild(), bundleSign(), bundleVerify(), bundleDiff(), bundleShow())
	return cmd
}

func bundleInit() *cobra.Command {
	return &cobra.Command{
		Use:   "init [FILE]",
		Short: "Print an annotated bundle source, or write it to a new file",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				_, err := fmt.Fprint(cmd.OutOrStdout(), bundle.Example)
				return err
			}
			return writeNewFile(args[0], []byte(bundle.Example), 0o644)
		},
	}
}

// writeNewFile creates a file and writes data to it. It fails if the file exists.
func writeNewFile(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return errors.Wrap(err, "write file")
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "write file")
	}
	return errors.Wrap(f.Close(), "write file")
}

func bundleCheck() *cobra.Command {
	return &cobra.Command{
		Use:   "check SOURCE",
		Short: "Check a bundle source: a file, or a directory of *.ini files",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := bundle.ReadDir(args[0])
			if err != nil {
				return err
			}
			b := src.Bundle
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "ok: %d adapters, %d services, %d targets, %d halls\n",
				len(b.Adapters), len(b.Services), len(b.Targets), len(b.Halls))
			return err
		},
	}
}

func bundleBuild() *cobra.Command {
	var dir, author, comment string
	var version uint64
	cmd := &cobra.Command{
		Use:   "build SOURCE",
		Short: "Build a bundle version, still unsigned, into a directory",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			src, err := bundle.ReadDir(args[0])
			if err != nil {
				return err
			}
			manifest, chunks, err := bundle.Split(src.Bundle)
			if err != nil {
				return err
			}
			manifest.Version, manifest.Author, manifest.Comment = version, author, comment
			manifest.CreatedUnixMs = time.Now().UnixMilli()
			if err := writeBuiltBundle(dir, manifest, chunks); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d, %d chunks\n", dir, version, len(manifest.Chunks))
			return err
		},
	}
	cmd.Flags().StringVar(&dir, "out", "", "directory to write to")
	cmd.Flags().StringVar(&author, "author", "", "who made the change, for the audit trail")
	cmd.Flags().StringVar(&comment, "comment", "", "why, for the audit trail")
	cmd.Flags().Uint64Var(&version, "version", 0, "version; must be higher than the one in force")
	for _, f := range []string{"out", "author", "version"} {
		_ = cmd.MarkFlagRequired(f)
	}
	return cmd
}

func writeBuiltBundle(dir string, m *schema.Manifest, chunks bundle.Chunks) error {
	if m.Version == 0 {
		return errors.New("--version must be above zero")
	}
	for hash, data := range chunks {
		raw, err := hex.DecodeString(hash)
		if err != nil {
			return errors.Wrap(err, "chunk hash")
		}
		if err := writeValue(dir, bundle.ChunkKey(raw), data); err != nil {
			return err
		}
	}
	signed, err := bundle.EncodeManifest(m)
	if err != nil {
		return err
	}
	return writeManifest(dir, signed)
}

// writeValue writes the value of a configuration service key to the file below
// dir that has the key as its path.
func writeValue(dir, key string, data []byte) error {
	file := filepath.Join(dir, filepath.FromSlash(key))
	if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
		return errors.Wrap(err, "make directory")
	}
	return errors.Wrap(os.WriteFile(file, data, 0o644), "write value")
}

func writeManifest(dir string, m *schema.SignedManifest) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode signed manifest")
	}
	return writeValue(dir, bundle.ManifestKey, data)
}

// builtBundle is a built bundle as read from its directory.
type builtBundle struct {
	signed   *schema.SignedManifest
	manifest *schema.Manifest
	bundle   *schema.Bundle
}

// readBuiltBundle reads and validates a built bundle. It does not verify signatures.
func readBuiltBundle(dir string) (*builtBundle, error) {
	data, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(bundle.ManifestKey)))
	if err != nil {
		return nil, errors.Wrap(err, "read manifest")
	}
	out := &builtBundle{signed: &schema.SignedManifest{}}
	if err := proto.Unmarshal(data, out.signed); err != nil {
		return nil, errors.Wrapf(err, "%s: decode signed manifest", dir)
	}
	if out.manifest, err = bundle.DecodeManifest(out.signed); err != nil {
		return nil, errors.Wrap(err, dir)
	}
	out.bundle, err = bundle.Join(out.manifest, func(hash []byte) ([]byte, error) {
		data, err := os.ReadFile(filepath.Join(dir, filepath.FromSlash(bundle.ChunkKey(hash))))
		return data, errors.Wrap(err, "read chunk")
	})
	return out, errors.Wrap(err, dir)
}

func bundleSign() *cobra.Command {
	var keyFile string
	cmd := &cobra.Command{
		Use:   "sign DIR",
		Short: "Add a signature to a built bundle",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			pem, err := os.ReadFile(keyFile)
			if err != nil {
				return errors.Wrap(err, "read key")
			}
			id, key, err := bundle.ParsePrivateKey(pem)
			if err != nil {
				return errors.Wrap(err, keyFile)
			}
			b, err := readBuiltBundle(args[0])
			if err != nil {
				return err
			}
			bundle.Sign(b.signed, id, key)
			if err := writeManifest(args[0], b.signed); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "%s: version %d signed by %s, %d signatures\n", args[0], b.manifest.Version, id, len(b.signed.Signatures))
			return err
		},
	}
	cmd.Flags().StringVar(&keyFile, "key", "", "private key file")
	_ = cmd.MarkFlagRequired("key")
	return cmd
}

func bundleVerify() *cobra.Command {
	var keys []string
	var required int32
	cmd := &cobra.Command{
		Use:   "verify DIR",
		Short: "Check a built bundle's chunks and signatures",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			trust, err := bundle.NewTrust(&schema.BundleTrust{PublicKeys: keys, Required: required})
			if err != nil {
				return err
			}
			b, err := readBuiltBundle(args[0])
			if err != nil {
				return err
			}
			if err := trust.Verify(b.signed); err != nil {
				return errors.Wrap(err, args[0])
			}
			_, err = fmt.Fprintf(cmd.OutOrStdout(), "ok: version %d by %s, signed by %s\n", b.manifest.Version, b.manifest.Author, strings.Join(trust.Signers(b.signed), ", "))
			return err
		},
	}
	cmd.Flags().StringSliceVar(&keys, "public-key", nil, "trusted key as id:base64; may be repeated")
	cmd.Flags().Int32Var(&required, "required", 1, "signatures needed")
	_ = cmd.MarkFlagRequired("public-key")
	return cmd
}

func bundleDiff() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "diff OLD NEW",
		Short: "Show what a new bundle changes; each side is a source or a built directory",
		Args:  cobra.ExactArgs(2),
	}
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		oldBundle, err := readBundle(args[0])
		if err != nil {
			return err
		}
		newBundle, err := readBundle(args[1])
		if err != nil {
			return err
		}
		changes := bundle.Diff(oldBundle, newBundle)
		if *asJSON {
			return writeJSON(cmd.OutOrStdout(), changes)
		}
		for _, c := range changes {
			if _, err := fmt.Fprintln(cmd.OutOrStdout(), c); err != nil {
				return err
			}
		}
		return nil
	}
	return cmd
}

// readBundle reads a bundle from the directory of a built bundle, or from its
// source if path holds no manifest.
func readBundle(path string) (*schema.Bundle, error) {
	if _, err := os.Stat(filepath.Join(path, filepath.FromSlash(bundle.ManifestKey))); err == nil {
		b, err := readBuiltBundle(path)
		if err != nil {
			return nil, err
		}
		return b.bundle, nil
	}
	src, err := bundle.ReadDir(path)
	if err != nil {
		return nil, err
	}
	return src.Bundle, nil
}

// bundleSummary is the output of bundle show.
type bundleSummary struct {
	Version    uint64   `json:"version"`
	Author     string   `json:"author"`
	Comment    string   `json:"comment"`
	Created    string   `json:"created"`
	Signatures []string `json:"signatures"`
	Chunks     int      `json:"chunks"`
	Bytes      int      `json:"bytes"`
	Adapters   int      `json:"adapters"`
	Services   int      `json:"services"`
	Targets    int      `json:"targets"`
	Halls      int      `json:"halls"`
}

func bundleShow() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "show DIR",
		Short: "Show a built bundle's version, signatures and size",
		Args:  cobra.ExactArgs(1),
	}
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		b, err := readBuiltBundle(args[0])
		if err != nil {
			return err
		}
		s := summarize(b)
		if *asJSON {
			return writeJSON(cmd.OutOrStdout(), s)
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(),
			"version     %d\nauthor      %s\ncomment     %s\ncreated     %s\nsignatures  %s\nchunks      %d (%d bytes)\nadapters    %d\nservices    %d\ntargets     %d\nhalls       %d\n",
			s.Version, s.Author, s.Comment, s.Created, strings.Join(s.Signatures, ", "),
			s.Chunks, s.Bytes, s.Adapters, s.Services, s.Targets, s.Halls)
		return err
	}
	return cmd
}

func summarize(b *builtBundle) bundleSummary {
	s := bundleSummary{
		Version: b.manifest.Version, Author: b.manifest.Author, Comment: b.manifest.Comment,
		Created: time.UnixMilli(b.manifest.CreatedUnixMs).UTC().Format(time.RFC3339),
		Chunks:  len(b.manifest.Chunks), Adapters: len(b.bundle.Adapters),
		Services: len(b.bundle.Services), Targets: len(b.bundle.Targets), Halls: len(b.bundle.Halls),
	}
	for _, size := range b.manifest.Sizes {
		s.Bytes += int(size)
	}
	for _, sig := range b.signed.Signatures {
		s.Signatures = append(s.Signatures, sig.KeyId)
	}
	return s
}
