// Package loadlimit estimates how many adapters can be loaded from the weight store
// concurrently.
//
// A store serves a certain number of concurrent loads at full speed. With more, all loads
// slow down in proportion, and the expected load times are wrong. With fewer, loads wait
// although the store has capacity: a fleet whose callers keep requesting new adapters is
// then limited to a fraction of the store's rate. The number is published nowhere. It shows
// in the load times: above the limit nearly every load is late, below it nearly none.
//
// Limit adapts to a load queue that stays full. It starts from an initial value, grows in
// steps while loads have to wait and are on time, and shrinks when most loads of a step are
// late. It then backs off before the next growth, longer with each consecutive late step.
// Single late loads, caused by a slow engine or a lost response, change nothing. If several
// of them at once cause a shrink, the limit recovers within seconds.
//
// Limit has no clock and does no I/O. It is not safe for concurrent use.
package loadlimit

import "time"

// Parameters of the search.
const (
	// votesPerStep is the number of loads that decide on a step. One engine has at most four
	// loads in progress, which means that at least three engines take part.
	votesPerStep = 9
	// lateVotesToShrink is the number of late loads among these that lowers the limit. Above
	// the store's limit all loads are late; one engine in four may be slow for other reasons.
	lateVotesToShrink = 7
	// initialGrowth is the growth factor until the first late step. Each step takes the time
	// of a load and of its first response, some 0.4 s. In a simulated burst of requests for
	// new adapters, with an initial limit of 24 at a store limit of 32, 0.917 of the requests
	// of 12 s were in time with it and 0.859 with 1.5.
	initialGrowth = 1.25
	// probeGrowth is the growth factor after that. Loads that take 6% longer than expected
	// are detected as late, because a load of 250 ms is expected with a margin of 15 ms.
	probeGrowth = 1.07
	// growBackoffMin is the time from a late step to the next growth. It doubles with each
	// consecutive late step, up to growBackoffMax. After a growth beyond the store's limit,
	// loads take a tenth longer for about half a second.
	growBackoffMin = 4 * time.Second
	growBackoffMax = 16 * time.Second
	// drainTime is how long the excess loads stay in progress after a shrink and make other
	// loads late.
	drainTime = 300 * time.Millisecond
	// A shrink leaves at least minLimit, and at least minLimitFraction of the initial value.
	minLimit         = 4
	minLimitFraction = 0.25
)

// Limit is the estimated concurrency limit of one store.
type Limit struct {
	initial int
	value   float64
	growth  float64
	// step is incremented with each change of value. Only loads that began in the current
	// step and not before votesFrom count as votes.
	step      int
	votesFrom time.Time
	// voteCount and lateCount are the votes of the current step and the late ones among them.
	// full reports whether a load had to wait for the limit during the step.
	voteCount, lateCount int
	full                 bool
	// onTimeSinceShrink reports whether the loads of a step were on time since the last late
	// step, grewSinceShrink whether the limit was raised since then.
	onTimeSinceShrink, grewSinceShrink bool
	// backoff is the time from the next late step to the growth after it; nextGrowth is the
	// earliest time of the next growth.
	backoff    time.Duration
	nextGrowth time.Time
}

// StartedLoad is the state that Limit keeps for a load in progress. The zero value has no
// effect on the limit.
type StartedLoad struct {
	step   int
	counts bool
}

// New returns a Limit with an initial value, in concurrent loads.
func New(initial int) *Limit {
	return &Limit{initial: initial, value: float64(initial), growth: initialGrowth, backoff: growBackoffMin}
}

// SetInitial resets the limit to a new initial value. It has no effect if the value has not
// changed.
func (l *Limit) SetInitial(initial int) {
	if initial != l.initial {
		*l = *New(initial)
	}
}

// Max returns the maximum number of concurrent loads.
func (l *Limit) Max() int { return int(l.value + 0.5) }

// Begin records the start of a load. The result must be passed to End.
func (l *Limit) Begin(now time.Time) StartedLoad {
	return StartedLoad{step: l.step, counts: !now.Before(l.votesFrom)}
}

// ObserveFull records that a load has to wait because Max loads are in progress.
func (l *Limit) ObserveFull() { l.full = true }

// End records whether a load was late, that is, not finished at its expected time.
func (l *Limit) End(now time.Time, s StartedLoad, late bool) {
	if s.step != l.step || !s.counts {
		return
	}
	l.voteCount++
	if late {
		l.lateCount++
	}
	if l.voteCount < votesPerStep {
		return
	}
	overloaded, full := l.lateCount >= lateVotesToShrink, l.full
	l.voteCount, l.lateCount, l.full = 0, 0, false
	if overloaded {
		l.shrink(now)
		return
	}
	l.onTimeSinceShrink = true
	if full && !now.Before(l.nextGrowth) {
		l.grow()
	}
}

// shrink reverts the last growth. If no step was on time since the previous shrink, it
// divides the limit by initialGrowth instead.
func (l *Limit) shrink(now time.Time) {
	factor, overshot := initialGrowth, l.onTimeSinceShrink && l.growth == initialGrowth
	if l.onTimeSinceShrink {
		factor = l.growth
	}
	if !overshot { // otherwise growth by probeGrowth continues at once
		l.nextGrowth = now.Add(l.growBackoff())
	}
	if l.grewSinceShrink && !overshot {
		l.backoff = min(2*l.backoff, growBackoffMax)
	}
	l.growth = probeGrowth
	l.onTimeSinceShrink, l.grewSinceShrink = false, false
	l.set(max(l.value/factor, minLimit, minLimitFraction*float64(l.initial)))
	l.votesFrom = now.Add(drainTime)
}

// growBackoff returns the time until the next growth. It is twice as long at small limits,
// where a step of one load exceeds probeGrowth and makes loads later.
func (l *Limit) growBackoff() time.Duration {
	if l.value*probeGrowth < l.value+1 {
		return 2 * l.backoff
	}
	return l.backoff
}

// grow raises the limit by one step. The first growth after a late step is a probe. The
// second one ends the series of late steps and resets the backoff.
func (l *Limit) grow() {
	if l.grewSinceShrink || l.growth == initialGrowth {
		l.backoff = growBackoffMin
	}
	l.grewSinceShrink = true
	l.set(max(l.value*l.growth, l.value+1))
}

func (l *Limit) set(value float64) {
	l.value = value
	l.step++
}
