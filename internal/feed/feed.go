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

// Times of the reading. A new configuration has to be in force within 2 s and a
// leaving target left alone within 2 s: a change waits for pollGap at most, then
// for one message. Where all readers are cut off, some other VM reads within staleAfter,
// staleJitter and idleCheck (1.2 s where 2 s are allowed, 1.65 s where 3 s are) and
// passes on what it finds.
const (
	// watchWait is how long a watch waits for a change, which is how often a
	// reader can say that nothing changed.
	watchWait = 500 * time.Millisecond
	// pollShare of the time in which word must be everywhere is the least time between two
	// watches of a reader, leastPollGap at least: announcements change several times a
	// second, and calls are charged for. It is 0.25 s where 2 s are allowed and 0.5 s where
	// 4 s are.
	pollShare    = 0.125
	leastPollGap = 250 * time.Millisecond
	// staleShare of the time in which a configuration must be in force, and of that in
	// which a leaving target must be left alone, is the silence after which a VM reads by
	// itself.
	staleShare = 0.45
	// staleJitter spreads those reads.
	staleJitter = 200 * time.Millisecond
	// ownGap is the least time between two reads of a VM that is no reader.
	ownGap = 500 * time.Millisecond
	// retryGap is the pause after a read that failed, for each VM of the fleet: 20 tries
	// a second over all of them find out soon enough that the store is back, or serves
	// some VM. The pause is leastRetryGap at least and maxRetryShare of the time in which
	// word must be everywhere at most, for a VM that nobody tells anything. While a store
	// reset connections for 10 s, 195 VMs made 10,156 calls of a day of 48 s with 250 ms.
	retryGap      = 50 * time.Millisecond
	leastRetryGap = 250 * time.Millisecond
	maxRetryShare = 0.5
	// pullTimeout bounds a question to another VM.
	pullTimeout = 500 * time.Millisecond
	// idleCheck is how often a VM that is no reader looks at its copy's age.
	idleCheck = 100 * time.Millisecond
	// spreadTime is for a read of the store and a message to all VMs, with the turns of
	// busy VMs: some ms each way.
	spreadTime = 100 * time.Millisecond
)

// PropagationBound bounds the time from a change in the store until all VMs that reach each
// other know of it, as long as the store serves one of them: also where it turns all
// readers away. Worst of 20 seeds of 66 VMs in virtual time, 45 in 100 turned away, four
// series: 1.01 s where it is 1.3 s, 1.41 s where it is 1.75 s.
func PropagationBound(applyWithin, drainWithin time.Duration) time.Duration {
	return staleAfter(applyWithin, drainWithin) + staleJitter + idleCheck + spreadTime
}

// wordWithin is the time in which word of the store must be everywhere.
func (c *Config) wordWithin() time.Duration { return min(c.ApplyWithin, c.DrainWithin) }

// pollGap is the least time between two watches of a reader.
func (c *Config) pollGap() time.Duration {
	return max(time.Duration(pollShare*float64(c.wordWithin())), leastPollGap)
}

// retryPause is the pause after a read that failed, drawn anew each time so that VMs that
// failed together do not go on together.
func (c *Config) retryPause() time.Duration {
	most := time.Duration(maxRetryShare * float64(c.wordWithin()))
	pause := max(min(time.Duration(c.Peers.VMCount())*retryGap, most), leastRetryGap)
	return pause/2 + rand.N(pause)
}

func staleAfter(applyWithin, drainWithin time.Duration) time.Duration {
	return time.Duration(staleShare * float64(min(applyWithin, drainWithin)))
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
	// ConfirmWithin is how old a copy may be to judge keys by, where requests carry keys; 0: any.
	ConfirmWithin time.Duration
	// OnChange is called after the directory changed, one call at a time.
	OnChange func(*Directory)
	// OnRemoved is told the ids of targets that were dropped.
	OnRemoved func(ids []string)
	Log       *events.Log
	Now       func() time.Time
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
	// listAt is when this VM, which does not read for the others, lists the store itself after its history
	// since listFrom is gone.
	listAt   time.Time
	listFrom fleet.Revision
	// ranAt is when this VM was last seen to run, resumedAt when it ran again after it
	// had stood still.
	ranAt, resumedAt time.Time

	// refused counts the items that could not be read, or not whole.
	refused atomic.Int64
	current atomic.Pointer[Directory]
	// proven is the time at which current is proven to have been so; it is set after it.
	proven atomic.Pointer[time.Time]
}

