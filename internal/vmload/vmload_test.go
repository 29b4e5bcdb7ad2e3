package vmload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// TestUseIsMeasuredSinceTheLastSample guards against a use that is averaged over the life of the process.
func TestUseIsMeasuredSinceTheLastSample(t *testing.T) {
	c := Counters{ProcessorTime: time.Hour, LinkIn: 1 << 40, LinkOut: 1 << 40, Bounds: []float64{0, 0.01, 0.1}, Delays: []uint64{1000, 1000}}
	m := New(start, Limits{Cores: 0.25, LinkBytesPerSecond: 1000, MemoryBytes: 100, Connections: 10}, func() Counters { return c })
	c.ProcessorTime += 12500 * time.Microsecond
	c.LinkOut += 75
	c.Delays = []uint64{1001, 1003}
	c.LiveBytes = 25
	load := m.Measure(start.Add(100*time.Millisecond), 4)
	assert.DeepEqual(t, load, Load{QueueDelay: 7500 * time.Microsecond, Processor: 0.5, Link: 0.75, Memory: 0.25, Connections: 0.4, MemoryAge: 100 * time.Millisecond})
	c.Collections++
	assert.Equal(t, m.Measure(start.Add(150*time.Millisecond), 0).MemoryAge, time.Duration(0))
	name, use := load.MostUsed()
	assert.Equal(t, name, Link)
	assert.Equal(t, use, 0.75)
	assert.Equal(t, m.Measure(start.Add(200*time.Millisecond), 0).Processor, 0.0)
}

// TestUnknownLimitsAreNeverReached guards against connections that are closed where the settings name no limit.
func TestUnknownLimitsAreNeverReached(t *testing.T) {
	var c Counters
	m := New(start, Limits{}, func() Counters { return c })
	c = Counters{ProcessorTime: time.Hour, LinkIn: 1 << 40, LiveBytes: 1 << 40}
	assert.DeepEqual(t, m.Measure(start, 1000), Load{})
	assert.DeepEqual(t, m.Measure(start.Add(time.Second), 1000), Load{MemoryAge: time.Second})
}

// TestProcessCountersAreRead guards against metrics that the runtime does not know, or that stand still.
func TestProcessCountersAreRead(t *testing.T) {
	read := NewProcessReader()
	before := read()
	done := make(chan struct{})
	for range 1000 {
		go func() { done <- struct{}{} }()
		<-done
	}
	after := read()
	assert.Assert(t, after.ProcessorTime > before.ProcessorTime)
	assert.Assert(t, after.LiveBytes > 0)
	assert.Equal(t, len(after.Bounds), len(after.Delays)+1)
	assert.Assert(t, sum(after.Delays) > sum(before.Delays))
}

func sum(counts []uint64) uint64 {
	var out uint64
	for _, n := range counts {
		out += n
	}
	return out
}
