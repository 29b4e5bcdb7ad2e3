package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// vmSettings are the fields of the settings template, filled in as the platform does.
const vmSettings = `[vm]
id = %s
zone = %s
memory_mb = %d
cpu_share = 0.4
cpu_cores = 1
link_mbps = 1000.0
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
version_ms = 5000

[retry]
ratio = 0.2
slack = 52

[quota]

[orders]
lease_ms = 3000
load_over = 1.1
engines_check_fence = true

[log]
level = info
`

// memoryMB is the memory of an edge machine of the small deployments.
const memoryMB = 284

// vm is one edge process.
type vm struct {
	id, zone                   string
	front, ready, peer, metric string
	settingsFile, logFile      string
	cmd                        *exec.Cmd
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// newVMs returns VMs of one zone each, with their settings files in dir.
func newVMs(dir, storeAddress string, zones []string) ([]*vm, error) {
	var vms []*vm
	var seeds []string
	for i, zone := range zones {
		v := &vm{
			id: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone,
			front: freeAddress(), ready: freeAddress(), peer: freeAddress(), metric: freeAddress(),
		}
		v.settingsFile, v.logFile = filepath.Join(dir, v.id+".ini"), filepath.Join(dir, v.id+".log")
		vms = append(vms, v)
		if len(seeds) < 3 {
			seeds = append(seeds, v.peer)
		}
	}
	for _, v := range vms {
		text := fmt.Sprintf(vmSettings, v.id, v.zone, memoryMB, v.front, v.ready, v.peer, v.metric, strings.Join(seeds, ","), storeAddress)
		if err := os.WriteFile(v.settingsFile, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	return vms, nil
}

// start starts the process with the command of the deploy file.
func (v *vm) start() error {
	log, err := os.OpenFile(v.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	v.cmd = exec.Command("target/junctionfold", "edge")
	v.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), wire["settings"] + "=" + v.settingsFile}
	v.cmd.Stdout, v.cmd.Stderr = log, log
	// The process ends with this one, however this one ends.
	v.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return v.cmd.Start()
}

func (v *vm) signal(s os.Signal) { _ = v.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (v *vm) kill() {
	_ = v.cmd.Process.Signal(syscall.SIGCONT)
	_ = v.cmd.Process.Kill()
	_ = v.cmd.Wait()
}

// isReady asks the process whether it is ready, as the platform does each second.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + v.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all VMs are ready.
func awaitReady(vms []*vm, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for _, v := range vms {
		for !v.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", v.id, timeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
