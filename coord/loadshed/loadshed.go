// Package loadshed decides which new connections of callers a VM closes before it has read a request,
// because one of its limits is reached. Callers open another connection at once, which a load balancer
// gives to another VM.
//
// Two signals tell that a limit is reached. Use is how much of a limit is used, such as the processor
// time or the bandwidth of the link; it is high before work begins to wait, but only as true as the limit
// that the VM was told. The queue delay is how long work that could run waits for the processor; it shows a
// processor that is slower than was told. While one of them is too high, the rate of accepted connections
// falls in steps. It rises again while both are low, until all connections are accepted.
//
// While that is not enough, open connections are closed after a response as well.
//
// Connections are closed only as far as others have room: a VM that knows of no VM with room accepts all,
// since a caller that is turned away everywhere is not served at all. It never closes all of them, so that
// it notices when it can serve more.
//
// Controller has no clock and does no I/O. It is not safe for concurrent use.
package loadshed

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Parameters of the control loop.
const (
	// window is the time between two measurements.
	window = 100 * time.Millisecond
	// highUse is the use of a limit above which a VM is overloaded, and lowUse that up to which it accepts
	// more connections.
	highUse, lowUse = 0.9, 0.75
	// highDelay and lowDelay are the same for the queue delay, and veryHighDelay is that above which the
	// accepted rate falls faster.
	highDelay, lowDelay = 5 * time.Millisecond, time.Millisecond
	veryHighDelay       = 10 * time.Millisecond
	// onsetWindows is the number of windows with overload in a row after which connections are closed.
	onsetWindows = 2
	// useMemory is the time constant over which the use is averaged.
	useMemory = 400 * time.Millisecond
	// decrease is the factor by which the accepted rate falls after a window with overload, and
	// strongDecrease that after one with a very high delay.
	decrease, strongDecrease = 0.8, 0.3
	// increase is the part of the arrival rate by which the accepted rate rises after a window without
	// load.
	increase = 0.03
	// minAccepted is the least share of the new connections that is accepted.
	minAccepted = 0.03
	// roomFactor bounds the share of the connections that is closed, as a multiple of the share of the others
	// that have room.
	roomFactor = 1.5
	// rateMemory is the time constant of the measured rates.
	rateMemory = 500 * time.Millisecond
	// peerMemory is how long the report of another VM counts.
	peerMemory = 3 * time.Second
)

// Sample is a measurement of the load of a VM.
type Sample struct {
	// QueueDelay is the mean time that work waited for the processor.
	QueueDelay time.Duration
	// Use is the use of the limit that is closest to being reached; 1: reached.
	Use float64
}

// peerReport is what another VM reported last.
type peerReport struct {
	at         time.Time
	overloaded bool
}

// Controller decides for one VM.
type Controller struct {
	windowStart time.Time
	// use is the averaged use.
	use float64
	// overloadedWindows counts the last windows with overload.
	overloadedWindows int
	// arrivals counts the new connections of the window, and rate is their smoothed rate per second.
	arrivals int
	rate     float64
	// limit is the accepted rate per second; 0: all connections are accepted.
	limit float64
	// credit is the number of connections that may be accepted now.
	credit float64
	peers  map[coord.VMID]peerReport
}

// New returns a Controller that accepts all connections.
func New(now time.Time) *Controller {
	return &Controller{windowStart: now, peers: map[coord.VMID]peerReport{}}
}

// IsSampleDue reports whether a window has ended, so that Observe is to be called.
func (c *Controller) IsSampleDue(now time.Time) bool { return now.Sub(c.windowStart) >= window }

// Observe ends a window with the load that was measured in it, and adapts the accepted rate.
func (c *Controller) Observe(now time.Time, s Sample) {
	elapsed := now.Sub(c.windowStart)
	c.rate += weight(elapsed, rateMemory) * (float64(c.arrivals)/max(elapsed, time.Millisecond).Seconds() - c.rate)
	c.use += weight(elapsed, useMemory) * (s.Use - c.use)
	c.windowStart, c.arrivals = now, 0
	isHigh := s.QueueDelay > highDelay || min(s.Use, c.use) > highUse
	isLow := s.QueueDelay <= lowDelay && c.use <= lowUse
	if !isHigh {
		c.overloadedWindows = 0
		if isLow {
			c.raiseLimit()
		}
		return
	}
	c.overloadedWindows++
	switch {
	case c.overloadedWindows < onsetWindows:
	case s.QueueDelay > veryHighDelay:
		c.lowerLimit(strongDecrease)
	default:
		c.lowerLimit(decrease)
	}
}

// weight returns the weight of a window in an average with a time constant.
func weight(elapsed, memory time.Duration) float64 { return min(elapsed.Seconds()/memory.Seconds(), 1) }

func (c *Controller) lowerLimit(factor float64) {
	if c.limit == 0 {
		c.limit = c.rate
	}
	c.limit = max(c.limit*factor, minAccepted*c.rate)
}

func (c *Controller) raiseLimit() {
	if c.limit == 0 {
		return
	}
	c.limit += increase * c.rate
	if c.limit >= c.rate {
		c.limit, c.credit = 0, 0
	}
}

// RecordPeer records whether another VM is overloaded.
func (c *Controller) RecordPeer(now time.Time, vm coord.VMID, overloaded bool) {
	c.peers[vm] = peerReport{now, overloaded}
}

// Overloaded reports whether this VM has no room for connections that others close.
func (c *Controller) Overloaded() bool { return c.overloadedWindows > 0 || c.limit > 0 }

// IsClosing reports whether the accepted rate is limited.
func (c *Controller) IsClosing() bool { return c.limit > 0 }

// IsRetiring reports whether connections are to be closed after the next response, because closing new ones was
// not enough in the last window: callers keep connections open for many requests.
func (c *Controller) IsRetiring(now time.Time) bool {
	_, withRoom := c.countPeers(now)
	return withRoom > 0 && c.limit > 0 && c.overloadedWindows >= onsetWindows
}

// Accept reports whether a new connection is to be accepted.
func (c *Controller) Accept(now time.Time) bool {
	c.arrivals++
	if c.limit == 0 || c.rate == 0 {
		return true
	}
	c.credit = min(c.credit+c.acceptedShare(now), 1)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}

// acceptedShare returns the share of the new connections to accept. All are accepted if no other VM has
// room, and as few as the limit says if most of the others have.
func (c *Controller) acceptedShare(now time.Time) float64 {
	known, withRoom := c.countPeers(now)
	if withRoom == 0 {
		return 1
	}
	return max(c.limit/c.rate, 1-roomFactor*float64(withRoom)/float64(known), minAccepted)
}

// countPeers returns how many other VMs have reported of late, and how many of them have room.
func (c *Controller) countPeers(now time.Time) (known, withRoom int) {
	for vm, p := range c.peers {
		switch {
		case now.Sub(p.at) > peerMemory:
			delete(c.peers, vm)
		case p.overloaded:
			known++
		default:
			known++
			withRoom++
		}
	}
	return known, withRoom
}
