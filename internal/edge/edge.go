// Package edge puts one edge VM together: the callers' door, the copy of the
// platform's store, the sessions with other edge VMs, and the scheduler of model
// requests, which one VM runs for all.
//
// edge.go builds the parts, gauges.go shows their state and run.go drives and stops them.
// beats.go keeps the roster,
// leader.go finds who reads the store and who orders, peers.go and update.go speak with
// other VMs. schedule.go runs the scheduler, orders.go carries out its orders, admit.go
// asks for its verdicts, running.go remembers what runs and silence.go notices a
// scheduler that does not answer. wake.go notices that this VM was suspended, and notices.go takes
// what targets say of themselves.
package edge

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/cockroachdb/errors"
	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/leadership"
	"github.com/junctionfold/junctionfold/coord/retry"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/internal/hop"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/schema"
)

// Platform is what the adapter to a platform brings.
type Platform struct {
	Store    fleet.Store
	Engines  fleet.Engines
	Codec    fleet.Codec
	Prefixes []string
	Decode   func(fleet.Item) (fleet.Decoded, error)
	Trim     func(fleet.Item) fleet.Item
	// Clocks are those of the machine.
	Clocks clock.Source
}

// Times of the fleet's own protocols.
const (
	// heartbeat is the time between two tellings of the roster.
	heartbeat = 200 * time.Millisecond
	// slowHeartbeat is the same in large fleets, where what is told is longer.
	slowHeartbeat = 300 * time.Millisecond
	// startHeartbeat is the time between two tellings, and looks at the duty, of a VM
	// that has just started: after a loss of all nobody decides until the VMs know
	// each other. startTime is how long a start takes at most, with its lease.
	startHeartbeat = 50 * time.Millisecond
	startTime      = 1500 * time.Millisecond
	// largeFleet is the number of VMs from which on a fleet is large.
	largeFleet = 24
	// fanout is how many VMs each telling goes to: with it, word reaches seven
	// VMs in two rounds and ninety in four or five.
	fanout = 3
	// suspectAfter is the silence after which a VM is suspect in a small fleet:
	// six heartbeats. It is well below the lease for orders, see package duty.
	suspectAfter = 1200 * time.Millisecond
	// suspectGrowth is added each time that the fleet is twice as large: word
	// takes another round.
	suspectGrowth = 300 * time.Millisecond
	// forgetAfter is the silence after which a VM no longer counts for a
	// majority: VMs that restart are back within a few seconds.
	forgetAfter = 15 * time.Second
	// abandonAfter is the same for a VM that is out of touch with most others:
	// longer than the cuts that are known, since until then it gives no orders.
	abandonAfter = time.Minute
	// peerDial bounds the making of a session.
	peerDial = 800 * time.Millisecond
	// peerSilence bounds how long a session that fell silent is used: some times the
	// way there and back, and what a full link holds up.
	peerSilence = 1500 * time.Millisecond
	// fencedWait is how long no claim to the duty was heard before it is taken
	// where engines check fencing numbers: some rounds of the roster. Two VMs that
	// take it at once do no harm, see scheduler.SetLease.
	fencedWait = 500 * time.Millisecond
	// orderWorkers is how many orders may be under way.
	orderWorkers = 64
	// reportWorkers is the same for reports, which must not hold up orders.
	reportWorkers = 32
)

// hundredths of a core are the unit of capacity.
const hundredths = 100

// dutyName is hashed to choose who takes the duty of giving orders.
const dutyName = "scheduler"

