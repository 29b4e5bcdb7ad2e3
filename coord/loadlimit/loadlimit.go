// Package loadlimit learns how many adapters may be on their way from the weight store at
// once.
//
// A store serves some loads at full speed; with more on their way, all of them take longer
// in proportion, and what is expected of each is wrong. With fewer, loads wait that the
// store could serve: a fleet whose callers ask for new adapters all day is then held to a
// part of the store's rate. How many it is, is published nowhere. It shows in the loads
// themselves: beyond it nearly every load is late, below it nearly none.
//
// Limit answers a line of loads that is full for long. It begins with a guess, grows by
// steps while the line is full and loads come in time, and goes back when most loads of a
// step are late; then it waits before it tries again, longer each time in a row. Single late
// loads, of a slow engine or a lost answer, change nothing, and what a cluster of them takes
// is regained within seconds.
//
// Limit has no clock and does no I/O. It is not safe for concurrent use.
package loadlimit

import "time"

// Figures of the search.
const (
	// votes is how many loads judge a step: one engine has four on their way at most, so
	// that three engines at least have a say.
	votes = 9
	// lateVotes of these make a step too much: beyond the store's limit all loads are
	// late, and an engine in four may be slow by itself.
	lateVotes = 7
	// startGrowth is the step before the first late one, each the time of a load and of
	// its first answer, some 0.4 s. In a played storm of new adapters, from 24 of 32 on,
	// 0.917 of the requests of 12 s were in time with it and 0.859 with 1.5.
	startGrowth = 1.25
	// laterGrowth is a step after that. Loads that take 6 in 100 longer than expected are
	// noticed: they are expected with a margin of 15 ms to 250.
	laterGrowth = 1.07
	// firstPause is the time from a late step to the next try; it doubles with each in a
	// row, up to maxPause. A try that is too much makes half a second's loads late by a
	// tenth.
	firstPause = 4 * time.Second
	maxPause   = 16 * time.Second
	// drainTime is how long after a step back the loads that were too many are still on
	// their way and make others late.
	drainTime = 300 * time.Millisecond
	// least, and leastShare of the guess, are kept whatever loads show.
	least      = 4
	leastShare = 0.25
)

// Limit is what is believed of one store.
type Limit struct {
	guess  int
	value  float64
	growth float64
	// step counts the values; loads of earlier ones do not judge this one, nor those begun
	// before judgeFrom.
	step      int
	judgeFrom time.Time
	// seen and late count this step's votes; full says that a load had to wait for room
	// in the line meanwhile.
	seen, late int
	full       bool
	// inTime says that a step's loads came in time since the last late one, and tried that
	// a step up was made since.
	inTime, tried bool
	// pause is the time from the next late step to the next try, growAt when that may be.
	pause  time.Duration
	growAt time.Time
}

// StartedLoad is what is remembered of a load from its beginning; the zero value judges nothing.
type StartedLoad struct {
	step   int
	judges bool
}

// New returns a Limit that begins with a guess, in loads on their way at once.
func New(guess int) *Limit {
	return &Limit{guess: guess, value: float64(guess), growth: startGrowth, pause: firstPause}
}

// SetInitial begins anew if the guess has changed.
func (l *Limit) SetInitial(guess int) {
	if guess != l.guess {
		*l = *New(guess)
	}
}

// Max returns how many loads may be on their way.
func (l *Limit) Max() int { return int(l.value + 0.5) }

// Begin takes the beginning of a load.
func (l *Limit) Begin(now time.Time) StartedLoad {
	return StartedLoad{step: l.step, judges: !now.Before(l.judgeFrom)}
}

// ObserveFull takes that a load has to wait since Max are on their way.
func (l *Limit) ObserveFull() { l.full = true }

// End takes whether a load was there when it was expected.
func (l *Limit) End(now time.Time, s StartedLoad, late bool) {
	if s.step != l.step || !s.judges {
		return
	}
	l.seen++
	if late {
		l.late++
	}
	if l.seen < votes {
		return
	}
	tooMuch, full := l.late >= lateVotes, l.full
	l.seen, l.late, l.full = 0, 0, false
	if tooMuch {
		l.shrink(now)
		return
	}
	l.inTime = true
	if full && !now.Before(l.growAt) {
		l.grow()
	}
}

// shrink takes back the last step, and more where the one before was too much as well.
func (l *Limit) shrink(now time.Time) {
	back, overshot := startGrowth, l.inTime && l.growth == startGrowth
	if l.inTime {
		back = l.growth
	}
	if !overshot { // else small steps follow at once
		l.growAt = now.Add(l.pauseNow())
	}
	if l.tried && !overshot {
		l.pause = min(2*l.pause, maxPause)
	}
	l.growth = laterGrowth
	l.inTime, l.tried = false, false
	l.set(max(l.value/back, least, leastShare*float64(l.guess)))
	l.judgeFrom = now.Add(drainTime)
}

// pauseNow is the time until the next try. Where a step of one load is more than laterGrowth
// makes loads later, it is made half as often.
func (l *Limit) pauseNow() time.Duration {
	if l.value*laterGrowth < l.value+1 {
		return 2 * l.pause
	}
	return l.pause
}

// grow makes a step up. The first one after a late one is a try; with the second the row of
// late ones has ended.
func (l *Limit) grow() {
	if l.tried || l.growth == startGrowth {
		l.pause = firstPause
	}
	l.tried = true
	l.set(max(l.value*l.growth, l.value+1))
}

func (l *Limit) set(value float64) {
	l.value = value
	l.step++
}
