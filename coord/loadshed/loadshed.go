// Package loadshed decides which new connections of callers a VM closes before it has read a request,
// because it has more work than processor time. Callers open another connection at once, which a load
// balancer gives to another VM.
//
// The signal is the standing delay: the least delay of the VM's timers over a window. A burst delays
// timers for a moment, but only a queue that never empties delays all of them, whatever the capacity of
// the VM and the cost of a request are. While the delay is above the target, the rate of accepted
// connections falls in steps; otherwise it rises again until all are accepted.
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
	// window is the time over which the least delay is the standing delay.
	window = 100 * time.Millisecond
	// targetDelay is the standing delay above which a VM is overloaded.
	targetDelay = 20 * time.Millisecond
	// onsetWindows is the number of windows with overload in a row after which connections are closed.
	onsetWindows = 2
	// decrease is the factor by which the accepted rate falls after a window with overload, and
	// strongDecrease that after one with more than strongDelay.
	decrease, strongDecrease = 0.85, 0.6
	strongDelay              = 100 * time.Millisecond
	// increase is the part of the arrival rate by which the accepted rate rises after another window.
	increase = 0.03
	// minAccepted is the least share of the new connections that is accepted.
	minAccepted = 0.1
	// rateMemory is the time constant of the measured rates.
	rateMemory = 500 * time.Millisecond
	// peerMemory is how long the report of another VM counts.
	peerMemory = 3 * time.Second
)

// peerReport is what another VM reported last.
type peerReport struct {
	at         time.Time
	overloaded bool
}

// Controller decides for one VM.
type Controller struct {
	// windowStart is the start of the current window, and least the least delay in it; negative: none.
	windowStart time.Time
	least       time.Duration
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
	return &Controller{windowStart: now, least: -1, peers: map[coord.VMID]peerReport{}}
}

// IsSampleDue reports whether the current window ends now.
func (c *Controller) IsSampleDue(now time.Time) bool { return now.Sub(c.windowStart) >= window }

// Observe records by how much a timer was late.
func (c *Controller) Observe(now time.Time, delay time.Duration) {
	if c.least < 0 || delay < c.least {
		c.least = max(delay, 0)
	}
	if c.IsSampleDue(now) {
		c.endWindow(now)
	}
}

// endWindow adapts the limit to the standing delay of the window.
func (c *Controller) endWindow(now time.Time) {
	elapsed := now.Sub(c.windowStart)
	c.updateRate(elapsed)
	c.overloadedWindows++
	switch {
	case c.least <= targetDelay:
		c.overloadedWindows = 0
		c.raiseLimit()
	case c.overloadedWindows < onsetWindows:
	case c.least > strongDelay:
		c.lowerLimit(strongDecrease)
	default:
		c.lowerLimit(decrease)
	}
	c.windowStart, c.least, c.arrivals = now, -1, 0
}

func (c *Controller) updateRate(elapsed time.Duration) {
	weight := min(elapsed.Seconds()/rateMemory.Seconds(), 1)
	c.rate += weight * (float64(c.arrivals)/elapsed.Seconds() - c.rate)
}

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

// Overloaded reports whether this VM was overloaded in the last window or closes connections.
func (c *Controller) Overloaded() bool { return c.overloadedWindows > 0 || c.limit > 0 }

// IsClosing reports whether the accepted rate is limited.
func (c *Controller) IsClosing() bool { return c.limit > 0 }

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

// acceptedShare returns the share of the new connections to accept. The share that is closed is at most
// that of the other VMs with room.
func (c *Controller) acceptedShare(now time.Time) float64 {
	known, withRoom := 0, 0
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
	if withRoom == 0 {
		return 1
	}
	return max(c.limit/c.rate, 1-float64(withRoom)/float64(known), minAccepted)
}
