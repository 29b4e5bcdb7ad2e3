// Package feed keeps this VM's copy of the platform's store current.
//
// A few VMs, the readers, watch the store and pass on what changed; the others
// read it themselves only when they have heard nothing for a while, since the
// store counts every call. Copies never go back: of two values of a key the one
// with the higher revision stays.
//
// feed.go reads the store and peers.go tells and asks other VMs, copy.go takes what they
// bring and proof.go keeps it proven where keys are judged by it; cache.go is the copy, directory.go
// what it means and leaving.go what targets say of themselves beside it; restored.go begins the eras of a store
// that is restored from an older copy.
package feed

import (
	"bytes"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Update is what changed in the store after revision From up to To. A snapshot
// holds all items at To.
type Update struct {
	From, To fleet.Revision
	Snapshot bool
	Items    []fleet.Item
	// Age is how long ago the sender knew this to be current; negative: unknown.
	Age time.Duration
	// ReadCount is the count of the read of the store that Age is from, see readID.
	ReadCount uint64
	// ConfirmedAge bounds how long ago the sender's copy was current; negative: unknown. It counts
	// from Asked, when this VM asked for the update; zero: it did not ask, and nothing bounds
	// how long the update was under way.
	ConfirmedAge time.Duration
	RequestedAt  time.Time
}

// cache is a copy of the store's items. It is not safe for concurrent use.
type cache struct {
	items    map[string]fleet.Item
	revision fleet.Revision
	// lastChange is the revision of the newest change that matters here.
	lastChange fleet.Revision
	// fresh is the latest time at which the copy is known to have been current, by read.
	fresh time.Time
	read  readID
	// proven is the latest time at which the copy is proven to have been current.
	proven time.Time
	// changes are the newest ones, in order; all after logFrom are there.
	changes []fleet.Item
	logFrom fleet.Revision
	// restored are the keys with values from the copy that the store was restored from: the next value
	// counts as a change even if it is the same.
	restored map[string]bool
}

// unknownAge is the age of a copy that was never known to be current: negative also in
// the milliseconds of a message.
const unknownAge = -time.Millisecond

// maxChanges is how many changes are kept for VMs that lag a little.
const maxChanges = 512

func newCache() *cache { return &cache{items: map[string]fleet.Item{}} }

// loaded reports whether the copy was ever complete.
func (c *cache) loaded() bool { return c.revision > 0 }

// applied is what an update did to a copy.
type applied struct {
	// changed are the items that are new here.
	changed []fleet.Item
	// gap says that changes before the update are missing, so that it was not taken.
	gap bool
	// began says that it is the first of an era of the store.
	began bool
}

// apply takes an update.
func (c *cache) apply(now time.Time, u Update) (out applied) {
	if c.loaded() && u.To.Epoch() < c.revision.Epoch() {
		return out // of a history that is over
	}
	out.began = c.loaded() && u.To.Epoch() > c.revision.Epoch()
	if !u.Snapshot && (!c.loaded() || out.began || u.From > c.revision) {
		return applied{gap: true}
	}
	if out.began {
		c.beginEra(u.To)
	}
	if u.Snapshot {
		u.Items = append(u.Items, c.missingFrom(u)...)
	}
	for _, item := range u.Items {
		if c.put(item) {
			out.changed = append(out.changed, item)
			c.lastChange = max(c.lastChange, item.Revision)
		}
	}
	if out.began {
		c.markRestored(u.Items)
	}
	c.prove(u)
	if u.To >= c.revision {
		c.revision = u.To
		c.refresh(now, u.Age, readID{u.To, u.ReadCount})
	}
	c.remember(u, out.changed)
	return out
}

// put takes one item. It reports whether it is a change.
func (c *cache) put(item fleet.Item) (changed bool) {
	old, held := c.items[item.Key]
	if held && old.Revision >= item.Revision || !held && item.Deleted {
		return false
	}
	c.items[item.Key] = item
	restored := c.restored[item.Key]
	delete(c.restored, item.Key)
	return !held || restored || old.Deleted != item.Deleted || !bytes.Equal(old.Value, item.Value)
}

// readID names one read of the store: by its revision, and by a count above that of
// every read which the reader knew of.
type readID struct {
	revision fleet.Revision
	count    uint64
}

func (r readID) after(other readID) bool {
	return r.revision > other.revision || r.revision == other.revision && r.count > other.count
}

// refresh takes the word that a read of the store was made age ago. The time that the word
// was under way is missing from age. Only a later read makes the copy younger, and of one
// read the earliest time counts: else VMs that tell each other of one read would keep
// their copies young by the time of each message, and none of them would read. With
// messages of 100 ms in a fleet of 66 VMs without readers, word of a leaving target took
// 2.69 to 3.46 s so, and takes 1.18 to 1.55 s (worst of 20 seeds in virtual time, several
// series).
func (c *cache) refresh(now time.Time, age time.Duration, r readID) {
	if age < 0 {
		return
	}
	at := now.Add(-age)
	if r.after(c.read) || r == c.read && at.Before(c.fresh) {
		c.read, c.fresh = r, at
	}
}

// prove takes the proof that an update carries: what it was asked for, it holds whole as of
// Proven before the question at least, however long question and answer were under way or their
// VMs stood still. Ages that VMs tell unasked prove nothing: a message that was held up for
// three seconds tells an age of three seconds before.
func (c *cache) prove(u Update) {
	if u.RequestedAt.IsZero() || u.ConfirmedAge < 0 {
		return
	}
	c.proven = coord.Later(c.proven, u.RequestedAt.Add(-u.ConfirmedAge))
}

// proveBy takes the answer of a VM that was asked how current its copy is. behind reports that
// this copy lacks changes of that one: it is not proven then, nor by a copy of an earlier era.
func (c *cache) proveBy(asked time.Time, p Confirmation) (behind bool) {
	if !c.loaded() || p.LastChange > c.revision {
		return true
	}
	if p.ConfirmedAge >= 0 && p.LastChange.Epoch() == c.revision.Epoch() {
		c.proven = coord.Later(c.proven, asked.Add(-p.ConfirmedAge))
	}
	return false
}

// provenAge bounds how long ago the copy was current.
func (c *cache) provenAge(now time.Time) time.Duration {
	if c.proven.IsZero() {
		return unknownAge
	}
	return now.Sub(c.proven)
}

// confirm takes what another VM says of its copy. behind reports that this copy lacks
// changes.
func (c *cache) confirm(now time.Time, other State) (behind bool) {
	if !c.loaded() || other.LastChange > c.revision {
		return true
	}
	if other.To < c.lastChange {
		return false // it is behind itself
	}
	c.revision = max(c.revision, other.To)
	c.refresh(now, other.Age, readID{other.To, other.ReadCount})
	return false
}

// missingFrom returns removals of the items that a snapshot does not hold. Their
// own revisions are unknown; the snapshot's bounds them.
func (c *cache) missingFrom(u Update) []fleet.Item {
	held := make(map[string]bool, len(u.Items))
	for _, item := range u.Items {
		held[item.Key] = true
	}
	var out []fleet.Item
	for key, item := range c.items {
		if !held[key] && !item.Deleted && item.Revision <= u.To {
			out = append(out, fleet.Item{Key: key, Revision: u.To, Deleted: true})
		}
	}
	return out
}

// remember keeps the changes of an update for VMs that lag. What it forgets is after
// logFrom no longer: others take what since tells them for all that there is, and a VM that
// was told too little once would go on with an old configuration.
func (c *cache) remember(u Update, changed []fleet.Item) {
	if u.Snapshot {
		c.changes = nil
		c.logFrom = max(u.To, c.lastChange) // a snapshot may be older than what was heard
		return
	}
	c.changes = append(c.changes, changed...)
	extra := len(c.changes) - maxChanges
	if extra <= 0 {
		return
	}
	for _, item := range c.changes[:extra] { // in the order in which they came
		c.logFrom = max(c.logFrom, item.Revision)
	}
	c.changes = slices.Clone(c.changes[extra:])
}

// since returns what changed after a revision, or a snapshot when that is no
// longer known.
func (c *cache) since(now time.Time, after fleet.Revision) Update {
	u := Update{From: after, To: c.revision, Age: now.Sub(c.fresh), ReadCount: c.read.count, ConfirmedAge: c.provenAge(now)}
	if c.fresh.IsZero() {
		u.Age = unknownAge
	}
	if after < c.logFrom {
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
