package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errResting: the target has asked this VM for rest since it was chosen.
var errResting = errors.New("the target rests")

// AskRest takes that a target wants no requests from this VM for a time. It reports whether it did
// not rest before.
func (g *Gateway) AskRest(target string, rest time.Duration) (news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	news = g.rests.Left(now, target) == 0
	g.rests.Ask(now, target, rest, rand.Float64())
	return news
}

// resting lists the targets that want no requests from this VM.
func (g *Gateway) resting() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rests.Resting(g.cfg.Now())
}

// Resting counts them.
func (g *Gateway) Resting() int64 { return int64(len(g.resting())) }

// isResting reports whether a target wants no requests from this VM.
func (g *Gateway) isResting(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rests.Left(g.cfg.Now(), target) > 0
}

// firstWake is how long it takes until the first target of the request's service takes requests of
// this VM again; 0 if one of them does not rest.
func (x *exchange) firstWake() time.Duration {
	if x.g.Resting() == 0 {
		return 0
	}
	var ready []string
	for _, t := range x.g.cfg.Directory.Directory().Of(x.service.Name) {
		if t.State == fleet.TargetReady {
			ready = append(ready, t.ID)
		}
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.rests.FirstWake(x.g.cfg.Now(), ready)
}
