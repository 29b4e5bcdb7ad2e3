package edge

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// replicaKey identifies an adapter at the targets of a service that run a software version; empty: any
// version. Several services may serve adapters of one name.
type replicaKey struct {
	service, softwareVersion string
	adapter                  fleet.AdapterRef
}

// lastReplica is the target that last received requests for an adapter.
type lastReplica struct {
	target string
	// version of the adapter that the target is known to hold; 0: unknown.
	version int64
	// missing is set if the target has answered since that it lacks the adapter or the version that it was
	// asked for.
	missing bool
	// askedAt is when a request was last sent there that the target may reject; zero: never.
	askedAt time.Time
}

// askInterval is the time between two requests to a target that may lack their version. Loads that the last
// leader ordered end meanwhile.
const askInterval = noDecisionRetryDelay

// mayReject reports whether the target may reject a request that requires a version.
func (l lastReplica) mayReject(required int64) bool { return l.missing || l.version < required }

// canAsk reports whether a request that requires a version may be sent to the target. While it may reject them,
// one request at a time finds out.
func (l lastReplica) canAsk(now time.Time, required int64) bool {
	return !l.mayReject(required) || now.Sub(l.askedAt) >= askInterval
}

// maxLastReplicas bounds the number of last replicas that a VM remembers: two for each adapter, one more
// for each further software version.
const maxLastReplicas = 8192

// rememberReplica remembers the target of a decision as the last replica of its adapter, among all and
// among those of its software version. Where this VM chose the last replica itself, nothing new is known.
func (n *Node) rememberReplica(r *gateway.AdmitRequest, d gateway.Decision) {
	ref := r.Request.Adapter
	if previous, known := n.lastReplicas.Peek(replicaKey{r.Service, "", ref}); known && !d.ByLeader && previous.target == d.Target {
		return
	}
	replica := lastReplica{target: d.Target, version: d.AdapterVersion}
	n.lastReplicas.Add(replicaKey{r.Service, "", ref}, replica)
	if d.SoftwareVersion != "" {
		n.lastReplicas.Add(replicaKey{r.Service, d.SoftwareVersion, ref}, replica)
	}
}

// updateReplica updates what is known about the target of a request that this VM placed, if it still is the
// adapter's last replica. Of two updates at once one may be lost, so that the target is asked once more or
// later.
func (n *Node) updateReplica(g *schema.Grant, softwareVersion string, update func(*lastReplica)) {
	ref := fleet.AdapterRef{Model: g.Model, Adapter: g.Adapter}
	for _, software := range []string{"", softwareVersion} {
		key := replicaKey{g.Service, software, ref}
		if replica, known := n.lastReplicas.Peek(key); known && replica.target == g.Target {
			update(&replica)
			n.lastReplicas.Add(key, replica)
		}
	}
}

// markAsked records that a request goes to a target which this VM chose.
func (n *Node) markAsked(r *gateway.AdmitRequest, d gateway.Decision) {
	n.updateReplica(grantMessage(d.DecidedAt, r, d), d.SoftwareVersion, func(l *lastReplica) { l.askedAt = d.DecidedAt })
}

// canPlaceLocally reports whether this VM can choose a target for a request without the leader, so that the
// request does not wait for the next one.
func (n *Node) canPlaceLocally(r *gateway.AdmitRequest) bool {
	if r.Plain || r.Request.Adapter.IsBase() {
		return true
	}
	if t, _ := n.knownReplica(r); t != nil {
		return true
	}
	if !n.isLeaderless() {
		return false
	}
	t, _ := n.observedReplica(r)
	return t != nil
}

// leaderlessAfter is how long this VM has to know no leader until its requests no longer wait for one. A leader is
// usually replaced within that time.
const leaderlessAfter = 2 * time.Second

// isLeaderless reports whether this VM has known no leader for so long that it may remain without one.
func (n *Node) isLeaderless() bool {
	since := n.leaderlessSince.Load()
	return since != nil && n.now().Sub(*since) >= leaderlessAfter
}

// recordLeader records the leader; empty: there is none.
func (n *Node) recordLeader(leader coord.VMID) {
	n.leader.Store(&leader)
	if leader != "" {
		n.leaderlessSince.Store(nil)
		return
	}
	now := n.now()
	n.leaderlessSince.Store(&now)
}

