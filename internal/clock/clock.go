// Package clock tells a time that goes on while a VM is suspended.
//
// The clock that time.Now measures by stands still in a suspension, which a VM notices by nothing else:
// its lease, the age of its copy of the store and a target's rest would all look as young afterwards as
// they were before. The time of day goes on, but it may jump. The kernel's time since its boot does
// neither; it costs a system call, so Now goes by what the last call of Refresh found, and Refresh is
// to be called before each decision that must not rest on something too old.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source is what a Clock reads.
type Source struct {
	// Monotonic is a clock that may stand still in a suspension.
	Monotonic func() time.Time
	// BootTime is the time since the machine's boot, suspensions included.
	BootTime func() (time.Duration, error)
}

// System reads the machine's clocks.
func System() Source { return Source{Monotonic: time.Now, BootTime: bootTime} }

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Clock is safe for concurrent use. Its times must not be compared with those of time.Now.
type Clock struct {
	source Source
	steady time.Time
	boot   time.Duration
	// blind says that the machine has no time since its boot.
	blind bool
	// suspended is the time in suspensions that is known of, in ns.
	suspended atomic.Int64
}

// New returns a Clock that begins now. Where the time since the boot cannot be read it does not see
// suspensions, and err says why.
func New(source Source) (c *Clock, err error) {
	c = &Clock{source: source, steady: source.Monotonic()}
	c.boot, err = source.BootTime()
	c.blind = err != nil
	return c, err
}

// Now is the time, with the suspensions that Refresh has seen.
func (c *Clock) Now() time.Time {
	return c.source.Monotonic().Add(time.Duration(c.suspended.Load()))
}

// Refresh looks for suspensions, and returns for how long this VM was suspended since the last look.
// It finds at most what there was: the time that passes between the two readings is on the other side.
func (c *Clock) Refresh() (suspended time.Duration) {
	if c.blind {
		return 0
	}
	boot, err := c.source.BootTime()
	if err != nil {
		return 0 // it could be read at the start, and nothing can change that
	}
	found := boot - c.boot - c.source.Monotonic().Sub(c.steady)
	for {
		known := c.suspended.Load()
		if int64(found) <= known {
			return 0
		}
		if c.suspended.CompareAndSwap(known, int64(found)) {
			return found - time.Duration(known)
		}
	}
}
