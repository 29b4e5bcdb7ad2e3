package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errResting: the target has asked this VM for rest since it was chosen.
var errResting = errors.New("the target rests")

// RecordBackoff takes that a target wants no requests from this VM for a time. It reports whether it did
// not rest before.
func (g *Gateway) RecordBackoff(target string, rest time.Duration) (news bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	news = g.rests.Remaining(now, target) == 0
	g.rests.Record(now, target, rest, rand.Float64())
	return news
}

// resting lists the targets that want no requests from this VM.
func (g *Gateway) resting() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rests.ActiveTargets(g.cfg.Now())
}

// BackedOff counts them.
func (g *Gateway) BackedOff() int64 { return int64(len(g.resting())) }

// isResting reports whether a target wants no requests from this VM.
func (g *Gateway) isResting(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rests.Remaining(g.cfg.Now(), target) > 0
}

// firstWake is how long it takes until the first target of the request's service takes requests of
// this VM again; 0 if one of them does not rest.
func (x *exchange) firstWake() time.Duration {
	if x.g.BackedOff() == 0 {
		return 0
	}
	var ready []string
	for _, t := range x.g.cfg.Directory.Directory().TargetsOf(x.service.Name) {
		if t.State == fleet.TargetReady {
			ready = append(ready, t.ID)
		}
	}
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	return x.g.rests.FirstExpiry(x.g.cfg.Now(), ready)
}
