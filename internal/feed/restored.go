package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// beginEpoch prepares the copy for the first snapshot of a new store epoch. The copy holds an
// earlier history: its revisions cannot be compared with those of the new epoch, and its reads
// confirm nothing about the new one.
func (c *cache) beginEpoch(to fleet.Revision) {
	c.lastChange = to.EpochStart()
	c.confirmedAt = time.Time{}
	c.restored = nil
}

// markRestored records the keys of items that may still have the value from the copy that the store
// was restored from.
func (c *cache) markRestored(items []fleet.Item) {
	c.restored = map[string]bool{}
	for _, item := range items {
		if !item.Deleted {
			c.restored[item.Key] = true
		}
	}
}

// beginEpoch records that the store was restored from an older copy. Entries that the copy lacks
// are written again within storeReturnGrace. A draining target stays draining, whatever the
// restored entry contains.
func (d *directory) beginEpoch(now time.Time) {
	d.startStoreReturnGrace(now)
	for _, t := range d.targets {
		if t.State == fleet.TargetDraining {
			d.leaving[t.ID] = now
		}
	}
}

// applyChange applies one changed item. restored reports that the item may have the value from the
// copy that the store was restored from. The entry of a target that was removed is deferred then:
// it takes effect only when the target writes it again, or when it is still listed after
// deferralTime, by when the store would have dropped an entry that is not renewed.
func (d *directory) applyChange(now time.Time, item fleet.Item, restored bool) error {
	delete(d.deferred, item.Key)
	if restored && d.announcesRemovedTarget(item) {
		d.deferred[item.Key] = deferredItem{item: item, until: now.Add(deferralTime)}
		return nil
	}
	return d.applyItem(now, item)
}

// dueDeferredItems returns the deferred entries that are still listed and due, and removes them
// from deferred.
func (d *directory) dueDeferredItems(now time.Time) (out []fleet.Item) {
	for key, entry := range d.deferred {
		if !now.Before(entry.until) {
			out = append(out, entry.item)
			delete(d.deferred, key)
		}
	}
	return out
}

// deferralTime is longer than an entry stays listed without being renewed.
const deferralTime = 5 * time.Second

// deferredItem is an entry of a target that was removed before the store was restored.
type deferredItem struct {
	item  fleet.Item
	until time.Time
}

// announcesRemovedTarget reports whether an item announces a target that was removed.
func (d *directory) announcesRemovedTarget(item fleet.Item) bool {
	if item.Deleted {
		return false
	}
	decoded, err := d.decode(item)
	if err != nil || decoded.Target == nil {
		return false
	}
	_, dropped := d.droppedAt[decoded.Target.ID]
	_, scheduled := d.dropTimes[item.Key]
	return dropped || scheduled
}

// awaitWatcherList queries a store watcher for what it has read since revision previous, and
// returns how long to wait for its list. The result is 0 if this VM is to list the store itself.
func (f *Feed) awaitWatcherList(ctx context.Context, previous fleet.Revision) (delay time.Duration) {
	f.queryStoreWatcher(ctx)
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.revision != previous {
		return directReadGap
	}
	if f.listFrom != previous {
		f.listFrom = previous
		f.listAt = now.Add(rand.N(min(time.Duration(f.cfg.Peers.VMCount())*pullSpreadPerVM, maxListWait)))
	}
	return max(f.listAt.Sub(now), 0)
}

// maxListWait bounds the wait for a watcher's list, which may hold the news of a leaving target.
const maxListWait = 250 * time.Millisecond

// pullSpreadPerVM is multiplied by the number of VMs to get the time over which VMs spread their
// pulls of the whole store from one VM.
const pullSpreadPerVM = 5 * time.Millisecond

// joinEpoch pulls the first snapshot of an epoch from a VM, unless another VM has provided it
// meanwhile.
func (f *Feed) joinEpoch(vm coord.VMID, to fleet.Revision) {
	time.Sleep(rand.N(time.Duration(f.cfg.Peers.VMCount()) * pullSpreadPerVM))
	if f.Revision().Epoch() < to.Epoch() {
		f.pullFrom(vm)
	}
}

// pullConfig pulls the configuration in force at a VM. It is used when the store has lost a
// configuration that this VM never received.
func (f *Feed) pullConfig(vm coord.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), peerQueryTimeout)
	defer cancel()
	item, err := f.cfg.Peers.PullConfig(ctx, vm)
	if err != nil {
		f.cfg.Log.PeerCallFailed("config_pull", string(vm), err)
		return
	}
	f.applyPeerConfig(item)
}

// applyPeerConfig applies a configuration item received from another VM without adding it to the
// copy of the store.
func (f *Feed) applyPeerConfig(item fleet.Item) {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	if err := f.dir.applyItem(now, item); err != nil {
		f.rejectedItems.Add(1)
		f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
	}
	d, dropped := f.updateDirectory(now, true)
	f.mu.Unlock()
	f.publish(d, dropped)
}

// ActiveConfig returns the item of the configuration in force, for VMs that have not received it.
// ok is false if there is none.
func (f *Feed) ActiveConfig() (item fleet.Item, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.configItem, f.dir.config != nil
}
