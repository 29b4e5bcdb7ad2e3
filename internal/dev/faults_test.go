package dev

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/schema"
)

func newPrivateKey(t *testing.T) []byte {
	t.Helper()
	key, _, err := bundle.NewKey(keyID)
	assert.NilError(t, err)
	return key
}

// startFleet starts a cluster whose network can be cut.
func startFleet(t *testing.T, opts Options) (*Cluster, *Network) {
	t.Helper()
	n := NewNetwork()
	opts.Dial = n.Dial
	if opts.LoadTime == 0 {
		opts.LoadTime = 5 * time.Millisecond
	}
	opts.ModifyBundle = func(b *schema.Bundle) { b.Limits.LoadsPerSecond = 50 }
	c, err := Start(opts)
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	for _, vm := range c.VMs {
		n.Register(vm.ID, vm.Settings.Peer.Listen)
	}
	return c, n
}

// allDoors returns the doors of the VMs that are ready, as a balancer would.
func (c *Cluster) allDoors(down *atomic.Pointer[VM]) func() []string {
	return func() []string {
		var out []string
		for _, vm := range c.VMs {
			if vm != down.Load() {
				out = append(out, vm.FrontendURL())
			}
		}
		return out
	}
}

// askEach asks each model once, through each VM in turn, and wants the right answer.
func (c *Cluster) askEach(t *testing.T, models []string, text string) {
	t.Helper()
	for i, m := range models {
		assert.NilError(t, c.chat(t.Context(), i, m, text, false))
	}
}

// eventually waits for a condition; what it waits for is said when it fails.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(25*time.Second), poll.WithDelay(20*time.Millisecond))
}

// assertPromises checks what the engines and services saw.
func (c *Cluster) assertPromises(t *testing.T) {
	t.Helper()
	for name, e := range c.Engines {
		assert.DeepEqual(t, e.EvictedInUse(), []string(nil))
		for id, n := range e.Runs() {
			assert.Equal(t, n, 1, "%s ran request %s more than once", name, id)
		}
	}
}

// engineOwners says which VM serves each engine, leaving out one that is dead.
func (c *Cluster) engineOwners(dead *VM) map[string]string {
	out := map[string]string{}
	for _, vm := range c.VMs {
		if vm == dead {
			continue
		}
		for _, target := range vm.Node.Status().Targets {
			if target.State == "serving" {
				out[target.Target] = vm.ID
			}
		}
	}
	return out
}

func TestChecksPass(t *testing.T) {
	c, _ := startFleet(t, Options{})
	ok := c.Check(t.Context(), func(r CheckResult) {
		t.Logf("%s: ok %t in %d ms %s", r.Name, r.OK, r.TookMs, r.Detail)
	})
	assert.Assert(t, ok)
	c.assertPromises(t)
}

// restartModels is how many adapters the load of the rolling restart uses: fewer
// than there are slots, so that a refusal can only come of the restart.
const restartModels = 8

// TestRollingRestart restarts every VM under load. A balancer that leaves out a
// VM which is not ready loses nothing.
func TestRollingRestart(t *testing.T) {
	c, _ := startFleet(t, Options{DrainMs: 200, TokenTime: time.Millisecond})
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(24, c.models()[:restartModels], c.allDoors(&down))
	for _, vm := range c.VMs {
		before := load.OK.Load()
		eventually(t, "answers before the restart", func() bool { return load.OK.Load() > before+50 })
		down.Store(vm)
		assert.NilError(t, vm.Stop())
		assert.NilError(t, c.Restart(vm))
		eventually(t, "the VM to be ready again", vm.Node.Ready)
		down.Store(nil)
	}
	load.Stop()
	t.Log(load)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	assert.Equal(t, load.Unknown.Load(), int64(0))
	assert.Equal(t, load.Refused.Load(), int64(0))
	assert.Equal(t, load.Aborted.Load(), int64(0))
	c.assertPromises(t)
}

// TestCrashAndTakeover kills a VM under load and waits until its target has a
// new owner.
func TestCrashAndTakeover(t *testing.T) {
	c, _ := startFleet(t, Options{TokenTime: time.Millisecond})
	victim := c.VMs[1]
	lost := ""
	for target, owner := range c.engineOwners(nil) {
		if owner == victim.ID {
			lost = target
		}
	}
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(16, c.models(), c.allDoors(&down))
	eventually(t, "answers", func() bool { return load.OK.Load() > 100 })
	down.Store(victim)
	began := time.Now()
	victim.Kill()
	eventually(t, "a new owner", func() bool {
		return c.engineOwners(victim)[lost] != ""
	})
	took := time.Since(began)
	load.Stop()
	t.Logf("target served again after %s; %s", took, load)
	assert.Assert(t, took < 10*time.Second)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertPromises(t)
}

