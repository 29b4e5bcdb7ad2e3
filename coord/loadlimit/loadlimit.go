// Package loadlimit learns how many adapters may be on their way from the weight store at
// once.
//
// A store serves some loads at full speed; with more on their way, all of them take longer
// in proportion, and what is expected of each is wrong. With fewer, loads wait that the
// store could serve: a fleet whose callers ask for new adapters all day is then held to a
// part of the store's rate. How many it is, is published nowhere. It shows in the loads
// themselves: beyond it nearly every load is late, below it nearly none.
//
// Limit answers a line of loads that is full for long. It begins with a guess, grows while
// the line is full and loads come in time, and shrinks when most of a step's loads are late;
// between a size that was in time and one that was late it closes in, and later probes
// seldom. Single late loads, of a slow engine or a lost answer, change nothing.
//
// Limit has no clock and does no I/O. It is not safe for concurrent use.
package loadlimit

import (
	"math"
	"time"
)

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
	// 0.977 of all requests of 20 s were in time with it, 0.970 with 1.35, 0.961 with 1.5.
	startGrowth = 1.25
	// closeIn is where the next step lies between one in time (0) and one too much (1):
	// too much makes all loads late, too little only a part of the line wait.
	closeIn = 0.33
	// closeEnough is the ratio of the two at which the search ends: loads that take 6 in
	// 100 longer than expected are noticed, since they are expected with a margin.
	closeEnough = 1.1
	// probeGrowth is a step of a search that has ended.
	probeGrowth = 1.07
	// probePause is the time between those; one too much doubles it, up to maxPause. A
	// probe that is too much makes a second's loads late by a tenth.
	probePause = 6 * time.Second
	maxPause   = 24 * time.Second
	// retreat is the step down where no size was in time, or the one that was no longer is.
	retreat = 0.8
	// least, and leastShare of the guess, are kept whatever loads show.
	least      = 4
	leastShare = 0.25
)

// Limit is what is believed of one store.
type Limit struct {
	guess int
	value float64
	// good is the largest value whose loads came in time, bad the least that was too
	// much; 0: none is known.
	good, bad float64
	// step counts the values; loads of earlier ones do not judge this one.
	step int
	// seen and late count this step's votes; full says that a load had to wait for room
	// in the line meanwhile.
	seen, late int
	full       bool
	// pause is the time until the next probe, growAt when that may be.
	pause  time.Duration
	growAt time.Time
}

// Start is what is remembered of a load from its beginning.
type Start struct{ step int }

// New returns a Limit that begins with a guess, in loads on their way at once.
func New(guess int) *Limit { return &Limit{guess: guess, value: float64(guess), pause: probePause} }

// SetGuess begins anew if the guess has changed.
func (l *Limit) SetGuess(guess int) {
	if guess != l.guess {
		*l = *New(guess)
	}
}

// Max returns how many loads may be on their way.
func (l *Limit) Max() int { return int(l.value + 0.5) }

// Begin takes the beginning of a load.
func (l *Limit) Begin() Start { return Start{l.step} }

// Full takes that a load has to wait since Max are on their way.
func (l *Limit) Full() { l.full = true }

// Ended takes whether a load was there when it was expected.
func (l *Limit) Ended(now time.Time, s Start, late bool) {
	if s.step != l.step {
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
	switch {
	case tooMuch:
		l.shrink(now)
	case full:
		l.grow(now)
	}
}

func (l *Limit) shrink(now time.Time) {
	l.bad = l.value
	switch {
	case l.good == 0 || l.good >= l.value:
		l.good = 0
		l.set(max(l.value*retreat, least, leastShare*float64(l.guess)))
	case !l.closedIn():
		l.set(l.between())
	default:
		l.settle(now)
		l.pause = min(2*l.pause, maxPause)
	}
}

func (l *Limit) grow(now time.Time) {
	l.good = max(l.good, l.value)
	switch {
	case l.bad == 0:
		l.set(max(l.value*startGrowth, l.value+1))
	case !l.closedIn():
		l.set(l.between())
	case now.After(l.growAt):
		l.growAt = now.Add(l.pause)
		l.set(max(l.good*probeGrowth, l.good+1))
	}
}

// settle ends the search at the value whose loads came in time.
func (l *Limit) settle(now time.Time) {
	l.growAt = now.Add(l.pause)
	l.set(l.good)
}

// closedIn reports whether the sizes in time and too much are as good as next to each other.
func (l *Limit) closedIn() bool { return l.bad <= closeEnough*l.good || l.bad <= l.good+1 }

func (l *Limit) between() float64 { return math.Pow(l.good, 1-closeIn) * math.Pow(l.bad, closeIn) }

func (l *Limit) set(value float64) {
	l.value = value
	l.step++
}
