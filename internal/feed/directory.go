package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Directory is what the store says, decoded. It does not change once published.
type Directory struct {
	// Config in force; nil before the first.
	Config *fleet.Config
	// Targets by id. Those whose announcement is gone stay for a moment.
	Targets  map[string]*fleet.Target
	Versions []fleet.AdapterVersion
	// Removed are ids of targets that are not listed, and were dropped lately or said that they leave.
	Removed map[string]bool
	// Revision of the store that this shows.
	Revision fleet.Revision
}

// TargetsOf returns the targets of a service by id.
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

// Graces of targets whose announcement was removed.
const (
	// goneAfter is how long a target is still used at most: some announcements are
	// lost and back with the target's next heartbeat, 1.2 s later at most here.
	goneAfter = 1300 * time.Millisecond
	// goneShare of the time in which a leaving target must be left alone is the
	// most as well: the rest is for the news to arrive.
	goneShare = 0.65
	// lapseGrace is how long after the store's return announcements may still be
	// missing that lapsed while it was away, as the platform states.
	lapseGrace = 2300 * time.Millisecond
	// awayAfter is how long the store must have been silent for that at least.
	awayAfter = 1500 * time.Millisecond
	// rememberGone is how long ids of dropped targets are remembered, which verdicts of
	// VMs that stood still may name: longer than the deadlines of requests.
	rememberGone = time.Minute
)

// directory builds Directories from items.
type directory struct {
	// grace is how long a target whose announcement is gone stays, and latest how long at
	// most after the announcement was last known to be there.
	grace, latest time.Duration
	decode        func(fleet.Item) (fleet.Decoded, error)
	config        *fleet.Config
	// configItem is the item that config is from.
	configItem fleet.Item
	targets    map[string]*fleet.Target // by key
	gone       map[string]time.Time     // when to drop a target, by key
	versions   map[fleet.AdapterRef]fleet.AdapterVersion
	// dropped are the ids of targets that are gone, and since when.
	dropped map[string]time.Time
	// replaced are ids of those that a later start replaced, not told yet.
	replaced []string
	// started is the latest start that the target of a key has said, in Unix ms, and
	// when it was last heard.
	started map[string]startHeard
	// refused is why the value of a key could not be read, as far as it was logged.
	refused map[string]string
	// doubtful are entries of targets that were gone before the store was restored, by key.
	doubtful map[string]doubtfulItem
	// away is until when removals may be lapses of the store's absence.
	away time.Time
	// leaving are the targets that said that they leave.
	leaving leavers
	// known is when the copy before the changes that are taken was known to be current.
	known time.Time
}

func newDirectory(decode func(fleet.Item) (fleet.Decoded, error), drainWithin time.Duration) *directory {
	return &directory{
		grace:    min(goneAfter, time.Duration(goneShare*float64(drainWithin))),
		latest:   drainWithin - spreadTime,
		decode:   decode,
		targets:  map[string]*fleet.Target{},
		gone:     map[string]time.Time{},
		dropped:  map[string]time.Time{},
		started:  map[string]startHeard{},
		refused:  map[string]string{},
		versions: map[fleet.AdapterRef]fleet.AdapterVersion{},
		leaving:  leavers{},
		doubtful: map[string]doubtfulItem{},
	}
}

// returned says that the store was away and is back.
func (d *directory) returned(now time.Time) { d.away = now.Add(lapseGrace) }

// startHeard is a target's start, in Unix ms, and when it was last heard of.
type startHeard struct {
	started int64
	at      time.Time
}

// take carries one changed item in. The error says what could not be read, once for each
// key and reason. A configuration or version before it stays. A target stays for the grace
// of a removed one: a heartbeat of its own, 1.2 s later at most, mends an entry that
// something else wrote over, and a key that goes on naming no target is not used on the word
// of an earlier entry.
func (d *directory) take(now time.Time, item fleet.Item) error {
	err := d.carry(now, item)
	switch {
	case err == nil:
		delete(d.refused, item.Key)
	case d.refused[item.Key] == err.Error():
		return nil
	default:
		d.refused[item.Key] = err.Error()
	}
	return err
}

func (d *directory) carry(now time.Time, item fleet.Item) error {
	if item.Deleted {
		d.leave(now, item.Key)
		return nil
	}
	decoded, err := d.decode(item)
	switch {
	case err != nil:
		d.leave(now, item.Key)
		return err
	case decoded.Config != nil:
		return d.takeConfig(item, decoded.Config)
	case decoded.Target != nil:
		return d.takeTarget(now, item.Key, decoded.Target)
	case decoded.Version != nil:
		d.takeVersion(*decoded.Version)
	}
	return nil
}

