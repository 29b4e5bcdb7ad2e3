// Package overload keeps the number of requests at brittle targets within what they have room for.
// A brittle target crashes when it rejects more than a number of requests per second for lack of
// capacity; it announces that number in its responses, for as long as it is brittle.
//
// Guard is the state of one service at the leader, which sees all requests that it places:
//
//   - A brittle target gets at most as many requests at once as it has slots: none waits there.
//   - A rejection lowers that number below what was there when the target rejected. It is raised by
//     one after each raiseInterval, unless a single rejection crashes the target.
//   - A request that its VM has given up counts for coord.AbortedRequestTime.
//   - While one more rejection could crash a target, it gets nothing. Neither does it from a new
//     leader for overlapTime, if that leader's part of the announced number is below one.
//   - A target that appears while its service is brittle counts as brittle, and as one that was
//     restarted and is cold: its number rises from a quarter of its slots. So it does at a new
//     leader, which does not know what the earlier one has placed.
//   - In a partitioned fleet, a partition with a leader gets the part of the slots and of the
//     announced number that equals its part of the fleet.
//
// A VM without decisions from a leader sends nothing to a brittle service.
//
// Guard has no clock and does no I/O, and is not safe for concurrent use.
package overload

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

const (
	// rejectionWindow is the time over which rejections are counted: the second of the announced
	// number, and the time that rejections take to be reported.
	rejectionWindow = 1200 * time.Millisecond
	// raiseInterval is the time without a rejection after which a target gets one request more.
	raiseInterval = 2 * time.Second
	// rampTime is how long a target's number of requests rises from rampStart, a part of its slots,
	// to all of them.
	rampTime  = 2 * time.Second
	rampStart = 0.25
	// overlapTime is how long an earlier leader may go on in a partition that is not detected yet.
	overlapTime = 2500 * time.Millisecond
	// handbackTime is how long requests of another leader may go on after a partition has ended.
	handbackTime = time.Second
	// restartTime is how long a service counts as brittle after its last brittle target has gone: the
	// targets that are back have announced nothing yet.
	restartTime = 15 * time.Second
	// minProbedLimit is the least announced number with which a target survives one rejection, and
	// so the raise that causes it.
	minProbedLimit = 1
)

// target is what is known of one target.
type target struct {
	// learned bounds the requests at once after a rejection; 0: nothing was rejected.
	learned   int
	learnedAt time.Time
	// rampFrom is the start of the ramp; zero: none.
	rampFrom   time.Time
	rejections []time.Time
	// withdrawn has the times at which VMs gave up requests.
	withdrawn []time.Time
}

// Guard bounds the requests at the targets of one service.
type Guard struct {
	targets map[string]*target
	// limits holds the announced rejections per second of the service's targets.
	limits map[string]float64
	// announced holds those of all services.
	announced map[string]float64
	// lowest is the lowest of limits; it applies to targets that have not announced one.
	lowest float64
	// goneUntil is until when the service counts as brittle without a brittle target.
	goneUntil time.Time
	// share is the part of the fleet that this leader serves. A greater one applies after
	// handbackTime.
	share    float64
	newShare float64
	raisedAt time.Time
	// leadingSince is when this VM became the leader; zero: before the targets were brittle.
	leadingSince time.Time
}

// NewGuard returns a Guard that serves the whole fleet and knows no targets.
func NewGuard() *Guard {
	return &Guard{targets: map[string]*target{}, limits: map[string]float64{}, share: 1, newShare: 1}
}

// SetTargets replaces the service's targets.
func (g *Guard) SetTargets(now time.Time, ids []string) {
	wasBrittle := len(g.limits) > 0
	known := make(map[string]*target, len(ids))
	for _, id := range ids {
		t := g.targets[id]
		if t == nil {
			t = &target{}
			if g.Active(now) {
				t.rampFrom = now
			}
		}
		known[id] = t
	}
	g.targets = known
	g.selectLimits()
	if wasBrittle && len(g.limits) == 0 {
		g.goneUntil = now.Add(restartTime)
	}
}

// SetLimits replaces the announced numbers of rejections per second, by target. Targets of other
// services may be among them. share is the part of the fleet that this leader serves.
func (g *Guard) SetLimits(now time.Time, announced map[string]float64, share float64) {
	if share > g.newShare {
		g.raisedAt = now
	}
	g.newShare, g.share = share, min(g.share, share)
	g.announced = announced
	wasBrittle := len(g.limits) > 0
	g.selectLimits()
	if wasBrittle && len(g.limits) == 0 {
		g.forgetRejections()
	}
}

