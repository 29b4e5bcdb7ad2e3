package quarantine

// recent remembers the digests of late, up to maxInnocent and half of that at least.
type recent struct{ now, before map[Digest]bool }

func (r *recent) add(d Digest) {
	if len(r.now) >= maxInnocent/2 {
		r.now, r.before = make(map[Digest]bool, maxInnocent/2), r.now
	}
	r.now[d] = true
}

func (r *recent) has(d Digest) bool { return r.now[d] || r.before[d] }

func (r *recent) remove(d Digest) {
	delete(r.now, d)
	delete(r.before, d)
}
