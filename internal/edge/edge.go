// Package edge assembles one edge VM: the front end for callers, the copy of the platform's store,
// the sessions with other edge VMs, and the scheduler of model requests, which the leader runs for
// the whole fleet.
//
// edge.go builds the parts, directory.go passes changed directories to them, gauges.go publishes their
// state, and run.go starts and stops them. heartbeat.go maintains the roster, leader.go determines the
// store watchers and the leader, and peers.go and update.go exchange messages with other VMs.
// schedule.go runs the schedulers, orders.go sends their orders, admit.go requests decisions,
// localplacement.go chooses targets while the leader is unresponsive,
// running.go records the requests that run, and leadermonitor.go detects an unresponsive leader.
// queues.go queues the requests to plain services. quotas.go charges requests to their teams,
// targetlimits.go tracks the limits that targets announce, of the kinds in limitkinds.go, and
// quarantine.go blocks contents that crash targets. reachability.go records which targets this VM
// cannot reach, and reachprobe.go probes them. transport.go sends requests to targets, relayclient.go
// through other VMs, and relayserver.go those of other VMs. join.go joins the fleet through the seeds.
// suspension.go detects suspensions of this VM, and notices.go applies the notices that targets send
// beside their answers. overload.go turns new connections away under load, and callers.go limits what callers may
// make this VM hold. origins.go finds which software version began a stream that a caller takes up,
// originholders.go selects the VMs that hold the records of that, and originmessages.go encodes them.
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
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/clock"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/internal/hop"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/internal/vmload"
	"github.com/junctionfold/junctionfold/schema"
)

// Platform holds what the adapter to a platform provides.
type Platform struct {
	Store    fleet.Store
	Engines  fleet.Engines
	Codec    fleet.Codec
	Prefixes []string
	Decode   func(fleet.Item) (fleet.Decoded, error)
	Trim     func(fleet.Item) fleet.Item
	// Clocks reads the clocks of the machine.
	Clocks clock.Source
	// DialTarget opens connections for requests to targets; nil: those of the dialer.
	DialTarget fleet.DialFunc
	// ReadCounters reads the counters of the process; nil: its processor and memory are not measured.
	ReadCounters func() vmload.Counters
}

// Timing and sizes of the protocols between VMs.
const (
	// heartbeatInterval is the time between two heartbeat rounds.
	heartbeatInterval = 200 * time.Millisecond
	// largeFleetHeartbeatInterval is the same in large fleets, where heartbeats carry a longer
	// roster.
	largeFleetHeartbeatInterval = 300 * time.Millisecond
	// startupHeartbeatInterval is the time between two heartbeat rounds, each with an update of the
	// leadership, of a VM that has just started: after all VMs were lost there is no leader until
	// the VMs know each other. startupTime bounds the duration of a startup, the lease included.
	startupHeartbeatInterval = 50 * time.Millisecond
	startupTime              = 1500 * time.Millisecond
	// largeFleetSize is the number of VMs from which a fleet counts as large.
	largeFleetSize = 24
	// fanout is the number of VMs that each heartbeat round reaches directly. With it, news reaches
	// seven VMs in two rounds and ninety in four or five.
	fanout = 3
	// suspectAfter is the time without a heartbeat after which a VM of a small fleet is suspect:
	// six heartbeats. It is well below the lease for orders, see package leadership.
	suspectAfter = 1200 * time.Millisecond
	// suspectGrowth is added to suspectAfter for each doubling of the fleet, because news takes one
	// more round.
	suspectGrowth = 300 * time.Millisecond
	// forgetAfter is the time without a heartbeat after which a VM no longer counts toward a
	// majority. VMs that restart are back within a few seconds.
	forgetAfter = 15 * time.Second
	// abandonAfter replaces forgetAfter at a VM that has lost contact with the majority. It is
	// longer than all known network partitions, since the VM sends no orders until then.
	abandonAfter = time.Minute
	// peerDialTimeout bounds the time to establish a session.
	peerDialTimeout = 800 * time.Millisecond
	// peerAckTimeout bounds how long a session is used without an acknowledgement: several network
	// round trips, and the delay of a saturated link.
	peerAckTimeout = 1500 * time.Millisecond
	// fencedLeadershipWait is how long no other VM may have claimed the leadership before this one
	// acquires it, where engines check fencing tokens: several roster rounds. Two VMs that acquire
	// it at once do no harm, see scheduler.SetLease.
	fencedLeadershipWait = 500 * time.Millisecond
	// orderWorkers bounds the orders in flight.
	orderWorkers = 64
	// reportWorkers bounds the reports in flight. They have their own pool so that they cannot
	// delay orders.
	reportWorkers = 32
)

// capacityUnitsPerCore is the number of capacity units in one CPU core.
const capacityUnitsPerCore = 100

// leadershipKey is hashed to choose the VM that acquires the leadership.
const leadershipKey = "scheduler"

