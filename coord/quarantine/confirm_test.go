package quarantine

import (
	"encoding/binary"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// listedTime is how long a crashed target stays listed.
	listedTime = 3600 * time.Millisecond
	// confirmTime is how long ago a target that is listed was running.
	confirmTime = 6500 * time.Millisecond
	// listingInterval is the time in ms between two looks at what is listed.
	listingInterval = 200
)

// TestEvidenceOfTargetThatGoesOnIsWithdrawn guards against harmless contents that stay blocked although
// one of the targets that count as crashed goes on.
func TestEvidenceOfTargetThatGoesOnIsWithdrawn(t *testing.T) {
	for name, falseCrash := range map[string]string{"first": "a", "second": "b", "third": "c"} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for i, target := range []string{"a", "b", "c"} { // content 1 crashes targets, 0 runs beside it
				r := []fleetRequest{{"vm", 0, target}, {"vm", 1, target}}
				send(table, 1000*i, r...)
				disconnect(table, 1000*i+10, r...)
				table.Tick(at(1000*i + 10).Add(crashSettleTime))
			}
			reason, _ := table.Check(at(3000), key(1000), digest(0))
			assert.Equal(t, reason, ReasonBlocked)
			assert.Equal(t, len(table.TargetRan(at(3000), at(0), falseCrash)), 0, "it ran before it crashed")
			assert.Equal(t, len(table.TargetRan(at(9000), at(2500), falseCrash)), 2)
			for _, f := range table.Findings(at(9000)) {
				assert.Equal(t, len(f.Targets), 2)
				assert.Equal(t, f.BlockedFor, time.Duration(0))
			}
			reason, _ = table.Check(at(9000), key(1001), digest(0))
			assert.Equal(t, reason, "")
			reason, _ = table.Check(at(9000), key(1002), digest(0))
			assert.Equal(t, reason, ReasonSuspect, "two targets did crash")
		})
	}
}

// TestWithdrawalFromFindingsOfAnotherVM guards against contents that stay blocked at VMs to which the
// leader sent its findings, and against those whose other evidence is enough and that are released.
func TestWithdrawalFromFindingsOfAnotherVM(t *testing.T) {
	for name, c := range map[string]struct {
		findings [][]string
		goesOn   []string
		blocked  bool
	}{
		"one of three":              {[][]string{{"a", "b", "c"}}, []string{"b"}, false},
		"one of two":                {[][]string{{"a", "b"}}, []string{"b"}, false},
		"one of four":               {[][]string{{"a", "b", "c", "d"}}, []string{"b"}, true},
		"two of four":               {[][]string{{"a", "b", "c", "d"}}, []string{"b", "a"}, false},
		"one of three, two suffice": {[][]string{{"a", "b"}, {"a", "b", "c"}}, []string{"b"}, true},
		"none":                      {[][]string{{"a", "b"}}, []string{"x"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := New()
			for i, targets := range c.findings {
				table.Merge(at(i), Finding{Digest: digest(0), Targets: targets, BlockedFor: blockDuration})
			}
			for _, target := range c.goesOn {
				table.TargetRan(at(8000), at(1000), target)
			}
			reason, _ := table.Check(at(8000), key(1), digest(0))
			assert.Equal(t, reason == ReasonBlocked, c.blocked)
		})
	}
}

// TestEvidenceFromAfterTheProofIsKept guards against crashing contents that are released because their
// target was running before it crashed.
func TestEvidenceFromAfterTheProofIsKept(t *testing.T) {
	table := New()
	for i, target := range []string{"a", "b", "a"} { // the first time, the requests at a were only reset
		r := []fleetRequest{{"vm", 0, target}, {"vm", i + 1, target}}
		send(table, 1000*i, r...)
		disconnect(table, 1000*i+10, r...)
		table.Tick(at(1000*i + 10).Add(crashSettleTime))
	}
	table.Merge(at(0), Finding{Digest: digest(9), Targets: []string{"a", "x"}, BlockedFor: blockDuration})
	assert.DeepEqual(t, table.TargetRan(at(8000), at(1500), "a"), []Digest{digest(9)})
	targets := map[Digest][]string{}
	for _, f := range table.Findings(at(8000)) {
		targets[f.Digest] = f.Targets
	}
	assert.DeepEqual(t, targets, map[Digest][]string{digest(0): {"a", "b"}, digest(2): {"b"}, digest(3): {"a"}, digest(9): {"x"}})
}

