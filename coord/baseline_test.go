package coord_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// baseline is a system to compare with. A rule picks the engine. Engines load a missing
// adapter at once, evict the least recently used adapter and serve requests in order of
// arrival.
type baseline struct {
	*replay
	engines []*baselineEngine
	pick    func(s *baseline, j *job) *baselineEngine
	rng     *rand.Rand
}

type baselineEngine struct {
	sys     *baseline
	batcher *batcher
	slots   []*baselineSlot
	waiting []*job
}

type baselineSlot struct {
	adapter  int
	ready    bool
	pins     int
	lastUsed time.Time
}

func newBaseline(r *replay, seed uint64, pick func(*baseline, *job) *baselineEngine) *baseline {
	s := &baseline{replay: r, pick: pick, rng: rand.New(rand.NewPCG(seed, 3))}
	for range r.engines {
		e := &baselineEngine{sys: s}
		e.batcher = r.newBatcher(e.requestFinished)
		s.engines = append(s.engines, e)
	}
	return s
}

func pickRandom(s *baseline, _ *job) *baselineEngine { return s.engines[s.rng.IntN(len(s.engines))] }

func pickLeastLoaded(s *baseline, _ *job) *baselineEngine {
	return slices.MinFunc(s.engines, func(a, b *baselineEngine) int {
		return len(a.waiting) + len(a.batcher.running) - len(b.waiting) - len(b.batcher.running)
	})
}

func pickHash(s *baseline, j *job) *baselineEngine {
	h := uint64(j.adapter+1) * 0x9e3779b97f4a7c15
	return s.engines[(h>>33)%uint64(len(s.engines))]
}

func (s *baseline) submit(j *job) {
	e := s.pick(s, j)
	slot := e.findSlot(j.adapter)
	j.waitedForLoad = slot == nil || !slot.ready
	e.waiting = append(e.waiting, j)
	e.processQueue()
}

func (e *baselineEngine) findSlot(adapter int) *baselineSlot {
	for _, s := range e.slots {
		if s.adapter == adapter {
			return s
		}
	}
	return nil
}

// processQueue starts the waiting requests that can start, in order of arrival, and
// loads the adapters that are missing.
func (e *baselineEngine) processQueue() {
	now := e.sys.clock.now
	remaining := e.waiting[:0]
	for _, j := range e.waiting {
		slot := e.findSlot(j.adapter)
		switch {
		case now.Sub(j.at) >= requestTimeout:
			e.sys.refuse("deadline")
		case slot != nil && slot.ready && len(e.batcher.running) < e.sys.batchLimit:
			e.start(j, slot)
		default:
			remaining = append(remaining, j)
			if slot == nil {
				e.load(j.adapter)
			}
		}
	}
	e.waiting = remaining
}

func (e *baselineEngine) start(j *job, slot *baselineSlot) {
	slot.pins++
	slot.lastUsed = e.sys.clock.now
	if j.waitedForLoad {
		j.stall = e.sys.clock.now.Sub(j.at)
	}
	e.batcher.add(j)
}

func (e *baselineEngine) load(adapter int) {
	if len(e.slots) >= e.sys.slots && !e.evict() {
		return
	}
	slot := &baselineSlot{adapter: adapter, lastUsed: e.sys.clock.now}
	e.slots = append(e.slots, slot)
	e.sys.store.fetch(func(ok bool) {
		slot.ready = ok
		if !ok {
			e.slots = slices.DeleteFunc(e.slots, func(s *baselineSlot) bool { return s == slot })
		}
		e.processQueue()
	})
}

func (e *baselineEngine) evict() bool {
	var oldest *baselineSlot
	for _, s := range e.slots {
		if s.ready && s.pins == 0 && (oldest == nil || s.lastUsed.Before(oldest.lastUsed)) {
			oldest = s
		}
	}
	e.slots = slices.DeleteFunc(e.slots, func(s *baselineSlot) bool { return s == oldest })
	return oldest != nil
}

func (e *baselineEngine) requestFinished(j *job) {
	if s := e.findSlot(j.adapter); s != nil {
		s.pins--
	}
	e.sys.result.record(e.sys.clock.now, j)
	e.processQueue()
}

// oracle is a clairvoyant system. All slots form one pool, and the victim is the adapter
// whose next request is furthest in the future. Loads run one at a time, the adapter with
// the most waiting requests first. A request starts as soon as its adapter is resident,
// without a batch limit. The load stall is a lower bound as far as that load order is
// optimal.
type oracle struct {
	*replay
	useTimes map[int][]time.Time
	resident map[int]bool
	waiting  map[int][]*job
	loading  bool
}

func newOracle(r *replay, seed uint64) *oracle {
	o := &oracle{replay: r, useTimes: map[int][]time.Time{}, resident: map[int]bool{}, waiting: map[int][]*job{}}
	for _, a := range r.arrivals(seed) {
		o.useTimes[a.adapter] = append(o.useTimes[a.adapter], a.at)
	}
	return o
}

func (o *oracle) submit(j *job) {
	j.waitedForLoad = !o.resident[j.adapter]
	if !j.waitedForLoad {
		o.serve(j)
		return
	}
	o.waiting[j.adapter] = append(o.waiting[j.adapter], j)
	o.loadNext()
}

func (o *oracle) serve(j *job) {
	j.started = o.clock.now
	if j.waitedForLoad {
		j.stall = o.clock.now.Sub(j.at)
	}
	o.result.record(o.clock.now, j)
}

func (o *oracle) loadNext() {
	if o.loading || len(o.waiting) == 0 {
		return
	}
	best := -1
	for a, w := range o.waiting {
		if best < 0 || len(w) > len(o.waiting[best]) || (len(w) == len(o.waiting[best]) && w[0].at.Before(o.waiting[best][0].at)) {
			best = a
		}
	}
	o.loading = true
	o.store.fetch(func(bool) {
		o.loading = false
		if len(o.resident) >= o.engines*o.slots {
			delete(o.resident, o.victim())
		}
		o.resident[best] = true
		for _, j := range o.waiting[best] {
			o.serve(j)
		}
		delete(o.waiting, best)
		o.loadNext()
	})
}

// victim returns the resident adapter whose next request is the furthest in the future.
func (o *oracle) victim() int {
	best, at := -1, time.Time{}
	for a := range o.resident {
		next := epoch.Add(time.Duration(math.MaxInt64 / 4))
		uses := o.useTimes[a]
		if i, _ := slices.BinarySearchFunc(uses, o.clock.now, time.Time.Compare); i < len(uses) {
			next = uses[i]
		}
		if best < 0 || next.After(at) || (next.Equal(at) && a < best) {
			best, at = a, next
		}
	}
	return best
}
