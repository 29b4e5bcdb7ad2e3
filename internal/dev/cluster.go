// Package dev runs a whole fleet in one process on loopback addresses: stand-ins
// for everything outside, and some VMs. It serves the dev command and the
// end-to-end tests.
package dev

import (
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/certs"
	"github.com/junctionfold/junctionfold/internal/node"
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
	// ModifyBundle alters the example bundle before it is published.
	ModifyBundle func(*schema.Bundle)
	// TLSDir is where certificates are written when VMs use TLS; empty for no
	// TLS.
	TLSDir string
	// Dial returns how a VM reaches others; nil for TCP.
	Dial func(vm string) node.DialFunc
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
	if c.opts.ModifyBundle != nil {
		c.opts.ModifyBundle(c.bundle)
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
		RejectsStaleTokens: t.Fencing == schema.Fencing_FENCING_REFUSES,
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

// PublishVMs publishes the list of all VMs as live, but for those left out.
func (c *Cluster) PublishVMs(except ...*VM) {
	list := make([]standin.VM, 0, len(c.VMs))
	for _, vm := range c.VMs {
		if slices.Contains(except, vm) {
			continue
		}
		list = append(list, standin.VM{ID: vm.ID, Zone: vm.Settings.Vm.Hall, Address: vm.Settings.Peer.Listen, State: "live"})
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
		if !s.Ready || s.BundleVersion != c.version || !vm.Node.RecordsSynced() {
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
