package origin

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func TestFindsOriginUntilItExpires(t *testing.T) {
	table := NewTable()
	v1 := Origin{"models", "v1"}
	a := AttemptOf("r1")
	table.Add(Record{a, v1, at(15)})
	table.Add(Record{a, v1, at(10)}) // an older message
	o, ok := table.Find(at(14), a)
	assert.Assert(t, ok)
	assert.Equal(t, o, v1)
	_, ok = table.Find(at(15), a)
	assert.Assert(t, !ok)
	_, ok = table.Find(at(1), AttemptOf("r2"))
	assert.Assert(t, !ok)
	table.Expire(at(15))
	assert.Equal(t, table.Len(), 0)
}

// TestContradictoryOriginsAreUsed guards against a guess between two versions.
func TestContradictoryOriginsAreUsed(t *testing.T) {
	for _, other := range []Origin{{"models", "v2"}, {"others", "v1"}} {
		table := NewTable()
		for _, o := range []Origin{{"models", "v1"}, other, {"models", "v1"}} {
			table.Add(Record{AttemptOf("r1"), o, at(15)})
		}
		_, ok := table.Find(start, AttemptOf("r1"))
		assert.Assert(t, !ok)
		assert.Equal(t, len(table.Records(start)), 0)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxRecords + 10 {
		table.Add(Record{AttemptOf(fmt.Sprint(i)), Origin{"models", "v1"}, at(15)})
	}
	assert.Equal(t, table.Len(), maxRecords)
}

// TestVersionListedNowProvesNothing guards against streams that go on at the only version that is
// announced, although the one that began them has left since, or its targets were not seen.
func TestVersionListedNowProvesNothing(t *testing.T) {
	const window = time.Minute
	claims := func(h *History, now time.Time) (proved, seen Claim) {
		s, observed := h.Span("models")
		return Claim{observed, s.Version, now.Sub(s.Since)}, Claim{observed, s.Version, now.Sub(s.SeenSince)}
	}
	for _, row := range []struct {
		name    string
		observe func(h *History)
		// proved is what a stream of unknown origin may rely on, seen what one that names no attempt may.
		proved, seen string
		// begins is the begin of the history; zero: the first observation.
		begins time.Time
	}{
		{"one version over the window", func(h *History) { h.Observe(at(0), "models", []string{"v1", "v1"}) }, "v1", "v1", time.Time{}},
		{"no targets in between", func(h *History) {
			h.Observe(at(0), "models", []string{"v1"})
			h.Observe(at(30), "models", nil)
			h.Observe(at(31), "models", []string{"v1"})
		}, "v1", "v1", time.Time{}},
		{"the VM started within the window", func(h *History) { h.Observe(at(41), "models", []string{"v1"}) }, "", "", time.Time{}},
		{"another version has left", func(h *History) {
			h.Observe(at(0), "models", []string{"v1", "v2"})
			h.Observe(at(50), "models", []string{"v1"})
		}, "", "", time.Time{}},
		{"another version has left before", func(h *History) {
			h.Observe(at(0), "models", []string{"v1", "v2"})
			h.Observe(at(40), "models", []string{"v1"})
		}, "v1", "v1", time.Time{}},
		{"one version replaced another", func(h *History) {
			h.Observe(at(0), "models", []string{"v2"})
			h.Observe(at(50), "models", []string{"v1"})
		}, "", "", time.Time{}},
		{"two versions", func(h *History) { h.Observe(at(0), "models", []string{"v1", "v2"}) }, "", "", time.Time{}},
		{"an unknown version", func(h *History) { h.Observe(at(0), "models", []string{"v1", ""}) }, "", "", time.Time{}},
		{"only unknown versions", func(h *History) { h.Observe(at(0), "models", []string{"", ""}) }, "", "", time.Time{}},
		{"a gap in the observations", func(h *History) {
			h.Observe(at(0), "models", []string{"v1"})
			h.Restart(at(50))
		}, "", "v1", time.Time{}},
		{"no observation", func(*History) {}, "", "", time.Time{}},
		{"the first start within the window", func(h *History) { h.Observe(at(60), "models", []string{"v1"}) }, "v1", "v1", at(0)},
		{"another version has left since the first start", func(h *History) {
			h.Observe(at(60), "models", []string{"v1", "v2"})
			h.Observe(at(70), "models", []string{"v1"})
		}, "", "", at(0)},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := NewHistory(row.begins)
			row.observe(h)
			proved, seen := claims(h, at(100))
			assert.Equal(t, Prove(window, []Claim{proved}), row.proved)
			assert.Equal(t, Prove(window, []Claim{seen}), row.seen)
		})
	}
}

// TestClaimsOfOtherVMs checks that a VM that has just started relies on one that has observed the service
// for the whole window, unless any VM knows another version.
func TestClaimsOfOtherVMs(t *testing.T) {
	started, long := Claim{true, "v1", time.Second}, Claim{true, "v1", 2 * time.Minute}
	for _, row := range []struct {
		claims []Claim
		want   string
	}{
		{[]Claim{started, long}, "v1"},
		{[]Claim{long, {}, started}, "v1"},
		{[]Claim{started, started}, ""},
		{[]Claim{long, {true, "v2", time.Second}}, ""},
		{[]Claim{long, {true, "", time.Second}}, ""},
		{nil, ""},
	} {
		assert.Equal(t, Prove(time.Minute, row.claims), row.want, "%+v", row.claims)
	}
}

// TestHistoryOfOtherVMsIsAdopted guards against fleets whose VMs restart one after the other and forget that a service
// has had one version all the time, and against a VM that adopts what contradicts its own observations.
func TestHistoryOfOtherVMsIsAdopted(t *testing.T) {
	told := Seen{Service: "models", Version: "v1", Since: at(0)}
	since := func(h *History) time.Time {
		s, _ := h.Span("models")
		return s.SeenSince
	}
	h := NewHistory(time.Time{})
	h.Observe(at(50), "models", []string{"v1"})
	h.Adopt(told)
	assert.Equal(t, since(h), at(0))
	assert.DeepEqual(t, h.Seen(), []Seen{told})

	h = NewHistory(time.Time{})
	h.Adopt(told)
	h.Observe(at(50), "models", []string{"v1"})
	assert.Equal(t, since(h), at(0), "told before the first observation")

	h = NewHistory(time.Time{})
	h.Adopt(told)
	h.Observe(at(50), "models", []string{"v2"})
	assert.Equal(t, since(h), at(50), "another version")

	h = NewHistory(time.Time{})
	h.Observe(at(50), "models", []string{"v1", "v2"})
	h.Observe(at(60), "models", []string{"v1"})
	h.Adopt(told)
	assert.Equal(t, since(h), at(60), "the teller has missed a version")
}
