package dev

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/certs"
	"github.com/junctionfold/junctionfold/internal/logging"
	"github.com/junctionfold/junctionfold/internal/node"
	"github.com/junctionfold/junctionfold/internal/settings"
	"github.com/junctionfold/junctionfold/schema"
)

// VM is a VM of a cluster.
type VM struct {
	ID       string
	Node     *node.Node
	Settings *schema.Settings

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// addVM creates the VM with index i, without starting it.
func (c *Cluster) addVM(i int) error {
	s := settings.Defaults()
	s.Vm.Id = fmt.Sprintf("entry-%d", i+1)
	s.Vm.Hall = zones[i%len(zones)]
	s.Door.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Door.DrainMs = c.opts.DrainMs
	s.Peer.InsecureLoopback = true
	s.Operator.Token = OperatorToken
	s.Platform.ConfigUrl, s.Platform.VmListUrl = c.platformURL, c.platformURL
	s.Platform.OrderToken = orderToken
	s.Trust.PublicKeys = []string{c.publicKey}
	vm := &VM{ID: s.Vm.Id, Settings: s}
	c.VMs = append(c.VMs, vm)
	if c.opts.TLSDir != "" {
		if err := c.issueCertificate(s); err != nil {
			return err
		}
	}
	return vm.createNode(c)
}

// issueCertificate issues a certificate for a VM and enables TLS in its settings.
func (c *Cluster) issueCertificate(s *schema.Settings) error {
	if c.authority.Cert == nil {
		var err error
		if c.authority, err = certs.NewAuthority(); err != nil {
			return err
		}
	}
	pair, err := certs.Issue(c.authority, s.Vm.Id, nil)
	if err != nil {
		return err
	}
	path := func(name string) string { return filepath.Join(c.opts.TLSDir, s.Vm.Id+"."+name) }
	s.Peer.InsecureLoopback = false
	s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CaFile = path("pem"), path("key"), path("ca")
	for file, data := range map[string][]byte{s.Peer.CertFile: pair.Cert, s.Peer.KeyFile: pair.Key, s.Peer.CaFile: c.authority.Cert} {
		if err := os.WriteFile(file, data, 0o600); err != nil {
			return errors.Wrap(err, "write certificate")
		}
	}
	return nil
}

// createNode creates the VM's node and stores its addresses in the settings, so that a
// node created later listens on the same addresses.
func (vm *VM) createNode(c *Cluster) error {
	var dial node.DialFunc
	if c.opts.Dial != nil {
		dial = c.opts.Dial(vm.ID)
	}
	n, err := node.NewWithDial(vm.Settings, logging.New(c.opts.Log, c.opts.Level, vm.ID), dial)
	if err != nil {
		return err
	}
	vm.Node = n
	vm.Settings.Door.Listen, vm.Settings.Peer.Listen, vm.Settings.Operator.Listen = n.Addresses()
	return nil
}

// run starts the VM's node in the background.
func (vm *VM) run() {
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	vm.done = make(chan struct{})
	go func() {
		vm.err = vm.Node.Run(ctx)
		close(vm.done)
	}()
}

// Stop drains the VM, waits until it has stopped and returns its error.
func (vm *VM) Stop() error {
	vm.stop()
	<-vm.done
	return vm.err
}

// Kill stops the VM without draining it, as a crash would.
func (vm *VM) Kill() {
	vm.Node.Kill()
	<-vm.done
}

// Restart starts a stopped VM again with a new node on the same addresses.
func (c *Cluster) Restart(vm *VM) error {
	if err := vm.createNode(c); err != nil {
		return err
	}
	vm.run()
	return nil
}

// FrontendURL returns the base URL for requests of callers.
func (vm *VM) FrontendURL() string { return "http://" + vm.Settings.Door.Listen }

// OperatorURL returns the base URL of the VM's operators' interface.
func (vm *VM) OperatorURL() string { return "http://" + vm.Settings.Operator.Listen }
