package servicequeue

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/fairshare"
)

// SetTeamWeights replaces the weights of teams, which are shares of the targets when requests wait.
func (q *Queue) SetTeamWeights(weights map[string]float64) { q.shares.SetWeights(weights) }

// Usage returns the calls that were served and that wait, by team.
func (q *Queue) Usage(now time.Time) []fairshare.Usage { return q.shares.Usage(now) }
