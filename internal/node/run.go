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
	"github.com/junctionfold/junctionfold/internal/ops"
	"github.com/junctionfold/junctionfold/schema"
)

// Times of the node's loops.
const (
	// tellTimeout bounds a notice to one VM.
	tellTimeout = 2 * time.Second
	// bundleWait is how long an attempt waits for a bundle that its sender has
	// and this VM lacks.
	bundleWait = 2 * time.Second
	bundlePoll = 10 * time.Millisecond
	// fadeEvery is the time between two ticks of the router.
	fadeEvery = time.Second
	// dropAfter is how long a VM may be suspect before its sessions are ended.
	dropAfter = 5 * time.Second
	// drainPoll is the time between two looks at what is still open.
	drainPoll = 20 * time.Millisecond
	// sessionDrainTimeout bounds the wait for what other VMs have under way here at the
	// end of a stop: some turns of a busy VM, as new work is refused at once.
	sessionDrainTimeout = 2 * time.Second
	// headerTimeout bounds the time a caller takes to send a request's head.
	headerTimeout = 10 * time.Second
)

// Run serves until the context ends, then drains: readiness fails first, owned
// targets go to other VMs, the door stays open for what the balancer still
// sends, and requests that run end whole.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.sync.Run, n.owner.Run, n.records.Run, n.beatLoop, n.viewLoop, n.fadeLoop} {
		wg.Go(func() { loop(work) })
	}
	go n.mesh.Serve(n.peerListener)
	door := &http.Server{Handler: n.door, ReadHeaderTimeout: headerTimeout}
	operators := &http.Server{Handler: ops.New(n.settings.Operator.Token, n.opsSource()), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	go serve(door, n.doorListener, failed)
	go serve(operators, n.opsListener, failed)
	n.log.WithField("door", n.settings.Door.Listen).WithField("incarnation", n.incarnation).Info("started")
	var err error
	select {
	case <-ctx.Done():
		n.drain(door)
	case <-n.killed:
	case err = <-failed:
	}
	stop()
	n.closeAll(door, operators)
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

// Kill ends Run at once and drains nothing, as a crash would.
func (n *Node) Kill() { n.killOnce.Do(func() { close(n.killed) }) }

func (n *Node) closeAll(door, operators *http.Server) {
	_ = door.Close()
	_ = operators.Close()
	n.closeListeners()
	n.mesh.Close()
}

// drain lets go of everything in order.
func (n *Node) drain(door *http.Server) {
	n.draining.Store(true)
	n.log.Info("draining")
	n.view.setLeaving()
	n.tellAll(&schema.Call{Body: &schema.Call_Heartbeat{Heartbeat: n.heartbeat()}})
	time.Sleep(time.Duration(n.settings.Door.DrainMs) * time.Millisecond)
	limit := time.Duration(n.settings.Door.MaxRequestMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	_ = door.Shutdown(ctx)
	for n.owner.Running() > 0 && ctx.Err() == nil {
		time.Sleep(drainPoll)
	}
	sessions, stop := context.WithTimeout(ctx, sessionDrainTimeout)
	defer stop()
	n.mesh.Drain(sessions)
}

// beatLoop sends heartbeats to the monitors and looks for silent VMs.
func (n *Node) beatLoop(ctx context.Context) {
	every := time.Duration(n.settings.Peer.HeartbeatMs) * time.Millisecond
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, m := range n.view.tick() {
			n.spreadSuspicion(m)
		}
		beat := n.heartbeat()
		for _, vm := range n.view.myMonitors() {
			go n.beat(ctx, vm, beat)
		}
	}
}

// beat sends one heartbeat unless the last one is still on its way.
func (n *Node) beat(ctx context.Context, vm coord.VMID, h *schema.Heartbeat) {
	if _, busy := n.beating.LoadOrStore(vm, true); busy {
		return
	}
	defer n.beating.Delete(vm)
	if err := n.mesh.SendHeartbeat(ctx, vm, h); err != nil {
		n.log.WithError(err).WithField("peer", string(vm)).Debug("heartbeat_failed")
	}
}

func (n *Node) spreadSuspicion(m membership.Member) {
	n.metrics.Suspects.Add(1)
	n.log.WithField("peer", string(m.ID)).Warn("peer_silent")
	n.tellAll(&schema.Call{Body: &schema.Call_Suspect{Suspect: &schema.SuspectNotice{
		Vm: string(m.ID), Incarnation: m.Incarnation, Reporter: n.settings.Vm.Id,
	}}})
}

// viewLoop carries changes of the view on, one at a time.
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

// dropSilent ends the sessions with VMs that have been silent for long: a VM that
// lost its power sends no reset, and requests through it would hang to their
// deadline. One that was only paused makes new sessions when it wakes.
func (n *Node) dropSilent() {
	for _, vm := range n.view.silentFor(dropAfter) {
		n.mesh.Disconnect(vm)
	}
}

func (n *Node) fadeLoop(ctx context.Context) {
	ticker := time.NewTicker(fadeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.router.Tick()
			n.dropSilent()
		}
	}
}

func (n *Node) behind(version uint64) bool {
	in, _ := n.sync.Versions()
	return in < version
}

// waitForBundle waits until this VM has caught up with the sender's bundle.
func (n *Node) waitForBundle(ctx context.Context, version uint64) {
	ctx, cancel := context.WithTimeout(ctx, bundleWait)
	defer cancel()
	ticker := time.NewTicker(bundlePoll)
	defer ticker.Stop()
	for n.behind(version) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// opsSource gives the operators' interface what it shows.
func (n *Node) opsSource() ops.Source {
	return ops.Source{
		Status: n.Status, Audit: n.audit.Events, Metrics: n.metrics.Map,
		Catalog: n.catalog.Load, Explain: n.router.Explain,
	}
}
