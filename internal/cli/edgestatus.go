package cli

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/edge"
)

// edgeMetrics is what of an edge VM's metrics its status shows; docs/operators/edge-metrics.md
// says what each is.
type edgeMetrics struct {
	ConfigVersion int64                          `json:"config_version"`
	VMs           int64                          `json:"fleet_vms"`
	Open          int64                          `json:"open_requests"`
	FeedEra       int64                          `json:"feed_era"`
	FeedRevision  int64                          `json:"feed_revision"`
	FeedAge       int64                          `json:"feed_age_ms"`
	Proven        int64                          `json:"feed_proven_ms"`
	KeysWithin    int64                          `json:"keys_within_ms"`
	PlainWaiting  int64                          `json:"plain_waiting"`
	PlainRunning  int64                          `json:"plain_running"`
	PlainLimit    int64                          `json:"plain_limit"`
	Waiting       int64                          `json:"scheduler_waiting"`
	Loads         int64                          `json:"adapter_loads"`
	LoadsLimit    int64                          `json:"adapter_loads_limit"`
	Suspect       int64                          `json:"contents_suspect"`
	Teams         map[string]edge.TeamAccount    `json:"teams"`
	Held          map[string]edge.BlockedContent `json:"held_contents"`
	RateLimits    map[string]float64             `json:"rate_limits"`
}

func edgeStatusCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{Use: "edge-status", Short: "Show what an edge VM knows of its copy, teams, lines, limited targets and held contents", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&address, "metrics", "http://127.0.0.1:9403", "URL of the VM's metrics")
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		body, err := askVM(cmd.Context(), address, "", nil)
		if err != nil {
			return err
		}
		var m edgeMetrics
		if err := json.Unmarshal(body, &m); err != nil {
			return errors.Wrap(err, "read the VM's metrics")
		}
		if *asJSON {
			return writeJSONLine(cmd.OutOrStdout(), m)
		}
		return m.print(cmd.OutOrStdout())
	}
	return cmd
}

func (m *edgeMetrics) print(w io.Writer) error {
	_, err := fmt.Fprintf(w, "configuration %d, %d VMs, %d requests open\ncopy of the store: era %d, revision %d, known current %d ms ago, proven %s\nmodels: %d wait, %d of %d loads under way\nplain: %d wait, %d of %d run\n\n",
		m.ConfigVersion, m.VMs, m.Open, m.FeedEra, m.FeedRevision, m.FeedAge, m.proof(), m.Waiting, m.Loads, m.LoadsLimit, m.PlainWaiting, m.PlainRunning, m.PlainLimit)
	if err != nil {
		return err
	}
	err = table(w, "TEAM\tCHARGED\tREFUSED\tLEVEL", func(t *tabwriter.Writer) {
		for _, name := range slices.Sorted(maps.Keys(m.Teams)) {
			row := m.Teams[name]
			fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.2f\n", name, row.Charged, row.Refused, row.Level)
		}
	})
	if err != nil {
		return err
	}
	if err := m.printRateLimits(w); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "\ncontents: %d suspect, %d held\n", m.Suspect, len(m.Held)); err != nil || len(m.Held) == 0 {
		return err
	}
	return table(w, "CONTENT\tHELD FOR\tSINCE\tTARGETS THAT ENDED", func(t *tabwriter.Writer) {
		for _, digest := range slices.Sorted(maps.Keys(m.Held)) {
			h := m.Held[digest]
			fmt.Fprintf(t, "%s\t%v\t%v\t%s\n", digest, milliseconds(h.LeftMs), milliseconds(h.SinceMs), strings.Join(h.Targets, ","))
		}
	})
}

// printRateLimits lists the targets that limit the rate of their requests.
func (m *edgeMetrics) printRateLimits(w io.Writer) error {
	if len(m.RateLimits) == 0 {
		return nil
	}
	return table(w, "\nLIMITED TARGET\tREQUESTS A SECOND", func(t *tabwriter.Writer) {
		for _, id := range slices.Sorted(maps.Keys(m.RateLimits)) {
			fmt.Fprintf(t, "%s\t%g\n", id, m.RateLimits[id])
		}
	})
}

// proof is the bound on the copy's age against that up to which keys are judged.
func (m *edgeMetrics) proof() string {
	if m.KeysWithin == 0 {
		return fmt.Sprintf("%d ms ago; no bound for keys", m.Proven)
	}
	if m.Proven > m.KeysWithin {
		return fmt.Sprintf("%d ms ago, of %d allowed: keys cannot be judged", m.Proven, m.KeysWithin)
	}
	return fmt.Sprintf("%d ms ago, of %d allowed for keys", m.Proven, m.KeysWithin)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
