package coord_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/dispatch"
	"github.com/junctionfold/junctionfold/coord/loadpermit"
	"github.com/junctionfold/junctionfold/coord/placement"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// scenario is one case of the replay: arrivals and faults at one of the users'
// sizes.
type scenario struct {
	name     string
	engines  int
	slots    int
	batch    int
	adapters int
	// rate of arrivals, a second; zipf is the skew of adapters' popularity.
	rate   float64
	zipf   float64
	length time.Duration
	// shiftAt renames the adapters at that time; burstAt sends half of all
	// requests to three adapters for ten seconds; coldAt empties an engine.
	shiftAt, burstAt, coldAt time.Duration
	// failLoads is the share of loads that fail.
	failLoads float64
	// high is the share of requests of a higher priority.
	high float64
}

// Figures of the engines and the weight store.
const (
	loadAlone  = time.Second / 3
	stepBase   = 10 * time.Millisecond
	stepEach   = 500 * time.Microsecond
	meanTokens = 100
	patience   = 30 * time.Second
)

func baseScenario() scenario {
	return scenario{engines: 12, slots: 8, batch: 16, adapters: 3000, zipf: 1, length: 4 * time.Minute}
}

// arrival is one request of a scenario.
type arrival struct {
	at      time.Time
	adapter int
	rank    int
	tokens  float64
}

var epoch = time.Unix(1_000_000, 0)

// arrivals makes a scenario's requests from a seed.
func (s scenario) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 99))
	weights := make([]float64, s.adapters)
	sum := 0.0
	for i := range weights {
		sum += 1 / math.Pow(float64(i+1), s.zipf)
		weights[i] = sum
	}
	var out []arrival
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second))
		if t > s.length {
			return out
		}
		pick, _ := slices.BinarySearch(weights, rng.Float64()*sum)
		if s.shiftAt > 0 && t >= s.shiftAt {
			pick = (pick + s.adapters/2) % s.adapters
		}
		if s.burstAt > 0 && t >= s.burstAt && t < s.burstAt+10*time.Second && rng.IntN(2) == 0 {
			pick = s.adapters - 1 - rng.IntN(3)
		}
		a := arrival{at: epoch.Add(t), adapter: pick, tokens: 1 + rng.ExpFloat64()*meanTokens}
		if rng.Float64() < s.high {
			a.rank = 2
		}
		out = append(out, a)
	}
}

// event is something due in virtual time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// clock runs events in order of time.
type clock struct {
	now   time.Time
	seq   int
	queue eventQueue
}

func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.queue, event{at: c.now.Add(max(d, 0)), seq: c.seq, do: do})
}

func (c *clock) run(until time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(until) {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
	}
	c.now = until
}

// job is a request in the replay.
type job struct {
	arrival
	handle  uint64
	started time.Time
	left    float64
	waited  bool
	stall   time.Duration
}

// batcher is an engine's continuous batching: every running request gets a token
// each step, and a step grows with the batch.
type batcher struct {
	clock   *clock
	running map[uint64]*job
	since   time.Time
	version int
	ended   func(*job)
	// used and open are the time integrals of running requests and of the
	// batch limit while any ran.
	used, open float64
	batch      int
}

func (b *batcher) advance() {
	dt := b.clock.now.Sub(b.since).Seconds()
	b.since = b.clock.now
	n := len(b.running)
	if n == 0 {
		return
	}
	b.used += dt * float64(n)
	b.open += dt * float64(b.batch)
	tokens := dt / b.step().Seconds()
	for _, j := range b.running {
		j.left -= tokens
	}
}

func (b *batcher) step() time.Duration {
	return stepBase + time.Duration(len(b.running))*stepEach
}

func (b *batcher) add(j *job) {
	b.advance()
	j.started = b.clock.now
	j.left = j.tokens
	b.running[j.handle] = j
	b.schedule()
}

func (b *batcher) schedule() {
	b.version++
	version := b.version
	first := math.Inf(1)
	for _, j := range b.running {
		first = min(first, j.left)
	}
	if math.IsInf(first, 1) {
		return
	}
	wait := time.Duration(max(first, 0) * float64(b.step()))
	b.clock.after(wait+time.Microsecond, func() {
		if version == b.version {
			b.finish()
		}
	})
}

func (b *batcher) finish() {
	b.advance()
	var done []*job
	for h, j := range b.running {
		if j.left <= 1e-6 {
			done = append(done, j)
			delete(b.running, h)
		}
	}
	slices.SortFunc(done, func(x, y *job) int { return int(x.handle) - int(y.handle) })
	b.schedule()
	for _, j := range done {
		b.ended(j)
	}
}

// store is the weight store: loads that run at once share its speed.
type store struct {
	clock   *clock
	rng     *rand.Rand
	fail    float64
	current map[int]*fetch
	next    int
	since   time.Time
	version int
	loads   int
}

type fetch struct {
	left float64
	done func(ok bool)
}

func (s *store) fetch(done func(ok bool)) {
	s.advance()
	s.next++
	s.loads++
	s.current[s.next] = &fetch{left: loadAlone.Seconds(), done: done}
	s.schedule()
}

