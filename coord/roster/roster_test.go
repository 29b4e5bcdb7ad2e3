package roster

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

var (
	start = time.Unix(1_000_000, 0)
	cfg   = Config{SuspectAfter: time.Second, ForgetAfter: 10 * time.Second, AbandonAfter: time.Minute, Start: start}
)

func entry(id string, incarnation, heartbeat uint64) Entry {
	return Entry{ID: coord.VMID(id), Address: id + ":1", Incarnation: incarnation, Heartbeat: heartbeat}
}

func newRoster(id string) *Roster { return New(cfg, entry(id, 1, 0)) }

// step is one event of a table row and the expected state of VM b after it.
type step struct {
	at    time.Duration
	merge *Entry // nil: a tick
	want  string // "": b is not part of the fleet
}

// liveEntry returns an entry of VM b.
func liveEntry(incarnation, heartbeat uint64) *Entry {
	e := entry("b", incarnation, heartbeat)
	return &e
}

// leavingEntry returns an entry of VM b that announces that it is leaving.
func leavingEntry(incarnation, heartbeat uint64) *Entry {
	e := liveEntry(incarnation, heartbeat)
	e.Leaving = true
	return e
}

func TestStateTransitions(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []step
	}{
		{"joins", []step{{0, liveEntry(1, 1), "live"}}},
		{"unresponsive, then responsive", []step{
			{0, liveEntry(1, 1), "live"}, {400 * time.Millisecond, nil, "live"}, {800 * time.Millisecond, nil, "live"},
			{1100 * time.Millisecond, nil, "suspect"}, {1200 * time.Millisecond, liveEntry(1, 2), "live"},
		}},
		{"an old count is not a heartbeat", []step{
			{0, liveEntry(1, 5), "live"}, {400 * time.Millisecond, nil, "live"}, {500 * time.Millisecond, liveEntry(1, 5), "live"}, {900 * time.Millisecond, nil, "live"},
			{1100 * time.Millisecond, nil, "suspect"}, {1200 * time.Millisecond, liveEntry(1, 4), "suspect"},
		}},
		{"restarts with a low count", []step{{0, liveEntry(1, 9), "live"}, {100 * time.Millisecond, leavingEntry(1, 10), "leaving"}, {200 * time.Millisecond, liveEntry(2, 1), "live"}}},
		{"an entry of an earlier incarnation is ignored", []step{{0, leavingEntry(2, 1), "leaving"}, {100 * time.Millisecond, liveEntry(1, 99), "leaving"}}},
		{"leaves and is forgotten", []step{
			{0, leavingEntry(1, 1), "leaving"}, {400 * time.Millisecond, nil, "leaving"}, {800 * time.Millisecond, nil, "leaving"},
			{1100 * time.Millisecond, nil, ""}, {1200 * time.Millisecond, leavingEntry(1, 1), ""}, {1300 * time.Millisecond, liveEntry(2, 1), "live"},
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRoster("a")
			for i, s := range row.steps {
				if s.merge != nil {
					r.Merge(start.Add(s.at), []Entry{*s.merge})
				} else {
					r.Tick(start.Add(s.at))
				}
				got := ""
				if m := r.Member("b"); m != nil {
					got = m.State.String()
				}
				assert.Equal(t, got, s.want, "step %d", i)
			}
		})
	}
}

// mergeHeartbeatsFromC merges one entry of b, and entries of c with growing heartbeat counts
// until the given time.
func mergeHeartbeatsFromC(r *Roster, until time.Duration) {
	r.Merge(start, []Entry{entry("b", 1, 1), entry("c", 1, 1)})
	for at := time.Duration(0); at <= until; at += 400 * time.Millisecond {
		r.Merge(start.Add(at), []Entry{entry("c", 1, 2+uint64(at))})
		r.Tick(start.Add(at))
	}
}

func TestRestartIsReported(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("b", 5, 1)})
	changes := r.Merge(start, []Entry{entry("b", 9, 1)})
	assert.Equal(t, changes[0].NewIncarnation, uint64(9))
	assert.Equal(t, len(r.Merge(start, []Entry{entry("b", 9, 2)})), 0)
}

func TestUnresponsiveVMIsForgotten(t *testing.T) {
	r := newRoster("a")
	mergeHeartbeatsFromC(r, cfg.ForgetAfter-time.Second)
	assert.Equal(t, r.Size(), 3, "an unresponsive VM still counts")
	mergeHeartbeatsFromC(r, cfg.ForgetAfter)
	assert.Equal(t, r.Size(), 2)
	r.Merge(start.Add(cfg.ForgetAfter), []Entry{entry("b", 1, 1)})
	assert.Equal(t, r.Size(), 2, "a stale copy must not bring it back")
}

