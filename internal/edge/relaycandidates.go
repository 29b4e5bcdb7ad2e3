package edge

import (
	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
)

const (
	// maxRelayCandidates bounds the sessions that a VM opens to relays, in its own zone and in others.
	maxRelayCandidates = 8
	// minZoneRelayRatio is the fraction of a zone's VMs that must be able to relay before requests
	// are relayed within the zone: the relays do the work of all its VMs.
	minZoneRelayRatio = 1.0 / 3
)

// relayCandidates holds the VMs that can relay requests.
type relayCandidates struct{ preferred, others []coord.VMID }

func (c *relayCandidates) isEmpty() bool { return len(c.preferred)+len(c.others) == 0 }

// selectRelayCandidates divides the live VMs, other than this one, that are not isolated. Those of
// this VM's zone are preferred if they are enough for the zone, since traffic between zones is
// charged for.
func selectRelayCandidates(self coord.VMID, zone string, live []roster.Entry) *relayCandidates {
	var sameZone, others []coord.VMID
	zoneSize := 0
	for _, e := range live {
		if e.Zone == zone {
			zoneSize++
		}
		switch {
		case e.ID == self || e.Isolated:
		case e.Zone == zone:
			sameZone = append(sameZone, e.ID)
		default:
			others = append(others, e.ID)
		}
	}
	if float64(len(sameZone)) < minZoneRelayRatio*float64(zoneSize) {
		return &relayCandidates{others: selectByHash(self, append(sameZone, others...))}
	}
	return &relayCandidates{preferred: selectByHash(self, sameZone), others: selectByHash(self, others)}
}

// selectByHash returns maxRelayCandidates VMs, or all if there are fewer. Each VM has its own, which
// change only as VMs come and go.
func selectByHash(self coord.VMID, vms []coord.VMID) []coord.VMID {
	hashes := make([]uint64, len(vms))
	for i, vm := range vms {
		hashes[i] = rendezvous.Hash(string(vm))
	}
	best := make([]int, maxRelayCandidates)
	var out []coord.VMID
	for _, i := range best[:rendezvous.Top(hashes, rendezvous.Hash(string(self)), best)] {
		out = append(out, vms[i])
	}
	return out
}

// updateRelays determines the VMs that can relay requests, and how many VMs share the connections
// to targets.
func (n *Node) updateRelays() {
	n.mu.Lock()
	live := n.roster.Live()
	n.connectedVMs.Store(int64(n.roster.ConnectedCount()))
	n.mu.Unlock()
	n.reachability.candidates.Store(selectRelayCandidates(coord.VMID(n.settings.Vm.Id), n.settings.Vm.Zone, live))
}
