// Package membership determines which VMs are live. It combines two sources: the
// published VM list, which is authoritative but lags, and heartbeats, which are fast
// but cannot prove a failure. Only the list adds and removes VMs; heartbeats only mark a
// listed VM as suspect, leaving or live again.
//
// The caller must pass on list versions, heartbeats and suspicion notices as they arrive
// and call Tick at least twice per SuspectAfter. ApplyList and MonitorsOf sort the VMs, Tick
// visits each of them, and all other operations are O(1) in the number of VMs.
package membership

import (
	"sort"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// State is the availability of a VM.
type State int

// The states of a VM. A VM that is no longer on the list is not part of the view.
const (
	// Live VMs accept new work.
	Live State = iota + 1
	// Suspect VMs have stopped sending heartbeats. They may be suspended or
	// partitioned, and may still act.
	Suspect
	// Leaving VMs only finish their current work.
	Leaving
)

// String returns the name of the state for logs.
func (s State) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Leaving:
		return "leaving"
	}
	return "unknown"
}

// ListedVM is one entry of the published list.
type ListedVM struct {
	ID      coord.VMID
	Zone    string
	Address string
	Leaving bool
}

// Member is a VM as this VM sees it.
type Member struct {
	ListedVM
	State State
	// Incarnation is the newest known incarnation of the VM's process; zero when none
	// is known.
	Incarnation uint64
	// SuspectSince is when the VM became suspect; zero when it is not.
	SuspectSince time.Time

	hash uint64
	// lastHeartbeat is when the last heartbeat arrived or the wait for one started again.
	lastHeartbeat    time.Time
	monitored        bool
	announcedLeaving bool
}

// Config holds the fixed settings of a Tracker.
type Config struct {
	Self coord.VMID
	// SuspectAfter is the time without a heartbeat after which a monitored VM is suspect.
	SuspectAfter time.Duration
	// Monitors is the number of VMs that monitor the heartbeats of each VM.
	Monitors int
}

// Tracker maintains one VM's view of the fleet.
type Tracker struct {
	cfg      Config
	version  uint64
	members  []*Member
	byID     map[coord.VMID]*Member
	lastTick time.Time
}

// New returns a Tracker with an empty view.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, byID: map[coord.VMID]*Member{}}
}

// ListVersion returns the version of the newest list applied.
func (t *Tracker) ListVersion() uint64 { return t.version }

// Members returns the listed VMs, sorted by ID. The slice belongs to the Tracker and must
// not be modified.
func (t *Tracker) Members() []*Member { return t.members }

// Member returns the listed VM with the given ID, or nil.
func (t *Tracker) Member(id coord.VMID) *Member { return t.byID[id] }

// ApplyList applies a version of the published list. It ignores a version that is not
// newer than the current one, so that a stale copy cannot bring back a removed VM. It
// returns the IDs that the list no longer contains.
func (t *Tracker) ApplyList(now time.Time, version uint64, list []ListedVM) []coord.VMID {
	if version <= t.version {
		return nil
	}
	t.version = version
	byID := make(map[coord.VMID]*Member, len(list))
	members := make([]*Member, 0, len(list))
	for _, listed := range list {
		m := t.updatedMember(now, listed)
		byID[listed.ID] = m
		members = append(members, m)
	}
	dropped := t.droppedIDs(byID)
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	t.byID = byID
	t.members = members
	t.chooseMonitored(now)
	return dropped
}

// updatedMember returns the Member for a listed VM. It keeps the state of a VM that was on
// the list before.
func (t *Tracker) updatedMember(now time.Time, listed ListedVM) *Member {
	m, known := t.byID[listed.ID]
	if !known {
		m = &Member{State: Live, hash: rendezvous.Hash(string(listed.ID)), lastHeartbeat: now}
	}
	m.ListedVM = listed
	if listed.Leaving {
		m.State = Leaving
	}
	return m
}

// droppedIDs returns the IDs of the current members that byID does not contain.
func (t *Tracker) droppedIDs(byID map[coord.VMID]*Member) []coord.VMID {
	var dropped []coord.VMID
	for _, m := range t.members {
		if byID[m.ID] == nil {
			dropped = append(dropped, m.ID)
		}
	}
	return dropped
}

