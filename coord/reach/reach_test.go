package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newTable(targets ...string) *Table {
	t := New(0)
	t.SetTargets(targets)
	return t
}

// breakPath makes the path to a target broken.
func breakPath(t *Table, now time.Time, target string) Change {
	t.RecordFailure(now, target)
	return t.RecordRelayed(now, target, true)
}

func TestFailureSuspectsOnePathForASecond(t *testing.T) {
	table := newTable("a", "b")
	table.RecordFailure(start, "a")
	assert.Assert(t, table.ViaRelay(at(999), "a"))
	assert.Assert(t, !table.ViaRelay(at(999), "b"))
	assert.Assert(t, !table.ViaRelay(at(1000), "a"))
}

func TestRelayThatFailsBlamesTheTarget(t *testing.T) {
	table := newTable("a", "b")
	table.RecordFailure(start, "a")
	table.RecordRelayed(at(10), "a", false)
	assert.Assert(t, !table.ViaRelay(at(20), "a"))
	assert.Equal(t, table.BrokenPaths(), 0)
}

func TestRelayedResultWithoutFailureIsNoEvidence(t *testing.T) {
	table := newTable("a", "b")
	table.RecordRelayed(start, "a", true)
	table.RecordFailure(start, "b")
	table.RecordDial(at(10), "b", true)
	table.RecordRelayed(at(20), "b", true)
	table.RecordFailure(at(30), "a")
	table.RecordRelayed(at(30).Add(evidenceTime), "a", true)
	assert.Equal(t, table.BrokenPaths(), 0)
}

func TestBrokenPathIsRestoredByANewConnectionOnly(t *testing.T) {
	table := newTable("a", "b")
	assert.Equal(t, breakPath(table, start, "a").Broken, "a")
	table.RecordDial(at(500), "b", true)
	table.RecordRelayed(at(600), "a", false)
	assert.Assert(t, table.ViaRelay(at(60_000), "a"))
	assert.Equal(t, table.RecordDial(at(60_000), "a", true).Restored, "a")
	assert.Assert(t, !table.ViaRelay(at(60_000), "a"))
}

func TestIsolationNeedsBrokenPathsAndAFailedConnectionElsewhere(t *testing.T) {
	for _, row := range []struct {
		name    string
		targets []string
		record  func(t *Table)
		want    bool
	}{
		{"one broken path", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(700), "b", false)
		}, false},
		{"two broken paths, no connection tried since", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			breakPath(t, start, "b")
		}, false},
		{"two broken paths, and their own connections fail", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			breakPath(t, start, "b")
			t.RecordDial(at(700), "b", false)
		}, false},
		{"two broken paths, and a third connection fails", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			breakPath(t, start, "b")
			t.RecordDial(at(700), "c", false)
		}, true},
		{"a connection that failed at the second path counts", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(700), "b", false)
			t.RecordRelayed(at(710), "b", true)
		}, true},
		{"a connection has succeeded between", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(100), "c", true)
			t.RecordDial(at(700), "b", false)
			t.RecordRelayed(at(710), "b", true)
		}, false},
		{"two targets, one of them down", []string{"a", "b"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(700), "b", false)
			t.RecordRelayed(at(710), "b", false)
		}, false},
		{"the only target", []string{"a"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(700), "a", false)
		}, true},
		{"the only target, reached again", []string{"a"}, func(t *Table) {
			breakPath(t, start, "a")
			t.RecordDial(at(700), "a", true)
		}, false},
		{"the last of the paths that broke one by one", []string{"a", "b", "c"}, func(t *Table) {
			breakPath(t, start, "a")
			breakPath(t, start, "b")
			t.RecordDial(at(100), "c", true)
			breakPath(t, at(200), "c")
			t.RecordDial(at(700), "a", false)
		}, true},
	} {
		t.Run(row.name, func(t *testing.T) {
			table := newTable(row.targets...)
			row.record(table)
			assert.Equal(t, table.Isolated(), row.want)
		})
	}
}

func isolatedTable(targets ...string) *Table {
	t := newTable(targets...)
	breakPath(t, start, targets[0])
	for _, id := range targets[1:] {
		t.RecordDial(start, id, false)
		t.RecordRelayed(start, id, true)
	}
	return t
}

func TestIsolationEndsAfterConnectionsToTwoTargets(t *testing.T) {
	table := isolatedTable("a", "b", "c", "d", "e")
	assert.Assert(t, table.ViaRelay(at(1), "e"), "also where no failure was recorded")
	table.RecordDial(at(500), "c", true)
	table.RecordDial(at(510), "c", true)
	assert.Assert(t, table.Isolated(), "the same target twice")
	table.RecordDial(at(1000), "c", false)
	table.RecordDial(at(1500), "d", true)
	assert.Assert(t, table.Isolated(), "the first target cannot be reached any more")
	ended := table.RecordDial(at(2000), "e", true)
	assert.Assert(t, ended.IsolationEnded)
	assert.Equal(t, ended.Duration, 2*time.Second)
	for _, id := range table.targets {
		assert.Assert(t, !table.ViaRelay(at(2000), id), id)
	}
}

func TestIsolationEndsWhenOnlyOneTargetIsUp(t *testing.T) {
	table := isolatedTable("a", "b", "c")
	now := start
	for range 10 {
		now = now.Add(probeInterval)
		if id, ok := table.NextProbe(now); ok {
			table.RecordDial(now, id, id == "b")
		}
	}
	assert.Assert(t, !table.Isolated())
}

