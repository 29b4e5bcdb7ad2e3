package cli

import (
	"fmt"
	"io"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/logging"
	"github.com/junctionfold/junctionfold/internal/node"
	"github.com/junctionfold/junctionfold/internal/settings"
)

// Daemon runs the daemon's command line and returns the exit code.
func Daemon(args []string, in io.Reader, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:   "junctionfold",
		Short: "One VM of the junctionfold serving layer",
	}
	root.AddCommand(serveCommand(), edgeCommand(), settingsCommand(), versionCommand())
	return run(root, args, in, out, errOut)
}

func serveCommand() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Serve callers until interrupted, then drain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := settings.Load(file)
			if err != nil {
				return err
			}
			if s.Vm.MemoryMb > 0 {
				setMemoryLimit(s.Vm.MemoryMb)
			}
			n, err := node.New(s, logging.New(cmd.ErrOrStderr(), s.Log.Level, s.Vm.Id))
			if err != nil {
				return err
			}
			return n.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file (INI)")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func settingsCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "settings [FILE]",
		Short: "Print an annotated settings file, or check one",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				_, err := fmt.Fprint(cmd.OutOrStdout(), settings.Example)
				return err
			}
			if _, err := settings.Load(args[0]); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), args[0]+": ok")
			return err
		},
	}
	return cmd
}

// Version is the product's version.
const Version = "0.1.0"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "junctionfold %s %s\n", Version, runtime.Version())
			return err
		},
	}
}
