// Package dev runs a whole fleet in one process on loopback addresses: stand-ins
// for everything outside, and some VMs. It serves the dev command and the
// end-to-end tests.
package dev

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/certs"
	"github.com/junctionfold/junctionfold/internal/logging"
	"github.com/junctionfold/junctionfold/internal/node"
	"github.com/junctionfold/junctionfold/internal/settings"
	"github.com/junctionfold/junctionfold/internal/standin"
	"github.com/junctionfold/junctionfold/schema"
)

// Options shape a cluster. The zero value is filled with defaults.
type Options struct {
	// VMs is how many VMs run.
	VMs int
	// LoadTime of one adapter, TokenTime of one token, at the stand-ins.
	LoadTime  time.Duration
	TokenTime time.Duration
	// Log is where the VMs' events go; nil for nowhere.
	Log   io.Writer
	Level string
	// DrainMs is how long a VM keeps its door open when it stops.
	DrainMs int64
	// Change alters the example bundle before it is published.
	Change func(*schema.Bundle)
	// TLSDir is where certificates are written when VMs use TLS; empty for no
	// TLS.
	TLSDir string
	// Dial returns how a VM reaches others; nil for TCP.
	Dial func(vm string) node.Dial
}

func (o *Options) fill() {
	if o.VMs == 0 {
		o.VMs = 3
	}
	if o.LoadTime == 0 {
		o.LoadTime = 100 * time.Millisecond
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	if o.Level == "" {
		o.Level = "info"
	}
}

// Secrets of a development cluster.
const (
	OperatorToken = "dev-operator"
	orderToken    = "dev-orders"
	keyID         = "dev"
)

// halls are those of the example bundle.
var halls = []string{"glostrup-hal", "roskilde-hal", "koege-hal"}

// Cluster is a running fleet with its stand-ins.
type Cluster struct {
	Platform *standin.Platform
	Weights  *standin.WeightStore
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	VMs      []*VM

	opts    Options
	bundle  *schema.Bundle
	version uint64
	private []byte
	public  string
	servers []*http.Server

	authority certs.Pair
	base      string
}

// VM is one running VM.
type VM struct {
	ID       string
	Node     *node.Node
	Settings *schema.Settings

	stop context.CancelFunc
	done chan struct{}
	err  error
}

// Start brings up a cluster and waits until every VM is ready.
func Start(opts Options) (*Cluster, error) {
	opts.fill()
	c := &Cluster{
		Platform: standin.NewPlatform(), Weights: standin.NewWeightStore(opts.LoadTime),
		Engines: map[string]*standin.Engine{}, Services: map[string]*standin.Service{}, opts: opts,
	}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.private, c.public, err = bundle.NewKey(keyID); err != nil {
		return err
	}
	address, err := c.serve(c.Platform)
	if err != nil {
		return err
	}
	c.base = "http://" + address
	if err := c.startTargets(); err != nil {
		return err
	}
	if err := c.Publish(); err != nil {
		return err
	}
	for i := range c.opts.VMs {
		if err := c.addVM(i); err != nil {
			return err
		}
	}
	c.PublishVMs()
	for _, vm := range c.VMs {
		vm.run()
	}
	return c.WaitReady(readyTimeout)
}

// readyTimeout bounds the start of a cluster.
const readyTimeout = 20 * time.Second

func (c *Cluster) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen for a stand-in")
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

// startTargets starts a stand-in for each target of the example bundle and puts
// its address there.
func (c *Cluster) startTargets() error {
	src, err := bundle.Parse("example.ini", []byte(bundle.Example))
	if err != nil {
		return err
	}
	c.bundle = src.Bundle
	if c.opts.Change != nil {
		c.opts.Change(c.bundle)
	}
	for _, t := range c.bundle.Targets {
		if t.Address, err = c.serve(c.target(t)); err != nil {
			return err
		}
	}
	return nil
}

func (c *Cluster) target(t *schema.Target) http.Handler {
	if t.Kind == schema.TargetKind_TARGET_KIND_SERVICE {
		s := standin.NewService()
		c.Services[t.Name] = s
		return s
	}
	cfg := standin.EngineConfig{
		Base: t.Base, Slots: int(t.Slots), TokenTime: c.opts.TokenTime, Weights: c.Weights,
		RefusesOldFences: t.Fencing == schema.Fencing_FENCING_REFUSES,
	}
	if t.ChecksOrders {
		cfg.OrderToken = orderToken
	}
	e := standin.NewEngine(cfg)
	c.Engines[t.Name] = e
	return e
}

// Bundle returns the bundle published last. Change it and Publish again.
func (c *Cluster) Bundle() *schema.Bundle { return c.bundle }

// Publish signs the bundle as the next version and publishes it.
func (c *Cluster) Publish() error {
	c.version++
	values, err := SignedValues(c.bundle, c.version, c.private)
	if err != nil {
		return err
	}
	c.Platform.Publish(values)
	return nil
}

// Version returns the version published last.
func (c *Cluster) Version() uint64 { return c.version }

// SignedValues builds and signs a bundle and returns the configuration
// service's values for it.
func SignedValues(b *schema.Bundle, version uint64, privatePEM []byte) (map[string][]byte, error) {
	manifest, chunks, err := bundle.Split(b)
	if err != nil {
		return nil, err
	}
	manifest.Version, manifest.Author = version, "dev"
	manifest.CreatedUnixMs = time.Now().UnixMilli()
	signed, err := bundle.Seal(manifest)
	if err != nil {
		return nil, err
	}
	id, key, err := bundle.ParsePrivateKey(privatePEM)
	if err != nil {
		return nil, err
	}
	bundle.Sign(signed, id, key)
	data, err := proto.Marshal(signed)
	if err != nil {
		return nil, errors.Wrap(err, "encode signed manifest")
	}
	values := map[string][]byte{bundle.ManifestKey: data}
	for i, hash := range manifest.Chunks {
		data, err := chunks.Get(hash)
		if err != nil {
			return nil, errors.Wrapf(err, "chunk %d", i)
		}
		values[bundle.ChunkKey(hash)] = data
	}
	return values, nil
}

func (c *Cluster) addVM(i int) error {
	s := settings.Defaults()
	s.Vm.Id = fmt.Sprintf("entry-%d", i+1)
	s.Vm.Hall = halls[i%len(halls)]
	s.Door.Listen, s.Peer.Listen, s.Operator.Listen = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.Door.DrainMs = c.opts.DrainMs
	s.Peer.InsecureLoopback = true
	s.Operator.Token = OperatorToken
	s.Platform.ConfigUrl, s.Platform.VmListUrl = c.base, c.base
	s.Platform.OrderToken = orderToken
	s.Trust.PublicKeys = []string{c.public}
	vm := &VM{ID: s.Vm.Id, Settings: s}
	c.VMs = append(c.VMs, vm)
	if c.opts.TLSDir != "" {
		if err := c.issue(s); err != nil {
			return err
		}
	}
	return vm.open(c)
}

// issue gives a VM a certificate and turns TLS on.
func (c *Cluster) issue(s *schema.Settings) error {
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
	file := func(name string) string { return filepath.Join(c.opts.TLSDir, s.Vm.Id+"."+name) }
	s.Peer.InsecureLoopback = false
	s.Peer.CertFile, s.Peer.KeyFile, s.Peer.CaFile = file("pem"), file("key"), file("ca")
	for name, data := range map[string][]byte{s.Peer.CertFile: pair.Cert, s.Peer.KeyFile: pair.Key, s.Peer.CaFile: c.authority.Cert} {
		if err := os.WriteFile(name, data, 0o600); err != nil {
			return errors.Wrap(err, "write certificate")
		}
	}
	return nil
}

// open makes the VM's node; later ones listen where the first did.
func (vm *VM) open(c *Cluster) error {
	var dial node.Dial
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

func (vm *VM) run() {
	ctx, cancel := context.WithCancel(context.Background())
	vm.stop = cancel
	vm.done = make(chan struct{})
	go func() {
		vm.err = vm.Node.Run(ctx)
		close(vm.done)
	}()
}

// Stop drains the VM and waits until it has stopped.
func (vm *VM) Stop() error {
	vm.stop()
	<-vm.done
	return vm.err
}

// Kill ends the VM at once, as a crash would.
func (vm *VM) Kill() {
	vm.Node.Kill()
	<-vm.done
}

// Restart starts a stopped VM anew, at the same addresses.
func (c *Cluster) Restart(vm *VM) error {
	if err := vm.open(c); err != nil {
		return err
	}
	vm.run()
	return nil
}

// PublishVMs publishes the list of all VMs as live, but for those left out.
func (c *Cluster) PublishVMs(except ...*VM) {
	list := make([]standin.VM, 0, len(c.VMs))
	for _, vm := range c.VMs {
		if slices.Contains(except, vm) {
			continue
		}
		list = append(list, standin.VM{ID: vm.ID, Hall: vm.Settings.Vm.Hall, Address: vm.Settings.Peer.Listen, State: "live"})
	}
	c.Platform.SetVMs(list)
}

// WaitReady waits until every VM has the newest bundle and every engine has an
// owner that serves it.
func (c *Cluster) WaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Newf("the cluster was not ready within %s", limit)
}

func (c *Cluster) ready() bool {
	serving := 0
	for _, vm := range c.VMs {
		s := vm.Node.Status()
		if !s.Ready || s.BundleVersion != c.version || !vm.Node.RecordsSettled() {
			return false
		}
		for _, t := range s.Targets {
			if t.State == "serving" && len(t.Holds) == 0 {
				serving++
			}
		}
	}
	return serving >= len(c.Engines)
}

// Door returns the URL of a VM's front door.
func (vm *VM) Door() string { return "http://" + vm.Settings.Door.Listen }

// Operators returns the URL of a VM's operators' interface.
func (vm *VM) Operators() string { return "http://" + vm.Settings.Operator.Listen }

// Close stops everything.
func (c *Cluster) Close() {
	var wg sync.WaitGroup
	for _, vm := range c.VMs {
		if vm.stop != nil {
			wg.Go(func() { _ = vm.Stop() })
		}
	}
	wg.Wait()
	for _, s := range c.servers {
		_ = s.Close()
	}
}
