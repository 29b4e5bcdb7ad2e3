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

// newPrivateKey returns a new signing key with the key ID of the cluster's key.
func newPrivateKey(t *testing.T) []byte {
	t.Helper()
	key, _, err := bundle.NewKey(keyID)
	assert.NilError(t, err)
	return key
}

// startTestCluster starts a cluster whose network can be partitioned. It stops the
// cluster at the end of the test.
func startTestCluster(t *testing.T, opts Options) (*Cluster, *Network) {
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

// frontendURLs returns a function that lists the frontend URLs of all VMs except the one
// that down holds, as a load balancer would that skips VMs that are not ready.
func (c *Cluster) frontendURLs(down *atomic.Pointer[VM]) func() []string {
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

// requestEach sends a request to each model, through the VMs in turn, and checks the
// responses.
func (c *Cluster) requestEach(t *testing.T, models []string, text string) {
	t.Helper()
	for i, m := range models {
		assert.NilError(t, c.chat(t.Context(), i, m, text, false))
	}
}

// eventually waits up to 25 seconds for a condition. If it is not met, the test fails
// with description in its message.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", description)
	}, poll.WithTimeout(25*time.Second), poll.WithDelay(20*time.Millisecond))
}

// assertGuarantees checks that no engine evicted an adapter in use, and that no engine
// ran a request more than once.
func (c *Cluster) assertGuarantees(t *testing.T) {
	t.Helper()
	for name, e := range c.Engines {
		assert.DeepEqual(t, e.EvictedInUse(), []string(nil))
		for id, n := range e.Runs() {
			assert.Equal(t, n, 1, "%s ran request %s more than once", name, id)
		}
	}
}

