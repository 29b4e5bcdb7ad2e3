// Package cli is the command lines of the daemon and the operators' tool.
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

// errQuiet ends a command with exitFailed when all has been said.
var errQuiet = errors.New("")

// run executes a command line and returns the exit code. Findings are printed
// one a line and give exitFindings. A reader that closes the pipe early is not
// an error.
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
	var found *findings.Error
	switch {
	case err == nil, errors.Is(err, syscall.EPIPE):
		return exitOK
	case errors.Is(err, errQuiet):
		return exitFailed
	case errors.As(err, &found):
		fmt.Fprintln(errOut, found.Error())
		return exitFindings
	}
	fmt.Fprintln(errOut, "error:", err)
	return exitFailed
}

// jsonFlag adds --json to a command.
func jsonFlag(cmd *cobra.Command) *bool {
	return cmd.Flags().Bool("json", false, "write JSON")
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeJSONLine writes v as one line.
func writeJSONLine(w io.Writer, v any) error { return json.NewEncoder(w).Encode(v) }
