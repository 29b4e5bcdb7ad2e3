package promptpart

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func id(name string) ID { return ID{Service: "s", Part: name} }

// crashUnder records that a request with the given parts crashed a target.
func crashUnder(t *Table, ms int, target string, ids ...ID) {
	t.Requested(at(ms), ids)
	t.Started(at(ms), ids, target)
	t.Ended(ids, target)
	t.Confirm(at(ms), &Crash{Target: target, At: at(ms)}, [][]ID{ids})
}

// blockedTable returns a Table of a VM that blocks the given parts, under which targets 0 to 2 crashed until 2 s.
func blockedTable(ids ...ID) *Table {
	table := New()
	for i := range blockAfter {
		crashUnder(table, 1000*i, fmt.Sprint(i), ids...)
	}
	return table
}

func reasonFor(t *Table, ms int, ids ...ID) string {
	reason, _ := t.Check(at(ms), ids)
	return reason
}

// TestWiderPartIsNotBlocked guards against a route that stops because all requests with a crashing part have
// its first part too, and none of the others survived since.
func TestWiderPartIsNotBlocked(t *testing.T) {
	route, crashing := id("route"), id("crashing")
	table := New()
	for i := range blockAfter {
		beside := [][]ID{{route}, {route, crashing}, {route}}
		for _, ids := range beside {
			table.Requested(at(1000*i), ids)
		}
		table.Confirm(at(1000*i+100), &Crash{Target: fmt.Sprint(i), At: at(1000*i + 100)}, beside)
	}
	assert.Equal(t, reasonFor(table, 4000, route, crashing), ReasonBlocked)
	assert.Equal(t, reasonFor(table, 4000, route), "")
	_, restricted := table.AllowedTargets([]ID{route})
	assert.Assert(t, !restricted, "the crashes of the route are explained")
	crashUnder(table, 5000, "another", route)
	assert.Equal(t, reasonFor(table, 5100, route), "", "one crash without the blocked part")
}

// TestPartsThatNothingTellsApartAreBlockedTogether guards against a crashing part that goes on because another
// one, which only its requests have, is blocked in its place.
func TestPartsThatNothingTellsApartAreBlockedTogether(t *testing.T) {
	crashing, beside := id("crashing"), id("beside")
	table := blockedTable(crashing, beside)
	assert.Equal(t, reasonFor(table, 4000, crashing), ReasonBlocked)
	assert.Equal(t, reasonFor(table, 4000, beside), ReasonBlocked)
	for range 3 {
		table.Requested(at(4100), []ID{beside})
	}
	table.Tick(at(4200))
	assert.Equal(t, reasonFor(table, 4200, beside), "", "more requests have it now")
	assert.Equal(t, reasonFor(table, 4200, crashing), ReasonBlocked)
}

// TestCrashesAtOneMomentCountOnce guards against parts that are blocked because a rack fails.
func TestCrashesAtOneMomentCountOnce(t *testing.T) {
	part := id("part")
	table := New()
	for i := range 6 {
		crashUnder(table, 10*i, fmt.Sprint(i), part)
	}
	assert.Equal(t, reasonFor(table, 1000, part), "")
}

// TestBlockEndsWithTrial checks that one request may run after a block, that a crash of its target makes the
// next block longer, and that its survival ends the evidence.
func TestBlockEndsWithTrial(t *testing.T) {
	part := id("part")
	table := blockedTable(part)
	_, remaining := table.Check(at(2000), []ID{part})
	assert.Equal(t, remaining, newPartBlock)
	now := at(2000).Add(newPartBlock)
	assert.Equal(t, reasonFor(table, int(now.Sub(start).Milliseconds()), part), "")
	table.Started(now, []ID{part}, "x")
	reason, _ := table.Check(now, []ID{part})
	assert.Equal(t, reason, ReasonSuspect, "one trial at a time")
	table.Ended([]ID{part}, "x")
	table.Confirm(now, &Crash{Target: "x", At: now}, [][]ID{{part}})
	_, remaining = table.Check(now, []ID{part})
	assert.Equal(t, remaining, 2*newPartBlock)
	assert.Equal(t, len(table.TakeChanges(now, true)), 1)
	later := now.Add(2 * newPartBlock)
	table.Started(later, []ID{part}, "y")
	table.Survived(later.Add(time.Second), later, []ID{part})
	reason, _ = table.Check(later.Add(time.Second), []ID{part})
	assert.Equal(t, reason, "")
	found := table.TakeChanges(later.Add(time.Second), true)
	assert.Equal(t, len(found), 1)
	assert.Assert(t, found[0].Released && len(found[0].Crashes) == 0, "the others learn of it")
}

// TestWithdrawnCrashDoesNotCount guards against a part that stays blocked although one of the targets goes on.
func TestWithdrawnCrashDoesNotCount(t *testing.T) {
	part := id("part")
	table := blockedTable(part)
	other := New()
	for _, f := range table.Findings(at(3000)) {
		other.Merge(at(3000), f)
	}
	for _, vm := range []*Table{table, other} {
		assert.Equal(t, reasonFor(vm, 3000, part), ReasonBlocked)
		vm.TargetRan("1", at(9000))
		assert.Equal(t, reasonFor(vm, 9000, part), "")
	}
}

// TestTableIsBounded checks that parts with evidence stay when the table is full.
func TestTableIsBounded(t *testing.T) {
	part := id("part")
	table := blockedTable(part)
	for i := range 2 * maxParts {
		table.Requested(at(3000+i), []ID{id(fmt.Sprint(i))})
	}
	assert.Assert(t, len(table.parts) <= maxParts)
	assert.Equal(t, reasonFor(table, 4000, part), ReasonBlocked)
}

// BenchmarkRequest measures what the leader spends on the two shared parts of a request.
func BenchmarkRequest(b *testing.B) {
	table := New()
	for i := range 1000 {
		table.Survived(start, start, []ID{id(fmt.Sprint("caller", i))})
	}
	n := 0
	for b.Loop() {
		n++
		now, target := start.Add(time.Duration(n)*time.Millisecond), "t"
		ids := Shared("s", []string{"route", fmt.Sprint("caller", n%1000), "own"})
		table.Requested(now, ids)
		_, _ = table.CheckAt(now, ids, target)
		table.Started(now, ids, target)
		table.Survived(now, now, ids)
		table.Ended(ids, target)
	}
}

// TestCrashInFullTable guards against a crash whose parts are evicted while it is recorded.
func TestCrashInFullTable(t *testing.T) {
	table := New()
	var requests [][]ID
	for i := range maxParts + 10 {
		part := id(fmt.Sprint(i))
		table.Survived(at(0), at(0), []ID{part})
		if i%1000 == 0 {
			requests = append(requests, []ID{part, id(fmt.Sprint("new", i))})
		}
	}
	table.Confirm(at(1000), &Crash{Target: "t", At: at(1000)}, requests)
	assert.Assert(t, len(table.parts) <= maxParts)
}
