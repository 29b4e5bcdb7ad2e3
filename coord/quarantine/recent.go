package quarantine

// recentSet is a set of the most recently added keys. It holds at most maxKnownGood of them, and
// never drops the latest maxKnownGood/2.
type recentSet[K comparable] struct{ current, previous map[K]bool }

func newRecentSet[K comparable]() recentSet[K] { return recentSet[K]{current: map[K]bool{}} }

func (r *recentSet[K]) add(k K) {
	if len(r.current) >= maxKnownGood/2 {
		r.current, r.previous = make(map[K]bool, maxKnownGood/2), r.current
	}
	r.current[k] = true
}

func (r *recentSet[K]) has(k K) bool { return r.current[k] || r.previous[k] }

func (r *recentSet[K]) remove(k K) {
	delete(r.current, k)
	delete(r.previous, k)
}
