package dev

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// BenchmarkCatchUp publishes new versions and asks for each at the first VM that
// has it. The owner of its target may not have it yet: it waits until its bundle
// has reached the sender's version, and then decides.
func BenchmarkCatchUp(b *testing.B) {
	c, err := Start(Options{VMs: 7, LoadTime: time.Millisecond, Level: "error", ModifyBundle: func(bundle *schema.Bundle) {
		bundle.Limits.LoadsPerSecond = 1000
	}})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	failed, asked := 0, 0
	var slowest time.Duration
	for range 40 {
		for _, a := range c.Bundle().Adapters {
			a.Versions = append(a.Versions, fmt.Sprintf("n%d", c.Version()))
		}
		assert.NilError(b, c.Publish())
		vm := c.firstWithNewest()
		for _, a := range c.Bundle().Adapters[:3] {
			asked++
			began := time.Now()
			if err := c.chat(b.Context(), vm, a.Name+"@"+a.Versions[len(a.Versions)-1], "new", false); err != nil {
				failed++
			}
			slowest = max(slowest, time.Since(began))
		}
		assert.NilError(b, c.WaitReady(readyTimeout))
	}
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(float64(asked), "asked")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest_ms")
	b.ReportMetric(0, "ns/op")
}

// firstWithNewest waits until a VM has the newest bundle and returns it.
func (c *Cluster) firstWithNewest() int {
	for {
		for i, vm := range c.VMs {
			if vm.Node.Status().BundleVersion == c.version {
				return i
			}
		}
	}
}
