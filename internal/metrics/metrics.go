// Package metrics holds the expvar metrics of a VM. docs/operators/metrics.md lists
// their names and units.
package metrics

import (
	"expvar"
	"time"
)

// Set holds the metrics of one VM. A process that runs several VMs has one Set for
// each.
type Set struct {
	Map *expvar.Map

	Requests          *expvar.Int
	Refusals          *expvar.Map
	Retries           *expvar.Int
	AnswersAborted    *expvar.Int
	AnswersMismatched *expvar.Int
	AnswersReplayed   *expvar.Int
	Loads             *expvar.Int
	LoadsFailed       *expvar.Int
	LoadMillis        *expvar.Int
	Unloads           *expvar.Int
	LoadStallMillis   *expvar.Int
	StalledRequests   *expvar.Int
	Takeovers         *expvar.Int
	StepDowns         *expvar.Int
	Suspects          *expvar.Int
	BundleVersion     *expvar.Int
	ListVersion       *expvar.Int
	PlatformReads     *expvar.Int
	BundlesRefused    *expvar.Int
}

// New returns a Set in which all metrics are zero.
func New() *Set {
	s := &Set{Map: new(expvar.Map).Init(), Refusals: new(expvar.Map).Init()}
	for name, v := range map[string]**expvar.Int{
		"requests_total": &s.Requests, "retries_total": &s.Retries,
		"answers_aborted_total": &s.AnswersAborted, "answers_crossed_total": &s.AnswersMismatched,
		"answers_replayed_total": &s.AnswersReplayed, "loads_total": &s.Loads,
		"loads_failed_total": &s.LoadsFailed, "load_ms_total": &s.LoadMillis,
		"unloads_total": &s.Unloads, "load_stall_ms_total": &s.LoadStallMillis,
		"load_stalled_requests_total": &s.StalledRequests, "takeovers_total": &s.Takeovers,
		"step_downs_total": &s.StepDowns, "suspects_total": &s.Suspects,
		"bundle_version": &s.BundleVersion, "list_version": &s.ListVersion,
		"platform_reads_total": &s.PlatformReads, "bundles_refused_total": &s.BundlesRefused,
	} {
		*v = new(expvar.Int)
		s.Map.Set(name, *v)
	}
	s.Map.Set("refusals_total", s.Refusals)
	return s
}

// Gauge publishes a metric whose value is computed by f on each read.
func (s *Set) Gauge(name string, f func() int64) {
	s.Map.Set(name, expvar.Func(func() any { return f() }))
}

// AddMillis adds a duration to a counter in milliseconds. Fractions are truncated.
func AddMillis(v *expvar.Int, d time.Duration) { v.Add(d.Milliseconds()) }
