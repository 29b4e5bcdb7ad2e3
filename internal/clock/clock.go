// Package clock provides a clock that advances while a VM is suspended.
//
// The monotonic clock behind time.Now stops during a suspension, and a VM has no other sign of one:
// its lease, the age of its copy of the store and the backoff that a target requested would all
// look as young afterwards as before. Wall-clock time advances, but may jump. The kernel's time
// since boot neither stops nor jumps, but reading it costs a system call. Now therefore uses the
// result of the last Refresh, and Refresh must be called before each decision that must not rest on
// stale data.
package clock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Source provides the readings of a Clock.
type Source struct {
	// Monotonic reads a clock that may stop during a suspension.
	Monotonic func() time.Time
	// BootTime returns the time since the machine's boot, suspensions included.
	BootTime func() (time.Duration, error)
}

// System returns the clocks of the machine.
func System() Source { return Source{Monotonic: time.Now, BootTime: bootTime} }

func bootTime() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}

// Clock measures time across suspensions. It is safe for concurrent use. Its times must not be
// compared with those of time.Now.
type Clock struct {
	source         Source
	startMonotonic time.Time
	startBootTime  time.Duration
	// noBootTime is set if the machine does not provide the time since its boot.
	noBootTime bool
	// suspended is the total duration of the suspensions detected so far, in ns.
	suspended atomic.Int64
}

// New returns a Clock that starts now. If the time since boot cannot be read, the Clock does not
// detect suspensions, and err holds the reason.
func New(source Source) (c *Clock, err error) {
	c = &Clock{source: source, startMonotonic: source.Monotonic()}
	c.startBootTime, err = source.BootTime()
	c.noBootTime = err != nil
	return c, err
}

// Now returns the time, including the suspensions that Refresh has detected.
func (c *Clock) Now() time.Time {
	return c.source.Monotonic().Add(time.Duration(c.suspended.Load()))
}

// Refresh detects suspensions and returns how long this VM was suspended since the last call. It
// never overestimates: a delay between the two clock readings, here or in New, reduces the result.
func (c *Clock) Refresh() (suspended time.Duration) {
	if c.noBootTime {
		return 0
	}
	boot, err := c.source.BootTime()
	if err != nil {
		return 0 // not expected: New was able to read it
	}
	total := boot - c.startBootTime - c.source.Monotonic().Sub(c.startMonotonic)
	for {
		previous := c.suspended.Load()
		if int64(total) <= previous {
			return 0
		}
		if c.suspended.CompareAndSwap(previous, int64(total)) {
			return total - time.Duration(previous)
		}
	}
}
