// Package membership decides which VMs are live. It joins two sources: the
// published VM list, which is authoritative but lags, and heartbeats, which are
// quick but only a guess. The list alone adds and removes VMs; heartbeats only
// mark a listed VM as suspect or leaving.
//
// The caller must feed list readings, heartbeats and notices as they come and
// call Tick at least twice per SuspectAfter. All operations but ApplyList are
// O(1) in the number of VMs, Tick is O(monitored VMs).
package membership

import (
	"sort"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
)

// State is how far a VM can be counted on.
type State int

// The states of a VM. A VM that the list dropped is not in the view at all.
const (
	// Live VMs take new work.
	Live State = iota + 1
	// Suspect VMs have stopped sending heartbeats; they may be paused or
	// cut off and still act.
	Suspect
	// Leaving VMs finish what they have.
	Leaving
)

// String gives the state's name for logs.
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

// ListedVM is one line of the published list.
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
	// Incarnation of the process last heard from; zero when never heard.
	Incarnation uint64
	// SuspectSince is when the VM became suspect; zero when it is not.
	SuspectSince time.Time

	hash      uint64
	lastHeard time.Time
	monitored bool
	saidLeave bool
}

// Config holds the fixed settings of a Tracker.
type Config struct {
	Self coord.VMID
	// SuspectAfter is the silence after which a monitored VM is suspect.
	SuspectAfter time.Duration
	// Monitors is how many VMs watch each VM's heartbeats.
	Monitors int
}

// Tracker holds the view of one VM.
type Tracker struct {
	cfg     Config
	version uint64
	members []*Member
	byID    map[coord.VMID]*Member
	last    time.Time
}

// New returns a Tracker that knows no VM.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, byID: map[coord.VMID]*Member{}}
}

// ListVersion returns the version of the newest list applied.
func (t *Tracker) ListVersion() uint64 { return t.version }

// Members returns the listed VMs in order of their ids. The slice is the
// tracker's own and must not be changed.
func (t *Tracker) Members() []*Member { return t.members }

// Member returns a listed VM, or nil.
func (t *Tracker) Member(id coord.VMID) *Member { return t.byID[id] }

// ApplyList takes a reading of the published list. A version that is not newer
// than the one held is ignored, so a stale reader cannot bring a dead VM back.
// It returns the ids that the list dropped.
func (t *Tracker) ApplyList(now time.Time, version uint64, list []ListedVM) []coord.VMID {
	if version <= t.version {
		return nil
	}
	t.version = version
	next := make(map[coord.VMID]*Member, len(list))
	members := make([]*Member, 0, len(list))
	for _, l := range list {
		m := t.carry(now, l)
		next[l.ID] = m
		members = append(members, m)
	}
	dropped := t.droppedFrom(next)
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	t.byID = next
	t.members = members
	t.chooseMonitored(now)
	return dropped
}

// carry keeps what is known of a VM that stays in the list.
func (t *Tracker) carry(now time.Time, l ListedVM) *Member {
	m, ok := t.byID[l.ID]
	if !ok {
		m = &Member{State: Live, hash: rendezvous.Hash(string(l.ID)), lastHeard: now}
	}
	m.ListedVM = l
	if l.Leaving {
		m.State = Leaving
	}
	return m
}

func (t *Tracker) droppedFrom(next map[coord.VMID]*Member) []coord.VMID {
	var dropped []coord.VMID
	for _, m := range t.members {
		if next[m.ID] == nil {
			dropped = append(dropped, m.ID)
		}
	}
	return dropped
}

// MonitorsOf returns the VMs that should receive id's heartbeats: the next
// Monitors listed VMs after it on the ring of hashed ids. Every VM computes
// the same ring from the same list.
func (t *Tracker) MonitorsOf(id coord.VMID) []coord.VMID {
	self := t.byID[id]
	if self == nil {
		return nil
	}
	ring := t.ring()
	at := sort.Search(len(ring), func(i int) bool { return ring[i].hash > self.hash })
	out := make([]coord.VMID, 0, t.cfg.Monitors)
	for i := 0; i < len(ring) && len(out) < t.cfg.Monitors; i++ {
		m := ring[(at+i)%len(ring)]
		if m.ID != id {
			out = append(out, m.ID)
		}
	}
	return out
}

func (t *Tracker) ring() []*Member {
	ring := append([]*Member(nil), t.members...)
	sort.Slice(ring, func(i, j int) bool { return ring[i].hash < ring[j].hash })
	return ring
}

// chooseMonitored finds the VMs whose heartbeats this VM receives: the
// Monitors VMs before it on the ring.
func (t *Tracker) chooseMonitored(now time.Time) {
	ring := t.ring()
	at := -1
	for i, m := range ring {
		m.setMonitored(false, now)
		if m.ID == t.cfg.Self {
			at = i
		}
	}
	if at < 0 {
		return
	}
	for i := 1; i <= t.cfg.Monitors && i < len(ring); i++ {
		ring[(at-i+len(ring))%len(ring)].setMonitored(true, now)
	}
}

func (m *Member) setMonitored(on bool, now time.Time) {
	if on && !m.monitored {
		m.lastHeard = now
	}
	m.monitored = on
}

// HandleHeartbeat takes a sign of life. It returns true when the view changed: a suspect
// VM is live again, a VM started anew, or it says that it leaves.
func (t *Tracker) HandleHeartbeat(now time.Time, id coord.VMID, incarnation uint64, leaving bool) bool {
	m := t.byID[id]
	if m == nil || incarnation < m.Incarnation {
		return false
	}
	before := *m
	restarted := incarnation > m.Incarnation
	m.Incarnation = incarnation
	m.lastHeard = now
	m.saidLeave = leaving || (m.saidLeave && !restarted)
	m.State = m.stateWhenHeard()
	m.SuspectSince = time.Time{}
	return changed(&before, m)
}

func (m *Member) stateWhenHeard() State {
	if m.Leaving || m.saidLeave {
		return Leaving
	}
	return Live
}

// HandleSuspicion takes another VM's notice that id's heartbeats have stopped. A
// notice about an older incarnation, or about this VM itself, changes nothing.
func (t *Tracker) HandleSuspicion(now time.Time, id coord.VMID, incarnation uint64) bool {
	m := t.byID[id]
	if m == nil || id == t.cfg.Self || incarnation < m.Incarnation {
		return false
	}
	before := *m
	m.Incarnation = incarnation
	m.suspect(now)
	return changed(&before, m)
}

func (m *Member) suspect(now time.Time) {
	if m.State != Suspect {
		m.SuspectSince = now
	}
	m.State = Suspect
}

func changed(before, after *Member) bool {
	return before.State != after.State || before.Incarnation != after.Incarnation
}

// Tick returns the monitored VMs whose silence has just made them suspect. The
// caller spreads the word. When this VM itself was paused for longer than half
// of SuspectAfter, silence proves nothing and every wait starts again.
func (t *Tracker) Tick(now time.Time) []*Member {
	woke := !t.last.IsZero() && now.Sub(t.last) > t.cfg.SuspectAfter/2
	t.last = now
	var fresh []*Member
	for _, m := range t.members {
		if woke {
			m.lastHeard = now
		}
		if !m.monitored || m.State == Suspect || m.ID == t.cfg.Self {
			continue
		}
		if now.Sub(m.lastHeard) >= t.cfg.SuspectAfter {
			m.suspect(now)
			fresh = append(fresh, m)
		}
	}
	return fresh
}
