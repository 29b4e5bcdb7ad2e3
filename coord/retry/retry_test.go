package retry

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

var allowed = Config{Ratio: 0.2, Slack: 54}

func TestFleetStaysWithinTheAllowance(t *testing.T) {
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 3))
		vms := 1 + rng.IntN(10)
		var fleet []*Budget
		for range vms {
			fleet = append(fleet, New(allowed, vms))
		}
		// The worst case of a window: no retries before it, so that buckets are full,
		// then a retry whenever one is allowed.
		for range 1000 {
			fleet[rng.IntN(vms)].RecordRequest()
		}
		requests, retries := 0.0, 0.0
		for range 2000 {
			b := fleet[rng.IntN(vms)]
			if rng.IntN(3) == 0 {
				b.RecordRequest()
				requests++
			}
			if b.TryAcquire(rng.Float64()) {
				retries++
			}
		}
		assert.Assert(t, retries <= allowed.Ratio*requests+allowed.Slack, "seed %d: %.0f retries for %.0f requests", seed, retries, requests)
	}
}

func TestIdleFleetMayRetry(t *testing.T) {
	b := New(allowed, 7)
	assert.Assert(t, b.TryAcquire(0.99))
}

func TestCapacityIsSharedAmongVMs(t *testing.T) {
	b := New(allowed, 1)
	b.SetVMs(10)
	assert.Assert(t, b.Remaining() <= SafetyFactor*allowed.Slack/10)
}

func TestLowerAllowanceAppliesImmediately(t *testing.T) {
	b := New(allowed, 1)
	b.Configure(Config{Ratio: 0.2, Slack: 0})
	assert.Assert(t, !b.TryAcquire(0))
}

func TestEmptyBucketRejectsRetry(t *testing.T) {
	b := New(Config{Ratio: 0, Slack: 2}, 1)
	for b.TryAcquire(0.99) {
	}
	b.RecordRequest()
	assert.Assert(t, !b.TryAcquire(0), "a ratio of zero adds no tokens")
}

// TestLargeFleetUsesItsAllowance checks a fleet of 195 VMs with a small share of the slack
// each. Callers must get a second attempt for most failures right after the start and for
// nearly every failure later. With whole tokens few failures were retried at a start.
func TestLargeFleetUsesItsAllowance(t *testing.T) {
	const vms = 195
	rng := rand.New(rand.NewPCG(1, 2))
	config := Config{Ratio: 0.2, Slack: 430}
	var fleet []*Budget
	for range vms {
		fleet = append(fleet, New(config, vms))
	}
	wanted, acquired := 0, 0
	for range vms {
		b := fleet[rng.IntN(vms)]
		b.RecordRequest()
		wanted++
		if b.TryAcquire(rng.Float64()) {
			acquired++
		}
	}
	t.Logf("at the start: %d of %d retries allowed", acquired, wanted)
	assert.Assert(t, acquired > wanted/2, "%d of %d", acquired, wanted)
	wanted, acquired = 0, 0
	for range 40 * vms {
		b := fleet[rng.IntN(vms)]
		b.RecordRequest()
		if rng.IntN(20) == 0 {
			wanted++
			if b.TryAcquire(rng.Float64()) {
				acquired++
			}
		}
	}
	t.Logf("later: %d of %d retries allowed", acquired, wanted)
	assert.Assert(t, acquired > wanted*85/100, "%d of %d", acquired, wanted)
}

// TestFractionalTokensDoNotExceedAllowance checks that repeated calls of TryAcquire allow no
// more retries than tokens were added.
func TestFractionalTokensDoNotExceedAllowance(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	b := New(Config{Ratio: 0.2, Slack: 430}, 195)
	acquired, requests := 0, 20_000
	for range requests {
		b.RecordRequest()
		for range 3 {
			if b.TryAcquire(rng.Float64()) {
				acquired++
			}
		}
	}
	assert.Assert(t, float64(acquired) < 1.05*SafetyFactor*0.2*float64(requests), "%d", acquired)
}
