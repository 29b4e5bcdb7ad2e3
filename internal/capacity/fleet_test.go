package capacity

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/dev"
)

// fleetSizes are the fleets of whole nodes that run in this process, with TLS.
var fleetSizes = []int{7, 14, 28}

// idleFor is how long an idle fleet is watched.
const idleFor = 10 * time.Second

// idle is what one node of an idle fleet costs.
type idle struct {
	bytesIn, bytesOut float64 // a second
	cpu               float64 // share of a core
	heap              float64
	stacks            float64
	goroutines        float64
	sessions          float64
	reads             float64 // of the platform, a second, all nodes
	// listChange is the bytes that one change of the VM list costs a node, both
	// ways, beyond the steady ones.
	listChange float64
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureIdle runs a fleet without callers. Processor time includes the
// stand-ins' answers to the owners' reads.
func measureIdle(b *testing.B, n int) idle {
	b.Helper()
	var out idle
	heap := heapOf(func() any {
		c, err := dev.Start(dev.Options{VMs: n, TLSDir: b.TempDir(), Level: "error"})
		assert.NilError(b, err)
		b.Cleanup(c.Close)
		waitSessions(c, n)
		in, sent, reads := totals(c)
		cpu, began := cpuTime(), time.Now()
		<-time.After(idleFor)
		took := time.Since(began).Seconds() * float64(n)
		in2, sent2, reads2 := totals(c)
		out.bytesIn, out.bytesOut = (in2-in)/took, (sent2-sent)/took
		out.cpu = (cpuTime() - cpu).Seconds() / took
		out.reads = (reads2 - reads) / time.Since(began).Seconds()
		var mem runtime.MemStats
		runtime.ReadMemStats(&mem)
		out.stacks = float64(mem.StackInuse) / float64(n)
		out.goroutines = float64(runtime.NumGoroutine()) / float64(n)
		out.listChange = measureListChange(c, n, out.bytesIn+out.bytesOut)
		for _, vm := range c.VMs {
			_, _, sessions := vm.Node.PeerTraffic()
			out.sessions += float64(sessions) / float64(n)
		}
		return c
	})
	out.heap = heap / float64(n)
	return out
}

// settleFor is how long the traffic after a change of the list takes.
const settleFor = 4 * time.Second

// measureListChange drops the last VM from the list: every other one asks all
// others for the outcome records that it should hold.
func measureListChange(c *dev.Cluster, n int, steady float64) float64 {
	in, out, _ := totals(c)
	began := time.Now()
	c.PublishVMs(c.VMs[n-1])
	<-time.After(settleFor)
	in2, out2, _ := totals(c)
	return (in2-in+out2-out)/float64(n) - steady*time.Since(began).Seconds()
}

// waitSessions waits until most pairs of nodes have met, as they do in time by
// comparing versions.
func waitSessions(c *dev.Cluster, n int) {
	for range 60 {
		sum := 0
		for _, vm := range c.VMs {
			_, _, sessions := vm.Node.PeerTraffic()
			sum += sessions
		}
		if sum >= n*(n-1) {
			return
		}
		<-time.After(time.Second)
	}
}

func totals(c *dev.Cluster) (in, out, reads float64) {
	for _, vm := range c.VMs {
		i, o, _ := vm.Node.PeerTraffic()
		in += float64(i)
		out += float64(o)
		reads += float64(vm.Node.PlatformReads())
	}
	return in, out, reads
}

// BenchmarkIdleFleet prints what an idle node costs in fleets of several sizes.
func BenchmarkIdleFleet(b *testing.B) {
	for range b.N {
		rows := []Row{
			{What: "control bytes received", Unit: "bytes/s a node"}, {What: "control bytes sent", Unit: "bytes/s a node"},
			{What: "processor time", Unit: "% of a core a node"}, {What: "heap", Unit: "KB a node"},
			{What: "goroutine stacks", Unit: "KB a node"}, {What: "goroutines", Unit: "a node"}, {What: "sessions", Unit: "a node"}, {What: "platform reads", Unit: "a second, fleet"},
			{What: "a change of the VM list", Unit: "bytes a node, both ways"},
		}
		for _, n := range fleetSizes {
			m := measureIdle(b, n)
			for i, y := range []float64{m.bytesIn, m.bytesOut, 100 * m.cpu, m.heap / 1024, m.stacks / 1024, m.goroutines, m.sessions, m.reads, m.listChange} {
				rows[i].Per, rows[i].Planned = "VMs", 330
				rows[i].Points = append(rows[i].Points, Point{X: float64(n), Y: y})
			}
		}
		fmt.Println(Table(rows))
	}
	b.ReportMetric(0, "ns/op")
}
