package edge

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/reach"
	"github.com/junctionfold/junctionfold/coord/rendezvous"
	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

const (
	// maxRelays is the number of VMs that relays returns.
	maxRelays = 3
	// comparisonTimeout bounds a connection attempt that tells a broken target from broken paths.
	// Targets are a few milliseconds away.
	comparisonTimeout = 200 * time.Millisecond
)

// reachability records which targets this VM can reach itself, and names the VMs that can relay
// requests to the others. Lock order: no other lock is acquired while reachability.mu is held.
type reachability struct {
	node *Node
	// candidates holds the VMs that can relay, as of the last heartbeat round.
	candidates atomic.Pointer[relayCandidates]

	mu    sync.Mutex
	table *reach.Table
	// silenceCheckedAt is when a silence was last looked for, or a probe ended after that. listeningSince is
	// the time since which this VM has run without a gap. Only probeLoop uses them.
	silenceCheckedAt, listeningSince time.Time
}

func newReachability(n *Node) *reachability {
	r := &reachability{node: n, table: reach.New(rendezvous.Hash(n.settings.Vm.Id))}
	r.candidates.Store(&relayCandidates{})
	return r
}

// apply replaces the targets by those of a directory that accept requests.
func (r *reachability) apply(d *feed.Directory) {
	ids := make([]string, 0, len(d.Targets))
	var engines []string
	for id, t := range d.Targets {
		if t.State != fleet.TargetReady {
			continue
		}
		ids = append(ids, id)
		if isEngine(d, t) {
			engines = append(engines, id)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.SetTargets(ids)
	r.table.SetEngines(engines)
}

func isEngine(d *feed.Directory, t *fleet.Target) bool {
	if d.Config == nil {
		return false
	}
	s := d.Config.Services[t.Service]
	return s != nil && s.Engine != nil
}

// viaRelay reports whether requests to a target are to be sent through another VM. It returns false
// when no other VM can relay.
func (r *reachability) viaRelay(target string) bool {
	if !r.hasRelays() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.ViaRelay(r.node.now(), target)
}

// recordDial records the result of a new connection to a target; err is nil on success. Requests on
// existing connections are not recorded.
func (r *reachability) recordDial(target string, err error) {
	r.mu.Lock()
	change := r.table.RecordDial(r.node.now(), target, err == nil)
	r.mu.Unlock()
	r.handle(change)
}

// recordDirectFailure records that a connection to a target was reset, or its bytes not
// acknowledged, before a response.
func (r *reachability) recordDirectFailure(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.RecordFailure(r.node.now(), target)
}

// recordRelayed records whether a relay reached a target.
func (r *reachability) recordRelayed(target string, reached bool) {
	r.mu.Lock()
	change := r.table.RecordRelayed(r.node.now(), target, reached)
	r.mu.Unlock()
	r.handle(change)
}

// recordReachedElsewhere records that another VM reported a response of a target.
func (r *reachability) recordReachedElsewhere(target string) {
	r.mu.Lock()
	change := r.table.RecordReachedElsewhere(r.node.now(), target)
	r.mu.Unlock()
	r.handle(change)
}

// recordReport uses the end, or the first event, of another VM's request as proof that its target can be
// reached.
func (n *Node) recordReport(from coord.VMID, target string, ending schema.Ending) {
	if responded[ending] && from != coord.VMID(n.settings.Vm.Id) {
		n.reachability.recordReachedElsewhere(target)
	}
}

// recordEngineCall records the result of an order or a report request that was sent at startedAt. Only
// failures of the connection count; err is nil on success.
func (r *reachability) recordEngineCall(target string, startedAt time.Time, err error) {
	now := r.node.now()
	switch {
	case isAnswered(err):
		r.node.pool.RecordHeard()
	case isUnanswered(err) && r.node.pool.HeardAt().Before(startedAt):
		r.recordSilence(now, target)
	case isPathFailure(context.Background(), err), errors.IsAny(err, context.DeadlineExceeded, syscall.ECONNREFUSED):
		r.recordDirectFailure(target)
	}
}

// handle logs a change. The beginning of an isolation is announced at once.
func (r *reachability) handle(c reach.Change) {
	if c.Broken != "" {
		r.node.log.PathBroken(c.Broken)
	}
	if c.Restored != "" {
		r.node.log.PathRestored(c.Restored)
	}
	if c.IsolationEnded {
		r.node.log.IsolationEnded(c.BrokenPaths, c.Duration)
	}
	if c.IsolationBegan {
		r.node.log.IsolationBegan(c.BrokenPaths)
		r.node.runHeartbeatRoundSoon()
	}
}

// announcesIsolation reports whether this VM announces that it is cut off from all targets.
func (r *reachability) announcesIsolation(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.AnnouncesIsolation(now)
}

// brokenPaths returns the number of targets whose paths are broken.
func (r *reachability) brokenPaths() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int64(r.table.BrokenPaths())
}

// isIsolated reports whether this VM is cut off from all targets.
func (r *reachability) isIsolated() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Isolated()
}

// canRelay reports whether this VM can send requests of others.
func (r *reachability) canRelay() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.CanRelay()
}

// isolated is isIsolated for metrics: 1 or 0.
func (r *reachability) isolated() int64 {
	if r.isIsolated() {
		return 1
	}
	return 0
}

// hasRelays reports whether other VMs can relay requests.
func (r *reachability) hasRelays() bool { return !r.candidates.Load().isEmpty() }

// relays returns up to maxRelays VMs that can relay requests, best first. It returns none if no
// other VM can. Until this VM knows that it is isolated, a VM of another zone comes first: those of
// its own zone may have lost their paths with it, and not have announced it yet.
func (r *reachability) relays() []coord.VMID {
	c := r.candidates.Load()
	preferred := randomSample(slices.Clone(c.preferred), maxRelays)
	others := randomSample(slices.Clone(c.others), maxRelays)
	if !r.isIsolated() && len(others) > 0 {
		preferred, others = append(others[:1:1], preferred...), others[1:]
	}
	relays := append(preferred, others...)
	return relays[:min(len(relays), maxRelays)]
}

// isAtFault reports whether a target that this VM did not reach is at fault, and not this VM's paths.
// In doubt, it connects to another target.
func (r *reachability) isAtFault(ctx context.Context, target string) bool {
	if !r.doubts(target) {
		return true
	}
	r.mu.Lock()
	other, found := r.table.Comparison(target)
	r.mu.Unlock()
	if !found {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, comparisonTimeout)
	defer cancel()
	r.connect(ctx, other)
	return !r.doubts(target)
}

func (r *reachability) doubts(target string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Doubts(r.node.now(), target)
}

// runHeartbeatRoundSoon makes the heartbeat loop run its next round at once.
func (n *Node) runHeartbeatRoundSoon() {
	select {
	case n.heartbeatDue <- struct{}{}:
	default: // a round is due already
	}
}
