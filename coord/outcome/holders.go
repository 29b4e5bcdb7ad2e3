package outcome

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// HolderSet selects the holders of keys from one version of the published VM list. It ignores
// heartbeats, because both sides of a partition must select the same holders.
type HolderSet struct {
	ids    []coord.VMID
	zones  []string
	hashes []uint64
}

// NewHolderSet returns the HolderSet of a VM list.
func NewHolderSet(members []*membership.Member) *HolderSet {
	h := &HolderSet{}
	for _, m := range members {
		h.ids = append(h.ids, m.ID)
		h.zones = append(h.zones, m.Zone)
		h.hashes = append(h.hashes, rendezvous.Hash(string(m.ID)))
	}
	return h
}

// Equal reports whether both sets select the same holders for every key.
func (h *HolderSet) Equal(other *HolderSet) bool {
	return other != nil && slices.Equal(h.ids, other.ids) && slices.Equal(h.zones, other.zones)
}

// Holders returns the holders of a key, beginning with the VM that has the highest rendezvous
// weight. Each further holder is the VM with the highest weight in the availability zones that have
// no holder yet, or in all zones if each has one. The cost is O(number of VMs).
func (h *HolderSet) Holders(key string) []coord.VMID {
	keyHash := rendezvous.Hash(key)
	out := make([]coord.VMID, 0, ReplicationFactor)
	taken := make([]int, 0, ReplicationFactor)
	for len(out) < ReplicationFactor && len(out) < len(h.ids) {
		next := h.nextHolder(keyHash, taken)
		taken = append(taken, next)
		out = append(out, h.ids[next])
	}
	return out
}

// nextHolder returns the index of the VM with the highest weight that is not in taken. VMs in
// availability zones without a holder are preferred.
func (h *HolderSet) nextHolder(keyHash uint64, taken []int) int {
	best, bestUnused := -1, false
	var bestWeight uint64
	for i, hash := range h.hashes {
		if slices.Contains(taken, i) {
			continue
		}
		candidateWeight, unused := rendezvous.Weight(hash, keyHash), h.isUnusedZone(i, taken)
		if best < 0 || (unused && !bestUnused) || (unused == bestUnused && candidateWeight > bestWeight) {
			best, bestUnused, bestWeight = i, unused, candidateWeight
		}
	}
	return best
}

func (h *HolderSet) isUnusedZone(i int, taken []int) bool {
	for _, t := range taken {
		if h.zones[t] == h.zones[i] {
			return false
		}
	}
	return true
}

// History records which HolderSets have been in force, so that a holder can determine for which
// keys it may have missed records.
//
// Records can be missed in two ways. A restarted process has lost the records that the VM held; it
// is complete again once it has the records of all other VMs. A VM that becomes a holder of a key
// by a change of the list lacks the records of the time before the change; it requests them from
// the earlier holders. Only the responses of complete VMs count.
type History struct {
	self      coord.VMID
	retention time.Duration
	startedAt time.Time
	periods   []setPeriod
	complete  bool
	// responses holds the RecoverySource of each VM that has sent its records since the last change
	// of the list.
	responses map[coord.VMID]RecoverySource
	// freshIncarnations holds the incarnations of the other VMs' processes at the time when this
	// process found that every process of the fleet had just started.
	freshIncarnations map[coord.VMID]uint64
}

// RecoverySource describes the state of a VM that sends its records.
type RecoverySource struct {
	// Incarnation is the incarnation of its process.
	Incarnation uint64
	// Complete is true if the VM has lost no records or has recovered them.
	Complete bool
	// ConfirmsFreshStart is true if the VM found that every process of the fleet had just started,
	// among them that of the requesting VM.
	ConfirmsFreshStart bool
}

type setPeriod struct {
	since time.Time
	set   *HolderSet
	// processRunning is true if this process was running while the set was in force.
	processRunning bool
}

// NewHistory returns the History of a VM whose process started at now.
func NewHistory(self coord.VMID, retention time.Duration, now time.Time) *History {
	return &History{self: self, retention: retention, startedAt: now, responses: map[coord.VMID]RecoverySource{}}
}

