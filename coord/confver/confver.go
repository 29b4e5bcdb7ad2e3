// Package confver tracks the bundle version in force, which never decreases.
// Every message between VMs carries the sender's version. The VM with the lower
// version catches up before it makes a decision, as a query node of Milvus waits until
// its service time has passed a request's guarantee timestamp (Jiquan Long,
// "Understanding Consistency Level in the Milvus Vector Database - Part II").
//
// The caller must verify a bundle's signatures before it calls Accept.
package confver

// Tracker holds the version in force. The zero value has no version in force.
type Tracker struct {
	inForce uint64
}

// InForce returns the version in force, or zero if there is none.
func (t *Tracker) InForce() uint64 { return t.inForce }

// Accept puts a verified version in force. It returns false, and changes nothing, if the
// version is not higher than the one in force.
func (t *Tracker) Accept(version uint64) bool {
	if version <= t.inForce {
		return false
	}
	t.inForce = version
	return true
}

// Behind reports whether the version of another VM is higher than the one in force. This
// VM must then catch up before it makes a decision.
func (t *Tracker) Behind(version uint64) bool { return version > t.inForce }
