package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// deploymentTolerance is the tolerance of the users' deployment.
var deploymentTolerance = Tolerance{Window: 8 * time.Second, ExcessRatio: 0.25, Slack: 11_000}

func at(d time.Duration) time.Time { return start.Add(d) }

func limits(perSecond float64) map[string]Limit {
	return map[string]Limit{"crew": {PerSecond: perSecond, Burst: perSecond}}
}

func TestLedger(t *testing.T) {
	l := NewLedger(deploymentTolerance)
	l.SetLimits(start, limits(10_000))
	ok, wait := l.Charge(start, "crew", 1600)
	assert.Assert(t, !ok && wait > 0, "a new ledger is empty")
	ok, _ = l.Charge(at(wait), "crew", 1600)
	assert.Assert(t, ok, "the ledger must refill")
	ok, _ = l.Charge(start, "nobody's", 1e9)
	assert.Assert(t, ok, "a team without a limit")
	ran := 0
	for i := range 20 { // all at the same time
		if ok, _ := l.Charge(at(10*time.Second), "crew", 1000+float64(i)); ok {
			ran++
		}
	}
	assert.Equal(t, ran, 13, "capacity, and one request in debt")
}

// TestRefusedCallersGetConsecutiveRetryDelays checks that each caller's retry delay ends when the
// units for its own request are available.
func TestRefusedCallersGetConsecutiveRetryDelays(t *testing.T) {
	l := NewLedger(deploymentTolerance)
	l.SetLimits(start, limits(10_000))
	l.Charge(at(time.Millisecond), "crew", 1000)
	var waits []time.Duration
	for range 4 {
		ok, wait := l.Charge(at(time.Millisecond), "crew", 1000)
		assert.Assert(t, !ok)
		waits = append(waits, wait)
	}
	for i := 1; i < len(waits); i++ {
		gap := waits[i] - waits[i-1]
		assert.Assert(t, gap > 80*time.Millisecond && gap < 120*time.Millisecond, "%v", waits)
	}
	for i, wait := range waits {
		ok, _ := l.Charge(at(time.Millisecond+wait+time.Millisecond), "crew", 1000)
		assert.Assert(t, ok, "caller %d", i)
	}
}

func TestRefundIsCapped(t *testing.T) {
	l := NewLedger(deploymentTolerance)
	l.SetLimits(start, limits(10_000))
	l.Charge(at(time.Second), "crew", 9000)
	l.Refund(at(time.Second), "crew", 9000)
	before := l.Levels(at(time.Second))[0].Level
	l.Refund(at(time.Second), "crew", 1e9)
	assert.Assert(t, l.Levels(at(time.Second))[0].Level <= 1 && before <= 1, "no account may exceed its capacity")
}

func TestLowerLimitAndRemovedLimit(t *testing.T) {
	l := NewLedger(deploymentTolerance)
	l.SetLimits(start, limits(100_000))
	l.SetLimits(at(5*time.Second), limits(1000))
	sum := 0.0
	for i := range 1000 {
		if ok, _ := l.Charge(at(5*time.Second+time.Duration(i)*8*time.Millisecond), "crew", 500); ok {
			sum += 500
		}
	}
	assert.Assert(t, sum <= (1000*8+1000)*1.25+11_000, "%v", sum)
	l.SetLimits(at(14*time.Second), map[string]Limit{})
	ok, _ := l.Charge(at(14*time.Second), "crew", 1e9)
	assert.Assert(t, ok, "the limit was removed")
}

func TestReserve(t *testing.T) {
	r := NewReserve(deploymentTolerance)
	r.SetLimits(start, limits(100_000))
	assert.Assert(t, !r.Charge(start, "crew", 1, 0), "the fleet size is unknown")
	r.SetFleetSize(start, 10, suspectAfter)
	assert.Assert(t, !r.Charge(start, "crew", 1, 0.001), "a new reserve must be empty")
	assert.Assert(t, r.Charge(at(16*time.Second), "crew", 2900, 0.999), "the reserve must refill while the ledger responds")
	r = NewReserve(deploymentTolerance)
	r.SetLimits(start, limits(100_000))
	r.SetFleetSize(start, 10, suspectAfter)
	rng := rand.New(rand.NewPCG(1, 2))
	run := func(from, to time.Duration, disconnected bool) (sum float64) {
		for d := from; d < to; d += 20 * time.Millisecond {
			r.SetDisconnected(at(d), disconnected)
			if r.Charge(at(d), "crew", 400, rng.Float64()) {
				sum += 400
			}
		}
		return sum
	}
	first := run(0, 8*time.Second, true)
	assert.Assert(t, first > 75_000 && first < 90_000, "full share: %v", first)
	late := run(12*time.Second, 20*time.Second, true)
	assert.Assert(t, late < 24_000, "share after the leader may have removed the VM: %v", late)
	assert.Assert(t, run(20*time.Second, 28*time.Second, false) < 5_000, "refill while the ledger responds")
}

// TestReserveSmallerThanOneRequest checks that 72 reserves, each of them smaller than one request,
// admit about as many requests as all of them together may.
func TestReserveSmallerThanOneRequest(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	sum := 0.0
	for range 72 {
		r := NewReserve(deploymentTolerance)
		r.SetLimits(start, limits(2700))
		r.SetFleetSize(start, 72, suspectAfter)
		for d := time.Duration(0); d < 8*time.Second; d += 500 * time.Millisecond {
			r.SetDisconnected(at(d), true)
			if r.Charge(at(d), "crew", 1600, rng.Float64()) {
				sum += 1600
			}
		}
	}
	assert.Assert(t, sum > 2700*8*0.7 && sum < 2700*9*1.3, "%v", sum)
}

// BenchmarkTake measures the charge of one request among 2,000 teams.
func BenchmarkTake(b *testing.B) {
	l := NewLedger(deploymentTolerance)
	all := map[string]Limit{}
	names := make([]string, 2000)
	for i := range names {
		names[i] = fmt.Sprintf("team-%d", i)
		all[names[i]] = Limit{PerSecond: 1e5, Burst: 1e5}
	}
	l.SetLimits(start, all)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		l.Charge(now, names[i%2000], 1600)
	}
}
