// Package cli implements the command lines of the daemon and of the operators'
// tool.
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/findings"
)

// Exit codes.
const (
	exitOK       = 0
	exitFailed   = 1
	exitFindings = 2
)

// errReported makes run return exitFailed without printing an error. Commands
// return it when they have reported the failure themselves.
var errReported = errors.New("")

// run executes a command line and returns its exit code. SIGINT and SIGTERM cancel
// the command's context. Findings are printed one per line and result in
// exitFindings. A reader that closes the output pipe early is not an error.
func run(root *cobra.Command, args []string, in io.Reader, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root.SetArgs(args)
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errOut)
	root.SilenceErrors = true
	root.SilenceUsage = true
	err := root.ExecuteContext(ctx)
	var invalid *findings.Error
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return exitOK
	case errors.Is(err, errReported):
		return exitFailed
	case errors.As(err, &invalid):
		fmt.Fprintln(errOut, invalid.Error())
		return exitFindings
	}
	fmt.Fprintln(errOut, "error:", err)
	return exitFailed
}

// jsonFlag adds the flag --json to a command and returns its value.
func jsonFlag(cmd *cobra.Command) *bool {
	return cmd.Flags().Bool("json", false, "write JSON")
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeJSONLine writes v as JSON on a single line.
func writeJSONLine(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
