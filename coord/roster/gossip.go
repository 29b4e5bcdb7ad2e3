package roster

import (
	"time"

	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// Values that are hashed into the digest of an entry with the flag set.
const (
	leavingFlag  = 1
	isolatedFlag = 2
)

// digest returns a hash of the entry without its heartbeat count and its capacity.
func (e Entry) digest() uint64 {
	hash := rendezvous.Weight(rendezvous.Hash(string(e.ID)+e.Address+e.Zone), e.Incarnation)
	hash = rendezvous.Weight(hash, e.FencingToken)
	if e.Leaving {
		hash = rendezvous.Weight(hash, leavingFlag)
	}
	if e.Isolated {
		hash = rendezvous.Weight(hash, isolatedFlag)
	}
	return hash
}

// HeartbeatCount is the heartbeat count of a VM whose full entry the receiver should already
// have. Most of the messages between VMs consists of such counts.
type HeartbeatCount struct {
	// Digest identifies the entry.
	Digest uint64
	Count  uint64
}

// isNewerThan reports whether e is a later state of the VM than other.
func (e Entry) isNewerThan(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Heartbeat > other.Heartbeat
}

// A changed entry is sent in full for fullEntryPeriod, and at most maxFullEntrySends times by
// each VM. A dozen sends by each VM reach the whole fleet, and a VM that still lacks the entry
// requests it. In the first 1.5 s after 195 VMs have started together, each VM sent 17,192
// entries of about 60 bytes without the second bound and 2,417 with it. Either way every VM
// knew all others after four rounds (TestLargeFleetConverges).
const (
	fullEntryPeriod   = 3 * time.Second
	maxFullEntrySends = 12
)

// Digest returns the message for another VM: the full entries of this VM and of the VMs
// whose entries changed recently, and the heartbeat counts of the other VMs that are not
// suspect.
func (r *Roster) Digest(now time.Time) (entries []Entry, heartbeats []HeartbeatCount) {
	entries = append(entries, r.self)
	for _, m := range r.members {
		switch {
		case m.State == Suspect:
		case now.Sub(m.changedAt) < fullEntryPeriod && m.fullSends < maxFullEntrySends:
			m.fullSends++
			entries = append(entries, m.Entry)
		default:
			heartbeats = append(heartbeats, HeartbeatCount{Digest: m.digest, Count: m.Heartbeat})
		}
	}
	return entries, heartbeats
}

// Snapshot returns the full entries of this VM and of all VMs that are not suspect. It is
// sent to a VM that joins or lacks entries.
func (r *Roster) Snapshot() []Entry {
	entries := []Entry{r.self}
	for _, m := range r.members {
		if m.State != Suspect {
			entries = append(entries, m.Entry)
		}
	}
	return entries
}

// Merge applies the entries received from another VM and returns the resulting changes.
func (r *Roster) Merge(now time.Time, entries []Entry) []Change {
	var changes []Change
	for _, e := range entries {
		if e.ID == r.self.ID {
			r.raiseIncarnation(e)
			continue
		}
		if change, changed := r.mergeEntry(now, e); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// MergeHeartbeats applies the heartbeat counts received from another VM and returns the
// resulting changes. unknown reports that some counts belong to entries that this VM lacks
// and should request.
func (r *Roster) MergeHeartbeats(now time.Time, heartbeats []HeartbeatCount) (changes []Change, unknown bool) {
	self := r.self.digest()
	for _, heartbeat := range heartbeats {
		m := r.digests[heartbeat.Digest]
		if m == nil {
			unknown = unknown || heartbeat.Digest != self
			continue
		}
		if heartbeat.Count <= m.Heartbeat {
			continue // as most are: several VMs relay each count
		}
		e := m.Entry
		e.Heartbeat = heartbeat.Count
		if change, changed := r.mergeEntry(now, e); changed {
			changes = append(changes, change)
		}
	}
	return changes, unknown
}

// raiseIncarnation raises this process's incarnation above that of an earlier process of the
// same VM. The earlier one is higher if the time of day has jumped back between two starts.
func (r *Roster) raiseIncarnation(e Entry) {
	if e.Incarnation > r.self.Incarnation {
		r.self.Incarnation = e.Incarnation + 1
	}
}

// mergeEntry applies one entry of another VM. It reports whether the VM joined, changed its
// state or restarted.
func (r *Roster) mergeEntry(now time.Time, e Entry) (Change, bool) {
	if last, forgotten := r.forgotten[e.ID]; forgotten {
		if !e.isNewerThan(last) {
			return Change{}, false
		}
		delete(r.forgotten, e.ID)
	}
	m := r.members[e.ID]
	if m == nil || m.Address != e.Address {
		r.seenAddresses[e.Address] = true
	}
	if m == nil {
		m = &Member{Entry: e, LastHeartbeat: now, State: stateOf(e), changedAt: now, digest: e.digest()}
		r.members[e.ID] = m
		r.digests[m.digest] = m
		return Change{VM: e.ID, New: m.State.String()}, true
	}
	if !e.isNewerThan(m.Entry) {
		return Change{}, false
	}
	before := m.State
	unresponsiveFor := now.Sub(m.LastHeartbeat)
	var newIncarnation uint64
	if e.Incarnation != m.Incarnation {
		newIncarnation = e.Incarnation
	}
	m.Entry = e
	if digest := e.digest(); digest != m.digest {
		delete(r.digests, m.digest)
		m.digest, m.changedAt, m.fullSends = digest, now, 0
		r.digests[digest] = m
	}
	m.LastHeartbeat = now
	m.State = stateOf(e)
	return Change{VM: e.ID, Old: before.String(), New: m.State.String(), UnresponsiveFor: unresponsiveFor, NewIncarnation: newIncarnation}, before != m.State || newIncarnation != 0
}

// stateOf returns the state of a VM from which e has just been received.
func stateOf(e Entry) State {
	if e.Leaving {
		return Leaving
	}
	return Live
}
