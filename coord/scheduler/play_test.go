package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// deployment is what a played load runs on: engines that read prompts one after another
// and generate beside it, and a store that serves some loads at full speed.
type deployment struct {
	engines, places, batch int
	// kept adapters load without the store.
	kept int
	// atOnce loads are served by the store at full speed, each in load; beyond, all take
	// longer in proportion.
	atOnce int
	load   time.Duration
	// readPerMs prompt tokens are read in a ms; step is the time of a generated token.
	readPerMs float64
	step      time.Duration
	adapters  int
	// zipf is the exponent of the adapters' popularity, and flat its offset: the most
	// popular one gets 6 of 100 requests with 1.2 and 3.
	zipf, flat float64
}

// kind is a kind of request.
type kind struct {
	name           string
	perSecond      float64
	objective      time.Duration
	deadline       time.Duration
	prompt, output float64 // tokens, mean
	priority       int
}

// fleetOf is like the users' deployment with the largest fleet.
var fleetOf = deployment{
	engines: 78, places: 14, batch: 24, kept: 84, atOnce: 32, load: 250 * time.Millisecond,
	readPerMs: 19.2, step: 10500 * time.Microsecond, adapters: 24_000, zipf: 1.2, flat: 3,
}

// kinds of request make a load.
type kinds []kind

// times is the same load with more or fewer requests.
func (k kinds) times(x float64) kinds {
	out := slices.Clone(k)
	for i := range out {
		out[i].perSecond *= x
	}
	return out
}

// storm is a heavy load of it.
var storm = kinds{
	{"drafts", 203, 800 * time.Millisecond, 15 * time.Second, 1460, 171, 1},
	{"reports", 28.2, time.Second, 15 * time.Second, 1460, 171, 1},
	{"questions", 124, 600 * time.Millisecond, 8 * time.Second, 646, 69, 0},
}

// outcome is what callers of a kind got.
type outcome struct {
	asked, inTime, late, refused, failed int
	// back is how many were refused, came back when they were told and were in time then;
	// they count as neither in time, late nor refused.
	back int
	// held is how long requests waited that were refused then, the longest.
	held time.Duration
	// heldLong counts those that were held for over a quarter of their objective.
	heldLong int
}

// result is what a played load shows.
type result struct {
	kinds map[string]*outcome
	// seconds has the requests in time, and those asked, by second.
	seconds [][2]int
	loads   int // from the store
	retries int // attempts that were not run
	// conflicts are orders that an engine did not take.
	conflicts int
}

func (r *result) total() (t outcome) {
	for _, o := range r.kinds {
		t.asked += o.asked
		t.inTime += o.inTime
		t.late += o.late
		t.refused += o.refused
		t.back += o.back
		t.failed += o.failed
		t.heldLong += o.heldLong
		t.held = max(t.held, o.held)
	}
	return t
}

// worth is what callers got: late answers are worth a tenth, and one in time at the second
// try about half.
func (o *outcome) worth() float64 {
	return (float64(o.inTime) + 0.55*float64(o.back) + 0.1*float64(o.late)) / float64(max(o.asked, 1))
}

