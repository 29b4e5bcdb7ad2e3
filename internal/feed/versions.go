package feed

import (
	"maps"
	"time"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// DeclaredVersion is the newest version of an adapter that this VM's copy of the store has.
type DeclaredVersion struct {
	Version int64
	// After is a time at which the copy was current and lacked the version, so that the store
	// acknowledged it later; zero: unknown.
	After time.Time
}

// declaredVersions holds the newest versions of adapters. The map of the last publish is not modified.
type declaredVersions struct {
	newest    map[fleet.AdapterRef]DeclaredVersion
	published bool
}

// declare records an adapter's version unless that version or a newer one is known.
func (d *declaredVersions) declare(v fleet.AdapterVersion, after time.Time) {
	if v.Version <= d.newest[v.Ref].Version {
		return
	}
	if d.published || d.newest == nil {
		d.newest, d.published = maps.Clone(d.newest), false
	}
	if d.newest == nil {
		d.newest = map[fleet.AdapterRef]DeclaredVersion{}
	}
	d.newest[v.Ref] = DeclaredVersion{Version: v.Version, After: after}
}

// publish returns the versions for readers.
func (d *declaredVersions) publish() map[fleet.AdapterRef]DeclaredVersion {
	d.published = true
	return d.newest
}

// IsOutdated reports whether a request must not be sent at now to run on a version of an adapter, because
// the store acknowledged a newer one longer than grace ago. Version 0 stands for whichever version the
// target holds.
func (d *Directory) IsOutdated(ref fleet.AdapterRef, version int64, now time.Time, grace time.Duration) bool {
	newest := d.Versions[ref]
	return version < newest.Version && !now.Before(newest.After.Add(grace))
}

// RequiredVersion returns the version of an adapter that a target must run, given that it was last known
// to hold the given one; 0: whichever it holds, because an older version may still be used.
func (d *Directory) RequiredVersion(ref fleet.AdapterRef, held int64, now time.Time, grace time.Duration) int64 {
	newest := d.Versions[ref].Version
	switch {
	case held >= newest:
		return held
	case d.IsOutdated(ref, 0, now, grace):
		return newest
	}
	return 0
}