func TestIsolatedVMKeepsMembersUntilAbandonAfter(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("b", 1, 1), entry("c", 1, 1)})
	for at := time.Duration(0); at < cfg.AbandonAfter; at += 400 * time.Millisecond {
		r.Tick(start.Add(at))
	}
	assert.Equal(t, r.Size(), 3)
	assert.Assert(t, !r.HasMajority())
	r.Tick(start.Add(cfg.AbandonAfter))
	assert.Equal(t, r.Size(), 1)
}

func TestSuspensionDoesNotMakeOthersSuspect(t *testing.T) {
	r := newRoster("a")
	r.Tick(start)
	r.Merge(start, []Entry{entry("b", 1, 1)})
	_, suspended := r.Tick(start.Add(5 * time.Second))
	assert.Assert(t, suspended)
	assert.Equal(t, r.Member("b").State, Live)
}

func TestMajority(t *testing.T) {
	for _, row := range []struct {
		name                string
		self                string
		responsive, suspect []string
		want                bool
	}{
		{"alone", "a", nil, nil, true},
		{"two of three", "a", []string{"b"}, []string{"c"}, true},
		{"one of three", "a", nil, []string{"b", "c"}, false},
		{"half with the lowest id", "a", []string{"b"}, []string{"c", "d"}, true},
		{"half without it", "c", []string{"d"}, []string{"a", "b"}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRoster(row.self)
			for _, id := range append(row.responsive, row.suspect...) {
				r.Merge(start, []Entry{entry(id, 1, 1)})
			}
			r.Tick(start.Add(400 * time.Millisecond))
			r.Tick(start.Add(800 * time.Millisecond))
			for _, id := range row.responsive {
				r.Merge(start.Add(900*time.Millisecond), []Entry{entry(id, 1, 2)})
			}
			r.Tick(start.Add(1200 * time.Millisecond))
			assert.Equal(t, r.HasMajority(), row.want)
		})
	}
}

func TestUnseenSeedsCountAsUnresponsive(t *testing.T) {
	c := cfg
	c.Seeds = []string{"a:1", "b:1", "c:1"}
	r := New(c, entry("a", 1, 0))
	r.Tick(start.Add(400 * time.Millisecond))
	assert.Assert(t, !r.HasMajority(), "isolated since its start")
	r.Merge(start.Add(500*time.Millisecond), []Entry{entry("b", 1, 1)})
	assert.Assert(t, r.HasMajority())
}

func TestLostSeedsDoNotPreventMajority(t *testing.T) {
	c := cfg
	c.Seeds = []string{"b:1", "c:1"}
	r := New(c, entry("a", 1, 0))
	for at := time.Duration(0); at <= c.AbandonAfter; at += 400 * time.Millisecond {
		r.Tick(start.Add(at))
	}
	r.Tick(start.Add(c.AbandonAfter))
	assert.Assert(t, r.HasMajority())
}

// TestNewSeedsReplaceTheMissing guards against a fleet that waits for seeds which its settings no longer name.
func TestNewSeedsReplaceTheMissing(t *testing.T) {
	c := cfg
	c.Seeds = []string{"x:1", "y:1", "z:1"}
	r := New(c, entry("a", 1, 0))
	r.Merge(start, []Entry{entry("b", 1, 1), entry("c", 1, 1)})
	assert.Equal(t, r.Majority(), MajorityOfSeen)
	r.SetSeeds([]string{"a:1", "b:1", "new:1"})
	assert.Equal(t, r.Majority(), MajorityOfAll, "three of four")
	r.SetSeeds([]string{"n:1", "o:1", "p:1"})
	assert.Equal(t, r.Majority(), MajorityOfSeen, "three of six")
	assert.DeepEqual(t, r.LostAddresses(), []string{"new:1", "x:1", "y:1", "z:1"})
}

// TestAddressesOfLostVMsAreKept guards against VMs that restart while their seeds are down and are found by
// nobody, because the others have forgotten them.
func TestAddressesOfLostVMsAreKept(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("b", 1, 1), *leavingEntry(1, 1), entry("d", 1, 1)})
	mergeHeartbeatsFromC(r, cfg.SuspectAfter+400*time.Millisecond)
	assert.DeepEqual(t, r.LostAddresses(), []string{"b:1", "d:1"})
	mergeHeartbeatsFromC(r, cfg.ForgetAfter+time.Second)
	assert.DeepEqual(t, r.LostAddresses(), []string{"b:1", "d:1"}) // forgotten
	r.Merge(start.Add(cfg.ForgetAfter), []Entry{entry("b", 2, 1)})
	assert.DeepEqual(t, r.LostAddresses(), []string{"d:1"})
}

