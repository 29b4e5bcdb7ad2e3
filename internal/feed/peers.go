package feed

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Peers connects a Feed to the other VMs.
type Peers interface {
	// IsStoreWatcher reports whether this VM is to watch the store for the others.
	IsStoreWatcher() bool
	// VMCount returns the number of VMs in the fleet, including this one.
	VMCount() int
	// Relay sends an update to all other VMs without waiting for them.
	Relay(u Update)
	// Pull requests the changes after a revision from any other VM.
	Pull(ctx context.Context, after fleet.Revision) (Update, error)
	// QueryStoreWatcher asks a store watcher how current its copy is.
	QueryStoreWatcher(ctx context.Context) (vm coord.VMID, confirmation Confirmation, err error)
	// PullFrom requests the changes after a revision from the given VM.
	PullFrom(ctx context.Context, vm coord.VMID, after fleet.Revision) (Update, error)
	// PullConfig requests the item of the configuration that is in force at the given VM.
	PullConfig(ctx context.Context, vm coord.VMID) (fleet.Item, error)
}

// applyAndRelay applies an update that this VM read from the store and relays the resulting
// changes. It returns the number of items that changed here.
//
// Reads without changes are not relayed; the other VMs learn from the roster that nothing changed.
// A VM that is not a store watcher reads only when it has received nothing fresh, so its watchers
// have lost the store, and those of other VMs probably have too. It therefore relays what it reads.
// VMs that read the same change later have it by then and do not relay it again. The first update
// of an epoch is relayed without its items; VMs that lack them pull them.
func (f *Feed) applyAndRelay(u Update) (changed int) {
	previous := f.Revision()
	delta, _ := f.applyUpdate(u)
	changed = len(delta.Items)
	if previous != 0 && delta.To.Epoch() > previous.Epoch() {
		delta.Items = nil
		f.cfg.Peers.Relay(delta)
		return changed
	}
	if changed > 0 {
		f.cfg.Peers.Relay(delta)
	}
	return changed
}

// catchUpFromPeer pulls the changes after from for a VM that the store rejects while it serves
// others.
func (f *Feed) catchUpFromPeer(ctx context.Context, from fleet.Revision) {
	u, err := f.pull(ctx, from)
	if err != nil {
		f.cfg.Log.PeerCallFailed("feed_pull", "any", err)
		return
	}
	f.Apply(u)
}

// State is what a VM reports to other VMs about its copy.
type State struct {
	// LastChange is the revision of its newest change. To is the revision up to which it is
	// complete.
	LastChange, To fleet.Revision
	// Age is the time since the copy was last known to be current, by the read with the count
	// ReadCount; negative: unknown.
	Age       time.Duration
	ReadCount uint64
	// ConfigVersion is the version of the configuration in force; 0: none.
	ConfigVersion uint64
}

// State returns the state of this VM's copy.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{LastChange: f.cache.lastChange, To: f.cache.revision, ReadCount: f.cache.freshRead.count, Age: unknownAge}
	if !f.cache.freshAt.IsZero() {
		s.Age = f.cfg.Now().Sub(f.cache.freshAt)
	}
	if f.dir.config != nil {
		s.ConfigVersion = f.dir.config.Version
	}
	return s
}

// Confirmation is the response of a VM to the query how current its copy is.
type Confirmation struct {
	// LastChange is the revision of the newest change in its copy.
	LastChange fleet.Revision
	// ConfirmedAge is an upper bound on the age of its copy; negative: unknown.
	ConfirmedAge time.Duration
}

// Confirmation answers another VM's QueryStoreWatcher.
func (f *Feed) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Confirmation{LastChange: f.cache.lastChange, ConfirmedAge: f.cache.confirmedAge(f.cfg.Now())}
}

// nextReadCount returns the count of a store read that this VM makes now.
func (f *Feed) nextReadCount() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.freshRead.count + 1
}

// ObserveState applies another VM's State and pulls from it what is missing here, including
// everything if nothing could be read yet. Without that, in a simulated run in which all 195 VMs
// started while the store was down, they refused requests until their own next reads, up to 0.8 s
// after the store was back.
func (f *Feed) ObserveState(vm coord.VMID, other State) {
	f.mu.Lock()
	now := f.cfg.Now()
	f.recordRunning(now)
	behind := f.cache.observeState(now, other)
	pull := behind && (f.cache.loaded() || other.To > 0) && !f.pulling
	lost := !behind && f.dir.config != nil && other.ConfigVersion > f.dir.config.Version && !f.pulling
	f.pulling = f.pulling || pull || lost
	f.mu.Unlock()
	switch {
	case pull:
		go f.runPull(func() { f.pullFrom(vm) })
	case lost:
		go f.runPull(func() { f.pullConfig(vm) })
	}
}

// runPull runs one pull of missing data and then allows the next.
func (f *Feed) runPull(pull func()) {
	defer func() {
		f.mu.Lock()
		f.pulling = false
		f.mu.Unlock()
	}()
	pull()
}

// ApplyFromPeer applies an update that another VM relayed. Changes that are missing before it are
// pulled from that VM.
func (f *Feed) ApplyFromPeer(vm coord.VMID, u Update) {
	if !f.Apply(u) {
		return
	}
	if u.To.Epoch() > f.Revision().Epoch() && f.Revision() != 0 {
		go f.joinEpoch(vm, u.To)
		return
	}
	f.pullFrom(vm)
}

func (f *Feed) pullFrom(vm coord.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
	defer cancel()
	requestedAt := f.cfg.Now()
	missing, err := f.cfg.Peers.PullFrom(ctx, vm, f.Revision())
	if err != nil {
		f.cfg.Log.FeedGap(string(vm), f.Revision(), err)
		return
	}
	missing.RequestedAt = requestedAt
	f.Apply(missing)
}

// ChangesSince answers another VM's Pull. The result is false if this VM has no data yet.
func (f *Feed) ChangesSince(after fleet.Revision) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cache.loaded() {
		return Update{}, false
	}
	return f.cache.since(f.cfg.Now(), after), true
}