// Node is one edge VM. Lock order: schedules.mu before Node.mu; both are never
// held over I/O.
type Node struct {
	settings *schema.EdgeSettings
	log      *events.Log
	platform Platform
	clock    *clock.Clock
	// now is the clock's time.
	now func() time.Time
	// began is when the process started.
	began time.Time

	metrics   *gateway.Metrics
	feed      *feed.Feed
	pool      *hop.Pool
	gateway   *gateway.Gateway
	mesh      *peer.Mesh
	orders    pond.Pool
	reports   pond.Pool
	schedules *schedules
	lines     *lines
	quotas    *quotas
	contents  *contents
	// rateLimits has what targets said of the rate of their requests.
	rateLimits *rateLimits

	// shown is the directory last logged; the feed's calls come one at a time.
	shown *feed.Directory

	// mu guards the roster, the duty, what is derived from them, and inForce.
	mu sync.Mutex
	// inForce is settings with what was reloaded.
	inForce  *schema.EdgeSettings
	roster   *roster.Roster
	duty     *leadership.Machine
	lastTick time.Time
	// askedRoster is when another VM was last asked for all its entries.
	askedRoster time.Time
	tickets     atomic.Uint64
	// lastHomes is where adapters were served last.
	lastHomes *lru.Cache[coord.AdapterRef, lastHome]
	running   *running
	// silence watches the VM that runs the scheduler.
	silence *silence
	// acting is the VM that runs the scheduler, as far as this one knows.
	acting atomic.Pointer[coord.VMID]
	reader atomic.Bool
	// readers are the other VMs that read the store.
	readers atomic.Pointer[[]roster.Entry]
	vms     atomic.Int64
	drain   atomic.Bool
	// beating keeps one heartbeat to each VM under way at most.
	beating sync.Map

	doorListener, readyListener, peerListener, metricsListener net.Listener
}

// New builds a Node and opens its listeners.
func New(s *schema.EdgeSettings, p Platform, metrics *gateway.Metrics, l *events.Log) (*Node, error) {
	machine, err := clock.New(p.Clocks)
	if err != nil {
		l.SuspensionsUndetectable(err)
	}
	n := &Node{
		settings: s, inForce: s, log: l, platform: p, clock: machine, now: machine.Now, metrics: metrics,
		orders: pond.NewPool(orderWorkers), reports: pond.NewPool(reportWorkers), shown: &feed.Directory{},
	}
	self := coord.VMID(s.Vm.Id)
	n.began = n.now()
	incarnation := uint64(n.began.UnixNano())
	n.tickets.Store(incarnation)
	n.roster = roster.New(roster.Config{
		SuspectAfter: suspectAfter, SuspectGrowth: suspectGrowth, ForgetAfter: forgetAfter, AbandonAfter: abandonAfter,
		Seeds: s.Listen.Seeds, Start: n.began,
	}, roster.Entry{
		ID: self, Address: advertised(s.Listen), Zone: s.Vm.Zone, Incarnation: incarnation,
		Capacity: uint32(hundredths * s.Vm.CpuShare * s.Vm.CpuCores),
	})
	wait := time.Duration(s.Orders.LeaseMs) * time.Millisecond
	if s.Orders.EnginesCheckFence {
		wait = min(wait, fencedWait)
	}
	n.duty = leadership.New(n.began, self, dutyName, wait, s.Orders.EnginesCheckFence)
	n.acting.Store(new(coord.VMID))
	n.vms.Store(1)
	n.readers.Store(&[]roster.Entry{})
	homes, err := lru.New[coord.AdapterRef, lastHome](maxLastHomes)
	if err != nil {
		return nil, errors.Wrap(err, "remember verdicts")
	}
	n.lastHomes = homes
	n.running = newRunning(n.now)
	n.silence = newSilence()
	n.schedules = newSchedules(n)
	n.lines = newLines(n)
	n.quotas = newQuotas(n, s.Quota)
	n.contents = newContents(n)
	n.rateLimits = newRateLimits(n)
	n.mesh = peer.New(peer.Config{
		Self: self, Zone: s.Vm.Zone, Incarnation: incarnation, DialTimeout: peerDial, AckTimeout: peerSilence,
	}, (*peerHandler)(n), n.peerAddress)
	n.feed = feed.New(feed.Config{
		Store: p.Store, Peers: (*feedPeers)(n), Prefixes: p.Prefixes, Decode: p.Decode, Trim: p.Trim,
		ApplyWithin:   time.Duration(s.Times.ConfigApplyMs) * time.Millisecond,
		DrainWithin:   time.Duration(s.Times.DrainMs) * time.Millisecond,
		ConfirmWithin: keysWithin(s.Times),
		OnChange:      n.onDirectory, OnRemoved: n.onTargetsGone, Log: l, Now: n.now,
	})
	n.pool = hop.New(func() { metrics.Dials.Add(1) })
	n.pool.Now = n.now
	n.gateway = gateway.New(gateway.Config{
		VM: s.Vm.Id, Zone: s.Vm.Zone, Codec: p.Codec, Directory: n.feed, Admission: (*admission)(n), Pool: n.pool,
		Retry: retry.Config{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack},
		VMs:   func() int { return int(n.vms.Load()) }, DrainBounds: leavingBounds(s.Times), MaxKeyAge: keysWithin(s.Times),
		OnNotice: n.targetSaid, RateLimits: n.rateLimits, CheckSuspension: n.wake, Log: l, Metrics: metrics, Now: n.now,
	})
	n.publishGauges()
	return n, n.listen()
}

