// Package loadturn shares one weight store among the targets of a fleet. One VM,
// chosen by rendezvous, runs a Giver; the owners of targets ask it for turns.
// Turns are soft state: when the giver is lost, or two VMs believe they are it,
// loads get slower and nothing else happens.
//
// Turns go to the request of the highest value. A turn that is not given back
// is taken back after Hold. Operations are O(waiting).
package loadpermit

import "time"

// Config holds the settings of a Giver.
type Config struct {
	// PerSecond is how many loads the weight store allows each second.
	PerSecond float64
	// Concurrent is how many loads may run at once.
	Concurrent int
	// MaxHoldTime is the longest time that a turn lasts.
	MaxHoldTime time.Duration
}

// Request is a waiting request for a turn.
type Request struct {
	// ID is the asker's own name for the request.
	ID uint64
	// Priority orders the requests; higher goes first.
	Priority float64
}

// Issuer hands out turns.
type Issuer struct {
	cfg     Config
	waiting []Request
	out     map[uint64]time.Time
	nextAt  time.Time
}

// New returns a Giver with no turns out.
func New(cfg Config) *Issuer {
	return &Issuer{cfg: cfg, out: map[uint64]time.Time{}}
}

// Request queues a request and returns the ids whose turn has come.
func (g *Issuer) Request(now time.Time, a Request) []uint64 {
	g.waiting = append(g.waiting, a)
	return g.Tick(now)
}

// RaisePriority changes the value of a waiting request.
func (g *Issuer) RaisePriority(id uint64, value float64) {
	for i := range g.waiting {
		if g.waiting[i].ID == id {
			g.waiting[i].Priority = value
		}
	}
}

// Cancel withdraws a request or gives a turn back.
func (g *Issuer) Cancel(now time.Time, id uint64) []uint64 {
	delete(g.out, id)
	for i, a := range g.waiting {
		if a.ID == id {
			g.waiting = append(g.waiting[:i], g.waiting[i+1:]...)
			break
		}
	}
	return g.Tick(now)
}

// Tick returns the ids whose turn has come.
func (g *Issuer) Tick(now time.Time) []uint64 {
	g.takeBack(now)
	var granted []uint64
	for len(g.waiting) > 0 && len(g.out) < g.cfg.Concurrent && !now.Before(g.nextAt) {
		a := g.takeBest()
		g.out[a.ID] = now
		g.nextAt = now.Add(g.gap())
		granted = append(granted, a.ID)
	}
	return granted
}

// NextGrant returns when Tick can grant again at the earliest.
func (g *Issuer) NextGrant() time.Time { return g.nextAt }

func (g *Issuer) gap() time.Duration {
	return time.Duration(float64(time.Second) / g.cfg.PerSecond)
}

func (g *Issuer) takeBack(now time.Time) {
	for id, since := range g.out {
		if now.Sub(since) >= g.cfg.MaxHoldTime {
			delete(g.out, id)
		}
	}
}

func (g *Issuer) takeBest() Request {
	best := 0
	for i, a := range g.waiting {
		if a.Priority > g.waiting[best].Priority {
			best = i
		}
	}
	a := g.waiting[best]
	g.waiting = append(g.waiting[:best], g.waiting[best+1:]...)
	return a
}

// SetRate takes a new rate.
func (g *Issuer) SetRate(perSecond float64) { g.cfg.PerSecond = perSecond }
