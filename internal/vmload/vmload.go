// Package vmload measures how much of its limits a VM uses.
package vmload

import (
	"math"
	"runtime/metrics"
	"slices"
	"syscall"
	"time"
)

// Limits are the limits of a VM. A limit of 0 is unknown, and its use is always 0.
type Limits struct {
	// Cores is the processor time per second, in seconds.
	Cores float64
	// LinkBytesPerSecond is the bandwidth of the link in each direction.
	LinkBytesPerSecond float64
	// MemoryBytes is the memory that live data may take.
	MemoryBytes float64
	// Connections is the number of open connections of callers.
	Connections int
}

// Load is a measurement. Uses are shares of a limit; 1 means that it is reached.
type Load struct {
	// QueueDelay is the mean time that goroutines which could run waited for the processor.
	QueueDelay                           time.Duration
	Processor, Link, Memory, Connections float64
	// MemoryAge is the time since the garbage collection that measured Memory.
	MemoryAge time.Duration
}

// Names of the limits in logs.
const Processor, Link, Memory, Connections = "processor", "link", "memory", "connections"

// MostUsed returns the name and the use of the limit that is closest to being reached.
func (l Load) MostUsed() (name string, use float64) {
	name, use = Processor, l.Processor
	for _, other := range []struct {
		name string
		use  float64
	}{{Link, l.Link}, {Memory, l.Memory}, {Connections, l.Connections}} {
		if other.use > use {
			name, use = other.name, other.use
		}
	}
	return name, use
}

// Counters are counts since the start of the process.
type Counters struct {
	// ProcessorTime is the time that the process ran.
	ProcessorTime time.Duration
	// Delays counts goroutines by how long they waited, and Bounds are the bounds of these buckets in
	// seconds, one more than there are buckets.
	Delays []uint64
	Bounds []float64
	// LiveBytes is the memory that the last garbage collection kept, with the stacks.
	LiveBytes uint64
	// Collections is the number of garbage collections.
	Collections uint64
	// LinkIn and LinkOut are the bytes that were received and sent.
	LinkIn, LinkOut int64
}

// Meter measures the load between two calls of Measure. It is not safe for concurrent use.
type Meter struct {
	limits Limits
	read   func() Counters
	at     time.Time
	last   Counters
	// collectedAt is when a new collection was last seen.
	collectedAt time.Time
}

// New returns a Meter that measures from now on. read returns the counters.
func New(now time.Time, limits Limits, read func() Counters) *Meter {
	return &Meter{limits: limits, read: read, at: now, last: read(), collectedAt: now}
}

// Measure returns the load since the last call. connections is the number of open connections of callers.
func (m *Meter) Measure(now time.Time, connections int) Load {
	elapsed, c := now.Sub(m.at).Seconds(), m.read()
	if c.Collections != m.last.Collections {
		m.collectedAt = now
	}
	linkBytes := float64(max(c.LinkIn-m.last.LinkIn, c.LinkOut-m.last.LinkOut))
	load := Load{
		QueueDelay:  meanDelay(m.last.Delays, c),
		Processor:   use((c.ProcessorTime-m.last.ProcessorTime).Seconds()/elapsed, m.limits.Cores),
		Link:        use(linkBytes/elapsed, m.limits.LinkBytesPerSecond),
		Memory:      use(float64(c.LiveBytes), m.limits.MemoryBytes),
		Connections: use(float64(connections), float64(m.limits.Connections)),
		MemoryAge:   now.Sub(m.collectedAt),
	}
	m.at, m.last = now, c
	return load
}

func use(used, limit float64) float64 {
	if limit <= 0 || math.IsInf(used, 0) || math.IsNaN(used) {
		return 0
	}
	return used / limit
}

// meanDelay returns the mean of the delays that were counted since before. A delay counts as the lower bound
// of its bucket.
func meanDelay(before []uint64, c Counters) time.Duration {
	var count, sum float64
	for i, total := range c.Delays {
		n := float64(total)
		if i < len(before) {
			n -= float64(before[i])
		}
		count += n
		sum += n * max(c.Bounds[i], 0)
	}
	return time.Duration(sum / max(count, 1) * float64(time.Second))
}

// Names of metrics of the runtime.
const (
	delaysMetric      = "/sched/latencies:seconds"
	liveMetric        = "/gc/heap/live:bytes"
	stacksMetric      = "/memory/classes/heap/stacks:bytes"
	collectionsMetric = "/gc/cycles/total:gc-cycles"
)

// NewProcessReader returns a function that reads the counters of this process, except for those of the link.
func NewProcessReader() func() Counters {
	samples := []metrics.Sample{{Name: delaysMetric}, {Name: liveMetric}, {Name: stacksMetric}, {Name: collectionsMetric}}
	return func() Counters {
		metrics.Read(samples)
		delays := samples[0].Value.Float64Histogram()
		return Counters{
			ProcessorTime: processorTime(),
			Delays:        slices.Clone(delays.Counts), Bounds: delays.Buckets,
			LiveBytes:   samples[1].Value.Uint64() + samples[2].Value.Uint64(),
			Collections: samples[3].Value.Uint64(),
		}
	}
}

// processorTime returns the time that the process ran, or 0 if the kernel does not tell.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
