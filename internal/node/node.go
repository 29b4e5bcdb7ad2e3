// Package node assembles one VM: the front end for callers, the owner of targets, the sessions with
// other VMs, and the components that keep the configuration bundle, the VM list and the outcome
// records current.
package node

import (
	"context"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/outcome"
	"github.com/junctionfold/junctionfold/coord/ownership"
	"github.com/junctionfold/junctionfold/internal/audit"
	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/confsync"
	"github.com/junctionfold/junctionfold/internal/entry"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/limits"
	"github.com/junctionfold/junctionfold/internal/metrics"
	"github.com/junctionfold/junctionfold/internal/owner"
	"github.com/junctionfold/junctionfold/internal/peer"
	"github.com/junctionfold/junctionfold/internal/permits"
	"github.com/junctionfold/junctionfold/internal/platform"
	"github.com/junctionfold/junctionfold/internal/records"
	"github.com/junctionfold/junctionfold/internal/router"
	"github.com/junctionfold/junctionfold/schema"
)

// Node is one VM.
type Node struct {
	settings    *schema.Settings
	log         log.Interface
	incarnation uint64
	now         func() time.Time

	metrics  *metrics.Set
	audit    *audit.Trail
	view     *view
	mesh     *peer.Mesh
	sync     *confsync.Sync
	records  *records.Store
	permits  *permits.Coordinator
	owner    *owner.Owner
	router   *router.Router
	limits   *limits.Limiter
	retries  *limits.RetryBudget
	frontEnd *entry.Server
	// callers and operators limit what the connections to the front end and of operators hold.
	callers, operators *callers.Tracker

	frontEndListener, peerListener, opsListener net.Listener

	// catalog is the newest bundle's. Requests see it once refresh has passed it to the router.
	catalog atomic.Pointer[catalog.Catalog]
	// refreshMu serializes refreshes, so that an older view never replaces a newer one.
	refreshMu sync.Mutex
	// currentIssuer is the VM that issues load permits in the current view.
	currentIssuer atomic.Pointer[coord.VMID]
	draining      atomic.Bool
	killed        chan struct{}
	killOnce      sync.Once
	// heartbeatsInFlight holds the monitors to which a heartbeat is in flight; there is at most one
	// per monitor.
	heartbeatsInFlight sync.Map
}

// Defaults that apply until the first bundle arrives.
const (
	initialLoadsPerSecond   = 1.0
	initialOutcomeRetention = 10 * time.Minute
	initialOutcomeBytes     = 16 << 20
	initialRetryShare       = 0.1
	// dialTimeout bounds a connection attempt to a VM or a target. Bundles do not change it.
	dialTimeout = 2 * time.Second
)

// DialFunc opens a connection to another VM's peer listener.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// New opens the listeners and assembles the components of a VM.
func New(s *schema.Settings, l log.Interface) (*Node, error) { return NewWithDial(s, l, nil) }

