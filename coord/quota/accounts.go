package quota

import "time"

// accounts are buckets of all teams with a limit.
type accounts struct {
	room   Tolerance
	limits map[string]Limit
	teams  map[string]*bucket
	// terms are how fast the bucket of a team with a limit fills, in units a second, and what
	// it holds.
	terms func(limit Limit) (rate, holds float64)
}

func newAccounts(room Tolerance) accounts {
	return accounts{room: room, teams: map[string]*bucket{}}
}

// SetLimits puts limits in force. Teams that are gone, or have no limit any more, are forgotten.
func (a *accounts) SetLimits(now time.Time, limits map[string]Limit) {
	a.limits = limits
	for name := range a.teams {
		if limits[name].PerSecond <= 0 {
			delete(a.teams, name)
		}
	}
	a.configure(now)
}

// configure puts the terms in force for each team that has a limit; the bucket of a new one is
// empty as of now.
func (a *accounts) configure(now time.Time) {
	for name, limit := range a.limits {
		if limit.PerSecond <= 0 {
			continue
		}
		b := a.teams[name]
		if b == nil {
			b = &bucket{at: now}
			a.teams[name] = b
		}
		rate, holds := a.terms(limit)
		b.set(now, rate, holds)
	}
}
