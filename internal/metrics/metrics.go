// Package metrics counts what a VM does, by expvar. Names and units are listed
// in docs/operators/metrics.md.
package metrics

import (
	"expvar"
	"time"
)

// Set is the metrics of one VM. A process with several VMs has several.
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

// New returns a fresh Set.
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

// Gauge publishes a value that is read when asked for.
func (s *Set) Gauge(name string, f func() int64) {
	s.Map.Set(name, expvar.Func(func() any { return f() }))
}

// AddMillis adds a duration to a counter of milliseconds.
func AddMillis(v *expvar.Int, d time.Duration) { v.Add(d.Milliseconds()) }
