package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of the node's loops.
const (
	// tickEvery drives the scheduler's timers and expiries.
	tickEvery = 20 * time.Millisecond
	// tidyEvery is the time between two clean-ups.
	tidyEvery = 500 * time.Millisecond
	// headerTimeout bounds the time a caller takes to send a request's head;
	// callers here stay well within.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps callers' connections; callers close them earlier.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a head in memory, in bytes; the configuration's own limit
	// is lower.
	maxHeader = 64 << 10
)

// Run serves until the context ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.feed.Run, n.feed.RunConfirmation, n.beatLoop, n.tickLoop, n.seedLoop} {
		wg.Go(func() { loop(work) })
	}
	go n.mesh.Serve(n.peerListener)
	door := newServer(n.gateway)
	servers := []*http.Server{door}
	failed := make(chan error, 3)
	serve(door, n.doorListener, failed)
	ready := newServer(http.HandlerFunc(n.serveReady))
	servers = append(servers, ready)
	serve(ready, n.readyListener, failed)
	if n.metricsListener != nil {
		metrics := newServer(http.HandlerFunc(n.serveMetrics))
		servers = append(servers, metrics)
		serve(metrics, n.metricsListener, failed)
	}
	n.log.Started(n.settings.Listen.Door, n.settings.Listen.Peer, n.settings.Vm.Zone, n.settings.Listen.Seeds)
	var err error
	select {
	case <-ctx.Done():
		n.shutdown(door)
	case err = <-failed:
	}
	stop()
	wg.Wait()
	for _, s := range servers {
		_ = s.Close() // nothing is left to save
	}
	_ = n.peerListener.Close() // the same
	n.mesh.Close()
	n.orders.StopAndWait()
	n.reports.StopAndWait()
	n.log.Stopped()
	return err
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
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
	_, _ = w.Write([]byte(n.metrics.Map.String())) // the reader may have left
}

// Shares of the time between SIGTERM and SIGKILL.
const (
	// acceptTime is how long new connections are still taken: the balancer needs
	// two missed checks, a second apart, and connections on their way.
	acceptTime = 2500 * time.Millisecond
	// exitMargin is left at the end.
	exitMargin = 400 * time.Millisecond
)

// shutdown stops being ready, serves what still comes with the word that each
// connection ends, and waits for open requests within the grace.
func (n *Node) shutdown(door *http.Server) {
	grace := time.Duration(n.settings.Times.GraceS * float64(time.Second))
	end := n.now().Add(grace - exitMargin)
	n.log.Draining(n.gateway.OpenRequests())
	n.drain.Store(true)
	n.gateway.Drain()
	n.mu.Lock()
	n.roster.SetLeaving()
	n.mu.Unlock()
	n.updateDuty()
	n.beatAll()
	time.Sleep(min(acceptTime, n.until(end)))
	ctx, cancel := context.WithTimeout(context.Background(), n.until(end))
	defer cancel()
	if err := door.Shutdown(ctx); err != nil {
		n.log.DrainIncomplete(n.gateway.OpenRequests(), err)
	}
}

// tickLoop drives timers.
func (n *Node) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	var tidied time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.wake()
		n.schedules.tick()
		n.lines.tick()
		n.contents.tick()
		n.watchActing()
		now := n.now()
		if now.Sub(tidied) < tidyEvery {
			continue
		}
		tidied = now
		n.gateway.Prune()
	}
}
