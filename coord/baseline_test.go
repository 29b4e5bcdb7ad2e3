package coord_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// simple is a baseline: a rule that picks the engine, and engines that load what
// they lack at once, evict the least recently used and serve first come first.
type simple struct {
	*replay
	engines []*simpleEngine
	pick    func(s *simple, j *job) *simpleEngine
	rng     *rand.Rand
}

type simpleEngine struct {
	sys     *simple
	batcher *batcher
	slots   []*simpleSlot
	waiting []*job
}

type simpleSlot struct {
	adapter int
	ready   bool
	pins    int
	used    time.Time
}

func newSimple(r *replay, seed uint64, pick func(*simple, *job) *simpleEngine) *simple {
	s := &simple{replay: r, pick: pick, rng: rand.New(rand.NewPCG(seed, 3))}
	for range r.engines {
		e := &simpleEngine{sys: s}
		e.batcher = r.newBatcher(e.ended)
		s.engines = append(s.engines, e)
	}
	return s
}

func pickRandom(s *simple, _ *job) *simpleEngine { return s.engines[s.rng.IntN(len(s.engines))] }

func pickLeastLoaded(s *simple, _ *job) *simpleEngine {
	return slices.MinFunc(s.engines, func(a, b *simpleEngine) int {
		return len(a.waiting) + len(a.batcher.running) - len(b.waiting) - len(b.batcher.running)
	})
}

func pickHash(s *simple, j *job) *simpleEngine {
	h := uint64(j.adapter+1) * 0x9e3779b97f4a7c15
	return s.engines[(h>>33)%uint64(len(s.engines))]
}

func (s *simple) submit(j *job) {
	e := s.pick(s, j)
	slot := e.find(j.adapter)
	j.waited = slot == nil || !slot.ready
	e.waiting = append(e.waiting, j)
	e.settle()
}

func (e *simpleEngine) find(adapter int) *simpleSlot {
	for _, s := range e.slots {
		if s.adapter == adapter {
			return s
		}
	}
	return nil
}

// settle starts what can start, in order of arrival, and loads what is missing.
func (e *simpleEngine) settle() {
	now := e.sys.clock.now
	kept := e.waiting[:0]
	for _, j := range e.waiting {
		slot := e.find(j.adapter)
		switch {
		case now.Sub(j.at) >= patience:
			e.sys.refuse("deadline")
		case slot != nil && slot.ready && len(e.batcher.running) < e.sys.batch:
			e.start(j, slot)
		default:
			kept = append(kept, j)
			if slot == nil {
				e.load(j.adapter)
			}
		}
	}
	e.waiting = kept
}

func (e *simpleEngine) start(j *job, slot *simpleSlot) {
	slot.pins++
	slot.used = e.sys.clock.now
	if j.waited {
		j.stall = e.sys.clock.now.Sub(j.at)
	}
	e.batcher.add(j)
}

func (e *simpleEngine) load(adapter int) {
	if len(e.slots) >= e.sys.slots && !e.evict() {
		return
	}
	slot := &simpleSlot{adapter: adapter, used: e.sys.clock.now}
	e.slots = append(e.slots, slot)
	e.sys.store.fetch(func(ok bool) {
		slot.ready = ok
		if !ok {
			e.slots = slices.DeleteFunc(e.slots, func(s *simpleSlot) bool { return s == slot })
		}
		e.settle()
	})
}

func (e *simpleEngine) evict() bool {
	var oldest *simpleSlot
	for _, s := range e.slots {
		if s.ready && s.pins == 0 && (oldest == nil || s.used.Before(oldest.used)) {
			oldest = s
		}
	}
	e.slots = slices.DeleteFunc(e.slots, func(s *simpleSlot) bool { return s == oldest })
	return oldest != nil
}

func (e *simpleEngine) ended(j *job) {
	if s := e.find(j.adapter); s != nil {
		s.pins--
	}
	e.sys.out.note(e.sys.clock.now, j)
	e.settle()
}

// oracle knows the future: all slots are one pool, the victim is the adapter that
// is asked for last, loads go one at a time to the most waiters first, and every
// request runs at once on a full step. It bounds the load stall from below as far
// as that order of loads is the best.
type oracle struct {
	*replay
	uses    map[int][]time.Time
	held    map[int]bool
	waiting map[int][]*job
	busy    bool
}

func newOracle(r *replay, seed uint64) *oracle {
	o := &oracle{replay: r, uses: map[int][]time.Time{}, held: map[int]bool{}, waiting: map[int][]*job{}}
	for _, a := range r.arrivals(seed) {
		o.uses[a.adapter] = append(o.uses[a.adapter], a.at)
	}
	return o
}

func (o *oracle) submit(j *job) {
	j.waited = !o.held[j.adapter]
	if !j.waited {
		o.serve(j)
		return
	}
	o.waiting[j.adapter] = append(o.waiting[j.adapter], j)
	o.loadNext()
}

func (o *oracle) serve(j *job) {
	j.started = o.clock.now
	if j.waited {
		j.stall = o.clock.now.Sub(j.at)
	}
	o.out.note(o.clock.now, j)
}

func (o *oracle) loadNext() {
	if o.busy || len(o.waiting) == 0 {
		return
	}
	best := -1
	for a, w := range o.waiting {
		if best < 0 || len(w) > len(o.waiting[best]) || (len(w) == len(o.waiting[best]) && w[0].at.Before(o.waiting[best][0].at)) {
			best = a
		}
	}
	o.busy = true
	o.store.fetch(func(bool) {
		o.busy = false
		if len(o.held) >= o.engines*o.slots {
			delete(o.held, o.farthest())
		}
		o.held[best] = true
		for _, j := range o.waiting[best] {
			o.serve(j)
		}
		delete(o.waiting, best)
		o.loadNext()
	})
}

// farthest returns the held adapter whose next use is the latest.
func (o *oracle) farthest() int {
	best, at := -1, time.Time{}
	for a := range o.held {
		next := epoch.Add(time.Duration(math.MaxInt64 / 4))
		uses := o.uses[a]
		if i, _ := slices.BinarySearchFunc(uses, o.clock.now, time.Time.Compare); i < len(uses) {
			next = uses[i]
		}
		if best < 0 || next.After(at) || (next.Equal(at) && a < best) {
			best, at = a, next
		}
	}
	return best
}
