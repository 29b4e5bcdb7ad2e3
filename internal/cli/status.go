package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/ops"
	"github.com/junctionfold/junctionfold/schema"
)

// tokenVariable is the environment variable with the operators' token.
const tokenVariable = "JUNCTIONFOLD_TOKEN"

// requestTimeout bounds each request to a VM.
const requestTimeout = 10 * time.Second

// vmFlags holds the flags that select the VM to query.
type vmFlags struct {
	address string
	token   string
}

func (f *vmFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "vm", "http://127.0.0.1:9480", "URL of the VM's operators' interface")
	cmd.Flags().StringVar(&f.token, "token", os.Getenv(tokenVariable), "operators' token; or set "+tokenVariable)
}

// get queries the VM, decodes the response into a message and also returns the
// response's JSON.
func (f *vmFlags) get(ctx context.Context, path string, query map[string]string, into proto.Message) ([]byte, error) {
	body, err := getFromVM(ctx, strings.TrimSuffix(f.address, "/")+path, f.token, query)
	if err != nil {
		return nil, err
	}
	return body, errors.Wrap(protojson.Unmarshal(body, into), "decode the VM's response")
}

// getFromVM sends a GET request to a URL of a VM and returns the response body. An
// empty token is allowed.
func getFromVM(ctx context.Context, url, token string, query map[string]string) ([]byte, error) {
	resp, err := resty.New().SetTimeout(requestTimeout).R().SetContext(ctx).
		SetAuthToken(token).SetQueryParams(query).Get(url)
	if err != nil {
		return nil, errors.Wrap(err, "send request to the VM")
	}
	if resp.IsError() {
		return nil, errors.Newf("the VM responded with %s: %s", resp.Status(), strings.TrimSpace(resp.String()))
	}
	return resp.Body(), nil
}

// vmCommand returns a command that queries a VM at path and decodes the response into
// the message into. It prints the response as JSON with --json, and calls print
// otherwise.
func vmCommand(use, short string, args cobra.PositionalArgs, path string, query func([]string) map[string]string,
	into proto.Message, print func(io.Writer) error) *cobra.Command {
	var f vmFlags
	cmd := &cobra.Command{Use: use, Short: short, Args: args}
	f.add(cmd)
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		raw, err := f.get(cmd.Context(), path, query(args), into)
		if err != nil {
			return err
		}
		if *asJSON {
			_, err = fmt.Fprintln(cmd.OutOrStdout(), string(raw))
			return err
		}
		return print(cmd.OutOrStdout())
	}
	return cmd
}

func noQuery([]string) map[string]string { return nil }

func statusCommand() *cobra.Command {
	s := &schema.Status{}
	return vmCommand("status", "Show what a VM is doing", cobra.NoArgs, ops.StatusPath, noQuery, s,
		func(w io.Writer) error { return printStatus(w, s) })
}

// table writes a table with aligned columns. rows writes tab-separated rows.
func table(w io.Writer, header string, rows func(*tabwriter.Writer)) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, header)
	rows(t)
	return t.Flush()
}

func printStatus(w io.Writer, s *schema.Status) error {
	if _, err := fmt.Fprintf(w, "vm %s in %s, ready %t, bundle %d, VM list %d\n\n", s.Vm, s.Hall, s.Ready, s.BundleVersion, s.ListVersion); err != nil {
		return err
	}
	err := table(w, "PEER\tHALL\tSTATE", func(t *tabwriter.Writer) {
		for _, p := range s.Peers {
			fmt.Fprintf(t, "%s\t%s\t%s\n", p.Vm, p.Hall, p.State)
		}
	})
	if err != nil {
		return err
	}
	fmt.Fprintln(w)
	return table(w, "TARGET\tSTATE\tFENCE\tRUNNING\tQUEUED\tHELD BY\tRESIDENT", func(t *tabwriter.Writer) {
		for _, target := range s.Targets {
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%s\t%s\n", target.Target, target.State, target.Fence, target.Running, target.Queued,
				strings.Join(target.Holds, ","), strings.Join(target.Resident, ","))
		}
	})
}

func explainCommand() *cobra.Command {
	e := &schema.Explanation{}
	return vmCommand("explain MODEL", "Show why a model's request goes where it goes", cobra.ExactArgs(1), ops.ExplainPath,
		func(args []string) map[string]string { return map[string]string{"model": args[0]} }, e,
		func(w io.Writer) error { return printExplanation(w, e) })
}

func printExplanation(w io.Writer, e *schema.Explanation) error {
	if _, err := fmt.Fprintf(w, "%s goes to %s\n\n", e.Model, e.Chosen); err != nil {
		return err
	}
	return table(w, "TARGET\tHALL\tOWNER\tPLACE\tSCORE\tREMOVED BY", func(t *tabwriter.Writer) {
		for _, c := range e.Candidates {
			rank, score := "-", "-"
			if c.RemovedBy == "" {
				rank, score = fmt.Sprint(c.Rank), fmt.Sprintf("%.2f", c.Score)
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", c.Target, c.Hall, c.Owner, rank, score, c.RemovedBy)
		}
	})
}

func auditCommand() *cobra.Command {
	a := &schema.AuditTrail{}
	return vmCommand("audit", "Show the changes that a VM has seen", cobra.NoArgs, ops.AuditPath, noQuery, a,
		func(w io.Writer) error { return printAudit(w, a) })
}

func printAudit(w io.Writer, a *schema.AuditTrail) error {
	return table(w, "TIME\tVM\tACTOR\tSUBJECT\tOLD\tNEW\tCOMMENT", func(t *tabwriter.Writer) {
		for _, e := range a.Events {
			timestamp := time.UnixMilli(e.UnixMs).UTC().Format("2006-01-02T15:04:05.000Z")
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", timestamp, e.Vm, e.Actor, e.Subject, e.Old, e.New, e.Comment)
		}
	})
}
