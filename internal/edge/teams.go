package edge

import (
	"encoding/hex"
	"slices"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// logTeams writes the audit trail of teams: those that came, went or changed.
func (n *Node) logTeams(old, c *fleet.Config) {
	before := teamsByName(old)
	for name, t := range teamsByName(c) {
		was := before[name]
		delete(before, name)
		if was == nil {
			was = &fleet.Team{}
		}
		added, removed := keysBeyond(t, was), keysBeyond(was, t)
		if len(added)+len(removed) == 0 && was.Quota == t.Quota && was.Priority == t.Priority {
			continue
		}
		n.log.TeamChanged(c.Version, name, t.Priority, len(t.Keys), added, removed, t.Quota.PerSecond, t.Quota.Burst)
	}
	for name, gone := range before {
		n.log.TeamChanged(c.Version, name, gone.Priority, 0, nil, keysBeyond(gone, &fleet.Team{}), 0, 0)
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

// keysBeyond lists the keys of one team that another one lacks.
func keysBeyond(t, other *fleet.Team) []string {
	var out []string
	for _, key := range t.Keys {
		if !slices.Contains(other.Keys, key) {
			out = append(out, hex.EncodeToString(key.LogPrefix()))
		}
	}
	return out
}
