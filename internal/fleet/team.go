package fleet

import "crypto/sha256"

// KeyDigest stands for a caller's key. Keys themselves are not kept beyond the configuration
// that names them, and are never logged. A digest is looked up by its value, so that the
// time that takes says nothing of the key.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// shownBytes of a digest name a key in logs: enough to tell a fleet's keys apart.
const shownBytes = 4

// LogPrefix returns the first bytes of a digest, for logs.
func (d KeyDigest) LogPrefix() []byte { return d[:shownBytes] }

// Quota bounds what a team's requests may cost over all VMs.
type Quota struct {
	// PerSecond is the rate, and Burst what may come at once on top, in units; PerSecond 0:
	// no limit.
	PerSecond, Burst float64
	// ChargeTokens says that a request costs its prompt and output tokens, or Plain where it
	// names none; else each request costs one unit.
	ChargeTokens bool
	DefaultCost  float64
}

// Cost returns what a request costs, in units.
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
	// Priority goes before that of a route; negative: the route's holds.
	Priority int
	Quota    Quota
	Keys     []KeyDigest
}

// Teams finds the team of a key.
type Teams struct {
	All []*Team
	// Complete says that every team could be read: a key that is not known here is of none.
	Complete bool

	byKey map[KeyDigest]*Team
}

// NewTeams returns the teams with an index of their keys. A key of two teams is of neither.
func NewTeams(all []*Team, complete bool) *Teams {
	t := &Teams{All: all, Complete: complete, byKey: map[KeyDigest]*Team{}}
	for _, team := range all {
		for _, key := range team.Keys {
			if other, held := t.byKey[key]; held && other != team {
				t.byKey[key] = nil
				continue
			}
			t.byKey[key] = team
		}
	}
	return t
}

// Lookup returns the team of a key. A key that is known and of no single team is listed with nil.
func (t *Teams) Lookup(key KeyDigest) (team *Team, listed bool) {
	team, listed = t.byKey[key]
	return team, listed
}
