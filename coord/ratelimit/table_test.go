package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestReorderedResponses checks that a higher limit, or the end of a limit, counts only if the
// request was placed after the last response with the lower limit.
func TestReorderedResponses(t *testing.T) {
	tab := NewTable(1000)
	assert.Assert(t, tab.ObserveLimit(start, "a", 2, 0))
	first := tab.Limit("a").Stamp
	assert.Assert(t, first > 1000)
	assert.Assert(t, tab.ObserveLimit(start, "a", 1, 0), "a lower limit counts at once")
	assert.Assert(t, !tab.ObserveLimit(start, "a", 2, first), "placed before the lower limit was observed")
	assert.Assert(t, !tab.ObserveNoLimit("a", first))
	assert.Equal(t, tab.Limit("a").PerSecond, 1.0)

	assert.Assert(t, tab.ObserveLimit(start, "a", 3, tab.Limit("a").Stamp))
	assert.Equal(t, tab.Limit("a").PerSecond, 3.0)
	before := tab.Limit("a").Stamp
	assert.Assert(t, !tab.ObserveLimit(start, "a", 3, before), "the limit is confirmed, not changed")
	assert.Assert(t, !tab.ObserveNoLimit("a", before), "placed before it was confirmed")
	assert.Assert(t, tab.ObserveNoLimit("a", tab.Limit("a").Stamp))
	assert.Equal(t, tab.Limit("a").Stamp, uint64(0))
	assert.Assert(t, !tab.ObserveNoLimit("a", 0))
}

// TestResponsesToUnknownRequestsKeepLimit checks that responses without a known stamp neither raise
// nor end a limit, because it is unknown when their requests were placed.
func TestResponsesToUnknownRequestsKeepLimit(t *testing.T) {
	tab := NewTable(0)
	tab.ObserveLimit(start, "a", 2, 0)
	assert.Assert(t, !tab.ObserveNoLimit("a", 0))
	assert.Assert(t, !tab.ObserveLimit(start, "a", 5, 0))
	assert.Equal(t, tab.Limit("a").PerSecond, 2.0)
}

func TestTable(t *testing.T) {
	tab := NewTable(0)
	assert.Assert(t, tab.Empty())
	tab.ObserveLimit(start, "b", 2, 0)
	tab.ObserveLimit(start.Add(time.Second), "a", 0.5, 0)
	tab.ObserveLimit(start.Add(2*time.Second), "a", 0.4, 0)
	assert.DeepEqual(t, tab.Targets(), []string{"a", "b"})
	assert.DeepEqual(t, tab.Rates(), map[string]float64{"a": 0.4, "b": 2})
	assert.Equal(t, tab.Limit("a").Since, start.Add(time.Second))
	tab.ApplyUpdate(start, "b", 7, false)
	assert.Equal(t, tab.Limit("b").PerSecond, 7.0)
	tab.ApplyUpdate(start, "b", 0, true)
	tab.Retain(func(id string) bool { return id != "a" })
	assert.Assert(t, tab.Empty())
}
