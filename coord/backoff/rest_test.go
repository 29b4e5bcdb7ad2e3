package backoff

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

func TestRest(t *testing.T) {
	table := New()
	table.Record(start, "a", 3*time.Second, 0)
	table.Record(start.Add(time.Second), "a", time.Second, 0)
	table.Record(start, "b", time.Second, 0)
	assert.DeepEqual(t, table.ActiveTargets(start), []string{"a", "b"})
	assert.Equal(t, table.Remaining(start.Add(2500*time.Millisecond), "a"), 500*time.Millisecond, "the longer one stands")
	assert.DeepEqual(t, table.ActiveTargets(start.Add(time.Second)), []string{"a"})
	assert.Equal(t, table.Remaining(start, "c"), time.Duration(0))
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b"}), time.Duration(0), "b is forgotten by now")
	assert.Equal(t, len(table.ActiveTargets(start.Add(3*time.Second))), 0)
}

func TestFirstWake(t *testing.T) {
	table := New()
	table.Record(start, "a", 3*time.Second, 0)
	table.Record(start, "b", time.Second, 0)
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b"}), time.Second)
	assert.Equal(t, table.FirstExpiry(start, []string{"a", "b", "c"}), time.Duration(0))
	assert.Equal(t, table.FirstExpiry(start, nil), time.Duration(0))
}

// TestAllReturnAtOnce: many VMs are turned away together.
func TestAllReturnAtOnce(t *testing.T) {
	for _, row := range []struct{ rest, last time.Duration }{
		{2 * time.Second, 2500 * time.Millisecond}, {time.Hour, time.Hour + returnMost},
	} {
		first, last := New(), New()
		first.Record(start, "a", row.rest, 0)
		last.Record(start, "a", row.rest, 1)
		assert.Equal(t, first.Remaining(start, "a"), row.rest, "never sooner than it asked for")
		assert.Equal(t, last.Remaining(start, "a"), row.last)
	}
}