// TestTakeoverRepeatsNoLoad crashes the owner of an engine that refuses old
// numbers; its successor serves what the engine holds without loading it again.
func TestTakeoverRepeatsNoLoad(t *testing.T) {
	c, _ := startFleet(t, Options{})
	const target = "roskilde-llm-1"
	models := c.adaptersAt(target)
	c.askEach(t, models, "before")
	held := c.Engines[target].Resident()
	assert.Assert(t, len(held) > 0)
	before := c.Weights.Loads()
	c.VMs[1].Kill()
	eventually(t, "a new owner", func() bool { return c.engineOwners(c.VMs[1])[target] != "" })
	for _, m := range held {
		assert.NilError(t, c.chat(t.Context(), 0, m, "after", false))
	}
	assert.DeepEqual(t, c.Weights.Loads(), before)
}

// TestListFreesSlots crashes the owner of an engine that ignores numbers. While
// the list shows it, its adapters stay; once the list drops it their slots can be
// used.
func TestListFreesSlots(t *testing.T) {
	c, _ := startFleet(t, Options{})
	const target = "koege-llm-1"
	c.fill(t, target)
	c.VMs[2].Kill()
	eventually(t, "a new owner", func() bool { return c.engineOwners(c.VMs[2])[target] != "" })
	before := c.Engines[target].Resident()
	for i, m := range c.models() {
		assert.NilError(t, c.chat(t.Context(), i%2, m, "while it is listed", false))
	}
	for _, name := range before {
		assert.Assert(t, slices.Contains(c.Engines[target].Resident(), name), "%s is gone", name)
	}
	c.PublishVMs(c.VMs[2])
	eventually(t, "the slots to be used", func() bool {
		for i, m := range c.models() {
			assert.NilError(t, c.chat(t.Context(), i%2, m, "after", false))
		}
		return !slices.Contains(c.Engines[target].Resident(), before[0])
	})
	c.assertPromises(t)
}

// fill asks for adapters until an engine's slots are all in use.
func (c *Cluster) fill(t *testing.T, target string) {
	t.Helper()
	eventually(t, "the engine's slots to be full", func() bool {
		c.askEach(t, c.models(), "fill")
		return len(c.Engines[target].Resident()) == 4
	})
}

// TestPartition cuts one VM off, lets both sides serve, and heals.
func TestPartition(t *testing.T) {
	c, network := startFleet(t, Options{TokenTime: time.Millisecond})
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(16, c.models(), c.allDoors(&down))
	eventually(t, "answers", func() bool { return load.OK.Load() > 100 })
	network.Partition(map[string]int{"entry-3": 1})
	eventually(t, "each side to own every engine it can", func() bool {
		return len(c.VMs[2].Node.Status().Targets) >= 2
	})
	before := load.OK.Load()
	eventually(t, "answers in the partition", func() bool { return load.OK.Load() > before+100 })
	keyedInPartition(t, c)
	network.Partition(map[string]int{})
	eventually(t, "one owner each", func() bool { return len(c.VMs[2].Node.Status().Targets) > 0 && c.soleOwners() })
	load.Stop()
	t.Log(load)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertPromises(t)
}

// keyedInPartition repeats a keyed call on both sides of a cut.
func keyedInPartition(t *testing.T, c *Cluster) {
	t.Helper()
	const ticket = "ticket in the partition"
	header := http.Header{"Idempotency-Key": {"partition-1"}}
	statuses := make([]int, len(c.VMs))
	for i, vm := range c.VMs {
		r, err := Post(t.Context(), vm.FrontendURL()+"/services/tickets/jobs", []byte(ticket), header)
		assert.NilError(t, err)
		statuses[i] = r.status
		if i == 2 {
			assert.Equal(t, r.status, http.StatusServiceUnavailable, "%s", r.body)
			assert.Equal(t, gjson.GetBytes(r.body, "error.not_run").String(), "unknown")
		}
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 503})
	assert.Equal(t, c.Services["glostrup-app-1"].Runs(ticket), 1)
}

// soleOwners reports whether each engine is served by exactly one VM.
func (c *Cluster) soleOwners() bool {
	count := map[string]int{}
	for _, vm := range c.VMs {
		for _, target := range vm.Node.Status().Targets {
			if target.State == "serving" {
				count[target.Target]++
			}
		}
	}
	for name := range c.Engines {
		if count[name] != 1 {
			return false
		}
	}
	return true
}

