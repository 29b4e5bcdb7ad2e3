package gateway

import (
	"net/http"
	"time"

	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Retry delays of requests whose keys this VM cannot check.
const (
	// staleCopyRetryDelay is for a VM whose copy of the store may miss the revocation of a key. It
	// queries the other VMs ten times a second, and a retry usually reaches another VM.
	staleCopyRetryDelay = 250 * time.Millisecond
	// isolatedVMRetryDelay is for a VM that has been unable to query the others for long and is
	// probably partitioned.
	isolatedVMRetryDelay = time.Second
)

// identify finds the caller's team, and refuses or denies a request that may not run. No VM may
// accept a revoked key later than a configured bound, so keys are checked only against a copy of
// the store that is confirmed to have been current within MaxKeyAge. The team is looked up once for
// all attempts of a request, in the directory whose age was checked, because what counts is when
// the caller sent the request.
func (x *exchange) identify(dir *feed.Directory) bool {
	teams := dir.Config.Teams
	x.keyed = teams != nil
	if teams == nil || x.route.Public {
		return true
	}
	if maxAge := x.g.cfg.MaxKeyAge; maxAge > 0 && x.logEntry.ConfirmedAge > maxAge {
		x.w.Header().Set("Connection", "close") // another VM may have a current copy
		x.refuse("keys_not_current", x.keyCheckRetryDelay(maxAge))
		return false
	}
	if x.req.Key == nil {
		x.denyKey("no_key")
		return false
	}
	x.logEntry.Key = x.req.Key.LogPrefix()
	team, listed := teams.Lookup(*x.req.Key)
	switch {
	case team != nil:
		x.assignTeam(team)
		return true
	case listed, !teams.Complete:
		x.refuse("key_not_understood", startupRetryDelay)
	case x.logEntry.FeedAge > staleConfigAge:
		x.refuse("unknown_key_but_stale", startupRetryDelay)
	default:
		x.denyKey("unknown_key")
	}
	return false
}

// assignTeam assigns the request to a team. A team's priority takes precedence over the route's.
func (x *exchange) assignTeam(team *fleet.Team) {
	x.team = team
	x.logEntry.Team = team.Name
	if team.Priority < 0 {
		return
	}
	route := *x.route
	route.Priority = team.Priority
	x.route = &route
}

// teamName returns the name of the request's team; empty: none.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return x.team.Name
}

// cost returns what the request's team is charged for an attempt after runs earlier ones that may
// have run. A request is charged once, and the charge for an attempt that did not run is refunded.
func (x *exchange) cost(runs int) float64 {
	if x.team == nil || runs > 0 || x.team.Quota.PerSecond <= 0 {
		return 0
	}
	return x.team.Quota.Cost(&x.req)
}

// keyCheckRetryDelay returns the retry delay for callers of a VM that cannot check keys.
func (x *exchange) keyCheckRetryDelay(maxAge time.Duration) time.Duration {
	delay := staleCopyRetryDelay
	if x.logEntry.ConfirmedAge > 2*maxAge {
		delay = isolatedVMRetryDelay
	}
	if x.req.Remaining > 0 {
		delay = min(delay, time.Duration(maxRetryDelayShare*float64(x.req.Remaining)))
	}
	return delay
}

func (x *exchange) denyKey(reason string) {
	x.g.cfg.Codec.Challenge(x.w.Header())
	x.deny(http.StatusUnauthorized, reason)
}

// KeysCurrent reports whether this VM can check keys, or does not have to.
func (g *Gateway) KeysCurrent() bool {
	c := g.cfg.Directory.Directory().Config
	return c == nil || c.Teams == nil || g.cfg.MaxKeyAge == 0 || g.cfg.Directory.ConfirmedAge() <= g.cfg.MaxKeyAge
}