// forgetRejections forgets what was learned while the targets were brittle.
func (g *Guard) forgetRejections() {
	for _, t := range g.targets {
		*t = target{}
	}
}

// currentShare returns the part of the fleet for which requests may be placed.
func (g *Guard) currentShare(now time.Time) float64 {
	if now.Sub(g.raisedAt) >= handbackTime {
		g.share = g.newShare
	}
	return g.share
}

// selectLimits selects the announcements of the service's own targets.
func (g *Guard) selectLimits() {
	clear(g.limits)
	for id := range g.targets {
		limit, brittle := g.announced[id]
		if !brittle {
			continue
		}
		if len(g.limits) == 0 || limit < g.lowest {
			g.lowest = limit
		}
		g.limits[id] = limit
	}
}

// Reset is called when this VM becomes the leader.
func (g *Guard) Reset(now time.Time) {
	g.leadingSince = now
	for _, t := range g.targets {
		t.rampFrom = now
	}
}

// Active reports whether the service is brittle.
func (g *Guard) Active(now time.Time) bool { return len(g.limits) > 0 || now.Before(g.goneUntil) }

// limit returns the number of rejections per second that a target bears.
func (g *Guard) limit(id string) float64 {
	if limit, announced := g.limits[id]; announced {
		return limit
	}
	return g.lowest
}

// Allowed returns how many requests a target with the given slots may have at once. brittle is
// false if there is no such bound.
func (g *Guard) Allowed(now time.Time, id string, slots int) (n int, brittle bool) {
	if !g.Active(now) {
		return 0, false
	}
	t := g.targets[id]
	if t == nil {
		return 0, false
	}
	limit, share := g.limit(id), g.currentShare(now)
	if t.nearCrash(now, share*limit) || g.mayOverlap(now, share*limit) {
		return 0, true
	}
	n = int(share * float64(slots))
	if n == 0 {
		return 0, true
	}
	n = max(int(t.ramp(now)*float64(n)), 1)
	if t.learned > 0 {
		n = min(n, t.raised(now, limit))
	}
	t.withdrawn = within(t.withdrawn, now, coord.AbortedRequestTime)
	return max(n-len(t.withdrawn), 0), true
}

// Withdrawn records that a request at a target has been given up.
func (g *Guard) Withdrawn(now time.Time, id string) {
	if t := g.targets[id]; t != nil && g.Active(now) {
		t.withdrawn = append(within(t.withdrawn, now, coord.AbortedRequestTime), now)
	}
}

// Rejected records that a target rejected a request for lack of capacity. inFlight is the number of
// requests that were there when this one was granted, itself included.
func (g *Guard) Rejected(now time.Time, id string, inFlight int) {
	t := g.targets[id]
	if t == nil || !g.Active(now) {
		return
	}
	lower := max(inFlight-1, 1)
	if t.learned > 0 {
		lower = min(lower, t.raised(now, g.limit(id)))
	}
	t.learned, t.learnedAt = lower, now
	t.rejections = append(t.recent(now), now)
}

// mayOverlap reports whether an earlier leader may still place requests at a target that does not
// bear a rejection for each of the two leaders. limit is this leader's part of the announced number.
func (g *Guard) mayOverlap(now time.Time, limit float64) bool {
	return limit < minProbedLimit && now.Sub(g.leadingSince) < overlapTime
}

// nearCrash reports whether a rejection that follows the recent ones could crash the target.
func (t *target) nearCrash(now time.Time, limit float64) bool {
	n := len(t.recent(now))
	return n > 0 && float64(n+1) > limit
}

// recent returns the recent rejections and forgets the others.
func (t *target) recent(now time.Time) []time.Time {
	t.rejections = within(t.rejections, now, rejectionWindow)
	return t.rejections
}

// within removes the times that are not less than d ago.
func within(times []time.Time, now time.Time, d time.Duration) []time.Time {
	return slices.DeleteFunc(times, func(at time.Time) bool { return now.Sub(at) >= d })
}

// raised returns the learned number with its raises.
func (t *target) raised(now time.Time, limit float64) int {
	if limit < minProbedLimit {
		return t.learned
	}
	return t.learned + int(now.Sub(t.learnedAt)/raiseInterval)
}

// ramp returns the part of its slots that a target may use, by the time since it appeared.
func (t *target) ramp(now time.Time) float64 {
	if t.rampFrom.IsZero() {
		return 1
	}
	return min(rampStart+(1-rampStart)*now.Sub(t.rampFrom).Seconds()/rampTime.Seconds(), 1)
}
