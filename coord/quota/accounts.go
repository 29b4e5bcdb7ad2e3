package quota

import "time"

// accounts are buckets of all teams with a limit.
type accounts struct {
	room   Room
	limits map[string]Limit
	teams  map[string]*bucket
}

func newAccounts(room Room) accounts {
	return accounts{room: room, teams: map[string]*bucket{}}
}

// replace takes new limits. Teams that are gone, or have no limit any more, are forgotten.
func (a *accounts) replace(limits map[string]Limit) {
	a.limits = limits
	for name := range a.teams {
		if limits[name].PerSecond <= 0 {
			delete(a.teams, name)
		}
	}
}

// each calls f for each team that has a limit; the bucket of a new one is empty as of now.
func (a *accounts) each(now time.Time, f func(b *bucket, limit Limit)) {
	for name, limit := range a.limits {
		if limit.PerSecond <= 0 {
			continue
		}
		b := a.teams[name]
		if b == nil {
			b = &bucket{at: now}
			a.teams[name] = b
		}
		f(b, limit)
	}
}
