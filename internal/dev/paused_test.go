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

// daemonProcess is a daemon that runs in a separate process.
type daemonProcess struct {
	cmd                      *exec.Cmd
	frontend, peer, operator string
	log                      bytes.Buffer
}

// freeAddress returns a loopback address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// startProcess builds the daemon and starts it as a VM in the last availability zone of
// the cluster.
func startProcess(t *testing.T, c *Cluster) *daemonProcess {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "junctionfold")
	out, err := exec.Command("go", "build", "-o", bin, "../../cmd/junctionfold").CombinedOutput()
	assert.NilError(t, err, "%s", out)
	p := &daemonProcess{frontend: freeAddress(t), peer: freeAddress(t), operator: freeAddress(t)}
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
`, p.frontend, p.peer, p.operator, OperatorToken, c.platformURL, c.platformURL, orderToken, c.publicKey)
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

// suspend stops the process and waits until all its threads have stopped. SIGSTOP only asks for that:
// until the thread that takes the signal gets a processor, the others go on, and may answer requests.
func (p *daemonProcess) suspend(t *testing.T) {
	t.Helper()
	pid := p.cmd.Process.Pid
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	eventually(t, "the process to be suspended", func() bool {
		var status syscall.WaitStatus
		changed, err := syscall.Wait4(pid, &status, syscall.WUNTRACED|syscall.WNOHANG, nil)
		return err == nil && changed == pid && status.Stopped()
	})
}

// serving reports whether the process serves a target and no other VM may still use the
// target under an older fencing token.
func (p *daemonProcess) serving(target string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+p.operator+ops.StatusPath, http.NoBody)
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

// modelsRoutedTo returns the models for which the first VM chooses the given target.
func (c *Cluster) modelsRoutedTo(target string) []string {
	var out []string
	for _, m := range c.models() {
		if c.VMs[0].Node.Explain(m).GetChosen() == target {
			out = append(out, m)
		}
	}
	return out
}

// TestPausedOwner suspends the process of an owner while its requests run, and resumes it
// after another VM has taken over the target. No adapter may be evicted while it is in
// use, whether or not the engine checks fencing tokens.
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
			eventually(t, "the process to own the engine of its zone", func() bool { return p.serving(target) })
			models := c.modelsRoutedTo(target)
			assert.Assert(t, len(models) > 0)
			assert.NilError(t, c.chat(t.Context(), 0, models[0], "before the pause", false))

			var wg sync.WaitGroup
			results := make(chan error, 4)
			for i := range cap(results) {
				wg.Go(func() {
					results <- c.chat(t.Context(), i, models[0], fmt.Sprintf("in the pause, stream %d of many words that take a while", i), true)
				})
			}
			eventually(t, "requests to run", func() bool { return len(c.Engines[target].Runs()) >= 1+cap(results) })
			p.suspend(t)
			start := time.Now()
			eventually(t, "another VM to serve the engine", func() bool { return c.engineOwners(nil)[target] != "" })
			t.Logf("served by another VM after %s", time.Since(start))
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
			c.assertGuarantees(t)
		})
	}
}

// publishWith publishes a VM list with the cluster's VMs and the process.
func (c *Cluster) publishWith(p *daemonProcess) {
	var vms []standin.VM
	for _, vm := range c.VMs {
		vms = append(vms, standin.VM{ID: vm.ID, Zone: vm.Settings.Vm.Hall, Address: vm.Settings.Peer.Listen, State: "live"})
	}
	c.Platform.SetVMs(append(vms, standin.VM{ID: "entry-3", Zone: "koege-hal", Address: p.peer, State: "live"}))
}

// TestUnresponsiveOwner suspends the process of an owner permanently. As in a power
// failure, no connection is reset. A request that is sent to the owner before it is
// suspected must end with an unknown outcome within seconds, not at its deadline of five
// minutes.
func TestUnresponsiveOwner(t *testing.T) {
	const target = "koege-llm-1"
	c, err := Start(Options{VMs: 2, LoadTime: 5 * time.Millisecond})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	p := startProcess(t, c)
	c.publishWith(p)
	eventually(t, "the process to own the engine of its zone", func() bool { return p.serving(target) })
	model := c.modelsRoutedTo(target)[0]
	assert.NilError(t, c.chat(t.Context(), 0, model, "before", false))
	p.suspend(t)
	start := time.Now()
	r, err := Post(t.Context(), c.VMs[0].FrontendURL()+chatPath, ChatBody(model, "into the silence", false), nil)
	assert.NilError(t, err)
	elapsed := time.Since(start)
	t.Logf("response after %s: %s", elapsed, r.body)
	assert.Equal(t, gjson.GetBytes(r.body, "error.not_run").String(), "unknown")
	assert.Assert(t, elapsed < time.Minute)
}
