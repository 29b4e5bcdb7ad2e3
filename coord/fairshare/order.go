package fairshare

import (
	"cmp"
	"slices"
	"time"
)

// Waiting is a waiting request.
type Waiting struct {
	// Team is the name of its team; empty: none.
	Team string
	// Work is its work, in the unit of Shares.Serve.
	Work float64
}

// Starts records which requests wait, and returns the virtual time at which each of them starts. Requests
// with a lower start are to be served first. The requests of one team are to be given in the order in which
// they are to be served. The result is nil if all of them have the same team, or none.
func (s *Shares) Starts(now time.Time, requests []Waiting) []float64 {
	waiting := map[string]int{}
	for _, r := range requests {
		waiting[r.Team]++
	}
	s.SetWaiting(now, waiting)
	if len(waiting) <= 1 {
		return nil
	}
	next := make(map[string]float64, len(waiting))
	for team := range waiting {
		next[team] = s.startOf(s.find(team))
	}
	starts := make([]float64, len(requests))
	for i, r := range requests {
		starts[i] = next[r.Team]
		next[r.Team] += r.Work / s.weight(r.Team)
	}
	return starts
}

// Usage is what a team was served, for operators.
type Usage struct {
	Team string
	// Served is all work so far: calls, or tokens of prompt and output.
	Served float64
	// Waiting is the number of waiting requests.
	Waiting int
	// Share is the team's part of the work that was served recently, from 0 to 1.
	Share float64
}

// Usage returns the usage of all teams that have an account, by name.
func (s *Shares) Usage(now time.Time) []Usage {
	total := 0.0
	var out []Usage
	for team, a := range s.accounts {
		recent := a.recentAt(now)
		total += recent
		out = append(out, Usage{Team: team, Served: a.served, Waiting: a.waiting, Share: recent})
	}
	for i := range out {
		if total > 0 {
			out[i].Share /= total
		}
	}
	slices.SortFunc(out, func(a, b Usage) int { return cmp.Compare(a.Team, b.Team) })
	return out
}

// recentAt returns the decayed work.
func (a *account) recentAt(now time.Time) float64 {
	return a.recent * decay(now.Sub(a.lastServed), usageHalfLife)
}
