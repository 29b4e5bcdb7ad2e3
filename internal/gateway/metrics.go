package gateway

import (
	"expvar"
	"sync"
	"time"
)

// Metrics counts what a Gateway does. Names and units are listed in
// docs/operators/metrics.md.
type Metrics struct {
	Map *expvar.Map
	// Ended counts requests by outcome and reason.
	Ended *expvar.Map
	// NotRun counts attempts that a target did not run, by class.
	NotRun *expvar.Map
	// Withdrawn counts attempts that were not sent, since their target leaves or their
	// verdict was old.
	Withdrawn *expvar.Int
	// Resumed counts model requests that another target was to go on with.
	Resumed *expvar.Int
	// BudgetEmpty counts retries that the budget did not allow.
	BudgetEmpty *expvar.Int
	// Dials counts new connections to targets.
	Dials *expvar.Int
	// StoreCalls counts calls to the platform's store by kind.
	StoreCalls *expvar.Map
	// Orders counts orders to engines by kind and result.
	Orders *expvar.Map
	// FirstEvent is the time from sending to the first event.
	FirstEvent *Histogram
	// DecisionDelay is the time that questions to the scheduler and its verdicts were
	// under way.
	DecisionDelay *Histogram
}

// NewMetrics returns a fresh set.
func NewMetrics() *Metrics {
	m := &Metrics{
		Map: new(expvar.Map).Init(), Ended: new(expvar.Map).Init(), NotRun: new(expvar.Map).Init(),
		Withdrawn: new(expvar.Int), Resumed: new(expvar.Int), BudgetEmpty: new(expvar.Int), Dials: new(expvar.Int), StoreCalls: new(expvar.Map).Init(),
		Orders: new(expvar.Map).Init(), FirstEvent: &Histogram{}, DecisionDelay: &Histogram{},
	}
	m.Map.Set("requests_ended_total", m.Ended)
	m.Map.Set("attempts_not_run_total", m.NotRun)
	m.Map.Set("attempts_withdrawn_total", m.Withdrawn)
	m.Map.Set("model_requests_resumed_total", m.Resumed)
	m.Map.Set("retry_budget_empty_total", m.BudgetEmpty)
	m.Map.Set("target_connections_total", m.Dials)
	m.Map.Set("store_calls_total", m.StoreCalls)
	m.Map.Set("engine_orders_total", m.Orders)
	m.Map.Set("first_event_ms", m.FirstEvent)
	m.Map.Set("verdict_lag_ms", m.DecisionDelay)
	return m
}

func (m *Metrics) ended(outcome, reason string) {
	key := outcome
	if reason != "" {
		key += "." + reason
	}
	m.Ended.Add(key, 1)
}

// Gauge publishes a value that is read when asked for.
func (m *Metrics) Gauge(name string, f func() int64) {
	m.Map.Set(name, expvar.Func(func() any { return f() }))
}

// bounds of the histogram's buckets, in ms: from a fast first event to the
// longest deadline.
var bounds = [...]int64{5, 10, 20, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800}

// Histogram counts durations in fixed buckets. It implements expvar.Var.
type Histogram struct {
	mu      sync.Mutex
	buckets [len(bounds) + 1]int64
	sumMs   int64
}

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration) {
	ms := d.Milliseconds()
	at := 0
	for at < len(bounds) && ms > bounds[at] {
		at++
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.buckets[at]++
	h.sumMs += ms
}

// String gives the buckets as JSON: "le_MS" counts durations up to that bound.
func (h *Histogram) String() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := new(expvar.Map).Init()
	for i, n := range h.buckets {
		name := "le_inf"
		if i < len(bounds) {
			name = "le_" + time.Duration(bounds[i]*int64(time.Millisecond)).String()
		}
		m.Add(name, n)
	}
	m.Add("sum_ms", h.sumMs)
	return m.String()
}
