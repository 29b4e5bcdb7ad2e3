package fleet

import "crypto/sha256"

// KeyDigest identifies a caller's key. Keys themselves are kept only in the configuration that
// names them, and are never logged. Digests are looked up by value, so that the duration of a
// lookup reveals nothing about the key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// logPrefixBytes is how many bytes of a digest identify a key in logs: enough to distinguish the
// keys of a fleet.
const logPrefixBytes = 4

// LogPrefix returns the first bytes of a digest, for logs.
func (d KeyDigest) LogPrefix() []byte { return d[:logPrefixBytes] }

// Quota bounds the total cost of a team's requests over all VMs.
type Quota struct {
	// PerSecond is the sustained rate and Burst the cost that may arrive at once on top of it, both
	// in units; PerSecond 0: no limit.
	PerSecond, Burst float64
	// ChargeTokens means that a request costs its prompt and output tokens, or DefaultCost if it
	// specifies none; otherwise each request costs one unit.
	ChargeTokens bool
	DefaultCost  float64
}

// Cost returns the cost of a request, in units.
func (q Quota) Cost(r *Request) float64 {
	switch {
	case !q.ChargeTokens:
		return 1
	case r.PromptTokens+r.OutputTokens > 0:
		return float64(r.PromptTokens + r.OutputTokens)
	}
	return q.DefaultCost
}

// Team is an organisation whose requests carry its keys.
type Team struct {
	Name string
	// Priority overrides that of a route; negative: the route's priority applies.
	Priority int
	Quota    Quota
	Keys     []KeyDigest
}

// Teams maps keys to teams.
type Teams struct {
	All []*Team
	// Complete means that every team could be parsed: a key that is not listed here belongs to no
	// team.
	Complete bool

	byKey map[KeyDigest]*Team
}

// NewTeams returns the teams with an index of their keys. A key that two teams list belongs to
// neither.
func NewTeams(all []*Team, complete bool) *Teams {
	t := &Teams{All: all, Complete: complete, byKey: map[KeyDigest]*Team{}}
	for _, team := range all {
		for _, key := range team.Keys {
			if other, listed := t.byKey[key]; listed && other != team {
				t.byKey[key] = nil
				continue
			}
			t.byKey[key] = team
		}
	}
	return t
}

// Lookup returns the team of a key. For a key that several teams list, it returns nil and true.
func (t *Teams) Lookup(key KeyDigest) (team *Team, listed bool) {
	team, listed = t.byKey[key]
	return team, listed
}
