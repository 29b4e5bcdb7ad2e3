package edge

import (
	"slices"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
)

const (
	// originCopies is the number of other VMs that hold the records of a VM in a small fleet. With them,
	// a record survives the loss of three VMs.
	originCopies = 3
	// zoneOriginCopies is the number of them in the VM's own zone in a large fleet. One more VM holds
	// the records in each other zone.
	zoneOriginCopies = 2
)

// originHolders returns the VMs that hold the records of this VM.
func (n *Node) originHolders() []coord.VMID {
	n.mu.Lock()
	live := n.roster.Live()
	n.mu.Unlock()
	return selectOriginHolders(n.settings.Vm.Id, n.settings.Vm.Zone, live)
}

// selectOriginHolders selects the VMs that hold the records of a VM among the live ones. The choice is
// the same as long as they are live, so that a VM in a large fleet needs no further sessions.
func selectOriginHolders(self, zone string, live []roster.Entry) []coord.VMID {
	others := slices.DeleteFunc(slices.Clone(live), func(e roster.Entry) bool { return string(e.ID) == self })
	if len(live) < largeFleetSize {
		return idsOf(topVMs(self, others, originCopies))
	}
	sameZone := slices.DeleteFunc(slices.Clone(others), func(e roster.Entry) bool { return e.Zone != zone })
	return append(idsOf(topVMs(self, sameZone, zoneOriginCopies)), crossZonePeers(self, zone, others)...)
}

// topVMs returns the VMs with the highest weights for a key, at most limit of them.
func topVMs(key string, vms []roster.Entry, limit int) []roster.Entry {
	hashes := make([]uint64, len(vms))
	for i, e := range vms {
		hashes[i] = rendezvous.Hash(string(e.ID))
	}
	best := make([]int, limit)
	var out []roster.Entry
	for _, i := range best[:rendezvous.Top(hashes, rendezvous.Hash(key), best)] {
		out = append(out, vms[i])
	}
	return out
}

func idsOf(vms []roster.Entry) []coord.VMID {
	var out []coord.VMID
	for _, e := range vms {
		out = append(out, e.ID)
	}
	return out
}

// originPeers returns the VMs that are asked for the origin of a stream: those of this VM's zone in a
// large fleet, as every VM's records are held in each zone, and else all.
func (n *Node) originPeers() []coord.VMID {
	n.mu.Lock()
	defer n.mu.Unlock()
	live := n.roster.Live()
	var out []coord.VMID
	for _, e := range live {
		if string(e.ID) != n.settings.Vm.Id && (len(live) < largeFleetSize || n.isSameZone(e)) {
			out = append(out, e.ID)
		}
	}
	return out
}
