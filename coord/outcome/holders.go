package outcome

import (
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
		h.halls = append(h.halls, m.Hall)
		h.hashes = append(h.hashes, rendezvous.Hash(string(m.ID)))
	}
	return h
}

// Holders returns the holders of a key, heaviest first. Each next one is taken
// from a hall that has none yet, as long as there is such a hall. O(VMs).
func (h *HolderSet) Holders(key string) []coord.VMID {
	k := rendezvous.Hash(key)
	out := make([]coord.VMID, 0, Holders)
	taken := make([]int, 0, Holders)
	for len(out) < Holders && len(out) < len(h.ids) {
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
		if contains(taken, i) {
			continue
		}
		w, fresh := rendezvous.Mix(hash, key), h.isFreshHall(i, taken)
		if best < 0 || (fresh && !bestFresh) || (fresh == bestFresh && w > weight) {
			best, bestFresh, weight = i, fresh, w
		}
	}
	return best
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
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
// A VM that starts, or that meets a new list, asks every other listed VM for
// the records that it should hold. A settled VM has had all their answers since
// its last change.
type History struct {
	self      coord.VMID
	retention time.Duration
	sets      []dated
	settled   bool
	// answered are the settled VMs that have given their records since the
	// last change.
	answered map[coord.VMID]bool
}

type dated struct {
	since time.Time
	set   *HolderSet
	// present says that this VM was there, with its memory, while the set was
	// in force.
	present bool
}

// NewHistory returns the History of a VM that has just started.
func NewHistory(self coord.VMID, retention time.Duration) *History {
	return &History{self: self, retention: retention}
}

// Changed notes that set is in force from now on, and forgets the sets that
// were superseded more than a retention ago. The VM must ask anew.
func (h *History) Changed(now time.Time, set *HolderSet) {
	present := len(h.sets) > 0
	if !present {
		// What was recorded before this process started went to this set too.
		h.sets = append(h.sets, dated{since: now, set: set})
	}
	h.sets = append(h.sets, dated{since: now, set: set, present: true})
	for len(h.sets) > 1 && now.Sub(h.sets[1].since) >= h.retention {
		h.sets = h.sets[1:]
	}
	h.settled = false
	h.answered = map[coord.VMID]bool{}
}

// SetRetention takes a new retention. When it grows, sets that are forgotten
// already do not come back.
func (h *History) SetRetention(d time.Duration) { h.retention = d }

// Answered notes that vm has given its records; settled is its own state.
func (h *History) Answered(vm coord.VMID, settled bool) {
	if settled {
		h.answered[vm] = true
	}
}

// Settle notes that every other listed VM has given its records.
func (h *History) Settle() { h.settled = true }

// Settled reports whether nothing is left to ask.
func (h *History) Settled() bool { return h.settled }

// Current returns the set in force, or nil.
func (h *History) Current() *HolderSet {
	if len(h.sets) == 0 {
		return nil
	}
	return h.sets[len(h.sets)-1].set
}

// Certain reports whether this VM can have missed no record of the key that is
// younger than the retention. It must be a holder now; for every set that was in
// force in that time, it was there as a holder itself, or it has the records of
// two of the set's holders. A record stands at two of three, so two of them
// cannot both lack it.
func (h *History) Certain(now time.Time, key string) bool {
	if len(h.sets) == 0 || !isHolder(h.Current().Holders(key), h.self) {
		return false
	}
	for i := range h.sets {
		if h.superseded(now, i) {
			continue
		}
		if !h.covers(h.sets[i], key) {
			return false
		}
	}
	return true
}

func (h *History) superseded(now time.Time, i int) bool {
	return i+1 < len(h.sets) && now.Sub(h.sets[i+1].since) >= h.retention
}

func (h *History) covers(d dated, key string) bool {
	if h.settled {
		return true
	}
	holders := d.set.Holders(key)
	if d.present && isHolder(holders, h.self) {
		return true
	}
	have := 0
	for _, id := range holders {
		if id != h.self && h.answered[id] {
			have++
		}
	}
	return have >= Needed
}

func isHolder(holders []coord.VMID, id coord.VMID) bool {
	for _, h := range holders {
		if h == id {
			return true
		}
	}
	return false
}
