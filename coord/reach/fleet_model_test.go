package reach

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// announceDelay is how long it takes until a VM knows that another is isolated.
	announceDelay    = 600 * time.Millisecond
	relayDialTimeout = 400 * time.Millisecond
	maxRelays        = 3
	maxUnreachable   = 2
)

// cutFleet simulates VMs, some of which are cut off from all targets, that relay for each other.
type cutFleet struct {
	rng     *rand.Rand
	now     time.Time
	events  eventQueue
	targets []string
	vms     []*fleetVM
	mode    cutMode
	gap     time.Duration
}

type fleetVM struct {
	table *Table
	isCut bool
	// announces is what the other VMs know.
	announces bool
	// heardAt is when a target last answered a request that was not relayed.
	heardAt time.Time
	waiting waiting
	// sent and served count the requests that were sent after countFrom.
	sent, served int
	countFrom    time.Time
}

func newCutFleet(seed uint64, vms, targets int, mode cutMode, gap time.Duration) *cutFleet {
	f := &cutFleet{rng: rand.New(rand.NewPCG(seed, 4)), now: start, mode: mode, gap: gap}
	for i := range targets {
		f.targets = append(f.targets, fmt.Sprintf("t%03d", i))
	}
	for i := range vms {
		v := &fleetVM{table: New(seed + uint64(i)), waiting: waiting{}}
		v.table.SetTargets(f.targets)
		v.table.SetEngines(f.targets[:(targets+1)/2])
		f.vms = append(f.vms, v)
		f.after(time.Duration(f.rng.Int64N(int64(gap))), func() { f.request(v) })
		f.after(0, func() { f.probe(v) })
		f.after(0, func() { f.announce(v) })
		f.after(0, func() { f.checkSilence(v) })
	}
	return f
}

func (f *cutFleet) after(d time.Duration, run func()) { heap.Push(&f.events, event{f.now.Add(d), run}) }

