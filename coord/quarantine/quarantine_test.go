package quarantine

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/coord"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// deadline is the time limit of the tests' requests.
const deadline = 15 * time.Second

func digest(n int) (d Digest) {
	binary.BigEndian.PutUint64(d[:], uint64(n)+1)
	return d
}

func key(n int) Key { return Key{VM: "vm", Ticket: uint64(n)} }

// startIfAllowed starts a request with a content at a target if Check allows it.
func startIfAllowed(t *Table, now time.Time, k, content int, target string) bool {
	if reason, _ := t.Check(now, key(k), digest(content)); reason != "" {
		return false
	}
	t.RequestStarted(now, key(k), digest(content), target, now.Add(deadline))
	return true
}

// crashTarget disconnects the requests of a target and waits until the disconnects are evaluated.
func crashTarget(t *Table, now time.Time, keys ...int) []Finding {
	for _, k := range keys {
		t.RequestEnded(now, key(k), false, true)
	}
	return t.Tick(now.Add(crashSettleTime))
}

// TestCrashingContentIsBlocked checks that two targets crash under a content and no more, and that
// what ran beside it can continue.
//
// It guards against content that crashes one engine after the other. Content of 3 in 100 requests
// of one kind caused 17 crashes of 12 engines within 20 s, which broke 22 of its own requests and
// some 300 streams beside them. Callers retried it under new request IDs, and nothing distinguished
// it from other requests.
func TestCrashingContentIsBlocked(t *testing.T) {
	table := New()
	assert.Assert(t, startIfAllowed(table, at(0), 1, 0, "a"))
	for k := 2; k < 12; k++ {
		assert.Assert(t, startIfAllowed(table, at(0), k, k, "a"))
	}
	found := crashTarget(table, at(100), 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11)
	assert.Equal(t, len(found), 11, "every content must be suspect")
	for k := 2; k < 12; k++ { // the harmless ones are retried and succeed
		assert.Assert(t, startIfAllowed(table, at(500), 20+k, k, "b"))
		table.RequestEnded(at(600), key(20+k), true, false)
	}
	assert.Assert(t, startIfAllowed(table, at(700), 50, 0, "b"), "one trial may run")
	assert.Assert(t, !startIfAllowed(table, at(710), 51, 0, "c"), "a second trial must not run")
	found = crashTarget(table, at(800), 50)
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].BlockedFor, blockDuration)
	reason, retry := table.Check(at(1200), key(60), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	assert.Assert(t, retry > 9*time.Minute)
	later := at(1200).Add(blockDuration)
	assert.Assert(t, startIfAllowed(table, later, 61, 0, "d"), "one trial may run after the block")
	assert.Assert(t, !startIfAllowed(table, later, 62, 0, "e"))
	crashTarget(table, later.Add(time.Second), 61)
	reason, _ = table.Check(later.Add(12*time.Hour), key(63), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
}

// TestRetryOfBrokenStreamRunsBeforeCrashIsDetected checks that the retry of a broken stream may run
// although it comes before the crash of its target is detected. Without this, 29 streams were cut
// when 35 engines crashed.
func TestRetryOfBrokenStreamRunsBeforeCrashIsDetected(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	startIfAllowed(table, at(0), 2, 1, "a")
	table.RequestEnded(at(10), key(1), false, true)
	assert.Assert(t, startIfAllowed(table, at(11), 3, 0, "b"))
	table.RequestEnded(at(12), key(2), false, true)
	assert.Assert(t, !startIfAllowed(table, at(13), 4, 0, "c"), "one at a time")
	table.Tick(at(400))
	table.RequestEnded(at(500), key(3), true, false)
	assert.Assert(t, startIfAllowed(table, at(510), 5, 0, "c"))
	assert.Assert(t, startIfAllowed(table, at(510), 6, 0, "c"), "the retry succeeded")
}

// TestNoSuspicionWithoutEvidence checks events that must not make content suspect.
func TestNoSuspicionWithoutEvidence(t *testing.T) {
	for _, row := range []struct {
		name   string
		events func(table *Table)
	}{
		{"one response breaks while others continue", func(table *Table) {
			for k := range 4 {
				startIfAllowed(table, at(0), k, k, "a")
			}
			table.RequestEnded(at(10), key(0), false, true)
			table.Tick(at(10).Add(crashSettleTime))
		}},
		{"content succeeded before", func(table *Table) {
			startIfAllowed(table, at(0), 1, 0, "a")
			table.RequestEnded(at(5), key(1), true, false)
			startIfAllowed(table, at(10), 2, 0, "a")
			crashTarget(table, at(20), 2)
		}},
		{"many targets crash at once under known good content", func(table *Table) {
			startIfAllowed(table, at(0), 1, 0, "a")
			table.RequestEnded(at(5), key(1), true, false)
			for k := 2; k < 8; k++ {
				startIfAllowed(table, at(10), k, 0, fmt.Sprint(k))
			}
			for k := 2; k < 8; k++ {
				table.RequestEnded(at(10*k), key(k), false, true)
				table.Tick(at(10 * k))
			}
			for ms := 100; ms < 1000; ms += 20 {
				table.Tick(at(ms))
			}
		}},
		{"one target repeatedly drops its requests under known good content", func(table *Table) {
			startIfAllowed(table, at(0), 1, 0, "a")
			table.RequestEnded(at(5), key(1), true, false)
			for k := 2; k < 12; k++ {
				startIfAllowed(table, at(1000*k), k, 0, "a")
				crashTarget(table, at(1000*k+10), k)
			}
		}},
		{"a target crashes under content that succeeded before and after", func(table *Table) {
			for k := range 10 {
				startIfAllowed(table, at(1000*k), 2*k, 0, "a")
				table.RequestEnded(at(1000*k+5), key(2*k), true, false)
				startIfAllowed(table, at(1000*k+10), 2*k+1, 0, "b")
				crashTarget(table, at(1000*k+20), 2*k+1)
			}
		}},
		{"the caller left", func(table *Table) {
			startIfAllowed(table, at(0), 1, 0, "a")
			table.RequestEnded(at(5), key(1), false, false)
			table.Tick(at(500))
		}},
		{"its VM is unresponsive", func(table *Table) {
			startIfAllowed(table, at(0), 1, 0, "a")
			table.ForgetVM("vm", 100)
			table.RequestEnded(at(5), key(1), false, true)
			table.Tick(at(500))
		}},
		{"a request without a digest", func(table *Table) {
			table.RequestStarted(at(0), key(1), Digest{}, "a", at(1000))
			crashTarget(table, at(5), 1)
		}},
	} {
		t.Run(row.name, func(t *testing.T) {
			table := New()
			row.events(table)
			assert.Equal(t, len(table.Findings(at(1000))), 0)
		})
	}
}

// TestTrialIsReleasedWhenItsVMFails checks that another request may run when the VM of the trial
// request fails.
func TestTrialIsReleasedWhenItsVMFails(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	crashTarget(table, at(10), 1)
	assert.Assert(t, startIfAllowed(table, at(500), 2, 0, "b"))
	assert.Assert(t, !startIfAllowed(table, at(1000), 3, 0, "c"))
	table.ForgetVM("vm", 3)
	assert.Assert(t, startIfAllowed(table, at(1100), 4, 0, "c"))
	table.ForgetVM("vm", 5)
	assert.Assert(t, startIfAllowed(table, at(1200), 5, 0, "d"))
}

// TestFindingsOfOtherVMs checks that a new leader continues with the findings of the previous one,
// and that a VM that receives no decisions from a leader runs no suspect content.
func TestFindingsOfOtherVMs(t *testing.T) {
	table, successor := New(), New()
	startIfAllowed(table, at(0), 1, 0, "a")
	for _, f := range crashTarget(table, at(10), 1) {
		successor.Merge(at(500), f)
		successor.Merge(at(510), f)
	}
	reason, _ := successor.CheckWithoutLeader(at(600), digest(0))
	assert.Equal(t, reason, ReasonSuspect)
	reason, _ = successor.CheckWithoutLeader(at(600), digest(1))
	assert.Equal(t, reason, "")
	assert.Assert(t, startIfAllowed(successor, at(600), 2, 0, "b"))
	found := crashTarget(successor, at(700), 2)
	assert.Equal(t, found[0].BlockedFor, blockDuration, "the second crash")
	table.Merge(at(1100), found[0])
	reason, _ = table.CheckWithoutLeader(at(1100), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
}

// TestRequestReportedTwice checks that a repeated report does not count a request twice: VMs report
// their requests in flight again to each new leader.
func TestRequestReportedTwice(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	crashTarget(table, at(10), 1)
	startIfAllowed(table, at(500), 2, 0, "b")
	table.RequestStarted(at(600), key(2), digest(0), "b", at(5000))
	table.RequestEnded(at(700), key(2), false, false)
	assert.Assert(t, startIfAllowed(table, at(800), 3, 0, "b"), "no request is in flight")
}

// TestRequestWhoseEndReportIsLost checks that a request whose end is never reported holds back
// suspect content only until shortly after its deadline.
func TestRequestWhoseEndReportIsLost(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	startIfAllowed(table, at(0), 2, 0, "b")
	crashTarget(table, at(10), 1)
	assert.Assert(t, !startIfAllowed(table, at(500), 3, 0, "c"))
	later := at(1000).Add(deadline)
	table.Tick(later)
	assert.Assert(t, startIfAllowed(table, later, 4, 0, "c"))
}

// TestExpiredBlockAllowsOneTrial checks that content under which three targets crashed gets one
// trial after its block, also at a VM that received the finding after the block had ended, and that
// a crash of the trial blocks it for the longer time.
func TestExpiredBlockAllowsOneTrial(t *testing.T) {
	table := New()
	finding := Finding{Digest: digest(0), Targets: []string{"a", "b", "c"}, BlockedFor: blockDuration}
	table.Merge(at(0), finding)
	reason, _ := table.Check(at(1000), key(1), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	after := at(1000).Add(blockDuration)
	assert.Assert(t, startIfAllowed(table, after, 1, 0, "d"))
	assert.Assert(t, !startIfAllowed(table, after, 2, 0, "e"), "one at a time")
	other := New()
	finding.BlockedFor = 0
	other.Merge(at(0), finding)
	assert.Assert(t, startIfAllowed(other, at(1000), 1, 0, "d"), "the block has ended")
	crashTarget(other, at(1100), 1)
	reason, retry := other.Check(at(2000), key(2), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	assert.Assert(t, retry > 12*time.Hour)
}

func TestSuspicionExpires(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	crashTarget(table, at(10), 1)
	table.Tick(at(1000).Add(suspectTTL))
	assert.Equal(t, len(table.Findings(at(0))), 0)
}

// TestKnownGoodContentStartsToCrash checks that content which succeeded once is not sent to targets
// forever.
func TestKnownGoodContentStartsToCrash(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	table.RequestEnded(at(5), key(1), true, false)
	crashes := 0
	for k := 2; k < 12; k++ {
		if startIfAllowed(table, at(1000*k), k, 0, fmt.Sprint(k)) {
			crashes++
			crashTarget(table, at(1000*k+100), k)
		}
	}
	assert.Equal(t, crashes, blockAfterCrashes)
	reason, _ := table.Check(at(12_000), key(20), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
}

// TestKnownGoodContentBesideCrashingContent checks that known good content stays unrestricted
// although it ran beside crashing content at each crash.
func TestKnownGoodContentBesideCrashingContent(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 1, "a")
	table.RequestEnded(at(5), key(1), true, false)
	for k := range 4 {
		target, now := fmt.Sprint(k), at(1000*(k+1))
		crashing := startIfAllowed(table, now, 10+2*k, 0, target)
		assert.Assert(t, startIfAllowed(table, now, 11+2*k, 1, target), "crash %d", k)
		if crashing {
			crashTarget(table, now.Add(100*time.Millisecond), 10+2*k, 11+2*k)
		}
	}
	reason, _ := table.Check(at(9000), key(30), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	assert.Assert(t, startIfAllowed(table, at(9000), 31, 1, "b"))
	assert.Assert(t, startIfAllowed(table, at(9000), 32, 1, "c"), "requests must not be limited to one at a time")
}

// TestFirstBlockOfKnownGoodContentIsShort checks the block durations of content that succeeded
// before: all targets may fail for another reason, so its first block is short.
func TestFirstBlockOfKnownGoodContentIsShort(t *testing.T) {
	table := New()
	startIfAllowed(table, at(0), 1, 0, "a")
	table.RequestEnded(at(5), key(1), true, false)
	for k := 2; k < 5; k++ {
		assert.Assert(t, startIfAllowed(table, at(1000*k), k, 0, fmt.Sprint(k)))
		crashTarget(table, at(1000*k+100), k)
	}
	reason, retry := table.Check(at(5000), key(6), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	assert.Assert(t, retry <= knownGoodBlockDuration)
	again := at(5000).Add(knownGoodBlockDuration)
	assert.Assert(t, startIfAllowed(table, again, 7, 0, "b"), "one trial may run")
	assert.Assert(t, !startIfAllowed(table, again, 8, 0, "b"))
	crashTarget(table, again.Add(100*time.Millisecond), 7)
	reason, retry = table.Check(again.Add(time.Second), key(9), digest(0))
	assert.Equal(t, reason, ReasonBlocked)
	assert.Assert(t, retry > 12*time.Hour)
}

// TestFullTableBlocksNewCrashingContent checks that a table full of suspects still stops new
// content that crashes targets.
func TestFullTableBlocksNewCrashingContent(t *testing.T) {
	table := New()
	for n := range maxContents {
		table.Merge(at(n), Finding{Digest: digest(1000 + n), Targets: []string{"gone"}})
	}
	crashes := 0
	for k := range 10 {
		if startIfAllowed(table, at(10_000+1000*k), k, 0, fmt.Sprint(k)) {
			crashes++
			crashTarget(table, at(10_100+1000*k), k)
		}
	}
	assert.Assert(t, crashes <= blockAfterCrashes, "%d targets crashed", crashes)
	assert.Assert(t, len(table.contents) <= maxContents)
}

// TestRandomFleets simulates fleets with several crashing contents among many others, crashes for
// other reasons, lost responses and a change of the leader. At most three targets may crash under a
// crashing content, and no harmless content may be blocked.
func TestRandomFleets(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 5))
		table := New()
		crashingContents := 1 + rng.IntN(4)
		type req struct {
			k, content int
			endsAt     time.Time
		}
		running := map[string][]req{}
		crashedTargets := map[int]map[string]bool{}
		next, target := 0, 0
		names := make([]string, 12)
		for i := range names {
			target++
			names[i] = fmt.Sprint(target)
		}
		crash := func(now time.Time, i int) {
			var keys []int
			for _, r := range running[names[i]] {
				keys = append(keys, r.k)
				if r.content < crashingContents {
					if crashedTargets[r.content] == nil {
						crashedTargets[r.content] = map[string]bool{}
					}
					crashedTargets[r.content][names[i]] = true
				}
			}
			for _, k := range keys {
				table.RequestEnded(now, key(k), false, true)
			}
			delete(running, names[i])
			target++
			names[i] = fmt.Sprint(target) // it restarts as a new target
		}
		for ms := 0; ms < 60_000; ms += 10 {
			now := at(ms)
			table.Tick(now)
			for i, name := range names {
				remaining := running[name][:0]
				crashes := false
				for _, r := range running[name] {
					switch {
					case now.Before(r.endsAt):
						remaining = append(remaining, r)
					case r.content < crashingContents:
						crashes = true
						remaining = append(remaining, r)
					default:
						table.RequestEnded(now, key(r.k), true, false)
					}
				}
				running[name] = remaining
				if crashes || rng.IntN(40_000) == 0 {
					crash(now, i)
				}
			}
			if ms%10 == 0 && rng.Float64() < 0.8 {
				next++
				content := 1000 + next
				switch {
				case rng.IntN(100) < 3:
					content = rng.IntN(crashingContents)
				case rng.IntN(10) == 0:
					content = 500 + rng.IntN(20) // popular content
				}
				i := rng.IntN(len(names))
				for slices.Contains(table.TargetsToAvoid(digest(content)), names[i]) {
					i = (i + 1) % len(names)
				}
				if startIfAllowed(table, now, next, content, names[i]) {
					running[names[i]] = append(running[names[i]], req{next, content, now.Add(time.Duration(50+rng.IntN(600)) * time.Millisecond)})
				}
			}
			if ms == 20_000 { // a new leader takes over with the findings and requests of the previous one
				other := New()
				for _, f := range table.Findings(now) {
					other.Merge(now, f)
				}
				for name, requests := range running {
					for _, r := range requests {
						other.RequestStarted(now, key(r.k), digest(r.content), name, now.Add(deadline))
					}
				}
				table = other
			}
		}
		for content, targets := range crashedTargets {
			assert.Assert(t, len(targets) <= 3, "seed %d: content %d crashed %d targets", seed, content, len(targets))
		}
		for _, f := range table.Findings(at(60_000)) {
			n := int(binary.BigEndian.Uint64(f.Digest[:])) - 1
			assert.Assert(t, f.BlockedFor == 0 || n < crashingContents, "seed %d: harmless content %d is blocked", seed, n)
		}
	}
}

// BenchmarkTick measures a tick in a large fleet without events.
func BenchmarkTick(b *testing.B) {
	table := New()
	for n := range 20_000 {
		table.RequestStarted(start, key(n), digest(n), "t", start.Add(time.Hour))
	}
	for n := 0; b.Loop(); n++ {
		table.Tick(at(20 * n))
	}
}

func BenchmarkCheck(b *testing.B) {
	table := New()
	for n := range 200 {
		table.Merge(start, Finding{Digest: digest(n), Targets: []string{"a"}})
	}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		d := digest(1000 + n%5000)
		table.Check(start, key(n), d)
		table.RequestStarted(start, key(n), d, "t", start.Add(deadline))
		table.RequestEnded(start, key(n), true, false)
	}
	_ = coord.VMID("")
}
