package outcome

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// HolderSet picks the holders of keys from one version of the published list.
// Heartbeats play no part: both sides of a partition must pick the same.
type HolderSet struct {
	ids    []coord.VMID
	halls  []string
	hashes []uint64
}

// NewHolderSet returns the HolderSet of a list.
func NewHolderSet(members []*membership.Member) *HolderSet {
	h := &HolderSet{}
	for _, m := range members {
		h.ids = append(h.ids, m.ID)
		h.halls = append(h.halls, m.Zone)
		h.hashes = append(h.hashes, rendezvous.Hash(string(m.ID)))
	}
	return h
}

// Equal reports whether both sets pick the same holders for every key.
func (h *HolderSet) Equal(other *HolderSet) bool {
	return other != nil && slices.Equal(h.ids, other.ids) && slices.Equal(h.halls, other.halls)
}

// Holders returns the holders of a key, heaviest first. Each next one is taken
// from a hall that has none yet, as long as there is such a hall. O(VMs).
func (h *HolderSet) Holders(key string) []coord.VMID {
	k := rendezvous.Hash(key)
	out := make([]coord.VMID, 0, ReplicationFactor)
	taken := make([]int, 0, ReplicationFactor)
	for len(out) < ReplicationFactor && len(out) < len(h.ids) {
		at := h.nextHolder(k, taken)
		taken = append(taken, at)
		out = append(out, h.ids[at])
	}
	return out
}

// nextHolder returns the heaviest VM not taken, in a fresh hall if it can.
func (h *HolderSet) nextHolder(key uint64, taken []int) int {
	best, bestFresh := -1, false
	var weight uint64
	for i, hash := range h.hashes {
		if slices.Contains(taken, i) {
			continue
		}
		w, fresh := rendezvous.Weight(hash, key), h.isFreshHall(i, taken)
		if best < 0 || (fresh && !bestFresh) || (fresh == bestFresh && w > weight) {
			best, bestFresh, weight = i, fresh, w
		}
	}
	return best
}

func (h *HolderSet) isFreshHall(i int, taken []int) bool {
	for _, t := range taken {
		if h.halls[t] == h.halls[i] {
			return false
		}
	}
	return true
}

// History remembers which HolderSets have been in force, so that a holder can
// tell for which keys it may have missed records.
//
// Records can be missed in two ways. A process that starts anew has lost what the
// VM held; it is whole again once it has the records of all others. A VM that
// becomes a holder of a key by a change of the list lacks what was recorded
// before; it asks the earlier holders. Only the answers of whole VMs count.
type History struct {
	self      coord.VMID
	retention time.Duration
	started   time.Time
	sets      []dated
	whole     bool
	// answered is what each VM said that has given its records since the last
	// change.
	answered map[coord.VMID]RecoverySource
	// born are the processes that were fresh when this one found the whole
	// fleet to be so.
	born map[coord.VMID]uint64
}

// RecoverySource is what a VM says of itself when it gives its records.
type RecoverySource struct {
	// Incarnation is the incarnation of its process.
	Incarnation uint64
	// Complete says that it has lost no records, or has got them back.
	Complete bool
	// ConfirmsFreshStart says that it found the whole fleet fresh, the asker's process
	// among it.
	ConfirmsFreshStart bool
}

type dated struct {
	since time.Time
	set   *HolderSet
	// present says that this process was there while the set was in force.
	present bool
}

// NewHistory returns the History of a VM whose process started at now.
func NewHistory(self coord.VMID, retention time.Duration, now time.Time) *History {
	return &History{self: self, retention: retention, started: now, answered: map[coord.VMID]RecoverySource{}}
}

// Changed notes that set is in force from now on, and forgets the sets that
// were superseded more than a retention ago. The VM must ask the others anew.
func (h *History) Changed(now time.Time, set *HolderSet) {
	if len(h.sets) == 0 {
		// What was recorded before this process started went to this set too.
		h.sets = append(h.sets, dated{since: h.started, set: set})
	}
	h.sets = append(h.sets, dated{since: now, set: set, present: true})
	for len(h.sets) > 1 && now.Sub(h.sets[1].since) >= h.retention {
		h.sets = h.sets[1:]
	}
	h.answered = map[coord.VMID]RecoverySource{}
}

// SetRetention takes a new retention. When it grows, sets that are forgotten
// already do not come back.
func (h *History) SetRetention(d time.Duration) { h.retention = d }

// MayRequestRecords reports whether the other VMs may be asked for records: not before the
// votes of this VM's earlier process have lost their force.
func (h *History) MayRequestRecords(now time.Time) bool { return now.Sub(h.started) > VoteValidity }

// RecordResponse notes that vm has given its records.
func (h *History) RecordResponse(vm coord.VMID, g RecoverySource) {
	h.answered[vm] = g
	h.whole = h.whole || g.ConfirmsFreshStart
}

// CompleteRecovery notes that every other listed VM has answered since the last
// change. A fresh process is whole then if all of them were. If none was, the
// fleet has started as a whole: no run can have been granted since, so there is
// nothing to recover, and the same holds for each of the processes that answered.
// If some were whole and some not, as after two crashes at once, this process is
// not whole before a retention has passed.
func (h *History) CompleteRecovery() {
	count := 0
	for _, g := range h.answered {
		if g.Complete {
			count++
		}
	}
	if count == 0 && !h.whole {
		h.born = map[coord.VMID]uint64{}
		for vm, g := range h.answered {
			h.born[vm] = g.Incarnation
		}
	}
	if count == len(h.answered) || count == 0 {
		h.whole = true
	}
}

// ConfirmsFreshStart reports whether vm's process was fresh when this one found the whole
// fleet to be so.
func (h *History) ConfirmsFreshStart(vm coord.VMID, life uint64) bool {
	born, ok := h.born[vm]
	return ok && born == life
}

// Complete reports whether this process has the records that the VM held before it
// started, as far as they are younger than the retention.
func (h *History) Complete(now time.Time) bool {
	return h.whole || now.Sub(h.started) >= h.retention
}

// Current returns the set in force, or nil.
func (h *History) Current() *HolderSet {
	if len(h.sets) == 0 {
		return nil
	}
	return h.sets[len(h.sets)-1].set
}

// Authoritative reports whether this VM can have missed no record of the key that is
// younger than the retention. It must be a holder now; for every set that was in
// force in that time it was there as a holder itself, or it has the records of
// two of the set's holders. A record stands at two of three, so two of them
// cannot both lack it.
func (h *History) Authoritative(now time.Time, key string) bool {
	if len(h.sets) == 0 || !slices.Contains(h.Current().Holders(key), h.self) {
		return false
	}
	for i := range h.sets {
		if !h.superseded(now, i) && !h.covers(now, h.sets[i], key) {
			return false
		}
	}
	return true
}

func (h *History) superseded(now time.Time, i int) bool {
	return i+1 < len(h.sets) && now.Sub(h.sets[i+1].since) >= h.retention
}

func (h *History) covers(now time.Time, d dated, key string) bool {
	if !d.present && h.Complete(now) {
		return true
	}
	holders := d.set.Holders(key)
	if d.present && slices.Contains(holders, h.self) {
		return true
	}
	have := 0
	for _, id := range holders {
		if id != h.self && h.answered[id].Complete {
			have++
		}
	}
	return have >= QuorumSize
}
