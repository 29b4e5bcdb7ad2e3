// Package loadpermit limits the load on one weight store that the targets of a fleet
// share. One VM, chosen by rendezvous hashing, runs an Issuer, and the owners of targets
// request load permits from it. Permits are soft state: if the VM with the Issuer fails, or
// if two VMs run one, loads get slower and nothing else happens.
//
// Permits are granted to the waiting request with the highest priority. A permit that is
// not returned is revoked after MaxHoldTime. Operations take O(n) time for n waiting
// requests.
package loadpermit

import "time"

// Config holds the settings of an Issuer.
type Config struct {
	// PerSecond is the maximum rate of loads from the weight store, per second.
	PerSecond float64
	// Concurrent is the maximum number of concurrent loads.
	Concurrent int
	// MaxHoldTime is the time after which a permit is revoked.
	MaxHoldTime time.Duration
}

// Request is a request for a permit.
type Request struct {
	// ID identifies the request; the caller chooses it.
	ID uint64
	// Priority orders the waiting requests; the highest is granted first.
	Priority float64
}

// Issuer issues load permits.
type Issuer struct {
	cfg         Config
	waiting     []Request
	outstanding map[uint64]time.Time
	nextGrantAt time.Time
}

// New returns an Issuer with no outstanding permits.
func New(cfg Config) *Issuer {
	return &Issuer{cfg: cfg, outstanding: map[uint64]time.Time{}}
}

// Request queues a request and returns the IDs of the requests that are granted now.
func (iss *Issuer) Request(now time.Time, r Request) []uint64 {
	iss.waiting = append(iss.waiting, r)
	return iss.Tick(now)
}

// RaisePriority sets the priority of a waiting request. Other IDs are ignored.
func (iss *Issuer) RaisePriority(id uint64, priority float64) {
	for i := range iss.waiting {
		if iss.waiting[i].ID == id {
			iss.waiting[i].Priority = priority
		}
	}
}

// Cancel withdraws a waiting request or returns a permit. It returns the IDs of the
// requests that are granted now.
func (iss *Issuer) Cancel(now time.Time, id uint64) []uint64 {
	delete(iss.outstanding, id)
	for i, r := range iss.waiting {
		if r.ID == id {
			iss.waiting = append(iss.waiting[:i], iss.waiting[i+1:]...)
			break
		}
	}
	return iss.Tick(now)
}

// Tick revokes expired permits and returns the IDs of the requests that are granted now.
func (iss *Issuer) Tick(now time.Time) []uint64 {
	iss.revokeExpired(now)
	var granted []uint64
	for len(iss.waiting) > 0 && len(iss.outstanding) < iss.cfg.Concurrent && !now.Before(iss.nextGrantAt) {
		r := iss.popHighestPriority()
		iss.outstanding[r.ID] = now
		iss.nextGrantAt = now.Add(iss.grantInterval())
		granted = append(granted, r.ID)
	}
	return granted
}

// NextGrant returns the earliest time at which the rate allows Tick to grant another request.
func (iss *Issuer) NextGrant() time.Time { return iss.nextGrantAt }

func (iss *Issuer) grantInterval() time.Duration {
	return time.Duration(float64(time.Second) / iss.cfg.PerSecond)
}

func (iss *Issuer) revokeExpired(now time.Time) {
	for id, since := range iss.outstanding {
		if now.Sub(since) >= iss.cfg.MaxHoldTime {
			delete(iss.outstanding, id)
		}
	}
}

func (iss *Issuer) popHighestPriority() Request {
	best := 0
	for i, r := range iss.waiting {
		if r.Priority > iss.waiting[best].Priority {
			best = i
		}
	}
	r := iss.waiting[best]
	iss.waiting = append(iss.waiting[:best], iss.waiting[best+1:]...)
	return r
}

// SetRate sets the maximum rate of loads, per second.
func (iss *Issuer) SetRate(perSecond float64) { iss.cfg.PerSecond = perSecond }