func share(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func (r *result) String() string {
	t := r.total()
	text := fmt.Sprintf("worth %.3f, in time %.3f, back %.3f, late %.3f, refused %.3f (%d held long, longest %v), failed %d, loads %d, retries %d, conflicts %d; by second",
		t.worth(), share(t.inTime, t.asked), share(t.back, t.asked), share(t.late, t.asked), share(t.refused, t.asked), t.heldLong, t.held.Round(time.Millisecond), t.failed, r.loads, r.retries, r.conflicts)
	for _, s := range r.seconds {
		text += fmt.Sprintf(" %.2f", share(s[0], s[1]))
	}
	return text
}

// playedRequest is a caller's request.
type playedRequest struct {
	kind  *kind
	ref   coord.AdapterRef
	asked time.Time
	// again is when it came back; zero: it did not.
	again time.Time
	read  int
	write int
}

// player drives a Scheduler in virtual time, in steps of a ms.
type player struct {
	d     deployment
	rng   *rand.Rand
	s     *Scheduler
	now   time.Time
	byMs  map[int64][]func()
	owned map[string]*playedEngine
	loads []*playedLoad
	open  map[Key]*playedRequest
	ranks []float64 // cumulated popularity of adapters
	next  uint64
	out   *result
}

const message = time.Millisecond // between VMs and engines, one way

// play lets callers ask for a time, after the engines are known; change is called each
// second of it.
func play(d deployment, cfg Config, kinds []kind, length time.Duration, seed uint64, change func(p *player, second int)) *result {
	p := &player{
		d: d, rng: rand.New(rand.NewPCG(seed, 11)), s: New(cfg), now: start, byMs: map[int64][]func(){},
		owned: map[string]*playedEngine{}, open: map[Key]*playedRequest{}, out: &result{kinds: map[string]*outcome{}},
	}
	total := 0.0
	for i := range d.adapters {
		total += math.Pow(float64(i+1)+d.flat, -d.zipf)
		p.ranks = append(p.ranks, total)
	}
	for i := range d.engines {
		e := &playedEngine{id: fmt.Sprintf("t%03d", i), places: map[coord.AdapterRef]bool{}}
		p.owned[e.id] = e
	}
	p.carryOut(p.s.SetTargets(p.now, p.listed()))
	p.carryOut(p.s.SetLeading(p.now, true, nil))
	p.carryOut(p.s.SetLease(p.now, 1))
	p.run(3*time.Second, nil)
	began := p.now
	for i := range kinds {
		p.out.kinds[kinds[i].name] = &outcome{}
		p.arrive(&kinds[i], began.Add(length))
	}
	second := -1
	p.run(length+2*time.Second, func() {
		if s := int(p.now.Sub(began) / time.Second); s != second {
			second = s
			p.out.seconds = append(p.out.seconds, [2]int{})
			if change != nil {
				change(p, s)
			}
		}
	})
	return p.out
}

func (p *player) listed() []AnnouncedTarget {
	var out []AnnouncedTarget
	for id, e := range p.owned {
		if !e.lost {
			out = append(out, AnnouncedTarget{ID: id, Ready: true, Resident: []ResidentItem{{Ref: base}}})
		}
	}
	slices.SortFunc(out, func(a, b AnnouncedTarget) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return out
}

func (p *player) after(d time.Duration, f func()) {
	at := p.now.Add(max(d, time.Millisecond)).UnixMilli()
	p.byMs[at] = append(p.byMs[at], f)
}

func (p *player) run(length time.Duration, each func()) {
	for end := p.now.Add(length); p.now.Before(end); {
		p.now = p.now.Add(time.Millisecond)
		if each != nil {
			each()
		}
		p.forward()
		ms := p.now.UnixMilli()
		due := p.byMs[ms]
		delete(p.byMs, ms)
		for _, f := range due {
			f()
		}
		if ms%20 == 0 {
			p.carryOut(p.s.Tick(p.now))
		}
	}
}

// arrive lets one request of a kind come, and the next one after it.
func (p *player) arrive(k *kind, end time.Time) {
	p.after(time.Duration(p.rng.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		if p.now.After(end) {
			return
		}
		p.ask(k)
		p.arrive(k, end)
	})
}

func (p *player) ask(k *kind) {
	p.next++
	at, _ := slices.BinarySearch(p.ranks, p.rng.Float64()*p.ranks[len(p.ranks)-1])
	size := func(mean float64) int { return max(int(mean*min(p.rng.ExpFloat64()*0.7+0.3, 4)), 1) }
	r := &playedRequest{
		kind: k, ref: ref(fmt.Sprintf("a%d", min(at, len(p.ranks)-1))), asked: p.now, read: size(k.prompt), write: size(k.output),
	}
	p.out.kinds[k.name].asked++
	p.out.seconds[len(p.out.seconds)-1][1]++
	key := Key{VM: "vm", Ticket: p.next}
	p.open[key] = r
	p.submit(key, r, nil)
}

func (p *player) submit(key Key, r *playedRequest, exclude []string) {
	from := r.asked
	if !r.again.IsZero() {
		from = r.again
	}
	p.carryOut(p.s.Submit(p.now, Request{
		Key: key, Ref: r.ref, PromptTokens: r.read, OutputTokens: r.write, Priority: r.kind.priority, Exclude: exclude,
		Objective: max(from.Add(r.kind.objective).Sub(p.now), time.Millisecond), Deadline: r.asked.Add(r.kind.deadline),
		FirstEventDeadline: from.Add(max(2*time.Second, 4*r.kind.objective)),
	}))
}

func (p *player) carryOut(acts []Action) {
	for _, a := range acts {
		e := p.owned[a.Target]
		switch a.Kind {
		case ActGrant:
			p.after(2*message, func() { p.runAt(a, e) })
		case ActRefuse:
			p.refused(a)
		case ActLoad:
			p.after(message, func() { p.loadAt(a, e) })
		case ActUnload:
			p.after(message, func() { p.unloadAt(a, e) })
		case ActReadReport:
			wait := 100 * time.Millisecond
			if e.lost {
				wait = 1500 * time.Millisecond
			}
			p.after(wait, func() { p.reportOf(e) })
		}
	}
}

// refused lets a caller come back once if the time that it is told is within a third of what
// it has left.
func (p *player) refused(a Action) {
	r := p.open[a.Key]
	delete(p.open, a.Key)
	o := p.out.kinds[r.kind.name]
	held := p.now.Sub(r.asked)
	if !r.again.IsZero() {
		held = p.now.Sub(r.again)
	}
	o.held = max(o.held, held)
	if held > r.kind.objective/4 {
		o.heldLong++
	}
	left := r.asked.Add(r.kind.deadline).Sub(p.now)
	if !r.again.IsZero() || a.RetryAfter <= 0 || a.RetryAfter > left/3 {
		o.refused++
		return
	}
	p.after(a.RetryAfter, func() {
		r.again = p.now
		p.next++
		key := Key{VM: "vm", Ticket: p.next}
		p.open[key] = r
		p.submit(key, r, nil)
	})
}
