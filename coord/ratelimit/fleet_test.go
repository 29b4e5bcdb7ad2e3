package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// step is the time between two looks of the model.
const step = 10 * time.Millisecond

// The rule that is checked: so many requests in a window, for a limit of so many a second.
const window = 4 * time.Second

func allowed(perSecond float64) float64 { return 1.5*window.Seconds()*perSecond + 5 }

// way is a way to keep a target's limit in a fleet.
type way interface {
	// may reports whether a VM may send a request now; acting is the VM that it asks, -1 if it has none.
	may(now time.Time, vm, acting int, share float64) bool
	// takeOver says that a VM begins to be asked.
	takeOver(now time.Time, vm int)
}

// paced is the way that is taken: one bucket at each VM that is asked.
type paced struct {
	pacers map[int]*Pacer
	rate   float64
}

func (w *paced) takeOver(now time.Time, vm int) {
	p := w.pacers[vm]
	if p == nil {
		p = NewPacer()
		w.pacers[vm] = p
	}
	p.SetRates(now, map[string]float64{"t": w.rate})
	p.Reset(now)
}

func (w *paced) may(now time.Time, _, acting int, share float64) bool {
	if acting < 0 {
		return false
	}
	p := w.pacers[acting]
	p.SetFleetShare(now, share)
	if !p.Ready(now, "t") {
		return false
	}
	p.Consume(now, "t")
	return true
}

// shared is a bucket at each VM, with its share of the limit.
type shared struct {
	buckets []*bucket
}

func newShared(now time.Time, vms int, rate float64) *shared {
	w := &shared{}
	for range vms {
		w.buckets = append(w.buckets, &bucket{at: now, rate: rate, fill: rate / float64(vms)})
	}
	return w
}

func (w *shared) takeOver(time.Time, int) {}

func (w *shared) may(now time.Time, vm, _ int, _ float64) bool {
	b := w.buckets[vm]
	b.advance(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// reserved is paced, with a bucket at each VM for when it gets no verdict.
type reserved struct {
	paced
	reserve *shared
}

func (w *reserved) may(now time.Time, vm, acting int, share float64) bool {
	if acting >= 0 {
		return w.paced.may(now, vm, acting, share)
	}
	return w.reserve.may(now, vm, acting, share)
}

// trial is one fleet and what befalls it.
type trial struct {
	vms     int
	rate    float64
	noticed time.Duration
	rng     *rand.Rand
	// asked is the VM that each VM asks, and share what that one believes that it hears.
	asked []int
	share map[int]float64
	// silentUntil is until when nobody is asked.
	silentUntil time.Time
}

// play lets the VMs ask for far more than the limit, and returns the worst window, as a part of what is
// allowed, and how much was sent, as a part of the limit.
func (tr *trial) play(w way, d time.Duration) (worst, used float64) {
	var sent []time.Time
	w.takeOver(start, 0)
	now := start
	for ; now.Before(start.Add(d)); now = now.Add(step) {
		tr.fault(now, w)
		for range 3 {
			vm := tr.rng.IntN(tr.vms)
			acting := tr.asked[vm]
			if now.Before(tr.silentUntil) && acting >= 0 {
				acting = -1
			}
			if w.may(now, vm, acting, tr.share[acting]) {
				sent = append(sent, now.Add(time.Duration(tr.rng.Int64N(int64(100*time.Millisecond)))))
			}
		}
	}
	for i, from := range sent {
		n := 0
		for _, at := range sent[max(i-100, 0):] {
			if !at.Before(from) && at.Sub(from) < window {
				n++
			}
		}
		worst = max(worst, float64(n)/allowed(tr.rate))
	}
	return worst, float64(len(sent)) / (tr.rate * d.Seconds())
}

// fault ends the VM that is asked now and then, or cuts a third of the fleet off for some seconds.
func (tr *trial) fault(now time.Time, w way) {
	at := now.Sub(start)
	switch {
	case at%(10*time.Second) == 3*time.Second: // another VM is asked, the one before is gone
		next := (tr.asked[0] + 1) % tr.vms
		tr.silentUntil = now.Add(tr.noticed)
		for i := range tr.asked {
			tr.asked[i] = next
		}
		tr.share = map[int]float64{next: 1}
		w.takeOver(now, next)
	case at%(10*time.Second) == 6*time.Second: // a third is cut off and asks one of its own at once
		next := (tr.asked[0] + 1) % tr.vms
		for i := range tr.vms / 3 {
			tr.asked[i] = next
		}
		tr.share[next] = 1.0 / 3
		w.takeOver(now, next)
	case at%(10*time.Second) == 6*time.Second+tr.noticed.Truncate(step): // the rest notices that
		tr.share[tr.asked[tr.vms-1]] = 2.0 / 3
	case at%(10*time.Second) == 9*time.Second: // the cut heals
		for i := range tr.asked {
			tr.asked[i] = tr.asked[tr.vms-1]
		}
		tr.share = map[int]float64{tr.asked[0]: 1}
	}
}

func newTrial(vms int, rate float64, seed uint64) *trial {
	tr := &trial{
		vms: vms, rate: rate, noticed: 2100 * time.Millisecond, rng: rand.New(rand.NewPCG(seed, 1)),
		asked: make([]int, vms), share: map[int]float64{0: 1},
	}
	return tr
}

// TestNoWindowIsExceeded: with VMs that begin and end to be asked, and a third of the fleet cut off.
func TestNoWindowIsExceeded(t *testing.T) {
	for _, vms := range []int{3, 7, 72, 300} {
		for _, rate := range []float64{0.2, 0.5, 1.1, 3, 8, 20} {
			for seed := range uint64(3) {
				tr := newTrial(vms, rate, seed)
				worst, _ := tr.play(&paced{pacers: map[int]*Pacer{}, rate: rate}, 40*time.Second)
				assert.Assert(t, worst <= 1, "%d VMs, %v a second, seed %d: %v of what is allowed", vms, rate, seed, worst)
			}
		}
	}
}

// TestWays compares the way taken with shares and with reserves: shares exceed the limit once VMs have
// been idle, or send next to nothing; reserves win little.
func TestWays(t *testing.T) {
	for _, vms := range []int{7, 72, 300} {
		for _, rate := range []float64{1.1, 8} {
			ways := []struct {
				name string
				new  func() way
			}{
				{"paced by one VM", func() way { return &paced{pacers: map[int]*Pacer{}, rate: rate} }},
				{"with reserves", func() way {
					return &reserved{paced{map[int]*Pacer{}, rate}, newShared(start, vms, rate)}
				}},
				{"shares", func() way { return newShared(start, vms, rate) }},
				{"shares, after an idle time", func() way { return newShared(start.Add(-10*time.Minute), vms, rate) }},
			}
			for _, w := range ways {
				worst, used := newTrial(vms, rate, 1).play(w.new(), 40*time.Second)
				t.Logf("%d VMs, %.1f a second, %s: worst window %.2f of what is allowed, %.2f of the limit used", vms, rate, w.name, worst, used)
				if w.name == "paced by one VM" {
					assert.Check(t, worst <= 1 && used > 0.5, "%v %v", worst, used)
				}
			}
		}
	}
}