// Node is one edge VM. Lock order: schedulers.mu before Node.mu; neither is held during I/O.
type Node struct {
	settings *schema.EdgeSettings
	log      *events.Log
	platform Platform
	clock    *clock.Clock
	// now returns the time of clock.
	now func() time.Time
	// startedAt is when the process started.
	startedAt time.Time

	metrics    *gateway.Metrics
	feed       *feed.Feed
	pool       *hop.Pool
	gateway    *gateway.Gateway
	mesh       *peer.Mesh
	orders     pond.Pool
	reports    pond.Pool
	schedulers *schedulers
	queues     *queues
	quotas     *quotas
	quarantine *contentQuarantine
	overload   *overloadControl
	// readyCallers and metricsCallers limit what the connections for health checks and metrics hold.
	readyCallers, metricsCallers *callers.Tracker
	// rateLimits holds the rate limits that targets announced.
	rateLimits *targetLimits
	// rejectionLimits holds the numbers of rejections with which targets announced that they crash.
	rejectionLimits *targetLimits
	// origins holds which software versions began streams.
	origins      *origins
	reachability *reachability
	relayServer  *relayServer

	// loggedDirectory is the last directory that was logged. The feed's callbacks are not
	// concurrent.
	loggedDirectory *feed.Directory

	// mu guards the roster, the leadership, the state derived from them, and activeSettings.
	mu sync.Mutex
	// activeSettings is settings with the reloaded values.
	activeSettings *schema.EdgeSettings
	roster         *roster.Roster
	leadership     *leadership.Machine
	lastRosterTick time.Time
	// rosterRequestedAt is when another VM was last queried for its full roster.
	rosterRequestedAt time.Time
	tickets           atomic.Uint64
	// lastReplicas holds the target that last served each adapter.
	lastReplicas *lru.Cache[replicaKey, lastReplica]
	running      *runningRequests
	// leaderMonitor detects an unresponsive leader.
	leaderMonitor *leaderMonitor
	// leader is the current leader as known to this VM; empty: unknown.
	leader atomic.Pointer[coord.VMID]
	// leaderlessSince is since when no leader is known; nil while one is.
	leaderlessSince atomic.Pointer[time.Time]
	isStoreWatcher  atomic.Bool
	// storeWatchers are the other VMs that watch the store.
	storeWatchers atomic.Pointer[[]roster.Entry]
	vmCount       atomic.Int64
	// connectedVMs is the number of VMs that are not cut off from all targets.
	connectedVMs atomic.Int64
	// heartbeatDue makes the next heartbeat round run at once.
	heartbeatDue chan struct{}
	// tickOrigin is the time from which ticks are counted.
	tickOrigin time.Time
	draining   atomic.Bool
	// heartbeatsInFlight holds the VMs with a heartbeat in flight, at most one for each.
	heartbeatsInFlight sync.Map

	frontEndListener, readyListener, peerListener, metricsListener net.Listener
}