// observedReplica returns a target that holds a request's adapter by its report and the version that it must run, as
// knownReplica does. This VM reads reports while it observes the orders of VMs that it cannot find. A target that lacks
// the adapter by now says so and does not run the request. Requests for an adapter are spread over its targets.
func (n *Node) observedReplica(r *gateway.AdmitRequest) (t *fleet.Target, version int64) {
	now, dir := n.now(), n.feed.Directory()
	versions := map[string]int64{}
	var ids []string
	for _, replica := range n.schedulers.observedReplicas(r.Service, r.Request.Adapter) {
		t := dir.Targets[replica.Target]
		required := dir.RequiredVersion(r.Request.Adapter, replica.Version, now, versionGrace(n.settings.Times))
		if isUsable(t, r) && required <= replica.Version && !n.lacksAdapter(t, r) {
			ids = append(ids, t.ID)
			versions[t.ID] = required
		}
	}
	if len(ids) == 0 {
		return nil, 0
	}
	id := rendezvous.Winner(ids, rendezvous.Hash(r.Request.ID))
	return dir.Targets[id], versions[id]
}

// lacksAdapter reports whether a target has said that it lacks the adapter of a request, and may not be asked
// again yet.
func (n *Node) lacksAdapter(t *fleet.Target, r *gateway.AdmitRequest) bool {
	replica, known := n.lastReplicas.Peek(replicaKey{r.Service, r.SoftwareVersion, r.Request.Adapter})
	return known && replica.target == t.ID && replica.missing && n.now().Sub(replica.askedAt) < askInterval
}

// knownReplica returns the target that last served a request's adapter and the version that it must run
// (0: whichever it holds). It returns nil if the target is unknown or cannot be used now. A target that held an
// older version is asked for the newest: the last leader may have ordered its load, and the target does not
// run the request if it lacks it.
func (n *Node) knownReplica(r *gateway.AdmitRequest) (t *fleet.Target, version int64) {
	replica, known := n.lastReplicas.Get(replicaKey{r.Service, r.SoftwareVersion, r.Request.Adapter})
	if !known {
		return nil, 0
	}
	now, dir := n.now(), n.feed.Directory()
	version = dir.RequiredVersion(r.Request.Adapter, replica.version, now, versionGrace(n.settings.Times))
	if t = dir.Targets[replica.target]; !isUsable(t, r) || !replica.canAsk(now, version) {
		return nil, 0
	}
	return t, version
}

// chooseKnownTarget places a request without the leader: at the target that last served its adapter, else at
// one that holds the adapter by its report, or, if it asks for a base model, at any target that holds the model.
func (n *Node) chooseKnownTarget(r *gateway.AdmitRequest) gateway.Decision {
	d := gateway.Decision{
		Service: r.Service, DecidedBy: n.settings.Vm.Id, Ticket: n.tickets.Add(1), DecidedAt: n.now(),
		Priority:  scheduler.EnginePriority(r.Route.Priority),
		StoreCopy: events.StoreCopy{Revision: n.feed.Revision(), Age: n.feed.Age()},
	}
	if t, version := n.knownReplica(r); t != nil {
		d.Target, d.Address, d.SoftwareVersion, d.AdapterVersion = t.ID, t.Address, t.SoftwareVersion, version
		n.markAsked(r, d)
		return d
	}
	if t, version := n.observedReplica(r); t != nil {
		d.Target, d.Address, d.SoftwareVersion, d.AdapterVersion = t.ID, t.Address, t.SoftwareVersion, version
		n.rememberReplica(r, d)
		n.markAsked(r, d)
		return d
	}
	if !r.Request.Adapter.IsBase() {
		return refusalDecision(r, "scheduler_silent", noDecisionRetryDelay)
	}
	dir := n.feed.Directory()
	var ids []string
	for _, t := range dir.TargetsOf(r.Service) {
		if isUsable(t, r) && holdsModel(t, r.Request.Adapter.Model) {
			ids = append(ids, t.ID)
		}
	}
	if len(ids) == 0 {
		return refusalDecision(r, "scheduler_silent", noDecisionRetryDelay)
	}
	d.Target = rendezvous.Winner(ids, rendezvous.Hash(r.Request.ID))
	d.Address, d.SoftwareVersion = dir.Targets[d.Target].Address, dir.Targets[d.Target].SoftwareVersion
	return d
}

func isUsable(t *fleet.Target, r *gateway.AdmitRequest) bool {
	return t != nil && t.State == fleet.TargetReady && !slices.Contains(r.Exclude, t.ID) && !slices.Contains(r.BackedOff, t.ID) &&
		!slices.Contains(r.RateLimited, t.ID) && t.Runs(r.SoftwareVersion)
}

func holdsModel(t *fleet.Target, model string) bool {
	return slices.ContainsFunc(t.Resident, func(m fleet.ResidentModel) bool { return m.Name == model })
}
