package scheduler

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/fairshare"
)

// SetTeamWeights replaces the weights of teams, which are their shares of the service while requests wait.
func (s *Scheduler) SetTeamWeights(weights map[string]float64) { s.shares.SetWeights(weights) }

// TeamUsage returns the tokens that were served and the requests that wait, by team.
func (s *Scheduler) TeamUsage(now time.Time) []fairshare.Usage { return s.shares.Usage(now) }

// work returns the work of a request in tokens, at least 1.
func (r *Request) work() float64 { return float64(max(r.PromptTokens+r.OutputTokens, 1)) }

// assignShares sets shareStart of the waiting requests, which are in the order in which each team is to be
// served. It reports whether more than one team waits.
func (s *Scheduler) assignShares(now time.Time) bool {
	requests := make([]fairshare.Waiting, len(s.waiting))
	for i, r := range s.waiting {
		requests[i] = fairshare.Waiting{Team: r.Team, Work: r.work()}
	}
	starts := s.shares.Starts(now, requests)
	for i, start := range starts {
		s.waiting[i].shareStart = start
	}
	return starts != nil
}
