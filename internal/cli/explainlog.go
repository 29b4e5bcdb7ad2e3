package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/explain"
)

func explainLogCommand() *cobra.Command {
	var id string
	cmd := &cobra.Command{
		Use:   "explain-log [--id REQUEST] [FILE...]",
		Short: "Tell from the logs of edge VMs what happened to a request, or count why requests failed",
		Long: "Reads the logs of one or more edge VMs (standard input without files).\n" +
			"With --id it prints the life of that request across VMs and what ended it,\n" +
			"without it the causes of all requests that did not go well.",
		RunE: func(cmd *cobra.Command, files []string) error {
			lines, skipped, err := readLogs(cmd.InOrStdin(), files)
			if err != nil {
				return err
			}
			if skipped > 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "%d lines are no events of an edge VM\n", skipped)
			}
			if id == "" {
				return printCauses(cmd.OutOrStdout(), explain.Causes(lines))
			}
			return printExplainedRequest(cmd.OutOrStdout(), lines, id)
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the request")
	return cmd
}

// readLogs reads events from the named files, or from in if there are none, and sorts
// them by time. It also returns the number of lines that are not events.
func readLogs(in io.Reader, files []string) (lines []explain.Line, skipped int, err error) {
	if len(files) == 0 {
		lines, skipped, err = explain.Read(in)
	}
	for _, name := range files {
		part, n, err := readLog(name)
		if err != nil {
			return nil, 0, err
		}
		lines = append(lines, part...)
		skipped += n
	}
	explain.Sort(lines)
	return lines, skipped, err
}

func readLog(name string) ([]explain.Line, int, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, 0, errors.Wrap(err, "open log")
	}
	defer func() { _ = f.Close() }() // the file is only read
	return explain.Read(f)
}

func printCauses(w io.Writer, causes []explain.Cause) error {
	if len(causes) == 0 {
		_, err := fmt.Fprintln(w, "no request in these logs went badly")
		return err
	}
	if _, err := fmt.Fprintf(w, "%7s  %-10s %-20s %-24s %s\n", "count", "outcome", "reason", "route", "example"); err != nil {
		return err
	}
	for _, c := range causes {
		if _, err := fmt.Fprintf(w, "%7d  %-10s %-20s %-24s %s\n", c.Count, c.Outcome, c.Reason, c.Route, c.Example); err != nil {
			return err
		}
	}
	return nil
}

// printExplainedRequest prints the events that concern a request, in order of time,
// and the conclusion. Lines of the request itself are marked with an asterisk.
func printExplainedRequest(w io.Writer, lines []explain.Line, id string) error {
	explanation, err := explain.Explain(lines, id)
	if err != nil {
		return err
	}
	all := append(append([]explain.Line(nil), explanation.RelatedLines...), explanation.RequestLines...)
	explain.Sort(all)
	for _, l := range all {
		mark := " "
		if l.Fields["id"] == id {
			mark = "*"
		}
		if _, err := fmt.Fprintln(w, mark, l); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintln(w, explanation.Conclusion)
	return err
}
