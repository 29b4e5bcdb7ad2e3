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
	// Hold is the longest time that a turn lasts.
	Hold time.Duration
}

// Ask is a waiting request for a turn.
type Ask struct {
	// ID is the asker's own name for the request.
	ID uint64
	// Value orders the requests; higher goes first.
	Value float64
}

// Giver hands out turns.
type Giver struct {
	cfg     Config
	waiting []Ask
	out     map[uint64]time.Time
	nextAt  time.Time
}

// New returns a Giver with no turns out.
func New(cfg Config) *Giver {
	return &Giver{cfg: cfg, out: map[uint64]time.Time{}}
}

// Ask queues a request and returns the ids whose turn has come.
func (g *Giver) Ask(now time.Time, a Ask) []uint64 {
	g.waiting = append(g.waiting, a)
	return g.Tick(now)
}

// Raise changes the value of a waiting request.
func (g *Giver) Raise(id uint64, value float64) {
	for i := range g.waiting {
		if g.waiting[i].ID == id {
			g.waiting[i].Value = value
		}
	}
}

// Cancel withdraws a request or gives a turn back.
func (g *Giver) Cancel(now time.Time, id uint64) []uint64 {
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
func (g *Giver) Tick(now time.Time) []uint64 {
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

// Next returns when Tick can grant again at the earliest.
func (g *Giver) Next() time.Time { return g.nextAt }

func (g *Giver) gap() time.Duration {
	return time.Duration(float64(time.Second) / g.cfg.PerSecond)
}

func (g *Giver) takeBack(now time.Time) {
	for id, since := range g.out {
		if now.Sub(since) >= g.cfg.Hold {
			delete(g.out, id)
		}
	}
}

func (g *Giver) takeBest() Ask {
	best := 0
	for i, a := range g.waiting {
		if a.Value > g.waiting[best].Value {
			best = i
		}
	}
	a := g.waiting[best]
	g.waiting = append(g.waiting[:best], g.waiting[best+1:]...)
	return a
}

// SetRate takes a new rate.
func (g *Giver) SetRate(perSecond float64) { g.cfg.PerSecond = perSecond }