// Changed records that set is in force from now on, and removes the sets that were superseded at
// least one retention ago. The VM must request records from the other VMs again.
func (h *History) Changed(now time.Time, set *HolderSet) {
	if len(h.periods) == 0 {
		// Records made before this process started went to the holders of this set, too.
		h.periods = append(h.periods, setPeriod{since: h.startedAt, set: set})
	}
	h.periods = append(h.periods, setPeriod{since: now, set: set, processRunning: true})
	for len(h.periods) > 1 && now.Sub(h.periods[1].since) >= h.retention {
		h.periods = h.periods[1:]
	}
	h.responses = map[coord.VMID]RecoverySource{}
}

// SetRetention sets the retention. A longer retention does not restore sets that have already been
// removed.
func (h *History) SetRetention(d time.Duration) { h.retention = d }

// MayRequestRecords reports whether this VM may request records from the other VMs. It may not
// until the votes of its previous process have expired (VoteValidity).
func (h *History) MayRequestRecords(now time.Time) bool { return now.Sub(h.startedAt) > VoteValidity }

// RecordResponse records that vm has sent its records.
func (h *History) RecordResponse(vm coord.VMID, source RecoverySource) {
	h.responses[vm] = source
	h.complete = h.complete || source.ConfirmsFreshStart
}

// CompleteRecovery records that every other listed VM has responded since the last change of the
// list. A restarted process is complete then if all of them are complete. If none is, the whole
// fleet has just started: no run can have been granted since, so there is nothing to recover, and
// the same holds for each of the processes that responded. If only some are complete, as after two
// crashes at once, this process is not complete until a retention has passed since its start.
func (h *History) CompleteRecovery() {
	completeVMs := 0
	for _, source := range h.responses {
		if source.Complete {
			completeVMs++
		}
	}
	if completeVMs == 0 && !h.complete {
		h.freshIncarnations = map[coord.VMID]uint64{}
		for vm, source := range h.responses {
			h.freshIncarnations[vm] = source.Incarnation
		}
	}
	if completeVMs == len(h.responses) || completeVMs == 0 {
		h.complete = true
	}
}

// ConfirmsFreshStart reports whether this process found that every process of the fleet had just
// started, among them the given incarnation of vm.
func (h *History) ConfirmsFreshStart(vm coord.VMID, incarnation uint64) bool {
	fresh, ok := h.freshIncarnations[vm]
	return ok && fresh == incarnation
}

// Complete reports whether this process has all records younger than the retention that the VM held
// before the process started.
func (h *History) Complete(now time.Time) bool {
	return h.complete || now.Sub(h.startedAt) >= h.retention
}

// Current returns the set in force, or nil.
func (h *History) Current() *HolderSet {
	if len(h.periods) == 0 {
		return nil
	}
	return h.periods[len(h.periods)-1].set
}

// Authoritative reports whether this VM cannot have missed any record of the key that is younger
// than the retention. It must be a holder now. For every set that was in force during the
// retention, either this process was running as a holder, or it has the records of two of the set's
// holders. Each record is stored at two of three holders, so two of them cannot both lack it.
func (h *History) Authoritative(now time.Time, key string) bool {
	if len(h.periods) == 0 || !slices.Contains(h.Current().Holders(key), h.self) {
		return false
	}
	for i := range h.periods {
		if !h.isOutsideRetention(now, i) && !h.coversPeriod(now, h.periods[i], key) {
			return false
		}
	}
	return true
}

func (h *History) isOutsideRetention(now time.Time, i int) bool {
	return i+1 < len(h.periods) && now.Sub(h.periods[i+1].since) >= h.retention
}

func (h *History) coversPeriod(now time.Time, p setPeriod, key string) bool {
	if !p.processRunning && h.Complete(now) {
		return true
	}
	holders := p.set.Holders(key)
	if p.processRunning && slices.Contains(holders, h.self) {
		return true
	}
	sources := 0
	for _, id := range holders {
		if id != h.self && h.responses[id].Complete {
			sources++
		}
	}
	return sources >= QuorumSize
}