// leavingBounds divides the time that the deployment gives for a target that leaves.
func leavingBounds(t *schema.EdgeTimes) gateway.DrainBounds {
	drain := time.Duration(t.DrainMs) * time.Millisecond
	propagation := feed.PropagationBound(time.Duration(t.ConfigApplyMs)*time.Millisecond, drain)
	return gateway.DrainBounds{Propagation: propagation, InFlight: max(drain-propagation, minInFlight)}
}

// keysWithin is how old a copy of the store may be to judge keys by; 0: any.
func keysWithin(t *schema.EdgeTimes) time.Duration {
	return time.Duration(feed.KeyAgeShare * float64(t.RevokeMs) * float64(time.Millisecond))
}

// minInFlight is the least time that verdicts and the bytes of requests have: two
// retransmissions of a lost packet, after 0.2 and 0.6 s.
const minInFlight = 650 * time.Millisecond

// advertised is the address that other VMs know this one by.
func advertised(l *schema.EdgeListen) string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peer
}

func (n *Node) listen() error {
	for _, l := range []struct {
		address string
		into    *net.Listener
	}{
		{n.settings.Listen.Door, &n.doorListener},
		{n.settings.Listen.Ready, &n.readyListener},
		{n.settings.Listen.Peer, &n.peerListener},
		{n.settings.Listen.Metrics, &n.metricsListener},
	} {
		if l.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.into = listener
	}
	return nil
}

// Ready reports whether the balancer may send new connections: not while this VM would
// refuse its callers since it cannot judge their keys, which others can.
func (n *Node) Ready() bool {
	return !n.drain.Load() && n.feed.Directory().Config != nil && n.gateway.KeysCurrent()
}

// serveReady answers the balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// onDirectory carries a changed directory to the scheduler and says what changed.
func (n *Node) onDirectory(d *feed.Directory) {
	old := n.shown
	n.shown = d
	n.logConfig(old, d)
	n.logTargets(old, d)
	n.quotas.apply(d)
	n.lines.apply(d)
	n.schedules.apply(d)
}

func (n *Node) logConfig(old, d *feed.Directory) {
	var was uint64
	if old.Config != nil {
		was = old.Config.Version
	}
	if d.Config != nil && d.Config != old.Config {
		n.log.ConfigAdopted(was, d.Config.Version, len(d.Config.Routes), len(d.Config.Services), d.Revision)
		n.logTeams(old.Config, d.Config)
	}
}

func (n *Node) logTargets(old, d *feed.Directory) {
	for id, t := range d.Targets {
		was := ""
		if before := old.Targets[id]; before != nil {
			was = before.State.String()
		}
		if is := t.State.String(); is != was {
			n.log.TargetChanged(id, t.Service, was, is, d.Revision)
		}
	}
}

func (n *Node) onTargetsGone(ids []string) {
	for _, id := range ids {
		n.pool.Forget(id)
		n.log.TargetChanged(id, "", "removed", "gone", n.feed.Revision())
	}
}

// shuffled returns up to most of the VMs, at random.
func shuffled(vms []coord.VMID, most int) []coord.VMID {
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	return vms[:min(most, len(vms))]
}
