package quota

import "time"

// accounts holds the buckets of all teams that have a limit.
type accounts struct {
	tolerance Tolerance
	limits    map[string]Limit
	buckets   map[string]*bucket
	// bucketConfig returns the fill rate of a team's bucket, in units per second, and its capacity.
	bucketConfig func(limit Limit) (rate, capacity float64)
}

func newAccounts(tolerance Tolerance) accounts {
	return accounts{tolerance: tolerance, buckets: map[string]*bucket{}}
}

// SetLimits replaces the limits. Accounts of teams without a limit are removed.
func (a *accounts) SetLimits(now time.Time, limits map[string]Limit) {
	a.limits = limits
	for name := range a.buckets {
		if limits[name].PerSecond <= 0 {
			delete(a.buckets, name)
		}
	}
	a.configure(now)
}

// configure applies bucketConfig to each team that has a limit. The bucket of a new team is empty
// at now.
func (a *accounts) configure(now time.Time) {
	for name, limit := range a.limits {
		if limit.PerSecond <= 0 {
			continue
		}
		b := a.buckets[name]
		if b == nil {
			b = &bucket{updatedAt: now}
			a.buckets[name] = b
		}
		rate, capacity := a.bucketConfig(limit)
		b.configure(now, rate, capacity)
	}
}
