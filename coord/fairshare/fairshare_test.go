package fairshare

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// server serves one unit of work a millisecond, in the order of shares.
type server struct {
	shares  *Shares
	rng     *rand.Rand
	now     time.Time
	waiting []Waiting
	arrived []time.Time
	// served is the work that each team was served, and longest its longest wait.
	served  map[string]float64
	longest map[string]time.Duration
	busy    float64
}

func newServer(seed uint64) *server {
	return &server{shares: New(), rng: rand.New(rand.NewPCG(seed, 1)), now: start, served: map[string]float64{}, longest: map[string]time.Duration{}}
}

func (s *server) arrive(team string, work float64) {
	s.shares.Arrive(s.now, team)
	s.waiting = append(s.waiting, Waiting{Team: team, Work: work})
	s.arrived = append(s.arrived, s.now)
}

// step serves one millisecond.
func (s *server) step() {
	s.now = s.now.Add(time.Millisecond)
	for s.busy--; s.busy <= 0 && len(s.waiting) > 0; {
		first, starts := 0, s.shares.Starts(s.now, s.waiting)
		for i := range starts {
			if starts[i] < starts[first] {
				first = i
			}
		}
		r := s.waiting[first]
		s.shares.Serve(s.now, r.Team, r.Work)
		s.served[r.Team] += r.Work
		s.longest[r.Team] = max(s.longest[r.Team], s.now.Sub(s.arrived[first]))
		s.busy = max(s.busy, 0) + r.Work
		s.waiting = append(s.waiting[:first], s.waiting[first+1:]...)
		s.arrived = append(s.arrived[:first], s.arrived[first+1:]...)
	}
	s.busy = max(s.busy, 0)
}

// TestBurstTakesOnlyIdleCapacity guards against teams within their shares that wait for a team which
// sends six times its share.
func TestBurstTakesOnlyIdleCapacity(t *testing.T) {
	for seed := range uint64(5) {
		s := newServer(seed)
		asked := map[string]float64{}
		for range 3000 {
			for i := range 8 {
				team, rate := fmt.Sprint(i), 0.02
				if i == 0 {
					rate *= 6
				}
				if s.rng.Float64() < rate {
					work := 1 + 9*s.rng.Float64()
					asked[team] += work
					s.arrive(team, work)
				}
			}
			s.step()
		}
		for i := 1; i < 8; i++ {
			team := fmt.Sprint(i)
			assert.Assert(t, s.served[team] >= 0.9*asked[team], "seed %d, team %s: %v of %v", seed, team, s.served[team], asked[team])
			assert.Assert(t, s.longest[team] < 500*time.Millisecond, "seed %d, team %s waited %s", seed, team, s.longest[team])
		}
		assert.Assert(t, s.served["0"] < 0.6*asked["0"])
	}
}

// TestWeights checks that teams that always wait are served by their weights, and that weights in other
// units give the same shares.
func TestWeights(t *testing.T) {
	for _, unit := range []float64{1, 5000} {
		s := newServer(1)
		s.shares.SetWeights(map[string]float64{"large": 3 * unit, "small": unit, "unlimited": 0})
		for range 600 {
			s.arrive("large", 5)
			s.arrive("small", 5)
			s.arrive("unlimited", 5)
			s.step()
		}
		assert.Assert(t, s.served["large"] > 2.7*s.served["small"] && s.served["large"] < 3.3*s.served["small"], "%v", s.served)
		assert.Assert(t, s.served["unlimited"] > 1.8*s.served["small"], "the mean weight: %v", s.served)
	}
}

// TestServiceAheadOfTurnDoesNotStarve guards against a team that is served nothing for long because
// urgent requests of its own were served ahead of its turn.
func TestServiceAheadOfTurnDoesNotStarve(t *testing.T) {
	s := newServer(1)
	for range 100 {
		s.arrive("other", 5)
	}
	s.step()
	for range 200 {
		s.shares.Serve(s.now, "urgent", 5)
	}
	assert.Assert(t, s.shares.Before("other", "urgent") < 0)
	for ms := 0; s.served["urgent"] == 0; ms++ {
		s.arrive("urgent", 5)
		s.arrive("other", 5)
		s.step()
		assert.Assert(t, ms < 2000)
	}
}

// TestIdleTeamIsOwedNothing guards against a team that is served alone for long after it asked for
// nothing, and against one that pays for idle capacity that it used.
func TestIdleTeamIsOwedNothing(t *testing.T) {
	s := newServer(1)
	for range 500 {
		s.arrive("busy", 1)
		s.step()
	}
	clear(s.served)
	for range 100 {
		s.arrive("busy", 1)
		s.arrive("idle", 1)
		s.step()
	}
	assert.Assert(t, s.served["busy"] >= 49 && s.served["idle"] >= 49, "%v", s.served)
}

// TestNumberOfTeamsIsBounded guards against memory that grows with the names of teams, and against teams
// that never get a counter of their own because earlier ones keep theirs.
func TestNumberOfTeamsIsBounded(t *testing.T) {
	shares := New()
	for i := range 5000 {
		team := fmt.Sprint(i)
		shares.Arrive(start, team)
		shares.SetWaiting(start, map[string]int{team: 1})
		shares.Serve(start, team, 1)
	}
	assert.Equal(t, len(shares.Usage(start)), MaxTeams+1)
	assert.Equal(t, shares.Before("4998", "4999"), 0)
	later := start.Add(2 * idleExpiry)
	shares.SetWaiting(later, nil)
	shares.Serve(later, "new", 1)
	assert.Assert(t, shares.Before("4998", "new") < 0)
}
