package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Times of the reading. A new configuration has to be in force within 2 s and a
// leaving target left alone within 2 s: a change waits for pollGap at most, then
// for one message. Where all readers are cut off, some other VM reads within staleAfter,
// staleJitter and idleCheck (1.2 s where 2 s are allowed, 1.65 s where 3 s are) and
// passes on what it finds.
const (
	// watchWait is how long a watch waits for a change, which is how often a
	// reader can say that nothing changed.
	watchWait = 500 * time.Millisecond
	// pollGap is the least time between two watches of a reader: announcements
	// change several times a second, and calls are charged for.
	pollGap = 250 * time.Millisecond
	// staleShare of the time in which a configuration must be in force, and of that in
	// which a leaving target must be left alone, is the silence after which a VM reads by
	// itself.
	staleShare = 0.45
	// staleJitter spreads those reads.
	staleJitter = 200 * time.Millisecond
	// ownGap is the least time between two reads of a VM that is no reader.
	ownGap = 500 * time.Millisecond
	// retryGap is the pause after a read that failed.
	retryGap = 250 * time.Millisecond
	// pullTimeout bounds a question to another VM.
	pullTimeout = 500 * time.Millisecond
	// idleCheck is how often a VM that is no reader looks at its copy's age.
	idleCheck = 100 * time.Millisecond
	// spreadTime is for a read of the store and a message to all VMs, with the turns of
	// busy VMs: some ms each way.
	spreadTime = 100 * time.Millisecond
)

// WordWithin bounds the time from a change in the store until all VMs that reach each
// other know of it, as long as the store serves one of them: also where it turns all
// readers away. Worst of 20 seeds of 66 VMs in virtual time, 45 in 100 turned away, four
// series: 1.01 s where it is 1.3 s, 1.41 s where it is 1.75 s.
func WordWithin(applyWithin, drainWithin time.Duration) time.Duration {
	return staleAfter(applyWithin, drainWithin) + staleJitter + idleCheck + spreadTime
}

func staleAfter(applyWithin, drainWithin time.Duration) time.Duration {
	return time.Duration(staleShare * float64(min(applyWithin, drainWithin)))
}

// Peers reaches the other VMs.
type Peers interface {
	// Reader reports whether this VM is to read the store for the others.
	Reader() bool
	// PassOn sends an update to all other VMs, without waiting.
	PassOn(u Update)
	// Pull asks any other VM for what changed after a revision.
	Pull(ctx context.Context, after uint64) (Update, error)
	// PullFrom asks one.
	PullFrom(ctx context.Context, vm coord.VMID, after uint64) (Update, error)
}

// Config holds what a Feed needs.
type Config struct {
	Store    fleet.Store
	Peers    Peers
	Prefixes []string
	Decode   func(fleet.Item) (fleet.Decoded, error)
	// Trim leaves out of an item what changes often and is of no use here.
	Trim func(fleet.Item) fleet.Item
	// ApplyWithin is the time in which a configuration must be in force.
	ApplyWithin time.Duration
	// DrainWithin is the time in which a leaving target must be left alone.
	DrainWithin time.Duration
	// OnChange is called after the directory changed, one call at a time.
	OnChange func(*Directory)
	// OnGone is told the ids of targets that were dropped.
	OnGone func(ids []string)
	Log    *events.Log
	Now    func() time.Time
}

// Feed keeps one VM's copy. Lock order: Feed.notify before Feed.mu.
type Feed struct {
	cfg Config

	notify sync.Mutex // one OnChange at a time
	mu     sync.Mutex
	cache  *cache
	dir    *directory
	down   bool // the store failed when last read
	asking bool // a question to another VM is under way
	// looked is when this VM last looked at its copy, resumed when it did so after it
	// had stood still.
	looked, resumed time.Time

	current atomic.Pointer[Directory]
}

// New returns an empty Feed.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, cache: newCache(), dir: newDirectory(cfg.Decode, cfg.DrainWithin)}
	f.current.Store(&Directory{Targets: map[string]*fleet.Target{}})
	return f
}

// Directory returns what is known now.
func (f *Feed) Directory() *Directory { return f.current.Load() }

// Age returns how long ago the copy was known to be current.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.fresh.IsZero() {
		return time.Hour
	}
	return f.cfg.Now().Sub(f.cache.fresh)
}

