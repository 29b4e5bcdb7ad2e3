package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/schema"
)

// standinFlags holds the flags of the standin command.
type standinFlags struct {
	listen     string
	vms        []string
	orderToken string
	loadTime   time.Duration
	tokenTime  time.Duration
}

func standinCommand() *cobra.Command {
	var f standinFlags
	cmd := &cobra.Command{
		Use:   "standin DIR",
		Short: "Run stand-ins for the platform and all targets of a built bundle",
		Long: `Publishes the built bundle in DIR and the given VM list at --listen, and runs a
stand-in at the address of each of the bundle's targets, which must be loopback.`,
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runStandins(cmd, args[0], f) },
	}
	cmd.Flags().StringVar(&f.listen, "listen", "127.0.0.1:8500", "address of the configuration service and the VM list")
	cmd.Flags().StringSliceVar(&f.vms, "vm", nil, "a VM as id=hall=peer-address; may be repeated")
	cmd.Flags().StringVar(&f.orderToken, "order-token", "change-me", "token that targets with checks_orders want")
	cmd.Flags().DurationVar(&f.loadTime, "load-time", 300*time.Millisecond, "time of one adapter load")
	cmd.Flags().DurationVar(&f.tokenTime, "token-time", 10*time.Millisecond, "time of one token")
	_ = cmd.MarkFlagRequired("vm")
	return cmd
}

// runStandins serves the stand-ins of a built bundle until the context ends or one of
// them fails.
func runStandins(cmd *cobra.Command, dir string, f standinFlags) error {
	b, err := readBuiltBundle(dir)
	if err != nil {
		return err
	}
	p := standin.NewPlatform()
	values, err := readValues(dir)
	if err != nil {
		return err
	}
	p.Publish(values)
	vms, err := parseVMs(f.vms)
	if err != nil {
		return err
	}
	p.SetVMs(vms)
	failed := make(chan error, len(b.bundle.Targets)+1)
	if err := serveLoopback(cmd.Context(), f.listen, p, failed); err != nil {
		return err
	}
	weights := standin.NewWeightStore(f.loadTime)
	for _, t := range b.bundle.Targets {
		if err := serveLoopback(cmd.Context(), t.Address, newStandin(t, weights, f), failed); err != nil {
			return err
		}
	}
	fmt.Fprintf(cmd.OutOrStdout(), "bundle %d, %d targets, platform at %s\n", b.manifest.Version, len(b.bundle.Targets), f.listen)
	select {
	case <-cmd.Context().Done():
		return nil
	case err := <-failed:
		return err
	}
}

func newStandin(t *schema.Target, weights *standin.WeightStore, f standinFlags) http.Handler {
	if t.Kind == schema.TargetKind_TARGET_KIND_SERVICE {
		return standin.NewService()
	}
	cfg := standin.EngineConfig{
		Base: t.Base, Slots: int(t.Slots), TokenTime: f.tokenTime, Weights: weights,
		RejectsStaleTokens: t.Fencing == schema.Fencing_FENCING_REFUSES,
	}
	if t.ChecksOrders {
		cfg.OrderToken = f.orderToken
	}
	return standin.NewEngine(cfg)
}

// serveLoopback listens on address and serves h in the background until ctx ends. It
// sends an error of the server to failed. Only loopback addresses are accepted,
// because stand-ins are for use on a single machine.
func serveLoopback(ctx context.Context, address string, h http.Handler, failed chan<- error) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	if addr, ok := l.Addr().(*net.TCPAddr); !ok || !addr.IP.IsLoopback() {
		_ = l.Close()
		return errors.Newf("%s is not a loopback address", address)
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: requestTimeout}
	context.AfterFunc(ctx, func() { _ = s.Close() })
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
	return nil
}

// readValues reads the values of a built bundle, by their configuration service key.
func readValues(dir string) (map[string][]byte, error) {
	out := map[string][]byte{}
	root := filepath.Join(dir, filepath.Dir(filepath.FromSlash(bundle.ManifestKey)))
	err := filepath.WalkDir(root, func(path string, d os.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		key, err := filepath.Rel(dir, path)
		out[filepath.ToSlash(key)] = data
		return err
	})
	return out, errors.Wrap(err, "read built bundle")
}

// parseVMs parses the values of the flag --vm.
func parseVMs(values []string) ([]standin.VM, error) {
	var out []standin.VM
	for _, value := range values {
		parts := strings.Split(value, "=")
		if len(parts) != 3 {
			return nil, errors.Newf("%q is not id=hall=peer-address", value)
		}
		out = append(out, standin.VM{ID: parts[0], Zone: parts[1], Address: parts[2], State: "live"})
	}
	return out, nil
}
