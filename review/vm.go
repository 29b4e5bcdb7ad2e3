package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// settingsText has the settings of a machine of a small deployment, as deploy/settings.ini lays them out.
const settingsText = `[vm]
id = %s
zone = %s
memory_mb = 284
cpu_share = 0.4
cpu_cores = 1
link_mbps = 1000
max_fds = 4100
[listen]
door = %s
ready = %s
peer = %s
metrics = %s
seeds = %s
[store]
address = %s
[times]
grace_s = 8
drain_ms = 2000
config_apply_ms = 2000
[retry]
ratio = 0.2
slack = 54
[quota]
[orders]
lease_ms = 3000
load_over = 1.1
engines_check_fence = true
[log]
level = info
`

// vm is one machine of the system, with its process.
type vm struct {
	id, zone, front, ready, peer, metrics string
	file, logFile                         string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// fleet is the set of machines of a case.
type fleet struct {
	dir, program string
	vms          []*vm
	store        *store
}

// newFleet writes the settings of n machines in three zones.
func newFleet(dir, program string, st *store, n int) (*fleet, error) {
	f := &fleet{dir: dir, program: program, store: st}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range n {
		zone := zones[i%len(zones)]
		v := &vm{
			id: fmt.Sprintf("edge-%s-%d", zone, i/len(zones)+1), zone: zone,
			front: freeAddress(), ready: freeAddress(), peer: freeAddress(), metrics: freeAddress(),
		}
		v.file, v.logFile = filepath.Join(dir, v.id+".ini"), filepath.Join(dir, v.id+".log")
		f.vms = append(f.vms, v)
	}
	var seeds []string
	for _, v := range f.vms[:min(3, n)] {
		seeds = append(seeds, v.peer)
	}
	for _, v := range f.vms {
		text := fmt.Sprintf(settingsText, v.id, v.zone, v.front, v.ready, v.peer, v.metrics, strings.Join(seeds, ","), st.addr)
		if err := os.WriteFile(v.file, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (f *fleet) start(v *vm) error {
	log, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(f.program, "edge")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, wire("settingsEnv") + "=" + v.file}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	v.mu.Lock()
	v.cmd, v.done = cmd, done
	v.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

func (f *fleet) startAll() error {
	for _, v := range f.vms {
		if err := f.start(v); err != nil {
			return err
		}
	}
	return nil
}

// signal sends a signal to the process of a machine.
func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.cmd != nil && v.cmd.Process != nil {
		_ = v.cmd.Process.Signal(s)
	}
}

// kill ends the process of a machine and waits for its end.
func (v *vm) kill() {
	v.signal(syscall.SIGKILL)
	v.mu.Lock()
	done := v.done
	v.mu.Unlock()
	if done != nil {
		<-done
	}
}

func (f *fleet) killAll() {
	for _, v := range f.vms {
		v.kill()
	}
}

// isReady reports whether a machine says that it is ready.
func (v *vm) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+v.ready+"/readiness", nil)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, v := range f.vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s isn't ready after %s", v.id, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (f *fleet) find(id string) *vm {
	for _, v := range f.vms {
		if v.id == id {
			return v
		}
	}
	return nil
}
