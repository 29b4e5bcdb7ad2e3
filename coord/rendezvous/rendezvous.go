// Package rendezvous implements rendezvous (highest-random-weight) hashing: all VMs that
// know the same members select the same member for a key without exchanging messages, and
// a member that leaves moves only its own keys.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the 64-bit hash of a name. Callers hash members and keys once and keep the
// result, so that a selection costs one call of Weight for each member.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Multipliers of the 64-bit finalizer of MurmurHash3.
const (
	mixFirst  = 0xff51afd7ed558ccd
	mixSecond = 0xc4ceb9fe1a85ec53
	mixShift  = 33
)

// Weight returns the weight of a member for a key, both given by their hashes.
func Weight(member, key uint64) uint64 {
	h := member ^ (key * mixFirst)
	h ^= h >> mixShift
	h *= mixSecond
	h ^= h >> mixShift
	h *= mixFirst
	return h ^ h>>mixShift
}

// Winner returns the name with the highest weight for a key, or the first of several with equal
// weight. It returns the empty name when names is empty.
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

// Top writes the indexes of the len(best) members with the highest weights for a key into
// best, in descending order of weight, and returns the number of indexes written. Members of
// equal weight keep their order. Top runs in O(len(members) * len(best)) and does not
// allocate.
func Top(members []uint64, key uint64, best []int) int {
	n := 0
	for i, m := range members {
		n = insert(members, key, best, n, i, Weight(m, key))
	}
	return n
}

// insert inserts index i with weight w into the sorted best[:n] and returns the new length. It
// drops the lowest entry when best is full.
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