func TestIncarnationExceedsEarlierProcess(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("a", 7, 100)})
	assert.Equal(t, r.Self().Incarnation, uint64(8), "the time of day may have jumped back between two starts")
}

func TestSnapshotOmitsUnresponsiveVMs(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("b", 1, 1), entry("c", 1, 1)})
	for _, at := range []time.Duration{400, 800, 1200} {
		r.Merge(start.Add(at*time.Millisecond), []Entry{entry("c", 1, uint64(at))})
		r.Tick(start.Add(at * time.Millisecond))
	}
	assert.Equal(t, len(r.Snapshot()), 2, "this VM and c")
	live := r.Live()
	assert.Equal(t, len(live), 2)
	assert.Equal(t, live[1].ID, coord.VMID("c"))
}

func TestUnchangedEntriesAreSentAsCounts(t *testing.T) {
	a, c := newRoster("a"), newRoster("c")
	a.Merge(start, []Entry{entry("b", 1, 1)})
	entries, heartbeats := a.Digest(start.Add(time.Second))
	assert.Equal(t, len(entries), 2)
	assert.Equal(t, len(heartbeats), 0)
	c.Merge(start, entries)
	later := start.Add(fullEntryPeriod)
	a.Merge(later, []Entry{entry("b", 1, 7)})
	entries, heartbeats = a.Digest(later)
	assert.Equal(t, len(entries), 1, "this VM alone")
	_, unknown := c.MergeHeartbeats(later, heartbeats)
	assert.Assert(t, !unknown)
	assert.Equal(t, c.Member("b").Heartbeat, uint64(7))
	assert.Equal(t, c.Member("b").LastHeartbeat, later)
	_, unknown = newRoster("d").MergeHeartbeats(later, heartbeats)
	assert.Assert(t, unknown, "d has to request the entry")
}

func TestCountOfEarlierIncarnationIsUnknown(t *testing.T) {
	a, c := newRoster("a"), newRoster("c")
	a.Merge(start, []Entry{entry("b", 1, 50)})
	c.Merge(start, []Entry{entry("b", 2, 1)})
	_, heartbeats := a.Digest(start.Add(fullEntryPeriod))
	_, unknown := c.MergeHeartbeats(start.Add(fullEntryPeriod), heartbeats)
	assert.Assert(t, unknown)
	assert.Equal(t, c.Member("b").Heartbeat, uint64(1))
}

func TestSuspectTimeoutGrowsWithFleetSize(t *testing.T) {
	c := cfg
	c.SuspectGrowth = 300 * time.Millisecond
	for size, want := range map[int]time.Duration{1: 0, 8: 0, 9: 1, 16: 1, 17: 2, 91: 4, 330: 6} {
		r := New(c, entry("a", 1, 0))
		for i := 1; i < size; i++ {
			r.Merge(start, []Entry{entry(fmt.Sprint(i), 1, 1)})
		}
		assert.Equal(t, r.SuspectAfter(), c.SuspectAfter+want*c.SuspectGrowth, "%d VMs", size)
	}
}

// Guards against a leader of 0.48 cores beside VMs of 0.8 cores, which needs several times as long
// for its decisions.
func TestLeaderCandidatesHaveEnoughCapacity(t *testing.T) {
	r := New(cfg, Entry{ID: "a", Capacity: 20})
	r.Merge(start, []Entry{
		{ID: "b", Incarnation: 1, Capacity: 80}, {ID: "c", Incarnation: 1, Capacity: 60},
		{ID: "d", Incarnation: 1, Capacity: 59}, {ID: "e", Incarnation: 1, Capacity: 39},
	})
	assert.DeepEqual(t, ids(r.LeaderCandidates()), []coord.VMID{"b", "c"})
	assert.DeepEqual(t, ids(r.CapableVMs()), []coord.VMID{"b", "c", "d"})
	for after := time.Duration(0); after < 2*cfg.SuspectAfter; after += cfg.SuspectAfter / 4 {
		r.Merge(start.Add(after), []Entry{{ID: "d", Incarnation: 1, Heartbeat: uint64(after), Capacity: 59}})
		r.Tick(start.Add(after))
	}
	assert.DeepEqual(t, ids(r.LeaderCandidates()), []coord.VMID{"d"})
}

func ids(entries []Entry) []coord.VMID {
	var out []coord.VMID
	for _, e := range entries {
		out = append(out, e.ID)
	}
	return out
}

