package feed

import "time"

// Apply applies an update from the store or from another VM. gap reports that changes before the
// update are missing; the update is not applied then.
func (f *Feed) Apply(u Update) (gap bool) {
	_, gap = f.applyUpdate(u)
	return gap
}

// applyUpdate applies u and returns the changes it made here as an update for other VMs. The
// returned update starts at the newest change known before u.
func (f *Feed) applyUpdate(u Update) (delta Update, gap bool) {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.recordRunning(now)
	f.dir.freshBefore = f.cache.freshAt
	delta = Update{From: f.cache.lastChange, To: u.To, ReadCount: u.ReadCount}
	previous := f.cache.revision
	result := f.cache.apply(now, u)
	if f.loadedAt.IsZero() && f.cache.loaded() {
		f.loadedAt = now
	}
	delta.Items = result.changed
	if result.newEpoch {
		f.cfg.Log.StoreEpochBegan(previous, u.To, len(u.Items), len(result.changed))
		f.dir.beginEpoch(now)
		delta = Update{From: u.To.EpochStart(), To: u.To, ReadCount: u.ReadCount, Items: result.changed}
	}
	for _, item := range result.changed {
		if err := f.dir.applyChange(now, item, result.newEpoch); err != nil {
			f.rejectedItems.Add(1)
			f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
		}
	}
	d, dropped := f.updateDirectory(now, len(result.changed) > 0 || result.newEpoch)
	confirmedAt := f.cache.confirmedAt
	f.mu.Unlock()
	f.publish(d, dropped)
	f.confirmedAt.Store(&confirmedAt)
	return delta, result.gap
}

// updateDirectory drops targets whose removal grace is over and applies deferred items that are
// due. It returns the new directory, or nil if nothing changed, and the ids of the dropped targets.
// f.mu is held.
func (f *Feed) updateDirectory(now time.Time, changed bool) (d *Directory, dropped []string) {
	dropped = f.dir.expire(now)
	for _, item := range f.dir.dueDeferredItems(now) {
		changed = true
		if err := f.dir.applyItem(now, item); err != nil {
			f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
		}
	}
	if !changed && len(dropped) == 0 {
		return nil, nil
	}
	return f.dir.publish(f.cache.revision), dropped
}

// publish stores a changed directory and calls the callbacks. f.notify is held.
func (f *Feed) publish(d *Directory, dropped []string) {
	if d == nil {
		return
	}
	f.current.Store(d)
	if len(dropped) > 0 {
		f.cfg.OnRemoved(dropped)
	}
	f.cfg.OnChange(d)
}

// suspensionThreshold is the time without recorded activity after which this VM counts as having
// been suspended: several heartbeat intervals.
const suspensionThreshold = time.Second

// recordRunning records that this VM is running. During a store outage it restarts the grace for
// expired entries, so that the grace counts from the end of the outage. f.mu is held.
func (f *Feed) recordRunning(now time.Time) {
	if !f.lastRunAt.IsZero() && now.Sub(f.lastRunAt) > suspensionThreshold {
		f.resumedAt = now
	}
	f.lastRunAt = now
	if !f.cache.freshAt.IsZero() && f.timeWithoutStore(now) > f.outageThreshold() {
		f.dir.startStoreReturnGrace(now)
	}
}

// outageThreshold is the longest time without news of the store that is no outage.
func (f *Feed) outageThreshold() time.Duration {
	return max(minStoreOutage, PropagationBound(f.cfg.ApplyWithin, f.cfg.DrainWithin))
}

// timeWithoutStore returns how long this VM has received no fresh news of the store while it was
// running. f.mu is held.
func (f *Feed) timeWithoutStore(now time.Time) time.Duration {
	since := f.cache.freshAt
	if f.resumedAt.After(since) {
		since = f.resumedAt
	}
	return now.Sub(since)
}

// Expire drops targets whose announcement has been removed for longer than the removal grace. It
// must be called several times a second.
func (f *Feed) Expire() {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	f.recordRunning(now)
	d, dropped := f.updateDirectory(now, false)
	f.mu.Unlock()
	f.publish(d, dropped)
}
