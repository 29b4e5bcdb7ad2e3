package edge

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/coord/roster"
	"github.com/junctionfold/junctionfold/schema"
)

// Times of the node's loops.
const (
	// tickEvery drives the scheduler's timers and expiries.
	tickEvery = 20 * time.Millisecond
	// tidyEvery is the time between two clean-ups.
	tidyEvery = 500 * time.Millisecond
	// seedEvery is the time between two tries to join through the seeds.
	seedEvery = 500 * time.Millisecond
	// firstSeedEvery is the same for a VM that knows no other yet.
	firstSeedEvery = 100 * time.Millisecond
	// seedTimeout bounds one try.
	seedTimeout = 700 * time.Millisecond
	// headerTimeout bounds the time a caller takes to send a request's head;
	// callers here stay well within.
	headerTimeout = 10 * time.Second
	// idleTimeout keeps callers' connections; callers close them earlier.
	idleTimeout = 60 * time.Second
	// maxHeader bounds a head in memory, in bytes; the configuration's own limit
	// is lower.
	maxHeader = 64 << 10
	// minReaders is how many VMs watch the store for all: two, so that one may be
	// cut off unnoticed.
	minReaders = 2
	// vmsPerReader bounds how far word of a reader has to go in a large fleet.
	vmsPerReader = 30
	// revisionTimeout bounds one read of the store's revision: nobody orders
	// meanwhile. Answers take 4 ms, and a quarter of a second in slow spells.
	revisionTimeout = 500 * time.Millisecond
	// readerName is hashed to choose them.
	readerName = "reader"
)

// Run serves until the context ends, then drains.
func (n *Node) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){n.feed.Run, n.beatLoop, n.tickLoop, n.seedLoop} {
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
	n.log.Draining(n.gateway.Open())
	n.drain.Store(true)
	n.gateway.Drain()
	n.mu.Lock()
	n.roster.SetLeaving()
	n.mu.Unlock()
	n.updateDuty()
	n.beatAll()
	time.Sleep(min(acceptTime, time.Until(end)))
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := door.Shutdown(ctx); err != nil {
		n.log.DrainIncomplete(n.gateway.Open(), err)
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
		n.schedules.tick()
		n.watchActing()
		now := n.now()
		if now.Sub(tidied) < tidyEvery {
			continue
		}
		tidied = now
		n.gateway.Tidy()
	}
}

// beatLoop tells others the roster and keeps view and duty current.
func (n *Node) beatLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(n.heartbeat()):
		}
		n.beat()
	}
}

func (n *Node) heartbeat() time.Duration {
	if n.now().Sub(n.began) < startTime {
		return startHeartbeat
	}
	if n.vms.Load() >= largeFleet {
		return slowHeartbeat
	}
	return heartbeat
}

func (n *Node) beat() {
	now := n.now()
	n.mu.Lock()
	changes, paused := n.roster.Tick(now)
	if paused {
		n.duty.Paused(now)
		n.roster.SetFence(0)
	}
	n.lastTick = now
	n.mu.Unlock()
	if paused {
		n.log.Paused(suspectAfter / 2)
	}
	n.onRosterChanges(changes)
	n.updateDuty()
	n.feed.Expire()
	for _, vm := range n.listeners() {
		go n.beatTo(vm)
	}
}

// listeners picks the VMs to tell this time: most of them near, since bytes
// between zones are charged for, and one anywhere.
func (n *Node) listeners() []coord.VMID {
	n.mu.Lock()
	var near, all []coord.VMID
	for _, m := range n.roster.Members() {
		if m.State == roster.Suspect {
			continue
		}
		all = append(all, m.ID)
		if m.Zone == n.settings.Vm.Zone {
			near = append(near, m.ID)
		}
	}
	n.mu.Unlock()
	picked := shuffled(near, fanout-1)
	for _, vm := range shuffled(all, fanout) {
		if len(picked) < fanout && !slices.Contains(picked, vm) {
			picked = append(picked, vm)
		}
	}
	return picked
}

// beatAll tells every VM at once.
func (n *Node) beatAll() {
	for _, vm := range n.others() {
		go n.beatTo(vm)
	}
}

// beatTo sends one heartbeat unless the last one is still on its way.
func (n *Node) beatTo(vm coord.VMID) {
	if _, busy := n.beating.LoadOrStore(vm, true); busy {
		return
	}
	defer n.beating.Delete(vm)
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	err := n.mesh.Beat(ctx, vm, &schema.Heartbeat{Vm: n.settings.Vm.Id, Roster: n.tellRoster()})
	if err != nil {
		n.log.PeerCallFailed("heartbeat", string(vm), err)
	}
}

