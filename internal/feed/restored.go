package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// beginEra makes room for the first snapshot of an era. What the copy holds is of a history that is over:
// its revisions do not say what is newer, and its reads prove nothing of the new one.
func (c *cache) beginEra(to fleet.Revision) {
	c.lastChange = to.EpochStart()
	c.proven = time.Time{}
	c.restored = nil
}

// markRestored takes that items are as the copy has them that the store was restored from, as far as is
// known.
func (c *cache) markRestored(items []fleet.Item) {
	c.restored = map[string]bool{}
	for _, item := range items {
		if !item.Deleted {
			c.restored[item.Key] = true
		}
	}
}

// beginEra takes that the store was restored from an older copy. What it lacks is written again within the
// time of lapses. A target that was leaving goes on to leave, whatever the copy says of it.
func (d *directory) beginEra(now time.Time) {
	d.returned(now)
	for _, t := range d.targets {
		if t.State == fleet.TargetDraining {
			d.leaving[t.ID] = now
		}
	}
}

// takeChange carries one changed item in; restored says that it may be as the copy had it that the store was
// restored from. A target that is gone stays so then, until it writes again or is still there when the
// lease of an entry that nobody renews is over.
func (d *directory) takeChange(now time.Time, item fleet.Item, restored bool) error {
	delete(d.doubtful, item.Key)
	if restored && d.isGone(item) {
		d.doubtful[item.Key] = doubtfulItem{item: item, until: now.Add(doubtTime)}
		return nil
	}
	return d.take(now, item)
}

// endedDoubts returns the doubtful entries that are still listed, when it is time to take them.
func (d *directory) endedDoubts(now time.Time) (out []fleet.Item) {
	for key, doubt := range d.doubtful {
		if !now.Before(doubt.until) {
			out = append(out, doubt.item)
			delete(d.doubtful, key)
		}
	}
	return out
}

// doubtTime is longer than an entry is listed that nobody renews.
const doubtTime = 5 * time.Second

// doubtfulItem is an entry of a target that was gone before the store was restored.
type doubtfulItem struct {
	item  fleet.Item
	until time.Time
}

// isGone reports whether an item announces a target that is gone.
func (d *directory) isGone(item fleet.Item) bool {
	if item.Deleted {
		return false
	}
	decoded, err := d.decode(item)
	if err != nil || decoded.Target == nil {
		return false
	}
	_, dropped := d.dropped[decoded.Target.ID]
	_, going := d.gone[item.Key]
	return dropped || going
}

// awaitList asks a reader for what it has read since a revision, and returns how long to wait for it; 0:
// this VM is to list.
func (f *Feed) awaitList(ctx context.Context, was fleet.Revision) (pause time.Duration) {
	f.askReader(ctx)
	now := f.cfg.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cache.revision != was {
		return ownGap
	}
	if f.listFrom != was {
		f.listFrom = was
		f.listAt = now.Add(rand.N(min(time.Duration(f.cfg.Peers.VMCount())*joinGap, maxListWait)))
	}
	return max(f.listAt.Sub(now), 0)
}

// maxListWait bounds how long VMs wait for a reader's list: word of a leaving target may be in it.
const maxListWait = 250 * time.Millisecond

// joinGap spreads the VMs that ask one of them for everything that the store holds.
const joinGap = 5 * time.Millisecond

// joinEra asks a VM for the first snapshot of an era, unless another one has brought it meanwhile.
func (f *Feed) joinEra(vm coord.VMID, to fleet.Revision) {
	time.Sleep(rand.N(time.Duration(f.cfg.Peers.VMCount()) * joinGap))
	if f.Revision().Epoch() < to.Epoch() {
		f.pullFrom(vm)
	}
}

// pullConfig asks a VM for the configuration in force there. The store has lost it, and this VM has not
// heard of it before.
func (f *Feed) pullConfig(vm coord.VMID) {
	ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
	defer cancel()
	item, err := f.cfg.Peers.PullConfig(ctx, vm)
	if err != nil {
		f.cfg.Log.PeerCallFailed("config_pull", string(vm), err)
		return
	}
	f.takeDecided(item)
}

// takeDecided takes an item on the word of another VM, beside the copy of the store.
func (f *Feed) takeDecided(item fleet.Item) {
	f.notify.Lock()
	defer f.notify.Unlock()
	now := f.cfg.Now()
	f.mu.Lock()
	if err := f.dir.take(now, item); err != nil {
		f.refused.Add(1)
		f.cfg.Log.StoreItemRejected(item.Key, item.Revision, err)
	}
	d, gone := f.settle(now, true)
	f.mu.Unlock()
	f.publish(d, gone)
}

// ActiveConfig returns the item of the configuration in force, for VMs that have not heard of it; ok is
// false if there is none.
func (f *Feed) ActiveConfig() (item fleet.Item, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dir.configItem, f.dir.config != nil
}
