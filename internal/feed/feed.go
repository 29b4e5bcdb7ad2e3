package feed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/events"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Timing of store reads. Within 2 s, a new configuration must be in force and a leaving target must
// have stopped receiving requests. A change waits for one watch gap at most and then for one
// message. If all store watchers lose the store, another VM reads it within staleAfter, staleJitter
// and staleCheckInterval (1.2 s where the limit is 2 s, 1.65 s where it is 3 s) and relays what it
// finds.
const (
	// watchTimeout is how long a watch waits for a change. It is also how often a store watcher can
	// report that nothing changed.
	watchTimeout = 500 * time.Millisecond
	// watchGapShare of the propagation limit is the minimum time between two watches of a store
	// watcher, with minWatchGap as the lower bound: announcements change several times a second,
	// and calls are charged for. The gap is 0.25 s for a limit of 2 s and 0.5 s for 4 s.
	watchGapShare = 0.125
	minWatchGap   = 250 * time.Millisecond
	// staleShare of the propagation limit, which is the shorter of the limits for applying a
	// configuration and for draining a target, is the age of the copy after which a VM reads the
	// store directly.
	staleShare = 0.45
	// staleJitter spreads those reads.
	staleJitter = 200 * time.Millisecond
	// directReadGap is the minimum time between two reads of a VM that is not a store watcher.
	directReadGap = 500 * time.Millisecond
	// retryDelayPerVM is multiplied by the number of VMs to get the delay after a failed read. The
	// resulting 20 attempts a second across the fleet detect soon enough that the store is back or
	// serves some VM. The delay is at least minRetryDelay. It is at most maxRetryDelayShare of the
	// propagation limit, for the sake of VMs that receive no updates from peers. With a delay of
	// 250 ms whatever the size of the fleet, 195 VMs made 10,156 calls in a simulated run of 48 s
	// that includes 10 s in which the store reset connections.
	retryDelayPerVM    = 50 * time.Millisecond
	minRetryDelay      = 250 * time.Millisecond
	maxRetryDelayShare = 0.5
	// peerQueryTimeout bounds a query to another VM.
	peerQueryTimeout = 500 * time.Millisecond
	// staleCheckInterval is how often a VM that is not a store watcher checks the age of its copy.
	staleCheckInterval = 100 * time.Millisecond
	// propagationTime is allowed for a read of the store and a message to all VMs, including the
	// scheduling delays of busy VMs, which are some ms each way.
	propagationTime = 100 * time.Millisecond
)

// PropagationBound bounds the time from a change in the store until all VMs that can reach each
// other have received it, as long as the store serves at least one of them. It also holds while the
// store rejects all store watchers. In simulations of 66 VMs of which the store rejects 45%, the
// longest time was 1.01 s where the bound is 1.3 s, and 1.41 s where it is 1.75 s (four series of
// 20 runs).
func PropagationBound(applyWithin, drainWithin time.Duration) time.Duration {
	return staleAfter(applyWithin, drainWithin) + staleJitter + staleCheckInterval + propagationTime
}

// propagationLimit returns the time in which a change in the store must be known everywhere.
func (c *Config) propagationLimit() time.Duration { return min(c.ApplyWithin, c.DrainWithin) }

// watchGap returns the minimum time between two watches of a store watcher.
func (c *Config) watchGap() time.Duration {
	return max(time.Duration(watchGapShare*float64(c.propagationLimit())), minWatchGap)
}

// retryDelay returns the delay after a failed read. It is drawn at random each time so that VMs
// that failed together do not retry together.
func (c *Config) retryDelay() time.Duration {
	longest := time.Duration(maxRetryDelayShare * float64(c.propagationLimit()))
	delay := max(min(time.Duration(c.Peers.VMCount())*retryDelayPerVM, longest), minRetryDelay)
	return delay/2 + rand.N(delay)
}

func staleAfter(applyWithin, drainWithin time.Duration) time.Duration {
	return time.Duration(staleShare * float64(min(applyWithin, drainWithin)))
}