// TestConfigurationServiceDown takes the platform away: serving goes on, a VM
// that restarts gets list and bundle from its peers, and a version that one VM
// has seen reaches all.
func TestConfigurationServiceDown(t *testing.T) {
	c, _ := startFleet(t, Options{DrainMs: 1})
	c.Platform.SetDown(true)
	assert.NilError(t, c.chat(t.Context(), 0, "plough-notes@v1", "without the platform", true))
	vm := c.VMs[2]
	assert.NilError(t, vm.Stop())
	vm.Settings.Platform.Seeds = []string{c.VMs[0].Settings.Peer.Listen}
	assert.NilError(t, c.Restart(vm))
	eventually(t, "the VM to be ready from its peers alone", vm.Node.Ready)
	assert.NilError(t, c.chat(t.Context(), 2, "plough-notes@v2", "from a fresh VM", false))
	assert.Equal(t, vm.Node.Status().BundleVersion, c.Version())
}

// TestConfigurationNeverReverts publishes a change, then goes back, damages and
// mis-signs it.
func TestConfigurationNeverReverts(t *testing.T) {
	c, _ := startFleet(t, Options{})
	old, err := SignedValues(c.Bundle(), c.Version(), c.private)
	assert.NilError(t, err)
	c.Bundle().Adapters[0].Versions = append(c.Bundle().Adapters[0].Versions, "v7")
	began := time.Now()
	assert.NilError(t, c.Publish())
	inForce := func() bool {
		for _, vm := range c.VMs {
			if vm.Node.Status().BundleVersion != c.Version() {
				return false
			}
		}
		return true
	}
	eventually(t, "the change in force everywhere", inForce)
	t.Logf("in force everywhere after %s", time.Since(began))
	assert.NilError(t, c.chat(t.Context(), 1, c.Bundle().Adapters[0].Name+"@v7", "new version", false))

	c.Platform.Publish(old)
	c.Bundle().Adapters[0].Versions = []string{"v1"}
	damaged, err := SignedValues(c.Bundle(), c.Version()+1, c.private)
	assert.NilError(t, err)
	for key, value := range damaged {
		if strings.Contains(key, "chunk") {
			damaged[key] = value[:len(value)/2]
		}
	}
	c.Platform.Publish(damaged)
	refused := func(n int64) func() bool {
		return func() bool {
			return slices.ContainsFunc(c.VMs, func(vm *VM) bool { return vm.Node.BundlesRefused() >= n })
		}
	}
	eventually(t, "the damaged bundle to be refused", refused(1))
	// Its chunks are others than those of the damaged bundle, which is signed by the operators and
	// rightly comes into force where a VM finds its chunks whole.
	c.Bundle().Adapters[0].Versions = []string{"v1", "v9"}
	forged, err := SignedValues(c.Bundle(), c.Version()+2, newPrivateKey(t))
	assert.NilError(t, err)
	c.Platform.Publish(forged)
	eventually(t, "the forged bundle to be refused", refused(2))
	for _, vm := range c.VMs {
		assert.Equal(t, vm.Node.Status().BundleVersion, c.Version(), vm.ID)
	}
	assert.NilError(t, c.chat(t.Context(), 2, c.Bundle().Adapters[0].Name+"@v7", "still there", false))
}

// TestFreshVMMeetsStaleService starts a VM anew while the service shows an old
// bundle, and publishes one with half of its chunks: neither comes into force.
func TestFreshVMMeetsStaleService(t *testing.T) {
	c, _ := startFleet(t, Options{DrainMs: 1})
	old, err := SignedValues(c.Bundle(), c.Version(), c.private)
	assert.NilError(t, err)
	c.Bundle().Adapters[0].Versions = append(c.Bundle().Adapters[0].Versions, "v7")
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	c.Platform.Publish(old)
	vm := c.VMs[1]
	assert.NilError(t, vm.Stop())
	assert.NilError(t, c.Restart(vm))
	eventually(t, "the VM to be ready", vm.Node.Ready)
	eventually(t, "the newer version from its peers", func() bool { return vm.Node.Status().BundleVersion == c.Version() })

	c.Bundle().Adapters[0].Versions = append(c.Bundle().Adapters[0].Versions, "v8")
	half, err := SignedValues(c.Bundle(), c.Version()+1, c.private)
	assert.NilError(t, err)
	missing := map[string][]byte{}
	for key, value := range half {
		if strings.Contains(key, "chunk") {
			missing[key] = value
			delete(half, key)
		}
	}
	c.Platform.Publish(half)
	eventually(t, "the half bundle to be refused", func() bool { return vm.Node.BundlesRefused() > 0 })
	assert.Equal(t, vm.Node.Status().BundleVersion, c.Version())
	c.Platform.Publish(missing) // the manifest does not change
	eventually(t, "the whole bundle in force", func() bool { return vm.Node.Status().BundleVersion == c.Version()+1 })
}