// New returns an empty Feed.
func New(cfg Config) *Feed {
	f := &Feed{cfg: cfg, cache: newCache(), dir: newDirectory(cfg.Decode, cfg.DrainWithin)}
	f.current.Store(&Directory{Targets: map[string]*fleet.Target{}})
	return f
}

// Directory returns what is known now.
func (f *Feed) Directory() *Directory { return f.current.Load() }

// RefusedItems returns how many items of the store could not be read, or not whole; a key that
// goes on for the same reason counts once.
func (f *Feed) RefusedItems() int64 { return f.refused.Load() }

// Age returns how long ago the copy was known to be current.
func (f *Feed) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.fresh.IsZero() {
		return time.Hour
	}
	return f.cfg.Now().Sub(f.cache.fresh)
}

// ConfirmedAge bounds how long ago the copy was current: a change that the store acknowledged
// longer ago is in the directory that is looked up after this. (Looked up before, it may be
// of the time before a standstill.)
func (f *Feed) ConfirmedAge() time.Duration {
	at := f.proven.Load()
	if at == nil || at.IsZero() {
		return time.Hour
	}
	return f.cfg.Now().Sub(*at)
}

// Revision returns the store's revision up to which the copy is complete.
func (f *Feed) Revision() fleet.Revision {
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
	if f.cfg.Peers.IsStoreWatcher() {
		return f.watch(ctx, watchWait, f.cfg.pollGap())
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
		return f.cfg.retryPause()
	}
	f.Apply(u)
	return f.cfg.pollGap()
}

// list reads all prefixes. The lowest revision is the one to watch from.
func (f *Feed) list(ctx context.Context) (Update, error) {
	u := Update{Snapshot: true, ReadCount: f.nextRead(), RequestedAt: f.cfg.Now()}
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
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	asked := f.cfg.Now()
	u, err := f.cfg.Peers.Pull(ctx, after)
	u.RequestedAt = asked
	return u, err
}

// watch asks the store for changes and passes them on.
func (f *Feed) watch(ctx context.Context, wait, gap time.Duration) time.Duration {
	began := f.cfg.Now()
	from := f.Revision()
	items, revision, err := f.cfg.Store.Watch(ctx, "", from, wait)
	if errors.Is(err, fleet.ErrCompacted) || err == nil && revision.Epoch() > from.Epoch() {
		f.cfg.Log.StoreHistoryGone(from)
		return f.relist(ctx)
	}
	if err == nil && revision.Epoch() < from.Epoch() {
		err = errEraOver
	}
	f.note(err)
	if err != nil {
		f.catchUpFromPeer(ctx, from)
		return f.cfg.retryPause()
	}
	for i := range items {
		items[i] = f.cfg.Trim(items[i])
	}
	f.takeAndPassOn(Update{From: from, To: revision, Items: items, ReadCount: f.nextRead(), RequestedAt: began})
	return max(gap-f.cfg.Now().Sub(began), 0)
}

// errEraOver marks an answer of an era of the store that is over.
var errEraOver = errors.Mark(errors.New("the answer is of an era that is over"), fleet.ErrStore)

// relist reads everything anew when the history is gone. One list is enough for all VMs: those that do not
// read for the others wait for it first.
func (f *Feed) relist(ctx context.Context) time.Duration {
	was := f.Revision()
	if !f.cfg.Peers.IsStoreWatcher() {
		if pause := f.awaitList(ctx, was); pause > 0 {
			return pause
		}
	}
	u, err := f.list(ctx)
	if err == nil && u.To.Epoch() < was.Epoch() {
		err = errEraOver
	}
	f.note(err)
	if err != nil {
		return f.cfg.retryPause()
	}
	changed := f.takeAndPassOn(u)
	f.cfg.Log.StoreRelisted(was, u.To, len(u.Items), changed)
	return f.cfg.pollGap()
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
