package servicequeue

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord/ratelimit"
)

// SetRates replaces the rates that targets limit their requests to, in requests a second. share is the
// part of the fleet that asks this VM.
func (l *Queue) SetRates(now time.Time, rates map[string]float64, share float64) []Action {
	l.pacer.SetFleetShare(now, share)
	l.pacer.SetRates(now, rates)
	return l.settle(now)
}

// anyLimited reports whether a target of the service limits its rate.
func (l *Queue) anyLimited() bool {
	return slices.ContainsFunc(l.targets, func(t Target) bool {
		_, limited := l.pacer.Rate(t.ID)
		return limited
	})
}

// hasRoom reports whether a target takes one request more now.
func (l *Queue) hasRoom(now time.Time, t Target) bool {
	return l.running[t.ID] < l.limit.of(t.Slots) && l.pacer.Ready(now, t.ID)
}

// throughput is how many requests targets take a second, as many as they work on at once or as they limit
// themselves to, and the expected time until one of them takes the next.
func (l *Queue) throughput(now time.Time) (perSecond float64, first time.Duration) {
	work := l.limit.work()
	first = ratelimit.MaxWait
	unlimited := 0.0
	for _, t := range l.targets {
		if l.balancer.Ejected(now, t.ID) {
			continue
		}
		takes := float64(max(l.limit.of(t.Slots)-spare, 1)) / work.Seconds()
		if rate, limited := l.pacer.Rate(t.ID); limited {
			takes = min(takes, rate)
			first = min(first, l.pacer.Wait(now, t.ID))
		} else {
			unlimited += takes
		}
		perSecond += takes
	}
	if perSecond == 0 { // all are ejected
		return 1 / work.Seconds(), work
	}
	if unlimited > 0 {
		first = min(first, time.Duration(float64(time.Second)/unlimited))
	}
	return perSecond, first
}

// pause is when a refused caller is to come back whose turn would come in some time.
func (l *Queue) pause(now time.Time, turn time.Duration, perSecond float64) time.Duration {
	if l.anyLimited() {
		return max(l.returns.Next(now, len(l.waiting), perSecond), leastPause)
	}
	return min(max(turn, leastPause), mostPause)
}