// NewWithDial is like New but reaches other VMs through dial; nil means TCP.
func NewWithDial(s *schema.Settings, l log.Interface, dial DialFunc) (*Node, error) {
	n := &Node{
		settings: s, log: l, now: time.Now, incarnation: uint64(time.Now().UnixNano()),
		killed:  make(chan struct{}),
		metrics: metrics.New(), limits: limits.New(), retries: limits.NewRetryBudget(initialRetryShare),
	}
	self := coord.VMID(s.Vm.Id)
	n.audit = audit.New(s.Vm.Id, l)
	n.view = newView(self, s.Vm.Hall, time.Duration(s.Peer.HeartbeatMs)*time.Millisecond, n.now)
	n.router = router.New(n.now)
	if err := n.buildComponents(self, dial); err != nil {
		return nil, err
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.publishGauges()
	return n, nil
}

// buildComponents creates the components that communicate with callers, other VMs, targets and the
// platform.
func (n *Node) buildComponents(self coord.VMID, dial DialFunc) error {
	tlsConfig, err := peer.TLSFromSettings(n.settings.Peer)
	if err != nil {
		return err
	}
	trust, err := bundle.NewTrust(n.settings.Trust)
	if err != nil {
		return err
	}
	n.mesh = peer.New(peer.Config{
		Self: self, Zone: n.settings.Vm.Hall, Incarnation: n.incarnation, TLS: tlsConfig, DialTimeout: dialTimeout, Dial: dial,
	}, (*peerHandler)(n), n.view.address)
	transport := newTransport()
	n.sync = n.newSync(trust, transport)
	n.records = records.New(records.Config{
		Self: self, Incarnation: n.incarnation, Peers: n.mesh, Lists: n.sync, Now: n.now,
		Limits: outcome.Config{Retention: initialOutcomeRetention, MaxBytes: initialOutcomeBytes},
	})
	n.permits = &permits.Coordinator{
		Self: self, Local: permits.NewIssuer(initialLoadsPerSecond, n.now), Fallback: permits.NewIssuer(initialLoadsPerSecond, n.now),
		Peers: n.mesh, IssuerVM: n.permitIssuer,
	}
	n.owner = n.newOwner(self, transport)
	n.frontEnd = n.newFrontEnd(transport)
	n.callers, n.operators = n.newCallerTracker(), callers.NewOperatorTracker(n.callerTimeouts, n.now)
	return nil
}

func (n *Node) newSync(trust bundle.Trust, transport http.RoundTripper) *confsync.Sync {
	p := n.settings.Platform
	countRead := func() { n.metrics.PlatformReads.Add(1) }
	return confsync.New(confsync.Config{
		Platform: platform.NewClient(p.ConfigUrl, p.VmListUrl, transport, countRead),
		Peers:    n.mesh, Trust: trust, Seeds: p.Seeds, Seed: n.incarnation, Log: n.log,
		ListPoll: time.Duration(p.VmListPollMs) * time.Millisecond,
		Watch:    time.Duration(p.WatchMs) * time.Millisecond,
		OnBundle: n.onBundle, OnList: n.onList, OnRejected: n.onBundleRejected, Heartbeat: n.heartbeat,
	}, n.view)
}

func (n *Node) newOwner(self coord.VMID, transport http.RoundTripper) *owner.Owner {
	return owner.New(owner.Config{
		Self: self, Incarnation: n.incarnation, TieBreaker: tieBreakerOf(n.settings.Vm.Id), Transport: transport,
		OrderToken: n.settings.Platform.OrderToken, Permits: n.permits, Releases: n,
		Log: n.log, Audit: n.audit, Metrics: n.metrics, Now: n.now,
	})
}

func (n *Node) newFrontEnd(transport http.RoundTripper) *entry.Server {
	return entry.New(entry.Config{
		Settings: n.settings.Door, Router: n.router, Records: n.records, Limits: n.limits, Retries: n.retries,
		Owner: n.executor, Transport: transport, Alive: n.view.alive, Ready: n.Ready,
		Log: n.log, Metrics: n.metrics, Now: n.now,
	})
}

// maxIdlePerTarget bounds the idle connections that stay open to each target between requests, and idlePerTargetTimeout
// how long they do.
const (
	maxIdlePerTarget     = 256
	idlePerTargetTimeout = 30 * time.Second
)

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerTarget,
		IdleConnTimeout:     idlePerTargetTimeout,
		DisableCompression:  true,
	}
}

// tieBreakerOf returns a hash of a VM's ID that makes the fencing tokens of different VMs differ.
func tieBreakerOf(id string) uint16 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return uint16(h.Sum32())
}

