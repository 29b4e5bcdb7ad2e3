package placement

// ZoneFilter keeps the targets in the zones that may serve the adapter.
type ZoneFilter struct{}

// Name implements Filter.
func (ZoneFilter) Name() string { return "hall" }

// Keep reports whether the target's zone is allowed.
func (ZoneFilter) Keep(q *Query, t *Target, _ *Load) bool { return q.Zones&t.zoneBit != 0 }

// LeavingFilter removes targets that are leaving, by the bundle or by their own report.
type LeavingFilter struct{}

// Name implements Filter.
func (LeavingFilter) Name() string { return "leaving" }

// Keep reports whether the target is not leaving.
func (LeavingFilter) Keep(_ *Query, t *Target, l *Load) bool { return !t.Leaving && !l.Leaving }

// TriedFilter removes targets that the request has already tried.
type TriedFilter struct{}

// Name implements Filter.
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

// EjectedFilter removes targets ejected after consecutive failures. They are probed when their
// ejection time ends.
type EjectedFilter struct{}

// Name implements Filter.
func (EjectedFilter) Name() string { return "ejected" }

// Keep reports whether the target is not ejected.
func (EjectedFilter) Keep(q *Query, _ *Target, l *Load) bool {
	return l.EjectedUntil.IsZero() || !q.Now.Before(l.EjectedUntil)
}

// AffinityScorer prefers the targets that rank highest for the adapter on every VM, so that the
// adapter is loaded on as few targets as its traffic needs. Targets within the spread score the
// same.
type AffinityScorer struct {
	// Step is the score lost per rank beyond the spread. 0.5 equals the cost of one batch of
	// requests in QueueScorer.
	Step float64
}

// Name implements Scorer.
func (AffinityScorer) Name() string { return "affinity" }

// Score falls with the rank's distance from the spread.
func (s AffinityScorer) Score(q *Query, _ *Target, _ *Load, rank int) float64 {
	beyond := rank - max(q.Spread, 1) + 1
	if beyond <= 0 {
		return 1
	}
	return 1 - s.Step*float64(beyond)
}

// QueueScorer prefers targets with few running and waiting requests.
type QueueScorer struct{}

// Name implements Scorer.
func (QueueScorer) Name() string { return "queue" }

// Score falls linearly from 1 with the target's running and waiting requests: 0.5 for one full
// batch, 0 for a second batch waiting besides.
func (QueueScorer) Score(_ *Query, t *Target, l *Load, _ int) float64 {
	batch := float64(max(t.Batch, 1))
	return 1 - float64(l.Running+l.Queued)/(2*batch)
}
