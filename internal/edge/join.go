package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/schema"
)

// Timing of joins through the seeds.
const (
	// seedInterval is the time between two attempts to join through the seeds.
	seedInterval = 500 * time.Millisecond
	// isolatedSeedInterval is the same for a VM that knows no other VM yet.
	isolatedSeedInterval = 100 * time.Millisecond
	// seedTimeout bounds one attempt.
	seedTimeout = 700 * time.Millisecond
	// isolatedSeedTimeout is the same for a VM that knows no other VM yet. After a loss of all VMs,
	// a seed without power does not even refuse connections, and is up shortly after. Replies take
	// a few milliseconds, and tens of milliseconds where all VMs start at once.
	isolatedSeedTimeout = 250 * time.Millisecond
)

// maxLostJoins bounds the attempts to join through lost addresses at a time. In a fleet that has lost VMs
// for good, every VM goes on trying their addresses.
const maxLostJoins = 2

// joiner joins the fleet through the seeds, and rejoins partitions of it. It contacts all addresses
// concurrently: one after the other, a seed without power delayed the others by 0.7 s, and 195 VMs
// that had been lost together knew no other VM for that long.
type joiner struct {
	self string // this VM's address
	// addresses returns the addresses to try.
	addresses func() []string
	// isKnown reports whether a live VM has the given address.
	isKnown func(address string) bool
	// isIsolated reports whether no other VM is known.
	isIsolated func() bool
	join       func(ctx context.Context, address string)

	mu      sync.Mutex
	joining map[string]bool // addresses of attempts in flight
}

func (n *Node) seedLoop(ctx context.Context) {
	j := &joiner{
		self: advertisedAddress(n.settings.Listen), addresses: n.joinAddresses, isKnown: n.isLiveAddress, join: n.join,
		isIsolated: func() bool { return n.vmCount.Load() == 1 },
	}
	j.run(ctx)
}

// run attempts to join until the context ends.
func (j *joiner) run(ctx context.Context) {
	j.joining = map[string]bool{}
	for ctx.Err() == nil {
		interval, timeout := seedInterval, seedTimeout
		if j.isIsolated() {
			interval, timeout = isolatedSeedInterval, isolatedSeedTimeout
		}
		for _, address := range j.addresses() {
			if address != j.self && !j.isKnown(address) {
				j.startJoin(ctx, address, timeout)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// startJoin starts an attempt to join through an address unless one is in flight.
func (j *joiner) startJoin(ctx context.Context, address string, timeout time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.joining[address] {
		return
	}
	j.joining[address] = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		j.join(ctx, address)
		j.mu.Lock()
		defer j.mu.Unlock()
		delete(j.joining, address)
	}()
}

// joinAddresses returns the seeds, and some of the addresses at which VMs were lost. VMs that restart while
// their seeds are down are found by those that knew them.
func (n *Node) joinAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append(slices.Clone(n.activeSettings.Listen.Seeds), randomSample(n.roster.LostAddresses(), maxLostJoins)...)
}

// isLiveAddress reports whether a live VM has the given address.
func (n *Node) isLiveAddress(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.roster.Members() {
		if m.Address == address && m.State != roster.Suspect {
			return true
		}
	}
	return false
}

func (n *Node) join(ctx context.Context, address string) {
	reply, err := n.mesh.CallAddress(ctx, address, &schema.Call{Body: &schema.Call_Roster{Roster: n.fullRoster()}})
	if err != nil {
		n.log.PeerCallFailed("join", address, err)
		return
	}
	if reply.GetRoster() != nil {
		n.mergeRoster(reply.GetRoster())
	}
}
