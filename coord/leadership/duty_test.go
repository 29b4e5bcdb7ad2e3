package leadership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/roster"
)

const (
	lease   = 3 * time.Second
	step    = 200 * time.Millisecond
	suspect = 1200 * time.Millisecond
	forget  = 15 * time.Second
	abandon = 80 * time.Second
)

var start = time.Unix(1_000_000, 0)

func newRoster(id string, incarnation uint64) *roster.Roster {
	return startRoster(start, id, incarnation, nil)
}

func startRoster(at time.Time, id string, incarnation uint64, seeds []string) *roster.Roster {
	return roster.New(
		roster.Config{SuspectAfter: suspect, ForgetAfter: forget, AbandonAfter: abandon, Seeds: seeds, Start: at},
		roster.Entry{ID: coord.VMID(id), Address: id, Incarnation: incarnation})
}

func TestTakesAfterTheLease(t *testing.T) {
	r := newRoster("a", 1)
	m := New(start, "a", "orders", lease, false)
	assert.Assert(t, !m.Update(start, r))
	assert.Equal(t, m.Leader(), coord.VMID(""), "it may not know the others yet")
	assert.Assert(t, !m.Update(start.Add(settleTime), r))
	assert.Equal(t, m.Leader(), coord.VMID("a"), "asked for decisions before it may order")
	assert.Assert(t, !m.Update(start.Add(lease-1), r))
	assert.Assert(t, m.Update(start.Add(lease), r))
	assert.Equal(t, m.FencingToken(), uint64(0), "no orders before the number is known")
	m.Acquire(start.Add(lease), 50, true)
	assert.Equal(t, m.FencingToken()>>tieBits, uint64(50))
}

func TestTakeFails(t *testing.T) {
	r := newRoster("a", 1)
	m := New(start, "a", "orders", lease, false)
	m.Update(start, r)
	assert.Assert(t, m.Update(start.Add(lease), r))
	m.Acquire(start.Add(lease), 0, false)
	assert.Equal(t, m.Phase(), Waiting)
	assert.Assert(t, m.Update(start.Add(lease+step), r), "asked again")
}

// TestTakesWithoutTheStore: the holder leaves while the store is down.
func TestTakesWithoutTheStore(t *testing.T) {
	const heard = uint64(7)<<tieBits | 9
	for _, row := range []struct {
		name    string
		checked bool
		heard   uint64 // a claim of the VM before
		want    bool
	}{
		{"engines check numbers", true, heard, true},
		{"engines do not check: a lower number would break the order", false, heard, false},
		{"no number is known: it could be below those used before", true, 0, false},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRoster("a", 1)
			m := New(start, "a", "orders", lease, row.checked)
			r.Merge(start, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 1, FencingToken: row.heard, Leaving: true}})
			m.Update(start, r)
			r.Merge(start, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 2, Leaving: true}})
			at := start.Add(lease)
			for range 10 * maxUnread {
				if at = at.Add(step); m.Update(at, r) {
					m.Acquire(at, 0, false)
				}
			}
			assert.Equal(t, m.FencingToken() != 0, row.want)
			if row.want {
				assert.Assert(t, m.FencingToken() > row.heard)
			}
		})
	}
}

func TestOneLostAnswerOfTheStoreIsAskedForAgain(t *testing.T) {
	r := newRoster("a", 1)
	m := New(start, "a", "orders", lease, true)
	r.Merge(start, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 1, FencingToken: 1 << 20, Leaving: true}})
	m.Update(start, r)
	at := start
	for !m.Update(at, r) {
		at = at.Add(step)
		r.Merge(at, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 2, Leaving: true}})
	}
	m.Acquire(at, 0, false)
	assert.Equal(t, m.Phase(), Waiting)
	assert.Assert(t, m.Update(at.Add(step), r))
	m.Acquire(at.Add(step), 50, true)
	assert.Equal(t, m.FencingToken()>>tieBits, uint64(50))
}

func TestEvents(t *testing.T) {
	for _, row := range []struct {
		name string
		do   func(m *Machine, r *roster.Roster, at time.Time)
		want Phase
	}{
		{"keeps it", func(*Machine, *roster.Roster, time.Time) {}, Leading},
		{"a higher claim", func(_ *Machine, r *roster.Roster, at time.Time) {
			r.Merge(at, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 1, FencingToken: 1 << 40}})
		}, Idle},
		{"a lower claim", func(_ *Machine, r *roster.Roster, at time.Time) {
			r.Merge(at, []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 1, FencingToken: 1}})
		}, Leading},
		{"an engine saw a higher number", func(m *Machine, _ *roster.Roster, _ time.Time) { m.HandleRejection(m.FencingToken()) }, Waiting},
		{"a refusal of an earlier number", func(m *Machine, _ *roster.Roster, _ time.Time) { m.HandleRejection(m.FencingToken() - 1) }, Leading},
		{"this VM stood still", func(m *Machine, _ *roster.Roster, at time.Time) { m.HandleSuspension(at) }, Waiting},
		{"this VM leaves", func(_ *Machine, r *roster.Roster, _ time.Time) { r.SetLeaving() }, Idle},
		{"out of touch with most", func(_ *Machine, r *roster.Roster, at time.Time) {
			r.Merge(at.Add(-suspect), []roster.Entry{{ID: "b", Incarnation: 1, Heartbeat: 1}, {ID: "c", Incarnation: 1, Heartbeat: 1}})
			for t := at.Add(-suspect); !t.After(at); t = t.Add(step) {
				r.Tick(t)
			}
		}, Idle},
	} {
		t.Run(row.name, func(t *testing.T) {
			r := newRoster("a", 1)
			m := New(start, "a", "orders", lease, false)
			m.Update(start, r)
			m.Update(start.Add(lease), r)
			m.Acquire(start.Add(lease), 50, true)
			at := start.Add(lease + 2*suspect)
			row.do(m, r, at)
			m.Update(at, r)
			if row.want == Waiting && m.Phase() == Idle {
				m.Update(at, r)
			}
			assert.Equal(t, m.Phase(), row.want)
			assert.Equal(t, m.FencingToken() != 0, row.want == Leading)
		})
	}
}

