// Package placement decides which target should serve an adapter. A request passes through:
//
//	Filter     removes targets that must not or should not serve the request;
//	Scorer     rates the remaining targets;
//	Scheduler  picks the target with the highest score.
//
// Every VM builds the same Map from the same bundle, so that all VMs prefer the same target for an
// adapter without communication: its waiting requests gather at one target and share one load. VMs
// differ only in the targets' load as they know it, which responses carry back.
//
// A Map is immutable and may be shared. A LoadTracker holds the knowledge of one VM and needs a lock
// around it. Pick is O(targets of the base model) and does not allocate.
package placement

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Target describes an engine for placement.
type Target struct {
	ID    coord.TargetID
	Base  string
	Zone  string
	Batch int
	// Leaving targets get no new requests.
	Leaving bool

	hash    uint64
	zoneBit uint64
}

// maxZones is the number of zones that a Map distinguishes, one bit each.
const maxZones = 64

// Map holds the targets of one bundle version by base model.
type Map struct {
	pools    map[string]*Pool
	zoneBits map[string]uint64
}

// Pool holds the targets that serve one base model.
type Pool struct {
	Targets []Target
	hashes  []uint64
}

// NewMap returns the Map of the targets. Zones beyond the 64th share the last bit: they are not
// distinguished, and adapters restricted to one of them may be served in another. The bundle check
// rejects so many zones.
func NewMap(targets []Target) *Map {
	m := &Map{pools: map[string]*Pool{}, zoneBits: map[string]uint64{}}
	for _, t := range targets {
		t.hash = rendezvous.Hash(string(t.ID))
		t.zoneBit = m.assignZoneBit(t.Zone)
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

func (m *Map) assignZoneBit(zone string) uint64 {
	bit, ok := m.zoneBits[zone]
	if !ok {
		bit = 1 << min(len(m.zoneBits), maxZones-1)
		m.zoneBits[zone] = bit
	}
	return bit
}

// Pool returns the targets of a base model, or nil.
func (m *Map) Pool(base string) *Pool { return m.pools[base] }

// ZoneMask returns the set of the named zones, for a Query. No names means every zone.
func (m *Map) ZoneMask(zones []string) uint64 {
	if len(zones) == 0 {
		return ^uint64(0)
	}
	var mask uint64
	for _, zone := range zones {
		mask |= m.zoneBits[zone]
	}
	return mask
}

// Query is a request to place.
type Query struct {
	// Key is the rendezvous hash of the adapter.
	Key uint64
	// Zones is the set of zones that may serve the adapter, from ZoneMask.
	Zones uint64
	// Spread is the number of targets over which the adapter's requests are spread; at least 1.
	Spread int
	// Exclude lists the targets that this request has tried.
	Exclude []coord.TargetID
	// Now is the time of the decision.
	Now time.Time
}

// MaxSpread bounds the number of targets over which one adapter is spread.
const MaxSpread = 16

// fallbackTargets is the number of targets considered beyond the spread, for the case that the
// preferred ones are unsuitable or overloaded.
const fallbackTargets = 2

// Choice is the result of a pick.
type Choice struct {
	Target coord.TargetID
	Index  int
	OK     bool
}

// Scheduler picks targets by its filters and scorers.
type Scheduler struct {
	filters []Filter
	scorers []WeightedScorer
}

// Filter removes targets.
type Filter interface {
	// Name returns the name of the filter in explanations.
	Name() string
	// Keep reports whether the target may serve the query.
	Keep(q *Query, t *Target, l *Load) bool
}

// Scorer rates targets from 0, worst, to 1, best.
type Scorer interface {
	Name() string
	// Score rates a target by its load and by its rank in the query's preference, from 0.
	Score(q *Query, t *Target, l *Load, rank int) float64
}

// WeightedScorer is a Scorer with its weight.
type WeightedScorer struct {
	Scorer Scorer
	Weight float64
}

// NewScheduler returns a Scheduler with the given filters and scorers.
func NewScheduler(filters []Filter, scorers []WeightedScorer) *Scheduler {
	return &Scheduler{filters: filters, scorers: scorers}
}

// DefaultScheduler returns the daemon's Scheduler for full weight on load stalls.
func DefaultScheduler() *Scheduler { return WithAffinityStep(affinityStepForStalls) }

// WithAffinityStep returns the daemon's Scheduler with the given Step of the AffinityScorer.
func WithAffinityStep(step float64) *Scheduler {
	return NewScheduler(
		[]Filter{ZoneFilter{}, LeavingFilter{}, TriedFilter{}, EjectedFilter{}},
		[]WeightedScorer{
			{Scorer: AffinityScorer{Step: step}, Weight: affinityWeight},
			{Scorer: QueueScorer{}, Weight: queueWeight},
		},
	)
}

// Weights of the default scorers. The affinity step sets their relative importance: see
// docs/design/load-decisions.md.
const (
	affinityWeight = 1.0
	queueWeight    = 1.0
)

// Pick returns the target for a query. It considers the targets within the spread and a few more,
// in order of rendezvous weight.
func (s *Scheduler) Pick(p *Pool, loads *LoadTracker, q *Query) Choice {
	var ranked [MaxSpread + fallbackTargets]int
	size := min(max(q.Spread, 1), MaxSpread) + fallbackTargets
	n := s.rank(p, loads, q, ranked[:size])
	best := Choice{}
	bestScore := 0.0
	for r := 0; r < n; r++ {
		t := &p.Targets[ranked[r]]
		score := s.score(q, t, loads.load(t.ID), r)
		if !best.OK || score > bestScore {
			best = Choice{Target: t.ID, Index: ranked[r], OK: true}
			bestScore = score
		}
	}
	return best
}

// rank writes the indexes of the targets that pass all filters to out, in order of rendezvous
// weight, and returns their number.
func (s *Scheduler) rank(p *Pool, loads *LoadTracker, q *Query, out []int) int {
	n := 0
	minWeight := uint64(0)
	for i, h := range p.hashes {
		w := rendezvous.Weight(h, q.Key)
		if n == len(out) && w <= minWeight {
			continue
		}
		if !s.passesFilters(q, &p.Targets[i], loads.load(p.Targets[i].ID)) {
			continue
		}
		n = insertRanked(p.hashes, q.Key, out, n, i, w)
		minWeight = rendezvous.Weight(p.hashes[out[n-1]], q.Key)
	}
	return n
}

// insertRanked inserts target i into out[:n], sorted by weight, and drops the lightest target if out
// is full. It returns the new length.
func insertRanked(hashes []uint64, key uint64, out []int, n, i int, w uint64) int {
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

func (s *Scheduler) passesFilters(q *Query, t *Target, l *Load) bool {
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

// Reason explains why a target was or was not chosen.
type Reason struct {
	Target coord.TargetID
	// RemovedBy is the filter that removed the target; empty if it was scored.
	RemovedBy string
	Rank      int
	Score     float64
}

// Explain returns a Reason for every target of a pool.
func (s *Scheduler) Explain(p *Pool, loads *LoadTracker, q *Query) []Reason {
	var ranked [MaxSpread + fallbackTargets]int
	size := min(max(q.Spread, 1), MaxSpread) + fallbackTargets
	n := s.rank(p, loads, q, ranked[:size])
	rankByIndex := make(map[int]int, n)
	for r := 0; r < n; r++ {
		rankByIndex[ranked[r]] = r
	}
	out := make([]Reason, 0, len(p.Targets))
	for i := range p.Targets {
		out = append(out, s.reason(p, loads, q, i, rankByIndex))
	}
	return out
}

func (s *Scheduler) reason(p *Pool, loads *LoadTracker, q *Query, i int, rankByIndex map[int]int) Reason {
	t := &p.Targets[i]
	l := loads.load(t.ID)
	r := Reason{Target: t.ID, Rank: -1}
	for _, f := range s.filters {
		if !f.Keep(q, t, l) {
			r.RemovedBy = f.Name()
			return r
		}
	}
	rank, ok := rankByIndex[i]
	if !ok {
		r.RemovedBy = "not_near"
		return r
	}
	r.Rank = rank
	r.Score = s.score(q, t, l, rank)
	return r
}
