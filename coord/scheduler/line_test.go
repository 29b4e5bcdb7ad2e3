package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func stormConfig(guess int) Config {
	return Config{AdapterSlots: fleetOf.places, Batch: fleetOf.batch, CacheTokens: 90_512, MaxLoads: guess}
}

// TestStormOfNewAdapters plays the first seconds of a heavy day on 78 engines that hold
// nothing: 355 requests a second for 24,000 adapters, of which the most popular one gets 6 in
// 100, and a store that serves 32 loads at full speed, which nobody says.
//
// The story: on the users' deployment of 195 VMs 2,168 adapters were loaded on a day of 34 s,
// which is what 16 loads at a time give: the line was full all day at half of the store's
// rate. Requests waited for up to 3.1 s and were refused then. Measured here, seeds 0 to 3,
// 12 s, in time and refused after a quarter of their objective or more: 0.721 and 0.305 with
// a constant of 16, 0.812 and 0.167 with 24, 0.924 and 0.046 with 32; with the search 0.887
// and 0.073 from 16, 0.917 and 0.052 from 24, 0.938 and 0.035 from 32.
func TestStormOfNewAdapters(t *testing.T) {
	for _, row := range []struct {
		guess    int
		atLeast  float64 // in time
		heldLong float64 // refused after a quarter of their objective, at most
	}{
		{16, 0.82, 0.13}, {24, 0.87, 0.09}, {32, 0.90, 0.06},
	} {
		r := play(fleetOf, stormConfig(row.guess), storm, 8*time.Second, 1, nil)
		got := r.total()
		t.Logf("from %d: %v", row.guess, r)
		assert.Assert(t, share(got.inTime, got.asked) > row.atLeast)
		assert.Assert(t, share(got.heldLong, got.asked) < row.heldLong)
		assert.Assert(t, share(got.refused, got.asked) < 0.01, "and not served when they came back")
		assert.Assert(t, float64(r.retries) < 0.14*float64(got.asked), "what the deployment allows, without its slack")
		for name, o := range r.kinds {
			assert.Assert(t, share(o.inTime, o.asked) > row.atLeast-0.1, name)
		}
	}
}

// TestLateLoadIsWaitedFor: a request that came before its adapter's load was over goes back
// to the same engine.
func TestLateLoadIsWaitedFor(t *testing.T) {
	b := newBench(t, config(4), nil, nil)
	key := b.submit("x")
	load := b.want(ActLoad)[0]
	b.ordered(load, OrderAccepted)
	b.after(firstColdLoad + loadMargin)
	assert.Equal(t, b.want(ActGrant)[0].Target, load.Target)
	b.take(b.s.Done(b.now, key, EndedBusy))
	key = b.submit("x", load.Target)
	b.want()
	b.after(notYetPause)
	assert.Equal(t, b.want(ActGrant)[0].Target, load.Target)
	b.take(b.s.Done(b.now, key, EndedBusy))
	b.after(freshFor)
	b.submit("x", load.Target)
	again := b.want(ActLoad)[0]
	assert.Assert(t, again.Target != load.Target, "not for ever")
}

// TestLoadsTeachTheLimit: what the first request of each load shows reaches the limit.
func TestLoadsTeachTheLimit(t *testing.T) {
	cfg := config(40)
	cfg.MaxLoads = 4
	b := newBench(t, cfg, nil, nil, nil, nil)
	for range 12 {
		for range 8 {
			b.submit("n" + time.Duration(b.ticket).String())
		}
		for range 16 {
			for _, a := range b.drain() {
				switch a.Kind {
				case ActLoad:
					b.ordered(a, OrderAccepted)
				case ActGrant:
					b.s.FirstEvent(b.now, a.Key)
				}
			}
			b.after(20 * time.Millisecond)
		}
	}
	assert.Assert(t, b.s.limit.Max() > 4)
}

// TestSilentEnginesDoNotHoldTheLine: a sixth of the engines fall silent, with orders under
// way that nobody answers for 1.5 s. Callers of other adapters do not wait for that.
// Leaving alone engines that have not answered for 150 ms was tried: 0.909 in time against
// 0.908 without.
func TestSilentEnginesDoNotHoldTheLine(t *testing.T) {
	r := play(fleetOf, stormConfig(32), storm, 8*time.Second, 2, func(p *player, second int) {
		for i := 0; second == 4 && i < 13; i++ {
			p.owned[p.listed()[0].ID].lost = true
		}
	})
	t.Log(r)
	before := share(r.seconds[3][0], r.seconds[3][1])
	assert.Assert(t, share(r.seconds[5][0], r.seconds[5][1]) > before-0.2)
	assert.Assert(t, share(r.seconds[6][0], r.seconds[6][1]) > before-0.1)
}