func (s *store) advance() {
	dt := s.clock.now.Sub(s.since).Seconds()
	s.since = s.clock.now
	for _, f := range s.current {
		f.left -= dt / float64(len(s.current))
	}
}

func (s *store) schedule() {
	s.version++
	version := s.version
	first := math.Inf(1)
	for _, f := range s.current {
		first = min(first, f.left)
	}
	if math.IsInf(first, 1) {
		return
	}
	wait := time.Duration(max(first, 0) * float64(len(s.current)) * float64(time.Second))
	s.clock.after(wait+time.Microsecond, func() {
		if version != s.version {
			return
		}
		s.advance()
		for id := 1; id <= s.next; id++ {
			if f := s.current[id]; f != nil && f.left <= 1e-5 {
				delete(s.current, id)
				defer f.done(s.rng.Float64() >= s.fail)
			}
		}
		s.schedule()
	})
}

// figures are what a replay reports.
type figures struct {
	stalls []float64
	// arrived is when each served request came, for figures of a part of the
	// run.
	arrived   []time.Duration
	firsts    []float64
	highs     []float64
	served    int
	refused   map[string]int
	waited    int
	loads     int
	batchUsed float64
	batchOpen float64
	requests  int
}

func (f *figures) note(now time.Time, j *job) {
	f.served++
	stall := j.stall.Seconds()
	if j.waited {
		f.waited++
	}
	f.stalls = append(f.stalls, stall)
	f.arrived = append(f.arrived, j.at.Sub(epoch))
	first := j.started.Sub(j.at).Seconds()
	f.firsts = append(f.firsts, first)
	if j.rank > 0 {
		f.highs = append(f.highs, first)
	}
}

// between returns the stalls of requests that came in a part of the run.
func (f *figures) between(from, to time.Duration) []float64 {
	var out []float64
	for i, at := range f.arrived {
		if at >= from && at < to {
			out = append(out, f.stalls[i])
		}
	}
	return out
}

func mean(xs []float64) float64 {
	sum := 0.0
	for _, x := range xs {
		sum += x
	}
	return sum / float64(max(len(xs), 1))
}

func percentile(xs []float64, q float64) float64 {
	if len(xs) == 0 {
		return 0
	}
	sorted := slices.Clone(xs)
	slices.Sort(sorted)
	return sorted[int(q*float64(len(sorted)-1))]
}

// system is one way of deciding, under replay.
type system interface {
	submit(j *job)
}

// world holds what all systems share.
type replay struct {
	scenario
	clock clock
	store *store
	out   figures
}

func newReplay(s scenario, seed uint64) *replay {
	r := &replay{scenario: s}
	r.clock.now = epoch
	r.store = &store{clock: &r.clock, rng: rand.New(rand.NewPCG(seed, 5)), fail: s.failLoads, current: map[int]*fetch{}, since: epoch}
	r.out.refused = map[string]int{}
	return r
}

func (r *replay) newBatcher(ended func(*job)) *batcher {
	return &batcher{clock: &r.clock, running: map[uint64]*job{}, since: epoch, ended: ended, batch: r.batch}
}

// run feeds the arrivals to a system and returns its figures.
func (r *replay) run(sys system, batchers []*batcher, seed uint64) figures {
	for i, a := range r.arrivals(seed) {
		r.out.requests++
		r.clock.after(a.at.Sub(r.clock.now), func() { sys.submit(&job{arrival: a, handle: uint64(i + 1)}) })
	}
	r.clock.run(epoch.Add(r.length + 2*patience))
	for _, b := range batchers {
		b.advance()
		r.out.batchUsed += b.used
		r.out.batchOpen += b.open
	}
	r.out.loads = r.store.loads
	return r.out
}

func (r *replay) refuse(cause string) { r.out.refused[cause]++ }

// ours is the daemon's parts: placement, a dispatcher for each engine, and the
// giver of load turns.
type ours struct {
	*replay
	pool    *placement.Pool
	sched   *placement.Scheduler
	board   *placement.LoadTracker
	spread  *placement.Spread
	giver   *loadpermit.Issuer
	engines []*ourEngine
	asks    map[uint64]*ourEngine
	nextAsk uint64
	byID    map[coord.TargetID]*ourEngine
	// tune is the part of the dispatchers' settings that is weighed.
	tune func(*dispatch.Config)
}

type ourEngine struct {
	id       coord.TargetID
	sys      *ours
	dispatch *dispatch.Dispatcher
	batcher  *batcher
	jobs     map[uint64]*job
	turn     uint64
	life     int
}

func newOurs(r *replay, tune func(*dispatch.Config)) *ours {
	o := &ours{
		replay: r, sched: placement.Default(), board: placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()),
		spread: placement.NewSpread(placement.DefaultSpreadConfig()), tune: tune,
		giver: loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second}),
		asks:  map[uint64]*ourEngine{}, byID: map[coord.TargetID]*ourEngine{},
	}
	var targets []placement.Target
	for i := range r.engines {
		e := &ourEngine{id: coord.TargetID(fmt.Sprintf("engine-%d", i)), sys: o, jobs: map[uint64]*job{}}
		e.batcher = r.newBatcher(e.ended)
		e.boot()
		o.engines = append(o.engines, e)
		o.byID[e.id] = e
		targets = append(targets, placement.Target{ID: e.id, Base: "base", Zone: "hall", Batch: r.batch})
	}
	o.pool = placement.NewMap(targets).Pool("base")
	o.tick()
	return o
}

