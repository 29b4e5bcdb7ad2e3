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

// edgeMetrics holds the metrics of an edge VM that edge-status shows. They are
// described in docs/operators/edge-metrics.md.
type edgeMetrics struct {
	ConfigVersion     int64                       `json:"config_version"`
	FleetVMs          int64                       `json:"fleet_vms"`
	OpenRequests      int64                       `json:"open_requests"`
	FeedEpoch         int64                       `json:"feed_era"`
	FeedRevision      int64                       `json:"feed_revision"`
	FeedAgeMs         int64                       `json:"feed_age_ms"`
	FeedConfirmedMs   int64                       `json:"feed_proven_ms"`
	KeyAgeLimitMs     int64                       `json:"keys_within_ms"`
	PlainWaiting      int64                       `json:"plain_waiting"`
	PlainRunning      int64                       `json:"plain_running"`
	PlainLimit        int64                       `json:"plain_limit"`
	SchedulerWaiting  int64                       `json:"scheduler_waiting"`
	AdapterLoads      int64                       `json:"adapter_loads"`
	AdapterLoadsLimit int64                       `json:"adapter_loads_limit"`
	SuspectContents   int64                       `json:"contents_suspect"`
	Teams             map[string]edge.TeamAccount `json:"teams"`
	BlockedContents   map[string]edge.Block       `json:"held_contents"`
	RateLimits        map[string]float64          `json:"rate_limits"`
	RejectionLimits   map[string]float64          `json:"rejection_limits"`
}

func edgeStatusCommand() *cobra.Command {
	var address string
	cmd := &cobra.Command{Use: "edge-status", Short: "Show what an edge VM knows of its copy, teams, lines, limited targets and held contents", Args: cobra.NoArgs}
	cmd.Flags().StringVar(&address, "metrics", "http://127.0.0.1:9403", "URL of the VM's metrics")
	asJSON := jsonFlag(cmd)
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		body, err := getFromVM(cmd.Context(), address, "", nil)
		if err != nil {
			return err
		}
		var m edgeMetrics
		if err := json.Unmarshal(body, &m); err != nil {
			return errors.Wrap(err, "decode the VM's metrics")
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
		m.ConfigVersion, m.FleetVMs, m.OpenRequests, m.FeedEpoch, m.FeedRevision, m.FeedAgeMs, m.confirmation(), m.SchedulerWaiting, m.AdapterLoads, m.AdapterLoadsLimit, m.PlainWaiting, m.PlainRunning, m.PlainLimit)
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
	if err := printLimits(w, "\nLIMITED TARGET\tREQUESTS A SECOND", m.RateLimits); err != nil {
		return err
	}
	if err := printLimits(w, "\nBRITTLE TARGET\tREJECTIONS A SECOND", m.RejectionLimits); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "\ncontents: %d suspect, %d held\n", m.SuspectContents, len(m.BlockedContents)); err != nil || len(m.BlockedContents) == 0 {
		return err
	}
	return table(w, "CONTENT\tHELD FOR\tSINCE\tTARGETS THAT ENDED", func(t *tabwriter.Writer) {
		for _, digest := range slices.Sorted(maps.Keys(m.BlockedContents)) {
			blocked := m.BlockedContents[digest]
			fmt.Fprintf(t, "%s\t%v\t%v\t%s\n", digest, milliseconds(blocked.LeftMs), milliseconds(blocked.SinceMs), strings.Join(blocked.Targets, ","))
		}
	})
}

// printLimits prints the limits of targets, if there are any.
func printLimits(w io.Writer, header string, limits map[string]float64) error {
	if len(limits) == 0 {
		return nil
	}
	return table(w, header, func(t *tabwriter.Writer) {
		for _, id := range slices.Sorted(maps.Keys(limits)) {
			fmt.Fprintf(t, "%s\t%g\n", id, limits[id])
		}
	})
}

// confirmation describes the bound on the age of the VM's copy of the store. If API keys
// can be checked only up to a maximum age of the copy, it compares the bound with that
// maximum.
func (m *edgeMetrics) confirmation() string {
	if m.KeyAgeLimitMs == 0 {
		return fmt.Sprintf("%d ms ago; no bound for keys", m.FeedConfirmedMs)
	}
	if m.FeedConfirmedMs > m.KeyAgeLimitMs {
		return fmt.Sprintf("%d ms ago, of %d allowed: keys cannot be judged", m.FeedConfirmedMs, m.KeyAgeLimitMs)
	}
	return fmt.Sprintf("%d ms ago, of %d allowed for keys", m.FeedConfirmedMs, m.KeyAgeLimitMs)
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
