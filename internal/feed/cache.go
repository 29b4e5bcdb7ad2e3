// Package feed keeps this VM's copy of the platform's store current: a watch cache of the store.
//
// A few VMs, the store watchers, watch the store and relay changes to the others. The other VMs
// read the store directly only when their copy is stale, because the store counts every call. A
// copy never goes back: of two values of a key, the one with the higher revision wins.
//
// Layout: feed.go reads the store, peers.go exchanges updates and states with other VMs, and
// copy.go applies updates. confirmation.go bounds the age of the copy where API keys are checked
// against it. cache.go is the copy, directory.go its decoded form, and leaving.go overlays the
// leave notices of targets. restored.go handles a new epoch of the store after it was restored from
// an older copy.
package feed

import (
	"bytes"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Update holds the changes of the store after revision From, up to and including To. A snapshot
// holds all items at To.
type Update struct {
	From, To fleet.Revision
	Snapshot bool
	Items    []fleet.Item
	// Age is the time since the sender last knew its copy to be current; negative: unknown.
	Age time.Duration
	// ReadCount is the count of the store read that Age refers to, see readID.
	ReadCount uint64
	// ConfirmedAge is an upper bound on the age of the sender's copy, counted back from
	// RequestedAt; negative: unknown. RequestedAt is the time at which this VM requested the
	// update. It is zero for an update that was not requested, whose time in transit is unbounded.
	ConfirmedAge time.Duration
	RequestedAt  time.Time
}

// cache is a copy of the store's items. It is not safe for concurrent use.
type cache struct {
	items    map[string]fleet.Item
	revision fleet.Revision
	// lastChange is the revision of the newest change to an item of this copy.
	lastChange fleet.Revision
	// freshAt is the latest time at which the copy was reported to be current, and freshRead the
	// store read that the report is based on.
	freshAt   time.Time
	freshRead readID
	// confirmedAt is the latest time at which the copy is confirmed to have been current.
	confirmedAt time.Time
	// changes are the most recent changes in order of arrival. They are complete after revision
	// changesFrom.
	changes     []fleet.Item
	changesFrom fleet.Revision
	// restored holds the keys whose values come from the copy that the store was restored from. The
	// next write of such a key counts as a change even if the value is the same.
	restored map[string]bool
}

// unknownAge is the age of a copy that was never known to be current. It stays negative when a
// message converts it to milliseconds.
const unknownAge = -time.Millisecond

// maxChanges is the number of changes kept for VMs that lag slightly behind.
const maxChanges = 512

func newCache() *cache { return &cache{items: map[string]fleet.Item{}} }

// loaded reports whether the copy has ever been complete.
func (c *cache) loaded() bool { return c.revision > 0 }

// applyResult describes the effect of an update on a copy.
type applyResult struct {
	// changed are the items that the update added or changed.
	changed []fleet.Item
	// gap is true if changes before the update are missing. The update was not applied then.
	gap bool
	// newEpoch is true if the update is the first of a new store epoch.
	newEpoch bool
}

// apply applies an update to the copy.
func (c *cache) apply(now time.Time, u Update) (out applyResult) {
	if c.loaded() && u.To.Epoch() < c.revision.Epoch() {
		return out // the update is from an earlier epoch
	}
	out.newEpoch = c.loaded() && u.To.Epoch() > c.revision.Epoch()
	if !u.Snapshot && (!c.loaded() || out.newEpoch || u.From > c.revision) {
		return applyResult{gap: true}
	}
	if out.newEpoch {
		c.beginEpoch(u.To)
	}
	if u.Snapshot {
		u.Items = append(u.Items, c.impliedRemovals(u)...)
	}
	for _, item := range u.Items {
		if c.put(item) {
			out.changed = append(out.changed, item)
			c.lastChange = max(c.lastChange, item.Revision)
		}
	}
	if out.newEpoch {
		c.markRestored(u.Items)
	}
	c.confirmByUpdate(u)
	if u.To >= c.revision {
		c.revision = u.To
		c.refresh(now, u.Age, readID{u.To, u.ReadCount})
	}
	c.recordChanges(u, out.changed)
	return out
}

// put stores one item and reports whether it changed the copy.
func (c *cache) put(item fleet.Item) (changed bool) {
	old, exists := c.items[item.Key]
	if exists && old.Revision >= item.Revision || !exists && item.Deleted {
		return false
	}
	c.items[item.Key] = item
	restored := c.restored[item.Key]
	delete(c.restored, item.Key)
	return !exists || restored || old.Deleted != item.Deleted || !bytes.Equal(old.Value, item.Value)
}

// readID identifies one read of the store by its revision and by a count that is higher than that
// of every read known to the VM that made it.
type readID struct {
	revision fleet.Revision
	count    uint64
}

func (id readID) after(other readID) bool {
	return id.revision > other.revision || id.revision == other.revision && id.count > other.count
}

// refresh records a report that the store was read age ago. The transit time of the report is
// missing from age. Only a later read makes the copy fresher, and of several reports of one read
// the one with the earliest time counts. Otherwise VMs that report the same read to each other
// would each gain the transit time of a message, their copies would stay fresh, and none of them
// would read the store. In simulations of 66 VMs without store watchers and with message delays of
// 100 ms, news of a leaving target took up to 2.69 to 3.46 s that way; with this rule it takes up
// to 1.18 to 1.55 s (the longest of 20 runs in each of several series).
func (c *cache) refresh(now time.Time, age time.Duration, read readID) {
	if age < 0 {
		return
	}
	at := now.Add(-age)
	if read.after(c.freshRead) || read == c.freshRead && at.Before(c.freshAt) {
		c.freshRead, c.freshAt = read, at
	}
}

// confirmByUpdate raises confirmedAt by a requested update. The response is complete up to
// at least ConfirmedAge before the request, however long request and response were in transit or
// their VMs were suspended. Ages in unrequested messages confirm nothing: a message delayed by
// three seconds carries an age that was true three seconds before.
func (c *cache) confirmByUpdate(u Update) {
	if u.RequestedAt.IsZero() || u.ConfirmedAge < 0 {
		return
	}
	c.confirmedAt = coord.Later(c.confirmedAt, u.RequestedAt.Add(-u.ConfirmedAge))
}

// confirmByPeer raises confirmedAt by a peer's response to a confirmation query sent at
// requestedAt. behind reports that this copy lacks changes that the peer has; the copy is not
// confirmed then. A peer's copy of an earlier epoch does not confirm this one either.
func (c *cache) confirmByPeer(requestedAt time.Time, confirmation Confirmation) (behind bool) {
	if !c.loaded() || confirmation.LastChange > c.revision {
		return true
	}
	if confirmation.ConfirmedAge >= 0 && confirmation.LastChange.Epoch() == c.revision.Epoch() {
		c.confirmedAt = coord.Later(c.confirmedAt, requestedAt.Add(-confirmation.ConfirmedAge))
	}
	return false
}

// confirmedAge returns an upper bound on the age of the copy, or unknownAge.
func (c *cache) confirmedAge(now time.Time) time.Duration {
	if c.confirmedAt.IsZero() {
		return unknownAge
	}
	return now.Sub(c.confirmedAt)
}

// observeState applies the state that a peer reported of its copy. behind reports that this copy
// lacks changes.
func (c *cache) observeState(now time.Time, other State) (behind bool) {
	if !c.loaded() || other.LastChange > c.revision {
		return true
	}
	if other.To < c.lastChange {
		return false // the peer's copy lags behind this one
	}
	c.revision = max(c.revision, other.To)
	c.refresh(now, other.Age, readID{other.To, other.ReadCount})
	return false
}

// impliedRemovals returns removals of the items that a snapshot does not list. Their exact
// revisions are unknown; the snapshot's revision is an upper bound.
func (c *cache) impliedRemovals(u Update) []fleet.Item {
	listed := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		listed[item.Key] = true
	}
	var out []fleet.Item
	for key, item := range c.items {
		if !listed[key] && !item.Deleted && item.Revision <= u.To {
			out = append(out, fleet.Item{Key: key, Revision: u.To, Deleted: true})
		}
	}
	return out
}

