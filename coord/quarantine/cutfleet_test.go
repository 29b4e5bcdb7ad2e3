package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

// cutFleet simulates VMs that lose their connections to all targets at times, and contents that crash
// targets. Contents below crashing do.
type cutFleet struct {
	rng      *rand.Rand
	table    *Table
	vms      int
	crashing int
	cut      map[coord.VMID]bool
	targets  []string
	started  int // targets so far
	next     uint64
	running  []cutFleetRequest
	// crashes counts the targets that crashed under each content.
	crashes map[int]int
}

type cutFleetRequest struct {
	key     Key
	content int
	target  string
	endsAt  time.Time
}

func newCutFleet(seed uint64, vms, targets int) *cutFleet {
	f := &cutFleet{rng: rand.New(rand.NewPCG(seed, 7)), table: New(), vms: vms, cut: map[coord.VMID]bool{}, crashes: map[int]int{}}
	f.crashing = 1 + f.rng.IntN(2)
	for range targets {
		f.targets = append(f.targets, "")
		f.start(len(f.targets) - 1)
	}
	return f
}

func (f *cutFleet) start(i int) {
	f.started++
	f.targets[i] = fmt.Sprint("t", f.started)
}

// disconnect disconnects the running requests that a condition selects.
func (f *cutFleet) disconnect(now time.Time, broken func(r cutFleetRequest) bool) {
	var remaining []cutFleetRequest
	for _, r := range f.running {
		if broken(r) {
			f.table.RequestEnded(now, r.key, false, true)
		} else {
			remaining = append(remaining, r)
		}
	}
	f.running = remaining
}

func (f *cutFleet) crash(now time.Time, target string) {
	under := map[int]bool{}
	for _, r := range f.running {
		if r.target == target && r.content < f.crashing && !under[r.content] {
			under[r.content] = true
			f.crashes[r.content]++
		}
	}
	f.disconnect(now, func(r cutFleetRequest) bool { return r.target == target })
	for i, id := range f.targets {
		if id == target {
			f.start(i)
		}
	}
}

// submit sends a request of a random VM if its content may run.
func (f *cutFleet) submit(now time.Time) {
	f.next++
	content := 1000 + int(f.next)
	switch {
	case f.rng.IntN(100) < 3:
		content = f.rng.IntN(f.crashing)
	case f.rng.IntN(3) == 0:
		content = 500 + f.rng.IntN(10) // popular content
	}
	key := Key{VM: coord.VMID(fmt.Sprint(f.rng.IntN(f.vms))), Ticket: f.next}
	i := f.rng.IntN(len(f.targets))
	for slices.Contains(f.table.TargetsToAvoid(digest(content)), f.targets[i]) {
		i = (i + 1) % len(f.targets)
	}
	target := f.targets[i]
	if reason, _ := f.table.Check(now, key, digest(content)); reason != "" {
		return
	}
	f.table.RequestStarted(now, key, digest(content), target, now.Add(deadline))
	f.running = append(f.running, cutFleetRequest{key, content, target, now.Add(time.Duration(50+f.rng.IntN(600)) * time.Millisecond)})
}

// step advances the simulation to a time.
func (f *cutFleet) step(now time.Time) {
	f.table.Tick(now)
	f.disconnect(now, func(r cutFleetRequest) bool { return f.cut[r.key.VM] })
	var ended, crashed []cutFleetRequest
	for _, r := range f.running {
		switch {
		case now.Before(r.endsAt):
		case r.content < f.crashing:
			crashed = append(crashed, r)
		default:
			ended = append(ended, r)
		}
	}
	for _, r := range crashed {
		f.crash(now, r.target)
	}
	for _, r := range ended {
		f.end(now, r)
	}
}

// end ends a request with success unless its target crashed.
func (f *cutFleet) end(now time.Time, r cutFleetRequest) {
	for i, other := range f.running {
		if other.key == r.key {
			f.table.RequestEnded(now, r.key, true, false)
			f.running = append(f.running[:i], f.running[i+1:]...)
			return
		}
	}
}

// TestRandomCutsBlockNoHarmlessContent guards against harmless contents that are blocked because VMs
// lost their connections to all targets, and against crashing contents that pass as such.
func TestRandomCutsBlockNoHarmlessContent(t *testing.T) {
	for seed := range uint64(40) {
		vms := []int{2, 6, 24}[seed%3]
		f := newCutFleet(seed, vms, 12)
		for ms := 0; ms < 60_000; ms += 10 {
			now := at(ms)
			if ms%12_000 == 6000 { // up to half of the VMs
				for vm := range max(vms/2, 1) {
					f.cut[coord.VMID(fmt.Sprint(vm))] = true
				}
			}
			if ms%12_000 == 10_000 {
				clear(f.cut)
			}
			f.step(now)
			if f.rng.Float64() < 0.8 {
				f.submit(now)
			}
			for _, found := range f.table.Findings(now) {
				content := int(binary.BigEndian.Uint64(found.Digest[:])) - 1
				assert.Assert(t, found.BlockedFor == 0 || content < f.crashing, "seed %d, %v: harmless content %d is blocked", seed, now.Sub(start), content)
			}
		}
		for content, n := range f.crashes {
			assert.Assert(t, n <= blockAfterCrashes, "seed %d: content %d crashed %d targets", seed, content, n)
		}
	}
}
