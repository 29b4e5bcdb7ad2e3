package feed

import (
	"maps"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/internal/fleet"
)

// leavingTargets holds, by id, the targets that themselves reported that they leave, and when each
// was last reported or listed. A target's own report takes precedence over its entry in the store,
// which may be older however late it arrives, and is never reverted. Only another incarnation,
// which has another id, receives requests again.
type leavingTargets map[string]time.Time

// effective returns t with the state in which it is to be used.
func (l leavingTargets) effective(t *fleet.Target) *fleet.Target {
	if _, marked := l[t.ID]; !marked || t.State == fleet.TargetDraining {
		return t
	}
	out := *t
	out.State = fleet.TargetDraining
	return &out
}

// expire removes targets that have not been listed for removedRetention.
func (l leavingTargets) expire(now time.Time, listed map[string]*fleet.Target) {
	for _, t := range listed {
		if _, marked := l[t.ID]; marked {
			l[t.ID] = now
		}
	}
	maps.DeleteFunc(l, func(_ string, seenAt time.Time) bool { return now.Sub(seenAt) > removedRetention })
}

// MarkLeaving applies a target's own report that it leaves, received here or relayed by another VM.
// news is true if neither a report nor the store had announced the leave before.
func (f *Feed) MarkLeaving(id string) (news bool) {
	if f.isMarkedLeaving(id) {
		return false
	}
	f.notify.Lock()
	defer f.notify.Unlock()
	t := f.Directory().Targets[id]
	news = t == nil || t.State != fleet.TargetDraining
	now := f.cfg.Now()
	f.mu.Lock()
	f.dir.leaving[id] = now
	d, dropped := f.updateDirectory(now, news)
	f.mu.Unlock()
	f.publish(d, dropped)
	return news
}

func (f *Feed) isMarkedLeaving(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, marked := f.dir.leaving[id]
	return marked
}

// Leaving returns the ids of the targets that themselves reported that they leave, sorted.
func (f *Feed) Leaving() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(maps.Keys(f.dir.leaving))
}
