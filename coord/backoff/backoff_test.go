package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func TestLongestBackoffApplies(t *testing.T) {
	table := New()
	table.Record(start, "a", 3*time.Second, 0)
	table.Record(start.Add(time.Second), "a", time.Second, 0)
	table.Record(start, "b", time.Second, 0)
	assert.DeepEqual(t, table.ActiveTargets(start), []string{"a", "b"})
	assert.Equal(t, table.Remaining(start.Add(2500*time.Millisecond), "a"), 500*time.Millisecond, "the longer backoff applies")
	assert.DeepEqual(t, table.ActiveTargets(start.Add(time.Second)), []string{"a"})
	assert.Equal(t, table.Remaining(start, "c"), time.Duration(0))
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b"}), time.Duration(0), "the expired backoff of b is removed by now")
	assert.Equal(t, len(table.ActiveTargets(start.Add(3*time.Second))), 0)
}

func TestFirstExpiry(t *testing.T) {
	table := New()
	table.Record(start, "a", 3*time.Second, 0)
	table.Record(start, "b", time.Second, 0)
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b"}), time.Second)
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b", "c"}), time.Duration(0))
	assert.Equal(t, table.FirstExpiry(start, nil), time.Duration(0))
}

// TestReturnsAreSpread checks that VMs that were rejected together do not all return at once.
func TestReturnsAreSpread(t *testing.T) {
	for _, row := range []struct{ backoff, latest time.Duration }{
		{2 * time.Second, 2500 * time.Millisecond}, {time.Hour, time.Hour + maxReturnSpread},
	} {
		earliest, latest := New(), New()
		earliest.Record(start, "a", row.backoff, 0)
		latest.Record(start, "a", row.backoff, 1)
		assert.Equal(t, earliest.Remaining(start, "a"), row.backoff, "never sooner than the target requested")
		assert.Equal(t, latest.Remaining(start, "a"), row.latest)
	}
}
