package feed

import "time"

// Apply takes an update of the store or of another VM. gap reports that changes
// before it are missing.
func (f *Feed) Apply(u Update) (gap bool) {
	_, gap = f.take(u)
	return gap
}

// take returns what u changed here, as an update for others, with the changes that were
// known before it as its beginning.
func (f *Feed) take(u Update) (news Update, gap bool) {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.noteRunning(now)
	f.dir.known = f.cache.fresh
	news = Update{From: f.cache.lastChange, To: u.To, ReadCount: u.ReadCount}
	was := f.cache.revision
	done := f.cache.apply(now, u)
	news.Items = done.changed
	if done.began {
		f.cfg.Log.StoreEpochBegan(was, u.To, len(u.Items), len(done.changed))
		f.dir.beginEra(now)
		news = Update{From: u.To.EpochStart(), To: u.To, ReadCount: u.ReadCount, Items: done.changed}
	}
	for _, item := range done.changed {
		if err := f.dir.takeChange(now, item, done.began); err != nil {
			f.refused.Add(1)
			f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
		}
	}
	d, gone := f.settle(now, len(done.changed) > 0 || done.began)
	proven := f.cache.proven
	f.mu.Unlock()
	f.publish(d, gone)
	f.proven.Store(&proven)
	return news, done.gap
}

// settle drops targets whose grace is over, and takes entries that were doubtful for long enough. It returns the directory if it changed, else
// nil, and the ids of the targets that were dropped. f.mu is held.
func (f *Feed) settle(now time.Time, changed bool) (d *Directory, gone []string) {
	gone = f.dir.expire(now)
	for _, item := range f.dir.endedDoubts(now) {
		changed = true
		if err := f.dir.take(now, item); err != nil {
			f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
		}
	}
	if !changed && len(gone) == 0 {
		return nil, nil
	}
	return f.dir.publish(f.cache.revision), gone
}

// publish puts a changed directory in place and tells of it. f.notify is held.
func (f *Feed) publish(d *Directory, gone []string) {
	if d == nil {
		return
	}
	f.current.Store(d)
	if len(gone) > 0 {
		f.cfg.OnRemoved(gone)
	}
	f.cfg.OnChange(d)
}

// standstill is the time without a sign of running after which this VM stood still: some
// heartbeats.
const standstill = time.Second

// noteRunning notes that this VM runs, and the return of a store that was away.
// f.mu is held.
func (f *Feed) noteRunning(now time.Time) {
	if !f.ranAt.IsZero() && now.Sub(f.ranAt) > standstill {
		f.resumedAt = now
	}
	f.ranAt = now
	if !f.cache.fresh.IsZero() && f.storeSilence(now) > max(awayAfter, PropagationBound(f.cfg.ApplyWithin, f.cfg.DrainWithin)) {
		f.dir.returned(now)
	}
}

// storeSilence is how long this VM has heard nothing of the store while it ran. f.mu is held.
func (f *Feed) storeSilence(now time.Time) time.Duration {
	since := f.cache.fresh
	if f.resumedAt.After(since) {
		since = f.resumedAt
	}
	return now.Sub(since)
}

// Expire drops targets whose announcement has been gone for long enough. It is
// to be called several times a second.
func (f *Feed) Expire() {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.noteRunning(now)
	d, gone := f.settle(now, false)
	f.mu.Unlock()
	f.publish(d, gone)
}