// Config holds the dependencies and limits of a Feed.
type Config struct {
	Store    fleet.Store
	Peers    Peers
	Prefixes []string
	Decode   func(fleet.Item) (fleet.Decoded, error)
	// Trim removes the parts of an item that change often and are not used here.
	Trim func(fleet.Item) fleet.Item
	// ApplyWithin is the time in which a configuration must be in force.
	ApplyWithin time.Duration
	// DrainWithin is the time in which a leaving target must stop receiving requests.
	DrainWithin time.Duration
	// ConfirmWithin is the maximum age of a copy that API keys may be checked against, where
	// requests carry keys; 0: unlimited.
	ConfirmWithin time.Duration
	// OnChange is called after the directory changed, one call at a time.
	OnChange func(*Directory)
	// OnRemoved is called with the ids of targets that were dropped.
	OnRemoved func(ids []string)
	Log       *events.Log
	Now       func() time.Time
	// Align moves the end of a delay, so that it falls on other work of the process; nil: it does not.
	Align func(delay time.Duration) time.Duration
}

func (c *Config) align(delay time.Duration) time.Duration {
	if c.Align == nil {
		return delay
	}
	return c.Align(delay)
}

// Feed keeps one VM's copy of the store. Lock order: Feed.notify before Feed.mu.
type Feed struct {
	cfg Config

	notify    sync.Mutex // serializes OnChange calls
	mu        sync.Mutex
	cache     *cache
	dir       *directory
	storeDown bool // the last read of the store failed
	pulling   bool // a query to another VM for missing data is in flight
	// listAt is when this VM, which is not a store watcher, lists the store itself after the
	// history since listFrom was compacted.
	listAt   time.Time
	listFrom fleet.Revision
	// lastRunAt is when this VM last recorded that it runs, resumedAt when it ran again after a
	// suspension.
	lastRunAt, resumedAt time.Time
	// loadedAt is when the copy was complete for the first time.
	loadedAt time.Time

	// rejectedItems counts the items that could not be decoded, or only in part.
	rejectedItems atomic.Int64
	current       atomic.Pointer[Directory]
	// confirmedAt is a time at which current is confirmed to have been up to date. It is stored
	// after current.
	confirmedAt atomic.Pointer[time.Time]
}

// New returns an empty Feed.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, cache: newCache(), dir: newDirectory(cfg.Decode, cfg.DrainWithin)}
	f.current.Store(&Directory{Targets: map[string]*fleet.Target{}})
	return f
}

// Directory returns the current directory.
func (f *Feed) Directory() *Directory { return f.current.Load() }

// RejectedItems returns how many items of the store could not be decoded, or only in part. A key
// that keeps failing for the same reason counts once.
func (f *Feed) RejectedItems() int64 { return f.rejectedItems.Load() }

// Age returns the time since the copy was last known to be current, or an hour if it never was.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.freshAt.IsZero() {
		return time.Hour
	}
	return f.cfg.Now().Sub(f.cache.freshAt)
}

// ConfirmedAge returns an upper bound on the age of the copy, or an hour if there is none. A change
// that the store acknowledged longer ago is in the directory that is loaded after this call. A
// directory loaded before the call may date from before a suspension of this VM.
func (f *Feed) ConfirmedAge() time.Duration {
	at := f.confirmedAt.Load()
	if at == nil || at.IsZero() {
		return time.Hour
	}
	return f.cfg.Now().Sub(*at)
}

// Revision returns the store revision up to which the copy is complete.
func (f *Feed) Revision() fleet.Revision {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cache.revision
}

// Run reads the store until the context ends.
func (f *Feed) Run(ctx context.Context) {
	for ctx.Err() == nil {
		delay := f.step(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(f.cfg.align(delay)):
		}
	}
}

