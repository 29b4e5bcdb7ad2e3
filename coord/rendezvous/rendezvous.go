// Package rendezvous is highest-random-weight hashing: every VM that knows the
// same members picks the same winner for a key without a message, and a member
// that leaves moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash gives the 64-bit hash of a name. Members and keys are hashed once and
// kept, so that a pick costs one Mix for each member.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Multipliers of the 64-bit finalizer of MurmurHash3.
const (
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
	mixShift  = 33
)

// Weight gives the weight of a member for a key.
func Weight(member, key uint64) uint64 {
	h := member ^ (key * mixFirst)
	h ^= h >> mixShift
	h *= mixSecond
	h ^= h >> mixShift
	h *= mixFirst
	return h ^ h>>mixShift
}

// Winner returns the name with the highest weight for a key, the first of equal ones; empty if
// there is none.
func Winner[T ~string](names []T, key uint64) T {
	var best T
	var weight uint64
	for i, name := range names {
		if w := Weight(Hash(string(name)), key); i == 0 || w > weight {
			best, weight = name, w
		}
	}
	return best
}

// Top writes the indexes of the len(best) heaviest members for a key into
// best, heaviest first, and returns how many there are. Equal weights keep the
// order of members. It runs in len(members) * len(best) and does not allocate.
func Top(members []uint64, key uint64, best []int) int {
	n := 0
	for i, m := range members {
		n = insert(members, key, best, n, i, Weight(m, key))
	}
	return n
}

// insert puts candidate i with weight w into best[:n], which is kept sorted.
func insert(members []uint64, key uint64, best []int, n, i int, w uint64) int {
	at := n
	for at > 0 && Weight(members[best[at-1]], key) < w {
		at--
	}
	if at == len(best) {
		return n
	}
	if n < len(best) {
		n++
	}
	copy(best[at+1:n], best[at:n-1])
	best[at] = i
	return n
}