func (e *ourEngine) boot() {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots = e.sys.slots
	cfg.Batch = e.sys.batch
	e.sys.tune(&cfg)
	e.dispatch = dispatch.New(cfg)
	e.life++
}

// tick is the owners' 100 ms tick.
func (o *ours) tick() {
	o.clock.after(100*time.Millisecond, func() {
		o.board.ExpireStale(o.clock.now)
		o.spread.Tick(o.clock.now)
		for _, e := range o.engines {
			e.act(e.dispatch.Tick(o.clock.now))
		}
		o.grant(o.giver.Tick(o.clock.now))
		o.tick()
	})
}

func (o *ours) submit(j *job) {
	key := rendezvous.Hash(adapterOf(j.adapter).String())
	q := placement.Query{Key: key, Zones: ^uint64(0), Spread: o.spread.Width(key), Now: o.clock.now}
	choice := o.sched.Pick(o.pool, o.board, &q)
	o.board.RecordSent(choice.Target)
	e := o.byID[choice.Target]
	e.jobs[j.handle] = j
	j.waited = !e.dispatch.Slots().IsResident(adapterOf(j.adapter))
	e.act(e.dispatch.Submit(o.clock.now, dispatch.Request{
		Handle: j.handle, Adapter: adapterOf(j.adapter), Rank: j.rank, Deadline: j.at.Add(patience),
	}))
	e.hint(key, adapterOf(j.adapter))
}

// hint is what an answer tells the entry VM of the target's load.
func (e *ourEngine) hint(key uint64, a coord.Adapter) {
	now := e.sys.clock.now
	e.sys.board.ObserveLoad(now, e.id, e.dispatch.Running(), e.dispatch.Queued())
	e.sys.spread.ObserveLoad(now, key, e.dispatch.AdapterRequests(a), e.sys.batch)
}

func adapterOf(i int) coord.Adapter { return coord.Adapter{Name: fmt.Sprintf("a%d", i), Version: "1"} }

func (e *ourEngine) act(acts []dispatch.Action) {
	now := e.sys.clock.now
	for _, a := range acts {
		switch a.Kind {
		case dispatch.ActStart:
			j := e.jobs[a.Handle]
			if j.waited {
				j.stall = now.Sub(j.at)
			}
			e.batcher.add(j)
		case dispatch.ActRefuse:
			delete(e.jobs, a.Handle)
			e.sys.refuse(a.Cause.String())
		case dispatch.ActRequestPermit:
			e.sys.nextAsk++
			e.turn = e.sys.nextAsk
			e.sys.asks[e.turn] = e
			e.sys.grant(e.sys.giver.Request(now, loadpermit.Request{ID: e.turn, Priority: a.Priority}))
		case dispatch.ActRaisePermit:
			e.sys.giver.RaisePriority(e.turn, a.Priority)
		case dispatch.ActReturnPermit:
			e.sys.grant(e.sys.giver.Cancel(now, e.turn))
		case dispatch.ActUnload:
			e.later(func() { e.act(e.dispatch.Unloaded(e.sys.clock.now, a.Name, true)) })
		case dispatch.ActLoad:
			life := e.life
			e.sys.store.fetch(func(ok bool) {
				if life == e.life {
					e.loaded(a.Adapter, ok)
				}
			})
		}
	}
}

// later is one exchange with the engine.
func (e *ourEngine) later(f func()) { e.sys.clock.after(2*time.Millisecond, f) }

func (e *ourEngine) loaded(a coord.Adapter, ok bool) {
	if ok {
		e.act(e.dispatch.Loaded(e.sys.clock.now, a))
	} else {
		e.act(e.dispatch.LoadFailed(e.sys.clock.now, a))
	}
}

// grant wakes the engines whose turn has come.
func (o *ours) grant(ids []uint64) {
	for _, id := range ids {
		e := o.asks[id]
		delete(o.asks, id)
		if e == nil {
			continue
		}
		o.clock.after(2*time.Millisecond, func() { e.act(e.dispatch.PermitGranted(o.clock.now)) })
	}
	if next := o.giver.NextGrant(); len(ids) > 0 && next.After(o.clock.now) {
		o.clock.after(next.Sub(o.clock.now), func() { o.grant(o.giver.Tick(o.clock.now)) })
	}
}

func (e *ourEngine) ended(j *job) {
	delete(e.jobs, j.handle)
	e.sys.out.note(e.sys.clock.now, j)
	e.act(e.dispatch.Finished(e.sys.clock.now, j.handle))
	e.hint(rendezvous.Hash(adapterOf(j.adapter).String()), adapterOf(j.adapter))
}
