package gateway

import (
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Retry-After of requests whose keys this VM cannot judge.
const (
	// keysPause is for a VM whose copy of the store may lack a key that was taken away: it
	// asks the others ten times a second, and callers reach another VM as a rule.
	keysPause = 250 * time.Millisecond
	// keysAwayPause is for one that could not ask for long: as good as cut off.
	keysAwayPause = time.Second
)

// identify finds the caller's team, and refuses or denies a request that may not run. A key
// that was taken away must not run later than the bound, on no VM: so keys are judged only by
// a copy of the store that is proven to have been current less than the bound ago. Team and
// copy are those of one directory, looked up once for all attempts of a request: what counts
// is when the caller sent it.
func (x *exchange) identify(dir *feed.Directory) bool {
	teams := dir.Config.Teams
	x.keyed = teams != nil
	if teams == nil || x.route.Public {
		return true
	}
	if bound := x.g.cfg.MaxKeyAge; bound > 0 && x.line.ConfirmedAge > bound {
		x.w.Header().Set("Connection", "close") // another VM may know
		x.refuse("keys_not_current", x.pauseForKeys(bound))
		return false
	}
	if x.req.Key == nil {
		x.denyKey("no_key")
		return false
	}
	x.line.Key = x.req.Key.LogPrefix()
	team, listed := teams.Lookup(*x.req.Key)
	switch {
	case team != nil:
		x.takeTeam(team)
		return true
	case listed, !teams.Complete:
		x.refuse("key_not_understood", startPause)
	case x.line.FeedAge > staleConfig:
		x.refuse("unknown_key_but_stale", startPause)
	default:
		x.denyKey("unknown_key")
	}
	return false
}

// takeTeam makes a request its team's. A team's priority goes before the route's.
func (x *exchange) takeTeam(team *fleet.Team) {
	x.team = team
	x.line.Team = team.Name
	if team.Priority < 0 {
		return
	}
	route := *x.route
	route.Priority = team.Priority
	x.route = &route
}

// teamName is empty for requests of no team.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// cost is what the request's team is charged for an attempt after so many that may have run:
// a request is charged once, and an attempt that did not run is given back.
func (x *exchange) cost(runs int) float64 {
	if x.team == nil || runs > 0 || x.team.Quota.PerSecond <= 0 {
		return 0
	}
	return x.team.Quota.Cost(&x.req)
}

// pauseForKeys is when to come back to a VM that cannot judge keys.
func (x *exchange) pauseForKeys(bound time.Duration) time.Duration {
	pause := keysPause
	if x.line.ConfirmedAge > 2*bound {
		pause = keysAwayPause
	}
	if x.req.Remaining > 0 {
		pause = min(pause, time.Duration(waitShare*float64(x.req.Remaining)))
	}
	return pause
}

func (x *exchange) denyKey(reason string) {
	x.g.cfg.Codec.Challenge(x.w.Header())
	x.deny(http.StatusUnauthorized, reason)
}

// KeysCurrent reports whether this VM can judge keys, or need not.
func (g *Gateway) KeysCurrent() bool {
	c := g.cfg.Directory.Directory().Config
	return c == nil || c.Teams == nil || g.cfg.MaxKeyAge == 0 || g.cfg.Directory.ConfirmedAge() <= g.cfg.MaxKeyAge
}
