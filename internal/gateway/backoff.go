package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// errBackedOff means that the target has requested backoff from this VM since it was chosen.
var errBackedOff = errors.New("target requested backoff from this VM")

// RecordBackoff records that a target accepts no requests from this VM for a duration. It reports
// whether the target was not backed off before.
func (g *Gateway) RecordBackoff(target string, duration time.Duration) (isNew bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.cfg.Now()
	isNew = g.backoffs.Remaining(now, target) == 0
	g.backoffs.Record(now, target, duration, rand.Float64())
	return isNew
}

// backedOffTargets lists the targets that currently accept no requests from this VM.
func (g *Gateway) backedOffTargets() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backoffs.ActiveTargets(g.cfg.Now())
}

// BackedOffCount returns the number of targets that currently accept no requests from this VM.
func (g *Gateway) BackedOffCount() int64 { return int64(len(g.backedOffTargets())) }

// isBackedOff reports whether a target currently accepts no requests from this VM.
func (g *Gateway) isBackedOff(target string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backoffs.Remaining(g.cfg.Now(), target) > 0
}

// backoffRemaining returns the time until the first ready target of the request's service accepts
// requests from this VM again; 0 if one of them does now.
func (x *exchange) backoffRemaining() time.Duration {
	if x.g.BackedOffCount() == 0 {
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
	return x.g.backoffs.FirstExpiry(x.g.cfg.Now(), ready)
}