// TestVersionMadeAnew raises an adapter's revision: copies of the old version that
// engines hold are not used any more, and callers see no other name.
func TestVersionMadeAnew(t *testing.T) {
	c, _ := startFleet(t, Options{})
	const model = "cab-answers@v3"
	assert.NilError(t, c.chat(t.Context(), 0, model, "old", false))
	for _, a := range c.Bundle().Adapters {
		if a.Name == "cab-answers" {
			a.Revision = 1
		}
	}
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	for i := range c.VMs {
		assert.NilError(t, c.chat(t.Context(), i, model, "new", i%2 == 0))
	}
	assert.Equal(t, c.Weights.Loads()[model], 2)
}

// TestTargetLeavesBundle takes an engine out of the bundle while a request runs
// there, and brings it back: the request ends whole, and its adapter is kept.
func TestTargetLeavesBundle(t *testing.T) {
	c, _ := startFleet(t, Options{TokenTime: 10 * time.Millisecond})
	const target = "glostrup-llm-1"
	models := c.adaptersAt(target)
	done := make(chan error, 1)
	go func() {
		done <- c.chat(t.Context(), 1, models[0], strings.TrimSpace(strings.Repeat("long ", 100)), true)
	}()
	eventually(t, "the request to run", func() bool { return len(c.Engines[target].Runs()) == 1 })
	all := c.Bundle().Targets
	c.Bundle().Targets = slices.DeleteFunc(slices.Clone(all), func(t *schema.Target) bool { return t.Name == target })
	assert.NilError(t, c.Publish())
	eventually(t, "the change in force", func() bool { return c.VMs[0].Node.Status().BundleVersion == c.Version() })
	c.Bundle().Targets = all
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	c.askEach(t, append(models, c.models()...), "push it out")
	assert.NilError(t, <-done)
	c.assertPromises(t)
}

// TestTargetMoves gives a target another address: its slots are read anew there,
// and what the old engine held is not taken for resident.
func TestTargetMoves(t *testing.T) {
	c, _ := startFleet(t, Options{})
	const target = "roskilde-llm-1"
	models := c.adaptersAt(target)
	c.askEach(t, models, "at the old address")
	for _, declared := range c.Bundle().Targets {
		if declared.Name != target {
			continue
		}
		address, err := c.serve(c.target(declared)) // a fresh engine, also in c.Engines
		assert.NilError(t, err)
		declared.Address = address
	}
	assert.NilError(t, c.Publish())
	assert.NilError(t, c.WaitReady(readyTimeout))
	eventually(t, "the new engine to serve", func() bool {
		for i, m := range models {
			assert.NilError(t, c.chat(t.Context(), i, m, "at the new address", i%2 == 0))
		}
		return len(c.Engines[target].Runs()) > 0
	})
	c.assertPromises(t)
}

// TestEngineFaults shows what callers get when engines fail.
func TestEngineFaults(t *testing.T) {
	c, _ := startFleet(t, Options{})
	t.Run("restart with empty slots", func(t *testing.T) {
		assert.NilError(t, c.chat(t.Context(), 0, "storm-summary@v1", "before", false))
		for _, e := range c.Engines {
			e.Restart()
		}
		for i := range 6 {
			assert.NilError(t, c.chat(t.Context(), i, "storm-summary@v1", fmt.Sprintf("after %d", i), i%2 == 0))
		}
	})
	c.assertPromises(t)
}

// TestCallerLeaves lets a caller go in mid-stream; the engine's run ends and its
// adapter is free again.
func TestCallerLeaves(t *testing.T) {
	c, _ := startFleet(t, Options{TokenTime: 20 * time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.VMs[0].FrontendURL()+chatPath,
		strings.NewReader(string(ChatBody("plough-notes@v1", strings.Repeat("word ", 500), true))))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	var first [64]byte
	_, err = resp.Body.Read(first[:])
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	eventually(t, "the run to end", func() bool {
		for _, vm := range c.VMs {
			for _, target := range vm.Node.Status().Targets {
				if target.Running > 0 {
					return false
				}
			}
		}
		return true
	})
}