func (n *Node) listen() error {
	for _, l := range []struct {
		address string
		dest    *net.Listener
	}{
		{n.settings.Door.Listen, &n.frontEndListener},
		{n.settings.Peer.Listen, &n.peerListener},
		{n.settings.Operator.Listen, &n.opsListener},
	} {
		listener, err := net.Listen("tcp", l.address)
		if err != nil {
			n.closeListeners()
			return errors.Wrapf(err, "listen on %s", l.address)
		}
		*l.dest = listener
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.frontEndListener, n.peerListener, n.opsListener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// Addresses returns the addresses on which callers, peers and operators connect.
func (n *Node) Addresses() (frontEnd, peers, ops string) {
	return n.frontEndListener.Addr().String(), n.peerListener.Addr().String(), n.opsListener.Addr().String()
}

// Ready reports whether the load balancer may send requests: the router has a bundle, and the VM does
// not drain.
func (n *Node) Ready() bool { return !n.draining.Load() && n.router.Catalog() != nil }

// executor returns the executor that runs attempts at a VM: the local owner, or a remote VM.
func (n *Node) executor(vm coord.VMID) forward.Executor {
	if string(vm) == n.settings.Vm.Id {
		return n.owner
	}
	return n.mesh.Remote(vm)
}

// permitIssuer returns the VM that issues load permits, or "" before the first view.
func (n *Node) permitIssuer() coord.VMID {
	if vm := n.currentIssuer.Load(); vm != nil {
		return *vm
	}
	return ""
}

func (n *Node) heartbeat() *schema.Heartbeat {
	b, l := n.sync.Versions()
	return &schema.Heartbeat{
		Vm: n.settings.Vm.Id, Incarnation: n.incarnation, Leaving: n.view.isLeaving(),
		BundleVersion: b, ListVersion: l,
	}
}

func (n *Node) onBundle(m *schema.Manifest, b *schema.Bundle) {
	c := catalog.New(m.Version, b)
	old := n.catalog.Swap(c)
	n.metrics.BundleVersion.Set(int64(m.Version))
	n.records.SetLimits(outcome.Config{
		Retention: time.Duration(b.Limits.GetOutcomeRetentionMs()) * time.Millisecond,
		MaxBytes:  int(b.Limits.GetOutcomeBytes()),
	})
	n.retries.SetShare(b.Limits.GetRetryShare())
	n.permits.Local.SetRate(b.Limits.GetLoadsPerSecond())
	n.audit.Record(n.now(), audit.Change{
		Actor: m.Author, Subject: "bundle", Old: versionText(old),
		New: strconv.FormatUint(m.Version, 10), Comment: m.Comment,
	})
	n.refresh()
}

func versionText(c *catalog.Catalog) string {
	if c == nil {
		return "none"
	}
	return strconv.FormatUint(c.Version, 10)
}

func (n *Node) onList(l *schema.VMList) {
	n.metrics.ListVersion.Set(int64(l.Version))
	n.log.WithField("version", l.Version).WithField("vms", len(l.Vms)).Info("vm_list_changed")
	for _, vm := range n.view.applyList(l) {
		n.mesh.Disconnect(vm)
	}
	n.records.SetMembers(n.view.members())
}

func (n *Node) onBundleRejected(err error) {
	n.metrics.BundlesRefused.Add(1)
	n.log.WithError(err).Warn("bundle_refused")
}

// refresh applies a changed view or bundle to the components that make decisions from it.
func (n *Node) refresh() {
	n.refreshMu.Lock()
	defer n.refreshMu.Unlock()
	c := n.catalog.Load()
	if c == nil {
		return
	}
	members := n.view.members()
	chooser := ownership.NewChooser(members)
	issuer := chooser.Singleton(permits.IssuerKey)
	n.currentIssuer.Store(&issuer)
	n.limits.SetVMs(countLive(members))
	n.permits.Fallback.SetRate(c.Limits.GetLoadsPerSecond() / float64(max(countLive(members), 1)))
	n.router.SetView(router.View{Catalog: c, Chooser: chooser, Zone: n.settings.Vm.Hall})
	n.owner.Apply(owner.View{
		Catalog: c, Chooser: chooser, Peers: n.view.Others(),
		Leaving: n.view.isLeaving(),
	})
}

// RequestRelease asks another VM which of the claimed targets it has released.
func (n *Node) RequestRelease(ctx context.Context, vm coord.VMID, claims []*schema.Claim) ([]*schema.Released, error) {
	reply, err := n.mesh.Call(ctx, vm, &schema.Call{Body: &schema.Call_Release{
		Release: &schema.ReleaseRequest{Vm: n.settings.Vm.Id, Claims: claims},
	}})
	if err != nil {
		return nil, err
	}
	return reply.GetRelease().GetReleased(), nil
}