// Revision returns the store's revision up to which the copy is complete.
func (f *Feed) Revision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.revision
}

// Run reads until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := f.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// step does one read, if one is due, and returns the pause after it.
func (f *Feed) step(ctx context.Context) time.Duration {
	if f.Revision() == 0 {
		return f.load(ctx)
	}
	if f.cfg.Peers.Reader() {
		return f.watch(ctx, watchWait, pollGap)
	}
	if f.Age() > f.staleAfter()+rand.N(staleJitter) {
		return f.watch(ctx, 0, ownGap)
	}
	return idleCheck
}

func (f *Feed) staleAfter() time.Duration { return staleAfter(f.cfg.ApplyWithin, f.cfg.DrainWithin) }

// load reads everything, from the store or else from another VM.
func (f *Feed) load(ctx context.Context) time.Duration {
	u, err := f.list(ctx)
	f.note(err)
	if err != nil {
		u, err = f.pull(ctx, 0)
	}
	if err != nil {
		return retryGap
	}
	f.Take(u)
	return pollGap
}

// list reads all prefixes. The lowest revision is the one to watch from.
func (f *Feed) list(ctx context.Context) (Update, error) {
	u := Update{Snapshot: true, Reads: f.nextRead()}
	for _, prefix := range f.cfg.Prefixes {
		items, revision, err := f.cfg.Store.List(ctx, prefix)
		if err != nil {
			return Update{}, err
		}
		for _, item := range items {
			u.Items = append(u.Items, f.cfg.Trim(item))
		}
		if u.To == 0 || revision < u.To {
			u.To = revision
		}
	}
	return u, nil
}

func (f *Feed) pull(ctx context.Context, after uint64) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return f.cfg.Peers.Pull(ctx, after)
}

// watch asks the store for changes and passes them on.
func (f *Feed) watch(ctx context.Context, wait, gap time.Duration) time.Duration {
	began := f.cfg.Now()
	from := f.Revision()
	items, revision, err := f.cfg.Store.Watch(ctx, "", from, wait)
	if errors.Is(err, fleet.ErrHistoryGone) {
		f.cfg.Log.StoreHistoryGone(from)
		return f.relist(ctx)
	}
	f.note(err)
	if err != nil {
		f.catchUpFromPeer(ctx, from)
		return retryGap
	}
	for i := range items {
		items[i] = f.cfg.Trim(items[i])
	}
	f.takeAndPassOn(Update{From: from, To: revision, Items: items, Reads: f.nextRead()})
	return max(gap-f.cfg.Now().Sub(began), 0)
}

// takeAndPassOn takes what this VM has read, and tells the others what changed by it.
// That nothing changed they learn from the roster. A VM that is no reader reads only when
// it has heard nothing fresh: its readers have lost the store, and those of others
// probably have too. Who reads a change first passes it on, so that it is no change to
// those who read after.
func (f *Feed) takeAndPassOn(u Update) {
	before := f.State()
	changed, _ := f.take(u)
	if len(changed) > 0 {
		f.cfg.Peers.PassOn(Update{From: before.LastChange, To: u.To, Items: changed, Reads: u.Reads})
	}
}

// catchUpFromPeer is for a VM that the store turns away while it serves others.
func (f *Feed) catchUpFromPeer(ctx context.Context, from uint64) {
	u, err := f.pull(ctx, from)
	if err != nil {
		f.cfg.Log.PeerCallFailed("feed_pull", "any", err)
		return
	}
	f.Take(u)
}

// relist reads everything anew when the history is gone.
func (f *Feed) relist(ctx context.Context) time.Duration {
	u, err := f.list(ctx)
	f.note(err)
	if err != nil {
		return retryGap
	}
	f.takeAndPassOn(u)
	return pollGap
}

// note logs when the store is lost and regained.
func (f *Feed) note(err error) {
	f.mu.Lock()
	was := f.down
	f.down = err != nil
	revision := f.cache.revision
	f.mu.Unlock()
	switch {
	case err != nil && !was:
		f.cfg.Log.StoreLost(err, revision)
	case err == nil && was:
		f.cfg.Log.StoreRegained(revision)
	}
}

