package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Directory is the decoded content of the store. It is immutable once published.
type Directory struct {
	// Config is the configuration in force; nil before the first.
	Config *fleet.Config
	// Targets holds the targets by id. A target whose announcement was removed stays for the
	// removal grace.
	Targets map[string]*fleet.Target
	// Versions holds the newest versions of adapters.
	Versions map[fleet.AdapterRef]DeclaredVersion
	// Removed holds ids of unlisted targets that were dropped recently or announced that they
	// leave.
	Removed map[string]bool
	// Revision is the revision of the store that the directory reflects.
	Revision fleet.Revision
}

// TargetsOf returns the targets of a service, sorted by id.
func (d *Directory) TargetsOf(service string) []*fleet.Target {
	var out []*fleet.Target
	for _, t := range d.Targets {
		if t.Service == service {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *fleet.Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Grace periods of targets whose announcement was removed.
const (
	// maxRemovalGrace is the longest use of a target after its removal. Some announcements are lost
	// and return with the target's next heartbeat, 1.2 s later at most.
	maxRemovalGrace = 1300 * time.Millisecond
	// removalGraceShare of the drain bound also limits the grace. The rest of the bound is left for
	// the removal to propagate.
	removalGraceShare = 0.65
	// storeReturnGrace is how long after the end of a store outage announcements that expired
	// during the outage may still be missing, as the platform specifies.
	storeReturnGrace = 2300 * time.Millisecond
	// minStoreOutage is the shortest time without news of the store that counts as an outage.
	minStoreOutage = 1500 * time.Millisecond
	// removedRetention is how long ids of dropped targets are kept. Decisions of VMs that were
	// suspended may still name them. It exceeds the deadlines of requests.
	removedRetention = time.Minute
)

// directory builds Directories from items.
type directory struct {
	// removalGrace is how long a target whose announcement was removed stays in use.
	// maxUnconfirmedUse bounds its use after the last time at which the announcement was known to
	// exist.
	removalGrace, maxUnconfirmedUse time.Duration
	decode                          func(fleet.Item) (fleet.Decoded, error)
	config                          *fleet.Config
	// configItem is the item that config was decoded from.
	configItem fleet.Item
	targets    map[string]*fleet.Target // by key
	dropTimes  map[string]time.Time     // when to drop a target, by key
	versions   declaredVersions
	// droppedAt holds the ids of dropped targets and the time at which each was dropped.
	droppedAt map[string]time.Time
	// replacedIDs are ids of targets that a later incarnation replaced, not yet reported as
	// dropped.
	replacedIDs []string
	// incarnations holds, by key, the latest incarnation that the target announced.
	incarnations map[string]incarnationSeen
	// loggedErrors holds, by key, the last reported reason why the value could not be decoded.
	loggedErrors map[string]string
	// deferred holds, by key, entries of targets that were removed before the store was restored.
	deferred map[string]deferredItem
	// storeReturnGraceEnd is the time until which removals may be entries that expired during a
	// store outage.
	storeReturnGraceEnd time.Time
	// leaving are the targets that themselves reported that they leave.
	leaving leavingTargets
	// freshBefore is the time at which the copy was known to be current before the update that is
	// being applied.
	freshBefore time.Time
}

func newDirectory(decode func(fleet.Item) (fleet.Decoded, error), drainWithin time.Duration) *directory {
	return &directory{
		removalGrace:      min(maxRemovalGrace, time.Duration(removalGraceShare*float64(drainWithin))),
		maxUnconfirmedUse: drainWithin - propagationTime,
		decode:            decode,
		targets:           map[string]*fleet.Target{},
		dropTimes:         map[string]time.Time{},
		droppedAt:         map[string]time.Time{},
		incarnations:      map[string]incarnationSeen{},
		loggedErrors:      map[string]string{},
		leaving:           leavingTargets{},
		deferred:          map[string]deferredItem{},
	}
}

// startStoreReturnGrace starts the grace for entries that expired during a store outage.
func (d *directory) startStoreReturnGrace(now time.Time) {
	d.storeReturnGraceEnd = now.Add(storeReturnGrace)
}

// incarnationSeen is a target's incarnation as its start time in Unix ms, and when it was last
// seen.
type incarnationSeen struct {
	started int64
	seenAt  time.Time
}

// applyItem applies one changed item. It returns an error only if the previous item of the key did
// not fail with the same one. If an item cannot be decoded, the previous configuration or adapter
// version stays in force. A target stays for the removal grace only: its own heartbeat, 1.2 s later
// at most, restores an entry that another writer overwrote, and a key that stays undecodable does
// not keep its earlier target in use.
func (d *directory) applyItem(now time.Time, item fleet.Item) error {
	err := d.decodeAndApply(now, item)
	switch {
	case err == nil:
		delete(d.loggedErrors, item.Key)
	case d.loggedErrors[item.Key] == err.Error():
		return nil
	default:
		d.loggedErrors[item.Key] = err.Error()
	}
	return err
}

func (d *directory) decodeAndApply(now time.Time, item fleet.Item) error {
	if item.Deleted {
		d.startRemovalGrace(now, item.Key)
		return nil
	}
	decoded, err := d.decode(item)
	switch {
	case err != nil:
		d.startRemovalGrace(now, item.Key)
		return err
	case decoded.Config != nil:
		return d.applyConfig(item, decoded.Config)
	case decoded.Target != nil:
		return d.applyTarget(now, item.Key, decoded.Target)
	case decoded.Version != nil:
		d.versions.declare(*decoded.Version, d.freshBefore)
	}
	return nil
}

// startRemovalGrace schedules the drop of a key's target whose announcement was removed or cannot
// be decoded. A drop that is already scheduled keeps its time.
func (d *directory) startRemovalGrace(now time.Time, key string) {
	if _, exists := d.targets[key]; !exists {
		return
	}
	if _, scheduled := d.dropTimes[key]; !scheduled {
		d.dropTimes[key] = d.dropTime(now)
	}
}

// applyConfig applies a configuration, including one that is only partly decodable: its invalid
// parts must not block the rest. A service that a route names and that could not be decoded keeps
// its previous description.
func (d *directory) applyConfig(item fleet.Item, c *fleet.Config) error {
	if d.config != nil && c.Version < d.config.Version {
		return nil
	}
	previous := d.config
	d.config, d.configItem = c, item
	if len(c.Findings) == 0 {
		return nil
	}
	if previous != nil {
		retainServices(c, previous)
	}
	return errors.Wrapf(errors.Join(c.Findings...), "invalid parts of configuration version %d were skipped", c.Version)
}

// retainServices adds to c the services that routes of c name and that only previous describes.
func retainServices(c, previous *fleet.Config) {
	for _, r := range c.Routes {
		for _, share := range r.Split {
			if s := previous.Services[share.Service]; s != nil && c.Services[share.Service] == nil {
				c.Services[share.Service] = s
			}
		}
	}
}

// errNoIncarnation marks an announcement without a start time for a key whose target announced one
// before.
var errNoIncarnation = errors.New("announcement lacks the start time that earlier announcements of the target had")

// applyTarget applies an announcement. A later incarnation under the key is another target: the
// previous one is dropped at once, with its resident adapters and running requests. An announcement
// of an earlier incarnation changes nothing. An announcement without an incarnation is from another
// writer if the key had one before.
func (d *directory) applyTarget(now time.Time, key string, t *fleet.Target) error {
	last := d.incarnations[key].started
	if t.Started == 0 && last != 0 {
		d.startRemovalGrace(now, key)
		return errNoIncarnation
	}
	if t.Started < last {
		return nil
	}
	if t.Started != 0 {
		d.incarnations[key] = incarnationSeen{started: t.Started, seenAt: now}
	}
	if previous := d.targets[key]; previous != nil && previous.ID != t.ID {
		d.replacedIDs = append(d.replacedIDs, previous.ID)
		d.droppedAt[previous.ID] = now
	}
	d.targets[key] = t
	delete(d.dropTimes, key)
	delete(d.droppedAt, t.ID)
	return nil
}

// dropTime returns when to drop a target whose removal is received now. The removal may be as old
// as the copy was before it, so the copy's age limits the grace. Without this limit, a VM that had
// been suspended for 3.2 s used an engine for another 1.3 s after it resumed, and other VMs sent
// requests there on its decisions, 3.4 s after the engine announced that it leaves.
func (d *directory) dropTime(now time.Time) time.Time {
	dropAt := now.Add(d.removalGrace)
	if at := d.freshBefore.Add(d.maxUnconfirmedUse); !d.freshBefore.IsZero() && at.Before(dropAt) {
		dropAt = at
	}
	if d.storeReturnGraceEnd.After(dropAt) {
		dropAt = d.storeReturnGraceEnd
	}
	return dropAt
}

// expire drops targets whose removal grace is over and returns their ids.
func (d *directory) expire(now time.Time) []string {
	out := d.replacedIDs
	d.replacedIDs = nil
	for key, at := range d.dropTimes {
		if now.Before(at) {
			continue
		}
		id := d.targets[key].ID
		out = append(out, id)
		d.droppedAt[id] = now
		delete(d.targets, key)
		delete(d.dropTimes, key)
	}
	maps.DeleteFunc(d.incarnations, func(key string, s incarnationSeen) bool {
		return d.targets[key] == nil && now.Sub(s.seenAt) > removedRetention
	})
	d.leaving.expire(now, d.targets)
	maps.DeleteFunc(d.droppedAt, func(_ string, at time.Time) bool { return now.Sub(at) > removedRetention })
	return out
}

func (d *directory) publish(revision fleet.Revision) *Directory {
	out := &Directory{
		Config: d.config, Revision: revision,
		Targets:  make(map[string]*fleet.Target, len(d.targets)),
		Versions: d.versions.publish(),
		Removed:  make(map[string]bool, len(d.droppedAt)),
	}
	for id := range d.droppedAt {
		out.Removed[id] = true
	}
	for id := range d.leaving {
		out.Removed[id] = true
	}
	for _, t := range d.targets {
		out.Targets[t.ID] = d.leaving.effective(t)
		delete(out.Removed, t.ID)
	}
	return out
}
