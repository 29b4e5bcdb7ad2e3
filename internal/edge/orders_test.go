package edge

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/leadership"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// countingEngines counts the orders that reach engines.
type countingEngines struct{ orders int }

func (e *countingEngines) Order(context.Context, fleet.Order) (fleet.OrderAnswer, error) {
	e.orders++
	return fleet.OrderAnswer{Result: fleet.OrderAccepted}, nil
}

func (e *countingEngines) Report(context.Context, string, string) (fleet.Report, error) {
	return fleet.Report{}, nil
}

// TestOrdersAreGivenUnderTheirLease: an order that was decided under a lease which is over, and
// waited for a worker meanwhile, rests on places that another VM may have filled since.
func TestOrdersAreGivenUnderTheirLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := roster.New(roster.Config{Start: now}, roster.Entry{ID: "a", Address: "a", Incarnation: 1})
	m := leadership.New(now.Add(-time.Minute), "a", dutyName, time.Second, true)
	assert.Assert(t, m.Update(now, r))
	m.Acquire(now, 7, true)
	engines := &countingEngines{}
	n := &Node{
		settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "a"}}, log: events.Discard(),
		platform: Platform{Engines: engines},
		metrics:  gateway.NewMetrics(), duty: m, lastTick: now,
	}
	source := &suspendable{}
	n.clock = source.clock(&now)
	n.now = n.clock.Now
	n.schedules = newSchedules(n)
	sc := &schedule{s: scheduler.New(scheduler.Config{})}
	give := func(fence uint64) int {
		n.schedules.order(sc, &fleet.Target{ID: "t"}, scheduler.Action{
			Kind: scheduler.ActLoad, Ref: coord.AdapterRef{Model: "m", Adapter: "x"}, FencingToken: fence,
		})
		return engines.orders
	}
	assert.Equal(t, give(m.FencingToken()-1), 0, "the lease before")
	assert.Equal(t, give(m.FencingToken()), 1)
	now = now.Add(2 * maxTickAge)
	assert.Equal(t, give(m.FencingToken()), 1, "after a standstill")
	n.lastTick = now
	assert.Equal(t, give(m.FencingToken()), 2)
	source.suspend(2 * maxTickAge)
	assert.Equal(t, give(m.FencingToken()), 2, "after a suspension, in which the steady clock stood still")
}

// suspendable is a machine that a test suspends.
type suspendable struct{ suspended time.Duration }

func (s *suspendable) suspend(d time.Duration) { s.suspended += d }

func (s *suspendable) clock(steady *time.Time) *clock.Clock {
	start := *steady
	c, _ := clock.New(clock.Source{
		Monotonic: func() time.Time { return *steady },
		BootTime:  func() (time.Duration, error) { return steady.Sub(start) + s.suspended, nil },
	})
	return c
}

// TestFencingNumbersAfterTheStoreIsRestored are not below those before it.
func TestFencingNumbersAfterTheStoreIsRestored(t *testing.T) {
	before, err := fleet.NewRevision(1, 900_000)
	assert.NilError(t, err)
	after, err := fleet.NewRevision(2, 10)
	assert.NilError(t, err)
	assert.Assert(t, fenceBase(after) > fenceBase(before))
	assert.Equal(t, fenceBase(7), uint64(7))
}
