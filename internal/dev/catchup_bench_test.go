package dev

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/schema"
)

// BenchmarkCatchUp publishes new adapter versions and requests each from the first
// VM that has the new bundle. The owner of the target may not have that bundle yet.
// The owner decides on the request only after its bundle has reached the version of
// the sending VM.
func BenchmarkCatchUp(b *testing.B) {
	c, err := Start(Options{VMs: 7, LoadTime: time.Millisecond, Level: "error", ModifyBundle: func(bundle *schema.Bundle) {
		bundle.Limits.LoadsPerSecond = 1000
	}})
	assert.NilError(b, err)
	b.Cleanup(c.Close)
	failed, requested := 0, 0
	var slowest time.Duration
	for range 40 {
		for _, a := range c.Bundle().Adapters {
			a.Versions = append(a.Versions, fmt.Sprintf("n%d", c.Version()))
		}
		assert.NilError(b, c.Publish())
		vm := c.firstVMWithNewestBundle()
		for _, a := range c.Bundle().Adapters[:3] {
			requested++
			start := time.Now()
			if err := c.chat(b.Context(), vm, a.Name+"@"+a.Versions[len(a.Versions)-1], "new", false); err != nil {
				failed++
			}
			slowest = max(slowest, time.Since(start))
		}
		assert.NilError(b, c.WaitReady(readyTimeout))
	}
	b.ReportMetric(float64(failed), "failed")
	b.ReportMetric(float64(requested), "asked")
	b.ReportMetric(float64(slowest.Milliseconds()), "slowest_ms")
	b.ReportMetric(0, "ns/op")
}

// firstVMWithNewestBundle waits until a VM has the newest bundle and returns the VM's
// index.
func (c *Cluster) firstVMWithNewestBundle() int {
	for {
		for i, vm := range c.VMs {
			if vm.Node.Status().BundleVersion == c.version {
				return i
			}
		}
	}
}
