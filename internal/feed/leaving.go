package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// leavers are the targets that said so themselves, by id, and when that was last heard. A target's
// own word goes before its entry in the store, which may be older however late it comes, and is never
// taken back: only another incarnation, which has another id, takes requests again.
type leavers map[string]time.Time

// shown returns a target as it is to be used.
func (l leavers) shown(t *fleet.Target) *fleet.Target {
	if _, said := l[t.ID]; !said || t.State == fleet.TargetDraining {
		return t
	}
	out := *t
	out.State = fleet.TargetDraining
	return &out
}

// expire forgets targets that are listed no more.
func (l leavers) expire(now time.Time, listed map[string]*fleet.Target) {
	for _, t := range listed {
		if _, said := l[t.ID]; said {
			l[t.ID] = now
		}
	}
	maps.DeleteFunc(l, func(_ string, heard time.Time) bool { return now.Sub(heard) > rememberGone })
}

// MarkLeaving takes a target's own word that it leaves, heard here or by another VM. It reports
// whether that is news: nobody has said so before, the store included.
func (f *Feed) MarkLeaving(id string) (news bool) {
	if f.saidLeaving(id) {
		return false
	}
	f.notify.Lock()
	defer f.notify.Unlock()
	t := f.Directory().Targets[id]
	news = t == nil || t.State != fleet.TargetDraining
	now := f.cfg.Now()
	f.mu.Lock()
	f.dir.leaving[id] = now
	d, gone := f.settle(now, news)
	f.mu.Unlock()
	f.publish(d, gone)
	return news
}

func (f *Feed) saidLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, said := f.dir.leaving[id]
	return said
}

// Leaving lists the targets that said themselves that they leave.
func (f *Feed) Leaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.dir.leaving))
}
