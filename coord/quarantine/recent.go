package quarantine

// recentDigests is a set of the most recent digests. It holds at most maxKnownGood of them, and
// never drops the latest maxKnownGood/2.
type recentDigests struct{ current, previous map[Digest]bool }

func (r *recentDigests) add(d Digest) {
	if len(r.current) >= maxKnownGood/2 {
		r.current, r.previous = make(map[Digest]bool, maxKnownGood/2), r.current
	}
	r.current[d] = true
}

func (r *recentDigests) has(d Digest) bool { return r.current[d] || r.previous[d] }

func (r *recentDigests) remove(d Digest) {
	delete(r.current, d)
	delete(r.previous, d)
}
