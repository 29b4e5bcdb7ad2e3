// Package dev runs a complete cluster in a single process on loopback addresses: some
// VMs, and stand-ins for the platform, the weight store and all targets. It is used
// by the dev command and the end-to-end tests.
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

// Options configures a cluster. Start replaces zero values of VMs, LoadTime, Log and
// Level with defaults.
type Options struct {
	// VMs is the number of VMs.
	VMs int
	// LoadTime is the time that a stand-in takes to load an adapter, and TokenTime
	// the time that it takes to generate a token.
	LoadTime  time.Duration
	TokenTime time.Duration
	// Log receives the VMs' events. They are discarded if it is nil.
	Log   io.Writer
	Level string
	// DrainMs is the time in milliseconds for which a stopping VM accepts requests
	// after it has reported that it is not ready.
	DrainMs int64
	// ModifyBundle, if set, changes the example bundle before it is published.
	ModifyBundle func(*schema.Bundle)
	// TLSDir is the directory for the VMs' certificates. If it is empty, the VMs do
	// not use TLS.
	TLSDir string
	// Dial returns the function with which a VM dials other VMs. If Dial is nil, VMs
	// dial over TCP.
	Dial func(vm string) node.DialFunc
}

func (o *Options) setDefaults() {
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

// Secrets and key ID of a development cluster. OperatorToken authorizes requests to
// the operators' interfaces, and orderToken authorizes orders to engines.
const (
	OperatorToken = "dev-operator"
	orderToken    = "dev-orders"
	keyID         = "dev"
)

// zones are the availability zones of the example bundle. VMs are assigned to them in
// turn.
var zones = []string{"glostrup-hal", "roskilde-hal", "koege-hal"}

// Cluster is a set of running VMs and their stand-ins.
type Cluster struct {
	Platform *standin.Platform
	Weights  *standin.WeightStore
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	VMs      []*VM

	opts       Options
	bundle     *schema.Bundle
	version    uint64
	privateKey []byte
	publicKey  string
	servers    []*http.Server

	authority   certs.Pair
	platformURL string
}

// Start starts a cluster and waits until every VM is ready and every engine has an
// owner. It returns an error if that takes longer than 20 seconds.
func Start(opts Options) (*Cluster, error) {
	opts.setDefaults()
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
	if c.privateKey, c.publicKey, err = bundle.NewKey(keyID); err != nil {
		return err
	}
	address, err := c.serve(c.Platform)
	if err != nil {
		return err
	}
	c.platformURL = "http://" + address
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

// readyTimeout bounds the time until a new cluster is ready.
const readyTimeout = 20 * time.Second

// serve starts an HTTP server on a free loopback port and returns its address.
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

// startTargets starts a stand-in for each target of the example bundle and sets the
// target's address in the bundle.
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
		if t.Address, err = c.serve(c.newStandin(t)); err != nil {
			return err
		}
	}
	return nil
}

// newStandin returns a stand-in for a target and registers it in c.Services or
// c.Engines.
func (c *Cluster) newStandin(t *schema.Target) http.Handler {
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

// Bundle returns the bundle that was published last. Callers may modify it and call
// Publish again.
func (c *Cluster) Bundle() *schema.Bundle { return c.bundle }

// Publish signs the bundle as the next version and publishes it.
func (c *Cluster) Publish() error {
	c.version++
	values, err := SignedValues(c.bundle, c.version, c.privateKey)
	if err != nil {
		return err
	}
	c.Platform.Publish(values)
	return nil
}

// Version returns the bundle version that was published last.
func (c *Cluster) Version() uint64 { return c.version }

// PublishVMs publishes a VM list with all VMs except the given ones, as live.
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

// WaitReady waits until every VM is ready, has the newest bundle and has synchronized
// its outcome records, and until every engine has an owner that serves it and no other
// VM may still use it under an older fencing token. It returns an error if this takes
// longer than timeout.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for time.Now().Before(deadline) {
		if c.ready() {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return errors.Newf("the cluster was not ready within %s", timeout)
}

// ready reports whether the conditions of WaitReady are met.
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

// Close drains and stops all VMs, and then closes the stand-ins.
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