// step makes one read if one is due and returns the delay until the next step.
func (f *Feed) step(ctx context.Context) time.Duration {
	if f.Revision() == 0 {
		return f.load(ctx)
	}
	if f.cfg.Peers.IsStoreWatcher() {
		return f.watch(ctx, watchTimeout, f.cfg.watchGap())
	}
	if f.Age() > f.staleAfter()+rand.N(staleJitter) {
		return f.watch(ctx, 0, directReadGap)
	}
	return staleCheckInterval
}

func (f *Feed) staleAfter() time.Duration { return staleAfter(f.cfg.ApplyWithin, f.cfg.DrainWithin) }

// load reads everything, from the store or else from another VM.
func (f *Feed) load(ctx context.Context) time.Duration {
	u, err := f.list(ctx)
	f.recordStoreResult(err)
	if err != nil {
		u, err = f.pull(ctx, 0)
	}
	if err != nil {
		return f.cfg.retryDelay()
	}
	f.Apply(u)
	return f.cfg.watchGap()
}

// list reads all prefixes. Later watches start from the lowest revision of the lists.
func (f *Feed) list(ctx context.Context) (Update, error) {
	u := Update{Snapshot: true, ReadCount: f.nextReadCount(), RequestedAt: f.cfg.Now()}
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

func (f *Feed) pull(ctx context.Context, after fleet.Revision) (Update, error) {
	ctx, cancel := context.WithTimeout(ctx, peerQueryTimeout)
	defer cancel()
	requestedAt := f.cfg.Now()
	u, err := f.cfg.Peers.Pull(ctx, after)
	u.RequestedAt = requestedAt
	return u, err
}

// watch requests changes from the store and relays them to the other VMs.
func (f *Feed) watch(ctx context.Context, wait, gap time.Duration) time.Duration {
	startedAt := f.cfg.Now()
	from := f.Revision()
	items, revision, err := f.cfg.Store.Watch(ctx, "", from, wait)
	if errors.Is(err, fleet.ErrCompacted) || err == nil && revision.Epoch() > from.Epoch() {
		f.cfg.Log.StoreHistoryGone(from)
		return f.relist(ctx)
	}
	if err == nil && revision.Epoch() < from.Epoch() {
		err = errEarlierEpoch
	}
	f.recordStoreResult(err)
	if err != nil {
		f.catchUpFromPeer(ctx, from)
		return f.cfg.retryDelay()
	}
	for i := range items {
		items[i] = f.cfg.Trim(items[i])
	}
	f.applyAndRelay(Update{From: from, To: revision, Items: items, ReadCount: f.nextReadCount(), RequestedAt: startedAt})
	return max(gap-f.cfg.Now().Sub(startedAt), 0)
}

// errEarlierEpoch marks an answer from an earlier epoch of the store.
var errEarlierEpoch = errors.Mark(errors.New("the store answered from an earlier epoch"), fleet.ErrStore)

// relist reads everything again after the history was compacted or a new epoch began. One list is
// enough for all VMs, so VMs that are not store watchers wait for a watcher's list first.
func (f *Feed) relist(ctx context.Context) time.Duration {
	previous := f.Revision()
	if !f.cfg.Peers.IsStoreWatcher() {
		if delay := f.awaitWatcherList(ctx, previous); delay > 0 {
			return delay
		}
	}
	u, err := f.list(ctx)
	if err == nil && u.To.Epoch() < previous.Epoch() {
		err = errEarlierEpoch
	}
	f.recordStoreResult(err)
	if err != nil {
		return f.cfg.retryDelay()
	}
	changed := f.applyAndRelay(u)
	f.cfg.Log.StoreRelisted(previous, u.To, len(u.Items), changed)
	return f.cfg.watchGap()
}

// recordStoreResult logs transitions between store failure and recovery.
func (f *Feed) recordStoreResult(err error) {
	f.mu.Lock()
	wasDown := f.storeDown
	f.storeDown = err != nil
	revision := f.cache.revision
	f.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		f.cfg.Log.StoreLost(err, revision)
	case err == nil && wasDown:
		f.cfg.Log.StoreRegained(revision)
	}
}
