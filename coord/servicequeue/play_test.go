package servicequeue

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

// day is a played load on a plain service.
type day struct {
	rng     *rand.Rand
	targets []*playedTarget
	events  []*event
	now     time.Time
	// way is the time of a message.
	way time.Duration
	out outcome
}

// playedTarget works on some calls at once and lets others wait, up to a number.
type playedTarget struct {
	id           string
	slots, queue int
	running      int
	waiting      []func()
}

type event struct {
	at time.Time
	do func()
}

// outcome is what callers got.
type outcome struct{ asked, inTime, late, refused, turnedAway int }

func (o outcome) share(n int) float64 { return float64(n) / float64(o.asked) }

func (d *day) after(t time.Duration, do func()) {
	e := &event{at: d.now.Add(t), do: do}
	i, _ := slices.BinarySearchFunc(d.events, e, func(a, b *event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	d.events = slices.Insert(d.events, i, e)
}

// work is how long a call takes: a lognormal of spread 0.5, and one in 100 five times that.
func (d *day) work() time.Duration {
	ms := 60 * math.Exp(0.47*d.rng.NormFloat64()-0.11)
	if d.rng.IntN(100) == 0 {
		ms *= 5
	}
	return time.Duration(min(ms, 450) * float64(time.Millisecond))
}

// run lets a call reach a target; ended is told whether it ran.
func (d *day) run(t *playedTarget, ended func(ran bool)) {
	if t.running >= t.slots && len(t.waiting) >= t.queue {
		d.after(d.way, func() { ended(false) })
		return
	}
	begin := func() {
		t.running++
		d.after(d.work(), func() {
			t.running--
			if len(t.waiting) > 0 {
				next := t.waiting[0]
				t.waiting = t.waiting[1:]
				next()
			}
			d.after(d.way, func() { ended(true) })
		})
	}
	if t.running < t.slots {
		begin()
		return
	}
	t.waiting = append(t.waiting, begin)
}

// caller is one call; it comes back once when it is told to.
type caller struct {
	asked time.Time
	tries int
}

const (
	objective = 300 * time.Millisecond
	deadline  = 1500 * time.Millisecond
)

func (d *day) answered(c *caller) {
	if d.now.Sub(c.asked) <= objective {
		d.out.inTime++
	} else if d.now.Sub(c.asked) <= deadline {
		d.out.late++
	} else {
		d.out.refused++
	}
}

func (d *day) refused(c *caller, again func(), pause time.Duration) {
	if c.tries++; c.tries > 1 {
		d.out.refused++
		return
	}
	d.after(pause+2*d.way, again)
}

// play lets callers ask for perSecond calls a second, half as many again for 2.5 s.
func (d *day) play(perSecond float64, length time.Duration, ask func(c *caller)) outcome {
	var arrive func()
	arrive = func() {
		if d.now.Sub(start) > length {
			return
		}
		rate := perSecond
		if s := d.now.Sub(start); s > length/2 && s < length/2+2500*time.Millisecond {
			rate *= 1.5
		}
		d.out.asked++
		ask(&caller{asked: d.now})
		d.after(time.Duration(d.rng.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	d.after(0, arrive)
	for len(d.events) > 0 {
		e := d.events[0]
		d.events = d.events[1:]
		d.now = e.at
		e.do()
	}
	return d.out
}

func newDay(seed uint64) *day {
	d := &day{rng: rand.New(rand.NewPCG(seed, 3)), now: start, way: 1500 * time.Microsecond}
	for _, id := range []string{"a", "b", "c"} {
		d.targets = append(d.targets, &playedTarget{id: id, slots: 6, queue: 24})
	}
	return d
}

func (d *day) target(id string) *playedTarget {
	return d.targets[slices.IndexFunc(d.targets, func(t *playedTarget) bool { return t.id == id })]
}

// byLine asks the VM with the line.
func (d *day) byLine() func(c *caller) {
	l := New()
	var known []Target
	for _, t := range d.targets {
		known = append(known, Target{ID: t.id, Slots: t.slots})
	}
	l.SetTargets(d.now, known)
	open := map[Key]*caller{}
	next := uint64(0)
	var carryOut func([]Action)
	ask := func(c *caller) {
		d.after(d.way, func() {
			next++
			k := Key{VM: "vm", Ticket: next}
			open[k] = c
			carryOut(l.Submit(d.now, Request{Key: k, SoftDeadline: c.asked.Add(objective), Deadline: c.asked.Add(deadline)}))
		})
	}
	carryOut = func(acts []Action) {
		for _, a := range acts {
			c := open[a.Key]
			if a.Target == "" {
				d.after(d.way, func() { d.refused(c, func() { ask(c) }, a.RetryAfter) })
				continue
			}
			d.after(2*d.way, func() {
				sent := d.now
				d.run(d.target(a.Target), func(ran bool) {
					how := balance.OK
					if !ran {
						how = balance.Busy
						d.out.turnedAway++
					}
					d.after(d.way, func() { carryOut(l.Done(d.now, a.Key, how, d.now.Sub(sent))) })
					if ran {
						d.answered(c)
						return
					}
					d.refused(c, func() { ask(c) }, 200*time.Millisecond)
				})
			})
		}
	}
	var tick func()
	tick = func() {
		carryOut(l.Tick(d.now))
		if len(d.events) > 0 {
			d.after(20*time.Millisecond, tick)
		}
	}
	d.after(0, tick)
	return ask
}

// byVMs lets each of 72 VMs choose by what it saw itself, with a repeat for a call that was
// turned away: the way before, and where the VM with the line is silent.
func (d *day) byVMs() func(c *caller) {
	vms := make([]*balance.Balancer, 72)
	for i := range vms {
		vms[i] = balance.New()
	}
	var candidates []balance.Target
	for _, t := range d.targets {
		candidates = append(candidates, balance.Target{ID: t.id})
	}
	var ask func(c *caller)
	ask = func(c *caller) {
		vm := vms[d.rng.IntN(len(vms))]
		var try func(exclude []string)
		try = func(exclude []string) {
			id := vm.Pick(d.now, candidates, exclude)
			if id == "" || len(exclude) == 2 {
				d.refused(c, func() { ask(c) }, 200*time.Millisecond)
				return
			}
			sent := d.now
			d.after(d.way, func() {
				d.run(d.target(id), func(ran bool) {
					if ran {
						vm.Done(d.now, id, balance.OK, d.now.Sub(sent))
						d.answered(c)
						return
					}
					d.out.turnedAway++
					vm.Done(d.now, id, balance.Busy, 0)
					try(append(exclude, id))
				})
			})
		}
		try(nil)
	}
	return ask
}

// TestHeavyLoad plays the plain calls of a heavy day.
//
// The story: three targets of six slots and queues of 24, calls of 60 ms, 207 a second. 72 VMs
// filled the queues blindly: 5,400 of 11,600 arrivals were turned away, the median took 257 ms,
// and of what is owed for the two kinds 0.46 and 0.19 was earned. For 13 s of the day one of
// the three was leaving.
func TestHeavyLoad(t *testing.T) {
	for _, row := range []struct {
		name      string
		perSecond float64
		targets   int
		// inTime is the least share of calls in time, of what targets can serve at all.
		inTime float64
	}{
		{"a quiet day", 110, 3, 0.95},
		{"a heavy day", 207, 3, 0.85},
		{"more than they can serve", 330, 3, 0.6},
		{"one is leaving", 207, 2, 0.6},
	} {
		t.Run(row.name, func(t *testing.T) {
			var line, vms outcome
			for seed := range uint64(4) {
				for _, way := range []string{"line", "vms"} {
					d := newDay(seed)
					d.targets = d.targets[:row.targets]
					ask, sum := d.byLine, &line
					if way == "vms" {
						ask, sum = d.byVMs, &vms
					}
					o := d.play(row.perSecond, 12*time.Second, ask())
					sum.asked += o.asked
					sum.inTime += o.inTime
					sum.late += o.late
					sum.refused += o.refused
					sum.turnedAway += o.turnedAway
				}
			}
			for name, o := range map[string]outcome{"line": line, "VMs": vms} {
				t.Logf("%s: in time %.3f, late %.3f, refused %.3f, turned away by targets %d of %d", name, o.share(o.inTime), o.share(o.late), o.share(o.refused), o.turnedAway, o.asked)
			}
			assert.Assert(t, line.share(line.inTime) >= row.inTime)
			assert.Assert(t, line.share(line.inTime) >= vms.share(vms.inTime)-0.01)
			assert.Assert(t, line.share(line.refused) <= vms.share(vms.refused)+0.05, "who is late would be served a little more often without it")
			assert.Equal(t, line.turnedAway, 0)
		})
	}
}
