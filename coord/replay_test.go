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

// scenario is one case of the replay: a fleet of one of the users' sizes, with its
// request arrivals and faults.
type scenario struct {
	name       string
	engines    int
	slots      int
	batchLimit int
	adapters   int
	// rate is the number of arrivals per second; zipf is the exponent of the popularity
	// distribution of adapters.
	rate   float64
	zipf   float64
	length time.Duration
	// At shiftAt the popularity of the adapters is reassigned. From burstAt on, half of
	// all requests use three adapters for ten seconds. At coldAt one engine restarts
	// with empty slots. Zero disables the fault.
	shiftAt, burstAt, coldAt time.Duration
	// loadFailureRate is the fraction of loads that fail.
	loadFailureRate float64
	// highPriorityShare is the fraction of requests with a higher priority.
	highPriorityShare float64
}

// Parameters of the modeled engines and weight store.
const (
	uncontendedLoadTime = time.Second / 3
	stepBase            = 10 * time.Millisecond
	stepPerRequest      = 500 * time.Microsecond
	meanTokens          = 100
	requestTimeout      = 30 * time.Second
)

func baseScenario() scenario {
	return scenario{engines: 12, slots: 8, batchLimit: 16, adapters: 3000, zipf: 1, length: 4 * time.Minute}
}

// arrival is one request of a scenario.
type arrival struct {
	at      time.Time
	adapter int
	rank    int
	tokens  float64
}

var epoch = time.Unix(1_000_000, 0)

// arrivals generates the requests of a scenario from a seed.
func (s scenario) arrivals(seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 99))
	cumulativeWeights := make([]float64, s.adapters)
	sum := 0.0
	for i := range cumulativeWeights {
		sum += 1 / math.Pow(float64(i+1), s.zipf)
		cumulativeWeights[i] = sum
	}
	var out []arrival
	for t := time.Duration(0); ; {
		t += time.Duration(rng.ExpFloat64() / s.rate * float64(time.Second))
		if t > s.length {
			return out
		}
		pick, _ := slices.BinarySearch(cumulativeWeights, rng.Float64()*sum)
		if s.shiftAt > 0 && t >= s.shiftAt {
			pick = (pick + s.adapters/2) % s.adapters
		}
		if s.burstAt > 0 && t >= s.burstAt && t < s.burstAt+10*time.Second && rng.IntN(2) == 0 {
			pick = s.adapters - 1 - rng.IntN(3)
		}
		a := arrival{at: epoch.Add(t), adapter: pick, tokens: 1 + rng.ExpFloat64()*meanTokens}
		if rng.Float64() < s.highPriorityShare {
			a.rank = 2
		}
		out = append(out, a)
	}
}

// event is a function to call at a virtual time.
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

// clock is a virtual clock that runs events in order of time.
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
	handle        uint64
	started       time.Time
	tokensLeft    float64
	waitedForLoad bool
	stall         time.Duration
}

// batcher models the continuous batching of an engine: every running request gets one
// token per step, and the duration of a step grows with the batch size.
type batcher struct {
	clock       *clock
	running     map[uint64]*job
	lastAdvance time.Time
	version     int
	onFinished  func(*job)
	// used and capacity are the time integrals of the number of running requests and of
	// the batch limit, over the time in which any request ran.
	used, capacity float64
	batchLimit     int
}

func (b *batcher) advance() {
	dt := b.clock.now.Sub(b.lastAdvance).Seconds()
	b.lastAdvance = b.clock.now
	n := len(b.running)
	if n == 0 {
		return
	}
	b.used += dt * float64(n)
	b.capacity += dt * float64(b.batchLimit)
	tokens := dt / b.step().Seconds()
	for _, j := range b.running {
		j.tokensLeft -= tokens
	}
}

func (b *batcher) step() time.Duration {
	return stepBase + time.Duration(len(b.running))*stepPerRequest
}

func (b *batcher) add(j *job) {
	b.advance()
	j.started = b.clock.now
	j.tokensLeft = j.tokens
	b.running[j.handle] = j
	b.schedule()
}