func (f *cutFleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && !f.events[0].at.After(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// cut cuts VMs off from the targets. Requests count from 3 s later.
func (f *cutFleet) cut(vms int) {
	for i, v := range f.vms {
		v.isCut = i < vms
		v.countFrom = f.now.Add(3 * time.Second)
	}
}

func (f *cutFleet) announce(v *fleetVM) {
	f.after(100*time.Millisecond, func() { f.announce(v) })
	announces := v.table.AnnouncesIsolation(f.now)
	f.after(announceDelay, func() { v.announces = announces })
}

func (f *cutFleet) probe(v *fleetVM) {
	target, due := v.table.NextProbe(f.now)
	if !due {
		f.after(20*time.Millisecond, func() { f.probe(v) })
		return
	}
	if v.table.AsksQuestions() {
		f.ask(v, target)
		return
	}
	f.dial(v, target, dialTimeout, func(bool) { f.probe(v) })
}

// ask asks a target a question on a new connection.
func (f *cutFleet) ask(v *fleetVM, target string) {
	delay, answered := time.Millisecond, !v.isCut
	if !answered {
		delay = questionTimeout
	}
	f.after(delay, func() {
		v.table.RecordQuestion(f.now, target, answered)
		f.probe(v)
	})
}

func (f *cutFleet) checkSilence(v *fleetVM) {
	f.after(silenceInterval, func() { f.checkSilence(v) })
	v.waiting.record(f.now, v.heardAt, v.table)
}

// isSilent reports whether a VM's connections are made and not answered.
func (f *cutFleet) isSilent(v *fleetVM) bool { return v.isCut && f.mode == answersNothing }

// sendOnOpenConnection sends a request on a connection that is open. served is called if it is answered.
func (f *cutFleet) sendOnOpenConnection(v *fleetVM, target string, served func()) {
	if f.isSilent(v) {
		v.waiting.add(f.now, target, answerlessTime)
		return
	}
	v.heardAt = f.now
	v.table.RecordHeard(f.now)
	served()
}

func (f *cutFleet) dial(v *fleetVM, target string, timeout time.Duration, done func(ok bool)) {
	delay, ok := time.Millisecond, !v.isCut || f.isSilent(v)
	if v.isCut && f.mode == hang {
		delay = timeout
	}
	f.after(delay, func() {
		v.table.RecordDial(f.now, target, ok)
		done(ok)
	})
}

func (f *cutFleet) request(v *fleetVM) {
	f.after(f.gap/2+time.Duration(f.rng.Int64N(int64(f.gap))), func() { f.request(v) })
	served := func() {}
	if !v.countFrom.IsZero() && !f.now.Before(v.countFrom) {
		v.sent++
		served = func() { v.served++ }
	}
	target := f.targets[f.rng.IntN(len(f.targets))]
	relays := f.relays(v)
	switch {
	case len(relays) > 0 && v.table.ViaRelay(f.now, target):
		f.relay(v, target, relays, 0, served)
	case f.rng.IntN(3) > 0:
		f.sendOnIdleConnection(v, target, served)
	default:
		f.dial(v, target, dialTimeout, func(ok bool) {
			if ok {
				f.sendOnOpenConnection(v, target, served)
			} else {
				f.relay(v, target, relays, 0, served)
			}
		})
	}
}

func (f *cutFleet) sendOnIdleConnection(v *fleetVM, target string, served func()) {
	switch {
	case !v.isCut || f.mode == refuseDials || f.isSilent(v):
		f.sendOnOpenConnection(v, target, served)
	case f.mode == hang:
		f.after(ackTimeout, func() { v.table.RecordFailure(f.now, target) })
	default:
		f.after(0, func() { v.table.RecordFailure(f.now, target) })
	}
}

// relays returns VMs that have not announced an isolation.
func (f *cutFleet) relays(v *fleetVM) []*fleetVM {
	var out []*fleetVM
	for _, i := range f.rng.Perm(len(f.vms)) {
		if u := f.vms[i]; u != v && !u.announces && len(out) < maxRelays {
			out = append(out, u)
		}
	}
	return out
}

// relay tries one relay after the other.
func (f *cutFleet) relay(v *fleetVM, target string, relays []*fleetVM, unreachable int, served func()) {
	if len(relays) == 0 || unreachable == maxUnreachable {
		if unreachable > 0 {
			v.table.RecordRelayed(f.now, target, false)
		}
		return
	}
	u := relays[0]
	if !u.table.CanRelay() {
		f.relay(v, target, relays[1:], unreachable, served)
		return
	}
	f.dial(u, target, relayDialTimeout, func(ok bool) {
		if !ok {
			f.relay(v, target, relays[1:], unreachable+1, served)
			return
		}
		f.sendOnOpenConnection(u, target, func() {
			v.table.RecordRelayed(f.now, target, true)
			served()
		})
	})
}

func TestCallersOfCutVMsAreServedAfterThreeSeconds(t *testing.T) {
	for _, row := range []struct {
		vms, cut, targets int
		gap               time.Duration
	}{
		{7, 3, 8, 20 * time.Millisecond},
		{7, 5, 8, 150 * time.Millisecond},
		{4, 3, 3, 150 * time.Millisecond},
		{72, 20, 60, 150 * time.Millisecond},
		{72, 60, 60, 150 * time.Millisecond},
	} {
		for mode := range cutModes {
			for seed := range uint64(3) {
				name := fmt.Sprintf("%d of %d VMs, gap %v, mode %d, seed %d", row.cut, row.vms, row.gap, mode, seed)
				f := newCutFleet(seed, row.vms, row.targets, mode, row.gap)
				f.runFor(time.Second)
				f.cut(row.cut)
				f.runFor(10 * time.Second)
				sent, served := 0, 0
				for _, v := range f.vms[:row.cut] {
					sent += v.sent
					served += v.served
				}
				assert.Assert(t, 3*served >= 2*sent, "%s: served %d of %d", name, served, sent)
				for _, v := range f.vms[row.cut:] {
					assert.Assert(t, !v.table.Isolated(), name)
				}
			}
		}
	}
}
