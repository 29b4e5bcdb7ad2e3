package edge

import "time"

// suspensionLogged is the least suspension that is worth a line: a heartbeat.
const suspensionLogged = heartbeat

// wake looks whether this VM was suspended. From then on all ages, leases and rests count the time in
// suspension. It is called before each decision that one of these guards: what a request of a caller
// may rest on, a verdict, a send and an order; and with each tick, for all others.
func (n *Node) wake() {
	if suspended := n.clock.Refresh(); suspended >= suspensionLogged {
		n.log.Suspended(suspended)
	}
}

// until is the time until at.
func (n *Node) until(at time.Time) time.Duration { return at.Sub(n.now()) }