func (b *batcher) schedule() {
	b.version++
	version := b.version
	shortest := math.Inf(1)
	for _, j := range b.running {
		shortest = min(shortest, j.tokensLeft)
	}
	if math.IsInf(shortest, 1) {
		return
	}
	wait := time.Duration(max(shortest, 0) * float64(b.step()))
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
		if j.tokensLeft <= 1e-6 {
			done = append(done, j)
			delete(b.running, h)
		}
	}
	slices.SortFunc(done, func(x, y *job) int { return int(x.handle) - int(y.handle) })
	b.schedule()
	for _, j := range done {
		b.onFinished(j)
	}
}

// store models the weight store: concurrent loads share its bandwidth.
type store struct {
	clock       *clock
	rng         *rand.Rand
	failureRate float64
	active      map[int]*fetch
	next        int
	lastAdvance time.Time
	version     int
	loads       int
}

type fetch struct {
	secondsLeft float64
	done        func(ok bool)
}

func (s *store) fetch(done func(ok bool)) {
	s.advance()
	s.next++
	s.loads++
	s.active[s.next] = &fetch{secondsLeft: uncontendedLoadTime.Seconds(), done: done}
	s.schedule()
}

func (s *store) advance() {
	dt := s.clock.now.Sub(s.lastAdvance).Seconds()
	s.lastAdvance = s.clock.now
	for _, f := range s.active {
		f.secondsLeft -= dt / float64(len(s.active))
	}
}

func (s *store) schedule() {
	s.version++
	version := s.version
	shortest := math.Inf(1)
	for _, f := range s.active {
		shortest = min(shortest, f.secondsLeft)
	}
	if math.IsInf(shortest, 1) {
		return
	}
	wait := time.Duration(max(shortest, 0) * float64(len(s.active)) * float64(time.Second))
	s.clock.after(wait+time.Microsecond, func() {
		if version != s.version {
			return
		}
		s.advance()
		for id := 1; id <= s.next; id++ {
			if f := s.active[id]; f != nil && f.secondsLeft <= 1e-5 {
				delete(s.active, id)
				defer f.done(s.rng.Float64() >= s.failureRate)
			}
		}
		s.schedule()
	})
}

// replayResult holds the measurements of a replay.
type replayResult struct {
	stalls []float64
	// arrivalTimes are the arrival times of the served requests since the start of the
	// replay, in the order of stalls.
	arrivalTimes      []time.Duration
	ttfts             []float64
	highPriorityTTFTs []float64
	served            int
	refused           map[string]int
	waitedForLoad     int
	loads             int
	batchUsed         float64
	batchCapacity     float64
	requests          int
}

func (r *replayResult) record(now time.Time, j *job) {
	r.served++
	stall := j.stall.Seconds()
	if j.waitedForLoad {
		r.waitedForLoad++
	}
	r.stalls = append(r.stalls, stall)
	r.arrivalTimes = append(r.arrivalTimes, j.at.Sub(epoch))
	ttft := j.started.Sub(j.at).Seconds()
	r.ttfts = append(r.ttfts, ttft)
	if j.rank > 0 {
		r.highPriorityTTFTs = append(r.highPriorityTTFTs, ttft)
	}
}

