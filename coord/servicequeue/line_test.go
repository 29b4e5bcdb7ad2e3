package servicequeue

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord/balance"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// bench drives a Line with two targets of two slots each.
type bench struct {
	l    *Queue
	now  time.Time
	next uint64
}

func newBench() *bench {
	b := &bench{l: New(), now: start}
	b.l.SetTargets(start, []Target{{ID: "a", Zone: "za", Slots: 2}, {ID: "b", Zone: "zb", Slots: 2}})
	return b
}

func (b *bench) submit(priority int, inTime, deadline time.Duration, exclude ...string) (Key, []Action) {
	b.next++
	k := Key{VM: "vm", Ticket: b.next}
	return k, b.l.Submit(b.now, Request{
		Key: k, Zone: "za", Priority: priority, Exclude: exclude, SoftDeadline: b.now.Add(inTime), Deadline: b.now.Add(deadline),
	})
}

func TestTargetsAreFilledAndNoMore(t *testing.T) {
	b := newBench()
	count := map[string]int{}
	var keys []Key
	for range 6 {
		k, acts := b.submit(0, time.Second, 3*time.Second)
		assert.Equal(t, len(acts), 1)
		count[acts[0].Target]++
		keys = append(keys, k)
	}
	assert.DeepEqual(t, count, map[string]int{"a": 3, "b": 3})
	waits, acts := b.submit(0, time.Second, 3*time.Second)
	assert.Equal(t, len(acts), 0, "it waits")
	acts = b.l.Done(b.now, keys[2], balance.OK, 40*time.Millisecond)
	assert.Equal(t, acts[0].Key, waits)
	assert.Assert(t, acts[0].Target != "")
}

// TestWhoGoesFirst: those in time by priority and age, then the late.
func TestWhoGoesFirst(t *testing.T) {
	b := newBench()
	var running []Key
	for range 6 {
		k, _ := b.submit(0, time.Second, 3*time.Second)
		running = append(running, k)
	}
	late, _ := b.submit(0, 0, 3*time.Second)
	second, _ := b.submit(2, time.Second, 3*time.Second)
	third, _ := b.submit(2, time.Second, 3*time.Second)
	first, _ := b.submit(1, time.Second, 3*time.Second)
	var order []Key
	for i, k := range running[:4] {
		acts := b.l.Done(at(20+i), k, balance.OK, 20*time.Millisecond)
		assert.Equal(t, len(acts), 1)
		order = append(order, acts[0].Key)
	}
	assert.DeepEqual(t, order, []Key{first, second, third, late})
}

// TestRefusedAtOnce: what cannot be served in its time does not wait for it.
func TestRefusedAtOnce(t *testing.T) {
	b := newBench()
	for range 6 {
		b.submit(0, time.Second, 3*time.Second)
	}
	for range 20 {
		b.submit(0, time.Second, 3*time.Second)
	}
	_, acts := b.submit(1, 300*time.Millisecond, 200*time.Millisecond)
	assert.Equal(t, acts[0].Reason, ReasonQueueTooLong)
	assert.Assert(t, acts[0].RetryAfter >= 200*time.Millisecond && acts[0].RetryAfter <= mostPause, "%v", acts[0].RetryAfter)
	_, acts = b.submit(0, time.Second, 3*time.Second, "a", "b")
	assert.Equal(t, acts[0].Reason, ReasonNoTarget)
}

func TestWaitingRequestIsWithdrawn(t *testing.T) {
	b := newBench()
	var running []Key
	for range 6 {
		k, _ := b.submit(0, time.Second, 3*time.Second)
		running = append(running, k)
	}
	left, _ := b.submit(0, time.Second, 3*time.Second)
	stays, _ := b.submit(0, time.Second, 3*time.Second)
	b.l.Done(b.now, left, balance.Abandoned, 0)
	acts := b.l.Done(b.now, running[0], balance.OK, time.Millisecond)
	assert.Equal(t, acts[0].Key, stays)
}

// TestSilentVMsRequestsAreForgotten: also those of one that started anew, and of one that
// died unseen.
func TestSilentVMsRequestsAreForgotten(t *testing.T) {
	b := newBench()
	for range 6 {
		b.submit(0, time.Second, 3*time.Second)
	}
	b.l.RemoveVM(b.now, "vm", 3)
	assert.Equal(t, b.l.Stats().Running, 4)
	b.l.RemoveVM(b.now, "other", 1000)
	assert.Equal(t, b.l.Stats().Running, 4)
	b.l.Tick(b.now.Add(3*time.Second + 2*expireAfter))
	assert.Equal(t, b.l.Stats().Running, 0)
}

// TestFailingTargetIsLeftAlone while others have no room: requests wait for those.
func TestFailingTargetIsLeftAlone(t *testing.T) {
	b := newBench()
	k, acts := b.submit(0, time.Second, 3*time.Second)
	bad := acts[0].Target
	b.l.Done(b.now, k, balance.Unreachable, 0)
	for range 3 {
		_, acts = b.submit(0, time.Second, 3*time.Second)
		assert.Assert(t, acts[0].Target != bad)
	}
	_, acts = b.submit(0, time.Second, 3*time.Second)
	assert.Equal(t, len(acts), 0)
	other := map[string]string{"a": "b", "b": "a"}[bad]
	_, acts = b.submit(0, time.Second, 3*time.Second, other)
	assert.Equal(t, acts[0].Target, bad, "there is no other")
}

// TestTargetsThatTurnAway what waits there get as many as they work on.
func TestTargetsThatTurnAway(t *testing.T) {
	b := newBench()
	var keys []Key
	for range 6 {
		k, acts := b.submit(0, time.Second, 3*time.Second)
		assert.Assert(t, acts[0].Target != "")
		keys = append(keys, k)
	}
	assert.Equal(t, b.l.Stats().Limit, 6)
	b.l.Done(b.now, keys[5], balance.Busy, 0)
	assert.Equal(t, b.l.Stats().Limit, 4)
}
