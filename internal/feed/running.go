package feed

import (
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Running returns which of the given targets are listed, and a time at which those were still
// running. It returns none if that time is not known.
//
// A target renews its entry with each heartbeat, and the store drops an entry that is not renewed
// within deferralTime. A listed target was therefore running that long before the copy was current.
// The store may drop nothing while it is down, so that entries count only if the copy has been kept
// current since: without an outage, a suspension of this VM or a restored store in between.
func (f *Feed) Running(ids []string) (running []string, ranAt time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ranAt = f.cache.freshAt.Add(-deferralTime - f.outageThreshold())
	if ranAt.Before(f.currentSince()) {
		return nil, time.Time{}
	}
	listed := f.dir.listed()
	for _, id := range ids {
		if listed[id] {
			running = append(running, id)
		}
	}
	return running, ranAt
}

// currentSince returns the time since which the copy has been kept current. f.mu is held.
func (f *Feed) currentSince() time.Time {
	outageEnd := f.dir.storeReturnGraceEnd.Add(-storeReturnGrace)
	return coord.Later(coord.Later(f.loadedAt, f.resumedAt), outageEnd)
}

// listed returns the ids of the targets whose entries exist, unlike those that are kept for the removal
// grace only.
func (d *directory) listed() map[string]bool {
	out := make(map[string]bool, len(d.targets))
	for key, t := range d.targets {
		if _, removed := d.dropTimes[key]; !removed {
			out[t.ID] = true
		}
	}
	return out
}
