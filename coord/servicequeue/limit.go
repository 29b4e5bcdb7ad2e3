package servicequeue

import "time"

// limit knows how many requests a target gets at once, and how long calls take.
//
// A target gets one more than it works on, so that the next begins while word of the last one's
// end and the next one's grant are under way, some 6 ms of calls of 60: the last one waits at
// the target. One that turns that one away gets as many as it works on.
//
// A search for the number that gives most a second was tried: some targets are slower when
// nearly full. The times of single calls differ so much that it took four of six for the best
// where six were (45 and 53 ms a call), and 0.40 of a heavy day's calls were refused.
type limit struct {
	// took is how long calls take, and spread by how much they differ from that.
	took, spread time.Duration
	// noSpare says that targets turn away what is more than they work on.
	noSpare bool
}

const (
	// spare is how many requests a target gets beyond those that it works on.
	spare = 1
	// weight of one observation.
	weight = 0.03
	// unknownSlots is the limit of targets that do not say how many they take.
	unknownSlots = 16
	// firstWork is the guess before the first answer, and firstSpread that of its spread.
	firstWork   = 50 * time.Millisecond
	firstSpread = 25 * time.Millisecond
	// slowSpreads is how many spreads beyond the mean nine of ten calls do not take.
	slowSpreads = 1.6
)

// newLimit knows the guesses only.
func newLimit() limit { return limit{took: firstWork, spread: firstSpread} }

// observe takes how long a call took.
func (l *limit) observe(took time.Duration) {
	off := took - l.took
	l.took += time.Duration(weight * float64(off))
	l.spread += time.Duration(weight * float64(off.Abs()-l.spread))
}

// turnedAway takes that a target had no room for a request that began as one of so many there.
func (l *limit) turnedAway(beside, slots int) {
	if slots > 0 && beside > slots {
		l.noSpare = true
	}
}

// of returns how many requests a target with so many slots gets at once.
func (l *limit) of(slots int) int {
	switch {
	case slots <= 0:
		return unknownSlots
	case l.noSpare:
		return slots
	}
	return slots + spare
}

// work is how long a call takes.
func (l *limit) work() time.Duration { return l.took }

// slow is how long nine of ten calls take at most.
func (l *limit) slow() time.Duration {
	return l.took + time.Duration(slowSpreads*float64(l.spread))
}
