// Package confver holds the bundle version in force. It only ever moves up.
// Every message between VMs carries the sender's version; the side that is
// behind catches up before it decides, as a query node of Milvus waits until its
// service time has passed a request's guarantee timestamp (Jiquan Long,
// "Understanding Consistency Level in the Milvus Vector Database - Part II").
//
// The caller must verify a bundle's signatures before it calls Accept.
package confver

// Tracker holds the version in force. The zero value has none.
type Tracker struct {
	inForce uint64
}

// InForce returns the version in force; zero when there is none.
func (g *Tracker) InForce() uint64 { return g.inForce }

// Accept puts a verified version in force. It returns false for a version that
// is not higher than the one in force.
func (g *Tracker) Accept(version uint64) bool {
	if version <= g.inForce {
		return false
	}
	g.inForce = version
	return true
}

// Behind reports whether another side's version is higher than the one in force,
// so that this side must catch up before it decides.
func (g *Tracker) Behind(version uint64) bool { return version > g.inForce }
