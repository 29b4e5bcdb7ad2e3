package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/membership"
	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/ops"
	"github.com/junctionfold/junctionfold/schema"
)

// Timeouts and intervals of the node's loops.
const (
	// notifyTimeout bounds a broadcast call to one VM.
	notifyTimeout = 2 * time.Second
	// bundleWaitTimeout bounds how long an attempt waits for a bundle that its sender has and this
	// VM lacks.
	bundleWaitTimeout  = 2 * time.Second
	bundlePollInterval = 10 * time.Millisecond
	// maintenanceInterval is the time between two maintenance runs: a tick of the router and the
	// disconnection of unresponsive VMs.
	maintenanceInterval = time.Second
	// disconnectSuspectAfter is how long a VM may be suspect before its sessions are closed.
	disconnectSuspectAfter = 5 * time.Second
	// drainPollInterval is the time between two checks for requests that are still in flight.
	drainPollInterval = 20 * time.Millisecond
	// sessionDrainTimeout bounds, at the end of a shutdown, the wait for requests of other VMs that
	// are in flight here. A few scheduling delays of a busy VM are enough, because new requests are
	// rejected immediately.
	sessionDrainTimeout = 2 * time.Second
	// headerTimeout bounds how long a caller may take to send a request's headers.
	headerTimeout = 10 * time.Second
)

// Run serves until the context ends and then drains: readiness fails first, owned targets are
// handed over to other VMs, the front end stays open for requests that the load balancer still
// sends, and running requests complete.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.sync.Run, n.owner.Run, n.records.Run, n.heartbeatLoop, n.viewLoop, n.maintenanceLoop, n.callers.Run, n.operators.Run} {
		wg.Go(func() { loop(work) })
	}
	go n.mesh.Serve(n.peerListener)
	frontServer := &http.Server{Handler: n.frontEnd, ReadHeaderTimeout: headerTimeout, ConnContext: framing.WithConn}
	opsServer := &http.Server{Handler: ops.New(n.settings.Operator.Token, n.opsSource()), ReadHeaderTimeout: headerTimeout}
	n.callers.Track(frontServer)
	n.operators.Track(opsServer)
	failed := make(chan error, 2)
	go serve(frontServer, n.callers.Listener(n.frontEndListener), failed)
	go serve(opsServer, n.operators.Listener(n.opsListener), failed)
	n.log.WithField("door", n.settings.Door.Listen).WithField("incarnation", n.incarnation).Info("started")
	var err error
	select {
	case <-ctx.Done():
		n.drain(frontServer)
	case <-n.killed:
	case err = <-failed:
	}
	stop()
	n.closeAll(frontServer, opsServer)
	wg.Wait()
	n.owner.Close()
	n.log.Info("stopped")
	return err
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		failed <- err
	}
}

// Kill ends Run immediately without draining, as a crash would.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

func (n *Node) closeAll(frontServer, opsServer *http.Server) {
	_ = frontServer.Close()
	_ = opsServer.Close()
	n.closeListeners()
	n.mesh.Close()
}

// drain announces that this VM leaves, waits the configured time for the load balancer to stop
// sending requests, and lets the requests in flight complete before it drains the peer sessions.
func (n *Node) drain(frontServer *http.Server) {
	n.draining.Store(true)
	n.log.Info("draining")
	n.view.setLeaving()
	n.broadcast(&schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: n.heartbeat()}})
	time.Sleep(time.Duration(n.settings.Door.DrainMs) * time.Millisecond)
	limit := time.Duration(n.settings.Door.MaxRequestMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = frontServer.Shutdown(ctx)
	for n.owner.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPollInterval)
	}
	sessions, stop := context.WithTimeout(ctx, sessionDrainTimeout)
	defer stop()
	n.mesh.Drain(sessions)
}

// heartbeatLoop sends heartbeats to the monitors of this VM and announces VMs whose heartbeats are
// missing.
func (n *Node) heartbeatLoop(ctx context.Context) {
	interval := time.Duration(n.settings.Peer.HeartbeatMs) * time.Millisecond
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range n.view.tick() {
			n.announceSuspicion(m)
		}
		heartbeat := n.heartbeat()
		for _, vm := range n.view.ownMonitors() {
			go n.sendHeartbeat(ctx, vm, heartbeat)
		}
	}
}

// sendHeartbeat sends one heartbeat to a VM unless the previous one to it is still in flight.
func (n *Node) sendHeartbeat(ctx context.Context, vm coord.VMID, h *schema.Heartbeat) {
	if _, busy := n.heartbeatsInFlight.LoadOrStore(vm, true); busy {
		return
	}
	defer n.heartbeatsInFlight.Delete(vm)
	if err := n.mesh.SendHeartbeat(ctx, vm, h); err != nil {
		n.log.WithError(err).WithField("peer", string(vm)).Debug("heartbeat_failed")
	}
}

func (n *Node) announceSuspicion(m membership.Member) {
	n.metrics.Suspects.Add(1)
	n.log.WithField("peer", string(m.ID)).Warn("peer_silent")
	n.broadcast(&schema.Call{Body: &schema.Call_Suspect{Suspect: &schema.SuspectNotice{
		Vm: string(m.ID), Incarnation: m.Incarnation, Reporter: n.settings.Vm.Id,
	}}})
}

// viewLoop refreshes the components after each change of the view, one at a time.
func (n *Node) viewLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.view.dirty:
			n.refresh()
		}
	}
}

// disconnectUnresponsive closes the sessions with VMs that have been suspect for
// disconnectSuspectAfter. A VM that lost power sends no TCP reset, and requests over its sessions
// would hang until their deadlines. A VM that was only suspended opens new sessions when it
// resumes.
func (n *Node) disconnectUnresponsive() {
	for _, vm := range n.view.suspectsOlderThan(disconnectSuspectAfter) {
		n.mesh.Disconnect(vm)
	}
}

func (n *Node) maintenanceLoop(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.router.Tick()
			n.disconnectUnresponsive()
		}
	}
}

func (n *Node) lacksBundle(version uint64) bool {
	current, _ := n.sync.Versions()
	return current < version
}

// waitForBundle waits until this VM has the sender's bundle, at most bundleWaitTimeout.
func (n *Node) waitForBundle(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, bundleWaitTimeout)
	defer cancel()
	ticker := time.NewTicker(bundlePollInterval)
	defer ticker.Stop()
	for n.lacksBundle(version) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// opsSource returns the data source of the operator interface.
func (n *Node) opsSource() ops.Source {
	return ops.Source{
		Status: n.Status, Audit: n.audit.Events, Metrics: n.metrics.Map,
		Catalog: n.router.Catalog, Explain: n.router.Explain,
	}
}
