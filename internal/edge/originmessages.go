package edge

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/origin"
	"github.com/junctionfold/junctionfold/schema"
)

func originOf(m *schema.OriginReply) origin.Origin {
	return origin.Origin{Service: m.GetService(), SoftwareVersion: m.GetSoftwareVersion()}
}

func claimOf(m *schema.OriginReply) origin.Claim {
	return origin.Claim{
		Observed: m.GetObserved(), Version: m.GetOnlyVersion(), For: time.Duration(m.GetOnlyForMs()) * time.Millisecond,
	}
}

// seenClaimOf returns the claim of a VM about all copies of the store that it had.
func seenClaimOf(m *schema.OriginReply) origin.Claim {
	return origin.Claim{
		Observed: m.GetSeen(), Version: m.GetSeenVersion(), For: time.Duration(m.GetSeenForMs()) * time.Millisecond,
	}
}

// originsToProto groups records by origin.
func originsToProto(now time.Time, records []origin.Record) *schema.StreamOrigins {
	out := &schema.StreamOrigins{}
	groups := map[origin.Origin]*schema.OriginGroup{}
	for _, r := range records {
		g := groups[r.Origin]
		if g == nil {
			g = &schema.OriginGroup{Service: r.Origin.Service, SoftwareVersion: r.Origin.SoftwareVersion}
			groups[r.Origin] = g
			out.Groups = append(out.Groups, g)
		}
		g.Attempts = append(g.Attempts, uint64(r.Attempt))
		g.LeftMs = append(g.LeftMs, uint32(max(r.ExpiresAt.Sub(now).Milliseconds(), 0)))
	}
	return out
}

// seenToProto returns the message for what a VM has seen of services.
func seenToProto(now time.Time, seen []origin.Seen) (out []*schema.SeenVersion) {
	for _, s := range seen {
		out = append(out, &schema.SeenVersion{Service: s.Service, SoftwareVersion: s.Version, ForMs: now.Sub(s.Since).Milliseconds()})
	}
	return out
}

// seenFromProto returns what another VM has seen of services.
func seenFromProto(now time.Time, m *schema.StreamOrigins) (out []origin.Seen) {
	for _, s := range m.Seen {
		since := now.Add(-time.Duration(s.ForMs) * time.Millisecond)
		out = append(out, origin.Seen{Service: s.Service, Version: s.SoftwareVersion, Since: since})
	}
	return out
}

// originsFromProto returns the records of a message.
func originsFromProto(now time.Time, m *schema.StreamOrigins) []origin.Record {
	var out []origin.Record
	for _, g := range m.Groups {
		began := origin.Origin{Service: g.Service, SoftwareVersion: g.SoftwareVersion}
		for i, a := range g.Attempts {
			if i < len(g.LeftMs) {
				left := time.Duration(g.LeftMs[i]) * time.Millisecond
				out = append(out, origin.Record{Attempt: origin.Attempt(a), Origin: began, ExpiresAt: now.Add(left)})
			}
		}
	}
	return out
}
