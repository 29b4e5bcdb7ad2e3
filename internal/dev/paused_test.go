package dev

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/tidwall/gjson"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	"github.com/junctionfold/junctionfold/internal/ops"
	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/schema"
)

// process is a daemon as a process of its own.
type process struct {
	cmd             *exec.Cmd
	door, peer, ops string
	log             bytes.Buffer
}

// freeAddress returns a loopback address that nothing listens at.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProcess builds the daemon and starts it as a VM of the cluster's last
// hall.
func startProcess(t *testing.T, c *Cluster) *process {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "junctionfold")
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/junctionfold").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	p := &process{door: freeAddress(t), peer: freeAddress(t), ops: freeAddress(t)}
	settings := fmt.Sprintf(`[vm]
id = entry-3
hall = koege-hal
[door]
listen = %s
[peer]
listen = %s
insecure_loopback = yes
[operator]
listen = %s
token = %s
[platform]
config_url = %s
vm_list_url = %s
order_token = %s
[trust]
public_keys = %s
`, p.door, p.peer, p.ops, OperatorToken, c.base, c.base, orderToken, c.public)
	file := filepath.Join(dir, "entry-3.ini")
	assert.NilError(t, os.WriteFile(file, []byte(settings), 0o600))
	p.cmd = exec.Command(bin, "serve", "--settings", file)
	p.cmd.Stderr = &p.log
	assert.NilError(t, p.cmd.Start())
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		_ = p.cmd.Wait()
	})
	return p
}

// serving reports whether the process serves a target.
func (p *process) serving(target string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.ops+ops.StatusPath, http.NoBody)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	client := http.Client{Timeout: time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var body bytes.Buffer
	status := &schema.Status{}
	if _, err := body.ReadFrom(resp.Body); err != nil || protojson.Unmarshal(body.Bytes(), status) != nil {
		return false
	}
	for _, t := range status.Targets {
		if t.Target == target && t.State == "serving" && len(t.Holds) == 0 {
			return true
		}
	}
	return false
}

// adaptersAt returns the models whose first target is the given one.
func (c *Cluster) adaptersAt(target string) []string {
	var out []string
	for _, m := range c.models() {
		if c.VMs[0].Node.Explain(m).GetChosen() == target {
			out = append(out, m)
		}
	}
	return out
}

// TestPausedOwner stops an owner's process in the middle of its requests, lets
// another VM take its target over, and wakes it.
func TestPausedOwner(t *testing.T) {
	const target = "koege-llm-1"
	for _, fencing := range []schema.Fencing{schema.Fencing_FENCING_REFUSES, schema.Fencing_FENCING_IGNORES} {
		t.Run(fencing.String(), func(t *testing.T) {
			c, err := Start(Options{VMs: 2, LoadTime: 5 * time.Millisecond, TokenTime: 10 * time.Millisecond, ModifyBundle: func(b *schema.Bundle) {
				b.Limits.LoadsPerSecond = 50
				for _, engine := range b.Targets {
					if engine.Name == target {
						engine.Fencing = fencing
					}
				}
			}})
			assert.NilError(t, err)
			t.Cleanup(c.Close)
			p := startProcess(t, c)
			c.publishWith(p)
			eventually(t, "the process to own its hall's engine", func() bool { return p.serving(target) })
			models := c.adaptersAt(target)
			assert.Assert(t, len(models) > 0)
			assert.NilError(t, c.chat(t.Context(), 0, models[0], "before the pause", false))

			var wg sync.WaitGroup
			running := make(chan error, 4)
			for i := range cap(running) {
				wg.Go(func() {
					running <- c.chat(t.Context(), i, models[0], fmt.Sprintf("in the pause, stream %d of many words that take a while", i), true)
				})
			}
			eventually(t, "requests to run", func() bool { return len(c.Engines[target].Runs()) >= 1+cap(running) })
			assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
			began := time.Now()
			eventually(t, "another VM to serve the engine", func() bool { return c.engineOwners(nil)[target] != "" })
			t.Logf("served by another VM after %s", time.Since(began))
			for i, m := range c.models() { // more adapters than slots
				_ = c.chat(t.Context(), i, m, "while it is paused", false)
			}
			assert.NilError(t, p.cmd.Process.Signal(syscall.SIGCONT))
			wg.Wait()
			eventually(t, "the process to own its engine again", func() bool {
				return p.serving(target) && c.engineOwners(nil)[target] == ""
			})
			for i, m := range models {
				assert.NilError(t, c.chat(t.Context(), i, m, "after the pause", i%2 == 0))
			}
			c.assertPromises(t)
		})
	}
}

// publishWith publishes the list of the cluster's VMs and the process.
func (c *Cluster) publishWith(p *process) {
	var list []standin.VM
	for _, vm := range c.VMs {
		list = append(list, standin.VM{ID: vm.ID, Zone: vm.Settings.Vm.Hall, Address: vm.Settings.Peer.Listen, State: "live"})
	}
	c.Platform.SetVMs(append(list, standin.VM{ID: "entry-3", Zone: "koege-hal", Address: p.peer, State: "live"}))
}

// TestSilentOwner stops an owner's process for good, as a loss of power would: no
// connection is reset. A request sent to it before it is suspect ends as unknown
// within seconds and not at its deadline of five minutes.
func TestSilentOwner(t *testing.T) {
	const target = "koege-llm-1"
	c, err := Start(Options{VMs: 2, LoadTime: 5 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	p := startProcess(t, c)
	c.publishWith(p)
	eventually(t, "the process to own its hall's engine", func() bool { return p.serving(target) })
	model := c.adaptersAt(target)[0]
	assert.NilError(t, c.chat(t.Context(), 0, model, "before", false))
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	began := time.Now()
	r, err := Post(t.Context(), c.VMs[0].FrontendURL()+chatPath, ChatBody(model, "into the silence", false), nil)
	assert.NilError(t, err)
	took := time.Since(began)
	t.Logf("answered after %s: %s", took, r.body)
	assert.Equal(t, gjson.GetBytes(r.body, "error.not_run").String(), "unknown")
	assert.Assert(t, took < time.Minute)
}