// stallsBetween returns the stalls of the requests that arrived in [from, to) of the
// replay.
func (r *replayResult) stallsBetween(from, to time.Duration) []float64 {
	var out []float64
	for i, at := range r.arrivalTimes {
		if at >= from && at < to {
			out = append(out, r.stalls[i])
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

// system is a scheduling system under replay.
type system interface {
	submit(j *job)
}

// replay holds the state that all systems share.
type replay struct {
	scenario
	clock  clock
	store  *store
	result replayResult
}

func newReplay(s scenario, seed uint64) *replay {
	r := &replay{scenario: s}
	r.clock.now = epoch
	r.store = &store{clock: &r.clock, rng: rand.New(rand.NewPCG(seed, 5)), failureRate: s.loadFailureRate, active: map[int]*fetch{}, lastAdvance: epoch}
	r.result.refused = map[string]int{}
	return r
}

func (r *replay) newBatcher(onFinished func(*job)) *batcher {
	return &batcher{clock: &r.clock, running: map[uint64]*job{}, lastAdvance: epoch, onFinished: onFinished, batchLimit: r.batchLimit}
}

// run submits the arrivals to a system and returns the result.
func (r *replay) run(sys system, batchers []*batcher, seed uint64) replayResult {
	for i, a := range r.arrivals(seed) {
		r.result.requests++
		r.clock.after(a.at.Sub(r.clock.now), func() { sys.submit(&job{arrival: a, handle: uint64(i + 1)}) })
	}
	r.clock.run(epoch.Add(r.length + 2*requestTimeout))
	for _, b := range batchers {
		b.advance()
		r.result.batchUsed += b.used
		r.result.batchCapacity += b.capacity
	}
	r.result.loads = r.store.loads
	return r.result
}

func (r *replay) refuse(cause string) { r.result.refused[cause]++ }

// daemonSystem is built of the parts that the daemon uses: placement, a dispatcher for
// each engine, and the issuer of load permits.
type daemonSystem struct {
	*replay
	pool           *placement.Pool
	scheduler      *placement.Scheduler
	loadTracker    *placement.LoadTracker
	spread         *placement.Spread
	issuer         *loadpermit.Issuer
	engines        []*daemonEngine
	permitRequests map[uint64]*daemonEngine
	lastPermitID   uint64
	byID           map[coord.TargetID]*daemonEngine
	// tune changes the dispatchers' settings that a benchmark compares.
	tune func(*dispatch.Config)
}

type daemonEngine struct {
	id          coord.TargetID
	sys         *daemonSystem
	dispatcher  *dispatch.Dispatcher
	batcher     *batcher
	jobs        map[uint64]*job
	permitID    uint64
	incarnation int
}

func newDaemonSystem(r *replay, tune func(*dispatch.Config)) *daemonSystem {
	s := &daemonSystem{
		replay: r, scheduler: placement.DefaultScheduler(), loadTracker: placement.NewLoadTracker(placement.DefaultLoadTrackerConfig()),
		spread: placement.NewSpread(placement.DefaultSpreadConfig()), tune: tune,
		issuer:         loadpermit.New(loadpermit.Config{PerSecond: 3, Concurrent: 1, MaxHoldTime: 5 * time.Second}),
		permitRequests: map[uint64]*daemonEngine{}, byID: map[coord.TargetID]*daemonEngine{},
	}
	var targets []placement.Target
	for i := range r.engines {
		e := &daemonEngine{id: coord.TargetID(fmt.Sprintf("engine-%d", i)), sys: s, jobs: map[uint64]*job{}}
		e.batcher = r.newBatcher(e.requestFinished)
		e.boot()
		s.engines = append(s.engines, e)
		s.byID[e.id] = e
		targets = append(targets, placement.Target{ID: e.id, Base: "base", Zone: "hall", Batch: r.batchLimit})
	}
	s.pool = placement.NewMap(targets).Pool("base")
	s.tick()
	return s
}

func (e *daemonEngine) boot() {
	cfg := dispatch.DefaultConfig()
	cfg.Residency.Slots = e.sys.slots
	cfg.Batch = e.sys.batchLimit
	e.sys.tune(&cfg)
	e.dispatcher = dispatch.New(cfg)
	e.incarnation++
}

// tick calls the Tick methods of all parts every 100 ms, as owners do.
func (s *daemonSystem) tick() {
	s.clock.after(100*time.Millisecond, func() {
		s.loadTracker.ExpireStale(s.clock.now)
		s.spread.Tick(s.clock.now)
		for _, e := range s.engines {
			e.execute(e.dispatcher.Tick(s.clock.now))
		}
		s.notifyGranted(s.issuer.Tick(s.clock.now))
		s.tick()
	})
}

func (s *daemonSystem) submit(j *job) {
	key := rendezvous.Hash(adapterOf(j.adapter).String())
	q := placement.Query{Key: key, Zones: ^uint64(0), Spread: s.spread.Width(key), Now: s.clock.now}
	choice := s.scheduler.Pick(s.pool, s.loadTracker, &q)
	s.loadTracker.RecordSent(choice.Target)
	e := s.byID[choice.Target]
	e.jobs[j.handle] = j
	j.waitedForLoad = !e.dispatcher.Slots().IsResident(adapterOf(j.adapter))
	e.execute(e.dispatcher.Submit(s.clock.now, dispatch.Request{
		Handle: j.handle, Adapter: adapterOf(j.adapter), Rank: j.rank, Deadline: j.at.Add(requestTimeout),
	}))
	e.reportLoad(key, adapterOf(j.adapter))
}

// reportLoad applies the load of the engine that a response reports to the entry VM.
func (e *daemonEngine) reportLoad(key uint64, a coord.Adapter) {
	now := e.sys.clock.now
	e.sys.loadTracker.ObserveLoad(now, e.id, e.dispatcher.Running(), e.dispatcher.Queued())
	e.sys.spread.ObserveLoad(now, key, e.dispatcher.AdapterRequests(a), e.sys.batchLimit)
}

func adapterOf(i int) coord.Adapter { return coord.Adapter{Name: fmt.Sprintf("a%d", i), Version: "1"} }

func (e *daemonEngine) execute(acts []dispatch.Action) {
	now := e.sys.clock.now
	for _, a := range acts {
		switch a.Kind {
		case dispatch.ActStart:
			j := e.jobs[a.Handle]
			if j.waitedForLoad {
				j.stall = now.Sub(j.at)
			}
			e.batcher.add(j)
		case dispatch.ActRefuse:
			delete(e.jobs, a.Handle)
			e.sys.refuse(a.Cause.String())
		case dispatch.ActRequestPermit:
			e.sys.lastPermitID++
			e.permitID = e.sys.lastPermitID
			e.sys.permitRequests[e.permitID] = e
			e.sys.notifyGranted(e.sys.issuer.Request(now, loadpermit.Request{ID: e.permitID, Priority: a.Priority}))
		case dispatch.ActRaisePermit:
			e.sys.issuer.RaisePriority(e.permitID, a.Priority)
		case dispatch.ActReturnPermit:
			e.sys.notifyGranted(e.sys.issuer.Cancel(now, e.permitID))
		case dispatch.ActUnload:
			e.afterRoundTrip(func() { e.execute(e.dispatcher.Unloaded(e.sys.clock.now, a.Name, true)) })
		case dispatch.ActLoad:
			incarnation := e.incarnation
			e.sys.store.fetch(func(ok bool) {
				if incarnation == e.incarnation {
					e.loaded(a.Adapter, ok)
				}
			})
		}
	}
}

// afterRoundTrip calls f after the time of one round trip to the engine.
func (e *daemonEngine) afterRoundTrip(f func()) { e.sys.clock.after(2*time.Millisecond, f) }

func (e *daemonEngine) loaded(a coord.Adapter, ok bool) {
	if ok {
		e.execute(e.dispatcher.Loaded(e.sys.clock.now, a))
	} else {
		e.execute(e.dispatcher.LoadFailed(e.sys.clock.now, a))
	}
}

// notifyGranted delivers granted permits to their engines and schedules the next grant.
func (s *daemonSystem) notifyGranted(ids []uint64) {
	for _, id := range ids {
		e := s.permitRequests[id]
		delete(s.permitRequests, id)
		if e == nil {
			continue
		}
		s.clock.after(2*time.Millisecond, func() { e.execute(e.dispatcher.PermitGranted(s.clock.now)) })
	}
	if next := s.issuer.NextGrant(); len(ids) > 0 && next.After(s.clock.now) {
		s.clock.after(next.Sub(s.clock.now), func() { s.notifyGranted(s.issuer.Tick(s.clock.now)) })
	}
}

func (e *daemonEngine) requestFinished(j *job) {
	delete(e.jobs, j.handle)
	e.sys.result.record(e.sys.clock.now, j)
	e.execute(e.dispatcher.Finished(e.sys.clock.now, j.handle))
	e.reportLoad(rendezvous.Hash(adapterOf(j.adapter).String()), adapterOf(j.adapter))
}
