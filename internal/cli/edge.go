package cli

import (
	"context"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/edge"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/internal/settings"
	"github.com/junctionfold/junctionfold/internal/vmload"
	"github.com/junctionfold/junctionfold/platform"
)

// gcPercent lets the heap grow more between garbage collections than the default of 100. A VM has
// less than one core, and its heap is small, so that collections are frequent: with 50, requests
// took a quarter more processor time for 5 MB less memory (BenchmarkDaemon). memoryLimitShare bounds
// the heap of a VM with little memory.
const gcPercent = 200

// memoryLimitShare is the share of the VM's memory that is set as the soft memory
// limit. Above it the garbage collector works harder, so that the process stays
// below the limit at which it would be killed.
const memoryLimitShare = 0.75

// setMemoryLimit sets the soft memory limit of a VM with the given memory.
func setMemoryLimit(memoryMB int32) {
	debug.SetMemoryLimit(int64(memoryLimitShare * float64(memoryMB) * (1 << 20)))
}

// processors returns the number of threads that run Go code at once for a VM with the given cores, at
// most the machine's. More threads than cores gain no time, and the idle ones that look for work and
// wake each other took a quarter of the processor time of a request (BenchmarkDaemon).
func processors(cores float64, machine int) int {
	return min(max(int(math.Ceil(cores)), 1), machine)
}

func edgeCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Serve as an edge VM on the users' platform until SIGTERM, then drain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// SIGHUP is handled from start to exit, because its default action
			// would terminate the process, also while it starts or drains.
			hangup := make(chan os.Signal, 1)
			signal.Notify(hangup, syscall.SIGHUP)
			s, err := settings.LoadEdge(file)
			if err != nil {
				return err
			}
			debug.SetGCPercent(gcPercent)
			runtime.GOMAXPROCS(processors(s.Vm.CpuShare*s.Vm.CpuCores, runtime.GOMAXPROCS(0)))
			setMemoryLimit(s.Vm.MemoryMb)
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

				ReadCounters: vmload.NewProcessReader(),
			}, metrics, l)
			if err != nil {
				return err
			}
			watchCtx, stop := context.WithCancel(context.WithoutCancel(cmd.Context()))
			defer stop()
			go watchSettings(watchCtx, hangup, file, n, l)
			return n.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", platform.SettingsFile(), "settings file (INI)")
	return cmd
}

// settingsPollInterval is the interval at which the settings file is checked for
// changes. The file may change without a SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings file on SIGHUP and when its modification time
// changes, until ctx ends. Settings that cannot be loaded are logged and not
// applied.
func watchSettings(ctx context.Context, hangup <-chan os.Signal, file string, n *edge.Node, l *events.Log) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	lastModTime := modTime(file)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
		case <-ticker.C:
			if current := modTime(file); current.Equal(lastModTime) {
				continue
			}
		}
		lastModTime = modTime(file)
		s, err := settings.LoadEdge(file)
		if err != nil {
			l.SettingsRefused(err)
			continue
		}
		n.Reload(s)
	}
}

// modTime returns the modification time of a file. It returns the zero time if the
// file cannot be examined; the next load reports the error.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