// MonitorsOf returns the VMs that should receive the heartbeats of id: the next
// Config.Monitors listed VMs after it on the hash ring. Every VM computes the same ring
// from the same list.
func (t *Tracker) MonitorsOf(id coord.VMID) []coord.VMID {
	self := t.byID[id]
	if self == nil {
		return nil
	}
	ring := t.hashRing()
	first := sort.Search(len(ring), func(i int) bool { return ring[i].hash > self.hash })
	out := make([]coord.VMID, 0, t.cfg.Monitors)
	for i := 0; i < len(ring) && len(out) < t.cfg.Monitors; i++ {
		m := ring[(first+i)%len(ring)]
		if m.ID != id {
			out = append(out, m.ID)
		}
	}
	return out
}

// hashRing returns the members sorted by the hashes of their IDs.
func (t *Tracker) hashRing() []*Member {
	ring := append([]*Member(nil), t.members...)
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	return ring
}

// chooseMonitored selects the VMs whose heartbeats this VM monitors: the Config.Monitors
// VMs before it on the hash ring.
func (t *Tracker) chooseMonitored(now time.Time) {
	ring := t.hashRing()
	position := -1
	for i, m := range ring {
		m.setMonitored(false, now)
		if m.ID == t.cfg.Self {
			position = i
		}
	}
	if position < 0 {
		return
	}
	for i := 1; i <= t.cfg.Monitors && i < len(ring); i++ {
		ring[(position-i+len(ring))%len(ring)].setMonitored(true, now)
	}
}

func (m *Member) setMonitored(monitored bool, now time.Time) {
	if monitored && !m.monitored {
		m.lastHeartbeat = now
	}
	m.monitored = monitored
}

// HandleHeartbeat processes a heartbeat of id. It returns true when the view has changed: a
// suspect VM is live again, a VM has restarted, or a VM has announced that it is leaving.
func (t *Tracker) HandleHeartbeat(now time.Time, id coord.VMID, incarnation uint64, leaving bool) bool {
	m := t.byID[id]
	if m == nil || incarnation < m.Incarnation {
		return false
	}
	before := *m
	restarted := incarnation > m.Incarnation
	m.Incarnation = incarnation
	m.lastHeartbeat = now
	m.announcedLeaving = leaving || (m.announcedLeaving && !restarted)
	m.State = m.stateAfterHeartbeat()
	m.SuspectSince = time.Time{}
	return hasChanged(&before, m)
}

func (m *Member) stateAfterHeartbeat() State {
	if m.Leaving || m.announcedLeaving {
		return Leaving
	}
	return Live
}

// HandleSuspicion processes another VM's notice that the heartbeats of id have stopped. It
// ignores notices about an older incarnation or about this VM. It returns true when the
// view has changed.
func (t *Tracker) HandleSuspicion(now time.Time, id coord.VMID, incarnation uint64) bool {
	m := t.byID[id]
	if m == nil || id == t.cfg.Self || incarnation < m.Incarnation {
		return false
	}
	before := *m
	m.Incarnation = incarnation
	m.markSuspect(now)
	return hasChanged(&before, m)
}

func (m *Member) markSuspect(now time.Time) {
	if m.State != Suspect {
		m.SuspectSince = now
	}
	m.State = Suspect
}

func hasChanged(before, after *Member) bool {
	return before.State != after.State || before.Incarnation != after.Incarnation
}

// Tick returns the monitored VMs that have just become suspect because no heartbeat has
// arrived for SuspectAfter. The caller notifies the other VMs. If this VM itself was
// suspended for longer than half of SuspectAfter, missing heartbeats prove nothing and
// every timeout starts again.
func (t *Tracker) Tick(now time.Time) []*Member {
	suspended := !t.lastTick.IsZero() && now.Sub(t.lastTick) > t.cfg.SuspectAfter/2
	t.lastTick = now
	var suspected []*Member
	for _, m := range t.members {
		if suspended {
			m.lastHeartbeat = now
		}
		if !m.monitored || m.State == Suspect || m.ID == t.cfg.Self {
			continue
		}
		if now.Sub(m.lastHeartbeat) >= t.cfg.SuspectAfter {
			m.markSuspect(now)
			suspected = append(suspected, m)
		}
	}
	return suspected
}
