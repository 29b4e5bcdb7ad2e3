// Package placement decides which target should serve an adapter. A request
// passes through small parts:
//
//	Filter  removes targets that must not or should not serve the request;
//	Scorer  rates what is left;
//	Picker  takes the best.
//
// Every VM builds the same Map from the same bundle, so that the first choice
// for an adapter is the same everywhere without a message: its waiters gather
// at one target and share one load. What differs between VMs is only what they
// have heard of each target's load, which answers carry back.
//
// A Map is immutable and may be shared; a Board is one VM's knowledge and needs
// a lock around it. Pick is O(targets of the base model) and does not allocate.
package placement

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Target is what placement needs to know of an engine.
type Target struct {
	ID    coord.TargetID
	Base  string
	Zone  string
	Batch int
	// Leaving targets get no new work.
	Leaving bool

	hash uint64
	bit  uint64
}

// maxHalls is how many halls a Map tells apart, one bit each.
const maxHalls = 64

// Map is the targets of one bundle version, by base model.
type Map struct {
	pools map[string]*Pool
	halls map[string]uint64
}

// Pool is the targets that serve one base model.
type Pool struct {
	Targets []Target
	hashes  []uint64
}

// NewMap returns the Map of the targets. Halls beyond the 64th share the last
// bit: they are told apart no more, and adapters limited to one of them may be
// served in another. The bundle check refuses so many.
func NewMap(targets []Target) *Map {
	m := &Map{pools: map[string]*Pool{}, halls: map[string]uint64{}}
	for _, t := range targets {
		t.hash = rendezvous.Hash(string(t.ID))
		t.bit = m.hallBit(t.Zone)
		p := m.pools[t.Base]
		if p == nil {
			p = &Pool{}
			m.pools[t.Base] = p
		}
		p.Targets = append(p.Targets, t)
		p.hashes = append(p.hashes, t.hash)
	}
	return m
}

func (m *Map) hallBit(hall string) uint64 {
	bit, ok := m.halls[hall]
	if !ok {
		bit = 1 << min(len(m.halls), maxHalls-1)
		m.halls[hall] = bit
	}
	return bit
}

// Pool returns the targets of a base model, or nil.
func (m *Map) Pool(base string) *Pool { return m.pools[base] }

// ZoneMask returns the set of the named halls, for a Query. No names means
// every hall.
func (m *Map) ZoneMask(halls []string) uint64 {
	if len(halls) == 0 {
		return ^uint64(0)
	}
	var mask uint64
	for _, h := range halls {
		mask |= m.halls[h]
	}
	return mask
}

// Query is one request to place.
type Query struct {
	// Key is the rendezvous hash of the adapter.
	Key uint64
	// Zones that may serve it, from HallMask.
	Zones uint64
	// Spread is over how many targets the adapter's requests are spread; at
	// least 1.
	Spread int
	// Exclude are targets that this request has tried.
	Exclude []coord.TargetID
	// Now is the time of the decision.
	Now time.Time
}

// MaxSpread bounds the targets that one adapter is spread over.
const MaxSpread = 16

// fallbacks is how many targets beyond the spread are looked at when the first
// ones are unfit or overfull.
const fallbacks = 2

// Choice is the outcome of a pick.
type Choice struct {
	Target coord.TargetID
	Index  int
	OK     bool
}

// Scheduler joins filters, scorers and the picker.
type Scheduler struct {
	filters []Filter
	scorers []Weighted
}

// Filter removes targets.
type Filter interface {
	// Name of the filter, for explanations.
	Name() string
	// Keep reports whether the target may serve the query.
	Keep(q *Query, t *Target, l *Load) bool
}

// Scorer rates targets from 0, worst, to 1, best.
type Scorer interface {
	Name() string
	// Score rates a target that holds place rank in the query's preference.
	Score(q *Query, t *Target, l *Load, rank int) float64
}

// Weighted is a Scorer with its weight.
type Weighted struct {
	Scorer Scorer
	Weight float64
}

// NewScheduler returns a Scheduler of the given parts.
func NewScheduler(filters []Filter, scorers []Weighted) *Scheduler {
	return &Scheduler{filters: filters, scorers: scorers}
}

// Default returns the Scheduler that the daemon runs when load stalls weigh all.
func Default() *Scheduler { return WithAffinityStep(stepForStalls) }