// TestWithdrawalRestoresKnownGoodContent guards against popular content that is no longer known good
// because of crashes that were none.
func TestWithdrawalRestoresKnownGoodContent(t *testing.T) {
	table := New()
	good := fleetRequest{"vm", 0, "x"}
	send(table, 0, good)
	succeed(table, 10, good)
	for i, target := range []string{"a", "b"} {
		r := fleetRequest{"vm", 0, target}
		send(table, 1000*(i+1), r)
		disconnect(table, 1000*(i+1)+10, r)
		table.Tick(at(1000*(i+1) + 10).Add(crashSettleTime))
	}
	assert.Equal(t, len(table.Findings(at(3000))), 1)
	table.TargetRan(at(9000), at(2500), "a")
	table.TargetRan(at(9000), at(2500), "b")
	assert.Equal(t, len(table.Findings(at(9000))), 0)
	assert.Assert(t, table.knownGood.has(digest(0)))
	table.Tick(at(9000))
	assert.Equal(t, len(table.CrashedTargets()), 0)
}

// resetOne resets the requests of one VM at one target, which goes on.
func (f *cutFleet) resetOne(now time.Time) {
	if len(f.running) == 0 {
		return
	}
	one := f.running[f.rng.IntN(len(f.running))]
	f.disconnect(now, func(r cutFleetRequest) bool { return r.key.VM == one.key.VM && r.target == one.target })
}

// TestRandomResetsBlockNoHarmlessContentForLong guards against harmless contents that are blocked for
// minutes because single requests were reset, and against crashing contents that are released because
// their targets are still listed for a while.
func TestRandomResetsBlockNoHarmlessContentForLong(t *testing.T) {
	blocks := 0
	for seed := range uint64(40) {
		f := newCutFleet(seed, []int{2, 6, 24}[seed%3], 12)
		listedUntil := map[string]time.Time{} // of targets that crashed
		blockedSince := map[Digest]time.Time{}
		seen := map[string]bool{}
		for ms := 0; ms < 60_000; ms += 10 {
			now := at(ms)
			f.step(now)
			if f.rng.Float64() < 0.8 {
				f.submit(now)
			}
			if f.rng.IntN(30) == 0 {
				f.resetOne(now)
			}
			f.updateListing(now, seen, listedUntil)
			if ms%listingInterval != 0 {
				continue
			}
			for _, target := range f.table.CrashedTargets() {
				if until, crashed := listedUntil[target]; !crashed || now.Before(until) {
					f.table.TargetRan(now, now.Add(-confirmTime), target)
				}
			}
			blocked := map[Digest]bool{}
			for _, found := range f.table.Findings(now) {
				content := int(binary.BigEndian.Uint64(found.Digest[:])) - 1
				if found.BlockedFor == 0 || content < f.crashing {
					continue
				}
				blocked[found.Digest] = true
				if blockedSince[found.Digest].IsZero() {
					blocks++
					blockedSince[found.Digest] = now
				}
				assert.Assert(t, now.Sub(blockedSince[found.Digest]) <= confirmTime+listingInterval*time.Millisecond, "seed %d, %v: harmless content %d", seed, now.Sub(start), content)
			}
			for d := range blockedSince {
				if !blocked[d] {
					delete(blockedSince, d)
				}
			}
		}
		for content, n := range f.crashes {
			assert.Assert(t, n <= blockAfterCrashes, "seed %d: content %d crashed %d targets", seed, content, n)
		}
	}
	assert.Assert(t, blocks > 0, "no harmless content is ever blocked: nothing is tested")
}

// updateListing records until when targets that have been replaced are listed.
func (f *cutFleet) updateListing(now time.Time, seen map[string]bool, listedUntil map[string]time.Time) {
	current := map[string]bool{}
	for _, target := range f.targets {
		current[target], seen[target] = true, true
	}
	for target := range seen {
		if _, known := listedUntil[target]; !known && !current[target] {
			listedUntil[target] = now.Add(listedTime)
		}
	}
}
