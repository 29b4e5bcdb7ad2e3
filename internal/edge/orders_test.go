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
	"github.com/junctionfold/junctionfold/internal/hop"
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

// TestOrdersAreSentOnlyUnderTheirLease guards against orders whose lease expired while they waited
// for a worker: they assume free adapter slots that another leader may have filled since.
func TestOrdersAreSentOnlyUnderTheirLease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	r := roster.New(roster.Config{Start: now}, roster.Entry{ID: "a", Address: "a", Incarnation: 1})
	machine := leadership.New(now.Add(-time.Minute), "a", leadershipKey, time.Second, true)
	assert.Assert(t, machine.Update(now, r))
	machine.Acquire(now, 7, true)
	engines := &countingEngines{}
	n := &Node{
		settings: &schema.EdgeSettings{Vm: &schema.EdgeVM{Id: "a"}}, log: events.Discard(),
		platform: Platform{Engines: engines},
		metrics:  gateway.NewMetrics(), leadership: machine, lastRosterTick: now, pool: hop.New(nil),
	}
	source := &suspendable{}
	n.clock = source.clock(&now)
	n.now = n.clock.Now
	n.schedulers, n.reachability = newSchedulers(n), newReachability(n)
	sc := &serviceScheduler{scheduler: scheduler.New(scheduler.Config{})}
	send := func(token uint64) int {
		n.schedulers.sendOrder(sc, &fleet.Target{ID: "t"}, scheduler.Action{
			Kind: scheduler.ActLoad, Ref: coord.AdapterRef{Model: "m", Adapter: "x"}, FencingToken: token,
		})
		return engines.orders
	}
	assert.Equal(t, send(machine.FencingToken()-1), 0, "under the previous lease")
	assert.Equal(t, send(machine.FencingToken()), 1)
	now = now.Add(2 * maxTickAge)
	assert.Equal(t, send(machine.FencingToken()), 1, "after a pause of this VM")
	n.lastRosterTick = now
	assert.Equal(t, send(machine.FencingToken()), 2)
	source.suspend(2 * maxTickAge)
	assert.Equal(t, send(machine.FencingToken()), 2, "after a suspension, during which the monotonic clock did not advance")
}

// suspendable is a machine that a test can suspend.
type suspendable struct{ suspended time.Duration }

func (s *suspendable) suspend(d time.Duration) { s.suspended += d }

func (s *suspendable) clock(monotonic *time.Time) *clock.Clock {
	start := *monotonic
	c, _ := clock.New(clock.Source{
		Monotonic: func() time.Time { return *monotonic },
		BootTime:  func() (time.Duration, error) { return monotonic.Sub(start) + s.suspended, nil },
	})
	return c
}

// TestFencingTokensGrowAfterStoreRestore guards against fencing tokens below those issued before
// the store was restored.
func TestFencingTokensGrowAfterStoreRestore(t *testing.T) {
	before, err := fleet.NewRevision(1, 900_000)
	assert.NilError(t, err)
	after, err := fleet.NewRevision(2, 10)
	assert.NilError(t, err)
	assert.Assert(t, fencingTokenBase(after) > fencingTokenBase(before))
	assert.Equal(t, fencingTokenBase(7), uint64(7))
}