// recordChanges keeps the changes of an update for VMs that lag behind. It moves changesFrom past
// the changes that it discards. Peers treat the result of since as complete, and a VM that missed a
// change once would continue with an old configuration.
func (c *cache) recordChanges(u Update, changed []fleet.Item) {
	if u.Snapshot {
		c.changes = nil
		c.changesFrom = max(u.To, c.lastChange) // a snapshot may be older than changes already received
		return
	}
	c.changes = append(c.changes, changed...)
	excess := len(c.changes) - maxChanges
	if excess <= 0 {
		return
	}
	for _, item := range c.changes[:excess] { // in order of arrival, not of revision
		c.changesFrom = max(c.changesFrom, item.Revision)
	}
	c.changes = slices.Clone(c.changes[excess:])
}

// since returns the changes after a revision, or a snapshot if those changes are no longer all
// kept.
func (c *cache) since(now time.Time, after fleet.Revision) Update {
	u := Update{From: after, To: c.revision, Age: now.Sub(c.freshAt), ReadCount: c.freshRead.count, ConfirmedAge: c.confirmedAge(now)}
	if c.freshAt.IsZero() {
		u.Age = unknownAge
	}
	if after < c.changesFrom {
		u.Snapshot = true
		for _, item := range c.items {
			if !item.Deleted {
				u.Items = append(u.Items, item)
			}
		}
		return u
	}
	for _, item := range c.changes {
		if item.Revision > after {
			u.Items = append(u.Items, item)
		}
	}
	return u
}
