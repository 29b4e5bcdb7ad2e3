package scheduler

import (
	"slices"
	"time"
)

// forgetAfter is how long the state of an unlisted target is kept: longer than an order or a
// request may be in flight there. Entries are lost and reappear. A target that was forgotten while
// an order was in flight was ordered beyond its adapter slots, based on a report older than that
// order (TestInvariantsDuringLeaderChanges).
const forgetAfter = time.Minute

// SetTargets applies the list of announced targets. Unlisted targets get no requests and no orders;
// their state is kept for forgetAfter.
func (s *Scheduler) SetTargets(now time.Time, listed []AnnouncedTarget) []Action {
	isListed := make(map[string]bool, len(listed))
	for i := range listed {
		l := &listed[i]
		isListed[l.ID] = true
		t := s.targets[l.ID]
		if t == nil {
			t = newTarget(l, s.replicas)
			s.targets[l.ID] = t
		}
		t.applyAnnouncement(now, l)
	}
	for id, t := range s.targets {
		if !isListed[id] {
			s.markUnlisted(now, t)
		}
	}
	s.targetIDs = s.targetIDs[:0]
	for id := range s.targets {
		s.targetIDs = append(s.targetIDs, id)
	}
	slices.Sort(s.targetIDs)
	s.targetList = s.targetList[:0]
	for _, id := range s.targetIDs {
		s.targetList = append(s.targetList, s.targets[id])
	}
	s.guard.SetTargets(now, s.readyTargets())
	return s.runRound(now)
}

// markUnlisted records that a target is no longer announced.
func (s *Scheduler) markUnlisted(now time.Time, t *target) {
	if t.unlistedSince.IsZero() {
		t.unlistedSince = now
	}
	t.ready = false
	if t.replaced || now.Sub(t.unlistedSince) >= forgetAfter {
		s.forget(t)
	}
}

func (s *Scheduler) forget(t *target) {
	s.freeAllSlots(t)
	delete(s.targets, t.id)
}

// freeAllSlots frees the adapter slots of a target and stops counting its loads.
func (s *Scheduler) freeAllSlots(t *target) {
	for ref := range t.slots {
		s.freeSlot(t, ref, FreedWithTarget)
	}
}

// TargetReplaced records that a target's process is gone and that another process, which announces
// itself under a new id, has replaced it. The target gets no requests or orders, and its state is
// discarded, even if an outdated listing still includes it.
func (s *Scheduler) TargetReplaced(now time.Time, id string) []Action {
	t := s.targets[id]
	if t == nil {
		return nil
	}
	s.freeAllSlots(t)
	t.replaced = true
	t.ready = false
	return s.runRound(now)
}
