package servicequeue

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/balance"
)

// cutFleet simulates a fleet of which some VMs lose their paths to all targets.
type cutFleet struct {
	rng    *rand.Rand
	queue  *Queue
	vms    int
	cutVMs int
	isCut  bool
	ending balance.Ending // of requests of VMs that are cut off
	after  time.Duration  // until that ending
	// cutShare is the share of the requests that VMs that are cut off get; 0: as many as each of the others.
	cutShare float64
	// overloaded is set if they are not cut off, but slow, and report that.
	overloaded bool
	running    []cutRequest
	// sent and served count the requests of the other VMs from 3 s after some have been cut off.
	sent, served int
	isCounting   bool
	next         uint64
}

type cutRequest struct {
	key     Key
	sentAt  time.Time
	endsAt  time.Time
	ending  balance.Ending
	counted bool
}

func (f *cutFleet) isCutVM(vm coord.VMID) bool {
	var n int
	fmt.Sscan(string(vm), &n)
	return n < f.cutVMs
}

// carryOut starts the granted requests.
func (f *cutFleet) carryOut(now time.Time, acts []Action) {
	for _, a := range acts {
		if a.Target == "" {
			continue
		}
		r := cutRequest{key: a.Key, sentAt: now, ending: balance.OK, endsAt: now.Add(time.Duration(30+f.rng.IntN(60)) * time.Millisecond)}
		if f.isCut && f.isCutVM(a.Key.VM) {
			r.ending, r.endsAt = f.ending, now.Add(f.after)
		}
		r.counted = f.isCounting && !f.isCutVM(a.Key.VM)
		f.running = append(f.running, r)
	}
}

func (f *cutFleet) step(now time.Time) {
	f.carryOut(now, f.queue.Tick(now))
	var remaining, ended []cutRequest
	for _, r := range f.running {
		if now.Before(r.endsAt) {
			remaining = append(remaining, r)
		} else {
			ended = append(ended, r)
		}
	}
	f.running = remaining
	for _, r := range ended {
		duration := now.Sub(r.sentAt)
		if f.overloaded && f.isCut && f.isCutVM(r.key.VM) {
			f.queue.ReportOverload(now, r.key.VM)
			duration = 0
		}
		f.carryOut(now, f.queue.Done(now, r.key, r.ending, duration))
		if r.counted {
			f.served++
		}
	}
}

func (f *cutFleet) submit(now time.Time) {
	f.next++
	vm := f.rng.IntN(f.vms)
	if f.cutShare > 0 && f.rng.Float64() < f.cutShare {
		vm = f.rng.IntN(f.cutVMs)
	}
	key := Key{VM: coord.VMID(fmt.Sprint(vm)), Ticket: f.next}
	if f.isCounting && !f.isCutVM(key.VM) {
		f.sent++
	}
	f.carryOut(now, f.queue.Submit(now, Request{Key: key, SoftDeadline: now.Add(400 * time.Millisecond), Deadline: now.Add(2 * time.Second)}))
}

// play returns the part of the requests of VMs with paths that are served while others have none.
func (f *cutFleet) play(targets int, perStep float64) float64 {
	var listed []Target
	for i := range targets {
		listed = append(listed, Target{ID: fmt.Sprint("t", i), Slots: 6})
	}
	f.queue.SetTargets(start, listed)
	for ms := 0; ms < 11_000; ms += 10 {
		f.isCut, f.isCounting = ms >= 1000, ms >= 4000
		f.step(at(ms))
		if f.rng.Float64() < perStep-float64(int(perStep)) {
			f.submit(at(ms))
		}
		for range int(perStep) {
			f.submit(at(ms))
		}
	}
	return float64(f.served) / float64(f.sent)
}

// TestCutVMsLeaveTheTargetsToTheOthers guards against requests of VMs without paths that hold the
// targets' slots. The others are to be served as often as callers of VMs without paths at least are.
func TestCutVMsLeaveTheTargetsToTheOthers(t *testing.T) {
	const servedShare = 2.0 / 3
	for _, fleet := range []struct {
		vms, targets int
		perStep      float64
	}{{7, 3, 0.3}, {7, 3, 1.2}, {72, 3, 1.2}, {408, 40, 0.3}, {408, 40, 15}} {
		for _, fault := range []struct {
			ending balance.Ending
			after  time.Duration
		}{
			{balance.Unreachable, time.Millisecond},
			{balance.Unreachable, 700 * time.Millisecond},
			{balance.TimedOut, 260 * time.Millisecond},
			{balance.Abandoned, 2 * time.Second},
		} {
			t.Run(fmt.Sprint(fleet, fault.ending, fault.after), func(t *testing.T) {
				f := &cutFleet{rng: rand.New(rand.NewPCG(1, 2)), queue: New(), vms: fleet.vms, cutVMs: fleet.vms / 2, ending: fault.ending, after: fault.after}
				share := f.play(fleet.targets, fleet.perStep)
				t.Logf("%.3f of %d", share, f.sent)
				assert.Assert(t, share >= servedShare, "%.3f of %d", share, f.sent)
			})
		}
	}
}

// TestOverloadedVMsLeaveTheTargetsToTheOthers guards against requests whose responses were read late, at a VM
// that gets most of them, and that hold the targets' slots or make the targets seem slow.
func TestOverloadedVMsLeaveTheTargetsToTheOthers(t *testing.T) {
	const servedShare = 0.95
	for _, fleet := range []struct {
		vms, overloaded, targets int
		perStep                  float64
	}{{7, 1, 3, 0.3}, {7, 1, 3, 1.2}, {66, 5, 5, 1.5}, {72, 3, 3, 1.2}, {408, 10, 40, 4}} {
		for _, after := range []time.Duration{300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprint(fleet, after), func(t *testing.T) {
				f := &cutFleet{
					rng: rand.New(rand.NewPCG(1, 2)), queue: New(), vms: fleet.vms, cutVMs: fleet.overloaded, cutShare: 0.5,
					ending: balance.OK, after: after, overloaded: true,
				}
				share := f.play(fleet.targets, fleet.perStep)
				assert.Assert(t, share >= servedShare, "%.3f of %d", share, f.sent)
			})
		}
	}
}