func TestIsolatedVMsAreNoLeaderCandidates(t *testing.T) {
	r := New(cfg, Entry{ID: "a", Capacity: 30})
	r.Merge(start, []Entry{{ID: "b", Incarnation: 1, Capacity: 80, Isolated: true}, {ID: "c", Incarnation: 1, Capacity: 25}, {ID: "d", Incarnation: 1, Capacity: 20}})
	assert.DeepEqual(t, ids(r.LeaderCandidates()), []coord.VMID{"a", "c"})
	assert.DeepEqual(t, ids(r.CapableVMs()), []coord.VMID{"b"})
	assert.Equal(t, r.ConnectedCount(), 3)
	r.SetIsolated(true)
	assert.DeepEqual(t, ids(r.LeaderCandidates()), []coord.VMID{"c", "d"})
	r.Merge(start, []Entry{{ID: "c", Incarnation: 1, Heartbeat: 1, Capacity: 25, Isolated: true}, {ID: "d", Incarnation: 1, Heartbeat: 1, Capacity: 20, Isolated: true}})
	assert.DeepEqual(t, ids(r.LeaderCandidates()), []coord.VMID{"b"})
	assert.Equal(t, r.ConnectedCount(), 1)
}

func TestIsolationIsSentInFull(t *testing.T) {
	a, c := newRoster("a"), newRoster("c")
	isolated := entry("b", 1, 2)
	isolated.Isolated = true
	a.Merge(start, []Entry{entry("b", 1, 1)})
	c.Merge(start, []Entry{entry("b", 1, 1)})
	later := start.Add(fullEntryPeriod)
	a.Merge(later, []Entry{isolated})
	entries, _ := a.Digest(later)
	c.Merge(later, entries)
	assert.Assert(t, c.Member("b").Isolated)
	leaving := entry("b", 1, 2)
	leaving.Leaving = true
	assert.Assert(t, isolated.digest() != leaving.digest())
	assert.Assert(t, isolated.digest() != entry("b", 1, 2).digest())
}

// TestLargeFleetConverges starts 195 VMs together. They join through three seeds and send to
// three other VMs in each round, as the edge role does. Within a bounded number of rounds
// every VM must know all others, and the number of entries sent must be bounded.
func TestLargeFleetConverges(t *testing.T) {
	const (
		vms    = 195
		fanout = 3
		round  = 50 * time.Millisecond
	)
	rng := rand.New(rand.NewPCG(1, 2))
	var fleet []*Roster
	index := map[coord.VMID]int{}
	for i := range vms {
		e := entry(fmt.Sprintf("vm%d", i), 1, 0)
		index[e.ID] = i
		fleet = append(fleet, New(cfg, e))
	}
	now := start
	fullEntries, requested, convergedAfter := 0, 0, 0
	for rounds := range 30 { // short rounds, as after a start
		now = now.Add(round)
		for i, r := range fleet {
			for _, seed := range fleet[:3] {
				if seed != r && r.Member(seed.Self().ID) == nil { // joins
					seed.Merge(now, r.Snapshot())
					r.Merge(now, seed.Snapshot())
				}
			}
			r.Tick(now)
			members := r.Members()
			rng.Shuffle(len(members), func(a, b int) { members[a], members[b] = members[b], members[a] })
			for _, m := range members[:min(fanout, len(members))] {
				entries, heartbeats := r.Digest(now)
				fullEntries += len(entries)
				receiver := fleet[index[m.ID]]
				receiver.Merge(now, entries)
				if _, unknown := receiver.MergeHeartbeats(now, heartbeats); unknown {
					requested++
					receiver.Merge(now, fleet[i].Snapshot())
				}
			}
		}
		known := 0
		for _, r := range fleet {
			known += r.Size()
		}
		if known == vms*vms && convergedAfter == 0 {
			convergedAfter = rounds + 1
		}
	}
	t.Logf("%d rounds until every VM knows all others; %d full entries sent by each VM, %d snapshots requested", convergedAfter, fullEntries/vms, requested)
	assert.Assert(t, convergedAfter > 0 && convergedAfter <= 8)
	assert.Assert(t, fullEntries/vms < 3000 && requested < vms)
}

// TestOwnCountIsNotUnknown checks that a VM recognizes its own heartbeat count when another
// VM sends it. A VM looked up its own count among those of the other VMs, did not find it,
// and requested all entries from the sender: once a second on every VM, 14 KB each time in
// a fleet of 195 VMs.
func TestOwnCountIsNotUnknown(t *testing.T) {
	a, b := newRoster("a"), newRoster("b")
	a.Merge(start, []Entry{b.Self()})
	b.Merge(start, []Entry{a.Self()})
	later := start.Add(fullEntryPeriod)
	_, heartbeats := a.Digest(later)
	assert.Equal(t, len(heartbeats), 1)
	_, unknown := b.MergeHeartbeats(later, heartbeats)
	assert.Assert(t, !unknown)
}
