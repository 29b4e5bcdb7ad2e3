package feed

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// Directory is what the store says, decoded. It does not change once published.
type Directory struct {
	// Config in force; nil before the first.
	Config *fleet.Config
	// Targets by id. Those whose announcement is gone stay for a moment.
	Targets  map[string]*fleet.Target
	Versions []fleet.AdapterVersion
	// Gone are ids of targets that were dropped lately and have not come back.
	Gone map[string]bool
	// Revision of the store that this shows.
	Revision uint64
}

// Of returns the targets of a service by id.
func (d *Directory) Of(service string) []*fleet.Target {
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
	targets       map[string]*fleet.Target // by key
	gone          map[string]time.Time     // when to drop a target, by key
	versions      map[fleet.AdapterRef]fleet.AdapterVersion
	// dropped are the ids of targets that are gone, and since when.
	dropped map[string]time.Time
	// away is until when removals may be lapses of the store's absence.
	away time.Time
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
		versions: map[fleet.AdapterRef]fleet.AdapterVersion{},
	}
}

// returned says that the store was away and is back.
func (d *directory) returned(now time.Time) { d.away = now.Add(lapseGrace) }

// take carries one changed item in. The error says what could not be read; the
// value before it stays.
func (d *directory) take(now time.Time, item fleet.Item) error {
	if item.Deleted {
		if _, held := d.targets[item.Key]; held {
			d.gone[item.Key] = d.dropAt(now)
		}
		return nil
	}
	decoded, err := d.decode(item)
	if err != nil {
		return err
	}
	switch {
	case decoded.Config != nil:
		if d.config == nil || decoded.Config.Version >= d.config.Version {
			d.config = decoded.Config
		}
	case decoded.Target != nil:
		d.targets[item.Key] = decoded.Target
		delete(d.gone, item.Key)
		delete(d.dropped, decoded.Target.ID)
	case decoded.Version != nil:
		d.versions[decoded.Version.Ref] = *decoded.Version
	}
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
	var out []string
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
	maps.DeleteFunc(d.dropped, func(_ string, at time.Time) bool { return now.Sub(at) > rememberGone })
	return out
}

func (d *directory) publish(revision uint64) *Directory {
	out := &Directory{
		Config: d.config, Revision: revision,
		Targets:  make(map[string]*fleet.Target, len(d.targets)),
		Versions: slices.Collect(maps.Values(d.versions)),
		Gone:     make(map[string]bool, len(d.dropped)),
	}
	for id := range d.dropped {
		out.Gone[id] = true
	}
	for _, t := range d.targets {
		out.Targets[t.ID] = t
	}
	return out
}
