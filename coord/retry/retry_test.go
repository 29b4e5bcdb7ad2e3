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
		// One window of the worst kind: quiet before it, so that buckets are full,
		// then retries whenever they are to be had.
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

func TestQuietFleetMayStillRetry(t *testing.T) {
	b := New(allowed, 7)
	assert.Assert(t, b.TryAcquire(0.99))
}

func TestMoreVMsMeansLessEach(t *testing.T) {
	b := New(allowed, 1)
	b.SetVMs(10)
	assert.Assert(t, b.Remaining() <= SafetyFactor*allowed.Slack/10)
}

func TestLowerAllowanceHoldsAtOnce(t *testing.T) {
	b := New(allowed, 1)
	b.Configure(Config{Ratio: 0.2, Slack: 0})
	assert.Assert(t, !b.TryAcquire(0))
}

func TestEmptyBucketRefuses(t *testing.T) {
	b := New(Config{Ratio: 0, Slack: 2}, 1)
	for b.TryAcquire(0.99) {
	}
	b.RecordRequest()
	assert.Assert(t, !b.TryAcquire(0), "a ratio of zero brings nothing")
}

// TestLargeFleetUsesItsAllowance: 195 VMs with little each. What callers get is a second
// attempt for nearly every failure, where whole tokens gave it to few at a start.
func TestLargeFleetUsesItsAllowance(t *testing.T) {
	const vms = 195
	rng := rand.New(rand.NewPCG(1, 2))
	large := Config{Ratio: 0.2, Slack: 430}
	var fleet []*Budget
	for range vms {
		fleet = append(fleet, New(large, vms))
	}
	wanted, got := 0, 0
	for range vms {
		b := fleet[rng.IntN(vms)]
		b.RecordRequest()
		wanted++
		if b.TryAcquire(rng.Float64()) {
			got++
		}
	}
	t.Logf("at the start: %d of %d", got, wanted)
	assert.Assert(t, got > wanted/2, "%d of %d", got, wanted)
	wanted, got = 0, 0
	for range 40 * vms {
		b := fleet[rng.IntN(vms)]
		b.RecordRequest()
		if rng.IntN(20) == 0 {
			wanted++
			if b.TryAcquire(rng.Float64()) {
				got++
			}
		}
	}
	t.Logf("later: %d of %d", got, wanted)
	assert.Assert(t, got > wanted*85/100, "%d of %d", got, wanted)
}

// TestPartsOfTokensAreNoGain: whoever asks again and again gets no more than the tokens
// that came in.
func TestPartsOfTokensAreNoGain(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	b := New(Config{Ratio: 0.2, Slack: 430}, 195)
	got, requests := 0, 20_000
	for range requests {
		b.RecordRequest()
		for range 3 {
			if b.TryAcquire(rng.Float64()) {
				got++
			}
		}
	}
	assert.Assert(t, float64(got) < 1.05*SafetyFactor*0.2*float64(requests), "%d", got)
}
