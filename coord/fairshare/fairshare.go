// Package fairshare shares service between teams by their weights while requests wait.
//
// It implements start-time fair queueing. Each team has a virtual counter, which grows by the work that
// it is served divided by its weight; the team with the lowest counter is served first. The virtual time
// is the lowest counter of the teams with waiting requests. A team that had no waiting requests starts at
// the virtual time: it is owed nothing for the time in which it asked for nothing, and nothing is held
// against it for idle capacity that it used.
//
// Callers may serve requests out of this order, for example by priority. The counter of a team that is
// served ahead of its turn runs ahead of the virtual time. The lead decays (leadHalfLife), so that the
// team does not starve afterwards.
//
// Shares has no clock and does no I/O. It is not safe for concurrent use.
package fairshare

import (
	"cmp"
	"math"
	"time"
)

const (
	// MaxTeams bounds the teams with a counter of their own. All others share one counter.
	MaxTeams = 256
	// OtherTeams is the name of the counter that teams beyond MaxTeams share.
	OtherTeams = "(others)"
	// leadHalfLife is the time in which a team's lead over the virtual time halves. Objectives are 0.15
	// to 2 s.
	leadHalfLife = time.Second
	// usageHalfLife is the time in which served work loses half of its weight in Usage.Share.
	usageHalfLife = 10 * time.Second
	// idleExpiry is the time after which the counter of an idle team is removed if a team needs one.
	idleExpiry = time.Minute
)

// account is the state of one team.
type account struct {
	// counter is the served work by weight, in units of work.
	counter float64
	// waiting is the number of waiting requests.
	waiting int
	// served is all work so far, and recent the decayed work, as of lastServed.
	served, recent float64
	lastServed     time.Time
	lastUsed       time.Time
}

// Shares holds the counters of the teams that share one service.
type Shares struct {
	accounts map[string]*account
	// weights holds the configured weights, with a mean of 1.
	weights map[string]float64
	// virtual is the virtual time, in the units of counters.
	virtual float64
	// advancedAt is the time up to which leads have decayed.
	advancedAt time.Time
}

// New returns Shares in which all teams have the same weight.
func New() *Shares { return &Shares{accounts: map[string]*account{}} }

// Reset sets all counters to the same value. The metrics are kept.
func (s *Shares) Reset() {
	for _, a := range s.accounts {
		a.counter = s.virtual
	}
}

// SetWeights replaces the weights of teams, in any unit. Teams without a positive weight, and requests
// without a team, have the mean weight.
func (s *Shares) SetWeights(weights map[string]float64) {
	sum, n := 0.0, 0
	for _, w := range weights {
		if w > 0 {
			sum += w
			n++
		}
	}
	s.weights = make(map[string]float64, n)
	for team, w := range weights {
		if w > 0 {
			s.weights[team] = w / (sum / float64(n))
		}
	}
}

func (s *Shares) weight(team string) float64 {
	if w, known := s.weights[team]; known {
		return w
	}
	return 1
}

// account returns the account of a team, which may be the common one. It creates accounts.
func (s *Shares) account(now time.Time, team string) *account {
	if s.accounts[team] == nil && len(s.accounts) >= MaxTeams {
		s.removeIdle(now)
		if len(s.accounts) >= MaxTeams {
			team = OtherTeams
		}
	}
	a := s.accounts[team]
	if a == nil {
		a = &account{counter: s.virtual}
		s.accounts[team] = a
	}
	a.lastUsed = now
	return a
}

// find returns the account of a team, or nil if it has none. Beyond MaxTeams, that is the common one.
func (s *Shares) find(team string) *account {
	if a := s.accounts[team]; a != nil {
		return a
	}
	return s.accounts[OtherTeams]
}

func (s *Shares) removeIdle(now time.Time) {
	for team, a := range s.accounts {
		if a.waiting == 0 && now.Sub(a.lastUsed) > idleExpiry {
			delete(s.accounts, team)
		}
	}
}

// Arrive records a new request of a team.
func (s *Shares) Arrive(now time.Time, team string) {
	s.advance(now)
	a := s.account(now, team)
	a.counter = s.startOf(a)
}

// SetWaiting replaces the numbers of waiting requests by team.
func (s *Shares) SetWaiting(now time.Time, waiting map[string]int) {
	s.advance(now)
	for _, a := range s.accounts {
		a.waiting = 0
	}
	for team, n := range waiting {
		a := s.account(now, team)
		a.counter = max(a.counter, s.virtual)
		a.waiting += n
	}
}

// Serve records that a request of a team is served, and its work.
func (s *Shares) Serve(now time.Time, team string, work float64) {
	s.advance(now)
	a := s.account(now, team)
	start := s.startOf(a)
	s.virtual = max(s.virtual, s.lowestWaiting(start))
	a.counter = start + work/s.weight(team)
	a.served += work
	a.recent = a.recentAt(now) + work
	a.lastServed = now
}

// lowestWaiting returns the lowest counter of the teams with waiting requests, or start if none has any.
func (s *Shares) lowestWaiting(start float64) float64 {
	lowest := math.Inf(1)
	for _, a := range s.accounts {
		if a.waiting > 0 {
			lowest = min(lowest, a.counter)
		}
	}
	if math.IsInf(lowest, 1) {
		return start
	}
	return lowest
}

// startOf returns the virtual time at which the next request of an account starts.
func (s *Shares) startOf(a *account) float64 {
	if a == nil {
		return s.virtual
	}
	return max(a.counter, s.virtual)
}

// advance lets the leads of teams decay until now.
func (s *Shares) advance(now time.Time) {
	elapsed := now.Sub(s.advancedAt)
	if elapsed <= 0 {
		return
	}
	remaining := decay(elapsed, leadHalfLife)
	for _, a := range s.accounts {
		if lead := a.counter - s.virtual; lead > 0 {
			a.counter = s.virtual + remaining*lead
		}
	}
	s.advancedAt = now
}

// decay returns the part that is left after some time of a quantity that halves in halfLife.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-float64(elapsed) / float64(halfLife))
}

// Before compares two teams: the result is negative if the next request of teamA is to be served before
// that of teamB, and 0 if neither has precedence.
func (s *Shares) Before(teamA, teamB string) int {
	return cmp.Compare(s.startOf(s.find(teamA)), s.startOf(s.find(teamB)))
}
