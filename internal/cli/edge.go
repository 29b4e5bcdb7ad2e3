package cli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/edge"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/internal/settings"
	"github.com/junctionfold/junctionfold/platform"
)

// gcPercent makes the heap grow less between collections than by default: memory
// at its peak is charged for, processor time is plentiful.
const gcPercent = 50

// memoryShare of the VM's memory is where the collector works harder, so that
// the process stays below the limit at which it would be killed.
const memoryShare = 0.75

func edgeCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Serve as an edge VM on the users' platform until SIGTERM, then drain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// Handled from the first moment to the last: SIGHUP ends a process that
			// does not, also one that starts or drains.
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			s, err := settings.LoadEdge(file)
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			debug.SetMemoryLimit(int64(memoryShare * float64(s.Vm.MemoryMb) * (1 << 20)))
			l := events.New(cmd.OutOrStdout(), s.Log.Level, s.Vm.Id)
			defer l.Close()
			metrics := gateway.NewMetrics()
			n, err := edge.New(s, edge.Platform{
				Store:    platform.NewStore(s.Store.Address, func(kind string) { metrics.StoreCalls.Add(kind, 1) }),
				Engines:  platform.NewEngines(),
				Codec:    platform.Codec{},
				Prefixes: platform.Prefixes(),
				Decode:   platform.Decode,
				Trim:     platform.Trim,
				Clocks:   clock.System(),
			}, metrics, l)
			if err != nil {
				return err
			}
			watching, stop := context.WithCancel(context.WithoutCancel(cmd.Context()))
			defer stop()
			go watchSettings(watching, hangup, file, n, l)
			return n.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", platform.SettingsFile(), "settings file (INI)")
	return cmd
}

// settingsCheck is how often the settings file is looked at: it may change
// without a signal.
const settingsCheck = 2 * time.Second

// watchSettings reloads the settings file on a hangup and when it has changed, until the
// context ends.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, file string, n *edge.Node, l *events.Log) {
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	seen := modified(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if now := modified(file); now.Equal(seen) {
				continue
			}
		}
		seen = modified(file)
		s, err := settings.LoadEdge(file)
		if err != nil {
			l.SettingsRefused(err)
			continue
		}
		n.Reload(s)
	}
}

// modified returns when a file was last written; zero when it cannot be seen,
// which the next load reports.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
