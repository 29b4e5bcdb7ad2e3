package scheduler

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// evicted has t0, which has one place, give up its adapter for another one. It returns the
// answer's target as it is believed after the engine said that it does not hold the adapter.
func evicted(t *testing.T, b *bench) *target {
	t.Helper()
	b.after(minResident)
	b.submit("next")
	unload := b.drain()
	assert.Assert(t, len(unload) == 1 && unload[0].Kind == ActUnload, "%v", unload)
	b.ordered(unload[0], OrderHolds)
	return b.s.targets["t0"]
}

// TestAnswerToALoadIsNoProof: an engine also answers "holds" to an order for an adapter that is
// on its way to it, and to the unload of one, and goes on loading. The place is free when a
// report says so.
func TestAnswerToALoadIsNoProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.submit("a")
	b.ordered(b.want(ActLoad)[0], OrderHolds)
	key := b.want(ActGrant)[0].Key
	b.take(b.s.Done(b.now, key, EndedAbandoned)) // its caller left: nothing ran
	b.now = b.now.Add(2 * coldLoadTime)
	got := evicted(t, b)
	assert.Equal(t, len(got.slots), 1, "the place is taken until a report says otherwise")
	b.want()
	b.after(reportLag)
	b.want(ActRead)
	b.report("t0", Report{Resident: []Holding{{Ref: base}}, Orders: 2})
	b.want(ActLoad)
}

// TestGrantOfAnotherVMIsNoProof: what an earlier scheduler granted may not have reached the
// engine, or been refused there as the load was not over.
func TestGrantOfAnotherVMIsNoProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.ticket++
	key := Key{VM: "other", Ticket: b.ticket}
	b.s.Adopt(b.now, key, "t0", ref("a"), 100, b.now.Add(time.Second))
	b.take(b.s.Done(b.now, key, EndedWithdrawn))
	assert.Equal(t, len(evicted(t, b).slots), 1)
	b.want()
}

// TestRunOfAnOlderVersionIsNoProof: the newer one that takes its place is on its way yet.
func TestRunOfAnOlderVersionIsNoProof(t *testing.T) {
	b := newBench(t, config(1), []string{"a"})
	key := b.submit("a")
	b.want(ActGrant)
	b.take(b.s.SetVersion(b.now, ref("a"), 2))
	b.ordered(b.want(ActLoad)[0], OrderBegun)
	b.s.First(b.now, key)
	b.take(b.s.Done(b.now, key, EndedOK)) // only now does the engine begin to load
	b.after(coldLoadTime + loadMargin)
	assert.Equal(t, len(evicted(t, b).slots), 1)
	b.want()
}

// TestRunIsProof: a place is free at once where a request has run since the load.
func TestRunIsProof(t *testing.T) {
	b := newBench(t, config(1), nil)
	b.submit("a")
	b.ordered(b.want(ActLoad)[0], OrderBegun)
	b.after(coldLoadTime + loadMargin)
	key := b.want(ActGrant)[0].Key
	b.s.First(b.now, key)
	b.take(b.s.Done(b.now, key, EndedOK))
	got := evicted(t, b)
	assert.Equal(t, len(got.slots), 1)
	assert.Equal(t, b.want(ActLoad)[0].Ref, ref("next"))
}
