package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/framing"
	"github.com/junctionfold/junctionfold/internal/gateway"
)

// Timing and bounds of the node's loops and servers.
const (
	// tickInterval is the time between two checks of timers and expiries.
	tickInterval = 20 * time.Millisecond
	// pruneInterval is the time between two removals of expired state.
	pruneInterval = 500 * time.Millisecond
	// headerTimeout bounds the time for reading a request's header. Callers of this system stay
	// well within it.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds idle connections of callers. Callers close them earlier.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds a request's header in memory. The configuration's own limit is lower.
	maxHeaderBytes = 64 << 10
)

// Run serves until the context ends, then drains. It returns the error of a server that failed.
func (n *Node) Run(ctx context.Context) error {
	loopCtx, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.feed.Run, n.feed.RunConfirmation, n.heartbeatLoop, n.tickLoop, n.seedLoop, n.reachability.probeLoop, n.overload.run} {
		wg.Go(func() { loop(loopCtx) })
	}
	go n.mesh.Serve(n.peerListener)
	failed := make(chan error, 3)
	frontEnd := newServer(n.gateway)
	frontEnd.ConnContext = framing.WithConn
	n.overload.callers.Track(frontEnd)
	serve(frontEnd, n.overload.callers.Listener(n.frontEndListener), failed)
	servers := []*http.Server{frontEnd, serveTracked(http.HandlerFunc(n.serveReady), n.readyListener, n.readyCallers, failed)}
	if n.metricsListener != nil {
		servers = append(servers, serveTracked(http.HandlerFunc(n.serveMetrics), n.metricsListener, n.metricsCallers, failed))
	}
	n.log.Started(n.settings.Listen.Door, n.settings.Listen.Peer, n.settings.Vm.Zone, n.settings.Listen.Seeds)
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(frontEnd)
	case err = <-failed:
	}
	stop()
	wg.Wait()
	for _, s := range servers {
		_ = s.Close() // nothing is left to save
	}
	_ = n.peerListener.Close() // nothing is left to save
	n.mesh.Close()
	n.orders.StopAndWait()
	n.reports.StopAndWait()
	n.log.Stopped()
	return err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil,
	}
}

func serve(s *http.Server, l net.Listener, failed chan<- error) {
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}()
}

func (n *Node) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(n.metrics.Map.String())) // the client may have disconnected
}

// Shares of the time between SIGTERM and SIGKILL.
const (
	// drainAcceptTime is how long new connections are still accepted. The load balancer needs two
	// failed checks, one second apart, to stop, and connections may be in flight.
	drainAcceptTime = 2500 * time.Millisecond
	// exitMargin is the time reserved for the exit after the drain.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time reserved for the answers to requests that are still open then.
	answerMargin = 150 * time.Millisecond
)

// stopTimes returns the times of a planned stop that ends at a time.
func (n *Node) stopTimes(end time.Time) gateway.Stop {
	answerAt := end.Add(-answerMargin)
	sendUntil := n.now().Add(drainAcceptTime)
	if sendUntil.After(answerAt) {
		sendUntil = answerAt
	}
	return gateway.Stop{SendUntil: sendUntil, AnswerAt: answerAt}
}

// shutdown reports this VM as not ready, serves remaining requests while closing each connection
// after its answer, and waits for open requests within the grace period. Requests whose response has not
// begun near its end are answered then.
func (n *Node) shutdown(frontEnd *http.Server) {
	grace := time.Duration(n.settings.Times.GraceS * float64(time.Second))
	end := n.now().Add(grace - exitMargin)
	n.log.Draining(n.gateway.OpenRequests())
	n.draining.Store(true)
	n.gateway.Drain(n.stopTimes(end))
	n.relayServer.drain()
	n.mu.Lock()
	n.roster.SetLeaving()
	n.mu.Unlock()
	n.updateLeadership()
	n.sendHeartbeatToAll()
	n.origins.handOver()
	time.Sleep(min(drainAcceptTime, n.until(end)))
	ctx, cancel := context.WithTimeout(context.Background(), n.until(end))
	defer cancel()
	if err := frontEnd.Shutdown(ctx); err != nil {
		n.log.DrainIncomplete(n.gateway.OpenRequests(), err)
	}
	n.relayServer.wait(ctx)
}

// minAlignedDelay is the shortest delay that alignToTick changes: by a tenth at most.
const minAlignedDelay = 5 * tickInterval

// nextTick returns the first multiple of tickInterval since n.tickOrigin that is more than a delay after
// now. All loops of a VM thus run in one wake-up of the process, which takes more processor time than
// most of their work.
func (n *Node) nextTick(delay time.Duration) time.Time {
	return n.tickOrigin.Add((time.Since(n.tickOrigin) + delay).Truncate(tickInterval) + tickInterval)
}

// alignToTick moves the end of a delay to the nearest tick, unless the delay is short.
func (n *Node) alignToTick(delay time.Duration) time.Duration {
	if delay < minAlignedDelay {
		return delay
	}
	return time.Until(n.nextTick(delay - tickInterval/2))
}

// waitForTick waits for the next tick, or until the context ends. late is the time from the tick to the
// end of the wait.
func (n *Node) waitForTick(ctx context.Context) (late time.Duration, ok bool) {
	due := n.nextTick(0)
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return 0, false
	case <-timer.C:
		return time.Since(due), true
	}
}

// tickLoop runs periodic work until the context ends.
func (n *Node) tickLoop(ctx context.Context) {
	var prunedAt time.Time
	for {
		if _, ok := n.waitForTick(ctx); !ok {
			return
		}
		n.checkSuspension()
		n.schedulers.tick()
		n.queues.tick()
		n.quarantine.tick()
		n.origins.tick()
		n.probeLeader()
		now := n.now()
		if now.Sub(prunedAt) < pruneInterval {
			continue
		}
		prunedAt = now
		n.gateway.Prune()
		n.origins.expire()
	}
}