// New builds a Node and opens its listeners.
func New(s *schema.EdgeSettings, p Platform, metrics *gateway.Metrics, l *events.Log) (*Node, error) {
	nodeClock, err := clock.New(p.Clocks)
	if err != nil {
		l.SuspensionsUndetectable(err)
	}
	n := &Node{
		settings: s, activeSettings: s, log: l, platform: p, clock: nodeClock, now: nodeClock.Now, metrics: metrics,
		orders: pond.NewPool(orderWorkers), reports: pond.NewPool(reportWorkers), loggedDirectory: &feed.Directory{},
		heartbeatDue: make(chan struct{}, 1), tickOrigin: time.Now(),
	}
	self := coord.VMID(s.Vm.Id)
	n.startedAt = n.now()
	incarnation := uint64(n.startedAt.UnixNano())
	n.tickets.Store(incarnation)
	n.roster = roster.New(roster.Config{
		SuspectAfter: suspectAfter, SuspectGrowth: suspectGrowth, ForgetAfter: forgetAfter, AbandonAfter: abandonAfter,
		Seeds: s.Listen.Seeds, Start: n.startedAt,
	}, roster.Entry{
		ID: self, Address: advertisedAddress(s.Listen), Zone: s.Vm.Zone, Incarnation: incarnation,
		Capacity: uint32(capacityUnitsPerCore * s.Vm.CpuShare * s.Vm.CpuCores),
	})
	lease := time.Duration(s.Orders.LeaseMs) * time.Millisecond
	leaseWait := lease
	if s.Orders.EnginesCheckFence {
		leaseWait = min(leaseWait, fencedLeadershipWait)
	}
	n.leadership = leadership.New(n.startedAt, self, leadershipKey, leaseWait, s.Orders.EnginesCheckFence)
	n.leadership.SetHandoverWait(lease)
	n.leadership.SetContest(contestConfig(s))
	n.recordLeader("")
	n.vmCount.Store(1)
	n.connectedVMs.Store(1)
	n.storeWatchers.Store(&[]roster.Entry{})
	replicas, err := lru.New[replicaKey, lastReplica](maxLastReplicas)
	if err != nil {
		return nil, errors.Wrap(err, "create replica cache")
	}
	n.lastReplicas = replicas
	n.running = newRunningRequests(n.now)
	n.leaderMonitor = newLeaderMonitor()
	n.schedulers = newSchedulers(n)
	n.queues = newQueues(n)
	n.quotas = newQuotas(n, s.Quota)
	n.quarantine = newContentQuarantine(n)
	n.overload = newOverloadControl(n, s.Vm, p.ReadCounters)
	n.readyCallers, n.metricsCallers = callers.NewOperatorTracker(n.callerTimeouts, n.now), callers.NewOperatorTracker(n.callerTimeouts, n.now)
	n.rateLimits, n.rejectionLimits = newRateLimits(n), newRejectionLimits(n)
	n.origins = newOrigins(n)
	n.reachability = newReachability(n)
	n.relayServer = &relayServer{node: n, maxBytes: callers.LimitsOf(int(s.Vm.MemoryMb), 0).LargeBytes}
	n.mesh = peer.New(peer.Config{
		Self: self, Zone: s.Vm.Zone, Incarnation: incarnation, DialTimeout: peerDialTimeout, AckTimeout: peerAckTimeout,
		HandleNotification: n.handleNotification,
	}, (*peerHandler)(n), n.peerAddress)
	n.feed = feed.New(feed.Config{
		Store: p.Store, Peers: (*feedPeers)(n), Prefixes: p.Prefixes, Decode: p.Decode, Trim: p.Trim,
		ApplyWithin:   time.Duration(s.Times.ConfigApplyMs) * time.Millisecond,
		DrainWithin:   time.Duration(s.Times.DrainMs) * time.Millisecond,
		ConfirmWithin: maxKeyAge(s.Times),
		OnChange:      n.onDirectory, OnRemoved: n.onTargetsRemoved, Log: l, Now: n.now, Align: n.alignToTick,
	})
	n.pool = hop.New(func() { metrics.Dials.Add(1) })
	n.pool.Now = n.now
	if p.DialTarget != nil {
		n.pool.Dial = p.DialTarget
	}
	n.pool.Dial = n.overload.traffic.Dial(n.pool.Dial)
	n.gateway = gateway.New(gateway.Config{
		VM: s.Vm.Id, Zone: s.Vm.Zone, Codec: p.Codec, Directory: n.feed, Admission: (*admission)(n), Pool: newTransport(n, n.pool),
		Retry: retry.Config{Ratio: s.Retry.Ratio, Slack: s.Retry.Slack},
		VMs:   func() int { return int(n.vmCount.Load()) }, ConnectedVMs: func() int { return int(n.connectedVMs.Load()) },
		DrainBounds: drainBounds(s.Times), MaxKeyAge: maxKeyAge(s.Times), VersionGrace: versionGrace(s.Times), StartTime: n.startTime,
		OnNotice: n.handleNotice, RateLimits: (*limitedTargets)(n), Origins: n.origins, CheckSuspension: n.checkSuspension, RetiresConnections: n.overload.retiring.Load, Log: l, Metrics: metrics, Now: n.now,
	})
	n.publishGauges()
	return n, n.listen()
}

// drainBounds divides the time that the deployment grants to a leaving target.
func drainBounds(t *schema.EdgeTimes) gateway.DrainBounds {
	drain := time.Duration(t.DrainMs) * time.Millisecond
	propagation := feed.PropagationBound(time.Duration(t.ConfigApplyMs)*time.Millisecond, drain)
	return gateway.DrainBounds{Propagation: propagation, InFlight: max(drain-propagation, minInFlight)}
}

// maxKeyAge returns the greatest age of a store copy by which API keys may be checked; 0 means any
// age.
func maxKeyAge(t *schema.EdgeTimes) time.Duration {
	return time.Duration(feed.KeyAgeShare * float64(t.RevokeMs) * float64(time.Millisecond))
}

// versionGraceShare of the bound on the use of outdated adapter versions is how long requests may be sent
// to run on one. The rest is left for the connection and for the queue of the target.
const versionGraceShare = 0.6

// versionGrace returns how long after the declaration of a version requests may be sent to run on an
// older one.
func versionGrace(t *schema.EdgeTimes) time.Duration {
	return time.Duration(versionGraceShare * float64(t.GetVersionMs()) * float64(time.Millisecond))
}

// minInFlight is the least time for decisions and request bodies in flight. It covers two
// retransmissions of a lost packet, after 0.2 and 0.6 s.
const minInFlight = 650 * time.Millisecond

// advertisedAddress returns the address at which other VMs reach this one.
func advertisedAddress(l *schema.EdgeListen) string {
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
		{n.settings.Listen.Door, &n.frontEndListener},
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

// Ready reports whether the load balancer may send new connections to this VM. A VM that cannot
// check API keys is not ready: it would reject its callers, while other VMs can serve them.
func (n *Node) Ready() bool {
	return !n.draining.Load() && n.feed.Directory().Config != nil && n.gateway.KeysCurrent()
}

// serveReady answers health checks of the load balancer.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// randomSample returns at most limit of the given items in random order. It shuffles items in place.
func randomSample[T any](items []T, limit int) []T {
	rand.Shuffle(len(items), func(i, j int) { items[i], items[j] = items[j], items[i] })
	return items[:min(limit, len(items))]
}
