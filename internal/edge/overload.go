package edge

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/loadshed"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/traffic"
	"github.com/junctionfold/junctionfold/internal/vmload"
	"github.com/junctionfold/junctionfold/schema"
)

// Shares of the limits of a VM that callers may take.
const (
	// reservedFDs is the number of file descriptors for files, other VMs, the store and idle connections to
	// targets. Each connection of a caller may need another one to a target.
	reservedFDs      = 600
	fdsPerConnection = 2
	// liveMemoryShare is the share of the memory that live data may take. The rest is for garbage that is
	// not collected yet.
	liveMemoryShare = 0.5
	// bytesPerMbit is the size of a Mbit.
	bytesPerMbit = 1e6 / 8
)

// overloadControl closes new connections of callers unread while a limit of this VM is reached and others have
// room. Lock order: no other lock is acquired while
// overloadControl.mu is held.
type overloadControl struct {
	node *Node
	// callers limits what the connections to the front end hold.
	callers *callers.Tracker
	// traffic counts the bytes of callers and targets.
	traffic traffic.Counter
	// retiring is set while responses close their connections.
	retiring atomic.Bool
	// sweptAt is when connections that have stopped were last ended. Only run uses it.
	sweptAt time.Time
	// collect collects garbage, and collecting is set while it runs.
	collect    func()
	collecting atomic.Bool

	mu         sync.Mutex
	controller *loadshed.Controller
	meter      *vmload.Meter
	// load is the last measurement.
	load vmload.Load
}

// newOverloadControl returns the control of a VM. readProcess may be nil.
func newOverloadControl(n *Node, vm *schema.EdgeVM, readProcess func() vmload.Counters) *overloadControl {
	o := &overloadControl{node: n, controller: loadshed.New(n.now()), collect: runtime.GC}
	o.callers = o.newCallerTracker(vm)
	o.meter = vmload.New(n.now(), vmload.Limits{
		Cores: vm.CpuShare * vm.CpuCores, LinkBytesPerSecond: vm.LinkMbps * bytesPerMbit,
		MemoryBytes: liveMemoryShare * float64(vm.MemoryMb) * (1 << 20), Connections: maxCallerConnections(vm),
	}, func() (c vmload.Counters) {
		if readProcess != nil {
			c = readProcess()
		}
		c.LinkIn, c.LinkOut = o.linkBytes()
		return c
	})
	return o
}

// maxCallerConnections returns how many connections of callers may be open.
func maxCallerConnections(vm *schema.EdgeVM) int {
	limit := callers.ConnectionsPerMB * int(vm.MemoryMb)
	if vm.MaxFds > 0 {
		limit = min(limit, max(int(vm.MaxFds)-reservedFDs, fdsPerConnection)/fdsPerConnection)
	}
	return limit
}

// linkBytes returns the bytes that this VM has received and sent on its link.
func (o *overloadControl) linkBytes() (in, out int64) {
	in, out = o.traffic.LinkBytes()
	if o.node.mesh == nil {
		return in, out
	}
	peersIn, peersOut := o.node.mesh.LinkBytes()
	return in + peersIn, out + peersOut
}

// run measures the load until the context ends.
func (o *overloadControl) run(ctx context.Context) {
	for {
		if _, ok := o.node.waitForTick(ctx); !ok {
			return
		}
		o.measure()
		o.sweep()
	}
}

// sweep ends the connections of callers that have stopped for too long, if that is due.
func (o *overloadControl) sweep() {
	now := o.node.now()
	if now.Sub(o.sweptAt) < callers.SweepInterval {
		return
	}
	o.sweptAt = now
	for _, t := range []*callers.Tracker{o.callers, o.node.readyCallers, o.node.metricsCallers} {
		t.Sweep()
	}
}

// measure measures the load if that is due.
func (o *overloadControl) measure() {
	stats := o.callers.Stats()
	o.mu.Lock()
	now := o.node.now()
	if !o.controller.IsSampleDue(now) {
		o.mu.Unlock()
		return
	}
	wasClosing := o.controller.IsClosing()
	o.load = o.meter.Measure(now, int(stats.Open))
	leading := o.node.leads() == 1
	o.controller.Observe(now, sampleOf(o.load, leading))
	o.retiring.Store(o.controller.IsRetiring(now))
	isClosing, load := o.controller.IsClosing(), o.load
	o.mu.Unlock()
	o.refreshMemory(load)
	switch {
	case isClosing && !wasClosing:
		o.node.log.OverloadBegan(load, leading)
	case wasClosing && !isClosing:
		o.node.log.OverloadEnded(stats.Unread, load)
	}
}

// Bounds of a measurement of the memory that is not taken again.
const (
	// refreshMemoryUse is the use of the memory above which new connections may be closed.
	refreshMemoryUse = 0.6
	// maxMemoryAge is the age up to which such a measurement holds. A VM without work collects no garbage, so that the
	// use that keeps work out would never fall.
	maxMemoryAge = time.Second
)

// refreshMemory collects garbage if the known use of the memory is high and out of date.
func (o *overloadControl) refreshMemory(load vmload.Load) {
	if load.Memory < refreshMemoryUse || load.MemoryAge < maxMemoryAge || !o.collecting.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer o.collecting.Store(false)
		o.collect()
	}()
}

// leaderUse is the use of a limit that counts as full use at the leader: the decisions for all VMs wait there.
const leaderUse = 0.8

// sampleOf returns the sample of a load.
func sampleOf(load vmload.Load, leading bool) loadshed.Sample {
	_, use := load.MostUsed()
	if leading {
		use /= leaderUse
	}
	return loadshed.Sample{QueueDelay: load.QueueDelay, Use: use}
}

// currentLoad returns the last measurement.
func (o *overloadControl) currentLoad() vmload.Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.load
}

// isOverloaded reports whether a limit of this VM is reached.
func (o *overloadControl) isOverloaded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controller.Overloaded()
}

// recordPeer records whether another VM is overloaded.
func (o *overloadControl) recordPeer(vm coord.VMID, overloaded bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.controller.RecordPeer(o.node.now(), vm, overloaded)
}

// admit reports whether a new connection is served. It also measures the load, because the loop of run may be
// late on a VM that is overloaded.
func (o *overloadControl) admit() bool {
	o.measure()
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.controller.Accept(o.node.now())
}