// onRosterChanges logs what changed and lets go of VMs that are away.
func (n *Node) onRosterChanges(changes []roster.Change) {
	for _, c := range changes {
		n.log.PeerChanged(string(c.VM), c.Old, c.New, c.Silent)
		if c.New == roster.Suspect.String() || c.New == "" {
			n.mesh.Drop(c.VM)
			n.schedules.silent(c.VM)
		}
		if c.Restarted != 0 {
			n.schedules.restarted(c.VM, c.Restarted)
		}
	}
	if len(changes) > 0 {
		n.updateReaders()
	}
}

// updateReaders finds who reads the store for all.
func (n *Node) updateReaders() {
	n.mu.Lock()
	live := n.roster.Strong()
	n.vms.Store(int64(max(n.roster.Size(), 1)))
	n.mu.Unlock()
	hashes := make([]uint64, len(live))
	for i, e := range live {
		hashes[i] = rendezvous.Hash(string(e.ID))
	}
	best := make([]int, max(minReaders, int(n.vms.Load())/vmsPerReader))
	top := best[:rendezvous.Top(hashes, rendezvous.Hash(readerName), best)]
	n.reader.Store(slices.ContainsFunc(top, func(i int) bool { return string(live[i].ID) == n.settings.Vm.Id }))
}

// updateDuty finds who gives orders, and takes the duty when it falls to this VM.
func (n *Node) updateDuty() {
	n.mu.Lock()
	before := n.duty.Phase()
	take := n.duty.Update(n.now(), n.roster)
	after := n.duty.Phase()
	acting := n.duty.Acting()
	n.roster.SetFence(n.duty.Fence())
	fence := n.duty.Fence()
	vms, majority := n.roster.Size(), n.roster.HasMajority()
	n.mu.Unlock()
	if old := *n.acting.Load(); old != acting {
		n.acting.Store(&acting)
		n.watchSilence(acting)
		n.schedules.setActing(acting == coord.VMID(n.settings.Vm.Id), n.others())
		n.tellRunning(acting)
		n.log.SchedulerMoved(string(old), string(acting))
	}
	if before != after {
		n.log.DutyChanged(before.String(), after.String(), vms, majority)
	}
	n.schedules.setLease(fence)
	if take {
		go n.takeDuty()
	}
}

// takeDuty reads the store's revision for the fencing number.
func (n *Node) takeDuty() {
	ctx, cancel := context.WithTimeout(context.Background(), revisionTimeout)
	defer cancel()
	revision, err := n.platform.Store.Revision(ctx)
	if err != nil {
		n.log.DutyNotTaken(err)
	}
	n.mu.Lock()
	n.duty.Take(n.now(), revision, err == nil)
	fence := n.duty.Fence()
	n.roster.SetFence(fence)
	n.mu.Unlock()
	if fence == 0 {
		return
	}
	n.log.DutyTaken(fence, revision)
	n.schedules.setLease(fence)
	n.beatAll()
}

// maxTickAge is how old the last look at the fleet may be for an order: a VM that
// stood still must look again first.
const maxTickAge = 2*slowHeartbeat + 100*time.Millisecond

// orderFence returns the number to order under; 0 when this VM may not order.
func (n *Node) orderFence() uint64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.now().Sub(n.lastTick) > maxTickAge {
		return 0
	}
	return n.duty.Fence()
}

// seedLoop joins the fleet through the seeds, and joins parts of it again that
// have lost each other.
func (n *Node) seedLoop(ctx context.Context) {
	for ctx.Err() == nil {
		for _, address := range n.seeds() {
			if address != advertised(n.settings.Listen) && !n.knows(address) {
				n.join(ctx, address)
			}
		}
		pause := seedEvery
		if n.vms.Load() == 1 {
			pause = firstSeedEvery
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// knows reports whether a live VM has the address.
func (n *Node) knows(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.roster.Members() {
		if m.Address == address && m.State != roster.Suspect {
			return true
		}
	}
	return false
}

func (n *Node) join(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	reply, err := n.mesh.CallAddress(ctx, address, &schema.Call{Body: &schema.Call_Roster{Roster: n.wholeRoster()}})
	if err != nil {
		n.log.PeerCallFailed("join", address, err)
		return
	}
	if reply.GetRoster() != nil {
		n.mergeRoster(reply.GetRoster())
	}
}