// leave starts the grace of a key's target whose announcement is not there any more.
func (d *directory) leave(now time.Time, key string) {
	if _, held := d.targets[key]; !held {
		return
	}
	if _, leaving := d.gone[key]; !leaving {
		d.gone[key] = d.dropAt(now)
	}
}

// takeConfig takes a configuration, also one of which a part could not be understood: that
// must not keep back the rest. A service that its routes name and that was not understood
// keeps its description from before.
func (d *directory) takeConfig(item fleet.Item, c *fleet.Config) error {
	if d.config != nil && c.Version < d.config.Version {
		return nil
	}
	before := d.config
	d.config, d.configItem = c, item
	if len(c.Findings) == 0 {
		return nil
	}
	if before != nil {
		keepServices(c, before)
	}
	return errors.Wrapf(errors.Join(c.Findings...), "left out of version %d", c.Version)
}

// keepServices adds the services that routes of c name and only before describes.
func keepServices(c, before *fleet.Config) {
	for _, r := range c.Routes {
		for _, share := range r.Split {
			if s := before.Services[share.Service]; s != nil && c.Services[share.Service] == nil {
				c.Services[share.Service] = s
			}
		}
	}
}

// takeVersion takes an adapter's newest version; one that is not newer changes nothing.
func (d *directory) takeVersion(v fleet.AdapterVersion) {
	if v.Version >= d.versions[v.Ref].Version {
		d.versions[v.Ref] = v
	}
}

// errNoStart marks an announcement without the start that its target said before.
var errNoStart = errors.New("the target's start is missing, which it said before")

// takeTarget takes an announcement. A later start under the key is another target: the one
// before is gone at once, with all that it held and ran. An announcement of an earlier start
// changes nothing, and one without a start is of another writer if there was one.
func (d *directory) takeTarget(now time.Time, key string, t *fleet.Target) error {
	last := d.started[key].started
	if t.Started == 0 && last != 0 {
		d.leave(now, key)
		return errNoStart
	}
	if t.Started < last {
		return nil
	}
	if t.Started != 0 {
		d.started[key] = startHeard{started: t.Started, at: now}
	}
	if before := d.targets[key]; before != nil && before.ID != t.ID {
		d.replaced = append(d.replaced, before.ID)
		d.dropped[before.ID] = now
	}
	d.targets[key] = t
	delete(d.gone, key)
	delete(d.dropped, t.ID)
	return nil
}

// dropAt is when to drop a target whose removal is heard now. It may have been removed as
// long ago as the copy is old: a VM that stood still for 3.2 s used an engine for 1.3 s more
// from when it woke, and others sent there on its word, 3.4 s after the engine's.
func (d *directory) dropAt(now time.Time) time.Time {
	drop := now.Add(d.grace)
	if at := d.known.Add(d.latest); !d.known.IsZero() && at.Before(drop) {
		drop = at
	}
	if d.away.After(drop) {
		drop = d.away
	}
	return drop
}

// expire drops targets whose grace is over. It returns their ids.
func (d *directory) expire(now time.Time) []string {
	out := d.replaced
	d.replaced = nil
	for key, at := range d.gone {
		if now.Before(at) {
			continue
		}
		id := d.targets[key].ID
		out = append(out, id)
		d.dropped[id] = now
		delete(d.targets, key)
		delete(d.gone, key)
	}
	maps.DeleteFunc(d.started, func(key string, s startHeard) bool {
		return d.targets[key] == nil && now.Sub(s.at) > rememberGone
	})
	d.leaving.expire(now, d.targets)
	maps.DeleteFunc(d.dropped, func(_ string, at time.Time) bool { return now.Sub(at) > rememberGone })
	return out
}

func (d *directory) publish(revision fleet.Revision) *Directory {
	out := &Directory{
		Config: d.config, Revision: revision,
		Targets:  make(map[string]*fleet.Target, len(d.targets)),
		Versions: slices.Collect(maps.Values(d.versions)),
		Removed:  make(map[string]bool, len(d.dropped)),
	}
	for id := range d.dropped {
		out.Removed[id] = true
	}
	for id := range d.leaving {
		out.Removed[id] = true
	}
	for _, t := range d.targets {
		out.Targets[t.ID] = d.leaving.shown(t)
		delete(out.Removed, t.ID)
	}
	return out
}
