package gateway

import (
	"expvar"
	"sync"
	"time"
)

// Metrics holds the metrics of a Gateway. Names and units are listed in
// docs/operators/edge-metrics.md.
type Metrics struct {
	Map *expvar.Map
	// Ended counts requests by outcome and reason.
	Ended *expvar.Map
	// NotRun counts attempts that a target did not run, by class.
	NotRun *expvar.Map
	// InvalidAnswers counts responses that were not a valid answer of the target, by defect.
	InvalidAnswers *expvar.Map
	// Withdrawn counts attempts that were not sent, for example because their target was draining
	// or their decision was stale.
	Withdrawn *expvar.Int
	// Relayed counts requests that this VM sent through another VM, by result. RelayedForOthers
	// counts those that it sent for others.
	Relayed, RelayedForOthers *expvar.Map
	// Resumed counts model requests that were to be resumed at another target.
	Resumed *expvar.Int
	// StreamOrigins counts requests that take a stream up, by how its origin was found.
	StreamOrigins *expvar.Map
	// BudgetEmpty counts retries that the budget did not allow.
	BudgetEmpty *expvar.Int
	// Dials counts new connections to targets.
	Dials *expvar.Int
	// StoreCalls counts calls to the platform's store by kind.
	StoreCalls *expvar.Map
	// Orders counts orders to engines by kind and result.
	Orders *expvar.Map
	// FirstEvent is the time from sending a request to its first event.
	FirstEvent *Histogram
	// DecisionDelay is the time that requests to the scheduler and its decisions spent in the
	// network.
	DecisionDelay *Histogram
}

// NewMetrics returns metrics whose values are zero.
func NewMetrics() *Metrics {
	m := &Metrics{
		Map: new(expvar.Map).Init(), Ended: new(expvar.Map).Init(), NotRun: new(expvar.Map).Init(), InvalidAnswers: new(expvar.Map).Init(),
		Relayed: new(expvar.Map).Init(), RelayedForOthers: new(expvar.Map).Init(),
		Withdrawn: new(expvar.Int), Resumed: new(expvar.Int), BudgetEmpty: new(expvar.Int), Dials: new(expvar.Int), StoreCalls: new(expvar.Map).Init(),
		Orders: new(expvar.Map).Init(), StreamOrigins: new(expvar.Map).Init(), FirstEvent: &Histogram{}, DecisionDelay: &Histogram{},
	}
	m.Map.Set("requests_ended_total", m.Ended)
	m.Map.Set("attempts_not_run_total", m.NotRun)
	m.Map.Set("answers_invalid_total", m.InvalidAnswers)
	m.Map.Set("attempts_withdrawn_total", m.Withdrawn)
	m.Map.Set("relayed_total", m.Relayed)
	m.Map.Set("relayed_for_others_total", m.RelayedForOthers)
	m.Map.Set("model_requests_resumed_total", m.Resumed)
	m.Map.Set("stream_origins_total", m.StreamOrigins)
	m.Map.Set("retry_budget_empty_total", m.BudgetEmpty)
	m.Map.Set("target_connections_total", m.Dials)
	m.Map.Set("store_calls_total", m.StoreCalls)
	m.Map.Set("engine_orders_total", m.Orders)
	m.Map.Set("first_event_ms", m.FirstEvent)
	m.Map.Set("verdict_lag_ms", m.DecisionDelay)
	return m
}

func (m *Metrics) countEnded(outcome, reason string) {
	key := outcome
	if reason != "" {
		key += "." + reason
	}
	m.Ended.Add(key, 1)
}

// Gauge publishes a value that f computes each time the metrics are read.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.Map.Set(name, expvar.Func(func() any { return f() }))
}

// bucketBoundsMs are the upper bounds of the histogram's buckets in ms, from a fast first event to
// the longest deadline.
var bucketBoundsMs = [...]int64{5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800}

// Histogram counts durations in fixed buckets. It implements expvar.Var.
type Histogram struct {
	mu      sync.Mutex
	buckets [len(bucketBoundsMs) + 1]int64
	sumMs   int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	bucket := 0
	for bucket < len(bucketBoundsMs) && ms > bucketBoundsMs[bucket] {
		bucket++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets[bucket]++
	h.sumMs += ms
}

// String returns the buckets as JSON. Each "le_" key holds the count of one bucket and names its
// upper bound; "sum_ms" is the sum of all durations.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := new(expvar.Map).Init()
	for i, n := range h.buckets {
		name := "le_inf"
		if i < len(bucketBoundsMs) {
			name = "le_" + time.Duration(bucketBoundsMs[i]*int64(time.Millisecond)).String()
		}
		m.Add(name, n)
	}
	m.Add("sum_ms", h.sumMs)
	return m.String()
}
