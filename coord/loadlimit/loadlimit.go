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
// Loads are also late if their expected time is too short. The load times before and after a
// shrink tell the two causes apart: if the loads after it take as long as those before it, their
// number was not the cause. The shrink is then undone, and Overdue returns the observed time.
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
	// minVoteFill is the share of the limit that has to be in use on average during a load for the
	// load to count: loads beside few others are on time whatever the store's limit is.
	minVoteFill = 0.9
	// maxVoteFill is the share beyond which late loads do not count: loads of the time before a
	// shrink are still in progress.
	maxVoteFill = 1.15
	// untestedGrowthTime is the time in which a step has to show whether the store serves a raised
	// limit; while loads wait it takes half a second. In a simulated store of 64 loads with demand
	// that shifts each second, limits of up to 125 lasted between bursts without this.
	untestedGrowthTime = 1000 * time.Millisecond
	// drainTime is how long the excess loads stay in progress after a shrink and make other
	// loads late.
	drainTime = 300 * time.Millisecond
	// minDurations is the number of load times before and after a shrink that are compared, and
	// maxUndecidedSteps the number of late steps after which the limit shrinks again without them.
	minDurations      = 5
	maxUndecidedSteps = 3
	// minSpeedup is the fraction by which load times have to fall after a shrink to show that the
	// number of loads was the cause. A shrink by initialGrowth at a saturated store shortens them
	// by a fifth; the times are known to about a tenth, because late requests return every 60 ms.
	minSpeedup = 0.08
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
	// lateOnce reports that the last step was late although the same limit was on time before.
	lateOnce bool
	// backoff is the time from the next late step to the growth after it; nextGrowth is the
	// earliest time of the next growth.
	backoff    time.Duration
	nextGrowth time.Time
	// current has the durations of late loads of the current step. last has those of the step
	// before the last change, if that was a shrink by initialGrowth. lastValue and lastGrowth are
	// those before the last series of shrinks.
	current, last         durations
	lastValue, lastGrowth float64
	// undecided is the number of late steps since the last shrink without enough durations.
	undecided int
	// tested is the value before the last growth, and grewAt the time of that growth while no step
	// has shown its effect; zero otherwise.
	tested float64
	grewAt time.Time
	// loadTime is the integral over time of the number of loads in progress, up to advancedAt.
	loadTime   time.Duration
	advancedAt time.Time
	inProgress int
	// expected is the expected time of a load.
	expected time.Duration
	// overdue is the observed load time to return from Overdue; 0: none.
	overdue time.Duration
}

// durations sums up the times of the late loads of a step.
type durations struct {
	step  int
	count int
	sum   time.Duration
}

func (d *durations) mean() time.Duration { return d.sum / time.Duration(max(d.count, 1)) }

// StartedLoad is the state that Limit keeps for a load in progress. The zero value has no
// effect on the limit.
type StartedLoad struct {
	step   int
	counts bool
	// at is when the load began, and loadTime is Limit.loadTime at that time.
	at       time.Time
	loadTime time.Duration
}

// New returns a Limit with an initial value, in concurrent loads.
func New(initial int) *Limit {
	return &Limit{
		initial: initial, value: float64(initial), growth: initialGrowth, backoff: growBackoffMin,
		last: durations{step: noStep},
	}
}

// noStep is the number of no step.
const noStep = -1

// SetInitial resets the limit to a new initial value. It has no effect if the value has not
// changed.
func (l *Limit) SetInitial(initial int) {
	if initial != l.initial {
		*l = *New(initial)
	}
}

// Max returns the maximum number of concurrent loads.
func (l *Limit) Max() int { return int(l.value + 0.5) }

// Advance records the number of loads in progress since the last call and the time that a load is
// expected to take. It has to be called at least every 20 ms. A growth that no loads have tested is
// reverted.
func (l *Limit) Advance(now time.Time, inProgress int, expected time.Duration) {
	l.elapseTo(now)
	if expected > l.expected { // the late loads of the step may be on time by the new one
		l.voteCount, l.lateCount = 0, 0
	}
	l.inProgress, l.expected = inProgress, expected
	if !l.grewAt.IsZero() && now.Sub(l.grewAt) > untestedGrowthTime {
		l.grewAt, l.nextGrowth = time.Time{}, now.Add(growBackoffMin)
		l.set(l.tested)
	}
}

// elapseTo adds the loads in progress up to now to their integral over time.
func (l *Limit) elapseTo(now time.Time) {
	if d := now.Sub(l.advancedAt); d > 0 && !l.advancedAt.IsZero() {
		l.loadTime += d * time.Duration(l.inProgress)
	}
	l.advancedAt = now
}

