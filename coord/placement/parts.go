package placement

// ZoneFilter keeps the targets in the halls that may serve the adapter.
type ZoneFilter struct{}

// Name returns the filter's name.
func (ZoneFilter) Name() string { return "hall" }

// Keep reports whether the target's hall is allowed.
func (ZoneFilter) Keep(q *Query, t *Target, _ *Load) bool { return q.Zones&t.bit != 0 }

// LeavingFilter removes targets that the bundle or the target itself says are
// leaving.
type LeavingFilter struct{}

// Name returns the filter's name.
func (LeavingFilter) Name() string { return "leaving" }

// Keep reports whether the target stays.
func (LeavingFilter) Keep(_ *Query, t *Target, l *Load) bool { return !t.Leaving && !l.Leaving }

// TriedFilter removes targets that the request has tried.
type TriedFilter struct{}

// Name returns the filter's name.
func (TriedFilter) Name() string { return "tried" }

// Keep reports whether the request has not tried the target.
func (TriedFilter) Keep(q *Query, t *Target, _ *Load) bool {
	for _, id := range q.Exclude {
		if id == t.ID {
			return false
		}
	}
	return true
}

// EjectedFilter passes over targets that have failed in a row, but for a probe
// now and then.
type EjectedFilter struct{}

// Name returns the filter's name.
func (EjectedFilter) Name() string { return "ejected" }

// Keep reports whether the target's pause is over.
func (EjectedFilter) Keep(q *Query, _ *Target, l *Load) bool {
	return l.EjectedUntil.IsZero() || !q.Now.Before(l.EjectedUntil)
}

// AffinityScorer prefers the targets that every VM prefers for the adapter, so
// that it is loaded in as few places as its traffic needs. Targets within the
// spread are equal.
type AffinityScorer struct {
	// Step is what each place beyond the spread costs; 0.5 is worth a batch of
	// queue.
	Step float64
}

// Name returns the scorer's name.
func (AffinityScorer) Name() string { return "affinity" }

// Score falls with the distance from the spread.
func (s AffinityScorer) Score(q *Query, _ *Target, _ *Load, rank int) float64 {
	beyond := rank - max(q.Spread, 1) + 1
	if beyond <= 0 {
		return 1
	}
	return 1 - s.Step*float64(beyond)
}

// QueueScorer prefers targets with a short queue.
type QueueScorer struct{}

// Name returns the scorer's name.
func (QueueScorer) Name() string { return "queue" }

// Score falls from 1 with the target's waiting and running requests, in
// batches: half of it when a batch is full, nothing at a batch waiting besides.
func (QueueScorer) Score(_ *Query, t *Target, l *Load, _ int) float64 {
	batch := float64(max(t.Batch, 1))
	return 1 - float64(l.Running+l.Queued)/(2*batch)
}
