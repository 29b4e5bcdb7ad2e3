package edge

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// TestTeamWeights guards against shares by rates in different units, which would give a team whose quota
// counts tokens a thousand times the share of one whose quota counts requests.
func TestTeamWeights(t *testing.T) {
	weights := func(quotas map[string]fleet.Quota) map[string]float64 {
		var teams []*fleet.Team
		for name, q := range quotas {
			teams = append(teams, &fleet.Team{Name: name, Quota: q})
		}
		return teamWeights(&fleet.Config{Teams: fleet.NewTeams(teams, true)})
	}
	assert.DeepEqual(t, weights(map[string]fleet.Quota{"a": {PerSecond: 5}, "b": {PerSecond: 10}, "c": {ChargeTokens: true}}), map[string]float64{"a": 5, "b": 10})
	assert.Equal(t, len(weights(map[string]fleet.Quota{"a": {PerSecond: 5}, "b": {PerSecond: 5000, ChargeTokens: true}})), 0)
	assert.Equal(t, len(teamWeights(&fleet.Config{})), 0)
}

// TestModelRequestsNameTheirTeams guards against schedulers that put all requests in one share.
func TestModelRequestsNameTheirTeams(t *testing.T) {
	r := requestFromProto(time.Now(), scheduler.Key{}, &schema.Admit{Team: "a"})
	assert.Equal(t, r.Team, "a")
}