func TestNumberIsNotUsedAgain(t *testing.T) {
	r := newRoster("a", 1)
	m := New(start, "a", "orders", lease, false)
	m.Update(start, r)
	m.Update(start.Add(lease), r)
	m.Acquire(start.Add(lease), 50, true)
	first := m.FencingToken()
	m.HandleRejection(first)
	at := start.Add(lease)
	for !m.Update(at, r) {
		at = at.Add(step)
	}
	m.Acquire(at, 50, true) // the store has not changed meanwhile
	assert.Assert(t, m.FencingToken() > first)
}

// world is a fleet in virtual time for the random schedules.
type world struct {
	rng      *rand.Rand
	now      time.Time
	revision uint64
	vms      []*vm
	cut      map[int]bool // VMs that reach no other
}

type vm struct {
	id          string
	incarnation uint64
	up          bool
	downTill    time.Time
	r           *roster.Roster
	m           *Machine
}

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: start, revision: 10, cut: map[int]bool{}}
	for i := range n {
		v := &vm{id: fmt.Sprintf("vm%d", i)}
		w.vms = append(w.vms, v)
		w.startVM(v)
	}
	return w
}

func (w *world) startVM(v *vm) {
	v.incarnation++
	v.up = true
	v.r = startRoster(w.now, v.id, v.incarnation, []string{"vm0", "vm1", "vm2"})
	v.m = New(w.now, coord.VMID(v.id), "orders", lease, false)
}

// step moves time on, exchanges heartbeats as far as cuts allow, and lets every
// machine look.
func (w *world) step() {
	w.now = w.now.Add(step)
	if w.rng.IntN(3) == 0 {
		w.revision++
	}
	for i, v := range w.vms {
		if !v.up && !w.now.Before(v.downTill) {
			w.startVM(v)
		}
		if !v.up {
			continue
		}
		v.r.Tick(w.now)
		for j, other := range w.vms {
			if i != j && other.up && !w.cut[i] && !w.cut[j] {
				other.r.Merge(w.now, v.r.Snapshot())
			}
		}
	}
	for _, v := range w.vms {
		if !v.up {
			continue
		}
		if v.m.Update(w.now, v.r) {
			v.m.Acquire(w.now, w.revision, w.rng.IntN(4) > 0)
		}
		v.r.SetFencingToken(v.m.FencingToken())
	}
}

func (w *world) fault() {
	switch w.rng.IntN(40) {
	case 0:
		v := w.vms[w.rng.IntN(len(w.vms))]
		v.up = false
		v.downTill = w.now.Add(time.Duration(1+w.rng.IntN(20)) * step)
	case 1:
		w.cut[w.rng.IntN(len(w.vms))] = true
	case 2, 3:
		clear(w.cut)
	}
}

func (w *world) holders() []*vm {
	var out []*vm
	for _, v := range w.vms {
		if v.up && v.m.FencingToken() != 0 {
			out = append(out, v)
		}
	}
	return out
}

// TestOneHolder plays random kills and VMs that are cut off, with the whole lease
// as the wait: two VMs never order at once, and the revisions in their numbers do
// not fall. Not covered: a holder that is cut off before any other VM heard its
// number, followed by one that reads the same revision, may have the higher
// tie-break (engines that check numbers refuse the second, which then takes a
// higher one); and several VMs that start anew in one part of a split fleet
// with most of the seeds; they cannot know how many others there are.
func TestOneHolder(t *testing.T) {
	for seed := range uint64(150) {
		w := newWorld(seed, 3+int(seed%5))
		highest := uint64(0)
		for i := range 400 {
			w.fault()
			w.step()
			holders := w.holders()
			assert.Assert(t, len(holders) <= 1, "seed %d, step %d: %d holders", seed, i, len(holders))
			if len(holders) == 1 {
				fence := holders[0].m.FencingToken()
				assert.Assert(t, fence>>tieBits >= highest>>tieBits, "seed %d, step %d: number %d after %d", seed, i, fence, highest)
				highest = max(highest, fence)
			}
		}
	}
}

// TestSomebodyHolds shows that the duty is taken again after faults end.
func TestSomebodyHolds(t *testing.T) {
	for seed := range uint64(50) {
		w := newWorld(seed, 3+int(seed%5))
		for range 200 {
			w.fault()
			w.step()
		}
		clear(w.cut)
		for range int((lease+abandon)/step) + 20 {
			w.step()
		}
		assert.Equal(t, len(w.holders()), 1, "seed %d", seed)
	}
}
