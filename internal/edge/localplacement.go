package edge

import (
	"slices"

	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/scheduler"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
)

// replicaKey identifies an adapter at the targets of a service that run a software version; empty: any
// version. Several services may serve adapters of one name.
type replicaKey struct {
	service, softwareVersion string
	adapter                  fleet.AdapterRef
}

// lastReplica is the target that last received requests for an adapter, and the adapter's version
// there.
type lastReplica struct {
	target  string
	version int64
}

// maxLastReplicas bounds the number of last replicas that a VM remembers: two for each adapter, one more
// for each further software version.
const maxLastReplicas = 8192

// rememberReplica remembers the target of a decision as the last replica of its adapter, among all and
// among those of its software version.
func (n *Node) rememberReplica(r *gateway.AdmitRequest, d gateway.Decision) {
	replica := lastReplica{target: d.Target, version: d.AdapterVersion}
	n.lastReplicas.Add(replicaKey{r.Service, "", r.Request.Adapter}, replica)
	if d.SoftwareVersion != "" {
		n.lastReplicas.Add(replicaKey{r.Service, d.SoftwareVersion, r.Request.Adapter}, replica)
	}
}

// canPlaceLocally reports whether this VM can choose a target for a request without the leader.
func (n *Node) canPlaceLocally(r *gateway.AdmitRequest) bool {
	if r.Plain || r.Request.Adapter.IsBase() {
		return true
	}
	t, _ := n.knownReplica(r)
	return t != nil
}

// knownReplica returns the target that last served a request's adapter and the adapter's version
// there. It returns nil if the target is unknown or cannot be used.
func (n *Node) knownReplica(r *gateway.AdmitRequest) (t *fleet.Target, version int64) {
	replica, known := n.lastReplicas.Get(replicaKey{r.Service, r.SoftwareVersion, r.Request.Adapter})
	if !known {
		return nil, 0
	}
	if t = n.feed.Directory().Targets[replica.target]; !isUsable(t, r) {
		return nil, 0
	}
	return t, replica.version
}

// chooseKnownTarget places a request without the leader: at the target that last served its
// adapter, or, if it asks for a base model, at any target that holds the model.
func (n *Node) chooseKnownTarget(r *gateway.AdmitRequest) gateway.Decision {
	d := gateway.Decision{
		Service: r.Service, DecidedBy: n.settings.Vm.Id, Ticket: n.tickets.Add(1), DecidedAt: n.now(),
		Priority:  scheduler.EnginePriority(r.Route.Priority),
		StoreCopy: events.StoreCopy{Revision: n.feed.Revision(), Age: n.feed.Age()},
	}
	if t, version := n.knownReplica(r); t != nil {
		d.Target, d.Address, d.SoftwareVersion, d.AdapterVersion = t.ID, t.Address, t.SoftwareVersion, version
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