// engineOwners returns the ID of the VM that serves each engine. It ignores the VM
// excluded, which may be nil.
func (c *Cluster) engineOwners(excluded *VM) map[string]string {
	out := map[string]string{}
	for _, vm := range c.VMs {
		if vm == excluded {
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
	c, _ := startTestCluster(t, Options{})
	ok := c.Check(t.Context(), func(r CheckResult) {
		t.Logf("%s: ok %t in %d ms %s", r.Name, r.OK, r.TookMs, r.Detail)
	})
	assert.Assert(t, ok)
	c.assertGuarantees(t)
}

// rollingRestartModels is the number of adapters that TestRollingRestart requests. It is
// lower than the number of adapter slots, so that only the restart can cause a refusal.
const rollingRestartModels = 8

// TestRollingRestart restarts every VM under load. No request may be lost if the load
// balancer skips VMs that are not ready.
func TestRollingRestart(t *testing.T) {
	c, _ := startTestCluster(t, Options{DrainMs: 200, TokenTime: time.Millisecond})
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(24, c.models()[:rollingRestartModels], c.frontendURLs(&down))
	for _, vm := range c.VMs {
		before := load.OK.Load()
		eventually(t, "responses before the restart", func() bool { return load.OK.Load() > before+50 })
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
	c.assertGuarantees(t)
}

// TestCrashAndTakeover kills a VM under load and checks that its target has a new owner
// within 10 seconds.
func TestCrashAndTakeover(t *testing.T) {
	c, _ := startTestCluster(t, Options{TokenTime: time.Millisecond})
	victim := c.VMs[1]
	orphaned := ""
	for target, owner := range c.engineOwners(nil) {
		if owner == victim.ID {
			orphaned = target
		}
	}
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(16, c.models(), c.frontendURLs(&down))
	eventually(t, "responses", func() bool { return load.OK.Load() > 100 })
	down.Store(victim)
	start := time.Now()
	victim.Kill()
	eventually(t, "a new owner", func() bool {
		return c.engineOwners(victim)[orphaned] != ""
	})
	elapsed := time.Since(start)
	load.Stop()
	t.Logf("target served again after %s; %s", elapsed, load)
	assert.Assert(t, elapsed < 10*time.Second)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertGuarantees(t)
}

// TestTakeoverDoesNotReloadAdapters crashes the owner of an engine that refuses orders
// with stale fencing tokens. The new owner must serve the resident adapters without
// loading them again.
func TestTakeoverDoesNotReloadAdapters(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	const target = "roskilde-llm-1"
	models := c.modelsRoutedTo(target)
	c.requestEach(t, models, "before")
	resident := c.Engines[target].Resident()
	assert.Assert(t, len(resident) > 0)
	before := c.Weights.Loads()
	c.VMs[1].Kill()
	eventually(t, "a new owner", func() bool { return c.engineOwners(c.VMs[1])[target] != "" })
	for _, m := range resident {
		assert.NilError(t, c.chat(t.Context(), 0, m, "after", false))
	}
	assert.DeepEqual(t, c.Weights.Loads(), before)
}

// TestRemovalFromVMListFreesSlots crashes the owner of an engine that ignores fencing
// tokens. The engine's adapters must stay resident while the VM list includes the
// crashed VM. After the VM is removed from the list, their slots can be reused.
func TestRemovalFromVMListFreesSlots(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	const target = "koege-llm-1"
	c.fillSlots(t, target)
	c.VMs[2].Kill()
	eventually(t, "a new owner", func() bool { return c.engineOwners(c.VMs[2])[target] != "" })
	before := c.Engines[target].Resident()
	for i, m := range c.models() {
		assert.NilError(t, c.chat(t.Context(), i%2, m, "while it is listed", false))
	}
	for _, name := range before {
		assert.Assert(t, slices.Contains(c.Engines[target].Resident(), name), "%s was evicted", name)
	}
	c.PublishVMs(c.VMs[2])
	eventually(t, "the slots to be reused", func() bool {
		for i, m := range c.models() {
			assert.NilError(t, c.chat(t.Context(), i%2, m, "after", false))
		}
		return !slices.Contains(c.Engines[target].Resident(), before[0])
	})
	c.assertGuarantees(t)
}

// fillSlots requests adapters until all slots of an engine are in use.
func (c *Cluster) fillSlots(t *testing.T, target string) {
	t.Helper()
	eventually(t, "the engine's slots to be full", func() bool {
		c.requestEach(t, c.models(), "fill")
		return len(c.Engines[target].Resident()) == 4
	})
}

// TestPartition isolates a VM under load, checks that both sides serve requests, and
// removes the partition. Every engine must have a single owner again, and all responses
// must be correct.
func TestPartition(t *testing.T) {
	c, network := startTestCluster(t, Options{TokenTime: time.Millisecond})
	var down atomic.Pointer[VM]
	load := c.StartLoadGenerator(16, c.models(), c.frontendURLs(&down))
	eventually(t, "responses", func() bool { return load.OK.Load() > 100 })
	network.Partition(map[string]int{"entry-3": 1})
	eventually(t, "each side to own every engine it can", func() bool {
		return len(c.VMs[2].Node.Status().Targets) >= 2
	})
	before := load.OK.Load()
	eventually(t, "responses in the partition", func() bool { return load.OK.Load() > before+100 })
	assertKeyedCallsInPartition(t, c)
	network.Partition(map[string]int{})
	eventually(t, "every engine to have one owner", func() bool { return len(c.VMs[2].Node.Status().Targets) > 0 && c.haveSoleOwners() })
	load.Stop()
	t.Log(load)
	assert.Equal(t, load.Wrong.Load(), int64(0), load.FirstWrong())
	c.assertGuarantees(t)
}

// assertKeyedCallsInPartition sends a call with the same idempotency key to every VM.
// The call must run once, and the isolated VM must report an unknown outcome.
func assertKeyedCallsInPartition(t *testing.T, c *Cluster) {
	t.Helper()
	const call = "ticket in the partition"
	header := http.Header{"Idempotency-Key": {"partition-1"}}
	statuses := make([]int, len(c.VMs))
	for i, vm := range c.VMs {
		r, err := Post(t.Context(), vm.FrontendURL()+"/services/tickets/jobs", []byte(call), header)
		assert.NilError(t, err)
		statuses[i] = r.status
		if i == 2 {
			assert.Equal(t, r.status, http.StatusServiceUnavailable, "%s", r.body)
			assert.Equal(t, gjson.GetBytes(r.body, "error.not_run").String(), "unknown")
		}
	}
	assert.DeepEqual(t, statuses, []int{200, 200, 503})
	assert.Equal(t, c.Services["glostrup-app-1"].Runs(call), 1)
}

// haveSoleOwners reports whether each engine is served by exactly one VM.
func (c *Cluster) haveSoleOwners() bool {
	owners := map[string]int{}
	for _, vm := range c.VMs {
		for _, target := range vm.Node.Status().Targets {
			if target.State == "serving" {
				owners[target.Target]++
			}
		}
	}
	for name := range c.Engines {
		if owners[name] != 1 {
			return false
		}
	}
	return true
}

// TestConfigurationServiceDown makes the platform unavailable. The VMs continue to
// serve, and a VM that restarts obtains the VM list and the newest bundle from its
// peers.
func TestConfigurationServiceDown(t *testing.T) {
	c, _ := startTestCluster(t, Options{DrainMs: 1})
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

// TestConfigurationNeverReverts publishes a change, and after it the old bundle, a
// damaged bundle and a bundle with a forged signature. The change must stay in force.
func TestConfigurationNeverReverts(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	old, err := SignedValues(c.Bundle(), c.Version(), c.privateKey)
	assert.NilError(t, err)
	c.Bundle().Adapters[0].Versions = append(c.Bundle().Adapters[0].Versions, "v7")
	start := time.Now()
	assert.NilError(t, c.Publish())
	isInForce := func() bool {
		for _, vm := range c.VMs {
			if vm.Node.Status().BundleVersion != c.Version() {
				return false
			}
		}
		return true
	}
	eventually(t, "the change in force everywhere", isInForce)
	t.Logf("in force everywhere after %s", time.Since(start))
	assert.NilError(t, c.chat(t.Context(), 1, c.Bundle().Adapters[0].Name+"@v7", "new version", false))

	c.Platform.Publish(old)
	c.Bundle().Adapters[0].Versions = []string{"v1"}
	damaged, err := SignedValues(c.Bundle(), c.Version()+1, c.privateKey)
	assert.NilError(t, err)
	for key, value := range damaged {
		if strings.Contains(key, "chunk") {
			damaged[key] = value[:len(value)/2]
		}
	}
	c.Platform.Publish(damaged)
	refusedAtLeast := func(n int64) func() bool {
		return func() bool {
			return slices.ContainsFunc(c.VMs, func(vm *VM) bool { return vm.Node.BundlesRefused() >= n })
		}
	}
	eventually(t, "the damaged bundle to be refused", refusedAtLeast(1))
	// The forged bundle must not share chunks with the damaged one. The damaged bundle has
	// a valid signature, so a VM that finds its chunks undamaged correctly applies it.
	c.Bundle().Adapters[0].Versions = []string{"v1", "v9"}
	forged, err := SignedValues(c.Bundle(), c.Version()+2, newPrivateKey(t))
	assert.NilError(t, err)
	c.Platform.Publish(forged)
	eventually(t, "the forged bundle to be refused", refusedAtLeast(2))
	for _, vm := range c.VMs {
		assert.Equal(t, vm.Node.Status().BundleVersion, c.Version(), vm.ID)
	}
	assert.NilError(t, c.chat(t.Context(), 2, c.Bundle().Adapters[0].Name+"@v7", "still there", false))
}

// TestRestartedVMIgnoresStaleConfigurationService restarts a VM while the configuration
// service serves an old bundle: the VM must obtain the newer one from its peers. After
// that the service serves a bundle without its chunks, which must be refused until the
// chunks are published.
func TestRestartedVMIgnoresStaleConfigurationService(t *testing.T) {
	c, _ := startTestCluster(t, Options{DrainMs: 1})
	old, err := SignedValues(c.Bundle(), c.Version(), c.privateKey)
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
	incomplete, err := SignedValues(c.Bundle(), c.Version()+1, c.privateKey)
	assert.NilError(t, err)
	missing := map[string][]byte{}
	for key, value := range incomplete {
		if strings.Contains(key, "chunk") {
			missing[key] = value
			delete(incomplete, key)
		}
	}
	c.Platform.Publish(incomplete)
	eventually(t, "the incomplete bundle to be refused", func() bool { return vm.Node.BundlesRefused() > 0 })
	assert.Equal(t, vm.Node.Status().BundleVersion, c.Version())
	c.Platform.Publish(missing) // the manifest does not change
	eventually(t, "the complete bundle in force", func() bool { return vm.Node.Status().BundleVersion == c.Version()+1 })
}

// TestRaisedRevisionReloadsAdapter raises the revision of an adapter. Engines must load
// the adapter again instead of using resident copies of the old revision, and callers
// must see the same model name.
func TestRaisedRevisionReloadsAdapter(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
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

// TestTargetRemovedFromBundleAndRestored removes an engine from the bundle while it runs
// a request, and adds it again. The request must complete, and its adapter must not be
// evicted while the request runs.
func TestTargetRemovedFromBundleAndRestored(t *testing.T) {
	c, _ := startTestCluster(t, Options{TokenTime: 10 * time.Millisecond})
	const target = "glostrup-llm-1"
	models := c.modelsRoutedTo(target)
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
	c.requestEach(t, append(models, c.models()...), "push it out")
	assert.NilError(t, <-done)
	c.assertGuarantees(t)
}

// TestTargetChangesAddress changes the address of a target. Its slots must be read from
// the new engine, and adapters of the old engine must not count as resident.
func TestTargetChangesAddress(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	const target = "roskilde-llm-1"
	models := c.modelsRoutedTo(target)
	c.requestEach(t, models, "at the old address")
	for _, declared := range c.Bundle().Targets {
		if declared.Name != target {
			continue
		}
		address, err := c.serve(c.newStandin(declared)) // replaces the engine in c.Engines
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
	c.assertGuarantees(t)
}

// TestEngineFaults checks the responses that callers receive after engines restart
// without their adapters.
func TestEngineFaults(t *testing.T) {
	c, _ := startTestCluster(t, Options{})
	t.Run("restart with empty slots", func(t *testing.T) {
		assert.NilError(t, c.chat(t.Context(), 0, "storm-summary@v1", "before", false))
		for _, e := range c.Engines {
			e.Restart()
		}
		for i := range 6 {
			assert.NilError(t, c.chat(t.Context(), i, "storm-summary@v1", fmt.Sprintf("after %d", i), i%2 == 0))
		}
	})
	c.assertGuarantees(t)
}

// TestCallerDisconnects disconnects a caller in the middle of a stream. The engine
// must end the request and release its adapter: no target may count a running request.
func TestCallerDisconnects(t *testing.T) {
	c, _ := startTestCluster(t, Options{TokenTime: 20 * time.Millisecond})
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
