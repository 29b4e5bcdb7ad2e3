package edge

import (
	"encoding/hex"
	"slices"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// logTeams writes the audit trail of teams that were added, removed or changed.
func (n *Node) logTeams(old, c *fleet.Config) {
	oldTeams := teamsByName(old)
	for name, t := range teamsByName(c) {
		oldTeam := oldTeams[name]
		delete(oldTeams, name)
		if oldTeam == nil {
			oldTeam = &fleet.Team{}
		}
		added, removed := keysMissingFrom(t, oldTeam), keysMissingFrom(oldTeam, t)
		if len(added)+len(removed) == 0 && oldTeam.Quota == t.Quota && oldTeam.Priority == t.Priority {
			continue
		}
		n.log.TeamChanged(c.Version, name, t.Priority, len(t.Keys), added, removed, t.Quota.PerSecond, t.Quota.Burst)
	}
	for name, oldTeam := range oldTeams {
		n.log.TeamChanged(c.Version, name, oldTeam.Priority, 0, nil, keysMissingFrom(oldTeam, &fleet.Team{}), 0, 0)
	}
}

func teamsByName(c *fleet.Config) map[string]*fleet.Team {
	out := map[string]*fleet.Team{}
	if c == nil || c.Teams == nil {
		return out
	}
	for _, t := range c.Teams.All {
		out[t.Name] = t
	}
	return out
}

// keysMissingFrom returns the keys of t that other lacks, as hexadecimal prefixes for logs.
func keysMissingFrom(t, other *fleet.Team) []string {
	var out []string
	for _, key := range t.Keys {
		if !slices.Contains(other.Keys, key) {
			out = append(out, hex.EncodeToString(key.LogPrefix()))
		}
	}
	return out
}
