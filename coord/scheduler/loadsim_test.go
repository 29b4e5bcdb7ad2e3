package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// deployment describes the simulated system: engines that prefill prompts one after another while
// they generate, and a store that serves some loads at full speed.
type deployment struct {
	engines, slots, batch int
	// cachedAdapters is how many adapters an engine can load without the store.
	cachedAdapters int
	// storeConcurrency is how many loads the store serves at full speed, each in loadTime. With
	// more, all of them take proportionally longer.
	storeConcurrency int
	loadTime         time.Duration
	// promptTokensPerMs is the prefill speed, in tokens per ms; tokenTime is the time to
	// generate a token.
	promptTokensPerMs float64
	tokenTime         time.Duration
	adapters          int
	// zipfExponent and zipfOffset describe the adapters' popularity. With 1.2 and 3 the most
	// popular one gets 6 of 100 requests.
	zipfExponent, zipfOffset float64
	// simulatesBatch selects engines with a batch, preemption and prefill in chunks.
	simulatesBatch bool
	// limitedBatch makes requests wait at an engine whose batch is full, most urgent first. Without
	// it, engines run any number of requests.
	limitedBatch bool
	// zones is the number of zones of the engines; zero means one unnamed zone.
	zones int
	// paces are the relative durations of steps, assigned to the engines in turn; empty: 1.
	paces []float64
	// namesTeams makes the name of a request's kind that of its team.
	namesTeams bool
	// answerDelay is the longest extra delay of the answer to an order; each one is random.
	answerDelay time.Duration
}

// requestKind is a kind of request.
type requestKind struct {
	name           string
	perSecond      float64
	objective      time.Duration
	deadline       time.Duration
	prompt, output float64 // mean, in tokens
	priority       int
}

// largeFleet is like the largest production deployment.
var largeFleet = deployment{
	engines: 78, slots: 14, batch: 24, cachedAdapters: 84, storeConcurrency: 32, loadTime: 250 * time.Millisecond,
	promptTokensPerMs: 19.2, tokenTime: 10500 * time.Microsecond, adapters: 24_000, zipfExponent: 1.2, zipfOffset: 3,
}

// workload is a mix of request kinds.
type workload []requestKind

// scaled returns the workload with its request rates multiplied by factor.
func (k workload) scaled(factor float64) workload {
	out := slices.Clone(k)
	for i := range out {
		out[i].perSecond *= factor
	}
	return out
}

// burst is a heavy workload for largeFleet.
var burst = workload{
	{"drafts", 203, 800 * time.Millisecond, 15 * time.Second, 1460, 171, 1},
	{"reports", 28.2, time.Second, 15 * time.Second, 1460, 171, 1},
	{"questions", 124, 600 * time.Millisecond, 8 * time.Second, 646, 69, 0},
}

// outcome counts the results for the callers of one kind.
type outcome struct {
	submitted, inTime, late, refused, failed int
	// paused counts streams with a first event in time and a pause over simPauseLimit.
	paused int
	// retriedInTime counts requests that were refused, retried after the given delay and then in
	// time. They do not count as inTime, late or refused.
	retriedInTime int
	// longestRefusedWait is the longest time that a request waited before it was refused.
	longestRefusedWait time.Duration
	// refusedLate counts requests that were refused after more than a quarter of their objective.
	refusedLate int
}

// result is the result of a simulation.
type result struct {
	byKind map[string]*outcome
	// perSecond has the number of requests in time and of those submitted, for each second.
	perSecond  [][2]int
	storeLoads int
	retries    int // attempts that were not run
	preempted  int
	// pausedByPreemption counts pauses of preempted runs.
	pausedByPreemption int
	// rejectedOrders is the number of orders that an engine rejected.
	rejectedOrders int
}

func (r *result) total() (t outcome) {
	for _, o := range r.byKind {
		t.add(o)
	}
	return t
}

func (o *outcome) add(x *outcome) {
	o.submitted += x.submitted
	o.inTime += x.inTime
	o.late += x.late
	o.paused += x.paused
	o.refused += x.refused
	o.retriedInTime += x.retriedInTime
	o.failed += x.failed
	o.refusedLate += x.refusedLate
	o.longestRefusedWait = max(o.longestRefusedWait, x.longestRefusedWait)
}

// score rates the responses that callers got: a late response counts a tenth, and one in time at
// the second attempt about half.
func (o *outcome) score() float64 {
	return (float64(o.inTime) + 0.55*float64(o.retriedInTime) + 0.1*float64(o.late)) / float64(max(o.submitted, 1))
}