// WithAffinityStep returns the daemon's Scheduler with another step of affinity.
func WithAffinityStep(step float64) *Scheduler {
	return NewScheduler(
		[]Filter{ZoneFilter{}, LeavingFilter{}, TriedFilter{}, EjectedFilter{}},
		[]Weighted{
			{Scorer: AffinityScorer{Step: step}, Weight: affinityWeight},
			{Scorer: QueueScorer{}, Weight: queueWeight},
		},
	)
}

// Weights of the default scorers. What one is worth against the other is set by
// the step of affinity: see docs/design/load-decisions.md.
const (
	affinityWeight = 1.0
	queueWeight    = 1.0
)

// Pick returns the target for a query. It looks at the spread's targets first
// and then at a few more in order of rendezvous weight.
func (s *Scheduler) Pick(p *Pool, b *LoadTracker, q *Query) Choice {
	var ranked [MaxSpread + fallbacks]int
	want := min(max(q.Spread, 1), MaxSpread) + fallbacks
	n := s.rank(p, b, q, ranked[:want])
	best := Choice{}
	bestScore := 0.0
	for r := 0; r < n; r++ {
		t := &p.Targets[ranked[r]]
		score := s.score(q, t, b.load(t.ID), r)
		if !best.OK || score > bestScore {
			best = Choice{Target: t.ID, Index: ranked[r], OK: true}
			bestScore = score
		}
	}
	return best
}

// rank writes the indexes of the fit targets in order of rendezvous weight.
func (s *Scheduler) rank(p *Pool, b *LoadTracker, q *Query, out []int) int {
	n := 0
	floor := uint64(0)
	for i, h := range p.hashes {
		w := rendezvous.Weight(h, q.Key)
		if n == len(out) && w <= floor {
			continue
		}
		if !s.keeps(q, &p.Targets[i], b.load(p.Targets[i].ID)) {
			continue
		}
		n = place(p.hashes, q.Key, out, n, i, w)
		floor = rendezvous.Weight(p.hashes[out[n-1]], q.Key)
	}
	return n
}

// place inserts target i into out[:n], sorted by weight, dropping the lightest
// when out is full.
func place(hashes []uint64, key uint64, out []int, n, i int, w uint64) int {
	if n < len(out) {
		n++
	}
	at := n - 1
	for at > 0 && rendezvous.Weight(hashes[out[at-1]], key) < w {
		out[at] = out[at-1]
		at--
	}
	out[at] = i
	return n
}

func (s *Scheduler) keeps(q *Query, t *Target, l *Load) bool {
	for _, f := range s.filters {
		if !f.Keep(q, t, l) {
			return false
		}
	}
	return true
}

func (s *Scheduler) score(q *Query, t *Target, l *Load, rank int) float64 {
	sum := 0.0
	for _, w := range s.scorers {
		sum += w.Weight * w.Scorer.Score(q, t, l, rank)
	}
	return sum
}

// Reason is why a target was or was not chosen.
type Reason struct {
	Target coord.TargetID
	// RemovedBy is the filter that removed it; empty when it was scored.
	RemovedBy string
	Rank      int
	Score     float64
}

// Explain rates every target of a pool for a query.
func (s *Scheduler) Explain(p *Pool, b *LoadTracker, q *Query) []Reason {
	var ranked [MaxSpread + fallbacks]int
	want := min(max(q.Spread, 1), MaxSpread) + fallbacks
	n := s.rank(p, b, q, ranked[:want])
	place := make(map[int]int, n)
	for r := 0; r < n; r++ {
		place[ranked[r]] = r
	}
	out := make([]Reason, 0, len(p.Targets))
	for i := range p.Targets {
		out = append(out, s.reason(p, b, q, i, place))
	}
	return out
}

func (s *Scheduler) reason(p *Pool, b *LoadTracker, q *Query, i int, place map[int]int) Reason {
	t := &p.Targets[i]
	l := b.load(t.ID)
	r := Reason{Target: t.ID, Rank: -1}
	for _, f := range s.filters {
		if !f.Keep(q, t, l) {
			r.RemovedBy = f.Name()
			return r
		}
	}
	rank, ok := place[i]
	if !ok {
		r.RemovedBy = "not_near"
		return r
	}
	r.Rank = rank
	r.Score = s.score(q, t, l, rank)
	return r
}