// Take takes an update of the store or of another VM. gap reports that changes
// before it are missing.
func (f *Feed) Take(u Update) (gap bool) {
	_, gap = f.take(u)
	return gap
}

func (f *Feed) take(u Update) (changed []fleet.Item, gap bool) {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.look(now)
	f.dir.known = f.cache.fresh
	changed, gap = f.cache.apply(now, u)
	for _, item := range changed {
		if err := f.dir.take(now, item); err != nil {
			f.cfg.Log.ItemRefused(item.Key, item.Revision, err)
		}
	}
	f.publish(now, len(changed) > 0)
	return changed, gap
}

// publish drops targets whose grace is over and publishes the directory if it changed.
// f.notify and f.mu are held; f.mu is released.
func (f *Feed) publish(now time.Time, changed bool) {
	gone := f.dir.expire(now)
	if !changed && len(gone) == 0 {
		f.mu.Unlock()
		return
	}
	d := f.dir.publish(f.cache.revision)
	f.mu.Unlock()
	f.current.Store(d)
	if len(gone) > 0 {
		f.cfg.OnGone(gone)
	}
	f.cfg.OnChange(d)
}

// standstill is the time without a look at the copy after which this VM stood still: some
// heartbeats.
const standstill = time.Second

// look notes that this VM looks at its copy, and the return of a store that was away.
// f.mu is held.
func (f *Feed) look(now time.Time) {
	if !f.looked.IsZero() && now.Sub(f.looked) > standstill {
		f.resumed = now
	}
	f.looked = now
	if !f.cache.fresh.IsZero() && f.silence(now) > max(awayAfter, WordWithin(f.cfg.ApplyWithin, f.cfg.DrainWithin)) {
		f.dir.returned(now)
	}
}

// silence is how long this VM has heard nothing of the store while it ran. f.mu is held.
func (f *Feed) silence(now time.Time) time.Duration {
	since := f.cache.fresh
	if f.resumed.After(since) {
		since = f.resumed
	}
	return now.Sub(since)
}

// State is what a VM tells others of its copy.
type State struct {
	// LastChange is the revision of its newest change, To the one up to which it is
	// complete.
	LastChange, To uint64
	// Age is the time since it was known to be current, by the read with the count
	// Reads; negative: unknown.
	Age   time.Duration
	Reads uint64
}

// State returns the state of this VM's copy.
func (f *Feed) State() State {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{LastChange: f.cache.lastChange, To: f.cache.revision, Reads: f.cache.read.count, Age: unknownAge}
	if !f.cache.fresh.IsZero() {
		s.Age = f.cfg.Now().Sub(f.cache.fresh)
	}
	return s
}

// nextRead is the count of a read of the store that this VM makes now.
func (f *Feed) nextRead() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.read.count + 1
}

// Heard takes another VM's State, and asks it for what is missing here.
func (f *Feed) Heard(vm coord.VMID, other State) {
	f.mu.Lock()
	now := f.cfg.Now()
	f.look(now)
	ask := f.cache.confirm(now, other) && f.cache.loaded() && !f.asking
	f.asking = f.asking || ask
	f.mu.Unlock()
	if ask {
		go f.askFor(vm)
	}
}

// askFor asks a VM for what is missing here, one question at a time.
func (f *Feed) askFor(vm coord.VMID) {
	defer func() {
		f.mu.Lock()
		f.asking = false
		f.mu.Unlock()
	}()
	f.pullFrom(vm)
}

// TakeFrom takes an update that another VM passed on; what is missing before it
// is asked of that VM.
func (f *Feed) TakeFrom(vm coord.VMID, u Update) {
	if f.Take(u) {
		f.pullFrom(vm)
	}
}

func (f *Feed) pullFrom(vm coord.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	missing, err := f.cfg.Peers.PullFrom(ctx, vm, f.Revision())
	if err != nil {
		f.cfg.Log.FeedGap(string(vm), f.Revision(), err)
		return
	}
	f.Take(missing)
}

// Since answers another VM's Pull.
func (f *Feed) Since(after uint64) (Update, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.cache.loaded() {
		return Update{}, false
	}
	return f.cache.since(f.cfg.Now(), after), true
}

// Expire drops targets whose announcement has been gone for long enough. It is
// to be called several times a second.
func (f *Feed) Expire() {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.look(now)
	f.publish(now, false)
}
