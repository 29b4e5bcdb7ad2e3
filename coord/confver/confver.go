// Package confver holds the bundle version in force. It only ever moves up.
// Every message between VMs carries the sender's version; the side that is
// behind catches up before it decides, as a query node of Milvus waits until its
// service time has passed a request's guarantee timestamp (Jiquan Long,
// "Understanding Consistency Level in the Milvus Vector Database - Part II").
//
// The caller must verify a bundle's signatures before it calls Accept.
package confver

// Gate holds the version in force and the highest version heard of.
type Gate struct {
	inForce uint64
	heard   uint64
}

// InForce returns the version in force; zero when there is none.
func (g *Gate) InForce() uint64 { return g.inForce }

// Accept puts a verified version in force. It returns false for a version that
// is not higher than the one in force.
func (g *Gate) Accept(version uint64) bool {
	if version <= g.inForce {
		return false
	}
	g.inForce = version
	g.heard = max(g.heard, version)
	return true
}

// Heard notes a version that another VM or the service named. It returns true
// when this VM is now behind and did not know.
func (g *Gate) Heard(version uint64) bool {
	if version <= g.heard {
		return false
	}
	g.heard = version
	return version > g.inForce
}

// Behind reports whether a higher version than the one in force exists.
func (g *Gate) Behind() bool { return g.heard > g.inForce }

// Forget drops the memory of a version that turned out not to exist, so that a
// false claim does not keep this VM waiting.
func (g *Gate) Forget(version uint64) {
	if g.heard == version {
		g.heard = g.inForce
	}
}