func ratio(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

func (r *result) String() string {
	t := r.total()
	text := fmt.Sprintf("score %.3f, in time %.3f, retried in time %.3f, late %.3f, refused %.3f (%d late, longest wait %v), failed %d, loads %d, retries %d, rejected orders %d; by second",
		t.score(), ratio(t.inTime, t.submitted), ratio(t.retriedInTime, t.submitted), ratio(t.late, t.submitted), ratio(t.refused, t.submitted), t.refusedLate, t.longestRefusedWait.Round(time.Millisecond), t.failed, r.storeLoads, r.retries, r.rejectedOrders)
	for _, s := range r.perSecond {
		text += fmt.Sprintf(" %.2f", ratio(s[0], s[1]))
	}
	return text
}

// simRequest is a caller's request.
type simRequest struct {
	kind        *requestKind
	ref         coord.AdapterRef
	submittedAt time.Time
	// retriedAt is the time of the retry; zero if there was none.
	retriedAt    time.Time
	promptTokens int
	outputTokens int
}

// loadSim drives a Scheduler in virtual time, in steps of 1 ms.
type loadSim struct {
	deployment           deployment
	rng                  *rand.Rand
	s                    *Scheduler
	now                  time.Time
	callbacks            map[int64][]func()
	engines              map[string]*simEngine
	engineIDs            []string
	loads                []*simLoad
	openRequests         map[Key]*simRequest
	cumulativePopularity []float64 // of adapters, by rank
	// rankShift is added to the ranks of adapters: shifts in demand change it.
	rankShift  int
	lastTicket uint64
	result     *result
	onStep     func() // called in each step; nil: none
}

const messageDelay = time.Millisecond // one-way network delay between VMs and engines

// runLoadSim submits requests for the given duration once the engines are known. It calls onSecond
// in each second.
func runLoadSim(d deployment, cfg Config, requestKinds []requestKind, duration time.Duration, seed uint64, onSecond func(sim *loadSim, second int)) *result {
	sim := &loadSim{
		deployment: d, rng: rand.New(rand.NewPCG(seed, 11)), s: New(cfg), now: start, callbacks: map[int64][]func(){},
		engines: map[string]*simEngine{}, openRequests: map[Key]*simRequest{}, result: &result{byKind: map[string]*outcome{}},
	}
	total := 0.0
	for i := range d.adapters {
		total += math.Pow(float64(i+1)+d.zipfOffset, -d.zipfExponent)
		sim.cumulativePopularity = append(sim.cumulativePopularity, total)
	}
	for i := range d.engines {
		e := &simEngine{id: fmt.Sprintf("t%03d", i), slots: map[coord.AdapterRef]bool{}, pace: 1}
		if len(d.paces) > 0 {
			e.pace = d.paces[i%len(d.paces)]
		}
		if d.zones > 0 {
			e.zone = fmt.Sprintf("z%d", i%d.zones)
		}
		sim.engines[e.id] = e
		sim.engineIDs = append(sim.engineIDs, e.id)
	}
	sim.execute(sim.s.SetTargets(sim.now, sim.announced()))
	sim.execute(sim.s.SetLeading(sim.now, true, nil))
	sim.execute(sim.s.SetLease(sim.now, 1))
	sim.run(3*time.Second, nil)
	loadStart := sim.now
	for i := range requestKinds {
		sim.result.byKind[requestKinds[i].name] = &outcome{}
		sim.scheduleArrivals(&requestKinds[i], loadStart.Add(duration))
	}
	second := -1
	sim.run(duration+2*time.Second, func() {
		if s := int(sim.now.Sub(loadStart) / time.Second); s != second {
			second = s
			sim.result.perSecond = append(sim.result.perSecond, [2]int{})
			if onSecond != nil {
				onSecond(sim, s)
			}
		}
	})
	return sim.result
}

// runLoadSims returns the sum of the results of simulations with several seeds.
func runLoadSims(d deployment, cfg Config, requestKinds []requestKind, duration time.Duration, seeds uint64) *result {
	sum := runLoadSim(d, cfg, requestKinds, duration, 1, nil)
	for seed := uint64(2); seed <= seeds; seed++ {
		r := runLoadSim(d, cfg, requestKinds, duration, seed, nil)
		for name, o := range r.byKind {
			sum.byKind[name].add(o)
		}
		sum.storeLoads += r.storeLoads
		sum.retries += r.retries
		sum.rejectedOrders += r.rejectedOrders
	}
	return sum
}

func (sim *loadSim) announced() []AnnouncedTarget {
	var out []AnnouncedTarget
	for id, e := range sim.engines {
		if !e.unresponsive && !e.crashed {
			out = append(out, AnnouncedTarget{ID: id, Ready: true, Zone: e.zone, Resident: []ResidentItem{{Ref: base}}})
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

func (sim *loadSim) schedule(d time.Duration, f func()) {
	at := sim.now.Add(max(d, time.Millisecond)).UnixMilli()
	sim.callbacks[at] = append(sim.callbacks[at], f)
}

func (sim *loadSim) run(duration time.Duration, onStep func()) {
	for end := sim.now.Add(duration); sim.now.Before(end); {
		sim.now = sim.now.Add(time.Millisecond)
		if onStep != nil {
			onStep()
		}
		if sim.onStep != nil {
			sim.onStep()
		}
		sim.advanceLoads()
		sim.advanceBatches()
		ms := sim.now.UnixMilli()
		due := sim.callbacks[ms]
		delete(sim.callbacks, ms)
		for _, f := range due {
			f()
		}
		if ms%20 == 0 {
			sim.execute(sim.s.Tick(sim.now))
		}
	}
}

// scheduleArrivals schedules the next request of a kind, and those after it until end.
func (sim *loadSim) scheduleArrivals(k *requestKind, end time.Time) {
	sim.schedule(time.Duration(sim.rng.ExpFloat64()/k.perSecond*float64(time.Second)), func() {
		if sim.now.After(end) {
			return
		}
		sim.submitNew(k)
		sim.scheduleArrivals(k, end)
	})
}

func (sim *loadSim) submitNew(k *requestKind) {
	sim.lastTicket++
	rank, _ := slices.BinarySearch(sim.cumulativePopularity, sim.rng.Float64()*sim.cumulativePopularity[len(sim.cumulativePopularity)-1])
	sampleTokens := func(mean float64) int { return max(int(mean*min(sim.rng.ExpFloat64()*0.7+0.3, 4)), 1) }
	r := &simRequest{
		kind: k, ref: ref(fmt.Sprintf("a%d", (rank+sim.rankShift+len(sim.cumulativePopularity))%len(sim.cumulativePopularity))), submittedAt: sim.now, promptTokens: sampleTokens(k.prompt), outputTokens: sampleTokens(k.output),
	}
	sim.result.byKind[k.name].submitted++
	sim.result.perSecond[len(sim.result.perSecond)-1][1]++
	key := Key{VM: "vm", Ticket: sim.lastTicket}
	sim.openRequests[key] = r
	sim.submit(key, r, nil)
}

func (sim *loadSim) submit(key Key, r *simRequest, exclude []string) {
	since := r.submittedAt
	if !r.retriedAt.IsZero() {
		since = r.retriedAt
	}
	team := ""
	if sim.deployment.namesTeams {
		team = r.kind.name
	}
	sim.execute(sim.s.Submit(sim.now, Request{
		Key: key, Team: team, Ref: r.ref, PromptTokens: r.promptTokens, OutputTokens: r.outputTokens, Priority: r.kind.priority, Exclude: exclude,
		Objective: max(since.Add(r.kind.objective).Sub(sim.now), time.Millisecond), Deadline: r.submittedAt.Add(r.kind.deadline),
		FirstEventDeadline: since.Add(max(2*time.Second, 4*r.kind.objective)),
	}))
}

func (sim *loadSim) execute(acts []Action) {
	for _, a := range acts {
		e := sim.engines[a.Target]
		switch a.Kind {
		case ActGrant:
			sim.schedule(2*messageDelay, func() { sim.startRequest(a, e) })
		case ActRefuse:
			sim.handleRefusal(a)
		case ActLoad:
			sim.schedule(messageDelay, func() { sim.handleLoadOrder(a, e) })
		case ActUnload:
			sim.schedule(messageDelay, func() { sim.handleUnloadOrder(a, e) })
		case ActReadReport:
			wait := 100 * time.Millisecond
			if e.unresponsive {
				wait = 1500 * time.Millisecond
			}
			sim.schedule(wait, func() { sim.sendReport(e) })
		}
	}
}

// handleRefusal lets a caller retry once if the retry delay is within a third of its remaining
// time.
func (sim *loadSim) handleRefusal(a Action) {
	r := sim.openRequests[a.Key]
	delete(sim.openRequests, a.Key)
	o := sim.result.byKind[r.kind.name]
	waited := sim.now.Sub(r.submittedAt)
	if !r.retriedAt.IsZero() {
		waited = sim.now.Sub(r.retriedAt)
	}
	o.longestRefusedWait = max(o.longestRefusedWait, waited)
	if waited > r.kind.objective/4 {
		o.refusedLate++
	}
	remaining := r.submittedAt.Add(r.kind.deadline).Sub(sim.now)
	if !r.retriedAt.IsZero() || a.RetryAfter <= 0 || a.RetryAfter > remaining/3 {
		o.refused++
		return
	}
	sim.schedule(a.RetryAfter, func() {
		r.retriedAt = sim.now
		sim.lastTicket++
		key := Key{VM: "vm", Ticket: sim.lastTicket}
		sim.openRequests[key] = r
		sim.submit(key, r, nil)
	})
}
