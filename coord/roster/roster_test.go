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

func entry(id string, incarnation, beat uint64) Entry {
	return Entry{ID: coord.VMID(id), Address: id + ":1", Incarnation: incarnation, Heartbeat: beat}
}

func newRoster(id string) *Roster { return New(cfg, entry(id, 1, 0)) }

// step is one event of a table row, and the state of VM b after it.
type step struct {
	at    time.Duration
	merge *Entry // nil: a tick
	want  string // "" when b is not known
}

func say(incarnation, beat uint64) *Entry {
	e := entry("b", incarnation, beat)
	return &e
}

func leaving(incarnation, beat uint64) *Entry {
	e := say(incarnation, beat)
	e.Leaving = true
	return e
}

func TestStates(t *testing.T) {
	for _, row := range []struct {
		name  string
		steps []step
	}{
		{"joins", []step{{0, say(1, 1), "live"}}},
		{"silent, then heard", []step{
			{0, say(1, 1), "live"}, {400 * time.Millisecond, nil, "live"}, {800 * time.Millisecond, nil, "live"},
			{1100 * time.Millisecond, nil, "suspect"}, {1200 * time.Millisecond, say(1, 2), "live"},
		}},
		{"an old count does not prove life", []step{
			{0, say(1, 5), "live"}, {400 * time.Millisecond, nil, "live"}, {500 * time.Millisecond, say(1, 5), "live"}, {900 * time.Millisecond, nil, "live"},
			{1100 * time.Millisecond, nil, "suspect"}, {1200 * time.Millisecond, say(1, 4), "suspect"},
		}},
		{"starts anew with a low count", []step{{0, say(1, 9), "live"}, {100 * time.Millisecond, leaving(1, 10), "leaving"}, {200 * time.Millisecond, say(2, 1), "live"}}},
		{"an earlier start does not come back", []step{{0, leaving(2, 1), "leaving"}, {100 * time.Millisecond, say(1, 99), "leaving"}}},
		{"leaves and is forgotten", []step{
			{0, leaving(1, 1), "leaving"}, {400 * time.Millisecond, nil, "leaving"}, {800 * time.Millisecond, nil, "leaving"},
			{1100 * time.Millisecond, nil, ""}, {1200 * time.Millisecond, leaving(1, 1), ""}, {1300 * time.Millisecond, say(2, 1), "live"},
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

// hear lets b and c be heard once, then c again until the end.
func hear(r *Roster, until time.Duration) {
	r.Merge(start, []Entry{entry("b", 1, 1), entry("c", 1, 1)})
	for at := time.Duration(0); at <= until; at += 400 * time.Millisecond {
		r.Merge(start.Add(at), []Entry{entry("c", 1, 2+uint64(at))})
		r.Tick(start.Add(at))
	}
}

func TestRestartIsTold(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("b", 5, 1)})
	changes := r.Merge(start, []Entry{entry("b", 9, 1)})
	assert.Equal(t, changes[0].NewIncarnation, uint64(9))
	assert.Equal(t, len(r.Merge(start, []Entry{entry("b", 9, 2)})), 0)
}

func TestForgottenAfterLongSilence(t *testing.T) {
	r := newRoster("a")
	hear(r, cfg.ForgetAfter-time.Second)
	assert.Equal(t, r.Size(), 3, "a silent VM still counts")
	hear(r, cfg.ForgetAfter)
	assert.Equal(t, r.Size(), 2)
	r.Merge(start.Add(cfg.ForgetAfter), []Entry{entry("b", 1, 1)})
	assert.Equal(t, r.Size(), 2, "a stale copy must not bring it back")
}

func TestCutOffVMRemembersTheOthers(t *testing.T) {
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

func TestPauseProvesNothing(t *testing.T) {
	r := newRoster("a")
	r.Tick(start)
	r.Merge(start, []Entry{entry("b", 1, 1)})
	_, paused := r.Tick(start.Add(5 * time.Second))
	assert.Assert(t, paused)
	assert.Equal(t, r.Member("b").State, Live)
}

func TestMajority(t *testing.T) {
	for _, row := range []struct {
		name           string
		self           string
		heard, suspect []string
		want           bool
	}{
		{"alone", "a", nil, nil, true},
		{"two of three", "a", []string{"b"}, []string{"c"}, true},
		{"one of three", "a", nil, []string{"b", "c"}, false},
		{"half with the lowest id", "a", []string{"b"}, []string{"c", "d"}, true},
		{"half without it", "c", []string{"d"}, []string{"a", "b"}, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRoster(row.self)
			for _, id := range append(row.heard, row.suspect...) {
				r.Merge(start, []Entry{entry(id, 1, 1)})
			}
			r.Tick(start.Add(400 * time.Millisecond))
			r.Tick(start.Add(800 * time.Millisecond))
			for _, id := range row.heard {
				r.Merge(start.Add(900*time.Millisecond), []Entry{entry(id, 1, 2)})
			}
			r.Tick(start.Add(1200 * time.Millisecond))
			assert.Equal(t, r.HasMajority(), row.want)
		})
	}
}

func TestUnmetSeedsCountAsSilent(t *testing.T) {
	c := cfg
	c.Seeds = []string{"a:1", "b:1", "c:1"}
	r := New(c, entry("a", 1, 0))
	r.Tick(start.Add(400 * time.Millisecond))
	assert.Assert(t, !r.HasMajority(), "cut off since its start")
	r.Merge(start.Add(500*time.Millisecond), []Entry{entry("b", 1, 1)})
	assert.Assert(t, r.HasMajority())
}

func TestSeedsGoneForGoodDoNotBlock(t *testing.T) {
	c := cfg
	c.Seeds = []string{"b:1", "c:1"}
	r := New(c, entry("a", 1, 0))
	for at := time.Duration(0); at <= c.AbandonAfter; at += 400 * time.Millisecond {
		r.Tick(start.Add(at))
	}
	r.Tick(start.Add(c.AbandonAfter))
	assert.Assert(t, r.HasMajority())
}

func TestOutgrowsAnEarlierStart(t *testing.T) {
	r := newRoster("a")
	r.Merge(start, []Entry{entry("a", 7, 100)})
	assert.Equal(t, r.Self().Incarnation, uint64(8), "the time of day may have jumped back between two starts")
}

func TestTellLeavesOutTheSilent(t *testing.T) {
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

func TestUnchangedEntriesAreToldByTheirCount(t *testing.T) {
	a, c := newRoster("a"), newRoster("c")
	a.Merge(start, []Entry{entry("b", 1, 1)})
	whole, beats := a.Digest(start.Add(time.Second))
	assert.Equal(t, len(whole), 2)
	assert.Equal(t, len(beats), 0)
	c.Merge(start, whole)
	later := start.Add(tellWhole)
	a.Merge(later, []Entry{entry("b", 1, 7)})
	whole, beats = a.Digest(later)
	assert.Equal(t, len(whole), 1, "this VM alone")
	_, unknown := c.MergeHeartbeats(later, beats)
	assert.Assert(t, !unknown)
	assert.Equal(t, c.Member("b").Heartbeat, uint64(7))
	assert.Equal(t, c.Member("b").LastHeartbeat, later)
	_, unknown = newRoster("d").MergeHeartbeats(later, beats)
	assert.Assert(t, unknown, "d has to ask for the entry")
}

func TestCountOfAnEarlierStartTellsNothing(t *testing.T) {
	a, c := newRoster("a"), newRoster("c")
	a.Merge(start, []Entry{entry("b", 1, 50)})
	c.Merge(start, []Entry{entry("b", 2, 1)})
	_, beats := a.Digest(start.Add(tellWhole))
	_, unknown := c.MergeHeartbeats(start.Add(tellWhole), beats)
	assert.Assert(t, unknown)
	assert.Equal(t, c.Member("b").Heartbeat, uint64(1))
}

func TestLargerFleetsWaitLonger(t *testing.T) {
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

func TestStrong(t *testing.T) {
	r := New(cfg, Entry{ID: "a", Capacity: 20})
	r.Merge(start, []Entry{{ID: "b", Incarnation: 1, Capacity: 80}, {ID: "c", Incarnation: 1, Capacity: 40}, {ID: "d", Incarnation: 1, Capacity: 39}})
	var ids []coord.VMID
	for _, e := range r.LeaderCandidates() {
		ids = append(ids, e.ID)
	}
	assert.DeepEqual(t, ids, []coord.VMID{"b", "c"})
}

// TestLargeFleetFindsItself: 195 VMs that start together join through three seeds and tell
// three others each round, as the edge role does. All know all within some rounds, and what
// that takes is bounded.
func TestLargeFleetFindsItself(t *testing.T) {
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
	whole, asked, found := 0, 0, 0
	for rounds := range 30 { // quick ones, at a start
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
				entries, beats := r.Digest(now)
				whole += len(entries)
				to := fleet[index[m.ID]]
				to.Merge(now, entries)
				if _, unknown := to.MergeHeartbeats(now, beats); unknown {
					asked++
					to.Merge(now, fleet[i].Snapshot())
				}
			}
		}
		known := 0
		for _, r := range fleet {
			known += r.Size()
		}
		if known == vms*vms && found == 0 {
			found = rounds + 1
		}
	}
	t.Logf("%d rounds until all know all; %d whole entries sent by each VM, %d asked", found, whole/vms, asked)
	assert.Assert(t, found > 0 && found <= 8)
	assert.Assert(t, whole/vms < 3000 && asked < vms)
}

// TestOwnCountIsNoQuestion: what others tell of a VM reaches that VM as well.
//
// The story: a VM looked its own count up among those of the others, did not find it, and
// asked the sender for all entries, once a second on every VM: 14 KB each in a fleet of 195.
func TestOwnCountIsNoQuestion(t *testing.T) {
	a, b := newRoster("a"), newRoster("b")
	a.Merge(start, []Entry{b.Self()})
	b.Merge(start, []Entry{a.Self()})
	later := start.Add(tellWhole)
	_, beats := a.Digest(later)
	assert.Equal(t, len(beats), 1)
	_, unknown := b.MergeHeartbeats(later, beats)
	assert.Assert(t, !unknown)
}
