package feed

import (
	"context"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Peers reaches the other VMs.
type Peers interface {
	// IsStoreWatcher reports whether this VM is to read the store for the others.
	IsStoreWatcher() bool
	// VMCount is how many VMs the fleet has, this one included.
	VMCount() int
	// Relay sends an update to all other VMs, without waiting.
	Relay(u Update)
	// Pull asks any other VM for what changed after a revision.
	Pull(ctx context.Context, after fleet.Revision) (Update, error)
	// QueryStoreWatcher asks a VM that reads the store for the others how current its copy is.
	QueryStoreWatcher(ctx context.Context) (vm coord.VMID, p Confirmation, err error)
	// PullFrom asks one.
	PullFrom(ctx context.Context, vm coord.VMID, after fleet.Revision) (Update, error)
	// PullConfig asks one for the item of the configuration that is in force there.
	PullConfig(ctx context.Context, vm coord.VMID) (fleet.Item, error)
}

// takeAndPassOn takes what this VM has read, and tells the others what changed by it.
// That nothing changed they learn from the roster. A VM that is no reader reads only when
// it has heard nothing fresh: its readers have lost the store, and those of others
// probably have too. Who reads a change first passes it on, so that it is no change to
// those who read after. The first read of an era is told without its items, which are asked for where
// they are missing. It returns how many items changed here.
func (f *Feed) takeAndPassOn(u Update) (changed int) {
	before := f.Revision()
	news, _ := f.take(u)
	changed = len(news.Items)
	if before != 0 && news.To.Epoch() > before.Epoch() {
		news.Items = nil
		f.cfg.Peers.Relay(news)
		return changed
	}
	if changed > 0 {
		f.cfg.Peers.Relay(news)
	}
	return changed
}

// catchUpFromPeer is for a VM that the store turns away while it serves others.
func (f *Feed) catchUpFromPeer(ctx context.Context, from fleet.Revision) {
	u, err := f.pull(ctx, from)
	if err != nil {
		f.cfg.Log.PeerCallFailed("feed_pull", "any", err)
		return
	}
	f.Apply(u)
}

// State is what a VM tells others of its copy.
type State struct {
	// LastChange is the revision of its newest change, To the one up to which it is
	// complete.
	LastChange, To fleet.Revision
	// Age is the time since it was known to be current, by the read with the count
	// Reads; negative: unknown.
	Age       time.Duration
	ReadCount uint64
	// ConfigVersion is that of the configuration in force; 0: none.
	ConfigVersion uint64
}

// State returns the state of this VM's copy.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{LastChange: f.cache.lastChange, To: f.cache.revision, ReadCount: f.cache.read.count, Age: unknownAge}
	if !f.cache.fresh.IsZero() {
		s.Age = f.cfg.Now().Sub(f.cache.fresh)
	}
	if f.dir.config != nil {
		s.ConfigVersion = f.dir.config.Version
	}
	return s
}

// Confirmation is what a VM answers that is asked how current its copy is.
type Confirmation struct {
	// LastChange is the revision of its newest change.
	LastChange fleet.Revision
	// ConfirmedAge bounds the time since its copy was current; negative: unknown.
	ConfirmedAge time.Duration
}

// Confirmation answers another VM's AskReader.
func (f *Feed) Confirmation() Confirmation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Confirmation{LastChange: f.cache.lastChange, ConfirmedAge: f.cache.provenAge(f.cfg.Now())}
}

// nextRead is the count of a read of the store that this VM makes now.
func (f *Feed) nextRead() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.read.count + 1
}

// ObserveState takes another VM's State, and asks it for what is missing here: for everything, if
// nothing could be read yet. On a played day all 195 VMs started while the store was down;
// it was back at 37.5 s, and they went on refusing requests until their own next reads, up to
// 38.3 s.
func (f *Feed) ObserveState(vm coord.VMID, other State) {
	f.mu.Lock()
	now := f.cfg.Now()
	f.noteRunning(now)
	behind := f.cache.confirm(now, other)
	ask := behind && (f.cache.loaded() || other.To > 0) && !f.asking
	lost := !behind && f.dir.config != nil && other.ConfigVersion > f.dir.config.Version && !f.asking
	f.asking = f.asking || ask || lost
	f.mu.Unlock()
	switch {
	case ask:
		go f.askFor(func() { f.pullFrom(vm) })
	case lost:
		go f.askFor(func() { f.pullConfig(vm) })
	}
}

// askFor asks one question at a time for what is missing here.
func (f *Feed) askFor(ask func()) {
	defer func() {
		f.mu.Lock()
		f.asking = false
		f.mu.Unlock()
	}()
	ask()
}

// ApplyFromPeer takes an update that another VM passed on; what is missing before it
// is asked of that VM.
func (f *Feed) ApplyFromPeer(vm coord.VMID, u Update) {
	if !f.Apply(u) {
		return
	}
	if u.To.Epoch() > f.Revision().Epoch() && f.Revision() != 0 {
		go f.joinEra(vm, u.To)
		return
	}
	f.pullFrom(vm)
}

func (f *Feed) pullFrom(vm coord.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	asked := f.cfg.Now()
	missing, err := f.cfg.Peers.PullFrom(ctx, vm, f.Revision())
	if err != nil {
		f.cfg.Log.FeedGap(string(vm), f.Revision(), err)
		return
	}
	missing.RequestedAt = asked
	f.Apply(missing)
}

// ChangesSince answers another VM's Pull.
func (f *Feed) ChangesSince(after fleet.Revision) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cache.loaded() {
		return Update{}, false
	}
	return f.cache.since(f.cfg.Now(), after), true
}