func TestIsolationIsAnnouncedForASecondAfterItsEnd(t *testing.T) {
	table := isolatedTable("a", "b")
	assert.Assert(t, table.AnnouncesIsolation(at(1)))
	table.RecordDial(at(100), "a", true)
	table.RecordDial(at(100), "b", true)
	assert.Assert(t, !table.Isolated())
	assert.Assert(t, table.AnnouncesIsolation(at(1099)))
	assert.Assert(t, !table.AnnouncesIsolation(at(1100)))
	assert.Assert(t, !newTable("a").AnnouncesIsolation(start))
}

func TestPathsOfRemovedTargetsAreDropped(t *testing.T) {
	table := newTable("a", "b")
	breakPath(table, start, "a")
	table.SetTargets([]string{"b", "c"})
	assert.Equal(t, table.BrokenPaths(), 0)
	assert.Assert(t, !table.ViaRelay(start, "a"))
	breakPath(table, start, "a")
	assert.Equal(t, table.BrokenPaths(), 0, "a failure that is reported late")
}

func TestProbesStartAtAnUnaffectedTargetAndEndWithTheBrokenPath(t *testing.T) {
	table := newTable("a", "b", "c")
	_, ok := table.NextProbe(start)
	assert.Assert(t, !ok, "nothing has failed")
	breakPath(table, start, "a")
	id, ok := table.NextProbe(start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "b")
	_, ok = table.NextProbe(at(499))
	assert.Assert(t, !ok)
	table.RecordDial(at(10), id, true)
	id, _ = table.NextProbe(at(500))
	assert.Equal(t, id, "a")
	table.RecordDial(at(510), id, true)
	_, ok = table.NextProbe(at(5000))
	assert.Assert(t, !ok)
}

func TestRestoredPathsAreProbedWithoutDelay(t *testing.T) {
	table := newTable("a", "b", "c", "d")
	for _, id := range []string{"a", "b", "c"} {
		breakPath(table, start, id)
	}
	table.RecordDial(at(1), "d", true)
	now := at(500)
	for range 3 {
		id, ok := table.NextProbe(now)
		assert.Assert(t, ok)
		table.RecordDial(now, id, true)
	}
	assert.Equal(t, table.BrokenPaths(), 0)
}

func TestVMsOfAFleetProbeDifferentTargets(t *testing.T) {
	first := map[string]bool{}
	for seed := range uint64(4) {
		table := New(seed)
		table.SetTargets([]string{"a", "b", "c", "d"})
		breakPath(table, start, table.targets[seed])
		id, _ := table.NextProbe(start)
		first[id] = true
	}
	assert.Equal(t, len(first), 4)
}

// TestDoubtsOfOwnPaths guards against a VM that takes targets for unreachable after it has lost its own
// paths.
func TestDoubtsOfOwnPaths(t *testing.T) {
	now := time.Unix(1000, 0)
	table := New(1)
	table.SetTargets([]string{"a", "b", "c"})
	table.RecordDial(now, "a", false)
	assert.Assert(t, !table.Doubts(now, "a"), "nothing else has failed")
	assert.Assert(t, table.Doubts(now, "b"))
	other, ok := table.Comparison("b")
	assert.Assert(t, ok && other == "c")
	now = now.Add(time.Millisecond)
	table.RecordDial(now, "c", true)
	assert.Assert(t, !table.Doubts(now, "b"), "a connection has succeeded since")
	table.RecordDial(now, "b", false)
	table.RecordDial(now, "c", false)
	_, ok = table.Comparison("a")
	assert.Assert(t, table.Doubts(now, "a") && !ok)
	assert.Assert(t, !table.Doubts(now.Add(evidenceTime), "a"), "the failures are too old")
}

// TestVMWithoutRequestsIsIsolatedByReportsOfOthers guards against a leader without callers whose orders
// all fail, and which never learns that other VMs reach the targets.
func TestVMWithoutRequestsIsIsolatedByReportsOfOthers(t *testing.T) {
	table := New(0)
	table.SetTargets([]string{"a", "b", "c"})
	now := start
	table.RecordFailure(now, "a")
	table.RecordReachedElsewhere(now.Add(reportTime/2), "a")
	assert.Equal(t, table.BrokenPaths(), 0, "the response may precede the failure")
	now = now.Add(reportTime)
	table.RecordFailure(now, "a")
	table.RecordReachedElsewhere(now, "c")
	table.RecordReachedElsewhere(now, "a")
	assert.Equal(t, table.BrokenPaths(), 1)
	probed, due := table.NextProbe(now)
	assert.Assert(t, due && probed != "a")
	table.RecordDial(now, probed, false)
	assert.Assert(t, !table.Isolated(), "one target may be at fault")
	now = now.Add(reportTime)
	assert.Assert(t, table.RecordReachedElsewhere(now, probed).IsolationBegan)
}

// TestPausedTargetDoesNotIsolate guards against a VM that takes a target's pause for lost paths.
func TestPausedTargetDoesNotIsolate(t *testing.T) {
	table := New(0)
	table.SetTargets([]string{"a", "b", "c"})
	now := start
	table.RecordFailure(now, "a")
	now = now.Add(time.Second)
	table.RecordReachedElsewhere(now, "a")
	for range 3 {
		if target, due := table.NextProbe(now); due {
			table.RecordDial(now, target, true)
		}
		now = now.Add(probeInterval)
	}
	assert.Assert(t, !table.Isolated())
	assert.Equal(t, table.BrokenPaths(), 0)
}