// Begin records the start of a load. The result must be passed to End.
func (l *Limit) Begin(now time.Time) StartedLoad {
	l.elapseTo(now)
	return StartedLoad{step: l.step, counts: !now.Before(l.votesFrom), at: now, loadTime: l.loadTime}
}

// meanInProgress returns the mean number of loads in progress since a load began.
func (l *Limit) meanInProgress(now time.Time, s StartedLoad) float64 {
	l.elapseTo(now)
	return float64(l.loadTime-s.loadTime) / float64(max(now.Sub(s.at), 1))
}

// ObserveFull records that a load has to wait because Max loads are in progress.
func (l *Limit) ObserveFull() { l.full = true }

// End records whether a load was late, that is, not finished at its expected time.
func (l *Limit) End(now time.Time, s StartedLoad, late bool) {
	if s.step != l.step || !s.counts || !l.tests(late, l.meanInProgress(now, s)) {
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
		l.handleLateStep(now)
		return
	}
	l.handleOnTimeStep(now)
	if full && !now.Before(l.nextGrowth) {
		l.grow(now)
	}
}

// ObserveDuration records how long a load took that End has counted as late.
func (l *Limit) ObserveDuration(s StartedLoad, d time.Duration) {
	if !s.counts {
		return
	}
	for _, x := range []*durations{&l.current, &l.last} {
		if x.step == s.step {
			x.count++
			x.sum += d
		}
	}
}

// Overdue returns the time that loads take if it was found to exceed the expected one, once for
// each such finding; ok is false if there is none.
func (l *Limit) Overdue() (d time.Duration, ok bool) {
	d, l.overdue = l.overdue, 0
	return d, d > 0
}

// tests reports whether the outcome of a load tests the limit, given the mean number of loads that
// were in progress during it.
func (l *Limit) tests(late bool, inProgress float64) bool {
	return inProgress >= minVoteFill*l.value && !(late && inProgress > maxVoteFill*l.value)
}

// handleOnTimeStep records that the store serves the present number of loads. It undoes the last
// shrink if the loads before it would be on time by the present expected time.
func (l *Limit) handleOnTimeStep(now time.Time) {
	if l.last.count >= minDurations && l.last.mean() <= l.expected {
		l.undoShrink(now)
	}
	l.onTimeSinceShrink, l.lateOnce = true, false
	l.grewAt = time.Time{}
	l.last, l.undecided = durations{step: noStep}, 0
}

// handleLateStep shrinks the limit, or undoes the last shrink if it did not shorten the loads.
func (l *Limit) handleLateStep(now time.Time) {
	if l.onTimeSinceShrink && !l.grewSinceShrink && !l.lateOnce {
		l.lateOnce = true // the same limit was on time before; one late step may be chance
		return
	}
	if l.last.step == noStep {
		l.shrink(now)
		return
	}
	if l.last.count < minDurations || l.current.count < minDurations {
		if l.undecided++; l.undecided >= maxUndecidedSteps {
			l.shrink(now)
		}
		return
	}
	if float64(l.current.mean()) < (1-minSpeedup)*float64(l.last.mean()) {
		l.shrink(now)
		return
	}
	l.overdue = l.current.mean()
	l.undoShrink(now)
}

// undoShrink restores the limit before the last shrink, because the expected time was the cause.
func (l *Limit) undoShrink(now time.Time) {
	l.growth, l.backoff, l.nextGrowth = l.lastGrowth, growBackoffMin, now
	l.set(l.lastValue)
	l.last = durations{step: noStep}
}

// shrink reverts the last growth. If no step was on time since the previous shrink, it
// divides the limit by initialGrowth instead.
func (l *Limit) shrink(now time.Time) {
	if l.onTimeSinceShrink || l.lastValue == 0 {
		l.lastValue, l.lastGrowth = l.value, l.growth
	}
	late := l.current
	l.grewAt = time.Time{}
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
	if factor < initialGrowth { // too little to change load times noticeably
		late = durations{step: noStep}
	}
	l.last = late
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
func (l *Limit) grow(now time.Time) {
	if l.grewSinceShrink || l.growth == initialGrowth {
		l.backoff = growBackoffMin
	}
	l.grewSinceShrink = true
	l.tested, l.grewAt = l.value, now
	l.set(max(l.value*l.growth, l.value+1))
}

func (l *Limit) set(value float64) {
	l.value = value
	l.step++
	l.current = durations{step: l.step}
	l.undecided, l.lateOnce = 0, false
}
