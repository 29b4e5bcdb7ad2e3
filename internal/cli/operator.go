package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/dev"
)

// Operator runs the operators' command line and returns the exit code.
func Operator(args []string, in io.Reader, out, errOut io.Writer) int {
	root := &cobra.Command{
		Use:   "junctionctl",
		Short: "The operators' tool of junctionfold",
	}
	root.AddCommand(bundleCommand(), keysCommand(), statusCommand(), edgeStatusCommand(), explainCommand(), explainLogCommand(), auditCommand(), standinCommand(), devCommand(), versionCommand())
	return run(root, args, in, out, errOut)
}

func devCommand() *cobra.Command {
	var check, verbose bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole fleet with stand-ins in this process",
		Args:  cobra.NoArgs,
	}
	asJSON := jsonFlag(cmd)
	cmd.Flags().BoolVar(&check, "check", false, "send requests, report, and exit")
	cmd.Flags().BoolVarP(&verbose, "verbose", "v", false, "write the VMs' events to standard error")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		opts := dev.Options{}
		if verbose {
			opts.Log = cmd.ErrOrStderr()
		}
		c, err := dev.Start(opts)
		if err != nil {
			return err
		}
		defer c.Close()
		if check {
			return runChecks(cmd, c, *asJSON)
		}
		return runUntilInterrupted(cmd, c)
	}
	return cmd
}

// runChecks runs the cluster's checks and prints the result of each.
func runChecks(cmd *cobra.Command, c *dev.Cluster, asJSON bool) error {
	out := cmd.OutOrStdout()
	ok := c.Check(cmd.Context(), func(r dev.CheckResult) {
		if asJSON {
			_ = writeJSONLine(out, r)
			return
		}
		outcome := "ok"
		if !r.OK {
			outcome = "FAILED"
		}
		fmt.Fprintf(out, "%-6s %-36s %5d ms  %s\n", outcome, r.Name, r.TookMs, r.Detail)
	})
	if !ok {
		return errReported
	}
	return nil
}

// runUntilInterrupted prints the cluster's addresses and waits for SIGINT or SIGTERM.
func runUntilInterrupted(cmd *cobra.Command, c *dev.Cluster) error {
	out := cmd.OutOrStdout()
	for _, vm := range c.VMs {
		fmt.Fprintf(out, "%s  door %s  operators %s (token %s)\n", vm.ID, vm.FrontendURL(), vm.OperatorURL(), dev.OperatorToken)
	}
	fmt.Fprintf(out, "\ntry:\n  curl -N %s/v1/chat/completions -d '%s'\n\nCtrl-C drains and stops.\n",
		c.VMs[0].FrontendURL(), dev.ChatBody("plough-notes@v2", "which road first?", true))
	<-cmd.Context().Done()
	fmt.Fprintln(out, "draining")
	return nil
}
